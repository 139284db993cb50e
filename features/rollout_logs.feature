Feature: The history of roll-outs from the logs of several processes

  Scenario: A version was rolled back
    Guards against a roll-out whose end can't be explained.
    Given log lines of two entries of which one stopped a roll-out
    When "lavenderspoke rollouts" reads them
    Then the history contains "narrative to v2, order 7: rolled_back"
    And the history contains "stopped: bad answers on briefing (at entry-2)"
    And the history contains "12 of 190 requests to the target"
    And the history contains "briefing: 5 of 9 answers bad, 1 of 80 of the other versions"

  Scenario: The log contains no roll-out
    Given log lines of an entry without a roll-out
    When "lavenderspoke rollouts" reads them
    Then the command reports that there is none
