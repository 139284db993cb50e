Feature: An upstream is ordered only by the agent beside it, newest last
  The version of the operators' document is the fencing number.

  Scenario: A document's orders are carried out and read back
    Given an engine that checks fencing numbers
    When the agent with version 5 carries out "v5"
    Then the engine has "v5" in force under number 5

  Scenario: An order's answer is lost
    The order took effect, but the agent can't know. It reads the state back,
    finds the order there, and doesn't give it twice.
    Given an engine that checks fencing numbers
    When the agent with version 5 carries out "v5" and its answer is lost
    And the agent with version 5 carries out "v5"
    Then the engine was ordered 1 time

  Scenario: The document changes while the agent looks at its engine
    An order goes out under the number of the document that it comes from. Under
    the newer document's number the older order would look like the newer one's.
    Given an engine that checks fencing numbers
    When the document becomes version 9 with "v9" while the agent with version 5 carries out "v5"
    Then the engine has "v5" in force under number 5

  Scenario: An engine that restarted is ordered anew
    Given an engine that checks fencing numbers
    When the agent with version 5 carries out "v5"
    And the engine restarts
    And the agent with version 5 carries out "v5"
    Then the engine has "v5" in force under number 5

  Scenario: An old incarnation wakes after the new one has ordered; the engine checks
    The old agent is paused between its last look and its order. The engine has
    seen a higher number by then and refuses.
    Given an engine that checks fencing numbers
    When the agent with version 5 is paused before it orders "v5"
    And meanwhile the agent with version 9 carries out "v9"
    And the agent with version 5 wakes
    Then the engine has "v9" in force under number 9
    And the engine was ordered 1 time

  Scenario: An old incarnation wakes after the new one has ordered; the engine doesn't check
    The engine obeys the old order. The new agent reads that back at its next
    look and puts it right; the old one finds itself replaced and stops.
    Given an engine that ignores fencing numbers
    When the agent with version 5 is paused before it orders "v5"
    And meanwhile the agent with version 9 carries out "v9"
    And the agent with version 5 wakes
    And the agent with version 9 carries out "v9"
    Then the engine has "v9" in force under number 9

  Scenario: An incarnation that knows that it was replaced gives no order
    Given an engine that ignores fencing numbers
    When a replaced agent with version 5 carries out "v5"
    Then the engine was ordered 0 times
