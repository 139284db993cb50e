@alone
Feature: What is held for clients is accounted for, and given back
  One account covers all ports and both ways; what isn't given back is lost until the
  process ends.

  Scenario Outline: The account is empty once clients have left
    Guards against bytes that some way out doesn't give back.
    Given an entry with 150 MB of memory before four upstreams
    When 30 clients <do>
    And they leave
    Then the entry's account is empty

    Examples:
      | do                                                  |
      | hold sized bodies just short of their end           |
      | hold bodies in small chunks just short of their end |
      | end their bodies by a byte now and then             |
      | send whole sized bodies at once                     |
      | don't read answers of 3 MB                          |
      | send half a head, and return                        |
      | use a wrong key and stay                            |
      | send a trailer line without end                     |

  Scenario: The account is full, and empty again
    Guards against more or less being given back than was taken.
    When any bytes are taken and given back in any order
    Then no kind and no owner ever has more than its part
    And nothing is left in the account

  Scenario Outline: Any bytes, cut anywhere, at a reader of requests
    Guards against readers that hang, fail or hold more than their bound.
    When a server reads any bytes as <what>, cut anywhere
    Then it returns or refuses each, within its bound

    Examples:
      | what                 |
      | a sized body         |
      | a chunked body       |
      | a head and its body  |

  Scenario: Streams whose attempts have long ids
    Guards against tables whose keys callers choose.
    When 2000 streams begin whose attempts have ids of 10 kB
    Then less than 1 MB of ids is kept

  Scenario: Clients cause many long lines
    Guards against log lines that fill the memory while nobody reads them.
    Given a log whose reader has stalled
    When 2000 lines are logged, each with 100 kB that a client chose
    Then less than 8 MB of them wait

  Scenario: Clients cause the same line again and again
    Guards against a log in which other lines drown.
    When a server refuses 200 malformed requests
    Then its log has at most 20 lines of them, and each is counted

  Scenario: A slow client beside a crowd
    Guards against closing clients on poor links for those that hold and send nothing.
    Given an entry with 150 MB of memory before four upstreams
    When 130 clients hold sized bodies just short of their end
    And a caller sends a body of 256 kB, 8 kB every 0.1 s
    Then that caller is answered

  Scenario: Requests are at work while others wait for threads
    Guards against taking a client for slow whose request is worked on.
    Given a server with 2 threads whose application works for 1 s
    When 3 requests come at once
    Then none of their connections was cut while it worked

  Scenario: One customer's bodies wait before slow upstreams
    Guards against a customer that takes all the room for bodies.
    Given an entry with 150 MB of memory before four upstreams
    And another customer has a key
    And the upstreams work for 4 s
    When 20 clients send whole sized bodies at once
    Then a body of 2 MiB of the other customer is answered
