Feature: An accepted document is in force everywhere and never reverts
  Every daemon reports the version that it has in force on its status page.

  Scenario: Two operators edit the same version
    Both records are in the log, and both name the same base. The first offset
    wins at every daemon; the other is a conflict everywhere.
    Given two entries before a payment service with 4 slots
    When two operators edit ticketing at the same time
    Then every daemon has the earlier edit of ticketing in force
    And no daemon has put an older version in force

  Scenario: The log is down while a daemon restarts and another was paused
    A new entry can't read the log, so the other daemons pass it the document
    that they have in force. A paused one wakes with what it had; when the log
    is back, both go on to the newest version.
    Given two entries before a payment service with 4 slots
    When ticketing is edited
    And every daemon has the last edit of ticketing in force
    And process agent-p is paused
    And the log goes down
    And process entry-2 is killed
    And process entry-2 is started again
    Then entry-2 has the last edit of ticketing in force
    When process agent-p is resumed
    And the log comes back
    And ticketing is edited
    And every daemon has the last edit of ticketing in force
    Then no daemon has put an older version in force

  Scenario: A record in the log is corrupt
    What can't be read is skipped and counted on the status page; the edits
    before and after it are in force as if it weren't there.
    Given two entries before a payment service with 4 slots
    When something that is no document is appended to the log
    And ticketing is edited
    And every daemon has the last edit of ticketing in force
    Then every daemon reports 1 skipped record
