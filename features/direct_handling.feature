Feature: Handling of a request by an entry that dispatches directly
  Against raw upstreams, mostly with a fake dispatcher.

  Scenario: An error occurs between the start and the end of a response
    The entry fails after it has read the first event and before it writes it. The slot
    at the upstream must still be released, or the entry runs out of slots.
    Given a request at an upstream that streams "id: 0\ndata: a\n\n" and waits
    When its first event has arrived and the request is closed unread
    Then its slot was released once, as "left"

  Scenario: The caller leaves during an endless response
    Given a request at an upstream that streams "id: 0\ndata: a\n\n" and waits
    When its first event has arrived and its caller leaves
    Then its stream breaks off, and its slot was released once, as "left"

  Scenario: Events of another run
    The ids of a stream's events go back, so the events belong to another run.
    Given a request at an upstream that streams "id: 4\ndata: a\n\nid: 2\ndata: b\n\n" and waits
    When its stream is read
    Then it is refused as incomplete, and its slot was released once

  Scenario Outline: Content is proved to crash upstreams while a request is handled
    Guards against sending what waited, or was to be resumed, after the proof.
    Given a resumable request whose first upstream breaks off after its first event
    And another upstream has a free slot
    And its content is quarantined <when>
    When its stream is read as far as it goes
    Then it was sent to <sent> upstreams, and no slot is held

    Examples:
      | when                       | sent |
      | while it waits             | 0    |
      | as its first attempt ended | 1    |

  Scenario: An upstream pauses during a stream, and no other has a free slot
    Guards against a stream that breaks off although its upstream would have continued.
    The engine prefills a long prompt or has preempted the stream for lack of memory, so
    it is silent for 1.9 s. The request must stay until another engine has a slot.
    Given a resumable request at an upstream that pauses for 1.9 s after its first event
    And no other upstream has a free slot
    When its stream is read to the end
    Then its caller has events 0 and 1, and it ran at 1 upstream

  Scenario: An upstream pauses during a stream, and another has a free slot
    Given a resumable request at an upstream that pauses for 1.9 s after its first event
    And another upstream has a free slot
    When its stream is read to the end
    Then its caller has events 0 and 1, and it ran at 2 upstreams
    And the first attempt ended before the other upstream got the request
    And the other got the request with the slot that it had reserved

  Scenario: An upstream pauses during a stream, and no retry is left
    A slot elsewhere is of no use then, and stays free for other requests.
    Given a resumable request at an upstream that pauses for 1.9 s after its first event
    And another upstream has a free slot, and no retry is left
    When its stream is read to the end
    Then its caller has events 0 and 1, and it ran at 1 upstream
    And no slot is held

  Scenario: An upstream pauses during a stream, and the next rejects requests
    Guards against a stream that is broken off for an upstream that rejects it.
    Given a resumable request at an upstream that pauses for 1.9 s after its first event
    And another upstream that rejects requests
    When its stream is read to the end
    Then its caller has events 0 and 1, and it ran at 1 upstream
    And no slot is held
    And its retry was returned

  Scenario: An upstream pauses during a stream, and the next repeats an earlier response
    Guards against taking another request's 421 for the answer to a reservation.
    Given a resumable request at an upstream that pauses for 1.9 s after its first event
    And another upstream that answers a reservation with the 421 of another request
    When its stream is read to the end
    Then its caller has events 0 and 1, and it ran at 1 upstream
    And no upstream counts as replaced, and nothing that it said of itself
    And its retry was returned

  Scenario: An upstream pauses during a stream, and the next reserves a slot as it leaves
    Guards against a stream that moves to an upstream which says that it leaves.
    Given a resumable request at an upstream that pauses for 1.9 s after its first event
    And another upstream that reserves a slot and says that it leaves
    When its stream is read to the end
    Then its caller has events 0 and 1, and it ran at 1 upstream
    And no slot is held
    And its retry was returned

  Scenario: An upstream pauses during a stream, and the next is unreachable
    Guards against a stream that is broken off for an unreachable upstream.
    Given a resumable request at an upstream that pauses for 1.9 s after its first event
    And another upstream that can't be reached
    When its stream is read to the end
    Then its caller has events 0 and 1, and it ran at 1 upstream
    And no slot is held
    And its retry was returned

  Scenario: An upstream pauses during a stream, and the next responds late
    Guards against a stream that waits long for an upstream to reserve a slot.
    Given a resumable request at an upstream that pauses for 1.9 s after its first event
    And another upstream that doesn't respond to a reservation
    When its stream is read to the end
    Then its caller has events 0 and 1, and it ran at 1 upstream
    And it took less than 2.5 s
    And its retry was returned

  Scenario: An upstream continues while another one reserves a slot
    Guards against a stream that is abandoned after it has continued.
    Given a resumable request at an upstream that pauses for 4 s after its first event
    And another upstream that reserves a slot once the first has continued
    When its stream is read to the end
    Then its caller has events 0 and 1, and it ran at 1 upstream
    And a relocation ended as "spoke"
    And no slot is held
    And its retry was returned

  Scenario: An upstream begins to respond while another one reserves a slot
    Guards against a response that is abandoned after its head has arrived.
    Given a resumable request at an upstream that responds after 4 s
    And another upstream that reserves a slot once the first has continued
    When its stream is read to the end
    Then its caller has events 0 and 1, and it ran at 1 upstream
    And a relocation ended as "spoke"

  Scenario: An upstream becomes silent during a stream, and another is idle
    Guards against a stream that stays at a dead upstream while others are idle.
    Given a resumable request at an upstream that is silent after its first event
    And the entry's real dispatcher, and another upstream that is idle
    When its stream is read to the end
    Then its caller has events 0 and 1, and it ran at 2 upstreams

  Scenario: An upstream breaks off a stream that lasts longer than callers wait
    Guards against a stream that isn't resumed because its caller is believed gone.
    Given a resumable request at an upstream that breaks off after 1.5 s of events
    And callers that wait 1 s for the next event
    And the entry's real dispatcher, and another upstream that is idle
    When its stream is read to the end
    Then its caller has events 0 to 3, and it ran at 2 upstreams

  Scenario: The last upstream that may run a request responds late
    The first of two permitted upstreams has broken off. No other may run the request
    after the second, so abandoning that one before the deadline gains nothing.
    Given a resumable request whose first upstream breaks off after its first event
    And another upstream has a free slot, and sends nothing for 1.9 s
    When its stream is read to the end
    Then its caller has events 0 and 1, and it ran at 2 upstreams

  Scenario: Another upstream responds at the address
    The upstream crashed and restarted under another name. It says that it is not the
    addressed one, so the request has not run and is sent elsewhere.
    Given a request at an upstream that another one has replaced
    And another upstream streams its response
    When its stream is read to the end
    Then its caller has events 0 and 1, and it ran at 1 upstream
    And the first attempt ended as "misdirected"

  Scenario: The caller leaves before the request is sent
    No upstream got the request, so none must count as unreachable: all entries would
    eject it.
    Given a request at 1 upstreams that can't be reached
    And another upstream streams its response, and no retry is left
    When its caller leaves while a connection is made
    Then the first attempt ended as "left"

  Scenario: Two upstreams can't be reached, and no retry is left
    A quarter of the upstreams crashed at once, and the requests broken off there have
    used up the retries. Guards against refusing a request that no upstream has got yet
    although others have free slots.
    Given a request at 2 upstreams that can't be reached
    And another upstream streams its response, and no retry is left
    When its stream is read to the end
    Then its caller has events 0 and 1, and it ran at 1 upstream

  Scenario: An upstream is silent until the deadline of its stream
    Guards against a log that confuses the deadline with an upstream abandoned early.
    Given a resumable request at an upstream that pauses for 6 s after its first event
    And no other upstream has a free slot
    When its stream is read until it breaks off
    Then the error is "deadline expired", after relocations that ended as "no_place"

  Scenario Outline: A stream is moved to an upstream whose rest ends with its connection
    Guards against half an event of a second upstream that passes for the end.
    Given a resumable request whose first upstream breaks off after its first event
    And another upstream that sends "<rest>" with neither length nor chunks, and ends
    When its stream is read until its end
    Then it ends as "<end>"
    And no slot is held

    Examples:
      | rest                             | end                                                  |
      | id: 1\ndata: a\n\n              | whole                                                |
      | id: 1\ndata: a\n\nid: 2\ndat     | the stream ended within an event                     |
      |                                  | the connection ended before the stream's first event |

  Scenario Outline: A stream's bytes end, and its framing says that they are all
    Guards against a truncated stream that passes for whole, and a whole one refused.
    Given a request at an upstream that sends the head "<head>" and "<bytes>", and ends
    When its stream is read until its end
    Then it ends as "<end>"

    Examples:
      | head                                        | bytes                               | end                                                   |
      | Content-Type: text/event-stream             | id: 0\ndata: a\n\n                  | whole                                                 |
      | Content-Type: text/event-stream             | id: 0\ndata: a\n\nid: 1\nda         | the stream ended within an event                      |
      | Content-Type: text/event-stream             | id: 0\ndata: a\n\nid: 1\ndata: b\n  | the stream ended within an event                      |
      | Content-Type: text/event-stream             | id: 0\r\ndata: a\r\n\r\nid: 1\r\n   | the stream ended within an event                      |
      | Content-Type: text/event-stream             | id: 0\rdata: a\r\r                  | whole                                                 |
      | Content-Type: text/event-stream             | data: a\n\n: still here\n           | whole                                                 |
      | Content-Type: text/event-stream             |                                     | the connection ended before the stream's first event  |
      | X-Nothing: 1                                | id: 0\ndata: a\n\nid: 1\nda         | the stream ended within an event                      |
      | Content-Type: application/json              | {"choices": []}                     | whole                                                 |
      | Content-Type: application/json\r\nContent-Length: 15 | {"choices": []}            | whole                                                 |
      | Content-Type: text/event-stream\r\nContent-Length: 0 |                            | whole                                                 |
      | Content-Type: text/event-stream\r\nContent-Length: 10 | data: a\n\n:              | whole                                                 |
      | Content-Type: text/event-stream\r\nContent-Length: 14 | data: a\n\ndata:          | the stream ended within an event                      |
