Feature: Queueing, dispatch and early refusal of requests
  The scheduler of an entry that dispatches directly, on a manual clock, without a network.

  Scenario: A burst of short valuable requests among long cheap ones
    For ten seconds, five upstreams of four slots get 2.7 times as many requests as they
    can serve: short ones of the highest and a middle rank, and long
    ones of the lowest, whose answers hold a slot for two seconds. The figures are those
    of a model service whose mean prompts take 0.1 s to read and whose chats write for
    seconds. Without reserved slots, the highest rank would wait for chats to end.
    Given a queue for 5 upstreams of 4 slots
    When these requests arrive per second for 10 s
      | rank    | requests | hold s | target s | deadline s |
      | highest | 30       | 0.25   | 0.8      | 5          |
      | middle  | 20       | 0.3    | 1.2      | 3          |
      | lowest  | 20       | 2.0    | 1.2      | 15         |
    Then at least 95% of the highest rank are dispatched within their target
    And at least 70% of the middle rank are dispatched within their target
    And at least 10% of the lowest rank are dispatched
    And refused first attempts below the highest rank waited at most 90% of their target
    And no upstream runs more requests than it has slots

  Scenario: Customers of two ranks, and slots for all
    Two customer ranks with three route ranks each, and 60% of the slots in use. With an
    eighth reserved for each higher rank, the lowest of the six ranks would need 60% of
    the slots free, and its callers would be refused although load is low.
    Given a queue for 5 upstreams of 9 slots
    When these requests arrive per second for 40 s
      | rank                      | requests | hold s | target s | deadline s |
      | highest                   | 10       | 0.25   | 0.8      | 5          |
      | middle                    | 10       | 0.25   | 1.2      | 3          |
      | lowest                    | 1        | 2.0    | 1.2      | 15         |
      | second customer's highest | 20       | 0.25   | 0.8      | 5          |
      | second customer's middle  | 20       | 0.25   | 1.2      | 3          |
      | second customer's lowest  | 5        | 2.0    | 1.2      | 15         |
    Then at least 99% of the highest rank are dispatched within their target
    And at least 95% of the second customer's lowest rank are dispatched within their target

  Scenario: Overload by requests of one rank
    One kind of request, at twice the capacity of the upstreams for ten seconds. Served
    oldest first, all of them would be late after a second.
    Given a queue for 5 upstreams of 4 slots
    When these requests arrive per second for 10 s
      | rank    | requests | hold s | target s | deadline s |
      | highest | 100      | 0.4    | 0.8      | 5          |
    Then at least 30% of the highest rank are dispatched within their target

  Scenario: Overload by answers whose lengths differ twentyfold
    Callers of one rank state the expected answer length. Two in three requests hold a
    slot for 0.1 s, the others for 2 s, together more than twice the capacity. In order
    of arrival the long ones would hold all slots and most short ones, which need a fifth
    of the slots, would be late. The figures follow a customer's requests, of which a
    tenth take half of all time.
    Given a queue for 5 upstreams of 4 slots
    When these requests arrive per second for 10 s
      | rank    | requests | hold s | target s | deadline s | answer tokens |
      | highest | 40       | 0.1    | 0.6      | 10         | 30            |
      | highest | 20       | 2.0    | 0.6      | 10         | 600           |
    Then at least 85% of the requests for 30 tokens are dispatched on time
    And at least 40% of the requests for 600 tokens are dispatched

  Scenario: A few of a rank's answers are much longer than the others
    Guards against requests for the longest answers hardly ever being dispatched.
    Given a queue for 5 upstreams of 4 slots
    When these requests arrive per second for 10 s
      | rank    | requests | hold s | target s | deadline s | answer tokens |
      | highest | 30       | 0.3    | 0.8      | 5          | 75            |
      | lowest  | 60       | 0.2    | 1.2      | 15         | 50            |
      | lowest  | 6        | 3.0    | 1.2      | 15         | 750           |
    Then requests for 750 tokens are dispatched at least half as often as all of the lowest rank

  Scenario: Requests that say nothing of their length
    Guards against some of them counting as long.
    When 100 requests without an expected answer length arrive
    Then none of them counts as long

  Scenario: Low load
    Given a queue for 5 upstreams of 4 slots
    When these requests arrive per second for 5 s
      | rank    | requests | hold s | target s | deadline s |
      | highest | 10       | 0.25   | 0.8      | 5          |
      | lowest  | 2        | 1.0    | 1.2      | 15         |
    Then no request is refused or waits

  Scenario: A resubmitted request goes before new ones of its rank
    Given a queue for 1 upstream of 1 slot
    When one request runs, and a new one and a resubmitted one wait
    Then the resubmitted one is dispatched next

  Scenario: A free slot is left to a peer's request of a higher rank
    Given a queue for 1 upstream of 8 slots
    And a peer has 2 waiting requests of a higher rank
    When a request of a lower rank arrives
    Then it waits

  Scenario: A request isn't sent to the same upstream twice
    Given a queue for 2 upstreams of 1 slot
    When a request arrives that was sent to the first upstream before
    Then it is sent to the second upstream

  Scenario: A long prompt waits for a fast upstream
    One of two engines is three times as fast as the other. A prompt of 20,000 tokens
    takes more than a second at the slow one; if the fast one is full, a slot there
    becomes free within a tenth of that. Short prompts needn't wait.
    Given a queue for 2 upstreams of 1 slot
    And the first upstream takes 40 ms per step and the second 12 ms
    When the second upstream is full, and a long and a short prompt arrive
    Then the short one is sent to the first, and the long one to the second once it is free

  Scenario: Engines read prompts faster than expected
    The engines read 2,460 prompt tokens per step, four times the initial estimate, and
    prompts have 6,610 tokens; both figures are from a customer's sheets. By the initial
    estimate, a long prompt would wait for a fast engine although a free slow one answers
    it in time.
    Given a queue for 2 upstreams of 1 slot
    And the first upstream takes 40 ms per step and the second 12 ms
    When 40 prompts of 6610 tokens are read at 2460 tokens per step
    Then the prefill rate expected for 6610 tokens is within 5% of that
    And with the second full, a prompt of 20000 tokens is sent to the first immediately

  Scenario: A request that may not wait comes, and a place is free
    Guards against such a request being refused although a slot is free.
    Given a queue for 1 upstream of 1 slot
    When a request arrives that may not wait
    Then it is sent to the first upstream
    When a request arrives that may not wait
    Then it is refused immediately

  Scenario: A request comes whose caller may have left, and a place is free
    Guards against a refusal because of the time alone, while slots are free.
    Given a queue for 1 upstream of 1 slot
    When a request arrives whose caller's patience has run out
    Then it is sent to the first upstream

  Scenario: A request waits while nobody else comes
    Guards against a freed slot that stays unused.
    Given a queue for 1 upstream of 1 slot
    When one request runs for 6 s while another one waits
    Then the waiting one is dispatched

  Scenario: An upstream that leaves gets nothing new
    Given a queue for 1 upstream of 4 slots
    When the upstream is leaving and a request arrives
    Then it is refused because there is no upstream

  Scenario: An unreachable upstream is suspended, then tried by one request at a time
    Given a queue for 1 upstream of 4 slots
    When the upstream can't be reached
    Then nothing is sent there during the suspension, and then one request at a time
    When that request is answered
    Then all its slots can be used again

  Scenario: Retry-After is at most a third of the remaining time
    Given a queue for 1 upstream of 1 slot
    When 60 requests with 1.5 s left arrive at once
    Then each refusal on arrival has a Retry-After between 0.3 s and 0.5 s

  Scenario: Rank of requests without a key
    Their callers are unknown. If they ranked above all customers, they would make the
    customers' highest rank the second one, whose requests are refused once they are late.
    Given customers of rank 1 and rank 3
    Then a request without a key has rank 3, and a customer's has the customer's rank
    And without any customers it has rank 0

  Scenario: Upstreams crash and are replaced by others at their addresses
    Six of 24 upstreams crash. For three seconds their records stay, and the upstreams
    now at their addresses reject every request. Since nothing runs there, they look like
    the best choice for every request.
    Given a queue for 24 upstreams of 9 slots
    When 6 of them are replaced by other upstreams at their addresses
    And 100 requests arrive, one every 10 ms
    Then none is sent to these 6
    When 5 s later 100 requests arrive, one every 10 ms
    Then some are sent to these 6

  Scenario: Many entries choose before they hear of each other's requests
    60 entries send a request each within the time that a message takes. All see the same
    upstream as the best one; the last of the prompts read there would be late.
    Given a queue for 59 upstreams of 5 slots
    And one of them is faster than all others
    When 60 entries whose reports are 0.1 s old send a request each
    Then no upstream gets more of them than it has slots

  Scenario: One entry chooses alone
    Given a queue for 59 upstreams of 5 slots
    And one of them is faster than all others
    When requests arrive one by one, each after the end of the previous one
    Then all are sent to the fastest upstream

  Scenario: A burst of long answers of the lowest rank, while no higher rank waits
    Guards against slots that stay reserved for ranks which don't need them.
    Given a queue for 20 upstreams of 5 slots
    When these requests arrive per second for 8 s
      | rank    | requests | hold s | target s | deadline s |
      | highest | 30       | 0.4    | 0.8      | 5          |
      | middle  | 50       | 0.3    | 1.0      | 3          |
      | lowest  | 44       | 1.8    | 1.2      | 15         |
    Then at least 97% of the highest rank are dispatched within their target
    And at least 97% of the middle rank are dispatched within their target
    And at least 95% of the lowest rank are dispatched within their target
