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
