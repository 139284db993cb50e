Feature: Decoding of the platform's settings, records and headers
  Malformed input is rejected with a reason and never stops a daemon.

  Scenario: A settings file
    Then the settings file is parsed with its addresses and units
    And all errors in a settings file are reported together

  Scenario: An operator disables policies
    Guards against a misspelt name that leaves a policy on without a word.
    Then the settings file and a variable can name policies to disable
    And an unknown policy is reported as an error

  Scenario: A configuration
    Then a configuration becomes routes, services, customers and limits
    And the longest path prefix matches, among 500 routes
    And decoding a configuration never raises

  Scenario: Records of the store
    Then records and deleted keys are decoded, and malformed ones are skipped
    And decoding a store response never raises

  Scenario: The upstreams' records are applied in order
    Then an older snapshot or record changes nothing
    And an upstream whose key is deleted is removed at once
    And after a gap, an upstream missing from the snapshot is removed
    And a malformed record leaves the previous one in force

  Scenario: Records expire during a store outage
    Upstreams can't renew their records during an outage, so all expire. When the
    store recovers, live upstreams seem to have left.
    Then an upstream whose record expired during a store outage stays
    And it is gone 2 s after the recovery unless its record is renewed

  Scenario: A caller's headers
    Headers are validated before use. `str.isdigit` accepts superscripts, which `int`
    rejects; such requests failed with an error.
    Then a request's token counts are parsed, with the expected output tokens
    And expected output tokens above the maximum count as the maximum
    And no token count header raises, and malformed ones are ignored

  Scenario: A slot is reserved for a request that moves
    Guards against a response that is taken for a reservation, or fails the request.
    Then the reservation request has the upstream's name and the total tokens
    And no reservation is made for a request without token counts
    And a response is a reservation only if it has a valid id

  Scenario: The last event id that a caller sends
    Guards against an id that fails its request with an error after it has begun to run.
    Then it is accepted if it is a valid event id, and rejected otherwise

  Scenario: Keys are accepted depending on the age of the last read
    Then a read's age counts from when it was sent
    And the time that the machine is suspended counts
    And an older version never replaces a newer one

  Scenario: The platform's names stay in the adapter
    Then no module outside the adapter contains the platform's names
    And no decision module imports sockets, threads or clocks
    And the deployed packages are dependencies of the project
