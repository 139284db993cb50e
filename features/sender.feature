Feature: The caller's tool
  It sends again only where a second run can do no harm.

  Scenario Outline: When a request is sent again
    Given a request with <key>, which is <kind>
    Then after <outcome> with <given> bytes given out it is sent again <again>

    Examples:
      | key    | kind           | outcome                  | given | again      |
      | no key | non-idempotent | refused no after 2 s     | 0     | after 2 s  |
      | no key | non-idempotent | refused no without time  | 0     | never      |
      | no key | non-idempotent | refused unknown after 2 s | 0    | never      |
      | a key  | non-idempotent | refused unknown after 2 s | 0    | after 2 s  |
      | no key | idempotent     | refused unknown after 2 s | 0    | after 2 s  |
      | a key  | idempotent     | refused yes after 2 s    | 0     | never      |
      | no key | non-idempotent | unreached                | 0     | after 0.5 s |
      | no key | non-idempotent | broken                   | 0     | never      |
      | a key  | non-idempotent | broken                   | 7     | after 0.5 s |
      | no key | idempotent     | broken                   | 0     | after 0.5 s |
      | no key | idempotent     | broken                   | 7     | never      |
      | a key  | idempotent     | broken and different     | 7     | never      |
      | a key  | idempotent     | answered                 | 7     | never      |

  Scenario: A refused request comes back with its key, after the time it was told
    Given a callers' server over a fake gateway
    And it sheds the first send
    When the tool sends a keyed stream with 1 retries
    Then the tool gets a whole answer and has waited 2 seconds
    And the sends had one key and were "first, resend"

  Scenario: A broken answer is completed by its re-send, and given out once
    The upstream's connection breaks in the middle of the stream. The tool
    sends the same key again and gets the whole answer from its beginning; the
    part that its user has seen must not come twice.
    Given a callers' server over a fake gateway
    And it breaks the first answer after its first event
    When the tool sends a keyed stream with 1 retries
    Then the tool gets a whole answer and has waited 0.5 seconds
    And what it gave out is the answer once

  Scenario: An answer that comes otherwise again is not joined to the first half
    Given a callers' server over a fake gateway
    And it breaks the first answer after another first event
    When the tool sends a keyed stream with 1 retries
    Then the tool reports an answer that differs

  Scenario Outline: The command's exit status tells what is known
    Given a callers' server over a fake gateway
    When the command sends to "<path>" with "<options>"
    Then it exits with <status> and prints "<printed>"

    Examples:
      | path       | options                            | status | printed                                 |
      | /narrative | --prompt hi --stream --key auto    | 0      | data: one                               |
      | /tickets/x | --body hello --method patch        | 0      | PATCH hello                             |
      | /tickets/x | --body shed --retries 0            | 4      | refused: shed (ran: no)                 |
      | /tickets/x | --body half                        | 3      | refused: answer_incomplete (ran: yes)   |
      | /tickets/x | --body a --prompt b                | 2      | not both                                |
