Feature: A request that crashes each upstream that runs it
  Broken answers alone prove nothing: connections are reset and answers get lost.

  Scenario: The same content comes again and again
    Its upstream crashes each time. After two crashes the content is refused, also
    by an entry that saw neither; a bystander that was there once is not.
    Given two entries that watch for crashes
    When content "culprit" breaks at "u1" beside "bystander", and "u1" is found dead
    And content "culprit" breaks at "u2" beside "other", and "u2" is found dead
    Then both entries refuse "culprit" and neither refuses "bystander" or "other"

  Scenario: Answers are lost while the upstream lives
    Given two entries that watch for crashes
    When content "innocent" breaks at "u1" beside "other", and "u1" answers on
    And content "innocent" breaks at "u2" beside "other", and "u2" answers on
    Then no entry refuses "innocent"

  Scenario: An upstream dies long after an answer broke
    Given two entries that watch for crashes
    When content "innocent" breaks at "u1", and "u1" is found dead 10 s later
    And content "innocent" breaks at "u2", and "u2" is found dead 10 s later
    Then no entry refuses "innocent"
