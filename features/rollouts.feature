Feature: Roll-outs of a new version, judged while they run
  Driven without a network: entries decide and tell each other as in the daemon.

  Scenario Outline: A version is judged by what it answers
    Guards against a bad version that gets all requests, and a sound one that is turned down.
    Given <entries> entries, and a version that is <quality>, with seed <seed>
    When it is ordered to take over within 12 s
    Then the roll-out ends as <state> within 12 s
    And a bad version gets at most a tenth of the requests and 50 more
    And it gets none later than 2 s after its 50th bad answer

    Examples:
      | entries | quality          | seed | state       |
      | 3       | good             | 1    | completed   |
      | 6       | good             | 2    | completed   |
      | 24      | good             | 3    | completed   |
      | 6       | failing in part  | 1    | rolled_back |
      | 24      | failing in part  | 2    | rolled_back |
      | 6       | slow in part     | 1    | rolled_back |
      | 6       | bad later        | 1    | rolled_back |
      | 6       | bad under load   | 1    | rolled_back |
      | 6       | bad on one route | 1    | rolled_back |

  Scenario: Nothing runs at the old version when it is stopped
    Guards against answers that are cut off when the old upstreams end at once.
    Given 6 entries, and a version that is good, with seed 4
    When it is ordered to take over within 12 s
    Then the roll-out ends as completed within 12 s
    And nothing runs at the old version from then on

  Scenario: All entries are killed while a bad version is a canary
    Guards against a share that each start of an entry begins anew.
    Given 6 entries, and a version that is failing in part, with seed 5
    When it is ordered to take over within 12 s, and all entries start anew each 0.5 s for 3 s
    Then the roll-out ends as rolled_back within 12 s
    And a bad version gets at most a tenth of the requests and 50 more

  Scenario: All entries are killed after the roll-out has ended
    Guards against a version that is used again because nobody remembers its end.
    Given 6 entries, and a version that is failing in part, with seed 6
    When it is ordered to take over within 12 s
    Then the roll-out ends as rolled_back within 12 s
    When all entries start anew
    Then the new version gets nothing for 3 s

  Scenario: The entry that writes the record freezes, and wakes after another one wrote
    Guards against an old state that a slow writer puts over a final one.
    Given 6 entries, and a version that is failing in part, with seed 7
    When it is ordered to take over within 12 s, and the first entry freezes until it has ended
    Then the roll-out ends as rolled_back within 12 s
    And the record stays as it is when the frozen entry wakes

  Scenario: Half of the entries are cut off from the store
    Guards against a roll-out that ends at some entries and goes on at others.
    Given 6 entries, and a version that is failing in part, with seed 8
    When it is ordered to take over within 12 s, and the store turns 3 entries away
    Then the roll-out ends as rolled_back within 12 s
    And a bad version gets at most a tenth of the requests and 50 more

  Scenario: Upstreams of a new version are listed before anyone knows why
    Guards against a bad version that gets an equal share before its order is read.
    Given an entry that knows upstreams of one version
    When upstreams of another version are listed
    Then they get nothing
    When the orders are read 0.5 s later, and there is none for them
    Then they get nothing
    When the orders are read 1.5 s later, and there is none for them
    Then they get requests as the others do

  Scenario Outline: An attempt ends in any way
    Guards against places that stay taken because an answer can't be counted.
    Given an entry that knows upstreams of one version
    When a request ends there as <outcome>
    Then no place is taken

    Examples:
      | outcome     |
      | answered    |
      | failed      |
      | broken      |
      | silent      |
      | unreachable |
      | not_run     |
      | misdirected |
      | left        |

  Scenario: A service is seen for the first time
    Guards against a new service that nobody may use.
    Given an entry that knows no upstreams
    When upstreams of one version are listed
    Then they get requests

  Scenario: An entry that hears nobody knows of an order
    Guards against a target that gets requests from an entry nobody can tell that it is bad.
    Given an entry that knows an order and hears none of 3 others
    Then the target gets nothing in 200 requests

  Scenario: An order names the version that is in use
    Guards against a service that is out of use while such an order is looked into.
    Given an entry that knows upstreams of one version
    When it is ordered to move to that version
    Then they get requests

  Scenario: An order is withdrawn
    Given 6 entries, and a version that is good, with seed 9
    When it is ordered to take over within 12 s, and the order is withdrawn after 3 s
    Then the roll-out ends as rolled_back within 6 s

  Scenario: Orders are read again after one was dropped
    Guards against a withdrawal that is told at each read, and an order that comes back.
    Given a reader of orders that knows one for "s"
    When all records are read twice without it
    Then it is withdrawn once
    When the dropped record is shown once more by a read that came late
    Then the roll-out stays stopped

  Scenario: The version in use after a roll-out is the measure of the next one
    Guards against slow answers that are judged by a version that is gone.
    Given an entry that has completed a roll-out
    When the new version answers 40 times within 0.1 s
    Then an answer of 1 s counts as slow

  Scenario Outline: What an operator writes makes no sense
    Guards against an order that is half understood.
    When a record says "<record>"
    Then it is refused for "<why>"

    Examples:
      | record                                              | why      |
      | {"service": "s", "target": "", "duration-s": 12}    | target   |
      | {"service": "t", "target": "v2", "duration-s": 12}  | name     |
      | {"service": "s", "target": "v2", "duration-s": -1}  | duration |
      | {"service": "s", "target": "v2"}                    | duration |
      | {"service": "s", "target": 2, "duration-s": 12}     | str      |
      | ["v2"]                                              | list     |
