Feature: Upstreams that restart under their names, and records of other writers
  What was learned of one incarnation of an upstream doesn't apply to the next, and
  foreign records under the upstreams' keys are ignored.

  Scenario: A new incarnation starts without the history of the previous one
    A slow and failing engine was suspended. It crashes and restarts under its name at
    the same address, and must be used at once.
    Given an entry that knows incarnation 1000 of upstream "u"
    And it is slow, has failed, and one request runs there
    When the upstream's record names incarnation 2000
    Then the upstream has all its slots free, and no measured step or failure
    And a request that was at the previous incarnation may be sent there

  Scenario: Requests at the previous incarnation are aborted
    A network partition hides the crash: nothing resets the connection, and a stream's
    caller would wait seconds until the connection times out.
    Given an entry that knows incarnation 1000 of upstream "u"
    And a request waits for a response there
    When the upstream's record names incarnation 2000
    Then the request ends as broken within 1 s

  Scenario: Two crashes under one name are two crashes
    The same content crashes two incarnations of one upstream. If they were counted as
    one crash, it would crash a third upstream before it is refused.
    Given an entry that knows incarnation 1000 of upstream "u"
    When content "culprit" breaks a response there, and the record names incarnation 2000
    And content "culprit" breaks a response there, and the record names incarnation 3000
    Then content "culprit" is refused

  Scenario: A record of an earlier incarnation is written late
    An engine's last record before its crash reaches the store after the first one of
    its new incarnation. Taken for another restart, it would abort all requests there.
    Then an earlier incarnation's record changes nothing
    And a second record of that incarnation is accepted, since its clock may be set back

  Scenario: Records of another writer
    Then none of these adds an upstream, and the others stay
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
    And an upstream in an unknown state gets no requests
    And JSON that is nested too deeply adds no upstream
    And repeated bad records are logged once and counted each time

  Scenario: Arbitrary bytes and JSON among the records
    Then no bytes in an upstream's or entry's record or a peer's message raise an exception
