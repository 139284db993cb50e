Feature: Service documents are checked before anything else sees them
  An operator gets every mistake at once, with its line and what is allowed.

  Scenario Outline: The example documents are in order
    When the service document "examples/<file>" is read
    Then the service is named "<name>"

    Examples:
      | file           | name      |
      | narrative.yaml | narrative |
      | ticketing.yaml | ticketing |

  Scenario: All mistakes of a service document are told at once
    When this service document is read
      """
      name: Alerts
      upstreams: {kind: engine, labels: [a, a], checks_fencing: [b]}
      tiers:
        - {name: high, rank: 2, deadline_s: 500}
        - {name: high, rank: 2, worth: .nan}
        - {name: low, rank: most}
      customers:
        - {name: one, credential_sha256: "12", tiers: [high, middle]}
        - {name: one, credential_sha256: 12, tiers: [], burst: 0}
      keys: {lifetime: 5}
      keys: 7
      """
    Then the mistakes are
      | line | field                           | found                           | allowed           |
      | 1    | name                            | 'Alerts'                        | a name of a-z     |
      | 2    | upstreams.kind                  | 'engine'                        | model, plain      |
      | 2    | upstreams.labels[1]             | 'a', which line 2 has already   | each value once   |
      | 2    | upstreams.checks_fencing[0]     | 'b'                             | one of a          |
      | 4    | tiers[0].deadline_s             | '500'                           | deadline_max_s    |
      | 5    | tiers[1].name                   | 'high', which line 4            | once              |
      | 5    | tiers[1].rank                   | '2', which line 4               | once              |
      | 5    | tiers[1].worth                  | '.nan'                          | a number from     |
      | 6    | tiers[2].rank                   | 'most'                          | a whole number    |
      | 8    | customers[0].credential_sha256  | '12'                            | 64 hex digits     |
      | 8    | customers[0].tiers[1]           | 'middle'                        | one of high, low  |
      | 9    | customers[1].name               | 'one', which line 8 has already | each value once   |
      | 9    | customers[1].credential_sha256  | '12'                            | 64 hex digits     |
      | 9    | customers[1].tiers              | an empty list                   | at least one      |
      | 9    | customers[1].burst              | '0'                             | from 1            |
      | 10   | keys.lifetime                   | an unknown field                | lifetime_s        |
      | 11   | keys                            | the field twice                 | once              |

  Scenario: Keys must outlast the longest deadline
    A first send may wait for as long as its deadline. If the claims of its
    re-send lapsed before, both could run.
    When this service document is read
      """
      name: ticketing
      upstreams: {kind: plain, labels: [a]}
      tiers: [{name: low, rank: 1}]
      customers: [{name: one, credential_sha256: "", tiers: [low]}]
      deadline_max_s: 100.0
      keys: {lifetime_s: 99.0}
      """
    Then the mistakes are
      | line | field                          | found  | allowed         |
      | 4    | customers[0].credential_sha256 | ''     | 64 hex digits   |
      | 6    | keys.lifetime_s                | '99.0' | at least        |

  Scenario: A default may clash with what is given
    A key that is held for less than the longest deadline could be forgotten while
    its first attempt still waits, and a re-send would run a second time. Leaving
    the key's lifetime out must not let that pass.
    When this service document is read
      """
      name: alerts
      upstreams: {kind: model, labels: [a]}
      tiers:
        - {name: high, rank: 2}
        - {name: low, rank: 1, deadline_s: 10}
      customers:
        - {name: one, credential_sha256: "abababababababababababababababababababababababababababababababab", tiers: [low]}
      deadline_max_s: 700
      """
    Then the mistakes are
      | line | field           | found              | allowed                                |
      | 1    | keys.lifetime_s | 600.0, the default | at least deadline_max_s, which is 700.0 |
    When this service document is read
      """
      name: alerts
      upstreams: {kind: model, labels: [a]}
      tiers:
        - {name: high, rank: 2}
        - {name: low, rank: 1, deadline_s: 10}
      customers:
        - {name: one, credential_sha256: "abababababababababababababababababababababababababababababababab", tiers: [low]}
      deadline_max_s: 20
      """
    Then the mistakes are
      | line | field               | found             | allowed                               |
      | 4    | tiers[0].deadline_s | 30.0, the default | at most deadline_max_s, which is 20.0 |

  Scenario Outline: Text that is no document is one mistake, not a crash
    When the service document is <text>
    Then the mistakes are
      | line   | field  | found   | allowed   |
      | <line> | (file) | <found> | <allowed> |

    Examples:
      | text                    | line | found        | allowed      |
      | empty                   | 1    | nothing      | a mapping    |
      | a list                  | 1    | a list       | a mapping    |
      | cut off                 | 2    | a YAML error | well-formed  |
      | nested 5000 deep        | 1    | deep nesting | a few levels |
      | of two million letters  | 1    | 2,000,000    | 1,048,576    |
      | a control character     | 1    | a YAML error | well-formed  |

  Scenario: No text whatever stops the reader
    Then random texts read as service documents give a service or mistakes
