Feature: All entries of a service coordinate load shedding

  Scenario: A higher tier is dropped only when no entry keeps a lower one
    Entry "one" is full and has to drop a position request while reports still wait
    in "two". It requests a floor; "two" drops its reports, refuses new ones and
    acknowledges; only then may "one" drop.
    Given entries one, two and three
    When "one" wants to drop a position request at 0 s
    Then "one" may not drop it at 0 s
    And "one" has dropped its own reports
    When "two" receives the floor and acknowledges it at 0.01 s
    Then "two" has dropped its own reports
    And "two" refuses reports at 0.02 s
    But "one" may not drop it at 0.03 s
    When "three" receives the floor and acknowledges it at 0.04 s
    Then "one" may drop it at 0.05 s

  Scenario: The lowest tier needs no floor
    Given entries one, two and three
    Then "one" may drop a report at 0 s

  Scenario: A floor expires at its sender first
    The sender stops dropping before any peer accepts lower tiers again, so the two
    never overlap.
    Given entries one, two and three
    When "one" wants to drop a position request at 0 s
    And "two" receives the floor and acknowledges it at 0 s
    And "three" receives the floor and acknowledges it at 0 s
    Then "one" may drop it at 1.7 s
    And "one" may not drop it at 1.85 s
    And "two" refuses reports at 1.95 s
    And "two" keeps reports at 2.05 s

  Scenario: A floor is renewed while the entry is full
    Given entries one, two and three
    When "one" requests a floor every 0.1 s for 6 s and every message arrives
    Then "one" was permitted to drop each time after the first

  Scenario: A peer whose heartbeat times out isn't waited for
    Given entries one, two and three
    When "one" wants to drop a position request at 0 s
    And "two" receives the floor and acknowledges it at 0.1 s
    And "one" loses "three"
    Then "one" may drop it at 0.2 s

  Scenario: A peer that restarts has to acknowledge the floor again
    The peer restarts between its acknowledgement and the drop. Its new incarnation
    knows of no floor and may keep reports, so the old acknowledgement must not
    count for it.
    Given entries one, two and three
    When "one" wants to drop a position request at 0 s
    And "two" receives the floor and acknowledges it at 0 s
    And "three" receives the floor and acknowledges it at 0 s
    And "two" restarts
    And "one" wants to drop a position request at 0.2 s
    Then "one" may not drop it at 0.2 s

  Scenario: A lost floor is sent again
    Given entries one, two and three
    When "one" wants to drop a position request at 0 s
    And its floor is lost
    And "one" wants to drop a position request at 0.15 s
    And "two" receives the floor and acknowledges it at 0.2 s
    And "three" receives the floor and acknowledges it at 0.2 s
    Then "one" may drop it at 0.3 s

  Scenario: A peer that never acknowledges isn't waited for after a timeout
    The peer's heartbeats arrive and its acknowledgements don't. The entry would run
    out of memory if it kept waiting; after the timeout it goes on without that peer.
    Given entries one, two and three
    When "one" requests a floor every 0.1 s for 4 s and "two" never acknowledges
    Then "one" was not permitted to drop before 3 s
    And "one" was permitted to drop after 3.2 s

  Scenario: A late lower floor doesn't replace a higher one
    Given entries one, two and three
    When "one" wants to drop an alert at 0 s
    And "two" receives the floor and acknowledges it at 0.1 s
    And "three" receives the floor and acknowledges it at 0.1 s
    And "one" wants to drop an alert at 0.1 s
    And "two" receives the floor and acknowledges it at 0.15 s
    And a late position floor of "one" reaches "two" at 0.2 s
    Then "two" refuses positions at 0.3 s

  Scenario: A floor is raised one tier at a time
    Entry "one" has to drop an alert. If it requested the floor at alerts at once,
    "two" would drop its positions while "three", which hasn't received the floor
    yet, still keeps reports. So all entries drop reports first, then positions.
    Given entries one, two and three
    When "one" wants to drop an alert at 0 s
    And "two" receives the floor and acknowledges it at 0.1 s
    And "one" wants to drop an alert at 0.15 s
    Then "two" refuses reports at 0.2 s
    But "two" keeps positions at 0.2 s
    And "one" keeps positions at 0.2 s
    When "three" receives the floor and acknowledges it at 0.2 s
    And "one" wants to drop an alert at 0.3 s
    Then "one" may not drop an alert at 0.3 s
    When "two" receives the floor and acknowledges it at 0.4 s
    And "three" receives the floor and acknowledges it at 0.4 s
    Then "two" refuses positions at 0.5 s
    And "one" may drop an alert at 0.5 s
