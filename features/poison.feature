Feature: Content that crashes upstreams is quarantined, and bystanders aren't

  Scenario: The culprit is distinguished from content that ran beside it
    A request crashes its upstream; its caller sends it again and it crashes
    another. Different requests ran beside it each time, so only the content that
    ran in both crashes is quarantined.
    Given a crash history with a threshold of 2
    When "a" crashes running bad, b1, b2
    Then nothing is quarantined
    When "b" crashes running bad, b3, b4
    Then only bad is quarantined

  Scenario: Repeated crashes of one upstream quarantine nothing
    An upstream that keeps crashing for its own reasons would otherwise quarantine
    whatever is sent to it.
    Given a crash history with a threshold of 2
    When "a" crashes running b1
    And "a" crashes running b1
    Then nothing is quarantined

  Scenario: A crash that is reported twice counts once
    Given a crash history with a threshold of 2
    When "a" crashes running bad
    And the same crash is reported again for "b"
    Then nothing is quarantined

  Scenario: A bystander that was sent again beside the culprit isn't quarantined
    Both ran in the first two crashes, so more evidence is needed. The third crash
    shows which of them explains all three.
    Given a crash history with a threshold of 2
    When "a" crashes running bad, b1
    And "b" crashes running bad, b1
    Then nothing is quarantined
    When "c" crashes running bad, b2
    Then only bad is quarantined
    When "d" crashes running b1
    Then only bad is quarantined

  Scenario: Content that was answered completely isn't quarantined
    A request that every caller sends runs in every upstream, and so in every crash.
    Given a crash history with a threshold of 2
    When popular is answered
    And "c" crashes running popular, b1
    And "d" crashes running popular, b2
    Then nothing is quarantined
    When "a" crashes running bad, popular
    And "b" crashes running bad, popular
    Then only bad is quarantined

  Scenario: Contents that can't be distinguished are quarantined after more crashes
    Given a crash history with a threshold of 2
    When "a" crashes running bad, twin
    And "b" crashes running bad, twin
    And "c" crashes running bad, twin
    Then nothing is quarantined
    When "d" crashes running bad, twin
    Then only bad, twin is quarantined

  Scenario: Content that explains fewer crashes isn't quarantined with the culprits
    Given a crash history with a threshold of 2
    When "a" crashes running bad, twin
    And "a" crashes running bad, twin, b1
    And "b" crashes running bad, twin, b1
    And "c" crashes running bad, twin, b1
    And "d" crashes running bad, twin, b1
    Then only bad, twin is quarantined

  Scenario: A quarantine expires
    Given a crash history with a threshold of 2
    When "a" crashes running bad
    And "b" crashes running bad
    And 601 s pass for the crash history
    Then nothing is quarantined

  Scenario: No bystander is quarantined in many random runs
    Given 50 seeded runs of 10 upstreams with 8 slots, one culprit and callers that retry
    Then the culprit was quarantined in each run after at most 6 crashes
    And no bystander was quarantined in any run

  Scenario: A companion crashes one more upstream than the culprit
    Guards against a culprit whose crashes are all put down to what ran beside it.
    Given a crash history with a threshold of 2
    When "a" crashes running twin
    And "b" crashes running bad, twin
    And "c" crashes running bad, twin
    And "d" crashes running bad, twin
    And "e" crashes running bad
    Then only bad, twin is quarantined
