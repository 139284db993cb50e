Feature: Most new connections come to one entry, and then to another
  The platform's balancer may hand them out unevenly for some seconds. What an entry
  reads it serves as before; what it can't read it leaves unread.

  Scenario: No thread comes free
    Guards against reading a request that can only be refused.
    Given a server for callers with 2 threads, both at work for 3 s
    When a further request is sent
    Then its connection is closed unread within 1.5 s
    And the server has counted "server_busy" once

  Scenario: A thread comes free in time
    Guards against turning callers away that only had to wait for a moment.
    Given a server for callers with 2 threads, both at work for 0.1 s
    When a further request is sent
    Then it is answered

  Scenario: Three entries, and callers who open new connections
    Guards against shares of slots and limits that other entries hold idle.
    Given 3 entries, 4 model upstreams and 4 plain ones
    When 24 callers use all entries for 4 s, and then mostly entry-1 and entry-2 for 4 s each
    Then at each of both at least 0.75 times as many first attempts are served as before
