Feature: What upstreams say about themselves, where agents send
  Real processes: two entries, and two model engines with an agent beside each.

  Scenario: An agent's upstream limits its requests
    Guards against an agent that doesn't read the limit which its settings name a header for.
    Given two entries before two model engines whose agents read what they say
    And one upstream limits its requests to "2" per second
    When 6 callers send requests through all entries for 6 s
    Then from 0.5 s after its first response it got at most 17 requests in any 4 s
    And every request was answered
    When it names no limit any more, and the callers send for 2 s
    Then of the next 90 requests it gets at least 22

  Scenario: An agent's upstream leaves, and another process starts at its address
    Guards against requests to an engine that leaves, and against one that stays unused.
    Given two entries before two model engines whose agents read what they say
    And one upstream says that it leaves
    When 6 callers send requests through all entries for 4 s
    Then it got a request, and none later than 2 s after its first response
    And every request was answered
    When another process starts at its address, and the callers send for 2 s
    Then of the next 90 requests it gets at least 22

  Scenario: An agent's upstream asks for a pause
    Guards against requests of an agent to an engine in the pause that it asks for.
    Given two entries before two model engines whose agents read what they say
    And one upstream refuses all requests with a Retry-After of "2" seconds
    When 6 callers send requests through all entries for 7 s
    Then from 0.5 s after a refusal on it got at most 2 requests within 2 s of it
    When it refuses no more, and the callers send for 3 s
    Then of the next 90 requests it gets at least 22
