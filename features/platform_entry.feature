Feature: An entry on the users' platform
  Real processes: a store, upstreams and entries that send to them directly.

  Scenario: Streams and plain answers come whole, with the platform's headers kept
    Given a platform with an entry, two model upstreams and two desk upstreams
    When a stream is asked for through the entry
    Then it comes whole, in order, and ran once
    When a plain answer is asked for through the entry
    Then it comes whole with the upstream's signature
    And upstreams saw the customer's name, their own id and no key

  Scenario: What only the system may say is not passed on from callers
    A caller that names itself another customer, or asks for pinned memory, would
    otherwise get what it has no right to.
    Given a platform with an entry, two model upstreams and two desk upstreams
    When a caller sends headers that are the system's to set
    Then no upstream saw the caller's values

  Scenario: An upstream breaks in the middle of an event
    The first upstream cuts its stream inside an event. What was whole has been
    passed on; the rest comes from the other one, after the event the caller has.
    Given a platform with an entry, two model upstreams and two desk upstreams
    And every model upstream cuts its first stream after 3 events
    When a stream is asked for through the entry
    Then it comes whole and in order, from two upstreams

  Scenario: An upstream falls silent while it runs a stream
    Guards against a stream that is left at a silent upstream, or cut for an unsure place.
    Given a platform with an entry, two model upstreams and two desk upstreams
    And model upstreams that send an event every 100 ms
    When a stream is asked for, and its upstream falls silent for good
    Then it comes whole from the other upstream, which had reserved a place

  Scenario: A stream that may not be resumed breaks visibly
    Given a platform with an entry, two model upstreams and two desk upstreams
    And every model upstream cuts its first stream after 3 events
    When a stream that may run once is asked for through the entry
    Then it is broken visibly and ran once

  Scenario Outline: A faulty answer is never passed on as a good one
    The upstream runs the request and answers it badly. What may be repeated is
    asked of the other upstream; what may not ends in an honest failure.
    Given a platform with an entry, two model upstreams and two desk upstreams
    And one desk upstream answers "<fault>"
    When 8 repeatable and 8 single requests are sent through the entry
    Then the repeatable ones come whole, and none ran more often than it may
    And each single one came whole or as a failure that promises nothing

    Examples:
      | fault    |
      | wrong_id |
      | truncate |
      | unsigned |

  Scenario: An upstream says that it is full
    The upstream's refusal proves that nothing ran, so another one is asked, and
    a caller whose request no one took is told so, with when to come back.
    Given a platform with an entry, two model upstreams and two desk upstreams
    And every desk upstream answers "full"
    When a plain answer is asked for through the entry
    Then it is refused as not run, with when to come back, and nothing ran

  Scenario: The caller leaves while its stream runs
    The caller closes its connection before the stream's end. The upstream's work
    is for nobody from then on; it must stop within half a second.
    Given a platform with an entry, two model upstreams and two desk upstreams
    And model upstreams that send an event every 200 ms
    When a caller leaves in the middle of a stream
    Then its upstream stops within 500 ms

  Scenario: A key is taken away while the store turns the entry away
    The entry can't learn that the key is gone. It stops honouring any key once
    its last read is too old, says so as not run, and goes on when the store is
    back, where the key is unknown.
    Given a platform with an entry whose keys last 2000 ms without a read
    When the store answers nothing and the key is taken away
    Then within 2000 ms requests with the key are refused as not run
    When the store answers again
    Then requests with the key are told that it is unknown

  Scenario: The store turns one of two entries away
    The entry can't read the store, but the other one can, and tells it what the
    store says and how old that is. Callers with a key are served by both for longer
    than a key lasts without a read, and a key that is taken away stops at both.
    Given a platform with two entries, one of them reaching the store by a proxy
    When the store turns that entry away
    Then for 6 s both serve requests with a key
    When the key is taken away
    Then within 5 s both say that it is unknown

  Scenario: A new version moves a route, and no older one comes back
    Given a platform with an entry, two model upstreams and two desk upstreams
    When version 2 drops a route, and version 1 is written again
    Then the dropped route is unknown within 2 s and stays so

  Scenario: An upstream leaves
    Given a platform with an entry, two model upstreams and two desk upstreams
    When one desk upstream says that it leaves
    Then within 2 s it gets nothing new

  Scenario: The store forgets its records
    Given a platform with an entry, two model upstreams and two desk upstreams
    When the store forgets all records, and a new version adds a route
    Then the new route is served within 2 s

  Scenario: SIGTERM comes while streams run
    Callers hold streams when the entry is told to stop. It says at once that it
    is not ready, finishes them, takes what still comes for two seconds, and
    ends by itself before it would be killed.
    Given a platform with an entry, two model upstreams and two desk upstreams
    And model upstreams that send an event every 200 ms
    When the entry gets SIGTERM while 4 streams run
    Then it is not ready, and still serves a request that comes a second later
    And all streams come whole and it ends by itself within 8 s
    And its log names no part that died

  Scenario: Settings files are checked before a start
    When a settings file without an address, and with a word for a time, is checked
    Then both mistakes are named, and the status says that there are some
    When the settings file of a running entry is checked
    Then it is in order

  Scenario: SIGHUP puts other bounds in force
    Given a platform with an entry, two model upstreams and two desk upstreams
    When its settings change to keys of 1500 ms and it gets SIGHUP
    Then it lives, and honours keys for no longer than that

  Scenario: SIGHUP comes while the process still starts
    The platform sends it to all processes, also to one that has just been started
    again. Before a handler is set the signal ends a process, and imports take a
    while: callers find nobody there until the next start.
    Given a platform with an entry, two model upstreams and two desk upstreams
    When the entry is started again, and gets SIGHUP during its imports
    Then it is alive, ready and serving

  Scenario: An entry is stopped while it still starts
    Its port takes connections before the rest is loaded. The signal would end the
    process at once, and a caller that waits there would find its connection reset.
    Given a platform with an entry, two model upstreams and two desk upstreams
    When the entry is started again, and a caller's request waits when SIGTERM comes
    Then the caller gets its answer, and the entry ends by itself with status 0

  Scenario: An entry is killed and comes back
    Given a platform with an entry, two model upstreams and two desk upstreams
    When the entry is killed and started again
    Then it is ready and serves

  Scenario: Entries share what runs
    Two entries before one upstream with four places. Each knows what the other
    has running there, so that together they don't overfill it for long.
    Given a platform with two entries and one model upstream
    When 3 slow streams run through one entry, and 3 come to the other
    Then the upstream never works on more than it has places, and all come whole
