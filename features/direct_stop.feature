Feature: The stop of an entry that dispatches directly
  The server is held at the point where a busy machine would leave it for a while.

  Scenario: The last chunk of a stream isn't written yet
    Guards against a process that ends between a stream's last event and its end.
    Given an entry whose server is held before the last chunk of a stream
    When a caller sends a request, and the entry is told to stop
    Then the entry is still there when its time to turn callers away has passed
    When its server goes on
    Then the caller gets its whole stream, and the entry ends

  Scenario: A request waits for a thread
    Guards against a process that ends while a request that came in time has no thread.
    Given an entry whose server has no thread free
    When a caller sends a request, and the entry is told to stop
    Then the entry is still there when its time to turn callers away has passed
    When its server goes on
    Then the caller gets its whole stream, and the entry ends

  Scenario: A caller has connected and says nothing
    Guards against a stop that waits for callers that only hold a connection.
    Given an entry with a caller that has said nothing
    When the entry is told to stop, and its time to turn callers away has passed
    Then the entry ends
