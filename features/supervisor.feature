Feature: The supervisor tree
  Parts start in order, are restarted when they die, and stop in reverse.

  Background:
    Given a supervisor of parts "transport", "core" and "callers"

  Scenario: Parts start in order and stop in reverse
    When the supervisor starts and stops
    Then the parts did "start transport, start core, start callers, stop callers, stop core, stop transport"

  Scenario: A part that can't start takes down those before it
    Given the part "core" can't start
    When the supervisor fails to start
    Then the parts did "start transport, stop transport"

  Scenario: A dead part is restarted after a delay that doubles
    Given the supervisor has started
    When the part "core" dies and 0.05 seconds pass
    Then the part "core" has started 1 times
    When 0.05 seconds more pass
    Then the part "core" has started 2 times
    When the part "core" dies and 0.1 seconds pass
    Then the part "core" has started 2 times
    When 0.1 seconds more pass
    Then the part "core" has started 3 times
    And the part "callers" has started 1 times

  Scenario: A part that keeps dying ends the daemon with a failure
    The part dies each time that it is restarted. Restarting it for ever would
    show the platform a live process that does nothing, so the supervisor stops
    everything and the daemon exits non-zero, for the platform to replace it.
    Given the supervisor has started
    When the part "core" dies 4 times
    Then the supervisor has given up
    And every part is stopped
    And a daemon run by such a supervisor exits with 1

  Scenario: A part that the rest can do without keeps dying
    Giving up because of it would end parts that do their work.
    Given a supervisor that can do without the part "core" has started
    When the part "core" dies 6000 times
    Then the supervisor hasn't given up, and the others still run

  Scenario: A part is stopped on purpose while the daemon ends
    Guards against a part that its owner stops last, and that is then reported as dead
    or started again.
    Given the supervisor has started
    When the supervisor stops restarting
    And the part "callers" dies and 60 seconds pass
    Then the part "callers" has started 1 times

  Scenario: A supervisor restarts the one below that gave up
    Given the supervisor has started under another one
    When the part "core" dies 4 times
    And the other supervisor checks
    Then the supervisor is alive again
    And every part runs

  Scenario: A daemon that is asked to stop exits with 0
    Then a daemon that is asked to stop exits with 0
