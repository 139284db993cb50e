Feature: The clock is passed in
  Decisions are driven by a clock that a test can hold still.

  Scenario: A manual clock moves only when told
    Given a manual clock
    When it is advanced by 1.5 seconds
    Then it reads 1.5 seconds
