Feature: A request that crashes each upstream that runs it
  A broken answer alone proves nothing: connections are reset and answers get lost.

  Scenario: The same content is sent again and again
    Its upstream crashes each time. After two crashes the content is refused, also by an
    entry that detected neither; content that was running in only one of them is not.
    Given two entries that detect crashes
    When content "culprit" breaks at "u1" together with "bystander", and "u1" refuses connections
    And content "culprit" breaks at "u2" together with "other", and "u2" refuses connections
    Then both entries refuse "culprit" and neither refuses "bystander" or "other"

  Scenario: Answers are lost while the upstream is alive
    Given two entries that detect crashes
    When content "innocent" breaks at "u1" together with "other", and "u1" goes on answering
    And content "innocent" breaks at "u2" together with "other", and "u2" goes on answering
    Then no entry refuses "innocent"

  Scenario: An upstream crashes long after an answer broke
    Given two entries that detect crashes
    When content "innocent" breaks at "u1", and "u1" refuses connections 10 s later
    And content "innocent" breaks at "u2", and "u2" refuses connections 10 s later
    Then no entry refuses "innocent"

  Scenario Outline: Upstreams fall silent under content that is given up within a second
    Guards against content that is never refused because its requests end early.
    Given two entries that detect crashes
    When "<content>" is given up at "u1" 0.6 s after it was sent; then <what> <after_s> s later
    And "<content>" is given up at "u2" 0.6 s after it was sent; then <what> <after_s> s later
    Then <who> refuses "<content>"

    Examples:
      | content  | what                     | after_s | who        |
      | culprit  | the list drops it        | 4       | each entry |
      | culprit  | the other notices a drop | 4       | each entry |
      | innocent | the list drops it        | 10      | no entry   |
      | innocent | it answers and goes      | 4       | no entry   |
      | innocent | it refuses connections   | 4       | no entry   |
