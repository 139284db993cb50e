Feature: The first moments of an entry that dispatches directly
  After a fault that ends all entries at once, callers stand at the ports of all of
  them while they start.

  Scenario: A caller connects while the entry still loads its libraries
    Nothing but the port is there yet. Refused, the caller would have used its only
    retry by the time that the entry serves, half a second later.
    Given a port that is listened on before a server is there
    When a caller sends a request, and a server takes the port over 0.3 s later
    Then the caller gets its answer

  Scenario: The daemon is loaded as quickly as its libraries allow
    Every caller of an instance waits while it loads. What is loaded stays until the
    end, so looking for garbage meanwhile is in vain, and so is a look through the
    packages of the machine: all that the daemon needs lies beside it.
    When the daemon is loaded without the machine's packages
    Then no garbage was looked for meanwhile, and it is from then on
    And the deployed command loads it so

  Scenario: Callers come while the link to the other entries is still loaded
    The link's libraries take a sixth of a start. Callers wait at the port for them too
    unless they are loaded beside the first requests.
    Given a link to the other entries that takes a while to load
    When its part is started
    Then the part is alive at once, and what is told meanwhile is dropped
    When the link has been loaded
    Then it was started once, and what is told then is sent

  Scenario: A stop comes while the link to the other entries is still loaded
    Started after the stop, the link would tell the others of an entry that has gone.
    Given a link to the other entries that takes a while to load
    When its part is started
    And its part is stopped, and the link has been loaded
    Then the link was never started

  Scenario: The link to the other entries can't be loaded or started
    Given a link to the other entries that fails at first
    When its part is started
    And the link has been loaded
    Then the part is dead, and alive when it is started once more

  Scenario: A settings file that can't be read
    Then nothing is listened on, and the daemon says what is wrong

  Scenario: A request comes before the first configuration
    Given an entry that has just started
    When a request comes and the entry knows enough 0.2 s later
    Then the request was held for 0.2 s, and the next one isn't held at all

  Scenario: The store doesn't answer at the start
    Its caller is told soon that nothing is known here, not after seconds.
    Given an entry that has just started
    When a request comes and the entry never knows enough
    Then the request was held for 0.8 s, and the next one isn't held at all

  Scenario: The store turns an entry away right after its first configuration
    The entry's own record isn't written yet, so no other entry knows of it, and none
    can tell it what the store says. Ready already, it would serve for as long as keys
    last without a read, and then refuse all requests with a key.
    Given an entry that has just started
    Then it isn't ready until it knows enough, or has had 0.8 s for that

  Scenario: One customer's requests wait at all entries while these start
    The pattern: five entries without power for a second come back together, and each
    finds a dozen requests of the customer with the most traffic at its port. Nothing
    is known of the window before, so only what is tolerated beyond the limit may pass,
    in all; entries that hear each other at once haven't heard yet what each let through.
    Given 5 entries that start together, a limit of 1000 a second and 2000 tolerated
    When 12 requests of 100 come to each in the first instant
    Then at most 2000 pass in all, and at least 500
    And after 1.2 s an entry may give out a whole bucket alone
