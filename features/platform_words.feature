Feature: The platform's files, records and headers, decoded once
  What comes from outside is refused with a reason; it never stops a daemon.

  Scenario: A settings file
    Then the settings file is read with its addresses, seconds and parts
    And all mistakes of a settings file are told at once

  Scenario: A configuration
    Then a configuration becomes routes, services, customers and limits
    And the longest prefix of a path wins, over 500 routes
    And no bytes given as a configuration raise

  Scenario: Records of the store
    Then records and dropped keys are read, and those without sense are skipped
    And no bytes given as an answer of the store raise

  Scenario: The upstreams' records are folded in order
    Then an older read changes nothing
    And a key that is dropped is gone at once
    And after a gap, what isn't among the newest records is gone
    And a record without sense leaves the one before

  Scenario: Records lapse while the store is away
    Upstreams can't renew their records then, and all lapse. At the store's return
    they seem to have left, although every one of them lives.
    Then an upstream whose record lapsed while the store was away stays
    And it is gone 2 s after the return unless its record is back

  Scenario: A caller's headers
    What a caller says is checked before it is used. Digits of other scripts pass for
    digits in Python but not always as a number, and ended such a request with an error.
    Then a request's lengths are read, and its answer is expected to be as said
    And an expected length beyond the longest counts as the longest
    And no header of a length raises, and those without sense say nothing

  Scenario: A place is reserved for a request that moves
    Guards against an answer that is taken for a reserved place, or ends the request.
    Then a place is asked for with the upstream's name, and room for the whole answer
    And none is asked for a request that says nothing of its tokens
    And what an upstream answers is a reserved place only if it names one

  Scenario: The last event that a caller has
    Guards against a number that ends its request with an error once that has begun to run.
    Then it is read if it is a number that a stream's events may have, and refused otherwise

  Scenario: Keys are honoured by the age of the last read
    Then a read counts from when it was sent
    And a suspension of the machine counts
    And an older version never replaces a newer one

  Scenario: The platform's words stay in its folder
    Then no module outside the adapter names what the platform calls things
    And no decision imports a socket, a thread or a clock of its own
    And the deployed packages are those of the project
