Feature: Processes are suspended while requests are on their way
  A suspended process takes what its kernel has kept for it when it goes on.

  Scenario: Upstreams run requests long after their callers were answered
    Guards against promising "not run" for what an upstream's kernel still holds.
    Given three entries before upstreams
    And each entry has kept connections
    When the upstreams are suspended while 6 callers send requests for 2 s
    And the upstreams go on for 1 s
    Then no caller was promised "not run" for a request that ran
    And no request that must run at most once ran twice

  Scenario: Entries are suspended while their requests are at upstreams
    Guards against promising "not run" after a wait that took longer than planned.
    Given three entries before upstreams
    And each entry has kept connections
    When each entry is suspended for 0.4 s, 3 times, while 6 callers send requests for 4 s
    Then no caller was promised "not run" for a request that ran
    And no request that must run at most once ran twice
