Feature: Gossip between many entries
  Simulated without a network: each message takes 1 to 3 ms on a simulated clock.

  Scenario Outline: Every entry sees every other as live
    Entries of several data centres, each with its own requests. An entry not
    heard for a second counts as silent: the others then keep to their own share of the
    limits, and assign the slots of its requests a second time.
    Given <entries> entries in <data centres> data centres
    When they run for 3 s
    Then for the last 2 s each saw every other as live
    And a request that starts to run is known to all within <known ms> ms

    Examples:
      | entries | data centres | known ms |
      | 5       | 3            | 60       |
      | 24      | 3            | 250      |
      | 68      | 6            | 250      |

  Scenario: Twice as many entries in each data centre
    With all-to-all gossip, messages grow with the square of the number of entries, so
    each entry has to send its state less often, until at about 290 entries all count as
    silent at times.
    Given 68 entries in 6 data centres, and 136 in 6
    When they run for 2 s, and for 2 s more while each starts requests
    Then an entry of the larger fleet sends on average at most 1.5 times as many messages
    And a request that starts to run is known to all of the larger fleet within 400 ms

  Scenario: An entry that forwards for its group is killed
    The other groups get no state of its group for half a second; then another member
    forwards. Only the killed entry may count as silent meanwhile.
    Given 68 entries in 6 data centres
    When they run for 2 s, and one that forwards is killed
    And they run for 2 s
    Then for the last 2 s each saw every other as live

  Scenario: Half of the entries freeze and resume
    Given 24 entries in 3 data centres
    When they run for 2 s, every second one freezes for 4 s, and 1.5 s pass
    Then for the last 0.5 s each saw every other as live

  Scenario: All entries start within 0.3 s
    An entry's first read of the platform's list shows only those that started before it.
    Reads are seconds apart, but each must learn of those that started later.
    Given 68 entries in 6 data centres that start within 0.3 s
    When they run for 1.5 s
    Then each sees every other as live

  Scenario: An entry leaves, and an earlier state of it is forwarded late
    If that state were applied, the entry would count as live for a second more and as
    silent for twenty, and limits would be reduced by its share for that time.
    Given 24 entries in 3 data centres
    When they run for 2 s, and one leaves while a state of it is in transit
    And they run for 0.5 s
    Then no entry knows the one that left

  Scenario: An entry restarts, and a state of its old incarnation is forwarded late
    If that state were applied, usage would count twice: once for the old incarnation
    and, with its next state, once more for the new one.
    Given an entry with state of the second incarnation of another
    When a state of the first incarnation is forwarded to it
    Then it keeps the state of the second incarnation, whose usage counts once

  Scenario: All entries learn of each refusal, also when messages are combined
    Refused callers may retry at any entry, and each entry gives retries precedence.
    Several states combined for forwarding must contain all refusals.
    Given 24 entries in 3 data centres
    When they run for 2 s, and one refuses a request every 10 ms for 1 s
    And they run for 0.5 s
    Then each entry expects retries of all refused requests

  Scenario: One entry finds that an upstream is gone
    It shares what it found. Otherwise one request of each entry would be rejected there.
    Given 24 entries in 3 data centres
    When they run for 2 s, and one finds another upstream at an upstream's address
    And they run for 0.25 s
    Then none of the entries sends a request there

  Scenario: Two entries can't reach an upstream
    Upstreams lose power. A connection to them fails only after 0.4 s. If entries didn't
    share this, at each one a request would wait for that, and one more after each pause.
    Given 24 entries in 3 data centres
    When they run for 2 s, and entries 1 and 2 can't reach the upstream
    And they run for 0.2 s
    Then none of the entries sends a request there
    When they run for 2.5 s
    Then each of the entries sends a request there

  Scenario: One entry alone can't reach an upstream
    It may be disconnected itself. The others keep sending there.
    Given 24 entries in 3 data centres
    When they run for 2 s, and entries 1 and 1 can't reach the upstream
    And they run for 0.2 s
    Then all but entry 1 send a request there

  Scenario: Two entries of one data centre can't reach an upstream
    The network between two data centres may be partitioned. The others keep sending
    there.
    Given 24 entries in 3 data centres
    When they run for 2 s, and entries 1 and 4 can't reach the upstream
    And they run for 0.2 s
    Then all but entries 1 and 4 send a request there
