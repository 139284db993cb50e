Feature: Entries relay records of the platform's store to each other
  Feeds of several entries with a fake store and a simulated clock. Messages between
  entries are delivered immediately unless a step says otherwise.

  Scenario: Only two of six entries call the store
    Six entries for twenty seconds without new records. Without relaying, each entry
    would call the store 27 times.
    Given 6 entries before a store with a configuration
    When the entries follow it for 20 s
    Then all have it in force and accept keys
    And the store was called at most 130 times in all, and by 4 entries at most 4 times

  Scenario: A new version reaches the followers
    Given 6 entries before a store with a configuration
    When the entries follow it for 20 s
    And the operator writes version 2, and 1.5 s pass
    Then version 2 is in force at all entries

  Scenario: The store reads of both readers hang
    A configuration that revokes a key must be in force two seconds after it was written.
    The readers keep replying to queries while their own reads hang, so their replies are
    valid but old. The followers must stop relying on them in time.
    Given 6 entries before a store with a configuration
    And the entries follow it for 20 s
    When the store reads of the first 2 entries hang
    And the operator writes a version every 0.2 s from 2 to 12
    Then each was in force within 1.7 s at the other 4 entries

  Scenario: Versions follow each other quickly while the store rejects one entry
    A reader notifies the rejected entry of each version, which queries it at once.
    Given 6 entries before a store with a configuration
    And the entries follow it for 20 s
    When the store rejects the first 1 entries from now on, and 3 s pass
    And the operator writes a version every 0.2 s from 2 to 12
    Then each was in force within 1.7 s at all 6 entries

  Scenario: A new version reaches an entry as soon as another one has read it
    Given 6 entries before a store with a configuration
    And the entries follow it for 20 s
    When the operator writes version 2, and 0.6 s pass
    Then version 2 is in force at all entries

  Scenario: A configuration of hundreds of routes
    Relaying it over a small instance's link would delay all requests of that instance.
    Followers are told that it is too large, and read it from the store once each.
    Given 6 entries before a store with a configuration
    And the entries follow it for 20 s
    When the operator writes version 2 with 300 routes, and 1.5 s pass
    Then version 2 is in force at all entries
    And no reply held more than 9 KB of values
    And each follower called the store at most 4 times

  Scenario: Large configurations follow each other quickly
    Guards against every entry reading every version because none can be relayed.
    Given 6 entries before a store with a configuration
    And the entries follow it for 20 s
    When the operator writes a version with 300 routes every 0.1 s from 2 to 61
    Then each was in force within 1.7 s at all 6 entries
    And each follower called the store at most 20 times

  Scenario: Large configurations follow each other quickly while the store rejects some
    Guards against entries that call the store for every version although it rejects
    them.
    Given 6 entries before a store with a configuration
    And the entries follow it for 20 s
    When the store rejects the last 2 entries from now on
    And the operator writes a version with 300 routes every 0.1 s from 2 to 61
    Then each was in force within 1.7 s at all 6 entries
    And each follower called the store at most 30 times

  Scenario: Large configurations follow each other quickly while some reads time out
    Guards against versions that come into force late because a read waits for a
    response.
    Given 6 entries before a store with a configuration
    And the entries follow it for 20 s
    When the store never responds to the last 2 entries from now on
    And the operator writes a version with 300 routes every 0.1 s from 2 to 61
    Then each was in force within 1.9 s at all 6 entries

  Scenario: Store calls are counted by their reason
    Guards against paid store calls that no metric explains.
    Given 6 entries before a store with a configuration
    And the entries follow it for 20 s
    When the operator writes version 2 with 300 routes, and 1.5 s pass
    And the store rejects the first 2 entries from now on, and 3 s pass
    Then each entry counted all its store calls by reason: first, reader, too_large, retry, stale

  Scenario: A large configuration at an entry that the store rejects
    Given 6 entries before a store with a configuration
    And the entries follow it for 20 s
    When the store rejects the first 1 entries from now on, and 1 s pass
    And the operator writes version 2 with 300 routes, and 3 s pass
    Then version 2 is in force at all entries

  Scenario: The store rejects both readers
    The followers notice that the readers' state gets old and read the store themselves;
    the readers then use replies from the followers. All keep accepting keys.
    Given 6 entries before a store with a configuration
    And the entries follow it for 20 s
    When the store rejects the first 2 entries from now on, and 20 s pass
    Then all accepted keys throughout

  Scenario: The store rejects all entries
    State must not look fresher because entries relay it to each other.
    Given 6 entries before a store with a configuration
    And the entries follow it for 20 s
    When the store rejects the first 6 entries from now on, and 6 s pass
    Then no entry accepts keys

  Scenario: A reply is delayed in the network
    A network partition holds a reply back for five seconds. When it is delivered, its
    content is five seconds older than when it was sent.
    Given 6 entries before a store with a configuration
    And the entries follow it for 20 s
    When a disconnected entry receives a reply 5 s after its query
    Then that entry doesn't accept keys

  Scenario: An entry that is behind can't bring back an older version
    Given 6 entries before a store with a configuration
    And the entries follow it for 20 s
    When an entry with version 2 in force receives an older reply with version 1
    Then version 2 stays in force at that entry

  Scenario: An upstream's tombstone expires before it is read
    The reader finds its offset expired and loads the newest record of each key. As the
    deletion's tombstone has expired, too, followers get a snapshot instead of changes.
    Given 6 entries before a store with upstreams a and b
    And the entries follow it for 20 s
    When upstream a is deleted, and the store expires all records so far
    Then within 3 s all entries know only b

  Scenario: Records expire while the store is down for all
    Upstreams can't renew their records, so all look deleted when the store recovers.
    They are alive and register again a second later; callers must not notice.
    Given 6 entries before a store with upstreams a and b
    And the entries follow it for 20 s
    When the store is down for 4 s, both records expire, and are back 1 s after it recovers
    Then all entries knew a and b throughout

  Scenario: An upstream leaves while the store rejects an entry
    The other entries relay the deletion. Since the store isn't down, the missing record
    means that the upstream has left, and the entry must not send there any more.
    Given 6 entries before a store with upstreams a and b
    And the entries follow it for 20 s
    When the store rejects one reader, and upstream a is deleted
    Then within 4 s all entries know only b

  Scenario: More keys are deleted than an entry keeps tombstones for
    A query from before the discarded tombstones can't be answered with the deletions.
    The reply is a snapshot, and the receiver removes all other keys.
    Given 6 entries before a store with upstreams a and b
    And the entries follow it for 20 s
    When 1100 other upstreams come and go, and a is deleted, while one entry is disconnected
    Then within 3 s all entries know only b
