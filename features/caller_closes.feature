Feature: What a closed connection tells a caller
  A caller whose connection is reset takes its request for unread, and may send the same
  attempt again. So a request that is passed on has been read to its last byte.

  Scenario Outline: An entry is killed while it waits for an upstream
    Guards against a reset of a connection whose request was passed on.
    Given three entries before upstreams
    And plain upstreams work for 1 s
    When a caller's request, whose <rest>, is under way at an upstream
    And its entry is killed, and the caller repeats the attempt elsewhere if it was reset
    Then its connection wasn't reset
    And no request that must run at most once ran twice

    Examples:
      | rest                                               |
      | last chunk and its final line come separately      |
      | last line lies beyond what is read at once         |
      | body is followed by trailers                       |

  Scenario: A request follows one with trailers on its connection
    Guards against taking the end of one request for the beginning of the next.
    Given three entries before upstreams
    When a caller sends a request with trailers, and another one on its connection
    Then both are answered whole

  Scenario: Callers idle after chunked requests
    Guards against threads that wait on idle connections.
    Given three entries before upstreams
    When 130 callers have had the answer to a chunked request, and keep their connections
    Then the next caller is answered within 0.5 s

  Scenario: A chunked request lacks its final line
    Guards against passing on a request that hasn't come to its end.
    Given three entries before upstreams
    When a caller ends its connection before the final line of its request
    Then its request is refused with 400, and hasn't run

  Scenario Outline: A request fails inside the application
    Guards against a refusal that promises "not run" for a request that was passed on.
    Given a server for callers whose application raises <error> <when>
    When a payment is sent to that server
    Then it gets 500, which says that nobody knows whether it ran
    And the server's log tells that the application had it

    Examples:
      | error        | when                |
      | TimeoutError | as it is called     |
      | TimeoutError | before its response |
      | OSError      | as it is called     |
      | ValueError   | before its response |
