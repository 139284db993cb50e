Feature: Which waiting request goes next

  Scenario: Tiers go in strict order
    Given a queue
    And these requests wait
      | name | tier     | tokens |
      | r1   | report   | 1      |
      | p1   | position | 100    |
      | a1   | alert    | 9000   |
      | p2   | position | 50     |
    Then upstream "x" takes a1, p2, p1, r1 at 1 s

  Scenario: Customers share a tier by weight
    A customer that sends far more than the others gets no more than its share
    while the others wait, and what it didn't use earlier isn't saved up.
    Given a queue where customer "large" weighs 3 and "small" weighs 1
    And 200 requests of "large" and 50 of "small" wait
    When 80 requests are taken
    Then 60 of them are of "large" and 20 of "small"

  Scenario: An idle customer saves up no turns
    Given a queue where customer "large" weighs 1 and "small" weighs 1
    And 100 requests of "large" and 1 of "small" wait
    When 50 requests are taken
    And 40 more requests of "small" wait
    And 20 requests are taken
    Then 10 of them are of "large" and 10 of "small"

  Scenario: A request a hundred times longer neither holds up short ones nor starves
    A long report waits while short ones of its customer keep arriving. Those that
    arrive soon after it go first; the ones that arrive later than its size
    justifies don't, so it is answered before its deadline.
    Given a queue
    And a request of 20000 tokens waits at 0 s until 60 s
    When a request of 200 tokens arrives each 0.1 s and one is taken each 0.1 s
    Then the long one is taken after 8 s and before 15 s

  Scenario: A refused grant keeps its place
    Given a queue
    And these requests wait
      | name | tier     | tokens |
      | p1   | position | 100    |
      | p2   | position | 100    |
    When p1 is taken and put back
    Then upstream "x" takes p1, p2 at 1 s

  Scenario: A request waits for its warm upstream while that is cheaper
    Given a queue
    And these requests wait
      | name | tier     | tokens | warm  | held |
      | w    | position | 1000   | a     | 400  |
      | c    | position | 1000   |       |      |
    Then upstream "b" takes c at 0.3 s
    And upstream "b" takes w at 0.41 s

  Scenario: A warm request goes first to the upstream that holds its prefix
    Given a queue
    And these requests wait
      | name | tier     | tokens | warm  | held |
      | c    | position | 100    |       |      |
      | w    | position | 200    | a     | 100  |
    Then upstream "a" takes w, c at 1 s

  Scenario: Affinity never puts a lower tier in front
    The highest tier's only request holds out for a warm upstream while a lower
    one is ready to go. Were the lower one granted, the higher would wait behind
    it; so the higher goes cold.
    Given a queue
    And these requests wait
      | name | tier     | tokens | warm  | held |
      | w    | alert    | 1000   | a     | 400  |
      | l    | position | 1000   | b     | 400  |
    Then upstream "b" takes w, l at 0.1 s

  Scenario: A stream of warm requests doesn't starve a cold one
    Given a queue
    And a cold request waits at 0 s
    When a warm request arrives each 0.05 s and one is taken each 0.05 s
    Then the cold one is taken before 5.1 s

  Scenario: Warm requests don't pass one that has little time left
    The cold request's caller waits at the most 2 s. Were warm ones to pass it for
    longer than half of that, it would expire while others are served.
    Given a queue
    And a request of 100 tokens waits at 0 s until 2 s
    When a warm request arrives each 0.05 s and one is taken each 0.05 s
    Then the cold one is taken before 1.1 s

  Scenario: A customer whose prefixes are warm doesn't take the tier over
    Given a queue where customer "cold" weighs 1 and "hot" weighs 1
    And customer "hot" has 600 requests warm at "a"
    And customer "cold" has 300 requests warm at "b"
    When 500 requests are taken by "a"
    Then at least 150 of them are of "cold"

  Scenario: Refused grants cost their customer nothing
    Given a queue where customer "large" weighs 1 and "small" weighs 1
    And customer "large" has 50 requests warm at "a"
    And customer "small" has 50 requests warm at "b"
    When the next request for "a" is taken and put back 11 times
    And 20 requests are taken
    Then 10 of them are of "large" and 10 of "small"

  Scenario: Counts, bytes and costs follow what waits
    Given a queue
    And these requests wait
      | name | tier     | tokens | warm  | held |
      | r1   | report   | 10     |       |      |
      | p1   | position | 100    | a     | 40   |
      | a1   | alert    | 1000   |       |      |
    Then the queue counts 1, 1, 1 and holds 30 bytes
    And 1100 tokens are ahead of a position request
    When all below an alert are dropped
    Then the queue counts 0, 0, 1 and holds 10 bytes

  Scenario: Room is made from the lowest tier's most loaded customer
    Given a queue where customer "large" weighs 1 and "small" weighs 1
    And 5 requests of "large" and 2 of "small" wait
    Then the victim for an alert is the last of "large"
    And there is no victim for a position request

  Scenario: Expired requests are handed out once and never taken
    Given a queue
    And a request of 100 tokens waits at 0 s until 2 s
    Then upstream "x" takes nothing at 3 s
    And 1 request has expired at 3 s
    And 0 requests have expired at 3 s

  Scenario: Without tiers the order is that of arrival
    Given a first-come queue
    And these requests wait
      | name | tier     | tokens |
      | r1   | report   | 9000   |
      | a1   | alert    | 10     |
    Then upstream "x" takes r1, a1 at 1 s

  Scenario: A random run keeps the queue's books and its strict order
    Given a queue
    When 3000 random operations run with seed 7
    Then no take put a lower tier in front and the books always agreed
