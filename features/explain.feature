Feature: A request's story from the logs of several processes
  Engineers on call have a request's id and log files, and nothing else.

  Scenario: A request that was refused, though the caller thinks there was room
    Every upstream says that it is full, so the caller is refused. The story names
    the reason, the upstreams that were asked, and that nothing ran.
    Given a platform with an entry, two model upstreams and two desk upstreams
    And every desk upstream answers "full"
    When a plain answer is asked for through the entry
    And its id is explained from the entry's log
    Then the story says "No upstream had a place in time; it has not run."
    And the story says "desk-1:not_run"
    And the story says "catalog in force: version=1"

  Scenario: A stream that was cut midway
    Given a platform with an entry, two model upstreams and two desk upstreams
    And every model upstream cuts its first stream after 3 events
    When a stream that may run once is asked for through the entry
    And its id is explained from the entry's log
    Then the story says "The answer broke off after it had begun"
    And the story says ":broken"

  Scenario: An answer that may have run and never came
    Given a platform with an entry, two model upstreams and two desk upstreams
    And every desk upstream answers "truncate"
    When 1 repeatable and 1 single requests are sent through the entry
    And the single one's id is explained from the entry's log
    Then the story says "It may have run, and no whole answer came."

  Scenario: Lines that are cut, foreign or out of order
    A log collector cut a line, put names before others, and mixed the order.
    Given log files with cut, foreign and swapped lines about one request
    When its id is explained from them
    Then the story says "keys_stale"
    And the story tells the lost store before the regained one
    And the story says "2 lines that are no log records were left out"
    And the story leaves out what another process wrote

  Scenario: Nothing is known of the request, or a file is missing
    When an operator runs "explain nobody README.md"
    Then it exits with 1 and prints "nobody: in none of 0 log lines"
    When an operator runs "explain nobody no-such-file"
    Then it exits with 1 and prints "no-such-file: No such file or directory"
