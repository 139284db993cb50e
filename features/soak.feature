Feature: A soak that injects faults into real entries and checks promises
  `make soak` plays fifty seeds. Here are a short one and those that ever failed.

  Scenario Outline: A seed keeps every promise
    When the soak plays seed <seed>
    Then it breaks no promise

    Examples:
      | seed | why it is here                                                    |
      | 2    | faults of every kind beside planned work                          |
      | 6    | an entry is stopped while it starts                               |
      | 23   | SIGHUP reaches an entry that has just been started, and ended it  |
      | 106  | an upstream leaves twice at once; one end took both leaves back   |

  Scenario Outline: Each check notices what it is for
    A record of one request that was kept, changed in one way, must be told apart.
    Given a soak's record in which every promise is kept
    When it is changed: <change>
    Then the check "<check>" finds one breach, and no other does

    Examples:
      | change                                    | check          |
      | a single request ran twice                | run_counts     |
      | a refused single request ran              | true_refusals  |
      | a whole answer lacks an event             | whole_answers  |
      | a stream breaks off after a foreign piece | whole_answers  |
      | a revoked key's request ran late          | revoked_keys   |
      | an older version came back                | versions       |
      | a new version was unknown for too long    | versions       |
      | an upstream that leaves got a new request | drained        |
      | a stop cut a request off                  | graceful_stops |

  Scenario: A disturbed entry owes no time bounds
    Given a soak's record in which every promise is kept
    When it is changed: a new version was unknown for too long
    And its entry was paused meanwhile
    Then no check finds a breach
