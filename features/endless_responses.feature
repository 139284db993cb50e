Feature: Upstreams that send without end
  Bytes that are no answer may come a few at a time or as fast as the link takes them,
  until their reader closes. A request has its final answer at its end all the same.

  Scenario Outline: An upstream sends without end
    Guards against requests that are held on, since each byte that comes begins a wait
    anew, and against work that goes on for them.
    Given two entries before upstreams, with routes that time out after 1 s
    And every upstream sends "<place>" without end, <pace>
    When a request of each kind is sent through each entry
    Then each has its final answer within 1.5 s of being sent
    And no upstream is at work for them 0.5 s later
    When every upstream is sound again
    Then a request of each kind is served through each entry

    Examples:
      | place                 | pace           |
      | noise                 | in drops       |
      | noise                 | in a flood     |
      | status line           | in drops       |
      | status line           | in a flood     |
      | informational answers | in drops       |
      | informational answers | in a flood     |
      | headers               | in drops       |
      | headers               | in a flood     |
      | one header            | in drops       |
      | one header            | in a flood     |
      | chunk size            | in drops       |
      | chunk size            | in a flood     |
      | chunk extension       | in drops       |
      | chunk extension       | in a flood     |
      | chunks                | in drops       |
      | chunks                | in a flood     |
      | length                | in drops       |
      | length                | in a flood     |
      | connection            | in drops       |
      | connection            | in a flood     |
      | noise in a stream     | in drops       |
      | noise in a stream     | in a flood     |
      | one event             | in drops       |
      | one event             | in a flood     |
      | refusal               | in drops       |
      | refusal               | in a flood     |

  Scenario Outline: Bytes without end follow a whole answer
    Guards against a ready answer that waits for what isn't part of it.
    Given two entries before upstreams, with routes that time out after 1 s
    And every upstream sends "<place>" without end, <pace>
    When a plain request is sent through each entry
    Then each is answered whole within 0.5 s
    And no upstream is at work for them 0.5 s later

    Examples:
      | place        | pace       |
      | trailers     | in drops   |
      | trailers     | in a flood |
      | bytes behind | in drops   |
      | bytes behind | in a flood |

  Scenario Outline: Callers leave upstreams that send without end
    Guards against work that goes on for callers who have gone.
    Given two entries before upstreams, with routes that time out after 8 s
    And every upstream sends "<place>" without end, <pace>
    When 10 callers of each kind leave each entry by a <leaving> at the same moment
    Then no upstream is at work for them 0.5 s later

    Examples:
      | place                 | pace       | leaving |
      | noise                 | in drops   | close   |
      | informational answers | in drops   | reset   |
      | headers               | in drops   | reset   |
      | one header            | in a flood | close   |
      | chunk size            | in drops   | close   |
      | chunk extension       | in a flood | reset   |
      | length                | in a flood | close   |
      | connection            | in drops   | close   |
      | one event             | in a flood | reset   |
      | refusal               | in drops   | close   |

  Scenario: Callers read nothing of streams without end
    Guards against writing to callers that takes longer than their requests may.
    Given two entries before upstreams, with routes that time out after 1 s
    And every upstream sends "events" without end, in a flood
    When 2 callers of each kind of stream send requests and read nothing for 1.5 s
    Then no upstream is at work for them 0 s later

  Scenario: Entries' memory while upstreams send as much as the links take
    Guards against answers that fill the memory before they turn out to be none.
    Given two entries before upstreams, with routes that time out after 4 s
    When every upstream sends each of these as a flood to 40 callers of each entry
      | place      |
      | headers    |
      | length     |
      | connection |
      | one event  |
      | refusal    |
    Then no entry has used more than 128 MB, and all are alive

  Scenario: The store sends without end
    Guards against a read of the store that never ends, so that nothing new is learned.
    Given two entries before upstreams, with routes that time out after 1 s
    When the store sends without end for 4 s, and is sound again
    Then within 4 s a new version is in force at each entry
    And a request of each kind is served through each entry

  Scenario Outline: The machines come back while upstreams send without end
    Guards against requests that hold all slots, so that service doesn't come back.
    Given two entries before upstreams, with routes that time out after 1 s
    And every upstream sends "<place>" without end, <pace>
    When 40 callers ask again and again, and all entries are killed and come back
    And every upstream is sound again
    Then of the requests sent later than 3 s after that at least 0.9 are served

    Examples:
      | place      | pace       |
      | one header | in drops   |
      | length     | in a flood |
