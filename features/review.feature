Feature: Cases that a review showed
  Each script starts daemons and engines of its own, and fails if a promise is broken.

  Scenario: A late copy of an engine's refusal is taken for the answer to the next request (TWICE)
    Guards against believing a refusal before it is known whose it is.
    When the script of case 1 is run
    Then it finds no breach

  Scenario: Content that silences engines within a deadline below a second is never refused (BUDGET)
    Guards against content that isn't blamed because its requests end early.
    When the script of case 3 is run
    Then it finds no breach

  Scenario: An answer broken off inside its head passes for a whole one (MIXED)
    Guards against an end of the connection that passes for the end of the headers.
    When the script of case 2 is run
    Then it finds no breach
