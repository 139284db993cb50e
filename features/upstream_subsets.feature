Feature: Few new connections to upstreams
  An entry keeps connections that can be reused, and prefers upstreams to which it has
  some. Load that this is for: many entries in front of many upstreams, where each pair
  meets so rarely that a connection is closed before its next request.

  Scenario Outline: Why a connection is kept or not
    Guards against connections that are lost although they could be reused, and against
    reuse of one that would break the next request or mix up two responses.
    Given an upstream that sends "<bytes>" and then "<then>"
    When requests are sent to it, two in turn with 100 ms between
    Then its connections are counted as "<counted>"

    Examples:
      | bytes                                                                                    | then  | counted                      |
      | HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole                                        | keeps | new, reused                  |
      | HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n             | keeps | new, reused                  |
      | HTTP/1.1 200 OK\r\nKeep-Alive: timeout=5\r\nContent-Length: 5\r\n\r\nwhole               | keeps | new, reused                  |
      | HTTP/1.1 200 OK\r\nKeep-Alive: timeout=1\r\nContent-Length: 5\r\n\r\nwhole               | keeps | new, idle_limit_short        |
      | HTTP/1.1 200 OK\r\nKeep-Alive: timeout=0.9\r\nContent-Length: 5\r\n\r\nwhole             | keeps | new, idle_limit_short        |
      | HTTP/1.1 200 OK\r\nKeep-Alive: timeout=1.05\r\nContent-Length: 5\r\n\r\nwhole            | keeps | new, idle_expired            |
      | HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 5\r\n\r\nwhole                   | keeps | new, closed_by_upstream      |
      | HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole                                        | ends  | new, closed_while_idle       |
      | HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwholeHTTP/1.1 200 OK                         | keeps | new, extra_bytes             |
      | HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nwhole                                        | ends  | new, not_read_to_end         |
      | these bytes are no answer\r\n\r\n                                                        | keeps | new, no_response             |

  Scenario Outline: A caller leaves a stream
    Guards against the loss of a connection whose response is complete, and against reuse
    of one that still has events to come.
    Given a stream of "<chunks>" from an upstream
    When its caller reads one event and leaves
    Then its attempt ended as "<outcome>", and <kept> connection is kept

    Examples:
      | chunks             | outcome  | kept |
      | event and end      | answered | 1    |
      | event              | left     | 0    |
      | event and half end | left     | 0    |

  Scenario: An upstream closes idle connections early
    Guards against a request that is lost or late because the choice of its upstream
    counted on a connection that is closed.
    Given an upstream that sends "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole" and then "ends"
    When requests are sent to it, two in turn with 100 ms between
    Then both outcomes are "complete" over 2 connections

  Scenario Outline: All entries together cover all upstreams evenly
    Guards against upstreams that few or far more entries prefer than others.
    Given <entries> entries, each with a subset of <upstreams> upstreams
    Then each subset has <size> upstreams
    And the busiest upstream is in at most <times> times the mean number of subsets
    And each upstream is in at least <least> subsets

    Examples:
      | entries | upstreams | size | times | least |
      | 21      | 20        | 6    | 1.15  | 2     |
      | 27      | 25        | 6    | 1.15  | 2     |
      | 68      | 65        | 6    | 1.15  | 2     |
      | 3       | 25        | 25   | 1     | 3     |
      | 27      | 5         | 5    | 1     | 27    |

  Scenario: Too many entries for subsets that are balanced
    Guards against a lock that is held while the subsets of all entries are computed.
    Given 120 entries, each with a subset of 65 upstreams
    Then each subset has 6 upstreams
    And each entry has computed 65 hashes
    And the busiest upstream is in at most 2 times the mean number of subsets

  Scenario: Subsets are the same in each process
    Guards against an order that depends on the process or on that of a set.
    Given 27 entries, each with a subset of 25 upstreams
    Then entry 0 prefers "u1 u10 u18 u19 u5 u9"

  Scenario: An entry leaves
    Guards against a change of the lists that makes all entries open new connections.
    Given 27 entries, each with a subset of 25 upstreams
    When one entry leaves
    Then on average at most 1 upstream of each subset is new

  Scenario: Entries whose lists differ for a second
    Guards against upstreams that no entry prefers, or most do, while only some entries
    know of a change.
    Given 27 entries, each with a subset of 25 upstreams
    When two entries leave and one upstream starts, and every second entry knows
    Then each subset has 6 upstreams
    And the busiest upstream is in at most 1.7 times the mean number of subsets
    And each upstream is in at least 1 subsets

  Scenario: A subset is widened at once, and narrowed later
    Guards against requests that crowd at few upstreams, and against a subset that swings
    with each burst.
    Given an entry's subset of 25 upstreams with 7 slots, among 27 entries
    When its requests need 40 slots
    Then it has 12 upstreams
    When 9 s pass in which its requests need 5 slots
    Then it has 12 upstreams
    When 2 s pass in which its requests need 5 slots
    Then it has 11 upstreams
    When 20 s pass in which its requests need 5 slots
    Then it has 6 upstreams
    And it was widened 1 time and narrowed 6 times, in at most 5 log lines

  Scenario: Requests are mostly sent outside a subset
    Guards against a subset of slow or full upstreams that stays as it is.
    Given an entry's subset of 25 upstreams with 7 slots, among 27 entries
    When 4 requests are sent outside it
    Then it has 7 upstreams

  Scenario: Demand that swings all the time
    Guards against a log that grows with each swing.
    Given an entry's subset of 25 upstreams with 7 slots, among 27 entries
    When its requests need 80 slots and 5 slots in turn, 13 s each, for 260 s
    Then it was widened and narrowed, in at most 52 log lines

  Scenario Outline: Demand that is no number of slots
    Given an entry's subset of 25 upstreams with 7 slots, among 27 entries
    When its requests need <demand> slots
    Then it has <size> upstreams

    Examples:
      | demand | size |
      | -5     | 6    |
      | nan    | 6    |
      | inf    | 6    |
      | 1e300  | 25   |

  Scenario Outline: All of a subset's upstreams are of no use
    Guards against requests that wait or are refused although other upstreams have slots.
    Given an entry among 27 that chooses among 25 upstreams
    When all upstreams of its subset <fail>
    And it gets 10 requests at the same time
    Then all are sent at once, none to its subset

    Examples:
      | fail                  |
      | are ejected           |
      | are gone              |
      | are full              |
      | are slower than others |

  Scenario: Upstreams that are equally fast
    Guards against new connections where one of equal upstreams needs none.
    Given an entry among 27 that chooses among 25 upstreams
    When it gets 10 requests, one after the other
    Then all are sent to its subset
    When it has an idle connection to an upstream outside its subset
    And it gets 10 requests, one after the other
    Then all are sent to the upstream with an idle connection

  Scenario: The policy is disabled
    Guards against a switch that leaves a part of the policy on.
    Given an entry among 27 that chooses among 25 upstreams
    And another one with upstream-subsets disabled
    When it gets 30 requests, one after the other
    Then the other one sends as one without a view of connections does

  Scenario: Entries that hear each other by gossip
    Guards against subsets that form only long after the start, when an entry knew no
    others yet, or keep to an entry that is gone.
    Given 24 entries in 3 data centres
    And each of them has 25 upstreams
    When they run for 1.5 s
    Then each entry's subset is that of 24 live entries
    When one entry is killed and they run for 2 s
    Then each entry's subset is that of 23 live entries

  Scenario: Many entries in front of many engines
    Guards against subsets that save no connections, or cost callers anything.
    Given a driven day of 27 entries and 25 engines
    When it is played with subsets and without
    Then with subsets, at most 0.8 times as many new connections are opened
    And worth is at most 0.01 lower
