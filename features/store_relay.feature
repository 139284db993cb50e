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
    Two seconds after a key was revoked, requests with it must not run. The readers keep
    replying to queries while their own reads hang, so their replies are valid but old.
    The followers must stop relying on them in time.
    Given 6 entries before a store with a configuration
    And the entries follow it for 20 s
    When the store reads of the first 2 entries hang
    And the operator writes a version each 0.2 s from 2 to 12
    Then each was in force within 1.7 s at the other 4 entries

  Scenario: Versions follow each other quickly while the store rejects one entry
    It is notified of each version by an entry that has read it, and queries it at once.
    Given 6 entries before a store with a configuration
    And the entries follow it for 20 s
    When the store rejects the first 1 entries for 3 s
    And the operator writes a version each 0.2 s from 2 to 12
    Then each was in force within 1.7 s at all 6 entries

  Scenario: A new version reaches an entry as soon as another one has read it
    Given 6 entries before a store with a configuration
    And the entries follow it for 20 s
    When the operator writes version 2, and 0.6 s pass
    Then version 2 is in force at all entries

  Scenario: A configuration of hundreds of routes
    Relaying it over a small instance's link would delay all requests of that entry.
    Followers are told that it is too large, and read it from the store once each.
    Given 6 entries before a store with a configuration
    And the entries follow it for 20 s
    When the operator writes version 2 with 300 routes, and 1.5 s pass
    Then version 2 is in force at all entries
    And no entry sent another more than 9 KB
    And each follower called the store at most 4 times

  Scenario: Large configurations follow each other quickly
    Guards against every entry reading every version because none can be relayed.
    Given 6 entries before a store with a configuration
    And the entries follow it for 20 s
    When the operator writes a version with 300 routes each 0.1 s from 2 to 61
    Then each was in force within 1.7 s at all 6 entries
    And each follower called the store at most 20 times

  Scenario: Large configurations follow each other quickly while the store rejects some
    Guards against entries that call the store for every version although it rejects
    them.
    Given 6 entries before a store with a configuration
    And the entries follow it for 20 s
    When the store rejects the last 2 entries from now on
    And the operator writes a version with 300 routes each 0.1 s from 2 to 61
    Then each was in force within 1.7 s at all 6 entries
    And each follower called the store at most 30 times

  Scenario: Large configurations follow each other quickly while some reads time out
    Guards against versions that come into force late because a read waits for a
    response.
    Given 6 entries before a store with a configuration
    And the entries follow it for 20 s
    When the store never responds to the last 2 entries from now on
    And the operator writes a version with 300 routes each 0.1 s from 2 to 61
    Then each was in force within 1.9 s at all 6 entries

  Scenario: Store calls are counted by their reason
    Guards against paid store calls that no metric explains.
    Given 6 entries before a store with a configuration
    And the entries follow it for 20 s
    When the operator writes version 2 with 300 routes, and 1.5 s pass
    And the store rejects the first 2 entries for 3 s
    Then each entry counted all its store calls by reason: first, reader, too_large, retry, stale

  Scenario: A large configuration at an entry that the store rejects
    Given 6 entries before a store with a configuration
    And the entries follow it for 20 s
    When the store rejects the first 1 entries for 1 s
    And the operator writes version 2 with 300 routes, and 3 s pass
    Then version 2 is in force at all entries

  Scenario: The store rejects both readers
    The followers notice that the readers' state gets old and read the store themselves;
    the readers then use replies from the followers. All keep accepting keys.
    Given 6 entries before a store with a configuration
    And the entries follow it for 20 s
    When the store rejects the first 2 entries for 20 s
    Then all accepted keys throughout

  Scenario: The store rejects all entries
    State must not look fresher because entries relay it to each other.
    Given 6 entries before a store with a configuration
    And the entries follow it for 20 s
    When the store rejects the first 6 entries for 6 s
    Then no entry accepts keys

  Scenario: A reply is delayed in the network
    A network partition holds a reply back for four seconds. When it is delivered, its
    content is four seconds older than when it was sent.
    Given 6 entries before a store with a configuration
    And the entries follow it for 20 s
    When a disconnected entry receives a reply 5 s after its query
    Then that entry doesn't accept keys

  Scenario: An entry that is behind can't bring back an older version
    Given 6 entries before a store with a configuration
    And the entries follow it for 20 s
    When an entry with version 2 in force receives a reply from before it
    Then version 2 stays in force at that entry

  Scenario: An upstream's tombstone expires before it is read
    The reader finds its offset expired and loads the newest record of each key. No
    tombstone shows the deletion, so followers get a snapshot instead of changes.
    Given 6 entries before a store with upstreams a and b
    And the entries follow it for 20 s
    When upstream a is deleted, and the store expires all records so far
    Then within 3 s all entries know only b

  Scenario: Records expire while the store is down for all
    Upstreams can't renew their records, so all look deleted when the store recovers.
    They are alive and register again a second later; callers must not notice.
    Given 6 entries before a store with upstreams a and b
    And the entries follow it for 20 s
    When the store is down for 4 s, deletes both, and has them again 1 s after it recovers
    Then all entries knew a and b throughout

  Scenario: An upstream leaves while the store rejects an entry
    The other entries relay the deletion. The store isn't down, so the missing record
    can't be due to that, and the entry must not send there any more.
    Given 6 entries before a store with upstreams a and b
    And the entries follow it for 20 s
    When the store rejects one reader, and upstream a is deleted
    Then within 4 s all entries know only b

  Scenario: More keys are deleted than an entry keeps tombstones for
    A query from before the kept tombstones can't be answered with the deletions. The
    reply is a snapshot, and the receiver removes all other keys.
    Given 6 entries before a store with upstreams a and b
    And the entries follow it for 20 s
    When 1100 other upstreams come and go, and a is deleted, while one entry is disconnected
    Then within 3 s all entries know only b
