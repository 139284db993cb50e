Feature: The transport between daemons
  One-way messages that may be lost, and never hold up their sender.

  Scenario: A message reaches its address
    Given a transport that listens
    When another transport sends it 5 messages
    Then it has received 5 messages in order

  Scenario: A broken message costs only itself
    A peer sends bytes that are no message. The receiver counts them and goes
    on; the next message arrives. A thread ended by them would leave a daemon
    that lives and hears nothing.
    Given a transport that listens
    When something sends it bytes that are no message
    And another transport sends it 1 messages
    Then it has counted 1 broken messages
    And it has received 1 messages in order

  Scenario: A handler that fails costs only its message
    Given a transport that listens and whose handler fails once
    When another transport sends it 2 messages
    Then it has received 1 messages after the failure

  Scenario: A dead peer holds up nobody
    One peer of two dies. Sends to it are dropped at once and counted, the other
    peer still hears everything, and when the dead one is back on its address
    it is reached again without anyone being told.
    Given a transport that listens
    And a sender connected to it and to a second one
    When the second one dies
    Then sends to the second one are dropped and counted as away
    And the first one still receives
    When the second one starts again on its address
    Then sends reach the second one again

  Scenario: An address that nobody listens on never blocks
    Given a sender with a buffer of 4 messages
    When it sends 20 messages to an address where nobody listens
    Then at most 5 of them were queued and the rest counted as dropped

  Scenario: A closed transport sends nothing
    Given a sender with a buffer of 4 messages
    When it is closed
    Then a send is dropped and counted as closed
