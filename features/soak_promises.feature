Feature: The soak checks what callers are told
  Callers, upstreams and the soak's schedules know every way in which an answer can promise
  that a request has not run, and the checks find each promise that isn't kept.

  Scenario Outline: A promise that isn't kept is noticed
    Guards against a check that counts only requests which an upstream began, or those it ran before the answer.
    Given a soak's record in which every promise is kept
    When a request that must run at most once <case>
    Then the check "<check>" finds one breach, and no other does

    Examples:
      | case                                                  | check           |
      | is promised not to run, and was refused unproven      | true_refusals   |
      | is promised not to run, and ran before                | true_refusals   |
      | is promised not to run, and runs later                | kept_refusals   |
      | was refused unproven and ran elsewhere                | run_counts      |
      | was repeated after a reset and ran twice              | run_counts      |
      | was repeated after an orderly close and ran twice     | run_counts      |
      | was repeated after a reset by a kill and ran twice    | run_counts      |
      | is answered 502 with the signature of a 503           | signed_statuses |
      | is answered 503 with a signature of nothing           | signed_statuses |
      | is refused without a time to return                   | returns_told    |
      | was truly refused and is told that it may have run    | refusals_told   |

  Scenario Outline: A promise that is kept, or isn't made, is no breach
    Guards against a check that blames entries for what they can't know or prevent.
    Given a soak's record in which every promise is kept
    When a request that must run at most once <case>
    Then no check finds a breach

    Examples:
      | case                                                      |
      | was truly refused and is promised not to run              |
      | was refused unproven and is told that it may have run     |
      | was repeated after a reset and ran once                   |
      | was repeated after an orderly close and ran once          |
      | was repeated after the close of a kill and ran twice      |
      | is answered 503 with the signature of a 503               |
      | was refused beside copies and is told that it may have run |
      | was truly refused beside a harmed upstream and may have run |

  Scenario Outline: The share that is served in calm is checked
    Guards against refusing all work, which keeps every promise.
    Given a soak's record in which every promise is kept
    When <served> of 40 plain requests are served, <disturbance>
    Then <checks> of the checks find a breach

    Examples:
      | served | disturbance                  | checks |
      | 31     | and nothing is disturbed     | 1      |
      | 32     | and nothing is disturbed     | 0      |
      | 10     | while an upstream is disturbed | 0    |

  Scenario Outline: A caller repeats what promises allow, and nothing else
    Guards against callers that hide a false promise, or break one themselves.
    Given a request of kind "<kind>" that ended with <end> after 1 s of 4 s
    Then its caller sends it again <again>

    Examples:
      | kind | end                             | again                         |
      | pay  | 503                             | at once, under another id     |
      | pay  | 503 that says to return in 0.5 s | after 0.5 s, under another id |
      | pay  | 503 that says to return in 9 s  | after 1 s, under another id   |
      | pay  | 408                             | at once, under another id     |
      | pay  | 502                             | never                         |
      | pay  | 504                             | never                         |
      | pay  | 200                             | never                         |
      | pay  | a connection that hung          | never                         |
      | pay  | a reset                         | at once, under either id      |
      | pay  | an orderly close                | at once, under either id      |
      | look | 502                             | at once, under another id     |
      | look | a connection that hung          | at once, under another id     |
      | look | 404                             | never                         |

  Scenario: Schedules hold every trouble
    Guards against a soak in which some trouble is never drawn.
    Then the seeds 1 to 100 hold all kinds of refusals, copies, lost answers, suspensions and stops while busy
    And no trouble of the seeds 1 to 100 leaves what refusals say to another one
    And the seeds 1 to 100 leave a part without troubles
    And one in 10 of the seeds 1 to 100 is large
