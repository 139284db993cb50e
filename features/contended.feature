Feature: Many entries wait for the places that come free
  The pattern: a burst at a service whose places are all taken, and every entry has
  callers in line. Each learns of a free place at about the same time, and a tenth of a
  second later of who took it. Driven, without a network.

  Scenario: A request of another entry ends
    Guards against every entry sending to the one place that came free.
    Given 30 entries with 2 requests each in line, for 5 places
    When all learn in the same instant that 4 run there
    Then in the mean of 40 times at most 2 requests are sent

  Scenario: Nobody else waits
    Guards against a free place that its only taker leaves alone.
    Given 1 entry with 2 requests each in line, for 5 places
    When all learn in the same instant that 4 run there
    Then in the mean of 40 times at least 1 request is sent

  Scenario: A request of this entry ends
    Guards against a place that stands empty although only this entry knows it is free.
    Given 30 entries with 2 requests each in line, for 5 places
    When a request of one of them ends there
    Then it sends the next one at once, and only that

  Scenario Outline: One that can't wait for the next chance
    Guards against a stream that is given up beside a free place.
    Given 30 entries with 2 requests each in line, for 5 places
    When one with <own> in line learns that <running> run there
    And it has a request that may not wait
    Then that request is sent

    Examples:
      | own | running |
      | 0   | 4       |
      | 2   | 3       |
