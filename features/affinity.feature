Feature: A bounded index of the prompt prefixes that each upstream has cached

  Scenario: Equal prefixes have equal hashes
    Then prompts with 8 of 11 words in common share 2 hashes of blocks of 4
    And a prompt of 3 words has no hashes of blocks of 4
    And a prompt of 9999 words has 64 hashes of blocks of 4
    And the second block's hash covers the first hash and its own words

  Scenario: Only blocks cached contiguously from the first count
    Given a prefix index of 100 entries
    When "a" caches blocks 1, 2, 3
    And "b" caches blocks 1
    And "c" caches blocks 2, 3
    Then blocks 1, 2, 3, 4 are cached at a=12, b=4

  Scenario: An evicted block ends the cached prefix
    Given a prefix index of 100 entries
    When "a" caches blocks 1, 2, 3
    And "a" evicts blocks 2
    Then blocks 1, 2, 3 are cached at a=4

  Scenario: The least recently used prefixes are evicted at the limit
    Given a prefix index of 3 entries
    When "a" caches blocks 1, 2
    And "b" caches blocks 5, 6
    Then the prefix index has 3 entries
    And blocks 5, 6 are cached at b=8
    And blocks 1, 2 are cached at a=4

  Scenario: Events in order accumulate, and a duplicate is ignored
    Given a prefix index of 100 entries
    When event 0 of incarnation 1 of "a" adds blocks 1
    And event 1 of incarnation 1 of "a" adds blocks 2
    And event 1 of incarnation 1 of "a" adds blocks 3
    Then blocks 1, 2, 3 are cached at a=8

  Scenario: An agent reports each prefix once, and again after its eviction
    Given an agent whose engine has answered a prompt of blocks 1, 2
    When its engine answers a prompt of blocks 1, 2, 3
    And its engine answers a prompt of blocks 1, 2
    Then the agent reported blocks 1, 2 and then 3
    When its engine evicts blocks 2
    And its engine answers a prompt of blocks 1, 2
    Then the agent reported blocks 1, 2 and then 3 and then 2

  Scenario: A gap in the events discards the upstream's entries
    The lost event may have been a removal. Requests would then wait for an
    upstream whose cache is cold, so only this and later events count.
    Given a prefix index of 100 entries
    When event 0 of incarnation 1 of "a" adds blocks 1
    And event 2 of incarnation 1 of "a" adds blocks 5
    Then blocks 1 are cached nowhere
    And blocks 5 are cached at a=4

  Scenario: A new incarnation of the agent discards the entries of the earlier one
    Given a prefix index of 100 entries
    When event 0 of incarnation 1 of "a" adds blocks 1
    And event 1 of incarnation 2 of "a" adds blocks 5
    Then blocks 1 are cached nowhere
    And blocks 5 are cached at a=4
