Feature: Ports for the processes of the tests
  Several features run side by side, each in a process of its own.

  Scenario: A port is given out, and its server doesn't listen yet
    Beside much load a server takes a second until it listens. Given out again meanwhile,
    its port would have two servers, and a test would talk to another test's stand-in.
    Given a port that was given out here
    When another process looks for a free port from there on
    Then it gets another one
