Feature: Roll-outs of a new version
  Simulated without a network: entries decide and exchange news as in the daemon.

  Scenario Outline: A version is judged by its answers
    Guards against a bad version that receives all requests, and a sound one that is
    rolled back.
    Given <entries> entries, and a version that is <quality>, with seed <seed>
    When a 12 s roll-out to it is ordered
    Then the roll-out ends as <state> within 12 s
    And a bad version receives at most a tenth of the requests plus 50
    And it receives none later than 2 s after its 50th bad answer

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

  Scenario: No request is in flight at the old version when it is shut down
    Guards against answers cut off because the old upstreams shut down on completion.
    Given 6 entries, and a version that is good, with seed 4
    When a 12 s roll-out to it is ordered
    Then the roll-out ends as completed within 12 s
    And no request is in flight at the old version from then on

  Scenario: All entries are killed while a bad version is a canary
    Guards against a canary share that each start of an entry may use up again.
    Given 6 entries, and a version that is failing in part, with seed 5
    When a 12 s roll-out to it is ordered, and all entries restart every 0.5 s for 3 s
    Then the roll-out ends as rolled_back within 12 s
    And a bad version receives at most a tenth of the requests plus 50

  Scenario: All entries are killed after the roll-out has ended
    Guards against a version used again because no entry remembers its roll-back.
    Given 6 entries, and a version that is failing in part, with seed 6
    When a 12 s roll-out to it is ordered
    Then the roll-out ends as rolled_back within 12 s
    When all entries restart
    Then the new version receives no requests for 3 s

  Scenario: The entry that writes the record freezes and resumes after another one wrote
    Guards against a slow writer that overwrites a final state with an old one.
    Given 6 entries, and a version that is failing in part, with seed 7
    When a 12 s roll-out to it is ordered, and the first entry freezes until the roll-out ends
    Then the roll-out ends as rolled_back within 12 s
    And the record doesn't change when the frozen entry resumes

  Scenario: Half of the entries can't reach the store
    Guards against a roll-out that ends at some entries and continues at others.
    Given 6 entries, and a version that is failing in part, with seed 8
    When a 12 s roll-out to it is ordered, and the store rejects 3 entries
    Then the roll-out ends as rolled_back within 12 s
    And a bad version receives at most a tenth of the requests plus 50

  Scenario: Upstreams of a new version are listed before their order is read
    Guards against a bad version that receives an equal share until then.
    Given an entry that knows upstreams of one version
    When upstreams of another version are listed
    Then they receive no requests
    When the orders are read 0.5 s later, and there is none for them
    Then they receive no requests
    When the orders are read 1.5 s later, and there is none for them
    Then they receive requests like the others

  Scenario Outline: An attempt ends with any outcome
    Guards against slots that stay occupied because an answer can't be counted.
    Given an entry that knows upstreams of one version
    When a request there ends with outcome <outcome>
    Then no slot is occupied

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

  Scenario: A service is listed for the first time
    Guards against a new service whose upstreams receive no requests.
    Given an entry that knows no upstreams
    When upstreams of one version are listed
    Then they receive requests

  Scenario: An entry without live peers knows an order
    Guards against an entry that sends the target requests although no peer can report
    that it is bad.
    Given an entry that knows an order and hears from none of its 3 peers
    Then the target receives none of 200 requests

  Scenario: An order names the version that is in use
    Guards against a service without usable upstreams while the order is evaluated.
    Given an entry that knows upstreams of one version
    When a roll-out to that version is ordered
    Then they receive requests

  Scenario: An order is withdrawn
    Given 6 entries, and a version that is good, with seed 9
    When a 12 s roll-out to it is ordered, and the order is withdrawn after 3 s
    Then the roll-out ends as rolled_back within 6 s

  Scenario: Orders are read again after one was removed
    Guards against a withdrawal repeated at each read, and a removed order that returns.
    Given an order reader that knows an order for "s"
    When all records are read twice without it
    Then it is withdrawn once
    When a delayed read returns the removed record once more
    Then the roll-out stays stopped

  Scenario: The version in use after a roll-out is the baseline of the next one
    Guards against comparing answers with a version that no longer runs.
    Given an entry that has completed a roll-out
    When the new version answers 40 times within 0.1 s
    Then an answer of 1 s counts as slow

  Scenario Outline: An operator's order is invalid
    Guards against an order that is applied in part.
    When the order record is "<record>"
    Then it is rejected for "<why>"

    Examples:
      | record                                              | why      |
      | {"service": "s", "target": "", "duration-s": 12}    | target   |
      | {"service": "t", "target": "v2", "duration-s": 12}  | name     |
      | {"service": "s", "target": "v2", "duration-s": -1}  | duration |
      | {"service": "s", "target": "v2"}                    | duration |
      | {"service": "s", "target": 2, "duration-s": 12}     | str      |
      | ["v2"]                                              | list     |
