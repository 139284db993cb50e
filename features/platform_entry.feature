Feature: An entry on the users' platform
  Real processes: a store, upstreams and entries that send to them directly.

  Scenario: Streams and plain responses are complete, with the platform's headers
    Given a platform with an entry, two model upstreams and two desk upstreams
    When a stream is requested through the entry
    Then it is complete, in order, and ran once
    When a plain response is requested through the entry
    Then it is complete with the upstream's signature
    And upstreams received the customer's name, their own name and no key

  Scenario: Headers that only the system may set are stripped from requests
    Otherwise a caller could pose as another customer or have memory pinned.
    Given a platform with an entry, two model upstreams and two desk upstreams
    When a caller sends headers that only the system may set
    Then no upstream received the caller's values

  Scenario: An upstream breaks off within an event
    The first upstream ends its stream within an event. Complete events have been
    relayed; the other upstream resumes after the last event that the caller has.
    Given a platform with an entry, two model upstreams and two desk upstreams
    And every model upstream cuts its first stream after 3 events
    When a stream is requested through the entry
    Then it is complete and in order, from two upstreams

  Scenario: An upstream stops responding while it runs a stream
    Guards against a stream that stays at a silent upstream, or moves without a reserved slot.
    Given a platform with an entry, two model upstreams and two desk upstreams
    And model upstreams that send an event every 100 ms
    When a stream is requested, and its upstream stops responding
    Then it is completed by the other upstream, with a reservation

  Scenario: A stream that must not be resumed is visibly truncated
    Given a platform with an entry, two model upstreams and two desk upstreams
    And every model upstream cuts its first stream after 3 events
    When a stream that must run at most once is requested through the entry
    Then it is visibly truncated and ran once

  Scenario Outline: A faulty response is never relayed as a valid one
    The upstream runs the request and sends a faulty response. Idempotent requests are
    retried at the other upstream; others fail, without a claim that they did not run.
    Given a platform with an entry, two model upstreams and two desk upstreams
    And one desk upstream answers "<fault>"
    When 8 idempotent and 8 at-most-once requests are sent through the entry
    Then the idempotent ones succeed, and none runs more often than allowed
    And each at-most-once one succeeds or fails without saying that it did not run

    Examples:
      | fault    |
      | wrong_id |
      | truncate |
      | unsigned |

  Scenario: An upstream says that it is full
    The rejection proves that nothing ran, so another upstream is tried. If none accepts
    the request, the caller gets a 503 response with Retry-After.
    Given a platform with an entry, two model upstreams and two desk upstreams
    And every desk upstream answers "full"
    When a plain response is requested through the entry
    Then it is rejected as not run, with Retry-After, and nothing ran

  Scenario: The caller disconnects while its stream runs
    The caller closes its connection before the stream's end. The upstream's work
    is then useless and must stop within half a second.
    Given a platform with an entry, two model upstreams and two desk upstreams
    And model upstreams that send an event every 200 ms
    When a caller disconnects during a stream
    Then its upstream stops within 500 ms

  Scenario: A key is revoked while the store doesn't respond
    The entry can't learn of the revocation. It accepts no key once its last read is too
    old, and rejects requests as not run. It resumes when the store recovers, and the
    key is unknown there.
    Given a platform with an entry that accepts keys for 2000 ms after a read
    When the store stops responding and the key is revoked
    Then within 2000 ms requests with the key are rejected as not run
    When the store responds again
    Then requests with the key are rejected as unauthorized

  Scenario: The store rejects one of two entries
    The entry can't read the store, but the other one relays the records with their age.
    Both serve callers with a key for longer than keys are accepted without a read, and
    both reject a revoked key.
    Given a platform with two entries, one of them connected to the store by a proxy
    When the store rejects that entry
    Then for 6 s both entries serve requests with a key
    When the key is revoked
    Then within 5 s both entries reject it as unauthorized

  Scenario: A new version removes a route, and an older one has no effect
    Given a platform with an entry, two model upstreams and two desk upstreams
    When version 2 removes a route, and version 1 is written again
    Then the removed route is unknown within 2 s and stays so

  Scenario: An upstream leaves
    Given a platform with an entry, two model upstreams and two desk upstreams
    When one desk upstream registers as draining
    Then within 2 s it receives no new requests

  Scenario: The store expires its records
    Given a platform with an entry, two model upstreams and two desk upstreams
    When the store expires all records, and a new version adds a route
    Then the new route is served within 2 s

  Scenario: SIGTERM comes while streams run
    The entry reports at once that it is not ready, finishes its streams, accepts
    requests for two more seconds, and exits before it would be killed.
    Given a platform with an entry, two model upstreams and two desk upstreams
    And model upstreams that send an event every 200 ms
    When the entry gets SIGTERM while 4 streams run
    Then it is not ready, and still serves a request a second later
    And all streams are complete and it exits within 8 s
    And its log reports no part that died

  Scenario: Settings files are checked before a start
    When a settings file with a missing address and a malformed time is checked
    Then both errors are reported, and the exit status is 1
    When the settings file of a running entry is checked
    Then the settings file is valid

  Scenario: SIGHUP applies changed bounds
    Given a platform with an entry, two model upstreams and two desk upstreams
    When its settings change to accept keys for 1500 ms and it gets SIGHUP
    Then it stays alive, and accepts keys for no longer than that

  Scenario: SIGHUP arrives while the process starts
    The platform sends it to all processes, including one that has just been restarted.
    Without a handler the signal ends the process, and imports take a while: the entry
    would be unavailable until the next start.
    Given a platform with an entry, two model upstreams and two desk upstreams
    When the entry is restarted, and gets SIGHUP during its imports
    Then it is alive, ready and serving

  Scenario: An entry is stopped while it starts
    Its port accepts connections before the rest is loaded. The signal would end the
    process at once and reset the connections of waiting callers.
    Given a platform with an entry, two model upstreams and two desk upstreams
    When the entry is restarted, and gets SIGTERM while a request is queued
    Then the caller gets its response, and the entry exits with status 0

  Scenario: An entry is killed and restarted
    Given a platform with an entry, two model upstreams and two desk upstreams
    When the entry is killed and restarted
    Then it is ready and serves

  Scenario: Entries share their running requests
    Two entries send to one upstream with four slots. Each knows what the other has
    running there, so that together they don't overload it for long.
    Given a platform with two entries and one model upstream
    When 3 slow streams run through one entry, and 3 arrive at the other
    Then the upstream never exceeds its slots, and all streams are complete
