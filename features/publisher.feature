Feature: Publishing is a compare-and-set that survives lost answers
  An operator must know whether the document is in force, lost against another,
  or neither is known; a second try must never undo somebody else's edit.

  Background:
    Given a log with a document by "ana" at version 1

  Scenario: A document is published
    When "badr" publishes burst 5 from version 1
    Then it is accepted as version 2
    And the log holds 2 records

  Scenario: The same text is published again
    When "badr" publishes burst 100 from version 0
    Then it was in force already as version 1
    And the log holds 1 record

  Scenario: Two operators edited the same version
    When "badr" publishes burst 5 from version 1
    And "celia" publishes burst 6 from version 1
    Then it conflicts with version 2 by "badr"
    And the changes say "burst: 5" in place of "burst: 100"
    And the log holds 2 records

  Scenario: Another edit gets in between the reading and the append
    The publisher reads version 1 and appends; another operator's record has taken
    the offset before. Both appends succeed, and only the fold says who won.
    When "celia" publishes burst 6 from version 1, and "badr" burst 5 just before
    Then it conflicts with version 2 by "badr"
    And the log holds 3 records

  Scenario Outline: The log's answer doesn't come
    An append's answer is lost, after the append took effect or before. Guessing
    "failed" would make the operator publish over an edit made since; the
    publisher appends the same record again, of which one copy at most can win.
    When the log's next appends are <faults>
    And "badr" publishes burst 5 from version 1
    Then <outcome>
    And the log holds <records> records

    Examples:
      | faults                                    | outcome                     | records |
      | lost                                      | it is accepted as version 2 | 2       |
      | vanished                                  | it is accepted as version 2 | 2       |
      | vanished, lost                            | it is accepted as version 2 | 2       |
      | down, vanished, down                      | it is accepted as version 2 | 2       |
      | down, down, down, down                    | it is not published         | 1       |
      | vanished, vanished, vanished, vanished    | it is unknown               | 1       |
      | down, vanished, down, down                | it is unknown               | 1       |

  Scenario: An append arrives long after its answer was given up
    The operator was told "unknown" and published again. The first record arrives
    afterwards, and then a third operator's edit is in force, which must stay.
    When the log's next appends are vanished, vanished, vanished, vanished
    And "badr" publishes burst 5 from version 1
    And "badr" publishes burst 5 from version 1
    And "celia" publishes burst 6 from version 2
    And the record that vanished arrives
    Then the log's readers have version 3 by "celia" in force

  Scenario: The publisher is paused until its record has aged out
    Its record was accepted and carried in a snapshot. The publisher wakes, can't
    find the record, and finds another version in force than its base: its own.
    When "badr" publishes burst 5 from version 1 and is paused past the retention
    Then it is accepted as version 2

  Scenario: The log goes down between the append and the reading back
    When the log takes the append of "badr" and goes down
    Then it is unknown

  Scenario: Mistakes are told before anything is appended
    When "badr" publishes a document without tiers
    Then it has a mistake at "tiers"
    And the log holds 1 record

  Scenario: The log's beginning has aged out before any snapshot
    No reader can tell whether the service has a document, so none may be accepted.
    When the log has forgotten its beginning
    And "badr" publishes burst 5 from version 0
    Then no reader can go by the log
    When an operator says that the log begins anew
    And "badr" publishes burst 5 from version 0
    Then it is accepted as version 3
    And the log can't be begun again
