Feature: Every reader of the log puts the same documents in force
  What the daemons do is decided by the document in force. If two of them folded
  the same log differently, or went back to an older document, a caller would be
  let in at one entry and refused at the next.

  Background:
    Given an empty log of documents

  Scenario: Two operators edit the same version and one of them wins
    Both edit version 1 and publish. The log takes both records; each daemon
    must choose the same one, and the loser must be told, not overwrite silently.
    When "ana" publishes on base 0
    And "ana" publishes on base 1
    And "badr" publishes on base 1
    Then a new reader has version 2 by "ana" in force
    And it remembers the conflict of "badr" on base 1 with version 2

  Scenario: An append whose answer was lost is sent again
    The publisher can't tell whether its record was taken, sends it again, and
    the log holds it twice. The double isn't a conflict with anybody.
    When "ana" publishes on base 0
    And the last record is appended again
    Then a new reader has version 1 by "ana" in force
    And it has skipped 1 record as "doubled" and 0 as "conflict"

  Scenario: Records that can't be used are skipped and counted
    A daemon that stopped at a bad record would keep an old document for ever.
    When "ana" publishes on base 0
    And a record that can't be decoded is appended
    And a document with mistakes is published on base 1
    And a snapshot from the future is appended
    And "ana" publishes on base 1
    Then a new reader has version 5 by "ana" in force
    And it has skipped 2 record as "corrupt" and 1 as "invalid"

  Scenario: A record comes corrupt once
    One answer of the log is garbled on the way to one daemon. Skipped at once,
    its edit would be missing on that daemon alone and every later edit refused.
    When "ana" publishes on base 0
    Then a reader to whom record 1 comes corrupt 1 time has version 1 in force
    And a reader to whom record 1 comes corrupt 2 times has version 0 in force

  Scenario: A reader starts after the edit that won has aged out
    Version 1 was replaced by 2; then an edit on base 1 lost at 3. A daemon that
    carried version 1 was slow, so its record comes late, at 4. A reader that
    starts at 3 sees base 1 and a record that says 1 was in force. If it took the
    losing edit, it would run a document that nobody else has.
    When "ana" publishes on base 0
    And a reader makes a snapshot and keeps it
    And "ana" publishes on base 1
    And "badr" publishes on base 1
    And the kept snapshot is appended
    And the log forgets everything below 3
    Then a new reader has version 1 by "ana" in force and isn't complete
    When a reader that has read everything appends a snapshot
    Then a new reader has version 2 by "ana" in force and is complete

  Scenario: A snapshot is overtaken by an edit
    A daemon writes a snapshot of version 1 while version 2 is appended before it.
    Going by the order of records alone, readers would go back to version 1.
    When "ana" publishes on base 0
    And a reader makes a snapshot and keeps it
    And "badr" publishes on base 1
    And the kept snapshot is appended
    Then a new reader has version 2 by "badr" in force and is complete
    When the log forgets everything below 2
    Then a new reader has version 2 by "badr" in force and is complete

  Scenario: An edit names a base that comes after it
    Record 3 names base 4, which doesn't exist yet. When 4 is accepted, a reader
    that gets to know this from a snapshot must not decide 3 by it, or go back.
    When "ana" publishes on base 0
    And a reader that has read everything appends a snapshot
    And "badr" publishes on base 4
    And "ana" publishes on base 1
    And the log forgets everything below 3
    And a reader that has read everything appends a snapshot
    And "ana" publishes on base 4
    Then a new reader has version 6 by "ana" in force and is complete

  Scenario: A first document comes after the log's beginning has aged out
    A new reader can't know whether a service without records never had a
    document or had one that is gone. Only the former may be published on base 0.
    When a reader that has read everything appends a snapshot
    And the log forgets everything below 2
    And "ana" publishes on base 0
    Then a new reader has version 0 in force and isn't complete
    When the log is as before, but its snapshot is kept
    Then a new reader has version 2 by "ana" in force and is complete

  Scenario: A daemon is paused for longer than the log keeps records
    It had version 1. Version 2 has aged out when it wakes; the edit on base 1 that
    lost is still there. It must not take it on the strength of what it knew.
    When "ana" publishes on base 0
    And a reader reads to the end and is paused
    And "ana" publishes on base 1
    And a reader that has read everything appends a snapshot
    And "badr" publishes on base 1
    And the log forgets everything below 4
    Then the paused reader has version 1 in force and isn't complete
    When a reader that has read everything appends a snapshot
    Then the paused reader has version 2 by "ana" in force and is complete

  Scenario: The log is down when a daemon starts
    Others pass it what they have. A lower version that comes later, from a daemon
    that is behind, must not replace a higher one; nor must the log when it is back.
    When "ana" publishes on base 0
    And "ana" publishes on base 1
    Then a reader that can't read the log takes version 2 when passed it
    And it keeps version 2 when passed version 1
    And it writes no snapshot while the log is behind what it was passed
    And it keeps version 2 when it reads the log

  Scenario: Many daemons carry documents forward and about one writes
    Each of them may write the snapshot. Were all to write at once, the log's
    appends would be used up; were none to, new daemons would have no documents.
    When "ana" publishes on base 0
    Then of 50 readers for 6000 seconds, with a period of 600 seconds, between 1 and 4 write in each period
    And readers that are restarted every 100 seconds still write

  Scenario: A snapshot is due at once when new readers have none to go by
    When "ana" publishes on base 0
    And the log forgets everything below 2
    Then of 50 readers that know version 1, the first writes within 10 seconds
    And a reader that isn't complete never writes

  Scenario: Random edits, races, doubles, snapshots, restarts, pauses and lost records
    Then in random histories no reader holds what the first reader doesn't accept
    And complete readers that have read to the end agree with it
