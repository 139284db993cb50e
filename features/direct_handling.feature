Feature: One request's way through an entry that dispatches directly
  Against a raw upstream, with the scheduler's part played by the test.

  Scenario: A fault comes between an answer's beginning and its end
    The entry fails after the first event and before it writes it. The place at the
    upstream must be given back all the same, or the entry runs out of places.
    Given a request at an upstream that streams "id: 0\ndata: a\n\n" and waits
    When its first event has come and the request is closed unread
    Then its place was given back once, as "left"

  Scenario: An answer has no end and its caller leaves
    Given a request at an upstream that streams "id: 0\ndata: a\n\n" and waits
    When its first event has come and its caller leaves
    Then its stream breaks off, and its place was given back once, as "left"

  Scenario: Pieces of another run
    The numbers of a stream's events go back: what comes belongs to another run.
    Given a request at an upstream that streams "id: 4\ndata: a\n\nid: 2\ndata: b\n\n" and waits
    When its stream is read
    Then its caller is told that it can't be completed, and its place was given back once

  Scenario: An upstream pauses in the middle of a stream, and no other has a place
    The caller saw a stream that broke off. The engine reads a long prompt beside the
    stream, or has put the stream aside for want of memory, and says nothing for 1.9 s.
    It was given up for another engine, where all places were taken, and would have gone
    on. It has to be left alone until another one has a place.
    Given a resumable request at an upstream that pauses for 1.9 s after its first event
    And no other upstream has a place
    When its stream is read to the end
    Then its caller has events 0 and 1, and it ran at 1 upstream

  Scenario: An upstream pauses in the middle of a stream, and another has a place
    Given a resumable request at an upstream that pauses for 1.9 s after its first event
    And another upstream has a place
    When its stream is read to the end
    Then its caller has events 0 and 1, and it ran at 2 upstreams
    And the first upstream was given up before the other was asked
    And the other was asked with the place that it had reserved

  Scenario: An upstream pauses in the middle of a stream, and no retry is left
    A place elsewhere is of no use then, and stays free for others.
    Given a resumable request at an upstream that pauses for 1.9 s after its first event
    And another upstream has a place, and no retry is left
    When its stream is read to the end
    Then its caller has events 0 and 1, and it ran at 1 upstream
    And no place is held

  Scenario: An upstream pauses in the middle of a stream, and the next has no room
    Guards against a stream that is broken off for an upstream that turns it away.
    Given a resumable request at an upstream that pauses for 1.9 s after its first event
    And another upstream that turns requests away
    When its stream is read to the end
    Then its caller has events 0 and 1, and it ran at 1 upstream
    And no place is held
    And its retry is left

  Scenario: An upstream pauses in the middle of a stream, and the next is unreachable
    Guards against a stream that is broken off for an upstream that isn't there.
    Given a resumable request at an upstream that pauses for 1.9 s after its first event
    And another upstream that can't be reached
    When its stream is read to the end
    Then its caller has events 0 and 1, and it ran at 1 upstream
    And no place is held
    And its retry is left

  Scenario: An upstream pauses in the middle of a stream, and the next answers late
    Guards against a stream that waits long for an upstream to reserve a place.
    Given a resumable request at an upstream that pauses for 1.9 s after its first event
    And another upstream that is asked for a place and doesn't answer
    When its stream is read to the end
    Then its caller has events 0 and 1, and it ran at 1 upstream
    And it took less than 2.5 s
    And its retry is left

  Scenario: An upstream goes on while another one reserves a place
    Guards against a stream that is given up after it has gone on.
    Given a resumable request at an upstream that pauses for 4 s after its first event
    And another upstream that reserves a place once the first has gone on
    When its stream is read to the end
    Then its caller has events 0 and 1, and it ran at 1 upstream
    And a look found "spoke"
    And no place is held
    And its retry is left

  Scenario: An upstream begins to answer while another one reserves a place
    Guards against an answer that is given up after its head has come.
    Given a resumable request at an upstream that begins to answer after 4 s
    And another upstream that reserves a place once the first has gone on
    When its stream is read to the end
    Then its caller has events 0 and 1, and it ran at 1 upstream
    And a look found "spoke"

  Scenario: An upstream falls silent in the middle of a stream, and another is idle
    Guards against a stream that is left at a dead upstream while others are idle.
    Given a resumable request at an upstream that falls silent after its first event
    And the entry's own dispatcher, and another upstream that is idle
    When its stream is read to the end
    Then its caller has events 0 and 1, and it ran at 2 upstreams

  Scenario: An upstream breaks off a stream that is older than callers wait in silence
    Guards against a stream that isn't resumed since its caller is taken to have left.
    Given a resumable request at an upstream that ends after events of 1.5 s
    And callers that wait for 1 s in silence
    And the entry's own dispatcher, and another upstream that is idle
    When its stream is read to the end
    Then its caller has events 0 to 3, and it ran at 2 upstreams

  Scenario: The last upstream that may run a request begins late
    Of two upstreams that may run the request the first has broken off. Nobody else may
    run it after the second, so nothing is won by giving that up before the deadline.
    Given a resumable request whose first upstream breaks off after its first event
    And another upstream has a place, and says nothing for 1.9 s
    When its stream is read to the end
    Then its caller has events 0 and 1, and it ran at 2 upstreams

  Scenario: Another upstream answers at the address
    The upstream crashed and started again as another one. It says that it is not the
    one that was asked, so the request has not run, and goes elsewhere.
    Given a request at an upstream in whose place another one answers
    And another upstream streams its answer
    When its stream is read to the end
    Then its caller has events 0 and 1, and it ran at 1 upstream
    And the first attempt ended as "misdirected"

  Scenario: The caller leaves before the request is sent
    The upstream was not asked, so it must not count as one that can't be reached: all
    entries would leave it alone.
    Given a request at 1 upstreams that can't be reached
    And another upstream streams its answer, and no retry is left
    When its caller leaves while a connection is made
    Then the first attempt ended as "left"

  Scenario: Two upstreams can't be reached, and no retry is left
    The pattern: a quarter of the upstreams crashed at once, and what was cut off there
    has used up the retries. A request that no upstream has got yet is no repeat; its
    caller was refused although others had room.
    Given a request at 2 upstreams that can't be reached
    And another upstream streams its answer, and no retry is left
    When its stream is read to the end
    Then its caller has events 0 and 1, and it ran at 1 upstream

  Scenario: An upstream is silent until the time for its stream has run out
    Guards against a log that doesn't tell a deadline from an upstream given up early.
    Given a resumable request at an upstream that pauses for 6 s after its first event
    And no other upstream has a place
    When its stream is read until it breaks off
    Then the cut is told as "the time for it ran out", after looks that found "no_place"
