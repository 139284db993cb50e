Feature: Contention of many entries for slots that become free
  In a burst all slots of a service are taken, and every entry has waiting requests. All
  learn of a free slot at about the same time, and only a tenth of a second later who took
  it. On a manual clock, without a network.

  Scenario: A request of another entry ends
    Guards against every entry sending to the one slot that became free.
    Given 30 entries with 2 waiting requests each, for 5 slots
    When all learn at the same instant that 4 requests run there
    Then on average over 40 runs, at most 2 requests are sent

  Scenario: Nobody else waits
    Guards against a free slot that the only entry with waiting requests leaves unused.
    Given 1 entry with 2 waiting requests each, for 5 slots
    When all learn at the same instant that 4 requests run there
    Then on average over 40 runs, at least 1 request is sent

  Scenario: A request of this entry ends
    Guards against an unused slot of which only this entry knows that it is free.
    Given 30 entries with 2 waiting requests each, for 5 slots
    When a request of one of them ends there
    Then it sends the next one at once, and no other

  Scenario Outline: A request that may not wait for the next free slot
    Guards against a stream that is aborted although a slot is free.
    Given 30 entries with 2 waiting requests each, for 5 slots
    When one with <own> waiting requests learns that <running> requests run there
    And it gets a request that may not wait
    Then that request is sent

    Examples:
      | own | running |
      | 0   | 4       |
      | 2   | 3       |
