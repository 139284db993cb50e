Feature: What ends an entry that the system lets down
  Crashes in native code, and threads and memory that the system refuses.

  Scenario: A native crash says where it was
    An entry ended by a signal of its own left nothing that tells where it died.
    Given a platform with an entry, two model upstreams and two desk upstreams
    When the entry gets SIGILL
    Then it ends by that signal, and standard error has the stack of its thread

  Scenario: An entry starts without standard error
    Turning the crash text on raises without a place for it, and ended the start.
    Given a platform with an entry, two model upstreams and two desk upstreams
    When the entry is started again with standard error closed
    Then it lives, is ready and serves

  Scenario: The system refuses the threads of the link to the other entries
    An entry that serves and streams ended, with all that it streamed, for its link.
    Given a platform with an entry, two model upstreams and two desk upstreams
    When the entry is started again where the link's library gets no thread
    Then streams through it come whole until the link was tried 8 times
    And it lives, and its log says the cause once

  Scenario: The system refuses most threads of an entry that starts
    It stayed with its port open, said that it was ready, and served nobody.
    Given a platform with an entry, two model upstreams and two desk upstreams
    And model upstreams that send an event every 200 ms
    When the entry is started again with 24 threads granted
    Then it lives, is ready and serves
    And its log says once that threads were refused
    When 1000 threads more are granted, and 8 streams are asked for
    Then all of them come whole

  Scenario Outline: The system refuses threads that an entry can't do without
    Its servers' threads kept the process from ending, and its port from the next.
    Given a platform with an entry, two model upstreams and two desk upstreams
    When the entry is started again with <count> threads granted
    Then it ends with status 1, and its log says the refusal

    Examples:
      | count |
      | 4     |
      | 5     |
      | 13    |

  Scenario: The system refuses a thread when the entry is told to stop
    The stop was lost with its thread, and the streams with the main one.
    Given a platform with an entry, two model upstreams and two desk upstreams
    And model upstreams that send an event every 200 ms
    And the entry was started again, and gets no more threads from here on
    When the entry gets SIGTERM while 4 streams run
    Then all streams come whole and it ends by itself within 8 s

  Scenario Outline: The system refuses a thread of the link to the other entries
    What had been opened stayed open, so that the next try found its address taken.
    Given a link to the other entries whose thread <number> is refused
    When it fails to start
    Then another one starts on its address

    Examples:
      | number |
      | 1      |
      | 2      |
