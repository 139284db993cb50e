Feature: Crashes of upstreams that look like something else
  Content that crashes upstreams is refused however its answers and its upstreams end.
  Entries exchange gossip without a network, except where entries are processes.

  Scenario Outline: Its answers end with their connections, and look whole
    Guards against half an answer that excuses its content.
    Given 3 entries and 6 upstreams
    When "culprit" ends as "ended" at u1 through entry-0, and the list <shows>
    And "culprit" ends as "ended" at u2 through entry-1, and the list <shows>
    Then every entry refuses "culprit"

    Examples:
      | shows                         |
      | drops it                      |
      | has another id at its address |

  Scenario: Its answers look whole, and other requests are refused a connection
    Guards against an end that finds nothing that was running.
    Given 3 entries and 6 upstreams
    When "culprit" ends as "ended" at u1 through entry-0, and entry-1 is refused a connection there
    And "culprit" ends as "ended" at u2 through entry-2, and entry-1 is refused a connection there
    Then every entry refuses "culprit"

  Scenario: Its upstreams had announced that they leave
    Guards against announcements that excuse every end.
    Given 3 entries and 6 upstreams
    When "culprit" breaks off at the announced ends of u1, u2, u3 and u4
    Then every entry refuses "culprit"

  Scenario: Its connections are reset after the list has dropped its silent upstreams
    Guards against a reset that is taken for the end of an upstream which leaves.
    Given 3 entries and 6 upstreams
    When "culprit" is silent at u1 as the list drops it, and its connection is reset later
    And "culprit" is silent at u2 as the list drops it, and its connection is reset later
    Then every entry refuses "culprit"

  Scenario: Its upstreams fall silent while the list isn't read
    Guards against waiting for a list that the store can't give.
    Given 3 entries and 6 upstreams
    When "culprit" is silent at u1, u2, u3 and u4 in turn, and no entry can connect to them
    Then every entry refuses "culprit"

  Scenario: An upstream was unreachable for a while
    Guards against refusing content that met links that were cut.
    Given 3 entries and 6 upstreams
    When "innocent" is silent at u1, u2, u3 and u4 in turn, and no entry can connect to them
    And u1, u2 and u3 answer another request later
    Then no entry of the fleet refuses "innocent"

  Scenario: Its callers leave just before its upstreams end
    Guards against callers who give up earlier than a crash shows.
    Given 3 entries and 6 upstreams
    When the caller of "culprit" at u1 leaves, and 0.2 s later entry-1 is refused a connection there
    And the caller of "culprit" at u2 leaves, and 0.2 s later entry-1 is refused a connection there
    Then every entry refuses "culprit"

  Scenario: Callers leave a while before their upstreams end
    Guards against refusing content whose caller left an upstream that went on.
    Given 3 entries and 6 upstreams
    When the caller of "innocent" at u1 leaves, and 1.5 s later entry-1 is refused a connection there
    And the caller of "innocent" at u2 leaves, and 1.5 s later entry-1 is refused a connection there
    Then no entry of the fleet refuses "innocent"

  Scenario: The check for an ended upstream gets no answer at first
    Guards against a single look over a link that loses packets.
    Given 3 entries and 6 upstreams
    When "culprit" breaks off at u1 through entry-0, which learns 1 s later that nothing listens there
    And "culprit" breaks off at u2 through entry-0, which learns 1 s later that nothing listens there
    Then every entry refuses "culprit"

  Scenario: The check reaches a process that is ending
    Guards against a listener that is closed after the connection of the answer.
    Given 3 entries and 6 upstreams
    When "culprit" breaks off at u1 through entry-0, which is let in there until 0.5 s later
    And "culprit" breaks off at u2 through entry-0, which is let in there until 0.5 s later
    Then every entry refuses "culprit"

  Scenario Outline: Half answers that look whole, over sockets
    Guards against an answer that is passed on as whole although its upstream crashed in it.
    Given 3 entries, 5 model upstreams that crash on "bad", <way>
    When "bad" is sent 6 times in all, and all that its callers get is kept
    Then no answer to "bad" was whole
    And at most 4 upstreams have crashed
    And every entry refuses "bad" as not run
    And every entry serves "good"

    Examples:
      | way                                             |
      | after 2 events, and its machine closes in order |
      | in half a plain answer that ends in order       |

  Scenario: All entries are killed between two crashes
    Guards against forgetting a crash that was not enough for a quarantine.
    Given 3 entries, 6 model upstreams that crash on "bad", before any byte
    When "bad" is sent through each entry in turn, 1 times in all, without other requests
    And the crash has been recorded in the store
    And all entries are killed and start again
    And "bad" is sent through each entry in turn, 1 times in all, without other requests
    Then every entry refuses "bad" as not run
    And at most 2 upstreams have crashed

  Scenario: An entry starts after an agent has told of crashes
    Guards against agents that tell of a crash once.
    Given an agent whose upstream crashed while "bad" ran
    When a further entry announces itself to the agent
    Then the agent tells that entry of the crash
