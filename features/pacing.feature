Feature: An agent limits its engine's concurrent requests

  Scenario: The limit rises while an engine stays fast
    Given a concurrency limit of at most 32 slots
    When 40 windows show first tokens after 0.05 s at the limit
    Then the limit is 32

  Scenario: The limit falls while an engine's first tokens are slow
    Requests beyond the engine's capacity queue inside it, where a higher tier
    waits behind a lower one.
    Given a concurrency limit of at most 32 slots
    When 1 windows show first tokens after 0.05 s at the limit
    And 10 windows show first tokens after 0.5 s at the limit
    Then the limit is below 4

  Scenario: One long prompt in a window doesn't lower the limit
    Given a concurrency limit of at most 32 slots
    When 20 windows show first tokens after 0.05 s at the limit but one after 5 s
    Then the limit is 32

  Scenario: No more requests are sent to an engine that processes a long prompt
    An alert sent to it would wait behind the long prompt for seconds while other
    engines are free. It waits in the entry instead, for the first engine with a
    free slot.
    Given an adaptive limit that has measured first tokens after 0.05 s
    When a request begins and 0.2 s pass
    Then there are free slots besides it
    When 0.1 s pass
    Then there are no free slots besides it
    When its first token arrives
    Then there are free slots besides it

  Scenario: An unused limit doesn't rise
    Given a concurrency limit of at most 32 slots
    When 40 windows show first tokens after 0.05 s with 1 running
    Then the limit is 16

  Scenario: Steps above the maximum time lower the limit
    Given a concurrency limit of at most 32 slots and steps of at most 0.044 s
    When 200 steps of 0.08 s are measured by the limit
    And 10 windows show first tokens after 0.05 s at the limit
    Then the limit is below 4

  Scenario: An engine at a fifth of its speed is a straggler until it recovers
    Given a straggler detector
    When it measures 200 steps of 0.004 s
    Then it is no straggler
    When it measures 50 steps of 0.02 s
    Then it is a straggler
    When it measures 5000 steps of 0.02 s
    Then it is a straggler
    When it measures 50 steps of 0.004 s
    Then it is no straggler

  Scenario: An engine of an older generation is no straggler
    Given a straggler detector whose peers step in 0.004 s
    When it measures 300 steps of 0.012 s
    Then it is no straggler

  Scenario: When all engines slow down under load none is a straggler
    Given a straggler detector whose peers step in 0.004 s
    When it measures 200 steps of 0.004 s
    And its peers step in 0.016 s
    And it measures 50 steps of 0.016 s
    Then it is no straggler

  Scenario: An engine that stops stepping is a straggler
    Given a straggler detector
    When it measures 200 steps of 0.004 s
    And 3 s pass with 2 requests running
    Then it is a straggler

  Scenario: An idle engine is no straggler
    Given a straggler detector
    When it measures 200 steps of 0.004 s
    And 30 s pass with 0 requests running
    Then it is no straggler

  Scenario: A straggler leaves the highest tier to the other agents
    Given a straggler pull policy
    Then a straggler may pull with lower tiers waiting at 0 s
    And a straggler may not pull with the highest tier waiting at 0.1 s
    And a straggler may not pull with the highest tier waiting at 0.9 s
    And a straggler may pull with the highest tier waiting at 1.2 s
    And a straggler may pull with lower tiers waiting at 1.3 s
    And a straggler may not pull with the highest tier waiting at 1.4 s

  Scenario: Retries stay within a ratio of first tries
    Callers retry every refused request. Without the bound there would be as
    many retries as first tries.
    Given a retry allowance of ratio 0.1 and 1 a second
    When 1000 first tries and 1000 retries come over 10 s
    Then from 70 to 120 retries were allowed

  Scenario: Retries don't accumulate while there are no requests
    Given a retry allowance of ratio 0.1 and 1 a second
    When 1000 first tries and 0 retries come over 10 s
    And 100 s pass without tries
    And 1 first tries and 100 retries come over 0.001 s
    Then from 9 to 11 retries were allowed
