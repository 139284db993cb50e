Feature: Logs
  One JSON object a line, without credentials.

  Scenario: A record is one line of JSON
    When a daemon logs "started" with port 8080
    Then the log line has time, level "info", daemon "entry-1", message "started" and port 8080

  Scenario: A traceback stays on its line
    When a daemon logs a caught exception
    Then there is 1 log line and its traceback names the exception

  Scenario: Credentials are never logged
    A credential reaches the log in many ways: in a message, in headers kept for
    an error, inside nested data, in an exception's text. In each it must be
    replaced, or whoever reads the logs could act for a customer.
    When a daemon logs a credential in every way it knows
    Then no log line holds the credential

  Scenario: The reader of the log stalls
    A full pipe blocks whoever writes to it. Were that the thread of a request,
    every request would stop until the reader goes on. Lines are left out instead;
    the log says how many when there is room again.
    When a daemon logs 6,000 lines to a pipe that nobody reads
    Then each took less than 100 ms, and the pipe's reader learns how many are missing

  Scenario: The last lines are waited for when the system grants no thread
    The wait failed, and the process that was to end after it stayed.
    When a daemon that gets no more threads logs a line, and waits for it
    Then the line was written, and the next wait ends although its reader stalls
