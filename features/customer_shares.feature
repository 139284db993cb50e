Feature: Engine time shared between the customers who ask for it
  Decisions on a manual clock, without a network. Engine time is in seconds.

  Scenario Outline: One customer at six times its usual demand beside 15 others
    The queue knew ranks only, so the customer with the most requests took most slots.
    A driven day of bench/customershares.py, with the policy and without it.
    Given <entries> entries before <engines> engines, which tell each other every <told> s
    When one of 16 customers asks for six times its usual amount for 7 s
    Then the other customers get at least <more> times the lowest rank's slots in that time
    And their part of these slots rises by at least 0.1
    And Jain's index rises by at least <jain>
    And at most 2% more of the slots stay empty while requests wait

    Examples:
      | entries | engines | told | more | jain |
      | 3       | 3       | 0.02 | 1.1  | 0.08 |
      | 27      | 25      | 0.08 | 1.0  | 0.03 |

  Scenario: No customer starves
    Guards against a customer over its share that gets no slot at all.
    Given 3 entries before 3 engines, which tell each other every 0.02 s
    When one of 16 customers asks for six times its usual amount for 7 s
    Then its requests of each rank are begun during the burst
    And it never waits longer than 2 s for its next request to begin

  Scenario Outline: Requests that name no customer, or the same one
    Guards against another order, or another draw of the random generator, where there
    is nobody to share with. Driven days of bench/ablation.py and bench/fleet.py.
    Then a driven day of the <model> earns the same to the last digit with the policy off

    Examples:
      | model    |
      | ablation |
      | fleet    |

  Scenario: Requests of a customer over its share go behind the others
    Guards against lateness or a shorter answer putting it first within its rank.
    Given a queue with one slot, where "hot" has used 10 s and "small" 1 s
    When "hot" submits a resubmitted request, and "small" a long one
    Then "small" gets the next slot
    And the log line of the request of "hot" says that its customer is over its share
    And one request counts as deferred, of rank "0.0"

  Scenario: A customer that asks for nothing
    Guards against a slot held free for the share of a customer that doesn't ask.
    Given a queue with one slot, where "hot" has used 10 s and "small" 1 s
    When only "hot" has requests waiting
    Then "hot" gets the next slot

  Scenario: The policy is switched off
    Given a queue with one slot and without the policy, where "hot" has used 10 s and "small" 1 s
    When "hot" submits a resubmitted request, and "small" a long one
    Then "hot" gets the next slot

  Scenario: Requests that should go first never take the slot that is left to them
    Guards against an empty slot because of requests at an entry that froze.
    Given a queue with one slot, where "hot" has used 10 s and "small" 1 s
    And other entries say that requests of "small" wait there
    When only "hot" has requests waiting
    Then "hot" gets the slot within 0.4 s, but not within 0.1 s

  Scenario: A request at an entry to which no slot comes free
    Guards against the refusal of a request because of a backlog that goes behind it.
    Given a queue with one slot, where "hot" has used 10 s and "small" 1 s
    And other entries say that 50 requests of "hot" wait there
    Then a request of "hot" is refused as crowded, and one of "small" waits

  Scenario: Messages are lost and repeated
    Guards against use that is counted twice, or never.
    Given a peer that used 1 s more of "a" with each of 10 messages
    When every second message is lost, and the others come twice
    Then the use of "a" is as if all had come once, within 0.15 s

  Scenario: An entry that has just started hears from entries that ran for hours
    Guards against hours of use counted as if they were of this second.
    When a peer's first message names 5000 s of "a"
    Then no use of "a" is known
    And its own use alone decides until then

  Scenario: An entry restarts
    Guards against a total that begins at zero being taken for a refund.
    Given a peer that used 1 s more of "a" with each of 10 messages
    When all come, and the peer restarts and names 1 s and then 2 s
    Then the use of "a" has grown by 1 s

  Scenario: Both sides of a partition
    Guards against minutes of use counted at once when the partition ends.
    Given a peer that used 1 s more of "a" with each of 10 messages
    When all come, and the next one 60 s later names 500 s more
    Then at most 0.01 s of the use of "a" is known

  Scenario: An entry leaves with what it used
    Given a peer that used 1 s more of "a" with each of 10 messages
    When all come, and nothing more for 20 s
    Then at most 0.1 s of the use of "a" is known

  Scenario: A customer is removed and added again
    Guards against a share carried over from an earlier customer of that name.
    Given customers "a" and "b" with limits of 100 and 100
    When "a" uses 10 s, is removed and added again
    Then no use of "a" is known

  Scenario Outline: Limits decide the shares
    Guards against a division by zero, and a limit without bound that takes everything.
    Given customers "a" and "b" with limits of <a> and <b>
    When "a" uses <used a> s and "b" uses 1 s
    Then "a" <verdict> its share

    Examples:
      | a    | b   | used a | verdict       |
      | 100  | 100 | 1.0    | is not over   |
      | 100  | 100 | 2.0    | is over       |
      | 300  | 100 | 2.5    | is not over   |
      | 0    | 100 | 1.0    | is not over   |
      | 0    | 100 | 2.0    | is over       |
      | 0    | 0   | 2.0    | is over       |
      | -5   | 100 | 2.0    | is over       |
      | 1e30 | 100 | 9.0    | is not over   |
      | 1e30 | 100 | 50.0   | is over       |
      | inf  | 100 | 2.0    | is over       |

  Scenario Outline: A peer's message is malformed
    Guards against one faulty entry that defers a customer everywhere.
    Given a peer that used 1 s more of "a" with each of 10 messages
    When all come, and then twice one with <total> s of "a" and 12 s of "b"
    Then nothing has changed
    And there is one line about it, and 2 in the counter as "<reason>"

    Examples:
      | total   | reason       |
      | -1.0    | out_of_range |
      | nan     | out_of_range |
      | inf     | out_of_range |
      | 1e300   | out_of_range |
      | 1000000 | too_fast     |

  Scenario: A peer's message names an absurd number of waiting requests
    When a peer says that -3 requests wait, and another one that 10000000 do
    Then neither is believed, with a line for each and 2 in the counter as "asking"

  Scenario: The clock jumps
    Guards against an overflow, and against use that never decays again.
    When "a" uses 1 s, the clock jumps 1e9 s ahead and back again, and 40 s pass
    Then at most 0.1 s of the use of "a" is known
    And 1 s more of "a" counts as 1 s

  Scenario: What entries send to each other
    Guards against totals of all customers in every message, 50 times a second.
    Given two entries of one configuration with customers "a" and "b"
    When the first one dispatches requests of "a" and "b"
    Then the second one knows their use
    And the next message names only the customer that changed, and one a second later all
    And a message of the previous release, without these fields, is understood

  Scenario: One customer only
    Guards against messages that grow where there is nobody to share with.
    Given two entries of one configuration with customer "a"
    When the first one dispatches requests of "a"
    Then no engine time is sent

  Scenario: A customer comes to be limited, and no longer is
    Guards against a line for each request.
    Given a queue with one slot, where "hot" has used 10 s and "small" 1 s
    When 20 requests of "hot" are deferred, and 6 s pass
    Then there is one line that "hot" is limited, and one that it no longer is

  Scenario: A request is explained that went behind others
    Given a log file of a request whose customer was limited by its share
    When its id is explained from them
    Then the explanation contains "Requests of other customers went first."
    And the explanation contains "customer over its share: 4.10 s of engine time used"
    And the explanation contains "customer limited by its share: service=narrative, customer=tours"
