Feature: Slots booked for refused callers
  A refused caller comes back once, at the time it was told, to any entry. On manual
  clocks, without a network.

  Scenario: Callers refused later in a burst are told later times
    Guards against callers who come back together as the next burst.
    Given an entry where 4 slots per second come free after 1 s
    When 12 callers are refused at once, who wait 5 s at most
    Then no two are told times in the same quarter of a second
    And each is told a time between 1 s and 5 s

  Scenario: More callers are refused than slots will be there in time
    Guards against promising slots that won't be there, and times that callers ignore.
    Given an entry where 4 slots per second come free after 1 s
    When 40 callers are refused at once, who wait 3 s at most
    Then at most 9 slots are booked
    And each is told a time between 1 s and 3 s

  Scenario: Slots booked at another entry, whose clock has another origin
    Guards against two entries that book the same slots.
    Given an entry where 4 slots per second come free after 1 s
    And another entry, whose clock is 1000.1 s ahead
    When the other has booked 4 slots from 1 s to 2 s, and tells the entry
    And 1 caller is refused at once, who waits 5 s at most
    Then each is told a time between 1.75 s and 5 s

  Scenario: Slots booked for a higher rank
    Guards against a lower rank that books what a higher one has.
    Given an entry where 4 slots per second come free after 1 s
    When the highest rank has booked 4 slots from 1 s to 2 s
    And 1 caller is refused at once, who waits 5 s at most
    Then each is told a time between 2 s and 5 s

  Scenario: Slots booked for a lower rank
    Guards against a higher rank that comes later because a lower one was refused.
    Given an entry where 4 slots per second come free after 1 s
    When the lowest rank has booked 4 slots from 1 s to 2 s
    And 1 caller is refused at once, who waits 5 s at most
    Then each is told a time between 1 s and 1.25 s

  Scenario: The entry that booked is gone
    Guards against giving away the slots of callers who will come to other entries.
    Given an entry where 4 slots per second come free after 1 s
    And another entry, whose clock is 1000.1 s ahead
    When the other has booked 4 slots from 1 s to 2 s, and tells the entry
    And nothing more is heard from the other
    Then the entry counts 4 bookings after 0.9 s
    And the entry counts 0 bookings after 3 s

  Scenario: The entry that booked restarts
    Guards against a restart that drops the slots its callers were told.
    Given an entry where 4 slots per second come free after 1 s
    And another entry, whose clock is 1000.1 s ahead
    When the other has booked 4 slots from 1 s to 2 s, and tells the entry
    And the other restarts without bookings, and tells the entry
    Then the entry counts 4 bookings after 0.9 s
    And the entry counts 0 bookings after 3 s

  Scenario: The last message before a lost one arrives late
    Guards against bookings that a late message moves to a later time.
    Given an entry where 4 slots per second come free after 1 s
    And another entry, whose clock is 1000.1 s ahead
    When the other has booked 4 slots from 1 s to 2 s, and its message takes 0.5 s
    Then the entry counts 0 bookings after 2.8 s

  Scenario: The caller never comes
    Guards against slots that stay booked for nobody.
    Given an entry where 4 slots per second come free after 1 s
    When 2 callers are refused at once, who wait 5 s at most
    Then the entry counts 2 bookings after 1.2 s
    And the entry counts 0 bookings after 2.5 s
    And 2 bookings have expired

  Scenario: The caller comes early
    Guards against an early return that takes the slot of one which comes on time.
    Given an entry where 4 slots per second come free after 1 s
    When 2 callers are refused at once, who wait 5 s at most
    Then a return after 0.2 s is early
    And the entry counts 2 bookings after 0.3 s

  Scenario: The caller comes through another entry
    Guards against a slot that stays booked while the request waits already.
    Given an entry where 4 slots per second come free after 1 s
    And another entry, whose clock is 1000.1 s ahead
    When the other has booked 4 slots from 1 s to 2 s, and tells the entry
    Then a return after 1.2 s redeems its booking
    And the entry counts 3 bookings after 1.2 s
    And the other counts 3 bookings once the entry has told it

  Scenario Outline: Malformed rows of another entry
    Guards against bookings made of absurd figures, and a log line for each message.
    Given a dispatcher that has heard of 3 bookings of another entry
    When it receives 5 messages of that entry with the row <row>
    Then it still counts 3 bookings
    And it has logged one line on them and counted "malformed" for each message

    Examples:
      | row                |
      | 0, 2, 4, 100000000 |
      | 0, 2, -90, 1       |
      | 0, 2, 100000, 1    |
      | 0, 2, 4, 0         |

  Scenario: A shortage begins and ends
    Guards against a log that doesn't show why callers were told to come back.
    Given a dispatcher that has heard of 3 bookings of another entry
    When it goes on for 4 s without another message
    Then it has logged once that bookings began, and once that they ended

  Scenario: A slot is expected before the caller of a returned request leaves
    Guards against refusing a caller for good whose slot is about to come free.
    Given a queue of 4 slots, all held for 3 s by requests of the highest rank
    When a refused request of the lowest rank returns, whose caller waits 5 s
    Then it is sent when a slot comes free

  Scenario: No slot is expected before the caller of a returned request leaves
    Guards against holding a caller for seconds and then refusing it.
    Given a queue of 4 slots, all held for 3 s by requests of the highest rank
    And 60 requests of the highest rank wait
    When a refused request of the lowest rank returns, whose caller waits 5 s
    Then it is refused at once

  Scenario: A new request and a slot that is booked
    Guards against a new request that takes the slot of a caller who was told to return.
    Given a queue of 4 slots, all held for 3 s by requests of the highest rank
    And 30 slots are booked for now by another entry
    When a request of the lowest rank arrives for the first time
    Then it is refused at once
    And its log field tells that no slot is expected, or when one is booked

  Scenario: A returned request and a new one of a higher rank
    Guards against a return that delays a higher rank. The lowest rank holds the share
    of slots that it is guaranteed already.
    Given a queue of 4 slots, all held for 3 s by requests of the highest rank
    And the lowest rank holds 1 slot at another entry
    When a refused request of the lowest rank returns, whose caller waits 5 s
    And a request of the highest rank arrives for the first time
    Then that request is sent before the returned one

  Scenario: A burst of long requests beside a steady load
    Guards against returns that are refused again while slots stand free after a burst.
    Given callers who ask for twice the slots for 9 s, and for half of them thereafter
    When the burst is played with booked retries and without
    Then at most half as many returns are refused again as without
    And more requests are sent than without

  Scenario: Slots suffice
    Guards against a policy that changes decisions where nobody is refused.
    Given callers who ask for half of the slots
    When the load is played with booked retries and without
    Then each request is sent at the same time as without

  Scenario: A refusal is explained
    Guards against an engineer who can't tell why a caller was told a time.
    Given a log line of a refused request with a booking
    Then its explanation contains "For its return: slot booked in 1.50 s"
