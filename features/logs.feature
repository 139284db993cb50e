Feature: Logs
  One JSON object per line, without credentials.

  Scenario: A record is one line of JSON
    When a daemon logs "started" with port 8080
    Then the log line has time, level "info", daemon "entry-1", message "started" and port 8080

  Scenario: A traceback stays on its line
    When a daemon logs a caught exception
    Then there is 1 log line and its traceback names the exception

  Scenario: Credentials are never logged
    A credential may reach the log in a message, in the headers of a failed
    request, in nested data, or in an exception's text. It must be replaced in
    all of them, or readers of the logs could impersonate a customer.
    When a daemon logs a credential in every supported form
    Then no log line holds the credential

  Scenario: The reader of the log stalls
    A write to a full pipe blocks. On a request's thread, that would stop every
    request until the reader resumes. Lines are dropped instead, and the log
    reports how many once there is space again.
    When a daemon logs 6,000 lines to a pipe that nobody reads
    Then each call took less than 100 ms, and the log reports how many lines are missing

  Scenario: The last lines are flushed when the system refuses new threads
    Guards against a wait that fails for lack of a thread, and a process that then
    doesn't exit.
    When a daemon that can't start threads logs a line and waits until it is written
    Then the line was written, and the next wait ends although its reader stalls
