Feature: Bursts within a customer's limit
  Three entries share a limit of 100 tokens a second and a burst of 100 in windows of 8 s,
  beyond which 10% and 60 tokens are tolerated; the load is one customer at several times
  its rate for seconds. Entries hear each other every 0.1 s. On a clock of its own.

  Scenario: A customer that was quiet sends six times its rate for a second
    Guards against refusals of a customer at a third of its window's limit.
    Given entries with burst credits
    When the customer asks for 10 a second for 10 s and then for 600 a second for 1 s
    Then at least 85% of what it asked for in the last 1 s is admitted
    And no 8 s hold more than 1,050

  Scenario: The same without credits
    Given entries without burst credits
    When the customer asks for 10 a second for 10 s and then for 600 a second for 1 s
    Then at most 50% of what it asked for in the last 1 s is admitted

  Scenario Outline: All entries are killed while a credit is in use
    Guards against a limit that is granted once more after a start.
    Given entries with burst credits
    When the customer asks for 10 a second for 10 s and then for <rate> a second for 12 s
    And all entries are killed <killed> s after the rise
    Then no 8 s hold more than 1,050

    Examples:
      | rate | killed |
      | 600  | 0.5    |
      | 600  | 1.5    |
      | 300  | 3      |
      | 1000 | 2      |

  Scenario: All entries are killed twice
    Guards against a record that is deleted while it still counts.
    Given entries with burst credits
    When the customer asks for 10 a second for 10 s and then for 600 a second for 20 s
    And all entries are killed 1.5 s and 6 s after the rise
    Then no 8 s hold more than 1,050

  Scenario: The store is down
    Guards against a credit that is used without a record.
    Given entries with burst credits
    And a store that is down
    When the customer asks for 10 a second for 10 s and then for 600 a second for 1 s
    Then at most 50% of what it asked for in the last 1 s is admitted

  Scenario: A write is carried out although its response was lost
    Guards against a record that nobody deletes, and a credit that nobody recorded.
    Given entries with burst credits
    And a store that loses its responses for 3 s after the rise
    When the customer asks for 10 a second for 10 s and then for 600 a second for 2 s
    And nothing is asked for 30 s
    Then the store holds no credit
    And no 8 s hold more than 1,050

  Scenario: The credit ends once the customer is quiet
    Given entries with burst credits
    When the customer asks for 10 a second for 10 s and then for 600 a second for 1 s
    Then the store holds a credit
    When nothing is asked for 20 s
    Then the store holds no credit

  Scenario: The responsible entry dies
    Guards against a credit that others believe in for good, and a record left behind.
    Given entries with burst credits
    When the customer asks for 10 a second for 10 s and then for 600 a second for 1 s
    And the responsible entry is killed for good
    And nothing is asked for 1.2 s
    Then the others believe in no credit of its
    When nothing is asked for 40 s
    Then the store holds no credit

  Scenario: An entry that isn't heard may still use the credit
    Guards against a record that is deleted while another side of a partition uses it.
    Given entries with burst credits
    When the customer asks for 10 a second for 10 s and then for 600 a second for 1 s
    And one entry is cut off from the others
    And nothing is asked for 15 s
    Then the store holds a credit

  Scenario: An entry was suspended while it told of a credit
    Its record may have been deleted by the others meanwhile.
    Given entries with burst credits
    When the customer asks for 10 a second for 10 s and then for 600 a second for 1 s
    And the responsible entry is suspended for 5 s
    Then it tells of no credit

  Scenario: The limit is lowered while a credit is in use
    Guards against a bucket that takes far longer than a window to empty.
    Given entries with burst credits
    When the customer asks for 10 a second for 10 s and then for 600 a second for 1 s
    And its limit is lowered to 20 a second and it asks for 20 a second for 20 s
    Then at least 75% of what it asked for in the last 11 s is admitted

  Scenario: A peer's message is malformed
    Guards against a credit without bounds, or for nothing.
    Given entries with burst credits
    When a peer tells of credits of -5, 0, 1e300, inf and nan
    Then they are counted as malformed, and none is in force

  Scenario: Records of credits in the store
    Guards against a malformed record that stops a start, or counts as a credit.
    Given records of credits, of entries, and malformed ones
    Then only the valid credits are read

  Scenario: A credit is recorded and deleted
    A deletion that the store carries out late must not remove a newer record.
    Given a writer of credits and a store
    When a credit is due, and then its deletion
    Then the store's record was written, and deleted on the condition that nothing changed
    When a deletion is due while another entry writes to the topic
    Then the record stays, and the deletion is still due
    When the store is away
    Then one call fails and none follows within a second
