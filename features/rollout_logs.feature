Feature: The course of roll-outs from the logs of several processes

  Scenario: A version was rolled back
    Guards against a roll-out of which nobody can tell why it ended.
    Given log lines of two entries of which one stopped a roll-out
    When "lavenderspoke rollouts" reads them
    Then it says "narrative to v2, order 7: rolled_back"
    And it says "stopped: bad answers on briefing (at entry-2)"
    And it says "12 of 190 requests to the target"
    And it says "briefing: 5 of 9 answers bad, 1 of 80 of the other versions"

  Scenario: The log holds none
    Given log lines of an entry without a roll-out
    When "lavenderspoke rollouts" reads them
    Then the command says that there is none
