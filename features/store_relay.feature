Feature: Entries read the platform's store for each other
  Feeds of several entries before a fake store, on a clock of their own; messages
  between them arrive at once unless a step says otherwise.

  Scenario: Only two of six entries call the store
    The pattern: six entries for twenty seconds with nothing new, as in a quiet
    hour. Each reading by itself would call it 27 times.
    Given 6 entries before a store with a configuration
    When the entries follow it for 20 s
    Then all have it in force and may honour keys
    And the store was called at most 130 times in all, and by 4 entries at most 4 times

  Scenario: A new version reaches those that don't read
    Given 6 entries before a store with a configuration
    When the entries follow it for 20 s
    And the operator writes version 2, and 1.5 s pass
    Then version 2 is in force at all

  Scenario: The reads of both entries that read are stuck
    A caller's key was taken away, and two seconds later a request with it must not run.
    The entries that read go on answering the others, but their reads of the store never
    end, so what they tell is true and old. The others must not rest on it until then.
    Given 6 entries before a store with a configuration
    And the entries follow it for 20 s
    When the reads of the first 2 entries get stuck
    And the operator writes a version each 0.2 s from 2 to 12
    Then each was in force within 1.7 s at the other 4 entries

  Scenario: Versions come in quick succession, and the store turns one entry away
    It is told of each version by those that read it, and asks them at once.
    Given 6 entries before a store with a configuration
    And the entries follow it for 20 s
    When the store turns away the first 1 entries for 3 s
    And the operator writes a version each 0.2 s from 2 to 12
    Then each was in force within 1.7 s at all 6 entries

  Scenario: A new version reaches an entry as soon as another one has read it
    Given 6 entries before a store with a configuration
    And the entries follow it for 20 s
    When the operator writes version 2, and 0.6 s pass
    Then version 2 is in force at all

  Scenario: A configuration of hundreds of routes
    Passed on by an entry with a small link it would hold up all its requests. Those
    that ask are told that it is large, and read it themselves, once each.
    Given 6 entries before a store with a configuration
    And the entries follow it for 20 s
    When the operator writes version 2 with 300 routes, and 1.5 s pass
    Then version 2 is in force at all
    And no entry sent another more than 9 KB
    And the entries that asked called the store at most 4 times each

  Scenario: Large configurations come in quick succession
    Guards against every entry reading every version because none can be passed on.
    Given 6 entries before a store with a configuration
    And the entries follow it for 20 s
    When the operator writes a version with 300 routes each 0.1 s from 2 to 61
    Then each was in force within 1.7 s at all 6 entries
    And the entries that asked called the store at most 20 times each

  Scenario: Large configurations in quick succession while the store turns some away
    Guards against entries that call a store that turns them away for every version.
    Given 6 entries before a store with a configuration
    And the entries follow it for 20 s
    When the store turns away the last 2 entries from now on
    And the operator writes a version with 300 routes each 0.1 s from 2 to 61
    Then each was in force within 1.7 s at all 6 entries
    And the entries that asked called the store at most 30 times each

  Scenario: Large configurations in quick succession without answers for some
    Guards against versions that come too late because a read waits for its answer.
    Given 6 entries before a store with a configuration
    And the entries follow it for 20 s
    When the store gives the last 2 entries no answer from now on
    And the operator writes a version with 300 routes each 0.1 s from 2 to 61
    Then each was in force within 1.9 s at all 6 entries

  Scenario: Calls of the store are counted by their reason
    Guards against calls that the price shows and nothing in an entry explains.
    Given 6 entries before a store with a configuration
    And the entries follow it for 20 s
    When the operator writes version 2 with 300 routes, and 1.5 s pass
    And the store turns away the first 2 entries for 3 s
    Then each entry counted all its calls of the store, and why: first, reader, too_large, retry, stale

  Scenario: A large configuration at an entry that the store turns away
    Given 6 entries before a store with a configuration
    And the entries follow it for 20 s
    When the store turns away the first 1 entries for 1 s
    And the operator writes version 2 with 300 routes, and 3 s pass
    Then version 2 is in force at all

  Scenario: The store turns away both entries that read
    The others notice that the readers' knowledge gets old and read themselves; the
    readers then go on with what these know. Nobody stops honouring keys.
    Given 6 entries before a store with a configuration
    And the entries follow it for 20 s
    When the store turns away the first 2 entries for 20 s
    Then all may honour keys all the while

  Scenario: The store turns everyone away
    Nobody's knowledge may look younger for being passed around.
    Given 6 entries before a store with a configuration
    And the entries follow it for 20 s
    When the store turns away the first 6 entries for 6 s
    Then nobody may honour keys

  Scenario: An answer that lay on the way for long
    A cut holds an answer back for four seconds and delivers it then. What it says
    is four seconds older by then than when it was sent.
    Given 6 entries before a store with a configuration
    And the entries follow it for 20 s
    When an entry that is cut off from all hears an answer 5 s after it asked
    Then that entry may not honour keys

  Scenario: An entry that knows less can't bring an older version back
    Given 6 entries before a store with a configuration
    And the entries follow it for 20 s
    When an entry hears an answer from before version 2, which it has in force
    Then version 2 stays in force there

  Scenario: An upstream is dropped while the store forgets
    The reader finds its records gone and takes the newest of each key. Nothing says
    that the dropped one went, so who asks it for what is new gets all that is left.
    Given 6 entries before a store with upstreams a and b
    And the entries follow it for 20 s
    When upstream a is dropped, and the store forgets everything up to now
    Then within 3 s all entries know only b

  Scenario: Records lapse while the store is away for all
    Upstreams can't renew their records, and all look gone at the store's return.
    They live, and write themselves in again a second later; callers notice nothing.
    Given 6 entries before a store with upstreams a and b
    And the entries follow it for 20 s
    When the store is away for 4 s, drops both, and has them again 1 s after its return
    Then all entries knew a and b all the while

  Scenario: An upstream leaves while the store turns an entry away
    The others tell the entry that the record went. The store is not away, so nothing
    excuses the upstream, and the entry must not send there any more.
    Given 6 entries before a store with upstreams a and b
    And the entries follow it for 20 s
    When the store turns one that reads away, and upstream a is dropped
    Then within 4 s all entries know only b

  Scenario: More keys are dropped than an entry remembers
    Who asks from before what is remembered can't be told which keys went. It gets
    all that are left, and drops the others by itself.
    Given 6 entries before a store with upstreams a and b
    And the entries follow it for 20 s
    When 1100 other upstreams come and go, upstream a too, while one entry is cut off
    Then within 3 s all entries know only b
