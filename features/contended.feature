Feature: Contention of many entries for slots that become free
  In a burst all slots of a service are taken, and every entry has waiting requests. All
  learn of a free slot at about the same time, and only a tenth of a second later who took
  it. On a manual clock, without a network.

  Scenario: A request of another entry ends
    Guards against every entry sending to the one slot that became free.
    Given 30 entries with 2 waiting requests each, for 5 slots
    When all learn at the same instant that 4 requests run at the upstream
    Then on average over 40 runs, at most 2 requests are sent

  Scenario: Nobody else waits
    Guards against the only entry with waiting requests leaving a free slot unused.
    Given 1 entry with 2 waiting requests each, for 5 slots
    When all learn at the same instant that 4 requests run at the upstream
    Then on average over 40 runs, at least 1 request is sent

  Scenario: A request of this entry ends
    Guards against leaving a slot unused that only this entry knows to be free.
    Given 30 entries with 2 waiting requests each, for 5 slots
    When a request of one of them ends
    Then it sends the next one at once, and no other

  Scenario Outline: A request that may not wait for the next free slot
    Guards against a stream that is aborted although a slot is free.
    Given 30 entries with 2 waiting requests each, for 5 slots
    When one with <waiting> waiting requests learns that <running> requests run at the upstream
    And it gets a request that may not wait
    Then that request is sent

    Examples:
      | waiting | running |
      | 0       | 4       |
      | 2       | 3       |
