Feature: The codec between daemons
  Bytes that arrive from outside never raise, whatever they hold.

  Scenario: Every kind of message survives the wire
    Then every message that hypothesis builds decodes to itself

  Scenario: A ledger that is handed over survives the wire
    The keys of a leaving agent couldn't be encoded, so it left without handing
    them over and each re-send was told "unknown".
    Then a handed-over key with its answer decodes to itself

  Scenario: Broken bytes are an error and never an exception
    A daemon gets bytes that are cut, changed or made up. It must count and drop
    them: an exception would end the one thread that hears its peers.
    Then bytes, changed messages and made-up maps decode without raising

  Scenario Outline: A field of the wrong type is refused
    Then a Piece whose <field> is <value> is refused

    Examples:
      | field      | value    |
      | number     | "5"      |
      | number     | true     |
      | request_id | 7        |
      | body       | "text"   |
      | count      | 1.5      |
      | head       | [1]      |

  Scenario: What resembles a list or a number is refused
    Then a floor whose lease is not a finite number is refused
    And crash evidence whose fingerprints are one string is refused

  Scenario: A message above the size limit is refused
    Then bytes above the limit are refused unread
