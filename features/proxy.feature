Feature: The fault-injecting proxy
  Tests of failures rely on what a link does, so that is tested first.

  Background:
    Given a proxied link to an echo

  Scenario: Bytes pass, with a delay in order
    When the link's faults are set to {"to_target": {"delay_ms": 30}}
    Then sending "abc" and "def" gives back "abcdef"

  Scenario: New connections are refused, and again accepted after healing
    When the link's faults are set to {"refuse": true}
    Then connecting is refused
    When the link is healed
    Then sending "abc" and "def" gives back "abcdef"

  Scenario: A cut ends the connection on both sides
    Given a connection through the link
    When the link's faults are set to {"cut": true}
    Then the connection is lost

  Scenario: A frozen direction loses nothing
    Given a connection through the link
    When the link's faults are set to {"to_client": {"freeze": true}}
    And "abc" is sent on the connection
    Then the echo gets it, but nothing comes back
    When the link is healed
    Then "abc" comes back

  Scenario: A half-open connection swallows bytes and is lost on healing
    The sender sees no error, the receiver sees nothing; after healing neither
    may go on with a hole in its stream.
    Given a connection through the link
    When the link's faults are set to {"to_target": {"half_open": true}}
    And "abc" is sent on the connection
    And the proxy has swallowed it
    And the link is healed
    Then the connection is lost
