Feature: What one record can't do to those beside it
  Feeds read a store in memory; all that listens behind them is an entry's own.

  Scenario: Odd records among those of the upstreams
    Guards against one record that keeps those read with it from being applied.
    Then all upstreams beside any odd records are followed in 200 runs

  Scenario: A listener that can't take an upstream
    Guards against one upstream for which a listener raises, and the list ends there.
    Then an upstream that a listener can't take costs only itself in 200 runs

  Scenario: A change that was applied by half
    Guards against a change that counts as published though nobody has it.
    Then a change that isn't taken 2 times is handed on again, without that upstream first
    And a change that isn't taken 3 times is handed on again, by an entry that says so meanwhile

  Scenario: Odd records among those of the entries
    Guards against one fact that keeps the other facts and entries from being applied.
    Then all records of entries beside any odd ones are followed in 200 runs

  Scenario: Odd records among the operators'
    Guards against an order that keeps a configuration from coming into force.
    Then each configuration beside any odd records comes into force in 200 runs

  Scenario: An invalid configuration that was followed by a sound one
    Guards against an entry that waits for ever before a record that no longer counts.
    Then an invalid configuration costs only itself in 200 runs

  Scenario: A version that nobody has
    Guards against an entry that waits for ever for a configuration that a record names.
    Then keys are accepted again 30 s after an entry's record named a version

  Scenario: A record that no store holds
    Guards against a writer that ends at the first record that it can't write.
    Then a record that can't be written costs only itself

  Scenario: A member that can't be decoded
    Guards against one member of the platform's list that hides all others.
    Then each sound member beside any odd ones is listed in 100 runs
