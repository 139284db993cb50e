Feature: Upstreams that start again under their names, and records of other writers
  What was learned of one start of an upstream says nothing of the next, and what
  others write among the upstreams' records names nothing to send to.

  Scenario: Nothing that was learned of the start before is believed of the next
    An engine was slow and failed, and was left alone. It crashes and starts again under
    its name at the same address; callers wait for nothing if it is used at once.
    Given an entry that knows upstream "u" since start 1000
    And it is slow, has failed, and one request runs there
    When the upstream's record tells of start 2000
    Then the upstream has all its places, no pace and no failure
    And a request that was at the start before may be sent there

  Scenario: What still waits for the start before is broken off
    A cut hides the crash: nothing resets the connection, and the caller of a stream
    would wait for the rest until the connection counts as dead, seconds later.
    Given an entry that knows upstream "u" since start 1000
    And a request waits for an answer there
    When the upstream's record tells of start 2000
    Then the request ends as broken within 1 s

  Scenario: Two crashes under one name are two crashes
    The same content breaks both starts of one upstream. Counted as one crash, it would
    crash a third upstream before it is refused.
    Given an entry that knows upstream "u" since start 1000
    When content "culprit" breaks there, and the record tells of start 2000
    And content "culprit" breaks there, and the record tells of start 3000
    Then content "culprit" is refused

  Scenario: A record of an earlier start is written late
    The engine's last record before its crash reaches the store after the first of its
    new start. Taken for another start, it would break off all that runs there.
    Then an earlier start's record changes nothing
    And the same start's second record is believed, since a clock may go back

  Scenario: Records of another writer
    Then none of these names an upstream, and the others stay
      | record                                                                              |
      | []                                                                                  |
      | 7                                                                                   |
      | null                                                                                |
      | {}                                                                                  |
      | {"service":["s"],"address":"10.0.0.9:80","zone":"z","slots":4,"state":"ready"}      |
      | {"service":7,"address":"10.0.0.9:80","zone":"z","slots":4,"state":"ready"}          |
      | {"service":"","address":"10.0.0.9:80","zone":"z","slots":4,"state":"ready"}         |
      | {"service":"s","address":"10.0.0.9:80","zone":{},"slots":4,"state":"ready"}         |
      | {"service":"s","address":"10.0.0.9:80","slots":4,"state":"ready"}                   |
      | {"service":"s","address":"10.0.0.9:80","zone":"z","state":"ready"}                  |
      | {"service":"s","address":"10.0.0.9:80","zone":"z","slots":0,"state":"ready"}        |
      | {"service":"s","address":"10.0.0.9:80","zone":"z","slots":2.5,"state":"ready"}      |
      | {"service":"s","address":"10.0.0.9:80","zone":"z","slots":true,"state":"ready"}     |
      | {"service":"s","address":"10.0.0.9:80","zone":"z","slots":"4","state":"ready"}      |
      | {"service":"s","address":"10.0.0.9:80","zone":"z","slots":1e9,"state":"ready"}      |
      | {"service":"s","address":"10.0.0.9:80","zone":"z","slots":999999,"state":"ready"}   |
      | {"service":"s","address":"10.0.0.9:0","zone":"z","slots":4,"state":"ready"}         |
      | {"service":"s","address":"10.0.0.9:99999","zone":"z","slots":4,"state":"ready"}     |
      | {"service":"s","address":"10.0.0.9:0000099999","zone":"z","slots":4,"state":"ready"} |
      | {"service":"s","address":"10.0.0.9:-1","zone":"z","slots":4,"state":"ready"}        |
      | {"service":"s","address":"engine-9:80","zone":"z","slots":4,"state":"ready"}        |
      | {"service":"s","address":"0.0.0.0:80","zone":"z","slots":4,"state":"ready"}         |
      | {"service":"s","address":":80","zone":"z","slots":4,"state":"ready"}                |
      | {"service":"s","address":"10.0.0.9:80","zone":"z","slots":4,"state":3}              |
      | {"service":"s","address":"10.0.0.9:80","zone":"z","slots":4,"state":"ready","born":"x"} |
    And a state that nobody knows gets no requests
    And bytes that nest too deep name no upstream
    And a writer that repeats itself is logged once and counted each time

  Scenario: Any bytes and shapes among the records
    Then no bytes given as an upstream's, an entry's or a peer's message raise
