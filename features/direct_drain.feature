Feature: The rest of an upstream's refusal
  Its body is read, so that its connection can be kept, as long as that costs nothing.

  Scenario: A refusal's body stalls
    Guards against a request that is held until its deadline by an upstream's refusal.
    Given a request at an upstream whose refusal stalls, and another one with a place
    When it has its first answer
    Then that is the other upstream's stream, and the first attempt ended as "not_run"
