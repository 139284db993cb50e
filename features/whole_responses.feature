Feature: What proves a response whole
  A response ends with its length, its last chunk or its connection. What isn't proved
  whole must not look whole to a caller, and what is must be delivered, after one run.

  Scenario Outline: An upstream crashes within an event of a stream
    Guards against half an event, followed by the last chunk, that passes for the end.
    Given two entries before two model and two desk upstreams
    And every model upstream ends its responses by "<framing>"
    And every model upstream cuts its first stream after 3 events
    When a stream is requested through each entry
    Then each is complete and in order, resumed after event 2
    When a stream that must run at most once is requested through each entry
    Then each is visibly truncated after 3 events and ran once

    Examples:
      | framing    |
      | connection |
      | chunks     |
      | length     |

  Scenario Outline: An upstream ends a stream properly within an event
    Guards against half an event that passes for the end since its framing is in order.
    Given two entries before two model and two desk upstreams
    And every model upstream ends its responses by "<framing>"
    And every model upstream ends its first stream properly within event 3
    When a stream is requested through each entry
    Then each is complete and in order, resumed after event 2
    When a stream that must run at most once is requested through each entry
    Then each is visibly truncated after 3 events and ran once

    Examples:
      | framing    |
      | connection |
      | chunks     |
      | length     |

  Scenario Outline: A whole response is delivered after one run
    Guards against refusing, or running again, what was whole.
    Given two entries before two model and two desk upstreams
    And every upstream ends its responses by "<framing>"
    When a stream is requested through each entry
    Then each is complete and in order, and ran once
    When a plain response is requested through each entry
    Then each is complete with the upstream's signature, and ran once

    Examples:
      | framing    |
      | connection |
      | chunks     |
      | length     |

  Scenario Outline: A plain response is reset before its end
    Guards against a truncated response of unknown length that passes for whole.
    Given two entries before two model and two desk upstreams
    And every upstream ends its responses by "<framing>"
    And every desk upstream resets the connections of its truncated responses
    When a plain response is requested through each entry
    Then each is refused as incomplete, after 2 runs
    When a payment is requested through each entry
    Then each is refused as incomplete, after 1 run

    Examples:
      | framing    |
      | connection |
      | chunks     |
      | length     |

  Scenario: A caller of HTTP/1.0 requests a stream that is cut
    Guards against a cut that such a caller, who has no chunks, takes for the end.
    Given two entries before two model and two desk upstreams
    And every model upstream cuts its first stream after 3 events
    When a stream that must run at most once is requested by HTTP/1.0
    Then no whole response reaches its caller
    When a stream is requested by HTTP/1.0
    Then its caller has the whole stream, with its length

  Scenario Outline: A caller asks for the head of a response alone
    Guards against a length of 0 for a body that has one, and against a body.
    Given two entries before two model and two desk upstreams
    And every upstream ends its responses by "<framing>"
    When the head of a plain response is requested by a raw caller
    Then it is complete, without a body, and its length is "<length>"
    When the head of a stream is requested by a raw caller
    Then it is complete, without a body, and its length is "<stream>"

    Examples:
      | framing    | length | stream |
      | connection | none   | none   |
      | length     | some   | some   |

  Scenario: A caller asks for the head of what is refused
    Guards against a body, which the caller would read as the next response.
    Given two entries before two model and two desk upstreams
    When the head of an unknown route is requested by a raw caller
    Then it is refused without a body
