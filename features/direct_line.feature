Feature: Who goes next, where to, and who is refused early
  The scheduler of an entry that dispatches directly, driven without a network.

  Scenario: A closing burst of short valuable requests among long cheap ones
    The pattern: for ten seconds come two and a half times as many requests as
    five upstreams of four places can carry. Short ones of the highest rank and
    of a middle one come beside long ones of the lowest, whose answers hold a
    place for two seconds. The figures are those of a model service whose mean
    prompts take 0.1 s to read and whose chats write for seconds: with no place
    kept free, the highest rank would wait for chats to end.
    Given a line before 5 upstreams of 4 places
    When for 10 s there come each second
      | rank    | requests | hold s | target s | deadline s |
      | highest | 30       | 0.25   | 0.8      | 5          |
      | middle  | 20       | 0.3    | 1.2      | 3          |
      | lowest  | 20       | 2.0    | 1.2      | 15         |
    Then at least 95 in 100 of the highest rank begin within their target
    And at least 70 in 100 of the middle rank begin within their target
    And at least 10 in 100 of the lowest rank are served
    And who is refused has waited no longer than 90 in 100 of its target
    And no more run at an upstream than it has places

  Scenario: Customers of two ranks, and room for all
    The pattern: two ranks of customers with three ranks of routes each, and six places
    in ten taken. With an eighth kept free for each rank above, the lowest of six ranks
    would need six places in ten free, and its callers are refused in a calm hour.
    Given a line before 5 upstreams of 9 places
    When for 40 s there come each second
      | rank              | requests | hold s | target s | deadline s |
      | highest           | 10       | 0.25   | 0.8      | 5          |
      | middle            | 10       | 0.25   | 1.2      | 3          |
      | lowest            | 1        | 2.0    | 1.2      | 15         |
      | highest of others | 20       | 0.25   | 0.8      | 5          |
      | middle of others  | 20       | 0.25   | 1.2      | 3          |
      | lowest of others  | 5        | 2.0    | 1.2      | 15         |
    Then at least 99 in 100 of the highest rank begin within their target
    And at least 95 in 100 of the lowest of others rank begin within their target

  Scenario: All requests of one rank, more than can be carried
    The pattern: one kind of request, twice what the upstreams carry, for ten
    seconds. Served oldest first, all of them would be late after a second.
    Given a line before 5 upstreams of 4 places
    When for 10 s there come each second
      | rank    | requests | hold s | target s | deadline s |
      | highest | 100      | 0.4    | 0.8      | 5          |
    Then at least 30 in 100 of the highest rank begin within their target

  Scenario: Answers whose lengths differ by twenty times, more than can be carried
    The pattern: one rank, whose callers say how long an answer they expect. Two in
    three hold a place for 0.1 s, the others for 2 s: more than twice of what the
    upstreams carry. In order of arrival the long ones hold all places, and most short
    ones come too late; they need a tenth of the places. The figures are those of a
    customer's write-ups: a tenth of the answers take half of all time.
    Given a line before 5 upstreams of 4 places
    When for 10 s there come each second
      | rank    | requests | hold s | target s | deadline s | answer tokens |
      | highest | 40       | 0.1    | 0.6      | 10         | 30            |
      | highest | 20       | 2.0    | 0.6      | 10         | 600           |
    Then of answers of 30 tokens at least 85 in 100 begin within target
    And of answers of 600 tokens at least 40 in 100 are served

  Scenario: A few of a rank's answers are much longer than the others
    Guards against callers of the longest answers who are hardly ever served.
    Given a line before 5 upstreams of 4 places
    When for 10 s there come each second
      | rank    | requests | hold s | target s | deadline s | answer tokens |
      | highest | 30       | 0.3    | 0.8      | 5          | 75            |
      | lowest  | 60       | 0.2    | 1.2      | 15         | 50            |
      | lowest  | 6        | 3.0    | 1.2      | 15         | 750           |
    Then answers of 750 tokens are served at least half as often as all of the lowest rank

  Scenario: Requests that say nothing of their length
    Guards against some of them counting as long by chance.
    When 100 requests of a rank came that say nothing of their length
    Then none of them counted as long

  Scenario: There is room
    Given a line before 5 upstreams of 4 places
    When for 5 s there come each second
      | rank    | requests | hold s | target s | deadline s |
      | highest | 10       | 0.25   | 0.8      | 5          |
      | lowest  | 2        | 1.0    | 1.2      | 15         |
    Then nobody is refused or waits

  Scenario: One that came back goes before newcomers of its rank
    Given a line before 1 upstream of 1 place
    When one runs, and a newcomer and one that came back wait
    Then the one that came back goes next

  Scenario: A peer's more valuable request gets the free place
    Given a line before 1 upstream of 8 places
    And a peer has 2 requests of a higher rank in line
    When a request of a lower rank comes
    Then it waits

  Scenario: A request that was refused by one upstream waits for another
    Given a line before 2 upstreams of 1 place
    When a request comes that was sent to the first before
    Then it goes to the second

  Scenario: A long prompt waits for a fast upstream
    The pattern: a third of the engines is three times as fast as the others. A
    prompt of 20,000 tokens takes a second at a slow one; when the fast one's places
    are taken, they come free in a tenth of that. Short ones needn't wait.
    Given a line before 2 upstreams of 1 place
    And the first takes 40 ms a step and the second 12 ms
    When the second is taken, and a long prompt and a short one come
    Then the short one goes to the first, and the long one to the second when it is free

  Scenario: Engines read prompts faster than expected
    The pattern: engines that read 2,460 prompt tokens in the time of an event, four
    times what is expected before any was seen, and prompts of 6,610 tokens, both from a
    customer's sheets. By the first expectation a long prompt would wait for a fast
    engine although the slow one that is free answers it in time.
    Given a line before 2 upstreams of 1 place
    And the first takes 40 ms a step and the second 12 ms
    When 40 prompts of 6610 tokens were read at 2460 tokens a step
    Then a prompt of 6610 tokens is expected to be read within 5 in 100 of that pace
    And with the second taken, a prompt of 20000 tokens goes to the first at once

  Scenario: A request that may not wait comes, and a place is free
    Guards against a look for a free place that is refused whatever is free.
    Given a line before 1 upstream of 1 place
    When a request comes that may not wait
    Then it goes to the first
    When a request comes that may not wait
    Then it is refused at once

  Scenario: A request comes whose caller may have left, and a place is free
    Guards against a refusal beside free places, by the clock alone.
    Given a line before 1 upstream of 1 place
    When a request comes whose caller has seen nothing for as long as it waits
    Then it goes to the first

  Scenario: A request waits while nobody else comes
    Guards against a place that comes free and is given to nobody.
    Given a line before 1 upstream of 1 place
    When one runs for 6 s, and another one waits meanwhile
    Then the one that waited runs

  Scenario: An upstream that leaves gets nothing new
    Given a line before 1 upstream of 4 places
    When the upstream is leaving and a request comes
    Then it is refused because no upstream is there

  Scenario: An upstream that can't be reached is left alone, then tried once
    Given a line before 1 upstream of 4 places
    When the upstream can't be reached
    Then nothing is sent there for a while, and then one request at a time
    When that one is answered
    Then it takes as many as it has places again

  Scenario: Retry-After lies within the time in which callers come back
    Given a line before 1 upstream of 1 place
    When 60 requests with 1.5 s left come at once
    Then each refusal names between 0.3 s and 0.5 s

  Scenario: Requests without a key come beside those of customers
    Nobody vouches for them. Ranked before all customers, a trickle of them would make
    the customers' most urgent requests second, and those would be refused once late.
    Given customers of the ranks 1 and 3
    Then a request without a key ranks as 3, and a customer's as its own
    And with no customers at all it ranks as 0

  Scenario: Upstreams crash and start again as others at their addresses
    The pattern: six of 24 upstreams crash. For three seconds their records stay, and
    what answers at their addresses turns every request away. Nothing runs there, so
    they look like the best choice to every request.
    Given a line before 24 upstreams of 9 places
    When other upstreams are found at the addresses of 6 of them
    And 100 requests come, one each 10 ms
    Then none is sent to these 6
    When 5 s have passed, and 100 requests come, one each 10 ms
    Then some are sent to these 6

  Scenario: Many entries choose before they hear of each other
    The pattern: 60 entries send a request each within the time that a message takes. All
    see the same upstream as the best; the last of 59 prompts read there would be late.
    Given a line before 59 upstreams of 5 places
    And one of them is faster than all others
    When 60 entries that hear of each other 0.1 s late send a request each
    Then no upstream gets more of them than it has places

  Scenario: One entry chooses alone
    Given a line before 59 upstreams of 5 places
    And one of them is faster than all others
    When requests come one by one, each after the end of the one before
    Then all go to the fastest

  Scenario: A burst of long answers of the lowest rank, while nobody above waits
    Guards against places that stand empty for ranks which don't need them.
    Given a line before 20 upstreams of 5 places
    When for 8 s there come each second
      | rank    | requests | hold s | target s | deadline s |
      | highest | 30       | 0.4    | 0.8      | 5          |
      | middle  | 50       | 0.3    | 1.0      | 3          |
      | lowest  | 44       | 1.8    | 1.2      | 15         |
    Then at least 97 in 100 of the highest rank begin within their target
    And at least 97 in 100 of the middle rank begin within their target
    And at least 95 in 100 of the lowest rank begin within their target
