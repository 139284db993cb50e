Feature: Documents outlast the records that brought them
  The log keeps records for a limited time. A daemon that starts after the record
  of a document has aged out must still put it in force, and must accept the next
  edit just as the daemons that have read everything do.

  Scenario: Every daemon is replaced after the document has aged out
    One entry has read the edit and carries it forward in snapshots, until the log
    holds nothing but these. Then that entry is gone. A new one, with no other
    daemon to ask, reads the document in a snapshot, and decides the next edit.
    Given a log that keeps 8 records, and an entry that carries documents
    And the ticketing example is published at version 1
    When the log has forgotten version 1
    And the entry is killed and another started
    Then the other entry has version 1 in force
    When the ticketing example is edited from version 1
    Then the other entry has the edit in force
    And a losing edit from version 1 changes nothing

  Scenario: The stream is longer than one answer of the log may be
    Snapshots of many services are long, and the log keeps many of them. Asked for
    all at once, its answer would be too long to take, again and again, and a new
    daemon would never get to its end.
    Given a log with 60 records of 256 KiB, then a document, and answers of any length
    Then a new reader has the document in force

  Scenario: No bytes from outside stop the fold
    Then random payloads as records, and passed on by daemons, are only counted
