Feature: What a stream's request tells its dispatcher
  A prompt counts as unread at its upstream until the stream's first event.

  Scenario: A stream goes on at another upstream
    Guards against a prompt that counts as unread there until the whole stream has ended.
    Given a resumable request whose first upstream breaks off after its first event
    And another upstream has a free slot
    And its dispatcher notes what it is told
    When its stream is read to the end
    Then its dispatcher was told "began u0, ended u0, began u1, ended u1"
