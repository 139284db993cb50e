Feature: An entry under native crashes and refused resources
  Crashes in native code, and threads and memory that the system refuses.

  Scenario: A native crash leaves a stack trace
    Guards against an entry that dies by a signal without a trace of where.
    Given a platform with an entry, two model upstreams and two desk upstreams
    When the entry gets SIGILL
    Then it ends by that signal, and standard error has the stack of its thread

  Scenario: An entry starts without standard error
    Guards against a start that fails because crash traces cannot be enabled.
    Given a platform with an entry, two model upstreams and two desk upstreams
    When the entry is restarted with standard error closed
    Then it is alive, ready and serving

  Scenario: The system refuses the threads of the link to the other entries
    Guards against an entry that exits, and breaks off its streams, because of its link.
    Given a platform with an entry, two model upstreams and two desk upstreams
    When the entry is restarted where the link's library gets no thread
    Then streams through it are complete until the link has failed 8 times
    And it is alive, and its log names the cause once

  Scenario: The system refuses most threads of an entry that starts
    Guards against an entry that listens and reports ready, but serves no requests.
    Given a platform with an entry, two model upstreams and two desk upstreams
    And model upstreams that send an event every 200 ms
    When the entry is restarted with 24 threads granted
    Then it is alive, ready and serving
    And its log says once that a thread was refused
    When 1000 more threads are granted, and 8 streams are requested
    Then all of them are complete

  Scenario Outline: The system refuses threads that an entry can't do without
    Guards against server threads that keep the process alive and its port in use.
    Given a platform with an entry, two model upstreams and two desk upstreams
    When the entry is restarted with <count> threads granted
    Then it exits with status 1, and its log names the refusal

    Examples:
      | count |
      | 4     |
      | 5     |
      | 13    |

  Scenario: The system refuses a thread when the entry is told to stop
    Guards against a stop that is lost with its thread, and streams that break off.
    Given a platform with an entry, two model upstreams and two desk upstreams
    And model upstreams that send an event every 200 ms
    And the entry was restarted, and gets no more threads from now on
    When the entry gets SIGTERM while 4 streams run
    Then all streams are complete and it exits within 8 s

  Scenario Outline: The system refuses a thread of the link to the other entries
    Guards against sockets left open, so that the next start finds the address in use.
    Given a link to the other entries whose thread <number> is refused
    When it fails to start
    Then another one starts on its address

    Examples:
      | number |
      | 1      |
      | 2      |
