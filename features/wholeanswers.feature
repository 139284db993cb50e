Feature: Each caller receives the whole answer to its own request
  The stand-in engines answer with tokens made from the prompt, so a test knows
  each whole answer. What can't be completed must end visibly.

  Scenario: An engine's connection is cut in the middle of a stream
    The engine goes on with the run. The agent resumes it after the last event
    that it has, and the caller notices nothing.
    Given two entries before two model engines
    When every engine cuts its streams after 3 events
    And 6 completions of 12 tokens are sent through both entries
    Then every completion is answered whole
    And no promise is broken

  Scenario: An engine's connection is cut before its answer begins
    No head has come when the connection is lost, so the run may or may not have
    begun. The engine is asked for the run by its id, and knows it.
    Given two entries before two model engines
    When every engine cuts its streams after 0 events
    And 4 completions of 12 tokens are sent through both entries
    Then every completion is answered whole
    And no promise is broken

  Scenario: An engine ends its streams early
    The engine closes the answer properly but without its last event. A clean
    end would pass the cut answer off as whole, so the caller gets an error
    event and a connection closed without its last chunk.
    Given two entries before two model engines
    When every engine ends its streams after 3 events
    And 4 completions of 12 tokens are sent through both entries
    Then no completion ends as if it were whole
    And no promise is broken

  Scenario: An agent is killed in the middle of streams
    Its successor at the same address asks the engine for the runs by their ids,
    from the start; the entries leave out what they have, and every caller gets
    the rest of its own stream.
    Given two entries before one slow model engine
    When 6 completions of 60 tokens are sent through both entries
    And every completion has given its first tokens
    And process agent-1 is killed
    And process agent-1 is started again
    Then every completion is answered whole
    And no promise is broken

  Scenario: An agent is dead for longer than its heartbeat's silence
    The entries have given the agent up by the time its successor comes. Its
    streams are still its successor's to resume.
    Given two entries before one slow model engine
    When 4 completions of 60 tokens are sent through both entries
    And every completion has given its first tokens
    And process agent-1 is killed
    And no entry sees agent-1
    And process agent-1 is started again
    Then every completion is answered whole
    And no promise is broken

  Scenario: Messages to an entry are late and their connection is cut
    Pieces are held up, then lost with their connection. The entry sees the hole
    in their numbers, or the silence, and asks the agent for the rest.
    Given two proxied entries before two model engines
    When the way to entry-1 is delayed by 100 ms
    And 6 completions of 40 tokens are sent through both entries
    And the way to entry-1 is cut 3 times
    Then every completion is answered whole
    And no promise is broken

  Scenario: An engine crashes and comes back without its runs
    The agent tries to resume, and the new engine doesn't know the run. Nothing
    can complete the answer: it ends visibly, and the run is not repeated.
    Given two entries before one slow model engine
    When 4 completions of 60 tokens are sent through both entries
    And every completion has given its first tokens
    And process engine-1 is killed
    And process engine-1 is started again
    Then no completion ends as if it were whole
    And no promise is broken

  Scenario Outline: A plain service's answers end with their connections
    Guards against refusing whole answers on their way through agents, and against
    truncated ones that look whole.
    Given two entries before a payment service with 4 slots
    When the payment service's answers are "<mode>", and one is asked for by each entry
    Then each answer is <result>, after one run
    And by HTTP/1.0 each answer is <result>, after one run

    Examples:
      | mode           | result                |
      | unframed       | whole                 |
      | reset_unframed | refused as incomplete |
      | events         | whole                 |
      | half_event     | visibly broken        |
