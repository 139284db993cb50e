Feature: Each agent announces itself to a bounded subset of the entries

  Scenario: Every entry gets its share of the agents
    Given 40 entries in 4 data centres and 400 agents that pick 8 each
    Then every agent has 8 entries, at least 4 of them in its own data centre
    And every entry has between 40 and 130 agents

  Scenario: An entry that goes changes only the picks that named it
    Given 40 entries in 4 data centres and 400 agents that pick 8 each
    When one entry is removed
    Then no agent without it has changed its picks
    And every agent with it has replaced only that one

  Scenario: A few entries are all picked
    Given 3 entries in 2 data centres and 10 agents that pick 8 each
    Then every agent has all 3 entries
