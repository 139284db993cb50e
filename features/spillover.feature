Feature: Spilling over between data centres
  Bytes between data centres are expensive. A request goes to its entry's own data centre
  while there is room, and to another one by what is free there. On manual clocks, without
  a network.

  Scenario: Demand swings at different phases
    Guards against requests that leave a data centre which has room, and against slots
    that stay free in one while requests wait in another.
    Given a day of 12 entries whose demand swings, at 0.6 of what the engines can do
    When it is played with and without spilling over
    Then with it less than half as many requests leave their data centre
    And no rank has 1 percent fewer answers on time
    And no more slots are free while requests of other data centres wait

  Scenario: Demand near what a data centre has
    Guards against oscillation: traffic that leaves, returns and leaves again.
    Given four data centres of 30 slots each
    When the need of the first one goes from 0 to 40 slots and back within 60 s, with noise
    Then it starts to spill over once and stops once
    And each change is logged by one line

  Scenario: Entries agree
    Guards against proportions that depend on the order in which entries are heard.
    Given four data centres of 30 slots each
    When 20 entries with random needs are heard in two orders
    Then both orders give the same proportions, to the last digit

  Scenario: The proportions
    Guards against an excess that goes where there is no room, or that exceeds what is
    free there beyond the need of its own entries.
    Given four data centres of 30 slots each
    When they need 40, 25, 10 and 5 slots
    Then the first sends a part of its requests to the third and more to the fourth
    And it sends none to the second
    And the parts sum to 1

  Scenario: Capacity is short everywhere
    Guards against requests that are sent from one short data centre to another.
    Given four data centres of 30 slots each
    When they need 40, 40, 40 and 40 slots
    Then the first sends all its requests to its own upstreams

  Scenario: The cost stays below the targets
    Guards against an answer that is late since it stayed at home.
    Given four data centres of 30 slots each
    When they need 40, 25, 10 and 5 slots
    Then no data centre costs more than a tenth of the target

  Scenario: Only upstreams of other data centres have a free slot
    Guards against a slot that stays empty while a request waits.
    Given an entry in "east" with upstreams in "east" and "west"
    And all slots in "east" are taken
    When a request arrives
    Then it is sent to "west" at once
    And its decision says "to west: no free slot in east"
    And "direct_spillover" counts "west:away_no_room"

  Scenario: Requests wait at other entries
    Guards against entries of one data centre that all send to its few free slots, where
    requests queue while slots are free elsewhere.
    Given an entry in "east" with upstreams in "east" and "west"
    When requests wait at another entry, and 200 requests arrive and end
    Then between 60 and 140 of them are sent to "west"

  Scenario: Only upstreams of other data centres are on time
    Guards against a late answer of the own data centre where another one is on time.
    Given an entry in "east" with upstreams in "east" and "west"
    And the upstreams in "east" are so slow that an answer would be late
    When a request arrives
    Then it is sent to "west" at once
    And its decision says "to west: answers sooner than east"

  Scenario: There is room at home
    Given an entry in "east" with upstreams in "east" and "west"
    When a request arrives
    Then it is sent to "east" at once
    And its decision says ""
    And "direct_spillover" counts "east:home"

  Scenario: Switched off
    Guards against a switch that leaves a part of the policy on.
    Given an entry in "east" with upstreams in "east" and "west" and spillover off
    When 200 requests arrive and end, one after another
    Then between 60 and 140 of them are sent to "west"
    And the entry tells no demand

  Scenario Outline: No choice between data centres
    Guards against a change for those who have one data centre, or name none.
    Given an entry in "<own>" with upstreams in "<first>" and "<second>"
    When 200 requests arrive and end, one after another
    Then its choices are those with spillover off
    And the entry tells no demand

    Examples:
      | own  | first | second |
      | east | east  | east   |
      | east | west  | west   |
      |      | east  | west   |

  Scenario: The other data centre's entries are gone
    Guards against slots that stay reserved for entries that are cut off or dead.
    Given an entry in "east" with upstreams in "east" and "west"
    And an entry in "west" needs all slots there, and "east" spills over
    When 0.9 s pass without a word
    Then none of the entry's requests should go to "west"
    When 0.3 s pass without a word
    Then some of the entry's requests should go to "west"

  Scenario: An entry says that it leaves
    Given an entry in "east" with upstreams in "east" and "west"
    And an entry in "west" needs all slots there, and "east" spills over
    When the entry in "west" says that it leaves
    Then some of the entry's requests should go to "west"

  Scenario: A relayed state is old
    Guards against sums that count what was said more than a second ago.
    Given an entry in "east" with upstreams in "east" and "west"
    When a state of an entry in "west" arrives that was relayed for 1.1 s
    Then the entry counts a need of 0 slots in "west"
    And it keeps no sums of it

  Scenario: The entry's data centre has no upstreams
    Given an entry in "north" with upstreams in "east" and "west"
    When 200 requests arrive and end, one after another
    Then between 60 and 140 of them are sent to "west"

  Scenario Outline: Demand that is absurd
    Guards against one entry's fault that moves the traffic of all.
    Given an entry in "east" with upstreams in "east" and "west"
    When an entry in "west" tells a need of 2 slots, and three times one of <need>
    Then the entry counts a need of 2 slots in "west"
    And it logs one line and counts 3 invalid rows

    Examples:
      | need  |
      | -1    |
      | nan   |
      | inf   |
      | 1e9   |
      | 1e308 |

  Scenario: The clock jumps back
    Guards against proportions that stay as they are until the clock has caught up.
    Given an entry in "east" with upstreams in "east" and "west"
    When its clock jumps back by an hour, and "east" gets more requests than it has slots
    Then "east" spills over

  Scenario: A state of the previous release
    Guards against an entry that fails on a message without the field.
    Given an entry in "east" with upstreams in "east" and "west"
    When a state without demand arrives from an entry in "west"
    Then the entry counts a need of 0 slots in "west"

  Scenario: Many entries tell their need
    Guards against a need that doesn't reach entries of other groups.
    Given 24 entries in 3 data centres, with an upstream in each
    When each gets 10 requests per second for 2 s
    Then all entries count the same need in each data centre, within a tenth

  Scenario: A request that left its data centre is explained
    Given a log file of a request that left its data centre
    When its id is explained from them
    Then the explanation contains "to west: no free slot in east"
    And the explanation contains "data centre starts to spill over: service=chat"
    And the explanation omits "data centre no longer spills over"
