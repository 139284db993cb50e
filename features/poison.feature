Feature: Content that crashes upstreams is refused, and bystanders aren't

  Scenario: The culprit is told from what ran beside it
    A request crashes its upstream; its caller sends it again and it crashes
    another. Different requests ran beside it each time. Only what ran in both is
    refused from then on.
    Given a crash ledger with a threshold of 2
    When "a" crashes running bad, b1, b2
    Then nothing is quarantined
    When "b" crashes running bad, b3, b4
    Then just bad is quarantined

  Scenario: Crashes of one upstream are no evidence
    An upstream that crashes by itself again and again would condemn whatever is
    sent to it.
    Given a crash ledger with a threshold of 2
    When "a" crashes running b1
    And "a" crashes running b1
    Then nothing is quarantined

  Scenario: A crash that is told of twice counts once
    Given a crash ledger with a threshold of 2
    When "a" crashes running bad
    And the same crash is told again as of "b"
    Then nothing is quarantined

  Scenario: A bystander that was sent again beside the culprit isn't refused
    Both ran in the first two crashes, so more evidence is waited for. The third
    crash shows which of them explains all three.
    Given a crash ledger with a threshold of 2
    When "a" crashes running bad, b1
    And "b" crashes running bad, b1
    Then nothing is quarantined
    When "c" crashes running bad, b2
    Then just bad is quarantined
    When "d" crashes running b1
    Then just bad is quarantined

  Scenario: Content that was answered whole is no suspect
    A position check that everybody sends runs in every crash, since it runs
    everywhere.
    Given a crash ledger with a threshold of 2
    When popular is answered
    And "c" crashes running popular, b1
    And "d" crashes running popular, b2
    Then nothing is quarantined
    When "a" crashes running bad, popular
    And "b" crashes running bad, popular
    Then just bad is quarantined

  Scenario: What can't be told apart is refused in the end
    Given a crash ledger with a threshold of 2
    When "a" crashes running bad, twin
    And "b" crashes running bad, twin
    And "c" crashes running bad, twin
    Then nothing is quarantined
    When "d" crashes running bad, twin
    Then just bad, twin is quarantined

  Scenario: What explains fewer crashes isn't refused with those that explain all
    Given a crash ledger with a threshold of 2
    When "a" crashes running bad, twin
    And "a" crashes running bad, twin, b1
    And "b" crashes running bad, twin, b1
    And "c" crashes running bad, twin, b1
    And "d" crashes running bad, twin, b1
    Then just bad, twin is quarantined

  Scenario: A quarantine ends
    Given a crash ledger with a threshold of 2
    When "a" crashes running bad
    And "b" crashes running bad
    And 601 s pass for the ledger
    Then nothing is quarantined

  Scenario: Bystanders survive many seeds
    Given 50 seeded runs of 10 upstreams with 8 slots, one culprit and callers that send again
    Then the culprit was quarantined in each run after at most 6 crashes
    And no bystander was quarantined in any run
