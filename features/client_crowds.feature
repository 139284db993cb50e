@alone
Feature: Clients that hold what an entry has
  An entry is killed beyond the memory of its machine, and can open no more descriptors
  than its system allows. Clients may be refused or closed for it, but not the others.

  Scenario Outline: A crowd at the callers' port
    Guards against an entry that runs out of memory, or leaves out other callers.
    Given an entry with 150 MB of memory before four upstreams
    When <count> clients <do>
    Then a caller is answered while they stay
    And the entry has stayed within its memory
    And a caller is answered after they left
    And the entry has let go of their connections
    And nothing refused has run

    Examples:
      | count | do                                                      |
      | 8     | send a trailer line without end                         |
      | 8     | send trailer lines without end                          |
      | 8     | send a chunk size without end                           |
      | 8     | send a chunk extension without end                      |
      | 100   | hold sized bodies just short of their end               |
      | 100   | hold chunked bodies just short of their end             |
      | 100   | hold bodies in small chunks just short of their end     |
      | 100   | end their bodies by a byte now and then                 |
      | 100   | send whole sized bodies at once                         |
      | 100   | send whole chunked bodies at once                       |
      | 100   | don't read answers of 3 MB                              |
      | 150   | say nothing, and return                                 |
      | 150   | send half a head, and return                            |
      | 150   | send a head by a byte now and then                      |
      | 150   | send a head without its body, and return                |
      | 150   | use a wrong key and stay                                |

  Scenario: Bodies before slow upstreams
    Guards against bodies that are held for upstreams beyond the memory.
    Given an entry with 150 MB of memory before four upstreams
    And the upstreams work for 2 s
    When 100 clients send whole sized bodies at once
    Then the entry has stayed within its memory
    And a caller is answered after they left
    And nothing refused has run

  Scenario: A second crowd follows the first
    Guards against memory that isn't given back.
    Given an entry with 150 MB of memory before four upstreams
    When 60 clients hold sized bodies just short of their end
    And they leave
    And 60 clients send whole chunked bodies at once
    And they leave
    And 60 clients don't read answers of 3 MB
    Then the entry has stayed within its memory
    And a caller is answered after they left

  Scenario: Two crowds at once
    Guards against a bound for each kind of client and none for all.
    Given an entry with 150 MB of memory before four upstreams
    When 50 clients don't read answers of 3 MB
    And 50 clients hold sized bodies just short of their end
    Then a caller is answered while they stay
    And the entry has stayed within its memory
    And a caller is answered after they left

  Scenario: Kept connections reach the limit on descriptors
    Guards against a process that has no descriptors left for its own work.
    Given an entry with 600 descriptors before four upstreams
    When 700 clients have an answer and keep their connections
    Then the entry has stayed within its descriptors
    And a caller is answered while they stay

  Scenario Outline: A crowd at the readiness port
    Guards against a crowd at one port that speaks for the whole entry.
    Given an entry with 150 MB of memory before four upstreams
    When 40 clients of the readiness port <do>
    Then the entry counts as ready while they stay
    And the entry has stayed within its memory
    And the entry has let go of their connections

    Examples:
      | do                                         |
      | say nothing, and return                    |
      | send half a head, and return               |
      | hold sized bodies just short of their end  |
      | announce bodies of 200 MB                  |
      | send a chunk size without end              |

  Scenario Outline: A crowd at the port for the other entries
    Guards against strangers that hold the memory of an entry by messages.
    Given an entry with 150 MB of memory before four upstreams
    When 30 clients of the peers' port <do>
    Then a caller is answered while they stay
    And the entry has stayed within its memory
    And the entry has let go of their connections

    Examples:
      | do                                               |
      | hold messages of 6 MB just short of their end    |
      | send whole messages of 1 MB without end          |
      | say nothing, and return                          |

  Scenario Outline: An entry is stopped while such clients stay
    Guards against clients that keep a process from ending.
    Given an entry with 150 MB of memory before four upstreams
    When 150 clients <do>
    And the entry is stopped
    Then it ends by itself within its grace

    Examples:
      | do                                        |
      | hold sized bodies just short of their end |
      | send half a head, and return              |

  Scenario Outline: A body of the largest legal size
    Guards against limits that a proper client meets.
    Given an entry with 150 MB of memory before four upstreams
    When a caller sends a body of the largest size, <how>
    Then it is answered, and an upstream had the whole body

    Examples:
      | how                      |
      | sized                    |
      | in one chunk             |
      | in chunks of 16 bytes    |
      | after a 100-continue     |
      | by HTTP/1.0              |
