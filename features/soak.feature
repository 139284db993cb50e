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
      | 5004 | upstreams refuse without saying whether they ran the request      |
      | 5005 | late copies of answers come where the next ones are expected      |
      | 5010 | more entries, upstreams and callers than usual                    |

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
      | a stream has events of two versions       | one_version    |
      | a stream was taken up at another version  | one_version    |
      | an innocent request is refused as a crash | innocent_served |
      | a request was held past its deadline      | answered_in_time |

  Scenario: Seeds hold upstreams that send without end
    Guards against seeds that no longer draw them.
    Then each of the seeds 1 to 20 has upstreams that send without end, at both paces

  Scenario: Seeds hold odd records, and entries that miss a change of version
    Guards against seeds that no longer draw them.
    Then each of the seeds 1 to 20 has odd records, and all topics have some
    And some have an entry that stands still while a version changes

  Scenario Outline: Content that crashes upstreams long after it is known is noticed
    Guards against a check that counts crashes at any time, or none.
    Given a soak's record in which every promise is kept
    When upstreams crash on content <when> s after the first
    Then <checks> of the checks find a breach

    Examples:
      | when                       | checks |
      | 1, 2, 4, 5.5, 6, 7 and 8   | 1      |
      | 1, 2, 4, 4.5, 4.9, 7 and 8 | 0      |
      | 1 and 9                    | 0      |

  Scenario Outline: A stream cut off while its upstream is at work is noticed
    Guards against a check that takes an upstream's silence for an excuse.
    Given a soak's record in which every promise is kept
    When a silent upstream's stream <end>
    Then the check "<check>" finds one breach, and no other does

    Examples:
      | end                                             | check          |
      | was cut                                         | whole_streams  |
      | was given up before its first event             | whole_streams  |
      | was given up in a stop before its first event   | whole_streams  |
      | was cut a little before its deadline            | whole_streams  |
      | was cut by a stop                               | graceful_stops |
      | was cut in the fifth sixth of the grace time    | graceful_stops |
      | came late in a stop and was cut                 | whole_streams  |
      | reached its deadline in a stop, with no silence | graceful_stops |

  Scenario Outline: A stream that is whole or whose time was up is no breach
    Guards against a check that blames entries for deadlines and the end of a stop.
    Given a soak's record in which every promise is kept
    When a silent upstream's stream <end>
    Then no check finds a breach

    Examples:
      | end                                               |
      | came whole                                        |
      | came whole in a stop                              |
      | was cut at its deadline                           |
      | was given up at its deadline                      |
      | was cut at its deadline in a stop                 |
      | was cut in the last sixth of the grace time       |
      | came late and was cut in the last sixth of a stop |

  Scenario: Schedules hold silences that stops overlap
    Guards against a soak in which no upstream at work ever falls silent.
    Then each of the seeds 1 to 60 has entries stopped around a silence

  Scenario: Schedules hold answers that end with their connections, and a lost copy
    Guards against a soak in which no upstream's framing changes, or no store goes back.
    Then each of the seeds 1 to 60 has upstreams without length or chunks
    And each of the seeds 1 to 60 has a store that goes back while it is written

  Scenario: Schedules hold content that crashes upstreams
    Guards against a soak in which no upstream crashes, or none comes back elsewhere.
    Then each of the seeds 1 to 60 has content that crashes upstreams, at both addresses

  Scenario: Schedules hold parts that crash upstreams, and shifted connections
    Guards against a soak in which callers use all entries alike, or only contents crash.
    Then of the seeds 1 to 60 some have contents that crash upstreams, and some have parts
    And each of the seeds 1 to 60 has two entries that get most new connections

  Scenario Outline: Parts that crash upstreams long after they are known are noticed
    Guards against a check that allows a part no more crashes than a content.
    Given a soak's record in which every promise is kept
    When upstreams crash on content <when> s after the first
    And the crashes were those of a part of prompts
    Then <checks> of the checks find a breach

    Examples:
      | when                          | checks |
      | 1, 2, 4, 5.5, 9, 9.5, 10, 11  | 1      |
      | 1, 2, 4, 5.5, 6, 7 and 8      | 0      |

  Scenario Outline: An entry that gets most new connections is checked
    Guards against a check that passes whatever happens to them.
    Given a soak's record in which every promise is kept
    When most new connections come to entry-1, which then serves <served> of 40 requests, and <others>
    Then <checks> of the checks find a breach

    Examples:
      | served | others                   | checks |
      | 25     | refuses the rest         | 1      |
      | 32     | refuses the rest         | 0      |
      | 25     | is over a limit for them | 0      |
      | 25     | leaves the rest unread   | 0      |

  Scenario Outline: What an upstream says about itself is checked
    Guards against a check that passes whatever entries do with it.
    Given a soak's record in which every promise is kept
    When an upstream says that <words>, and gets <requests> later on
    Then the check "<check>" finds one breach, and no other does
    When the entry was paused right after that
    Then no check finds a breach

    Examples:
      | words                | requests                    | check             |
      | it leaves            | 1 request after 2.1 s       | leaving_respected |
      | it takes 1 a second  | 12 requests from 3 s to 5 s | limits_respected  |
      | it wants 3 s of rest | 3 requests from 1 s to 2 s  | pauses_respected  |

  Scenario Outline: What an upstream says about itself and is kept is no breach
    Guards against a check that blames entries for requests that are allowed.
    Given a soak's record in which every promise is kept
    When an upstream says that <words>, and gets <requests> later on
    Then no check finds a breach

    Examples:
      | words                | requests                    |
      | it leaves            | 1 request after 1.9 s       |
      | it takes 1 a second  | 11 requests from 3 s to 5 s |
      | it wants 3 s of rest | 2 requests from 1 s to 2 s  |
      | it wants 3 s of rest | 3 requests from 3 s to 5 s  |

  Scenario: A disturbed entry owes no time bounds
    Given a soak's record in which every promise is kept
    When it is changed: a new version was unknown for too long
    And its entry was paused meanwhile
    Then no check finds a breach
