Feature: Shutdown of an entry that uses direct dispatch
  In the first two scenarios the server is paused where a busy machine could suspend it.

  Scenario: The last chunk of a stream isn't written yet
    Guards against an exit between a stream's last event and its final chunk.
    Given an entry whose server is paused before the last chunk of a stream
    When a caller sends a request, and the entry gets the stop signal
    Then the entry is still running after it stopped accepting requests
    When its server continues
    Then the caller gets its complete stream, and the entry exits

  Scenario: A request waits for a thread
    Guards against an exit while a request that arrived in time has no thread yet.
    Given an entry whose server has no free thread
    When a caller sends a request, and the entry gets the stop signal
    Then the entry is still running after it stopped accepting requests
    When its server continues
    Then the caller gets its complete stream, and the entry exits

  Scenario: A caller has connected without sending a request
    Guards against a shutdown that waits for idle connections.
    Given an entry with a caller that has sent nothing
    When the entry gets the stop signal, and stops accepting requests
    Then the entry exits
