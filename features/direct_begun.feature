Feature: Calls of a stream's request to its dispatcher
  A prompt counts as unread at its upstream until the first event of the stream.

  Scenario: A stream is resumed at another upstream
    Guards against a prompt that counts as unread at the second one until the stream ends.
    Given a resumable request whose first upstream breaks off after its first event
    And another upstream has a free slot
    And its dispatcher records the calls
    When its stream is read to the end
    Then its dispatcher got the calls "began u0, ended u0, began u1, ended u1"
