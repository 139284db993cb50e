Feature: Shedding is one decision of all entries of a service

  Scenario: A higher tier is dropped only when nothing lower is kept anywhere
    Entry "one" is short of room and would drop a position request while reports
    still wait in "two". It announces a floor; "two" drops its reports, refuses
    new ones and answers; only then may "one" drop.
    Given entries one, two and three
    When "one" wants to drop a position request at 0 s
    Then "one" may not drop it at 0 s
    And "one" has dropped its own reports
    When its announcement reaches "two" at 0.01 s
    Then "two" has dropped its own reports
    And "two" refuses reports at 0.02 s
    But "one" may not drop it at 0.03 s
    When its announcement reaches "three" at 0.04 s
    Then "one" may drop it at 0.05 s

  Scenario: The lowest tier needs no floor
    Given entries one, two and three
    Then "one" may drop a report at 0 s

  Scenario: The floor ends at its holder first
    The holder stops dropping before any peer keeps lower work again, so there is
    no moment at which both do.
    Given entries one, two and three
    When "one" wants to drop a position request at 0 s
    And its announcement reaches "two" at 0 s
    And its announcement reaches "three" at 0 s
    Then "one" may drop it at 1.7 s
    And "one" may not drop it at 1.85 s
    And "two" refuses reports at 1.95 s
    And "two" keeps reports at 2.05 s

  Scenario: A floor is renewed while room is short
    Given entries one, two and three
    When "one" wants room each 0.1 s for 6 s and every message arrives
    Then "one" might drop at each moment after the first

  Scenario: A peer that dies isn't waited for
    Given entries one, two and three
    When "one" wants to drop a position request at 0 s
    And its announcement reaches "two" at 0.1 s
    And "one" loses "three"
    Then "one" may drop it at 0.2 s

  Scenario: A peer that comes back as a new incarnation has to hold the floor again
    The peer restarts between its answer and the drop. Its new life knows no
    floor and may keep reports, so the old answer must not count for it.
    Given entries one, two and three
    When "one" wants to drop a position request at 0 s
    And its announcement reaches "two" at 0 s
    And its announcement reaches "three" at 0 s
    And "two" restarts
    And "one" wants to drop a position request at 0.2 s
    Then "one" may not drop it at 0.2 s

  Scenario: A lost announcement is sent again
    Given entries one, two and three
    When "one" wants to drop a position request at 0 s
    And its announcement is lost
    And "one" wants to drop a position request at 0.15 s
    And its announcement reaches "two" at 0.2 s
    And its announcement reaches "three" at 0.2 s
    Then "one" may drop it at 0.3 s

  Scenario: A peer that never answers is given up after a bound
    The peer's heartbeat arrives and its answers don't. The entry would run out
    of memory if it waited; after the bound it goes on without that peer.
    Given entries one, two and three
    When "one" wants room each 0.1 s for 4 s and "two" never answers
    Then "one" might not drop before 3 s
    And "one" might drop after 3.2 s

  Scenario: A late announcement of a lower floor doesn't loosen a higher one
    Given entries one, two and three
    When "one" wants to drop an alert at 0 s
    And its announcement reaches "two" at 0.1 s
    And its announcement reaches "three" at 0.1 s
    And "one" wants to drop an alert at 0.1 s
    And its announcement reaches "two" at 0.15 s
    And a late position floor of "one" reaches "two" at 0.2 s
    Then "two" refuses positions at 0.3 s

  Scenario: A floor is raised one tier at a time
    Entry "one" would drop an alert. Were the floor at alerts asked for at once,
    "two" would drop its positions while "three", which hasn't heard yet, still
    keeps reports. So reports go first everywhere, and then positions.
    Given entries one, two and three
    When "one" wants to drop an alert at 0 s
    And its announcement reaches "two" at 0.1 s
    And "one" wants to drop an alert at 0.15 s
    Then "two" refuses reports at 0.2 s
    But "two" keeps positions at 0.2 s
    And "one" keeps positions at 0.2 s
    When its announcement reaches "three" at 0.2 s
    And "one" wants to drop an alert at 0.3 s
    Then "one" may not drop an alert at 0.3 s
    When its announcement reaches "two" at 0.4 s
    And its announcement reaches "three" at 0.4 s
    Then "two" refuses positions at 0.5 s
    And "one" may drop an alert at 0.5 s
