Feature: The body of an upstream's refusal
  It is read so that the connection can be reused, but not waited for.

  Scenario: A refusal's body stalls
    Guards against a request that waits until its deadline for the body of a refusal.
    Given a request at an upstream whose refusal stalls, and another one with a free slot
    When it gets its response
    Then it is the other upstream's stream, and the first attempt ended as "not_run"
