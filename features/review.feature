Feature: Cases that a review showed
  Each script starts daemons and engines of its own, and fails if a promise is broken.

  Scenario: A late copy of an engine's refusal is taken for the answer to the next request (TWICE)
    Guards against believing a refusal before it is known whose it is.
    When the script of case 1 is run
    Then it finds no breach
