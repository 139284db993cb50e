@alone
Feature: Clients that hold what a daemon of the product's own interface has
  The same bounds as on a platform, for entries and agents with settings of their own.

  Scenario Outline: A crowd at the callers' port of an entry
    Guards against an entry that runs out of memory, or leaves out other callers.
    Given an entry and an agent with 150 MB of memory each
    When an entry has <count> clients that <do>
    Then a payment is answered while they stay
    And the entry stayed within its memory
    And a payment is answered after they left

    Examples:
      | count | do                                                  |
      | 8     | send a trailer line without end                     |
      | 8     | send a chunk size without end                       |
      | 8     | send a chunk extension without end                  |
      | 60    | hold sized bodies just short of their end           |
      | 60    | hold chunked bodies just short of their end         |
      | 60    | send whole sized bodies at once                     |
      | 60    | say nothing, and return                             |
      | 60    | send half a head, and return                        |

  Scenario Outline: A crowd at the status port
    Guards against clients that hide a daemon from its platform.
    Given an entry and an agent with 150 MB of memory each
    When the status port of the <daemon> has 40 clients that <do>
    Then the <daemon> says that it is ready while they stay
    And the <daemon> stayed within its memory

    Examples:
      | daemon | do                                        |
      | entry  | say nothing, and return                   |
      | agent  | say nothing, and return                   |
      | agent  | hold sized bodies just short of their end |
      | agent  | send a chunk size without end             |
