Feature: The store comes back from an older copy
  What was written there since the copy is gone, its offsets are given out again, and its
  number rises. The operator and the upstreams write again what they wrote. Feeds of
  several entries with a fake store and a simulated clock.

  Scenario: A configuration is written at an offset that was given out before
    Guards against followers that ask for offsets of the copy before, and readers that ask
    for them again and again.
    Given 6 entries before a store with a configuration
    And the entries follow it for 20 s
    When the store keeps a copy
    And the operator writes version 2, and 1.5 s pass
    And the operator writes version 3, and 1.5 s pass
    And the store is away for 2 s and comes back from its copy
    And the entries go on for 2 s
    And the operator writes version 4, and 1.5 s pass
    Then version 4 is in force at all entries
    And no entry called the store more than 40 times since the copy

  Scenario: Versions follow each other while the copy's offsets catch up
    Guards against a version that an entry skips since it knows its offset.
    Given 6 entries before a store with a configuration
    And the entries follow it for 20 s
    When the store keeps a copy
    And the operator writes version 2, and 1.5 s pass
    And the operator writes version 3, and 1.5 s pass
    And the store is away for 2 s and comes back from its copy
    And the entries go on for 2 s
    And the operator writes a version every 0.2 s from 4 to 12
    Then each was in force within 1.7 s at all 6 entries

  Scenario: Nobody writes again what one entry alone has read
    Guards against a revoked key that other entries accept since they never heard of it.
    Given 6 entries before a store with a configuration
    And the entries follow it for 20 s
    When the store keeps a copy
    And version 2 reaches entry-4 alone before the store goes away
    And the store is away for 2 s and comes back from its copy
    And the entries go on for 1.5 s
    Then version 2 is in force at all entries

  Scenario: The copy is older than what is in force
    Guards against keys that stay valid on the word of a store that lacks what was revoked.
    Given 6 entries before a store with a configuration
    And the entries follow it for 20 s
    When the store keeps a copy
    And the operator writes version 2, and 1.5 s pass
    And the store is away for 2 s and comes back from its copy
    And the entries go on for 6 s
    Then version 2 is in force at all entries
    And no entry accepts keys
    When the operator writes version 2, and 1.5 s pass
    Then all entries accept keys

  Scenario: An entry was cut off while the store went back
    Guards against an entry that relies on what it knew of the copy before.
    Given 6 entries before a store with a configuration
    And the entries follow it for 20 s
    When the store keeps a copy
    And the operator writes version 2, and 1.5 s pass
    And entry-1 is cut off
    And the store is away for 1 s and comes back from its copy
    And the operator writes version 3, and 3 s pass
    And entry-1 is back, and 2 s pass
    Then version 3 is in force at all entries

  Scenario: A reply from before the store went back arrives late
    Guards against records of the copy before that take the place of those of this one.
    Given 6 entries before a store with a configuration
    And the entries follow it for 20 s
    When the store keeps a copy
    And the operator writes version 2, and 1.5 s pass
    And the operator writes version 2, and 1.5 s pass
    And a reply to entry-5 is held back
    And the store is away for 2 s and comes back from its copy
    And the entries go on for 2 s
    And the operator writes version 3, and 1.5 s pass
    And the reply arrives
    And the operator writes version 4, and 1.5 s pass
    Then version 4 is in force at all entries

  Scenario: The store goes back without a number that tells
    Guards against a loop of reads when the number stays as it was.
    Given 6 entries before a store with a configuration
    And the entries follow it for 20 s
    When the store keeps a copy
    And the operator writes version 2, and 1.5 s pass
    And the operator writes version 3, and 1.5 s pass
    And the store goes back to its copy with the same number
    And the operator writes version 4, and 3 s pass
    Then version 4 is in force at all entries
    And no entry called the store more than 40 times since the copy

  Scenario: An upstream that leaves is ready in the copy
    Guards against requests to an upstream whose leaving an entry has already read.
    Given 6 entries before a store with upstreams a and b
    And the entries follow it for 20 s
    When the store keeps a copy
    And upstream a says that it leaves, and 3 s pass
    And the store is away for 1 s and comes back from its copy
    And the entries go on for 3 s
    Then a is leaving and b is ready at all entries throughout

  Scenario: An upstream that has left is still in the copy
    Guards against an upstream that comes back to life, and its address with it.
    Given 6 entries before a store with upstreams a and b
    And the entries follow it for 20 s
    When the store keeps a copy
    And upstream a is deleted, and 4 s pass
    And the store is away for 1 s and comes back from its copy
    And the entries go on for 3 s
    Then only b was known at all entries throughout
    When upstream a registers again, and 3 s pass
    Then all entries know a and b

  Scenario: An upstream is not in the copy
    Guards against a live upstream that is dropped before it could register again.
    Given 6 entries before a store with upstreams a and b
    And the entries follow it for 20 s
    When the store keeps a copy
    And upstream c registers, and 3 s pass
    And the store is away for 1 s and comes back from its copy
    And upstream c registers again 1 s later
    And the entries go on for 4 s
    Then c was known at all entries throughout

  Scenario: Other entries tell of a copy whose number the store never had
    Guards against an entry that ignores the store for good.
    Given 6 entries before a store with a configuration
    And the entries follow it for 20 s
    When entry-5 is told of copy 900, and the entries go on for 3 s
    And the operator writes version 2, and 1.5 s pass
    Then version 2 is in force at all entries
    And all entries accept keys

  Scenario: A conditional write spans two copies
    Guards against a write whose condition holds by chance in another copy.
    Given a client of a store whose copy ends where the topic did
    When it writes on the condition that a read from before the copy still holds
    Then the write is a conflict

  Scenario: Burst credits are lost with the copy
    Guards against a credit in force that nothing accounts for after a restart.
    Given an entry whose credits "tours" are in force and "guides" ended
    When the store comes back from a copy that has only "guides"
    Then it records "tours" again and deletes "guides"

  Scenario: An order comes again under another number
    Guards against a roll-out that starts again, or one that a replaced order takes back.
    Given an entry whose roll-out to v3 replaced one to v2
    When the store comes back from a copy, and the orders for v2 and v3 come again
    Then the roll-out to v3 goes on under its new number
    And its record is due once more
    When the order for v3 comes once more under a higher number
    Then a new roll-out has begun
