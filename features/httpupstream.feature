Feature: Upstreams over HTTP
  The adapter sends a run once and says how it ended; only an upstream that
  couldn't be reached proves that nothing ran.

  Scenario: A stream is given whole
    Given a model engine stand-in
    When the run "r1" of 5 tokens is streamed
    Then it ends with UpstreamEnd
    And its text is the engine's whole answer
    And its events are numbered from 0 to 5
    And the engine has run "r1" once

  Scenario: A chat that isn't streamed is given whole
    Given a model engine stand-in
    When the chat "r1" of 5 tokens is run
    Then it ends with UpstreamEnd
    And its message is the engine's whole answer

  Scenario: A stream that was cut is resumed where it broke off
    The connection is cut after two events while the run goes on. The caller's
    agent asks for the rest by the id, and gets each event once.
    Given a model engine stand-in
    And the engine's fault "cut_after_events" is 2
    When the run "r1" of 5 tokens is streamed
    Then it ends with UpstreamBroken
    When it is resumed after its last event
    Then it ends with UpstreamEnd
    And its text is the engine's whole answer
    And the engine has run "r1" once

  Scenario: The answer is cut before its first byte
    The engine has begun the run, so the outcome is not "unreachable".
    Given a model engine stand-in
    And the engine's fault "cut_after_events" is 0
    When the run "r1" of 5 tokens is streamed
    Then it ends with UpstreamBroken
    When it is resumed after its last event
    Then it ends with UpstreamEnd
    And its text is the engine's whole answer
    And the engine has run "r1" once

  Scenario: An engine ends a stream early with a proper HTTP end
    A truncated answer looks complete to HTTP; only the missing last event shows
    it. Resuming gives no more.
    Given a model engine stand-in
    And the engine's fault "end_after_events" is 2
    When the run "r1" of 5 tokens is streamed
    Then it ends with UpstreamBroken
    When it is resumed after its last event
    Then it ends with UpstreamBroken

  Scenario: An engine that has restarted doesn't know the run
    Given a model engine stand-in
    When the run "r1" of 5 tokens is streamed
    And the engine is killed and started again
    And it is resumed after its last event
    Then it ends with UpstreamUnknownRun
    And the engine has run "r1" once

  Scenario: A killed engine is unreachable
    Given a model engine stand-in
    When the engine is killed
    And the run "r1" of 5 tokens is streamed
    Then it ends with UpstreamUnreachable
    When the engine is started again
    Then the engine has run "r1" 0 times

  Scenario: A request that crashes the engine
    The request was sent, so it may have run; the count that outlives the crash
    shows that it had.
    Given a model engine stand-in that crashes on "poison"
    When the prompt "a poison b" is run as "r1"
    Then it ends with UpstreamBroken
    And the engine's process has ended
    When the engine is started again
    Then the engine has run "r1" once

  Scenario: A frozen engine is given up on
    The engine accepts the run and then says nothing. The adapter gives up after
    the silence it was allowed; the run goes on once the engine thaws.
    Given a model engine stand-in
    And the engine's fault "freeze" is 1
    When the run "r1" of 5 tokens is streamed with 0.2 seconds of silence allowed
    Then it ends with UpstreamBroken
    When the engine's fault "freeze" becomes 0
    And it is resumed after its last event
    Then it ends with UpstreamEnd
    And its text is the engine's whole answer
    And the engine has run "r1" once

  Scenario: A cancelled run ends visibly
    Given a model engine stand-in with slow steps
    When the run "r1" of 1000 tokens is cancelled after its head
    Then it ends with UpstreamBroken
    And the engine has cancelled 1 run

  Scenario: A shared prompt is computed once
    Given a model engine stand-in
    When the prompt of 40 words is run as "r1"
    And the prompt of 40 words is run as "r2"
    Then the engine has computed 48 prompt tokens and reused 32
    And the cache events name its 2 blocks

  Scenario: A limited cache drops what was used longest ago
    Given a model engine stand-in with 2 cache blocks
    When the prompt of 40 words is run as "r1"
    And another prompt of 40 words is run as "r2"
    And the prompt of 40 words is run as "r3"
    Then the engine has computed 120 prompt tokens and reused 0

  Scenario: Cache events with a gap
    Given a model engine stand-in
    And the engine's fault "cache_gap_every" is 2
    When the prompt of 40 words is run as "r1"
    Then the cache events show a gap

  Scenario: Load reports show what runs and what waits
    Given a model engine stand-in with slow steps and 2 slots
    When 5 runs are started
    Then the load report comes to say 2 running and 3 waiting

  Scenario: An old fencing number is refused where it is checked
    Given a model engine stand-in
    When order "new" is given with fencing number 7
    And order "old" is given with fencing number 6
    Then the order's error is OrderFenced
    And the order in force is "new"

  Scenario: An old fencing number is taken where it isn't checked
    Given a model engine stand-in that ignores fencing
    When order "new" is given with fencing number 7
    And order "old" is given with fencing number 6
    Then the order in force is "old"

  Scenario: Two hundred streams at once are all whole
    Given a model engine stand-in with 32 slots
    When 200 runs of 8 tokens are streamed at once
    Then every one has its own whole answer
    And the engine has run each of them once

  Scenario Outline: A plain service fails in every way
    A payment is sent once. Only when no connection could be made, or the service
    cut before the effect, is it not counted; the caller of the adapter is told
    "unreachable" just in the first of these.
    Given a plain service stand-in with the fault "<mode>"
    When the payment "r1" is sent
    Then it ends with <ending>
    And the service has run "r1" <times> times

    Examples:
      | mode         | ending              | times |
      | up           | UpstreamEnd         | 1     |
      | lose_answers | UpstreamBroken      | 1     |
      | cut_body     | UpstreamBroken      | 1     |
      | refuse       | UpstreamBroken      | 0     |
      | killed       | UpstreamUnreachable | 0     |

  Scenario Outline: A plain service's answer ends with its connection
    Guards against refusing a whole answer, or calling a truncated one whole.
    Given a plain service stand-in with the fault "<mode>"
    When the payment "r1" is sent
    Then it ends with <ending>
    And the service has run "r1" 1 times

    Examples:
      | mode           | ending         |
      | unframed       | UpstreamEnd    |
      | reset_unframed | UpstreamBroken |
      | events         | UpstreamEnd    |
      | half_event     | UpstreamBroken |
      | no_event       | UpstreamBroken |

  Scenario: The head of a plain service's answer is asked for
    Guards against calling an answer broken that has no body to break.
    Given a plain service stand-in with the fault "unframed"
    When the head "r1" is asked for
    Then it ends with UpstreamEnd
    And it has no body

  Scenario: What a plain service can't do is said so
    Given a plain service stand-in with the fault "up"
    Then resume, cancel, load, cache events and orders are unsupported

  Scenario: The plain service gets the caller's request as it was
    Given a plain service stand-in with the fault "up"
    When the payment "r1" is sent
    Then the service saw its method, path, query, headers, body, id and key

  Scenario: Whatever an upstream answers, the adapter ends with one typed event
    Then no random answer of an upstream raises
    And events split at random places come out whole and in order
