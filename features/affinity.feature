Feature: A bounded hint of which upstream holds which prefix

  Scenario: Equal prefixes have equal names
    Then prompts alike in 8 of 11 words share 2 names of 4
    And a prompt of 3 words has no names in blocks of 4
    And a prompt of 9999 words has 64 names in blocks of 4
    And the second block's name is the hash of the first name and its words

  Scenario: The longest unbroken prefix counts
    Given a sketch of 100 entries
    When "a" holds blocks 1, 2, 3
    And "b" holds blocks 1
    And "c" holds blocks 2, 3
    Then blocks 1, 2, 3, 4 are warm at a=12, b=4

  Scenario: Dropped blocks end the prefix
    Given a sketch of 100 entries
    When "a" holds blocks 1, 2, 3
    And "a" drops blocks 2
    Then blocks 1, 2, 3 are warm at a=4

  Scenario: The oldest are forgotten within the bound
    Given a sketch of 3 entries
    When "a" holds blocks 1, 2
    And "b" holds blocks 5, 6
    Then the sketch has 3 entries
    And blocks 5, 6 are warm at b=8
    And blocks 1, 2 are warm at a=4

  Scenario: Events in order add up
    Given a sketch of 100 entries
    When life 1 of "a" tells 0 that it holds blocks 1
    And life 1 of "a" tells 1 that it holds blocks 2
    And life 1 of "a" tells 1 that it holds blocks 3
    Then blocks 1, 2, 3 are warm at a=8

  Scenario: An agent tells each prefix once, and again after it was dropped
    Given an agent whose engine has answered a prompt of blocks 1, 2
    When its engine answers a prompt of blocks 1, 2, 3
    And its engine answers a prompt of blocks 1, 2
    Then the entry was told of blocks 1, 2 and then of 3
    When its engine drops blocks 2
    And its engine answers a prompt of blocks 1, 2
    Then the entry was told of blocks 1, 2 and then of 3 and then of 2

  Scenario: A gap forgets what was believed
    An event that told of a removal may be the one that was lost. Requests would
    hold out for a cache that is cold, so only what is told from here on counts.
    Given a sketch of 100 entries
    When life 1 of "a" tells 0 that it holds blocks 1
    And life 1 of "a" tells 2 that it holds blocks 5
    Then blocks 1 are warm nowhere
    And blocks 5 are warm at a=4

  Scenario: A new life of the agent forgets what the earlier one told
    Given a sketch of 100 entries
    When life 1 of "a" tells 0 that it holds blocks 1
    And life 2 of "a" tells 1 that it holds blocks 5
    Then blocks 1 are warm nowhere
    And blocks 5 are warm at a=4
