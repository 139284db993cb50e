Feature: Ejection of an upstream that fails while the others of its service answer
  A burst fills the healthy upstreams; one that fails each request at once always has free
  slots. On a manual clock, without a network.

  Scenario: One of four upstreams fails each request at once
    Guards against a failing upstream that attracts what waits for the healthy ones.
    Given a queue for 4 upstreams of 6 slots, of which 1 fails each request
    When 300 requests per second that take 60 ms arrive for 10 s
    Then at most 4% of them fail
    And the failing upstream recovers after 7 s and gets requests again

  Scenario: None of the requests is retryable
    Guards against an ejected upstream that is never tried again.
    Given a queue for 4 upstreams of 6 slots, of which 1 fails each request
    When 300 requests per second that aren't retryable and take 60 ms arrive for 16 s
    Then the failing upstream recovers after 7 s and gets requests again

  Scenario: All upstreams fail a part of their requests
    Guards against refusing all requests of a service while all its upstreams fail.
    Given a queue for 4 upstreams of 6 slots, each of which fails 4 in 10
    When 100 requests per second that take 60 ms arrive for 10 s
    Then no request is refused

  Scenario: A service of a single upstream
    Guards against ejecting the only upstream.
    Given a queue for 1 upstream of 6 slots, which fails each request
    When 20 requests per second that take 60 ms arrive for 3 s
    Then no request is refused

  Scenario: Connections to a healthy upstream are reset
    Guards against requests that broke together counting as consecutive failures.
    Given 4 entries in 2 data centres, with a service of three upstreams
    When all requests of the first entry at an upstream break at once
    Then the first entry still uses it

  Scenario: Others report an upstream as failing that works well for this entry
    Guards against false reports that take a healthy upstream out of use.
    Given 4 entries in 2 data centres, with a service of three upstreams
    When an upstream has answered the first entry and two others report it as failing
    Then the first entry still uses it
    And an entry that hasn't used it ejects it for a while

  Scenario: Others report all upstreams as failing
    Guards against false reports that take all upstreams of a service out of use.
    Given 4 entries in 2 data centres, with a service of three upstreams
    When two others report all upstreams as failing
    Then the first entry uses at least two of them
