Feature: Many streams at once
  The size that callers open at the same moment, through two entries.

  Scenario: 200 concurrent streams through two entries are all whole
    Every stream is open before the first token comes: the engines stand still
    until each of the 200 runs in one of them. Then they go on together.
    Given two entries before two frozen engines with room for 200 streams
    When 200 streams of 50 tokens are opened through both entries
    And all 200 run at the same time
    And the engines go on
    Then every one of the 200 streams is answered whole
    And each of the 200 ran once and no counter tells of a lost or doubled one
    And no promise is broken
    And the resident memory of each daemon is printed
