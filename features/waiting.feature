Feature: Order of the waiting requests

  Scenario: Tiers are served in strict order
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
    while the others have requests waiting.
    Given a queue where customer "large" has weight 3 and "small" has weight 1
    And 200 requests from "large" and 50 from "small" wait
    When 80 requests are taken
    Then 60 of them are from "large" and 20 from "small"

  Scenario: An idle customer earns no credit
    Given a queue where customer "large" has weight 1 and "small" has weight 1
    And 100 requests from "large" and 1 from "small" wait
    When 50 requests are taken
    And 40 more requests from "small" wait
    And 20 requests are taken
    Then 10 of them are from "large" and 10 from "small"

  Scenario: A request a hundred times longer is overtaken for a bounded time
    A long request waits while short ones of its customer keep arriving. They
    overtake it only if they arrive within about 10 s of it (20000 tokens at 2000
    per second), so it doesn't starve.
    Given a queue
    And a request of 20000 tokens waits at 0 s until 60 s
    When a request of 200 tokens arrives and one is taken every 0.1 s
    Then the long one is taken after 8 s and before 15 s

  Scenario: A request whose grant was refused regains its position
    Given a queue
    And these requests wait
      | name | tier     | tokens |
      | p1   | position | 100    |
      | p2   | position | 100    |
    When p1 is taken and requeued
    Then upstream "x" takes p1, p2 at 1 s

  Scenario: A request waits for the upstream with its prefix while that is cheaper
    Given a queue
    And these requests wait
      | name | tier     | tokens | cached at | cached |
      | w    | position | 1000   | a         | 400    |
      | c    | position | 1000   |           |        |
    Then upstream "b" takes c at 0.3 s
    And upstream "b" takes w at 0.41 s

  Scenario: A warm request goes first at the upstream that has its prefix cached
    Given a queue
    And these requests wait
      | name | tier     | tokens | cached at | cached |
      | c    | position | 100    |           |        |
      | w    | position | 200    | a         | 100    |
    Then upstream "a" takes w, c at 1 s

  Scenario: Affinity never serves a lower tier first
    The highest tier's only request waits for a warm upstream while a lower one
    could be served. Were the lower one granted, the higher would wait behind it,
    so the higher is granted and runs cold.
    Given a queue
    And these requests wait
      | name | tier     | tokens | cached at | cached |
      | w    | alert    | 1000   | a         | 400    |
      | l    | position | 1000   | b         | 400    |
    Then upstream "b" takes w, l at 0.1 s

  Scenario: A stream of warm requests doesn't starve a cold one
    Given a queue
    And a cold request waits at 0 s
    When a warm request arrives and one is taken every 0.05 s
    Then the cold one is taken before 5.1 s

  Scenario: Warm requests don't overtake one with a near deadline for long
    The cold request has a deadline of 2 s. If warm ones overtook it for longer than
    half of that, it could expire while others are served.
    Given a queue
    And a request of 100 tokens waits at 0 s until 2 s
    When a warm request arrives and one is taken every 0.05 s
    Then the cold one is taken before 1.1 s

  Scenario: A customer with warm prefixes doesn't monopolise its tier
    Given a queue where customer "cold" has weight 1 and "hot" has weight 1
    And customer "hot" has 600 requests with a prefix cached at "a"
    And customer "cold" has 300 requests with a prefix cached at "b"
    When 500 requests are taken by "a"
    Then at least 150 of them are from "cold"

  Scenario: Refused grants aren't charged to their customer
    Given a queue where customer "large" has weight 1 and "small" has weight 1
    And customer "large" has 50 requests with a prefix cached at "a"
    And customer "small" has 50 requests with a prefix cached at "b"
    When the next request for "a" is taken and requeued 11 times
    And 20 requests are taken
    Then 10 of them are from "large" and 10 from "small"

  Scenario: Counts, bytes and costs match the waiting requests
    Given a queue
    And these requests wait
      | name | tier     | tokens | cached at | cached |
      | r1   | report   | 10     |           |        |
      | p1   | position | 100    | a         | 40     |
      | a1   | alert    | 1000   |           |        |
    Then 1 report, 1 position and 1 alert wait, with 30 bytes
    And the backlog at positions and above is 1100 tokens
    When all requests below alerts are dropped
    Then 0 report, 0 position and 1 alert wait, with 10 bytes

  Scenario: The lowest tier's customer with the most backlog is shed first
    Given a queue where customer "large" has weight 1 and "small" has weight 1
    And 5 requests from "large" and 2 from "small" wait
    Then to make room for an alert, the last request from "large" is shed first
    And nothing is shed to make room for a position

  Scenario: Expired requests are removed once and never taken
    Given a queue
    And a request of 100 tokens waits at 0 s until 2 s
    Then upstream "x" takes nothing at 3 s
    And 1 request has expired at 3 s
    And 0 requests have expired at 3 s

  Scenario: A FIFO queue serves requests in order of arrival
    Given a FIFO queue
    And these requests wait
      | name | tier     | tokens |
      | r1   | report   | 9000   |
      | a1   | alert    | 10     |
    Then upstream "x" takes r1, a1 at 1 s

  Scenario: Random operations keep the queue's counts, costs and strict order
    Given a queue
    When 3000 random operations run with seed 7
    Then every take was from the highest tier, and counts and costs stayed right
