Feature: What upstreams say about themselves
  Real processes: a store, upstreams and entries that send to them directly.

  Scenario: An upstream limits the requests of all instances together
    Guards against more requests at an upstream in need than the limit that it names.
    Given a platform with 2 entries and 3 model upstreams
    And one upstream limits its requests to "2" per second
    When 6 callers send requests through all entries for 7 s
    Then from 0.5 s after its first response it got at most 17 requests in any 4 s
    And every request was answered
    When it names no limit any more, and the callers send for 2 s
    Then of the next 90 requests it gets at least 18

  Scenario: An upstream says that it leaves while the store is down
    Guards against requests to an upstream that leaves, since its record is older than its word.
    Given a platform with 2 entries and 3 model upstreams
    And the platform's store is down
    And one upstream says that it leaves
    When 6 callers send requests through all entries for 4 s
    Then it got a request, and none later than 2 s after its first response
    And every request was answered
    When the store is back with the upstream's earlier record
    And 6 callers send requests through all entries for 2 s
    Then it got no more requests

  Scenario: An upstream asks each instance for a pause
    Guards against requests to an upstream in the pause that its Retry-After asks for.
    Given a platform with 2 entries and 3 model upstreams
    And one upstream refuses all requests with a Retry-After of "2" seconds
    When 6 callers send requests through all entries for 7 s
    Then from 0.5 s after a refusal on it got at most 2 requests of an entry within 2 s of it
    And every request was answered
    When it refuses no more, and the callers send for 3 s
    Then of the next 90 requests it gets at least 18

  Scenario: All upstreams ask for a pause
    Guards against callers that are sent back too early.
    Given a platform with 1 entries and 1 model upstreams
    And one upstream refuses all requests with a Retry-After of "2" seconds
    When a stream is requested through the entry
    And a stream is requested through the entry
    Then it is refused with a Retry-After between 1 and 2 seconds, and was sent once
