Feature: Responses of which a byte is lost or sent twice
  A faulty upstream may break off or spoil a response at any byte.

  Scenario Outline: One byte of a response is wrong
    Guards against framing that passes for content, and a break that passes for the end.
    Given a response that is <kind>
    When it comes <change>, at each of its bytes in turn
    Then it counts as whole only with the body that was sent
    And it promises "not run" only if it was a refusal

    Examples:
      | kind                            | change                                 |
      | an answer with a length         | cut off and closed                     |
      | an answer with a length         | cut off and reset                      |
      | an answer with a length         | with the byte twice                    |
      | an answer with a length         | without the byte                       |
      | an answer with a length         | up to the byte, and then once more     |
      | an answer in chunks             | cut off and closed                     |
      | an answer in chunks             | cut off and reset                      |
      | an answer in chunks             | with the byte twice                    |
      | an answer in chunks             | without the byte                       |
      | an answer in chunks             | up to the byte, and then once more     |
      | a stream in short chunks        | cut off and closed                     |
      | a stream in short chunks        | with the byte twice                    |
      | a stream in short chunks        | without the byte                       |
      | a stream in short chunks        | up to the byte, and then once more     |
      | an answer that ends by closing  | cut off and closed                     |
      | an answer that ends by closing  | with the byte twice                    |
      | an answer that ends by closing  | without the byte                       |
      | a refusal                       | cut off and closed                     |
      | a refusal                       | with the byte twice                    |
      | a refusal                       | without the byte                       |
      | a refusal                       | up to the byte, and then once more     |

  Scenario: Several bytes of a response are wrong
    Guards against two faults of which each hides the other.
    When responses of all kinds come with up to three such faults at any bytes
    Then each counts as whole only with the body that was sent
    And no answer among them promises "not run"

  Scenario Outline: What is left of a response meets the next request
    Guards against the bytes of one response that are taken for another one.
    Given a response that is <kind>
    When it comes <change>, at each of its bytes in turn, before the next response
    Then no next request gets anything but its own response, or an error

    Examples:
      | kind                     | change                             |
      | an answer with a length  | with the byte twice                |
      | an answer with a length  | without the byte                   |
      | an answer in chunks      | with the byte twice                |
      | an answer in chunks      | without the byte                   |
      | an answer in chunks      | up to the byte, and then once more |
      | a refusal                | with the byte twice                |
      | a refusal                | up to the byte, and then once more |
