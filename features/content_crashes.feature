Feature: Content that crashes the upstreams that run it
  Whatever an entry's other requests meet, a crash is proved, every entry learns of it,
  and content that ended a few upstreams is refused. What merely ran there isn't.

  Scenario Outline: The content is sent again and again, and nothing else
    Guards against a proof that needs another request to be refused a connection.
    Given 3 entries, 5 model upstreams that crash on "bad", <way>
    When "bad" is sent through each entry in turn, 6 times in all, without other requests
    Then at most 4 upstreams have crashed
    And every entry refuses "bad" as not run
    And every entry serves "good"

    Examples:
      | way                     |
      | before any byte         |
      | after 2 events          |
      | in the middle of a body |

  Scenario: Another entry's request is refused the connection first
    Guards against a proof that only the entry with the broken answer can find.
    Given 3 entries, 5 model upstreams that crash on "bad", before any byte
    When "bad" is sent through entry-1 alone, each time followed by "good" through entry-2
    Then at most 4 upstreams have crashed
    And every entry refuses "bad" as not run

  Scenario: Upstreams fall silent, and the list drops them
    Guards against counting only the ends that show on a connection.
    Given 3 entries, 5 model upstreams that stop on "bad"
    When "bad" is sent through each entry in turn, and the list drops each that stopped
    Then at most 4 upstreams have crashed
    And every entry refuses "bad" as not run

  Scenario: Upstreams fall silent under requests with short deadlines
    Guards against content that is never refused because its requests end early.
    Given 3 entries, 5 model upstreams that stop on "bad"
    When "bad" is sent through each entry in turn for 600 ms, and the list drops each that stopped 1.5 s later
    Then at most 4 upstreams have crashed
    And every entry refuses "bad" as not run

  Scenario Outline: Upstreams come back under other ids
    Guards against taking a new upstream for the one that crashed, and its answers for proof.
    Given 3 entries, 5 model upstreams that crash on "bad", before any byte
    When "bad" is sent 8 times, and each crashed upstream comes back under another id at <address>
    Then at most 4 upstreams have crashed
    And every entry refuses "bad" as not run
    And every entry serves "good"

    Examples:
      | address         |
      | its address     |
      | another address |

  Scenario: An entry starts later
    Guards against an entry that wasn't there when the others were told.
    Given 3 entries, 5 model upstreams that crash on "bad", before any byte
    When "bad" is sent through each entry in turn, 6 times in all, without other requests
    And a further entry entry-4 starts
    Then every entry refuses "bad" as not run

  Scenario: All entries are killed and start again
    Guards against forgetting what was proved together with the last entry.
    Given 3 entries, 6 model upstreams that crash on "bad", before any byte
    When "bad" is sent through each entry in turn, 6 times in all, without other requests
    And all entries are killed and start again
    Then every entry refuses "bad" as not run
    And at most 4 upstreams have crashed

  Scenario: The store is down as the content is proved, and all entries start again later
    Guards against a record that is written once, or never.
    Given 3 entries, 6 model upstreams that crash on "bad", before any byte
    When the store is down while "bad" is sent 6 times, and up for 4 s
    And all entries are killed and start again
    Then every entry refuses "bad" as not run
