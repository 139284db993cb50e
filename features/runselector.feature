Feature: One thread reads the streams of an upstream
  The agent sends each request on a thread, and leaves the rest of its answer to
  the selector, which gives the events in order.

  Scenario: Many streams at once
    Given a model engine stand-in with 32 slots
    When 100 runs of 20 tokens are left to a selector
    Then each of them has its whole answer, ended once

  Scenario: One stream is cut, the others go on
    The connection of the first run is cut by the engine after three events. Its
    taker sees a broken run, and the others' answers are whole.
    Given a model engine stand-in
    And the engine's fault "cut_after_events" is 3
    When 1 run of 20 tokens is left to a selector
    And the engine's fault "cut_after_events" becomes -1
    And 10 more runs of 20 tokens are left to it
    Then the first is broken and the others have their whole answers

  Scenario: An engine freezes in the middle of its streams
    No byte comes and no connection breaks, as with a machine that stalls. After
    the silence that is allowed, every taker is told.
    Given a model engine stand-in with slow steps
    When 3 runs of 1000 tokens are left to a selector for 0.5 seconds of silence
    And the engine's fault "freeze" becomes 1
    Then each of them is told of the silence once

  Scenario: Stopping drops the streams
    Given a model engine stand-in with slow steps
    When 3 runs of 1000 tokens are left to a selector for 30 seconds of silence
    Then the selector stops, and the engine sees the streams go

  Scenario: A chunked answer isn't left to a selector
    Of two chunks that came together the second waits in a buffer, where no
    selector sees it: the stream would hang until more came.
    Given an upstream that answers two chunks in one packet
    Then the run isn't selectable, and iterating gives both

  Scenario Outline: An answer with a length isn't left to a selector
    Its socket is closed with its last byte, and a selector can't wait on that.
    Given an upstream that answers <type> with a length
    Then the run isn't selectable, and iterating gives it whole

    Examples:
      | type              |
      | application/json  |
      | text/event-stream |

  Scenario: A run that can't be read doesn't stop the others
    Given a model engine stand-in
    When a run that is closed already is left to a selector
    And 10 more runs of 20 tokens are left to it
    Then the first is broken and the others have their whole answers
