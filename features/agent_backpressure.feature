Feature: What an agent's upstream said about itself
  An agent's core on a manual clock, with an entry in which many requests wait.

  Scenario: The upstream limits its requests
    Guards against an agent that pulls more than its upstream said it takes.
    Given an agent whose upstream names a limit of 2 requests per second
    When the entry grants what it is asked for, for 6 s
    Then the upstream gets between 10 and 14 requests
    When a response to a request sent after that names no limit
    And the entry grants what it is asked for, for 2 s
    Then the upstream gets at least 100 requests

  Scenario: A stream is resumed at an upstream that limits its requests
    Guards against resumed streams that go past the limit.
    Given an agent whose upstream names a limit of 0.5 requests per second
    When a stream there breaks off and is resumed
    Then it is resumed after 2 s at the earliest

  Scenario Outline: A word that doesn't end the limit
    Guards against an upstream in need that gets all requests again after <word>.
    Given an agent whose upstream names a limit of 2 requests per second
    When <word>
    And the entry grants what it is asked for, for 6 s
    Then the upstream gets between 10 and 14 requests

    Examples:
      | word                                                   |
      | a response to an earlier request names no limit        |
      | the health check fails and succeeds again              |
      | a connection times out and a health check succeeds     |
      | a response names a limit of "-1" to the agent          |

  Scenario Outline: The upstream says that it leaves
    Guards against new requests to an upstream that leaves, after <word>.
    Given an agent whose upstream says that it leaves
    When <word>
    And the entry grants what it is asked for, for 2 s
    Then the upstream gets between 0 and 0 requests
    When a connection is refused and a later health check succeeds
    And the entry grants what it is asked for, for 2 s
    Then the upstream gets at least 100 requests

    Examples:
      | word                                               |
      | a response to an earlier request says nothing      |
      | a later response says nothing                      |
      | the health check fails and succeeds again          |
      | a connection times out and a health check succeeds |
      | the platform's list calls it ready                 |

  Scenario: Health checks in a pause
    Guards against health checks of an upstream that wants no requests for now.
    Given an agent whose upstream asks for a pause of "3" s
    Then the upstream is asked for its health 0 times in 2.9 s, and once after 3.1 s

  Scenario: Grants arrive in a pause
    Guards against requests that were pulled before the upstream asked for a pause.
    Given an agent that has pulled requests
    When its upstream asks for a pause of "3" s
    Then it refuses what is granted, so that the entry sends it elsewhere

  Scenario Outline: The upstream asks for a pause
    Guards against requests to an upstream in a pause that it asked for, after <word>.
    Given an agent whose upstream asks for a pause of "3" s
    When <word>
    And the entry grants what it is asked for, for 1.9 s
    Then the upstream gets between 0 and 0 requests
    When the entry grants what it is asked for, for 2 s
    Then the upstream gets at least 50 requests

    Examples:
      | word                                          |
      | a later response says nothing                 |
      | the health check fails and succeeds again     |
      | its upstream asks for a pause of "0.1" s      |
      | its upstream asks for a pause of "-1" s       |

  Scenario Outline: An agent tells what its upstream said
    Guards against an agent that pulls nothing, or ignores "<signal>", without saying why.
    When an agent's upstream says "<signal>"
    Then the agent logs "<line>" and counts "<reason>"
    And its report says "<held back>"

    Examples:
      | signal           | line                                  | reason          | held back                         |
      | limit: 2         | upstream limits its requests          | limit           | limit of 2 per s: next in 0.50 s  |
      | leaving: 1       | upstream says that it leaves          | leaving         | it says that it leaves            |
      | Retry-After: 3   | upstream asks for a pause             | pause           | it asked for a pause: 3.00 s left |
      | limit: -3        | invalid signal of an upstream ignored | limit_invalid   | nothing                           |
      | leaving: perhaps | invalid signal of an upstream ignored | leaving_invalid | nothing                           |
      | Retry-After: 1e9 | invalid signal of an upstream ignored | pause_invalid   | nothing                           |

  Scenario: An agent tells that its upstream names no limit any more
    Guards against a limit whose end nobody can find in the logs.
    Given an agent whose upstream names a limit of 2 requests per second
    When a response to a request sent after that names no limit
    Then the agent logs "upstream no longer limits its requests" and counts "limit_ended"
    And its report says "nothing"

  Scenario Outline: Another process starts where an upstream left
    Guards against an agent that pulls nothing for the process that <change>.
    Given an agent whose upstream, a stand-in, says that it leaves
    When another process <change>
    And the entry grants what it is asked for, for 2 s
    Then the upstream gets at least 100 requests

    Examples:
      | change                                               |
      | listens after a health check found none              |
      | takes its place between two health checks            |

  Scenario: Orders in a pause
    Guards against orders to an upstream that wants no requests for now.
    Given an agent whose upstream asks for a pause of "3" s
    Then the upstream is asked for its orders 0 times in 2.9 s, and once after 3.1 s

  Scenario: Another process starts at the upstream's address
    Guards against a limit that outlives the process that named it.
    Given an agent whose upstream names a limit of 2 requests per second
    When a connection is refused and a later health check succeeds
    And the entry grants what it is asked for, for 2 s
    Then the upstream gets at least 100 requests
