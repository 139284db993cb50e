Feature: Late responses
  An upstream may send a response to an earlier request again, where the next one is
  expected. Its id tells it from the response to the request, which follows.

  Scenario Outline: Late responses come before the one to the request
    Guards against failing a request whose answer follows another request's response.
    Given three entries before an upstream that first sends "<late>" for the request before
    When requests that must run at most once are sent through each entry, one by one
    Then each caller gets the answer to its own request
    And the upstream ran each request once
    And it was sent at most 1 request of each entry on a connection of its own

    Examples:
      | late                                                                                                            |
      | 503 Full\r\nX-Attempt-Id: {id}\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n                                |
      | 503 Full\r\nX-Attempt-Id: {id}\r\nX-Not-Executed: 1\r\nContent-Length: 4\r\n\r\nfull                            |
      | 200 OK\r\nX-Attempt-Id: {id}\r\nX-Response-Signature: s\r\nContent-Length: 4\r\n\r\nlate                        |
      | 200 OK\r\nX-Attempt-Id: {id}\r\nX-Response-Signature: s\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nlate\r\n0\r\n\r\n |
      | 421 Other\r\nX-Attempt-Id: {id}\r\nContent-Length: 0\r\n\r\n                                                    |
      | 204 None\r\nX-Attempt-Id: {id}\r\nX-Response-Signature: s\r\n\r\n                                               |

  Scenario Outline: What comes before the response to a request isn't a late one
    Guards against looking for a response in the bytes of another one.
    Given three entries before an upstream that first sends "<late>" for the request before
    When two requests that must run at most once are sent through each entry
    Then the second callers are told within 0.5 s that their requests may have run
    And the upstream ran each request once

    Examples:
      | late                                                                                                            |
      | 503 Full\r\nX-Attempt-Id: never-sent\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n                          |
      | 503 Full\r\nX-Attempt-Id: {id}\r\nX-Not-Executed: 1\r\nContent-Length: x\r\n\r\n                                |
      | 200 OK\r\nX-Attempt-Id: {id}\r\nX-Response-Signature: s\r\nConnection: close\r\nContent-Length: 4\r\n\r\nlate   |
      | 200 OK\r\nX-Attempt-Id: {id}\r\nX-Response-Signature: s\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nlate\r\nx\r\n  |
      | 200 OK\r\nX-Attempt-Id: {id}\r\nX-Response-Signature: s\r\nContent-Length: 2\r\n\r\nlate                        |

  Scenario: Late responses come without end
    Guards against a thread that reads another request's responses for good.
    Given three entries before an upstream that first sends 9 refusals for the request before
    When two requests that must run at most once are sent through each entry
    Then the second callers are told within 0.5 s that their requests may have run
    And the upstream ran each request once
