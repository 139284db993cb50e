Feature: Customers' limits, shared by entries that may not hear each other
  Times are driven; no network.

  Scenario: Any window holds the rate and the burst, and no more
    Given entries that share a limit of 100 a second and a burst of 300
    When a customer asks 400 a second for 30 s, through both of 2 entries
    Then no 8 s hold more than 1,100 that passed
    And at least 30 s hold 2,900 that passed

  Scenario: Two entries that don't hear each other
    Each counts only itself. Both would let the whole limit through; with a part
    each the sum stays within it.
    Given entries that share a limit of 100 a second and a burst of 300
    And the entries don't hear each other
    When a customer asks 400 a second for 30 s, through both of 2 entries
    Then no 8 s hold more than 1,100 that passed

  Scenario: All entries restart at once
    They forget what passed before. With its burst once more, a customer that goes
    on at its limit would have more than that in the 8 s around the restart.
    Given entries that share a limit of 100 a second and a burst of 300
    When a customer asks 400 a second for 30 s, and all entries restart at 15 s
    Then no 8 s hold more than 1,100 that passed

  Scenario: Right after a start, a part of what the platform tolerates may pass
    Nothing of the window before is known: the burst may lie just behind the start, and
    a part of what is tolerated is given out all the time. A customer far below its limit
    would be refused for seconds if nothing passed. What passes at once fits the bucket.
    Given entries that share a limit of 100 a second and a burst of 300
    And the platform tolerates a tenth and 290 more
    When all entries have just started
    Then 120 pass at once and no more

  Scenario: A customer comes with all its load a second before all entries restart
    The pattern: one customer sends ten times its usual from one moment to the next, and
    a second later all entries are killed. With its whole window used in that second, and
    what comes free since the start given out evenly, callers of the others would see
    engines filled with 1.5 times the customer's limit, and the platform counts 1,660 of
    the 1,510 it allows.
    Given entries that share a limit of 100 a second and a burst of 300
    And the platform tolerates a tenth and 290 more
    When a customer asks 2000 a second from 14 s to 30 s, and all entries restart at 15 s
    Then no 8 s hold more than 1,500 that passed, but for what isn't told yet

  Scenario: What is tolerated is used in part, and never all
    The pattern: a customer's limit was lowered far below what it sends. What is refused
    up to the tolerance is lost to its callers for nothing.
    Given entries that share a limit of 100 a second and a burst of 100
    And the platform tolerates a tenth and 290 more
    When a customer asks 400 a second for 30 s, through both of 2 entries
    Then at least 30 s hold 3,700 that passed
    And no 8 s hold more than 1,100 that passed, but for what isn't told yet

  Scenario: The highest rank is served first of what is left of a limit
    The pattern: a customer whose limit was lowered to two thirds of what it sends, a
    third of it for the highest rank. Spent in order of arrival, a third of the highest
    rank is refused while the lowest is served.
    Given entries that share a limit of 100 a second and a burst of 300
    When a customer asks 50 a second of rank 0, 100 of rank 2 and 50 of rank 3 for 30 s
    Then at least 98 in 100 of rank 0 pass
    And at least 5 in 100 of rank 3 pass

  Scenario: A clump of large requests of a customer that is far from its limit
    The pattern: three write-ups of the highest rank come at once, and their customer's
    short requests of lower ranks with them; it uses a quarter of its limit. They needn't
    make room for a highest rank that finds enough.
    Given entries that share a limit of 100 a second and a burst of 300
    And the platform tolerates a tenth and 290 more
    When a customer uses 15 of rank 0 and 15 of rank 2 a second, and then 75 of rank 0 at once
    Then 20 requests of 1 of rank 2 pass right after it

  Scenario: Large requests near a limit pass as often as small ones
    The pattern: a customer at its limit whose requests differ by thirty times in size.
    What comes free is taken by small ones each time, before it is enough for a large one.
    Given entries that share a limit of 100 a second and a burst of 300
    And the platform tolerates a tenth and 290 more
    When a customer asks for 300 a second in requests of 1 and, every 2 s, one of 30
    Then at least half as many in 100 of the large ones pass as of the small ones

  Scenario: An entry starts beside one that has run for long
    The old one tells how much it has let through since it started. Taken as if all
    of it had just passed, it would close the limit at the new one for 8 s, and
    callers within their limit would be refused.
    Given entries that share a limit of 100 a second and a burst of 300
    When an entry that let 90 a second through for 60 s is heard by one that starts
    Then 2 s after its start a request of 100 passes there

  Scenario: A burst where requests are counted
    A customer may send 2 requests a second and 3 at once; its callers do so after a
    pause. Nothing is tolerated beyond that, and the burst must pass all the same.
    Given entries that share a limit of 2 requests a second and a burst of 3
    When 5 requests come at once, 8 s after the start
    Then 3 of them pass

  Scenario: What never ran is given back
    Given entries that share a limit of 100 a second and a burst of 300
    When a request of 250 passes and is given back
    Then a request of 300 passes

  Scenario: A refusal says when a request could pass
    Given entries that share a limit of 100 a second and a burst of 300
    When the limit is used up at once, 8 s after the start
    Then a request of 1 may come back after 8 s

  Scenario: An entry learns of the others after its first retries were allowed
    Alone, it would have the whole slack of 20 retries. Ten entries that start
    together and each keep it would send ten times what the service allows.
    Given a retry allowance whose slack is 20 for one entry
    When it turns out that there are 10 entries
    Then no more than 2 retries are allowed at once
