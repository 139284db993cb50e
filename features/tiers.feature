Feature: No request of a higher tier is shed while a lower one is kept
  One engine with one slot, and entries that may hold four waiting requests.

  Scenario: One entry is full of the highest tier, the other holds the lowest
    Alerts fill entry-1 while reports wait in entry-2. Before entry-1 sheds an
    alert it has entry-2 drop its reports; their callers are told "not run" at
    once, with when to come back.
    Given two entries that hold 4 requests before one engine with 1 slot
    When 1 alert is sent through entry-1 and runs
    And 4 reports are sent through entry-2 and wait
    And 12 alerts are sent through entry-1
    Then every request has its end
    And some alerts and all waiting reports were shed
    And no report was kept when an alert was shed
    And every shed caller was told when to come back
    And no promise is broken

  Scenario: A burst of every tier reaches both entries
    Given two entries that hold 4 requests before one engine with 1 slot
    When a burst of 8 requests of each tier reaches both entries
    Then every request has its end
    And no request was kept when a higher one was shed
    And every shed caller was told when to come back
    And no promise is broken

  Scenario: An entry is frozen while another must shed
    The frozen entry can't answer the floor. The other takes it as gone when its
    heartbeat lapses, and goes on; the frozen one drops its reports when it
    wakes and hears the floor, or serves them once room is there.
    Given two entries that hold 4 requests before one engine with 1 slot
    When 1 alert is sent through entry-1 and runs
    And 2 reports are sent through entry-2 and wait
    And process entry-2 is paused
    And 12 alerts are sent through entry-1
    Then some alerts are shed
    When process entry-2 is resumed
    Then every request has its end
    And no promise is broken

  Scenario: The callers' threads run short before the queue does
    Each request holds a thread of the callers' server. Without threads the
    server could only refuse whoever comes next, an alert like a report; so the
    entry sheds reports while it still has threads to take the alerts.
    Given one entry with 20 threads before one engine with 1 slot
    When 1 alert is sent through entry-1 and runs
    And 14 reports are sent through entry-1 and wait
    And 8 alerts are sent through entry-1
    Then every request has its end
    And every alert was answered whole
    And some reports were shed
    And no promise is broken
