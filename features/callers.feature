Feature: The callers' HTTP server
  Callers get the whole answer, a visible break, or a refusal with its reason.

  Background:
    Given a callers' server over a fake gateway

  Scenario: A model request reaches the gateway checked and measured
    When a caller posts to "/narrative/v1/chat/completions?trace=1" the JSON {"messages": [{"role": "user", "content": "two words"}, {"content": [{"type": "text", "text": "three"}]}], "stream": true, "max_completion_tokens": 9}
    Then the caller gets 200 and a whole event stream
    And the call has these fields
      | field             | value                        |
      | service           | "narrative"                  |
      | path              | "/v1/chat/completions?trace=1" |
      | customer          | "races"                      |
      | tier              | 1                            |
      | stream            | true                         |
      | prompt_tokens     | 3                            |
      | max_output_tokens | 9                            |
      | prefix_hashes     | ["two words\nthree/16"]      |

  Scenario: A plain request passes through without what is between neighbours
    When a caller sends "PATCH" to "/tickets/a%2Fb/../c?d=%20e" with the headers
      | header             | value        |
      | X-Kept             | yes          |
      | Connection         | close, X-Hop |
      | X-Hop              | 1            |
      | TE                 | trailers     |
      | Lavenderspoke-Tier | checks       |
      | X_Smuggled         | 1            |
    Then the caller gets 201 and the body "PATCH hello"
    And the call's path is "/a%2Fb/../c?d=%20e" and its tier 2
    And the upstream would get only the headers "X-Kept"
    And the caller gets the header "X-Kept" but not "X-Hop", "X-Split" or "X-Forged"
    And the answer's length is given

  Scenario: A key is its customer's own, and an undeclared one is a re-send
    When a caller posts to "/tickets/pay" with Idempotency-Key "order-7" and Lavenderspoke-Idempotent "false"
    Then the call is keyed but not by "order-7", not idempotent, and a re-send
    When a caller posts to "/tickets/pay" with Idempotency-Key "order-7" and Lavenderspoke-Sending "first"
    Then the call has the same key and is a first send

  Scenario Outline: A refusal says why, whether it ran and when to come back
    When a caller posts to "<path>" with the header <header> and the body "<body>"
    Then the caller is refused with <status> "<reason>", ran "no" and Retry-After "<retry>"
    And the gateway has <count> arrivals

    Examples:
      | path                       | header                          | body   | status | reason          | retry | count |
      | /nowhere/x                 | X-None: 1                       | hello  | 404    | unknown_service | none  | 0     |
      | /tickets/x                 | Authorization: Bearer wrong     | hello  | 401    | unauthorized    | none  | 0     |
      | /tickets/x                 | Authorization: Basic b3Blbg==   | hello  | 401    | unauthorized    | none  | 0     |
      | /tickets/x                 | Authorization: Bearer           | hello  | 401    | unauthorized    | none  | 0     |
      | /tickets/x                 | Lavenderspoke-Tier: alerts      | hello  | 403    | tier_forbidden  | none  | 0     |
      | /tickets/x                 | Lavenderspoke-Tier: none        | hello  | 403    | tier_forbidden  | none  | 0     |
      | /tickets/x                 | Lavenderspoke-Deadline-S: -1    | hello  | 400    | bad_request     | none  | 0     |
      | /tickets/x                 | Lavenderspoke-Deadline-S: nan   | hello  | 400    | bad_request     | none  | 0     |
      | /tickets/x                 | Lavenderspoke-Sending: twice    | hello  | 400    | bad_request     | none  | 0     |
      | /tickets/x                 | Lavenderspoke-Sending: resend   | hello  | 400    | bad_request     | none  | 0     |
      | /tickets/x                 | Lavenderspoke-Idempotent: maybe | hello  | 400    | bad_request     | none  | 0     |
      | /tickets/x                 | Content-Length: +5              | hello  | 400    | bad_request     | none  | 0     |
      | /tickets/x                 | Transfer-Encoding: chunked      | hello  | 400    | bad_request     | none  | 0     |
      | /narrative/v1/completions  | X-None: 1                       | {"a"   | 400    | bad_request     | none  | 0     |
      | /narrative/v1/completions  | X-None: 1                       | [1]    | 400    | bad_request     | none  | 0     |
      | /narrative/v1/completions  | X-None: 1                       | {"prompt": 5} | 400 | bad_request | none | 0     |
      | /narrative/v1/completions  | X-None: 1                       | {"prompt": "a", "stream": 1} | 400 | bad_request | none | 0 |
      | /narrative/v1/completions  | X-None: 1                       | {"prompt": "a", "max_tokens": -1} | 400 | bad_request | none | 0 |
      | /tickets/x                 | X-None: 1                       | shed   | 503    | shed            | 2     | 1     |

  Scenario: An entry without documents says so
    Given the gateway has no documents
    When a caller posts to "/tickets/x" with the header X-None: 1 and the body "hello"
    Then the caller is refused with 503 "no_document", ran "no" and Retry-After "1"

  Scenario: A deadline is bounded by the document
    When a caller posts to "/tickets/x" with the header Lavenderspoke-Deadline-S: 1e9 and the body "hello"
    Then the arrival's deadline is in 60 seconds

  Scenario Outline: Malformed bytes get a clear refusal
    When a caller sends the raw bytes "<bytes>"
    Then the caller is refused with <status> "<reason>", ran "no" and Retry-After "none"
    And the gateway has 0 arrivals

    Examples:
      | bytes                                              | status | reason            |
      | nonsense\r\n\r\n                                   | 400    | bad_request       |
      | POST /tickets/x HTTP/1.1\r\nnonsense\r\n\r\n       | 400    | bad_request       |
      | POST http://other/ HTTP/1.1\r\nHost: a\r\n\r\n     | 400    | bad_request       |
      | POST /t HTTP/1.1\r\nContent-Length: 2\r\nContent-Length: 9\r\n\r\nhi | 400    | bad_request       |
      | POST /t HTTP/1.1\r\nHost: a\r\nHost: b\r\n\r\n   | 400    | bad_request       |
      | POST /tickets/x HTTP/1.1\r\nX: {40000}\r\n\r\n     | 431    | headers_too_large |
      | GET /{40000} HTTP/1.1\r\n\r\n                      | 431    | headers_too_large |

  Scenario: A body cut off never reaches the gateway
    The caller dies, or its network does, in the middle of its body. What came
    looks like a shorter request; passed on, half a payment would be booked.
    When a caller announces 100 bytes, sends 5 and shuts its side
    Then the caller is refused with 400 "bad_request", ran "no" and Retry-After "none"
    And the gateway has 0 arrivals

  Scenario Outline: An oversized body is refused without being kept
    When a caller sends 30000 bytes <how>
    Then the caller is refused with 413 "body_too_large", ran "no" and Retry-After "none"
    And the gateway has 0 arrivals

    Examples:
      | how                     |
      | with their length       |
      | in chunks of 1000 bytes |

  Scenario Outline: The entry's own limits hold below the service's
    Given a callers' server with limits of 100 body bytes and 1024 header bytes
    When a caller posts to "/tickets/x" with the header X-Long: <header> and the body "<body>"
    Then the caller is refused with <status> "<reason>", ran "no" and Retry-After "none"

    Examples:
      | header | body  | status | reason            |
      | short  | {200} | 413    | body_too_large    |
      | {2000} | short | 431    | headers_too_large |

  Scenario: A chunked body is put together
    When a caller sends 3000 bytes in chunks of 1000 bytes
    Then the gateway has 1 arrivals
    And the call's body has 3000 bytes

  Scenario: Malformed chunks are refused
    When a caller sends the chunk size "zz"
    Then the caller is refused with 400 "bad_request", ran "no" and Retry-After "none"

  Scenario: A break after the answer began is visible in an event stream
    The upstream dies in the middle of its answer. The status is long sent, so
    the caller gets an error event and a connection that closes without the last
    chunk. With a last chunk, half an alert would look whole.
    When a caller's event stream breaks after its first event
    Then the caller sees the first event, an error event "answer_incomplete" and no last chunk

  Scenario: A break before anything was sent is an ordinary refusal
    When a caller posts to "/tickets/x" with the header X-None: 1 and the body "half"
    Then the caller is refused with 502 "answer_incomplete", ran "yes" and Retry-After "none"

  Scenario: A caller of HTTP/1.0 gets an answer only when it is whole
    HTTP/1.0 has no chunks: the end of the connection is the end of the answer,
    so a break could not be told from the end. The answer is held until it is
    whole, and the break becomes a refusal.
    When a caller of HTTP/1.0 has its event stream broken after its first event
    Then the caller is refused with 502 "answer_incomplete", ran "yes" and Retry-After "none"

  Scenario: A caller that hangs up while it waits is noticed
    When a caller hangs up while its request waits
    Then the gateway is told that the caller has gone
    And 1 "caller_gone" answers are counted

  Scenario: A caller that reads slowly holds up nobody and misses nothing
    One caller stops reading until every buffer on its way is full. Whoever puts
    its answer must not wait for it: the same thread serves every other caller.
    Once it reads on, its answer is whole and in order.
    Given a caller that has stopped reading its event stream
    When 3000 numbered events of 10000 bytes are put for it
    And a caller posts to "/tickets/x" with the header X-None: 1 and the body "hello"
    Then the caller gets 201 and the body "POST hello"
    When the slow caller reads on and its answer ends
    Then it has all 3000 events in order and the last chunk

  Scenario: A stop finishes the answers in flight
    A deploy stops the entry while an answer is half written. The server refuses
    new connections only after the answers in flight have ended whole.
    When the server is stopped while an event stream is half written
    And the upstream then ends the answer
    Then the caller gets 200 and a whole event stream
    And the server has stopped

  Scenario: With every thread busy a new caller is answered at once
    Given every thread of the server waits for an answer
    When a caller posts to "/tickets/x" with the header X-None: 1 and the body "hello"
    Then the caller is refused with 503 "server_busy", ran "no" and Retry-After "1"

  Scenario: A request that dribbles in is given up, not waited for
    A caller sends a byte now and then, so no single read ever times out. A few
    hundred such callers would hold every thread; so the whole request has a
    limit, and the caller learns that it was too slow.
    Given a callers' server that gives requests 0.3 seconds to arrive
    When a caller sends its body a byte at a time without end
    Then the caller is refused with 408 "body_timeout", ran "no" and Retry-After "none"
    And the gateway has 0 arrivals

  Scenario: Headers that dribble in are given up too
    Given a callers' server that gives requests 0.3 seconds to arrive
    When a caller sends its headers a byte at a time without end
    Then the caller is refused with 408 "body_timeout", ran "no" and Retry-After "none"

  Scenario: Over TLS a caller gets its answer
    Given a callers' server with TLS
    When a caller posts over TLS to "/tickets/x"
    Then the caller gets 201 and the body "POST hello"

  Scenario: Callers that never shake hands keep nobody out
    Some callers connect and say nothing. The handshake would wait for each on
    the only thread that accepts connections; the next caller must not notice.
    Given a callers' server with TLS
    And callers that connect and never shake hands
    When a caller posts over TLS to "/tickets/x"
    Then the caller gets 201 and the body "POST hello"

  Scenario: Plain HTTP to a TLS port costs nothing
    Given a callers' server with TLS
    When a caller sends plain bytes and then another posts over TLS
    Then the caller gets 201 and the body "POST hello"

  Scenario: What the server logs holds no credential
    Given the server's log is kept at the level "DEBUG"
    When callers use their credential in requests of every outcome
    Then the kept log holds lines but not the credential

  Scenario: The status pages tell of health, readiness, counters and state
    Given a status server over the fake gateway
    Then its pages answer
      | page       | status | holds                            |
      | /-/health  | 200    | "healthy": true                  |
      | /-/ready   | 200    | "ready": true                    |
      | /-/status  | 200    | "role": "fake"                   |
      | /-/metrics | 200    | lavenderspoke_refusals_total     |
      | /-/other   | 404    | no such page                     |
    Given the gateway has no documents
    Then its pages answer
      | page       | status | holds                            |
      | /-/health  | 200    | "healthy": true                  |
      | /-/ready   | 503    | "ready": false                   |
