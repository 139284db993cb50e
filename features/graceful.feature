Feature: A graceful stop of any instance cuts off no request in flight
  Load goes on while a daemon is told to stop.

  Scenario: An entry is stopped under load
    The entry refuses what is new and finishes what it has, waiting or running;
    its callers get whole answers. New requests go through the other entry.
    Given two entries before two slow model engines
    When 30 completions of 30 tokens are sent through both entries
    And every entry has a request in flight
    And process entry-1 is told to stop
    Then process entry-1 ends with status 0
    And every completion is answered whole
    And no promise is broken

  Scenario: An agent is stopped under load
    The agent stops pulling, finishes its streams, says that it left, and ends.
    What waits goes to the other agent; nothing is lost or cut off.
    Given two entries before two slow model engines
    When 30 completions of 30 tokens are sent through both entries
    And every completion's entry has granted some
    And process agent-1 is told to stop
    Then process agent-1 ends with status 0
    And every completion is answered whole
    And no promise is broken

  Scenario: A stopped agent hands its keys to another
    The payment's answer was held by an agent that left cleanly. Its heir has
    the key and the answer, so the re-send gets that answer and runs nothing.
    Given two entries before two payment services
    When payment "a" is sent through entry-1 with key "ka"
    Then the last payment is answered whole
    When the agent that ran payment "a" is told to stop and has ended
    And payment "a" is sent again through entry-2 with key "ka"
    Then the last payment is answered whole
    And payment "a" ran once
    And no promise is broken

  Scenario: The platform's list calls an upstream leaving
    No new work is dispatched to it once its agent has read the list; what runs
    is finished. The list is taken back at its word when it changes.
    Given two entries before two model engines
    When the member list says that agent-1 is leaving
    And every entry sees that agent-1 is leaving
    And 10 completions of 5 tokens are sent through both entries
    Then every completion is answered whole
    And engine-1 has run nothing
    When the member list names every daemon
    And no entry sees that agent-1 is leaving
    And 40 completions of 5 tokens are sent through both entries
    Then every completion is answered whole
    And engine-1 has run something

  Scenario: A leaving upstream whose agent is dead
    The list calls the agent leaving and the agent is gone. Nobody pulls for
    that upstream, so nothing can be dispatched to it; all goes to the other.
    Given two entries before two model engines
    When process agent-1 is killed
    And the member list says that agent-1 is leaving
    And 10 completions of 5 tokens are sent through both entries
    Then every completion is answered whole
    And engine-1 has run nothing
