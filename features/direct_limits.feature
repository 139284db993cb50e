Feature: Customers' rate limits, shared by entries that may be partitioned
  On a manual clock, without a network. Amounts are in tokens, except where requests are
  counted. The bounds on a window leave room for what isn't reported yet: 80, or 20 where
  a step says so.

  Scenario: Each window admits the rate and the burst, and no more
    Given entries that share a limit of 100 per second and a burst of 300
    When a customer requests 400 per second for 30 s, through both of 2 entries
    Then at most 1,100 are admitted in any 8 s
    And at least 2,900 are admitted in 30 s

  Scenario: Two entries that are partitioned from each other
    Each counts only its own requests. If each didn't keep to its share, both would admit
    the whole limit.
    Given entries that share a limit of 100 per second and a burst of 300
    And the entries are partitioned from each other
    When a customer requests 400 per second for 30 s, through both of 2 entries
    Then at most 1,100 are admitted in any 8 s

  Scenario: All entries restart at once
    They don't know what was admitted before. If the burst were granted once more, a
    customer at its limit would exceed it in the 8 s around the restart.
    Given entries that share a limit of 100 per second and a burst of 300
    When a customer requests 400 per second for 30 s, and all entries restart at 15 s
    Then at most 1,100 are admitted in any 8 s

  Scenario: Right after a start, a part of what the platform tolerates is admitted
    The use before the start is unknown, so only a part of the tolerance is admitted, and
    at once no more than fits into the bucket. If nothing were admitted, a customer far
    below its limit would be refused for seconds.
    Given entries that share a limit of 100 per second and a burst of 300
    And the platform tolerates a tenth of the limit and 290 tokens more
    When all entries have just started
    Then 120 are admitted at once and no more

  Scenario: A customer's load jumps a second before all entries restart
    One customer sends ten times its usual load from one moment to the next, and a second
    later all entries are killed. If it had used its whole window in that second, and
    what becomes free since the start were admitted evenly, other callers would find the
    engines filled with 1.5 times the customer's limit, and the platform would count
    1,660 of the 1,510 that it allows.
    Given entries that share a limit of 100 per second and a burst of 300
    And the platform tolerates a tenth of the limit and 290 tokens more
    When a customer requests 2000 per second from 14 s to 30 s, and all entries restart at 15 s
    Then at most 1,500 and what isn't reported yet are admitted in any 8 s

  Scenario: The tolerance is used in part, and never all of it
    A customer's limit was lowered far below what it sends. Requests within the tolerance
    that are refused are lost to its callers for no reason.
    Given entries that share a limit of 100 per second and a burst of 100
    And the platform tolerates a tenth of the limit and 290 tokens more
    When a customer requests 400 per second for 30 s, through both of 2 entries
    Then at least 3,700 are admitted in 30 s
    And at most 1,100 and what isn't reported yet are admitted in any 8 s

  Scenario: What is left of a limit goes to the highest rank first
    A customer's limit was lowered to two thirds of what it sends; the highest rank uses a
    third of the limit. Spent in order of arrival, a third of the highest rank would be
    refused while the lowest is admitted.
    Given entries that share a limit of 100 per second and a burst of 300
    When a customer requests 50 per second of rank 0, 100 of rank 2 and 50 of rank 3 for 30 s
    Then at least 98% of rank 0 are admitted
    And at least 5% of rank 3 are admitted

  Scenario: A burst of large requests of a customer that is far from its limit
    Three large requests of the highest rank arrive at once, together with short requests of
    lower ranks; their customer uses a quarter of its limit. The short ones needn't leave
    capacity to the highest rank, which has enough.
    Given entries that share a limit of 100 per second and a burst of 300
    And the platform tolerates a tenth of the limit and 290 tokens more
    When a customer uses 15 of rank 0 and 15 of rank 2 per second, and then 75 of rank 0 at once
    Then 20 requests of cost 1 and rank 2 are admitted right after it

  Scenario: Large requests near a limit are admitted about as often as small ones
    A customer at its limit, whose requests differ thirtyfold in size. Small ones would
    take what becomes free each time before it is enough for a large one.
    Given entries that share a limit of 100 per second and a burst of 300
    And the platform tolerates a tenth of the limit and 290 tokens more
    When a customer requests 300 per second at a cost of 1 each and, every 2 s, one of 30
    Then the share of large ones admitted is at least half of that of the small ones

  Scenario: An entry starts beside one that has run for long
    The old one reports how much it has admitted since it started. Counted as if it had
    all just been admitted, it would exhaust the limit at the new one for 8 s, and callers
    within their limit would be refused.
    Given entries that share a limit of 100 per second and a burst of 300
    When an entry that admitted 90 per second for 60 s reports to one that starts
    Then 2 s after its start a request of cost 100 is admitted there

  Scenario: A burst of a customer whose limit counts requests
    A customer may send 2 requests per second and 3 at once, and does so after a pause.
    Nothing is tolerated beyond that, and the burst must be admitted all the same.
    Given entries that share a limit of 2 requests per second and a burst of 3
    When 5 requests arrive at once, 8 s after the start
    Then 3 of them are admitted

  Scenario: The cost of a request that never ran is refunded
    Given entries that share a limit of 100 per second and a burst of 300
    When a request of cost 250 is admitted and refunded
    Then a request of cost 300 is admitted

  Scenario: A refusal tells when a request could be admitted
    Given entries that share a limit of 100 per second and a burst of 300
    When the limit is used up at once, 8 s after the start
    Then a request of cost 1 may be retried after 8 s

  Scenario: An entry's retry allowance shrinks when it learns of the others
    Alone, it has the whole slack of 20 retries. If ten entries that start together each
    kept it, they would send ten times what the service allows.
    Given a retry allowance whose slack is 20 for one entry
    When it becomes known that there are 10 entries
    Then at most 2 retries are allowed at once
