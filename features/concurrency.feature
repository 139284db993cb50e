Feature: Many concurrent streams
  The number of streams that callers open at the same time, through two entries.

  Scenario: 200 concurrent streams through two entries are all complete
    Every stream is open before the first token arrives: the engines are frozen
    until all 200 requests run in them, and then resume together.
    Given two entries in front of two frozen engines with slots for 200 streams
    When 200 streams of 50 tokens are opened through both entries
    And all 200 run at the same time
    And the engines resume
    Then each of the 200 streams gets a complete answer
    And each of the 200 ran once and no counter shows a lost or duplicate one
    And no promise is broken
    And the resident memory of each daemon is printed
