Feature: Avoiding upstreams that are slow for a moment
  At any time 15% of the upstreams are 2.5 times slower, for 600 ms. On a manual clock,
  without a network.

  Scenario: An upstream becomes 2.5 times slower
    Guards against a slowdown that is over before it is noticed.
    Given an entry with streams at 4 upstreams of one event each 20 ms
    When upstream u0 sends an event each 50 ms for 200 ms
    Then upstream u0 is seen as slow by about 2.5 times
    And no other upstream is seen as slow

  Scenario: A slow upstream is as fast as before
    Guards against an upstream that is avoided after its slowdown has ended.
    Given an entry with streams at 4 upstreams of one event each 20 ms
    When upstream u0 sends an event each 50 ms for 200 ms
    And upstream u0 sends an event each 20 ms for 60 ms
    Then no upstream is seen as slow

  Scenario: A slow upstream is no longer used by anybody
    Guards against an upstream that stays out of use since nobody sees it any more.
    Given an entry with streams at 4 upstreams of one event each 20 ms
    When upstream u0 sends an event each 50 ms for 200 ms
    And the streams at upstream u0 end and 250 ms pass
    Then upstream u0 is seen as less slow than before
    And after 100 ms more no upstream is seen as slow

  Scenario: An upstream stays slow
    Guards against a lasting pace that is told forever as a slowdown.
    Given an entry with streams at 4 upstreams of one event each 20 ms
    When upstream u0 sends an event each 50 ms for 6000 ms
    Then no upstream is seen as slow

  Scenario: An upstream sends nothing
    Guards against a stopped upstream that isn't noticed since no event comes.
    Given an entry with streams at 4 upstreams of one event each 20 ms
    When upstream u0 sends nothing for 150 ms
    Then upstream u0 is seen as slow by at least 3 times

  Scenario: A prompt is read beside running streams
    Guards against taking the time of a prompt for slowness.
    Given an entry with streams at 4 upstreams of one event each 20 ms
    When upstream u0 reads a prompt that takes 300 ms, which the entry knows of
    Then no upstream is seen as slow

  Scenario: A prompt of another entry is read beside running streams
    Guards against taking the time of a prompt for slowness: it lengthens one interval of
    each stream.
    Given an entry with streams at 4 upstreams of one event each 20 ms
    When upstream u0 sends events late by 50 ms once, to all its streams
    Then no upstream is seen as slow

  Scenario: The entry was suspended
    Guards against reports of all upstreams by an entry that stood still itself.
    Given an entry with streams at 4 upstreams of one event each 20 ms
    When the entry stands still for 500 ms
    Then no upstream is seen as slow
    And the entry reports nothing
    And "direct_stalls" counts "stood_still" once

  Scenario: The clock jumps back
    Guards against judgements from a clock that jumps.
    Given an entry with streams at 4 upstreams of one event each 20 ms
    When the clock jumps by -500 ms
    Then no upstream is seen as slow
    And the entry reports nothing

  Scenario: All streams are silent at once
    Guards against reports by an entry whose own links are cut.
    Given an entry with streams at 4 upstreams of one event each 20 ms
    When all upstreams send nothing for 150 ms
    Then no upstream is seen as slow
    And the entry reports nothing

  Scenario: Another entry reports a slow upstream
    Guards against each entry having to find out with requests of its own.
    Given an entry with streams at 4 upstreams of one event each 20 ms
    When a peer reports upstream u9 as 2.5 times slower
    Then upstream u9 is seen as slow by about 2.5 times
    And after 300 ms more no upstream is seen as slow

  Scenario: Another entry reports an upstream that is as fast as usual here
    Guards against the delays of one entry taking upstreams from all.
    Given an entry with streams at 4 upstreams of one event each 20 ms
    When a peer reports upstream u1 as 2.5 times slower
    Then no upstream is seen as slow
    And the entry reports that upstream u1 is as fast as usual

  Scenario: Two entries see different streams of an upstream
    Guards against the report of one entry that hides the other's.
    Given an entry with streams at 4 upstreams of one event each 20 ms
    When a peer reports upstream u9 as 2.5 times slower
    And another peer reports upstream u9 as 1 times slower
    Then no upstream is seen as slow

  Scenario: A report is outdated
    Guards against a slowdown that comes back with a late message.
    Given an entry with streams at 4 upstreams of one event each 20 ms
    When a peer reports upstream u9 as 2.5 times slower, 400 ms ago
    Then no upstream is seen as slow

  Scenario Outline: A report is malformed
    Guards against a report that takes upstreams out of use with absurd figures.
    Given an entry with streams at 4 upstreams of one event each 20 ms
    When a peer reports twice that upstream u9 is <times> times slower
    Then no upstream is seen as slow
    And "direct_stalls" counts "report_invalid" 2 times
    And one line of the log says "invalid report of slow upstreams ignored"

    Examples:
      | times |
      | 0     |
      | -2    |
      | 1e9   |
      | nan   |

  Scenario: An upstream restarts
    Guards against the pace of an ended upstream counting for the next one.
    Given an entry with streams at 4 upstreams of one event each 20 ms
    When upstream u0 sends an event each 50 ms for 200 ms
    And upstream u0 is no longer listed
    Then no upstream is seen as slow

  Scenario: Upstreams change their pace all the time
    Guards against a log that grows with each change of an upstream's pace.
    Given an entry with streams at 4 upstreams of one event each 20 ms
    When a peer reports another upstream as slow 100 times within 8 s
    Then at most 20 lines are logged
    And "direct_stalls" counts "told" 100 times

  Scenario: Plain requests of an upstream take longer
    Guards against a slow plain service that sends no events by which to notice it.
    Given an entry with plain requests of 22 ms at 4 upstreams
    When the plain requests at upstream u0 take 55 ms
    Then upstream u0 is seen as slow by about 2.5 times

  Scenario: New requests go to other upstreams while one is slow
    Guards against requests sent to an upstream that is known to be slow.
    Given 2 entries that exchange messages, with 4 idle upstreams
    When the first entry's stream at an upstream is 2.5 times slower than usual
    Then the second entry sends 20 requests to other upstreams
    And the decision names the slow upstream
    And after 500 ms it sends requests there again

  Scenario: All upstreams are reported as slow
    Guards against reports that change how long requests wait when all are alike.
    Given 2 entries that exchange messages, with 4 idle upstreams
    When all upstreams are reported to the second entry as slow
    Then the second entry estimates all upstreams as before

  Scenario: The policy is disabled
    Guards against a switch that leaves a part of the policy on.
    Given 2 entries that exchange messages, with 4 idle upstreams and no policy
    When the first entry's stream at an upstream is 2.5 times slower than usual
    Then the first entry reports nothing
    And the second entry estimates all upstreams as before

  Scenario: Many upstreams are slow in turn
    Guards against a policy that changes nothing under the load that it is for.
    When 21 entries send streams to 20 engines, of which 15% are 2.5 times slower
    Then fewer requests are sent to slow engines with the policy than without
    And as many requests are on time as without
