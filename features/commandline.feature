Feature: The operators' command line
  Errors are lines that say what to do, without a traceback, and the exit status
  tells scripts a mistake from an outage.

  Scenario: Documents and settings are checked offline
    When an operator runs "service check examples/narrative.yaml examples/ticketing.yaml"
    Then it exits with 0 and prints "examples/ticketing.yaml: in order"
    When an operator runs "service check features/__init__.py no-such-file.yaml"
    Then it exits with 1 and prints "no-such-file.yaml: can't be read"
    And it prints "features/__init__.py:1: (file)"
    When an operator runs "settings check features/__init__.py"
    Then it exits with 1 and prints "features/__init__.py:1: (file)"
    When an operator runs "settings show"
    Then it exits with 0 and prints "heartbeat_s: 0.5"
    When an operator runs "service check"
    Then it exits with 2 and prints "Missing argument"
    When an operator runs "--help"
    Then it exits with 0 and prints "Exit status"

  Scenario Outline: A URL that is none is wrong usage
    When an operator runs "<command>"
    Then it exits with 2 and prints "isn't a URL"

    Examples:
      | command                                 |
      | service history narrative --log ftp://x |
      | status --daemon 127.0.0.1:7401          |
      | status --members http://[               |

  Scenario: The platform's list holds an address that is none
    Given a running platform
    And a member whose status address is "no address"
    When an operator runs "status --members MEMBERS"
    Then it exits with 3 and prints "not reached: http://no address"

  Scenario: A document's life, from the first version to a conflict
    Given a running platform
    And a file with the narrative example
    When an operator runs "service publish FILE --log LOG --author ana"
    Then it exits with 0 and prints "accepted: version 1"
    When an operator saves what "service show narrative --log LOG" prints to the file
    And runs "service publish FILE --log LOG --author ana"
    Then it exits with 0 and prints "in force already: version 1"
    When the file's "weight: 4" becomes "weight: 5"
    And an operator runs "service publish FILE --log LOG --author badr"
    Then it exits with 0 and prints "accepted: version 2"
    When the file's "weight: 5" becomes "weight: 6"
    And an operator runs "service publish FILE --log LOG --author ana"
    Then it exits with 1 and prints "edited from version 1, but version 2 by badr"
    And it prints "+    weight: 5"
    When an operator runs "service diff narrative 1 2 --log LOG"
    Then it exits with 0 and prints "-    weight: 4"
    When an operator runs "service history narrative --log LOG"
    Then it exits with 0 and prints "2 by badr"
    When an operator runs "service show narrative --version 1 --log LOG"
    Then it exits with 0 and prints "weight: 4"
    When an operator runs "service show ticketing --log LOG"
    Then it exits with 1 and prints "ticketing: the log doesn't hold any version"
    When an operator runs "service begin --log LOG"
    Then it exits with 1 and prints "nothing done"

  Scenario: Mistakes are named by the file's own lines
    Given a running platform
    And a file with the narrative example
    And the file begins with "# base: 7"
    When the file's "rank: 30" becomes "rank: thirty"
    And an operator runs "service publish FILE --log LOG"
    Then it exits with 1 and prints "narrative.yaml:12: tiers[0].rank: found 'thirty'"

  Scenario: The log is down
    Given a running platform
    And a file with the narrative example
    When the platform's log goes down
    And an operator runs "service publish FILE --log LOG"
    Then it exits with 3 and prints "not published"
    When an operator runs "service history narrative --log LOG"
    Then it exits with 3 and prints "status 503"

  Scenario: A document is followed until each live daemon has it in force
    Given a running platform
    And a file with the narrative example
    And daemons "entry-1" and "agent-1" that have it in force once it is published
    When an operator runs "service publish FILE --log LOG --wait --members MEMBERS"
    Then it exits with 0 and prints "in force: agent-1"
    When the file's "weight: 4" becomes "weight: 5"
    And "agent-1" falls behind
    And an operator runs "service publish FILE --base 1 --log LOG --wait --wait-s 0.5 --members MEMBERS"
    Then it exits with 3 and prints "not in force after 0.5 s: agent-1"
    And it prints "in force: entry-1"

  Scenario: The daemons' status is shown
    Given a running platform
    And daemons "entry-1" and "agent-1" that have it in force once it is published
    When an operator runs "status --members MEMBERS"
    Then it exits with 0 and prints "entry-1"
    And it prints "shed"
    When an operator runs "status --members MEMBERS --json"
    Then it exits with 0 and its JSON counts 3 waiting at tier "alert" of "narrative"
    When "agent-1" is gone
    And an operator runs "status --members MEMBERS"
    Then it exits with 3 and prints "not reached"
    When an operator runs "status"
    Then it exits with 2 and prints "give --members or --daemon"

  Scenario: Real daemons are followed and shown
    Given an entry and an agent without documents
    And a file with the ticketing example
    When an operator runs "service publish FILE --log LOG --wait --members MEMBERS"
    Then it exits with 0 and prints "in force: agent-1"
    And it prints "in force: entry-1"
    When an operator runs "status --members MEMBERS"
    Then it exits with 0 and prints "ticketing/plain-1"
    And it prints "reconciliation"
