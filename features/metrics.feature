Feature: Metrics
  Counters by reason and latencies by service and tier.

  Scenario: The metrics page shows counters and latencies
    Given metrics with 3 refusals for "shed" and latencies of 10, 20 and 30 ms
    Then the metrics page has these lines
      | line                                                                        |
      | # TYPE lavenderspoke_refusals_total counter                                 |
      | lavenderspoke_refusals_total{reason="shed"} 3                               |
      | # TYPE lavenderspoke_answer_seconds summary                                 |
      | lavenderspoke_answer_seconds_count{service="narrative",tier="alerts"} 3     |
      | lavenderspoke_waiting 7                                                     |
    And the median latency is within 1 % of 20 ms

  Scenario: Label values can't inject a line
    Given metrics with a counter whose reason holds quotes and line breaks
    Then the metrics page has 2 lines

  Scenario: Memory is bounded however many names are used
    Given metrics with latencies of 1000 services and 3000 counters
    Then there are at most 257 latencies and 1025 counters
    And no count is missing

  Scenario: No count is lost between threads
    Given metrics that 8 threads count 500 times each
    Then the counter reads 4000
