Feature: The heads of upstreams' responses
  A head says whose response it is, what it proves and where its body ends. One that can
  be read in two ways proves nothing.

  Scenario Outline: A line of a head is no header field
    Guards against headers that are lost behind such a line, with what they said.
    Given three entries before an upstream that answers "<head>" and "<body>", and closes
    When a request that must run at most once is sent through each entry
    Then each caller is told that its request may have run
    And the upstream ran each request once

    Examples:
      | head                                                                                                                         | body                         |
      | 200 OK\r\nX-Attempt-Id: {id}\r\nX-Response-Signature: s\r\nno field\r\nContent-Length: 9                                     | whole                        |
      | 200 OK\r\nX-Attempt-Id: {id}\r\nX-Response-Signature: s\r\nX-Note : n\r\nContent-Length: 9                                   | whole                        |
      | 200 OK\r\nX-Attempt-Id: {id}\r\nX-Response-Signature: s\r\n: n\r\nContent-Length: 5                                          | whole                        |
      | 200 OK\r\nX-Attempt-Id: {id}\r\nX-Response-Signature: s\r\nX-Note: n\r\n folded\r\nContent-Length: 5                         | whole                        |
      | 503 Full\r\nX-Note: n\rX-Attempt-Id: {id}\rX-Not-Executed: 1\r\nContent-Length: 5                                            | whole                        |
      | 503 Full\r\nX-Attempt-Id: {id}\r\nX-Not-Executed: 1\r\nno field\r\nX-Attempt-Id: other\r\nContent-Length: 5                  | whole                        |
      | 503 Full\r\nX-Not-Executed: 1\r\nno field\r\nX-Attempt-Id: other\r\nContent-Length: 5                                        | whole                        |

  Scenario Outline: Spaces follow a header's value
    Guards against chunks' sizes that pass for content, and ids that aren't recognised.
    Given three entries before an upstream that answers "<head>" and "<body>", and closes
    When a request that must run at most once is sent through each entry
    Then each caller gets the body "whole"
    And the upstream ran each request once

    Examples:
      | head                                                                                              | body                         |
      | 200 OK\r\nX-Attempt-Id: {id}\r\nX-Response-Signature: s\r\nTransfer-Encoding: chunked \t          | 5\r\nwhole\r\n0\r\n\r\n      |
      | 200 OK\r\nX-Attempt-Id: {id} \r\nX-Response-Signature: s\r\nContent-Length: 5                     | whole                        |

  Scenario: Spaces follow the name of a coding, and chunks are missing
    Guards against chunks that break off and pass for whole.
    Given three entries before an upstream that answers "200 OK\r\nX-Attempt-Id: {id}\r\nX-Response-Signature: s\r\nTransfer-Encoding: chunked " and "5\r\nwh", and closes
    When a request that must run at most once is sent through each entry
    Then each caller is told that its request may have run
    And the upstream ran each request once
