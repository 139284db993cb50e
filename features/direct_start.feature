Feature: Startup of an entry that uses direct dispatch
  After a failure of all entries at once, callers already connect to the entries' ports
  while the entries start.

  Scenario: A caller connects while the entry still loads its libraries
    Only the port is open at that time. If the connection were refused, the caller would
    have used up its only retry before the entry serves, half a second later.
    Given a port with a listening socket and no server yet
    When a caller sends a request, and a server takes over the socket 0.3 s later
    Then the caller gets its response

  Scenario: The daemon is loaded as quickly as its libraries allow
    All callers of an instance wait while it loads. Loaded modules stay in memory, so
    garbage collection during the load finds nothing. Searching the machine's
    site-packages is also useless, since the daemon's libraries are installed beside it.
    When the daemon is loaded without a search of site-packages (-S)
    Then no garbage collection ran during the load, and later ones skip the loaded objects
    And the deployed command loads it that way

  Scenario: Callers arrive while the link to the other entries is still loading
    The link's libraries take a sixth of the startup time. Callers at the port must not
    wait until they are loaded, too.
    Given a link to the other entries that takes a while to load
    When its part is started
    Then the part is alive at once, and messages sent before the load are dropped
    When the link has been loaded
    Then it was started once, and later messages are sent

  Scenario: The entry is stopped while the link to the other entries is still loading
    If it were started after the stop, it would announce an entry that has ended.
    Given a link to the other entries that takes a while to load
    When its part is started
    And its part is stopped, and the link has been loaded
    Then the link was never started

  Scenario: The link to the other entries can't be loaded or started
    Given a link to the other entries that fails at first
    When its part is started
    And the link has been loaded
    Then the part isn't alive until it is started again

  Scenario: A settings file that can't be read or understood
    Then no socket is opened

  Scenario: A request arrives before the first configuration
    Given an entry that has just started
    When a request arrives and the entry's initial state is complete 0.2 s later
    Then the request was held for 0.2 s, and the next one isn't held

  Scenario: The store doesn't respond at startup
    Without a configuration the request must be refused soon, not after seconds.
    Given an entry that has just started
    When a request arrives and the entry's initial state is never complete
    Then the request was held for 0.8 s, and the next one isn't held

  Scenario: The store rejects an entry right after its first configuration
    Its own record isn't written yet, so no other entry knows of it or can relay records
    to it. If it were ready already, it would serve until its last read is too old for
    API keys, and then refuse all requests with a key.
    Given an entry that has just started
    Then it isn't ready until its initial state is complete or 0.8 s have passed

  Scenario: One customer's requests wait at all entries while they start
    Five entries restart together after a power loss of a second, each with a dozen
    requests of the busiest customer at its port. Usage in the window before is unknown,
    so in total no more than the tolerance may pass. Although the entries receive each
    other's state at once, they don't know yet how much each of them let through.
    Given 5 entries that start together, a limit of 1000 a second and 2000 tolerated
    When 12 requests of 100 tokens arrive at each entry at the same time
    Then at most 2000 tokens pass in total, and at least 500
    And after 1.2 s a single entry may admit at least 500 tokens
