Feature: One request to an upstream and its answer
  Upstreams that are faulty byte by byte, on a real socket.

  Scenario Outline: What came is told from what is missing
    Given an upstream that sends "<bytes>" and then "<then>"
    When a request is sent to it
    Then its outcome is "<outcome>"

    Examples:
      | bytes                                                                        | then  | outcome                |
      | HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole                            | keeps | whole                  |
      | HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nwhole                            | ends  | cut                    |
      | HTTP/1.1 200 OK\r\n\r\nwhole                                                 | ends  | whole                  |
      | HTTP/1.1 200 OK\r\n\r\nwhole                                                 | reset | cut                    |
      | HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n | keeps | whole                  |
      | HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n          | ends  | cut                    |
      | HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\nwhole\r\n         | keeps | cut                    |
      | these bytes are no answer\r\n\r\n                                            | keeps | unanswered             |
      |                                                                              | ends  | unanswered             |
      |                                                                              | reset | unanswered             |
      |                                                                              | keeps | unanswered for so long |

  Scenario: Nobody listens
    Given a port where nobody listens
    When a request is sent to it
    Then its outcome is "not sent"

  Scenario Outline: The kernel gives a connection up before its answer is whole
    Guards against an upstream that is gone and yet waited for, or taken for done.
    Given an upstream that sends "<bytes>" and takes nothing more
    When a long request is sent to it, and its silences may last
    Then its outcome is "<outcome>", and no silence was asked about

    Examples:
      | bytes                                                                | outcome                |
      | HTTP/1.1 200 OK\r\n\r\nwhole                                         | cut, silent            |
      | HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nwhole                    | cut, silent            |
      | HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n  | cut, silent            |
      |                                                                      | unanswered for so long |

  Scenario: A kept connection is used again
    Given an upstream that sends "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole" and then "keeps"
    When a request is sent to it, twice
    Then the upstream saw 1 connection

  Scenario: Bytes come behind an answer
    A faulty upstream sends a second answer. Read as the answer to the next
    request on that connection, one caller would get another's bytes.
    Given an upstream that sends "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwholeHTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nother" and then "keeps"
    When a request is sent to it, twice
    Then both outcomes are "whole" and the upstream saw 2 connections

  Scenario: A connection has been idle for nearly as long as it may
    Given an upstream that sends "HTTP/1.1 200 OK\r\nKeep-Alive: timeout=1\r\nContent-Length: 5\r\n\r\nwhole" and then "keeps"
    When a request is sent to it, twice
    Then the upstream saw 2 connections

  Scenario: Its caller leaves while it is awaited
    Given an upstream that sends "" and then "keeps"
    When a request is sent to it and given up after 100 ms
    Then its outcome is "unanswered" within 500 ms

  Scenario: Its caller leaves just after the answer
    The connection has been given back and serves another request by then; that
    one must not be cut off in its place.
    Given an upstream that sends "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole" and then "keeps"
    When a request is answered and given up afterwards
    Then the next request on its connection comes whole
