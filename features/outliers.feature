Feature: An upstream that fails while the others of its service answer
  The pattern: a burst fills the sound upstreams; one that fails each request at once
  always has room. Driven without a network.

  Scenario: One of four upstreams fails each request at once
    Guards against a failing upstream that draws what waits for the sound ones.
    Given a line before 4 upstreams of 6 places, of which 1 fails at once
    When for 10 s there come 300 requests a second that take 60 ms
    Then at most 4 in 100 of them fail
    And the failing one is tried again until it answers

  Scenario: None of the requests may be repeated
    Guards against an upstream that is never tried again.
    Given a line before 4 upstreams of 6 places, of which 1 fails at once
    When for 16 s there come 300 requests a second that run once and take 60 ms
    Then the failing one is tried again until it answers

  Scenario: All upstreams fail a part of what they get
    Guards against a service that nobody may use on a day on which all of it fails.
    Given a line before 4 upstreams of 6 places, of which each fails 4 in 10
    When for 10 s there come 100 requests a second that take 60 ms
    Then no request is refused

  Scenario: A service of a single upstream
    Guards against a service without upstreams.
    Given a line before 1 upstream of 6 places, which fails at once
    When for 3 s there come 20 requests a second that take 60 ms
    Then no request is refused

  Scenario: Connections to a sound upstream are reset
    Guards against requests that broke together being taken for failures in a row.
    Given 4 entries in 2 data centres, each before a service of three upstreams
    When all that the first entry has running at an upstream breaks at once
    Then the first entry still uses it

  Scenario: Others say that an upstream fails which serves this entry well
    Guards against a false word that takes a sound upstream out of use.
    Given 4 entries in 2 data centres, each before a service of three upstreams
    When an upstream has answered the first entry and two others say that it fails
    Then the first entry still uses it
    And an entry that doesn't know it leaves it alone for a while

  Scenario: Others say of all upstreams that they fail
    Guards against false words that empty a service.
    Given 4 entries in 2 data centres, each before a service of three upstreams
    When two others say of all upstreams that they fail
    Then the first entry uses at least two of them
