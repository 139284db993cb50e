Feature: No request of a higher tier is shed while a lower one is kept

  Scenario: One entry is full of the highest tier, the other holds the lowest
    Alerts fill entry-1 while reports wait in entry-2. Before entry-1 sheds an
    alert, entry-2 has to drop its reports; their callers get "not run" and a
    Retry-After.
    Given two entries that queue 4 requests for one engine with 1 slot
    When 1 alert is sent through entry-1 and runs
    And 4 reports are sent through entry-2 and wait
    And 12 alerts are sent through entry-1
    Then every request has been answered or refused
    And some alerts and all waiting reports were shed
    And at most the running report was kept when an alert was shed
    And the caller of every shed request got a Retry-After
    And no promise is broken

  Scenario: A burst of every tier reaches both entries
    Given two entries that queue 4 requests for one engine with 1 slot
    When a burst of 8 requests of each tier reaches both entries
    Then every request has been answered or refused
    And no request was kept when a higher one was shed
    And the caller of every shed request got a Retry-After
    And no promise is broken

  Scenario: An entry is paused while another must shed
    The paused entry can't acknowledge the floor. The other entry stops waiting for
    it when its heartbeat times out. Once resumed, the paused entry receives the
    floor and drops its reports, or serves them once the engine is free.
    Given two entries that queue 4 requests for one engine with 1 slot
    When 1 alert is sent through entry-1 and runs
    And 2 reports are sent through entry-2 and wait
    And process entry-2 is paused
    And 12 alerts are sent through entry-1
    Then some alerts are shed
    When process entry-2 is resumed
    Then every request has been answered or refused
    And no promise is broken

  Scenario: An entry sheds the lowest tier before its threads run out
    Each request occupies a thread of the callers' server. With none left the server
    could only refuse the next caller, whatever its tier, so the entry sheds reports
    while it still has threads for the alerts.
    Given one entry with 20 threads and one engine with 1 slot
    When 1 alert is sent through entry-1 and runs
    And 14 reports are sent through entry-1 and wait
    And 8 alerts are sent through entry-1
    Then every request has been answered or refused
    And every alert was answered completely
    And some reports were shed
    And no promise is broken
