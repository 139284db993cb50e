Feature: A request to an upstream and its response
  Upstreams send faulty bytes over real sockets.

  Scenario Outline: A complete response is distinguished from an incomplete one
    Given an upstream that sends "<bytes>" and then "<then>"
    When a request is sent to it
    Then its outcome is "<outcome>"

    Examples:
      | bytes                                                                        | then  | outcome                |
      | HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole                            | keeps | complete               |
      | HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nwhole                            | ends  | incomplete             |
      | HTTP/1.1 200 OK\r\n\r\nwhole                                                 | ends  | complete               |
      | HTTP/1.1 200 OK\r\n\r\nwhole                                                 | reset | incomplete             |
      | HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n | keeps | complete               |
      | HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n          | ends  | incomplete             |
      | HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\nwhole\r\n         | keeps | incomplete             |
      | these bytes are no answer\r\n\r\n                                            | keeps | no response            |
      |                                                                              | ends  | no response            |
      |                                                                              | reset | no response            |
      |                                                                              | keeps | timed out              |

  Scenario: The connection is refused
    Given a port on which nothing listens
    When a request is sent to it
    Then its outcome is "not sent"

  Scenario Outline: The kernel times out a connection before its response is complete
    Guards against waiting further, or taking the truncated response for complete.
    Given an upstream that sends "<bytes>" and reads nothing more
    When a long request with extensible read timeouts is sent to it
    Then its outcome is "<outcome>", and no read timed out before

    Examples:
      | bytes                                                                | outcome                |
      | HTTP/1.1 200 OK\r\n\r\nwhole                                         | incomplete, timed out  |
      | HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nwhole                    | incomplete, timed out  |
      | HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n  | incomplete, timed out  |
      |                                                                      | timed out              |

  Scenario Outline: A body's end is truncated or contradicted
    Guards against bytes that are cut off, or headers in conflict, that pass for an end.
    Given an upstream that sends "<bytes>" and then "<then>"
    When a request is sent to it
    Then its outcome is "<outcome>"

    Examples:
      | bytes                                                                                   | then  | outcome    |
      | HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0                    | ends  | incomplete |
      | HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n\r\n                 | ends  | incomplete |
      | HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n-0\r\n\r\n          | ends  | incomplete |
      | HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5;a=b\r\nwhole\r\n0;c\r\n\r\n      | keeps | complete   |
      | HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n                | ends  | complete   |
      | HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n                | reset | complete   |
      | HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nContent-Length: 9\r\n\r\n5\r\nwhole\r\n0\r\n\r\n | keeps | complete |
      | HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\n\r\nwhole                                | ends  | incomplete |
      | HTTP/1.1 200 OK\r\nContent-Length: five\r\n\r\nwhole                                   | ends  | incomplete |
      | HTTP/1.1 200 OK\r\nContent-Length: -5\r\n\r\nwhole                                     | ends  | incomplete |
      | HTTP/1.1 200 OK\r\nContent-Length: 5\r\nContent-Length: 9\r\n\r\nwhole                 | ends  | no response |
      | HTTP/1.1 200 OK\r\nContent-Length: 5\r\n                                               | ends  | no response |
      | HTTP/1.1 200 OK\r\nX-Response-Signature: a                                            | ends  | no response |
      | HTTP/1.1 200 O                                                                         | ends  | no response |
      | HTTP/1.0 200 OK\r\n\r\nwhole                                                            | ends  | complete   |
      | HTTP/1.0 200 OK\r\n\r\nwhole                                                            | reset | incomplete |

  Scenario: Informational responses come before the final one
    Guards against taking one of them for the response.
    Given an upstream that sends "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole" and then "keeps"
    When a request is sent to it
    Then its outcome is "complete"

  Scenario: A whole response comes slowly, byte by byte
    Guards against cutting off an upstream that is slow and sound.
    Given an upstream that sends "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole" at 30 ms a byte
    When a request is sent to it, with 5 s for its response
    Then its outcome is "complete"

  Scenario: A response comes byte by byte for longer than it may
    Guards against a wait that begins anew with each byte.
    Given an upstream that sends "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole" at 30 ms a byte
    When a request is sent to it, with 0.6 s for its response
    Then its outcome is "timed out" within 800 ms

  Scenario Outline: A response that ends with its connection is aborted here
    Guards against the end that this side makes itself, which passes for the upstream's.
    Given an upstream that sends "HTTP/1.1 200 OK\r\n\r\nwhole" and then "keeps"
    When a request is sent to it, and "<what>" aborts it after its head
    Then its outcome is "incomplete"

    Examples:
      | what           |
      | its caller     |
      | the entry      |

  Scenario: A response that has ended with its connection is aborted afterwards
    Guards against refusing a response that was whole before.
    Given an upstream that sends "HTTP/1.1 200 OK\r\n\r\nwhole" and then "ends"
    When a request is sent to it, and "the entry" aborts it after its head
    Then its outcome is "complete"

  Scenario: An upstream responds, and resets the connection while the request is sent
    Guards against a reset that is reported to the sending of a body and then forgotten.
    Given an upstream that sends "HTTP/1.1 200 OK\r\n\r\nwhole" and resets unread requests
    When a request too long for the socket's buffers is sent to it
    Then its outcome is not "complete"

  Scenario: An idle connection is reused
    Given an upstream that sends "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole" and then "keeps"
    When a request is sent to it, twice
    Then both outcomes are "complete" over 1 connection

  Scenario: Bytes follow a response
    A faulty upstream sends a second response. If it were parsed as the response to the
    next request on that connection, one caller would get another's bytes.
    Given an upstream that sends "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwholeHTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nother" and then "keeps"
    When a request is sent to it, twice
    Then both outcomes are "complete" and the upstream saw 2 connections

  Scenario: A connection is close to its idle limit
    Given an upstream that sends "HTTP/1.1 200 OK\r\nKeep-Alive: timeout=1\r\nContent-Length: 5\r\n\r\nwhole" and then "keeps"
    When a request is sent to it, twice
    Then both outcomes are "complete" over 2 connections

  Scenario: The caller leaves before the response
    Given an upstream that sends "" and then "keeps"
    When a request is sent to it and cancelled after 100 ms
    Then its outcome is "no response" within 500 ms

  Scenario: The caller leaves just after the response
    By then the connection has been released and serves another request, which must not
    be aborted instead.
    Given an upstream that sends "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole" and then "keeps"
    When a request is completed and cancelled afterwards
    Then the next request on its connection is complete

  Scenario: The time for a request is over once its connection is open
    Guards against sending what may then run, though nobody waits for it.
    Given an upstream that sends "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole" and then "keeps"
    When a request is sent to it after its time, and another one in time
    Then their outcomes are "not sent" and "complete", and one request arrived
