Feature: Answers that break off within their heads
  An upstream stops in the middle of a head, and closes or resets the connection. Its
  caller must never get a success that is framed as whole.

  Scenario Outline: <way> gets <answer>
    Guards against the end of a connection that passes for the end of a head.
    Given an upstream that sends <answer>, in <segments> segments, and <ends>
    When <way> asks it to break off at each byte of the head
    Then no answer counts as whole

    Examples:
      | way                        | answer                       | segments | ends   |
      | an agent's run             | a length                     | 1        | closes |
      | an agent's run             | a length                     | 3        | resets |
      | an agent's run             | no length                    | 1        | closes |
      | an agent's run             | no length                    | 3        | resets |
      | an agent's run             | chunks                       | 2        | closes |
      | an agent's run             | an interim answer before     | 2        | closes |
      | an agent's run             | a head of several segments   | 3        | closes |
      | an agent's stream          | events                       | 1        | closes |
      | an agent's stream          | events                       | 3        | resets |
      | an agent's fetch           | a length                     | 1        | closes |
      | an agent's fetch           | no length                    | 2        | resets |
      | an agent's second fetch    | a length                     | 1        | closes |
      | an agent's second fetch    | no content                   | 1        | closes |
      | an entry's request         | a head of several segments   | 3        | closes |
      | an entry's request         | an interim answer before     | 2        | resets |
      | an entry's second request  | a length                     | 1        | closes |
      | an entry's second request  | a length                     | 3        | resets |
      | an entry's second request  | no content                   | 1        | closes |
      | an entry's second request  | chunks                       | 2        | closes |

  Scenario Outline: Callers of <interface> by <version>
    Guards against a success that reaches callers though its upstream broke off.
    Given <interface> before an upstream that sends <answer> and <ends>
    When callers by <version> ask it to break off at bytes of the head and the body
    Then none gets a success that looks whole

    Examples:
      | interface             | version  | answer    | ends   |
      | the platform's way    | HTTP/1.0 | a length  | closes |
      | the platform's way    | HTTP/1.0 | chunks    | resets |
      | the platform's way    | HTTP/1.1 | chunks    | closes |
      | the project's own way | HTTP/1.0 | a length  | closes |
      | the project's own way | HTTP/1.0 | chunks    | closes |
      | the project's own way | HTTP/1.1 | a length  | resets |
      | the project's own way | HTTP/1.1 | chunks    | closes |
