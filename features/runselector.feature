Feature: One thread reads the streams of an upstream
  A request's own thread sends it and reads until the answer is selectable. The
  selector then reads the rest and delivers the events in order.

  Scenario: Many streams at once
    Given a model engine stand-in with 32 slots
    When 100 runs of 20 tokens are handed to a selector
    Then each run has its complete answer and ends once

  Scenario: One stream is cut and the others continue
    The engine cuts the connection of the first run after three events. That run is
    reported as broken, and the others' answers are complete.
    Given a model engine stand-in
    And the engine's fault "cut_after_events" is 3
    When 1 run of 20 tokens is handed to a selector
    And the engine's fault "cut_after_events" becomes -1
    And 10 more runs of 20 tokens are handed to it
    Then the first is broken and the others have complete answers

  Scenario: An engine freezes in the middle of its streams
    No byte arrives and no connection breaks, as when a machine stalls. After the
    read timeout every run is reported as broken, since it was silent for too long.
    Given a model engine stand-in with slow steps
    When 3 runs of 1000 tokens are handed to a selector with a timeout of 0.5 seconds
    And the engine's fault "freeze" becomes 1
    Then each run is reported as silent once

  Scenario: Stopping drops the streams
    Given a model engine stand-in with slow steps
    When 3 runs of 1000 tokens are handed to a selector with a timeout of 30 seconds
    Then the selector stops, and the engine sees the streams close

  Scenario: A chunked answer isn't handed to a selector
    If two chunks arrive together, the second stays in a user-space buffer that a
    selector can't see, so the stream would hang until more bytes arrive.
    Given an upstream that answers two chunks in one packet
    Then the run isn't selectable, and iterating returns both

  Scenario Outline: An answer with a length isn't handed to a selector
    Once its last byte is read, it has no open socket for a selector to wait on.
    Given an upstream that answers <type> with a length
    Then the run isn't selectable, and iterating returns it completely

    Examples:
      | type              |
      | application/json  |
      | text/event-stream |

  Scenario: A run that can't be read doesn't stop the others
    Given a model engine stand-in
    When a run that is closed already is handed to a selector
    And 10 more runs of 20 tokens are handed to it
    Then the first is broken and the others have complete answers
