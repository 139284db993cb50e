Feature: Entries that tell each other what they share, many of them
  Driven without a network: each message takes 1 to 3 ms, and the clock is the test's.

  Scenario Outline: Every entry knows of every other
    The pattern: entries of several data centres, each with its own requests. An entry
    that isn't heard for a second counts as silent: limits shrink to each side's part.
    Places that its requests hold are given out once more.
    Given <entries> entries in <data centres> data centres
    When they run for 3 s
    Then for the last 2 s each heard every other
    And a request that begins to run is known to all within <known ms> ms

    Examples:
      | entries | data centres | known ms |
      | 5       | 3            | 60       |
      | 24      | 3            | 250      |
      | 68      | 6            | 250      |

  Scenario: Twice as many entries in each data centre
    The pattern: a fleet that grows. Told one by one, messages grow with the square of
    the entries, so each has to tell its places more rarely, until at some 290 entries
    all count as silent by turns.
    Given 68 entries in 6 data centres, and 136 in 6
    When they run for 2 s, and for 2 s more in which each runs requests by turns
    Then each of the more sends at most 1.5 times as many messages as each of the fewer
    And a request that begins to run is known to all of the more within 400 ms

  Scenario: The entry that passes on for its data centre is killed
    What others see: its group says nothing more for half a second. Then another one of
    the group passes on. Nobody but the killed one counts as silent meanwhile.
    Given 68 entries in 6 data centres
    When they run for 2 s, and one that passes on is killed
    And they run for 2 s
    Then for the last 2 s each heard every other

  Scenario: Half of the entries freeze and wake again
    Given 24 entries in 3 data centres
    When they run for 2 s, and every second one freezes for 4 s
    Then for the last 0.5 s each heard every other

  Scenario: All entries start within 0.3 s
    The platform names to each only those that were there before it, and reads of its
    list are seconds apart. Each has to learn of those that came later all the same.
    Given 68 entries in 6 data centres that start within 0.3 s
    When they run for 1.5 s
    Then each hears every other

  Scenario: An entry leaves, and what it told before is passed on late
    It would count as there for a second more, and as silent for twenty: a limit
    would shrink by its part for so long.
    Given 24 entries in 3 data centres
    When they run for 2 s, and one leaves while what it told is on the way
    And they run for 0.5 s
    Then nobody knows the one that left

  Scenario: An entry starts again, and what its earlier life told is passed on late
    Its use since its start would count twice: once as the earlier life's, and once
    more when the new one is heard after that.
    Given an entry that hears another one's second life
    When what the first life told is passed on to it
    Then it still knows the second life, and what that uses counts once

  Scenario: A refusal is told to all, also when messages are gathered
    The pattern: callers that are refused come back to any entry, which lets those go
    first that came back. Several messages passed on as one must tell all refusals.
    Given 24 entries in 3 data centres
    When they run for 2 s, and one refuses a request each 10 ms for 1 s
    And they run for 0.5 s
    Then each entry expects all that were refused back

  Scenario: One entry finds that an upstream is gone
    Each of the others would have a request turned away before it knows.
    Given 24 entries in 3 data centres
    When they run for 2 s, and one finds another upstream at the address of one
    And they run for 0.25 s
    Then none of the entries sends a request there

  Scenario: Two entries can't reach an upstream
    The pattern: engines lose their power. A connection there fails only after 0.4 s.
    Each entry would have a request wait for that, and another one after each pause.
    Given 24 entries in 3 data centres
    When they run for 2 s, and entries 1 and 2 can't reach the upstream
    And they run for 0.2 s
    Then none of the entries sends a request there
    When they run for 2.5 s
    Then each of the entries sends a request there

  Scenario: One entry alone can't reach an upstream
    It may be cut off itself. The others go on sending there.
    Given 24 entries in 3 data centres
    When they run for 2 s, and entries 1 and 1 can't reach the upstream
    And they run for 0.2 s
    Then all but entry 1 send a request there

  Scenario: Two entries of one data centre can't reach an upstream
    The way between two data centres may be cut. The others go on sending there.
    Given 24 entries in 3 data centres
    When they run for 2 s, and entries 1 and 4 can't reach the upstream
    And they run for 0.2 s
    Then all but entries 1 and 4 send a request there
