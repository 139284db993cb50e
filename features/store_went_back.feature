Feature: The platform's store goes back to a copy, over sockets
  Real processes: a store that keeps a copy and comes back from it, upstreams and entries.
  The operator and the upstreams write again what they wrote.

  Scenario: Changes after the store went back are in force everywhere
    Guards against an added route that is refused, and a revoked key that works.
    Given three entries before two model and two desk upstreams and the store's copy
    When the configuration changes twice
    And the store resets its connections for 0.5 s and comes back from its copy
    And 2 s later the operator writes a version that adds a route and revokes a key
    Then within 2 s each entry serves the route and refuses the key
    And each entry has logged that the store went back, and read it at most 60 times

  Scenario: A key was revoked after the copy, and nobody writes that again
    Guards against a confirmed revocation that the store's word takes back.
    Given three entries before two model and two desk upstreams and the store's copy
    When a key is revoked
    And the store resets its connections for 0.5 s and comes back from its copy
    Then for 7 s no entry serves the revoked key

  Scenario: An entry starts before the revocation is written again
    Guards against an entry that believes the copy, though another one knows better.
    Given three entries before two model and two desk upstreams and the store's copy
    When a key is revoked
    And the store resets its connections for 0.5 s and comes back from its copy
    And entry-3 is killed and started again 1 s later
    Then for 3 s no entry serves the revoked key
    When the operator writes the revocation again
    Then within 2 s each entry serves the other key

  Scenario Outline: The number of the copy is no number, or falls
    Guards against a response that turns an entry away from what it knows.
    Given three entries before two model and two desk upstreams and the store's copy
    When the store's number is "<number>" from now on
    And the configuration changes twice
    Then within 2 s version 3 is in force at each entry
    And each entry has counted the number as "<why>", and logged it a few times
    And each entry serves the other key

    Examples:
      | number | why       |
      | era    | malformed |
      | -3     | malformed |
      | 1e3    | malformed |
      | 0      | fell      |
      | none   | missing   |

  Scenario: What became of a request is explained by the store that went back
    Guards against an engineer who can't tell by which copy an entry has decided.
    Given three entries before two model and two desk upstreams and the store's copy
    When a key is revoked
    And the store resets its connections for 0.5 s and comes back from its copy
    And 2 s later the revoked key is used at entry-1, and its request is explained
    Then the explanation contains "store went back to an older copy: topic=keyed.op"
