Feature: Arrivals that can't be served are refused at once

  Scenario: Without a measured drain rate everything is admitted
    Given an admission and 50 waiting positions of 100 tokens
    Then a position with 0.1 s left is admitted at 0 s

  Scenario: A deadline that can't be met is refused with when to come back
    The caller would wait its whole deadline for nothing, and its place would
    delay those that can still be served. It hears at once how long the queue is.
    Given an admission and 50 waiting positions of 100 tokens
    When 20 positions of 100 tokens leave at 10 each second
    Then a position with 2.9 s left is refused as "deadline_unreachable" at 2 s
    And it may come back after 3 s to 4.5 s
    And a position with 3.1 s left is admitted at 2 s

  Scenario: What waits in lower tiers doesn't count
    Given an admission and 50 waiting reports of 100 tokens
    When 30 positions of 100 tokens wait
    And 20 positions of 100 tokens leave at 10 each second
    Then a position with 0.9 s left is refused as "deadline_unreachable" at 2 s
    And a position with 1.1 s left is admitted at 2 s

  Scenario: The drain rate is that of backlogged time
    An entry that was idle drains only as fast as requests arrive. Taken as the
    capacity, that rate would refuse requests that could be served.
    Given an admission and 1 waiting positions of 100 tokens
    When 1 positions of 100 tokens leave at 10 each second
    And 30 s pass without a request
    Then the drain rate of positions isn't known

  Scenario: A customer's burst is contained
    Given an admission where customers may send 2 a second with a burst of 3
    Then 3 positions are admitted at 0 s, the next refused as "customer_limit"
    And it may come back after 1 s to 1.5 s
    And 1 positions are admitted at 0.6 s, the next refused as "customer_limit"

  Scenario: A customer may not fill the queue
    Given an admission where customers may have 4 waiting
    When 4 positions of 100 tokens wait
    Then a position with 9 s left is refused as "customer_limit" at 0 s
