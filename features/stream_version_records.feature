Feature: What an entry keeps, tells and records of the versions of streams
  Without processes; the platform's store and the other entries are simulated.

  Scenario: A stream is forgotten a minute after it was last told of
    Guards against versions that are kept for ever, or lost while a stream still runs.
    Given an entry that knows a stream of "v1"
    Then it knows its version for 59 s and not for 61 s
    Given an entry that knows a stream of "v1", whose events go on for 100 s
    Then it has told its neighbours of it 5 times, and knows its version

  Scenario: Very many streams begin
    Guards against memory that grows with the number of streams.
    Given an entry that knows a stream of "v1"
    When 50000 other streams begin
    Then it has forgotten the first one and knows the last

  Scenario Outline: Only one version can have begun a stream
    Guards against going on at the version that is listed, though another one served.
    Given as to versions, an entry that <read>
    Then the only version is "<version>"

    Examples:
      | read                                                              | version |
      | has just started and read a list of v1                            | none    |
      | has just started and read a list of v1, and the store's records   | v1      |
      | has read a list of v1 for 61 s                                    | v1      |
      | has read a list of v1 and v2, and the store's records             | none    |
      | has read a list of v1, and the store's records with v0            | none    |
      | has read a list of v1 for 61 s, and the store's records with v0   | none    |
      | has read a list of v1, and the store's records with v1            | v1      |
      | has read a list of v1, and the store's records with v0 and v1     | none    |
      | has read a list of v1, and the store's records with v1 of an older copy | none    |
      | has read a list of v1, and none for 5 s                           | none    |
      | has read a list of v1, and of v2 in its place 59 s ago            | none    |
      | has read a list of v1, and of v2 in its place 61 s ago            | v2      |

  Scenario: Versions are recorded before they are used, until they are gone
    Guards against entries that start and take an absent record for a version that never was.
    Given the records of the versions of a service, read from an empty store
    Then the first entry writes "v1" at once, and the others after 12 s
    And an entry that is to begin a stream of "v1" writes it at once
    And once that is written, nobody writes it again
    And the first entry adds "v2" at once
    And it deletes "v1" once only "v2" was listed lately
    And an entry that doesn't know all versions deletes none
    And a copy of the store without the record gets it again
    And so does one whose record is of an older copy, from an entry that knows all

  Scenario: An entry has just started and hasn't read the records yet
    Guards against a record that tells less than the one that it replaces.
    Given an entry whose store isn't read yet
    Then it writes no record of "v1"
    When it reads that "v1" is recorded in this copy of the store
    Then it knows all versions, and writes no record of "v1"

  Scenario Outline: The store doesn't take the record of a version
    Guards against streams that wait for a store that is away.
    Given an entry whose store <state>
    Then the first event of a version waits for <s> s, and the next for 0.0 s

    Examples:
      | state           | s   |
      | takes no writes | 0.5 |
      | isn't read yet  | 0.0 |

  Scenario: Streams are recorded while several versions may have begun them
    Guards against a store that gets a write for each stream, or none in a roll-out.
    Given an entry of 3 that knows "v1" as the only version
    When 5 of its streams begin at "v1"
    Then it writes no streams
    When "v2" is listed too, and 3 of its streams begin at "v2"
    Then it writes 8 streams at once, and nothing more within 0.25 s
    When the store doesn't take them
    Then it writes 8 streams 0.25 s later
    When 20.1 s pass, and a stream begins whose id has 300 characters
    Then it writes no streams

  Scenario: Many entries record their streams
    Guards against a store that can't take what hundreds of entries write.
    Given an entry of 400 that knows "v1" as the only version
    When "v2" is listed too, and 1500 of its streams begin at "v2"
    Then it writes 1000 streams at once, and nothing more within 10.0 s
    And it writes 500 streams 10.0 s later

  Scenario: Streams of several services are recorded at once
    Guards against a batch that is too large for the store, and is written in vain for ever.
    Given an entry of 3 that doesn't know which versions served
    When 800 of its streams begin at each of 2 services
    Then it writes 1000 streams at once, and nothing more within 0.25 s
    And it writes 600 streams 0.25 s later

  Scenario Outline: Others are told before the first event goes out
    Guards against an event that goes out while only its entry knows the version.
    Given an entry with <others> other entries, of which <answering> confirm
    When a stream begins while two versions serve
    Then <told> were told, and it is "<result>" within <s> s

    Examples:
      | others | answering | told | result      | s    |
      | 0      | 0         | 0    | no_others   | 0.02 |
      | 1      | 1         | 1    | confirmed   | 0.05 |
      | 4      | 4         | 2    | confirmed   | 0.05 |
      | 4      | 0         | 2    | unconfirmed | 0.2  |

  Scenario Outline: An entry that doesn't know a stream asks
    Guards against a refusal while another entry knows, and against a caller who waits.
    Given an entry with 4 other entries, of which <knowing> know the stream and <silent> say nothing
    When the stream is taken up while two versions serve
    Then it goes on at "<version>" within <s> s

    Examples:
      | knowing | silent | version | s   |
      | 1       | 0      | v1      | 0.1 |
      | 1       | 3      | v1      | 0.1 |
      | 0       | 0      | none    | 0.1 |
      | 0       | 2      | none    | 0.8 |

  Scenario: An entry that has just started asks before its link is up
    Guards against a refusal by an entry that hasn't heard the others yet.
    Given an entry that hears its 2 others, who know the stream, after 1.2 s
    When the stream is taken up while two versions serve
    Then it goes on at "v1" within 1.6 s

  Scenario Outline: A stream is taken up just after a start, and the store is <state>
    Guards against a caller who waits for the store past its deadline.
    Given an entry without others that reads its streams from a store that answers after <read> s
    When the stream is taken up with <left> s left, while two versions serve
    Then it goes on at "<version>" within <s> s

    Examples:
      | state  | read | left | version | s   |
      | up     | 0.0  | 0.4  | v1      | 0.2 |
      | slow   | 0.1  | 0.4  | v1      | 0.4 |
      | silent | 2.0  | 0.4  | none    | 0.5 |

  Scenario: The last upstream of its version leaves while a stream waits
    Guards against a request that waits for what can't come, or goes elsewhere.
    Given a queue with a busy upstream of "v1" and an idle one of "v2"
    When a stream of "v1" waits, and a new request comes
    Then the new request is sent to "v2", and the stream waits
    When the upstream of "v1" says that it leaves
    Then the stream is refused as "version_gone"

  Scenario: A roll-out gives the version no new requests
    Guards against streams that are cut off by a roll-out.
    Given a queue with an idle, closed upstream of "v1" and a busy one of "v2"
    When a stream of "v1" is to go on
    Then the stream goes to "v1" without waiting
