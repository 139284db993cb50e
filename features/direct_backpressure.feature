Feature: What upstreams said about themselves, shared by entries
  Simulated without a network: each message takes 1 to 3 ms on a simulated clock.

  Scenario Outline: All entries share the limit that an upstream names
    Guards against each entry using the whole limit for itself.
    Given <entries> entries in <data centres> data centres
    And one of them is told a limit of <per s> requests per second
    When each entry gets a request every <every ms> ms for <seconds> s
    Then the upstream gets at most <most> requests in any 4 s
    And it gets at least <least> requests in all

    Examples:
      | entries | data centres | per s | every ms | seconds | most | least |
      | 1       | 1            | 2     | 200      | 12      | 17   | 18    |
      | 3       | 3            | 2     | 200      | 12      | 17   | 18    |
      | 3       | 3            | 0.4   | 200      | 20      | 7    | 6     |
      | 3       | 3            | 20    | 120      | 8       | 125  | 120   |
      | 24      | 3            | 2     | 500      | 8       | 17   | 12    |

  Scenario: Entries that share a limit are partitioned from each other
    Guards against each side of a partition using the whole limit.
    Given 3 entries in 3 data centres
    And one of them is told a limit of 2 requests per second
    And the entries no longer hear each other
    When each entry gets a request every 200 ms for 12 s
    Then the upstream gets at most 17 requests in any 4 s

  Scenario: The limit ends
    Guards against a limit that stays in force at entries which didn't hear of its end.
    Given 24 entries in 3 data centres
    And one of them is told a limit of 2 requests per second
    And each entry gets a request every 500 ms for 6 s
    When the upstream names no limit any more
    And each entry gets a request every 500 ms for 4 s
    Then no entry limits its requests

  Scenario Outline: A less certain word doesn't end the limit
    Guards against an upstream in need that gets all requests again after <word>.
    Given 3 entries in 3 data centres
    And one of them is told a limit of 2 requests per second
    When <word>
    Then each entry limits its requests

    Examples:
      | word                                                        |
      | a response arrives to a request sent before the limit       |
      | the upstream's record lapses and comes back                 |
      | an entry reports the end of a limit that others just heard  |
      | a response names a limit of "nan"                           |
      | a response names a limit of "-3"                            |
      | a response names a limit of "1e30"                          |
      | a response names a limit of "many"                          |

  Scenario Outline: A less certain word doesn't end that an upstream leaves
    Guards against new requests to an upstream that leaves after <word>.
    Given 3 entries in 3 data centres
    And one of them is told that the upstream leaves
    When <word>
    Then every entry refuses requests, since no upstream is left

    Examples:
      | word                                                  |
      | the upstream's record says that it is ready           |
      | the upstream's record lapses and comes back           |
      | a response that says nothing arrives late             |
      | a response names a limit of "nan"                     |

  Scenario: Another process starts at the address of an upstream that leaves
    Guards against an address that stays unused after its upstream has left.
    Given 3 entries in 3 data centres
    And one of them is told that the upstream leaves
    When another upstream is listed at its address
    Then every entry sends requests there

  Scenario Outline: A less certain word doesn't end a pause
    Guards against requests to an upstream in a pause that it asked for, after <word>.
    Given 3 entries in 3 data centres
    And each of them is asked for a pause of "3" s
    When <word>
    Then every entry refuses requests with a Retry-After of at least 2 s

    Examples:
      | word                                                  |
      | the upstream's record says that it is ready           |
      | the upstream's record lapses for 0.1 s                |
      | a response that says nothing arrives late             |
      | each of them is asked for a pause of "0.1" s          |
      | each of them is asked for a pause of "-1" s           |
      | each of them is asked for a pause of "1e9" s          |
      | each of them is asked for a pause of "soon" s         |

  Scenario: A pause is over
    Guards against a pause that is kept longer than the upstream asked for.
    Given 3 entries in 3 data centres
    And each of them is asked for a pause of "3" s
    When the 3 s of the pause are over
    Then every entry sends requests to the upstream

  Scenario: One entry is asked for a pause
    Guards against a pause that entries keep which weren't asked for it.
    Given 3 entries in 3 data centres
    And one of them is asked for a pause of "3" s
    Then only the other entries send requests to the upstream

  Scenario: Another process starts at the address of an upstream in a pause
    Guards against a pause that outlives the upstream that asked for it.
    Given 3 entries in 3 data centres
    And each of them is asked for a pause of "3" s
    When another upstream is listed at its address
    Then every entry sends requests there

  Scenario: Another process starts at the upstream's address
    Guards against a limit that outlives the upstream that named it.
    Given 3 entries in 3 data centres
    And one of them is told a limit of 2 requests per second
    When another upstream is listed at its address
    Then no entry limits its requests

  Scenario: All upstreams of a service are at their limits
    Guards against a Retry-After that sends callers back too early.
    Given 1 entry in 1 data centre
    And one of them is told a limit of 0.5 requests per second
    When a request arrives that must be served within 0.2 s
    Then it is refused with a Retry-After between 2 s and 3 s
    And the refusal names the limit
