Feature: Arrivals over a limit or expected to miss their deadline are refused at once

  Scenario: Without a measured drain rate everything is admitted
    Given admission control with 50 waiting positions of 100 tokens
    Then a position with 0.1 s to its deadline is admitted at 0 s

  Scenario: A request that can't meet its deadline is refused with a retry delay
    Admitted, it would wait until its deadline for nothing and delay requests that
    can still be served.
    Given admission control with 50 waiting positions of 100 tokens
    When 20 positions of 100 tokens are granted at 10 per second
    Then a position with 2.9 s to its deadline is refused as "deadline_unreachable" at 2 s
    And the retry delay is between 3 s and 4.5 s
    And a position with 3.1 s to its deadline is admitted at 2 s

  Scenario: Requests that wait in lower tiers don't delay a higher one
    Given admission control with 50 waiting reports of 100 tokens
    When 30 positions of 100 tokens wait
    And 20 positions of 100 tokens are granted at 10 per second
    Then a position with 0.9 s to its deadline is refused as "deadline_unreachable" at 2 s
    And a position with 1.1 s to its deadline is admitted at 2 s

  Scenario: The drain rate is measured only while requests wait
    Without a backlog an entry drains only as fast as requests arrive. If that rate
    were taken for the capacity, requests that could be served would be refused.
    Given admission control with 1 waiting positions of 100 tokens
    When 1 positions of 100 tokens are granted at 10 per second
    And a position is granted at 30 s with none waiting before
    Then no drain rate of positions is measured

  Scenario: A customer's rate limit allows at most its burst at once
    Given admission control where customers may send 2 per second with a burst of 3
    Then 3 positions are admitted at 0 s, the next refused as "customer_limit"
    And the retry delay is between 1 s and 1.5 s
    And 1 positions are admitted at 0.6 s, the next refused as "customer_limit"

  Scenario: A customer can't exceed its limit of waiting requests
    Given admission control where customers may have 4 waiting
    When 4 positions of 100 tokens wait
    Then a position with 9 s to its deadline is refused as "customer_limit" at 0 s
