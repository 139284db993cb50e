Feature: The watch over callers that hang up

  Scenario: Giving up one request fails
    The first caller hangs up and giving its request up raises an error. Were the
    watching thread to end with it, every later caller's leaving would go unnoticed,
    so its upstream would go on working for nobody.
    Given a watch over two callers, where giving up the first raises
    When the first caller hangs up, then the second
    Then the watch still runs and the second was given up
