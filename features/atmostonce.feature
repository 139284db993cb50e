Feature: Every request is dispatched at most once
  The upstream itself counts each run. A key re-sent through another entry must
  find the first attempt in whatever state it is, or be answered "unknown".

  Scenario: An entry is killed while a payment waits in it
    The caller's connection is cut. The payment was only in that entry, so
    the re-send through the other entry claims its key and runs it: once, although
    the caller couldn't know that it hadn't run.
    Given two entries before a payment service with 1 slot
    And each payment takes 1 s
    When payment "a" is sent through entry-1 with key "ka"
    And payment "a" has begun to run
    And payment "b" is sent through entry-1 with key "kb"
    And process entry-1 holds 1 waiting payment
    And process entry-1 is killed
    And payment "b" is sent again through entry-2 with key "kb"
    Then the last payment is answered whole
    And payment "b" ran once
    And no promise is broken

  Scenario: An entry is killed while a payment runs
    The caller's connection is cut after the payment was dispatched. The agent
    holds the key and the answer, so the re-send through the other entry follows
    the first run instead of starting one.
    Given two entries before a payment service with 4 slots
    And each payment takes 1 s
    When payment "a" is sent through entry-1 with key "ka"
    And payment "a" has begun to run
    And process entry-1 is killed
    And payment "a" is sent again through entry-2 with key "ka"
    Then the last payment is answered whole
    And payment "a" ran once
    And the payment service was given the key "ka"
    And no promise is broken

  Scenario: An agent is killed while a payment runs
    The agent's ledger dies with it, and a plain service can't be asked what
    ran. The caller is told "unknown" when the successor comes; so is its
    re-send, since the successor doesn't know the keys of the dead agent.
    Given two entries before a payment service with 4 slots
    And each payment takes 2 s
    When payment "a" is sent through entry-1 with key "ka"
    And payment "a" has begun to run
    And process agent-p is killed
    And process agent-p is started again
    Then the last payment is told that its outcome is unknown
    When payment "a" is sent again through entry-2 with key "ka"
    Then the last payment is told that its outcome is unknown
    And payment "a" ran once
    And no promise is broken

  Scenario: The answer to a grant is lost
    The agent dispatches, but none of its messages reaches the entry. The entry
    neither grants again nor gives up: it queries the agent, and once the link
    works it gets the answer from the agent's ledger.
    Given two proxied entries before a payment service with 4 slots
    And each payment takes 1 s
    When the way to entry-1 is delayed by 300 ms
    And payment "a" is sent through entry-1 with key "ka"
    And payment "a" has begun to run
    And the way to entry-1 swallows everything
    And process entry-1 has asked again 3 times
    And the way to entry-1 is healed
    Then the last payment is answered whole
    And payment "a" ran once
    And no promise is broken

  Scenario: A paused entry wakes after its payment was sent again
    The first send waits in an entry that is paused. The re-send through the
    other entry claims the key at every agent and runs. When the paused entry
    wakes, its grant is refused by the agent that holds the key, and it follows
    the re-send's run: both callers get the same answer.
    Given two entries before a payment service with 1 slot
    And each payment takes 1 s
    When payment "a" is sent through entry-2 with key "ka"
    And payment "a" has begun to run
    And payment "b" is sent through entry-1 with key "kb"
    And process entry-1 holds 1 waiting payment
    And process entry-1 is paused
    And payment "b" is sent again through entry-2 with key "kb"
    Then the last payment is answered whole
    When process entry-1 is resumed
    Then every payment is answered whole
    And payment "b" ran once
    And no promise is broken

  Scenario: A paused agent wakes after the other side has given up
    The agent is frozen with a payment in flight. The only process that
    knows can't answer the re-send, so this is told "unknown" and nothing runs
    again. Once the agent wakes, the first caller gets its answer, and another
    re-send is given the same one.
    Given two entries before a payment service with 4 slots
    And each payment takes 1 s
    When payment "a" is sent through entry-1 with key "ka"
    And payment "a" has begun to run
    And process agent-p is paused
    And payment "a" is sent again through entry-2 with key "ka"
    Then the last payment is told that its outcome is unknown
    When process agent-p is resumed
    And payment "a" is sent again through entry-2 with key "ka"
    Then the last payment is answered whole
    And payment "a" ran once
    And no promise is broken

  Scenario: The log is down
    First sends still work, since they need no read of the roster. A re-send
    can't know which agents might hold its key: it is told "unknown", and runs
    nothing. When the log is back it is given the first answer.
    Given two entries before a payment service with 4 slots
    When the log goes down
    And payment "a" is sent through entry-1 with key "ka"
    Then the last payment is answered whole
    When payment "a" is sent again through entry-2 with key "ka"
    Then the last payment is told that its outcome is unknown
    When the log comes back
    And payment "a" is sent again through entry-2 with key "ka"
    Then the last payment is answered whole
    And payment "a" ran once
    And no promise is broken

  Scenario: An agent joins while the log can be read by itself alone
    The new agent is in the roster, but the log goes down before the entry has
    read that far. The new agent refuses the payments for their stamps; the old
    one runs them when it has free slots, since its own join was read before.
    Given two proxied entries before a payment service with 4 slots
    And each payment takes 1 s
    When the entries can't reach the log
    And agent-q joins with a payment service of its own
    And 8 payments are sent through entry-1
    Then every payment is answered whole
    And agent-q has refused some grants for their stamps
    And no promise is broken

  Scenario: The member list is wrong in both directions
    The platform's list is emptied, then names an instance that is gone. The
    daemons know each other from their own announcements, so payments go on and
    each runs once.
    Given two entries before a payment service with 4 slots
    When the member list is emptied
    And payment "a" is sent through entry-1 with key "ka"
    Then the last payment is answered whole
    When process entry-2 is killed
    And the member list names every daemon
    And payment "a" is sent again through entry-1 with key "ka"
    Then the last payment is answered whole
    And payment "a" ran once
    And no promise is broken

  Scenario: A payment is sent again while another agent could run it
    The first send runs at one agent; its entry is killed. The other agent has a
    free slot and doesn't know the key, so the re-send learns that the payment runs
    only from its claim at the first one.
    Given two entries before two payment services
    And each payment takes 2 s
    When payment "a" is sent through entry-1 with key "ka"
    And payment "a" has begun to run
    And process entry-1 is killed
    And payment "a" is sent again through entry-2 with key "ka"
    Then the last payment is answered whole
    And payment "a" ran once
    And no promise is broken

  Scenario: An agent joins between a payment and the end of its re-send
    The first send waits in an entry that is paused. Its re-send claims the key
    at the one agent there is, and waits too. Then an agent joins, which the
    re-send did not ask. When the paused entry wakes, the new agent refuses the
    first send for its stamp: otherwise both would run. The payment before lasts until
    the agent has joined, which takes 3 s under high load.
    Given two entries before a payment service with 1 slot
    And each payment takes 12 s
    When payment "a" is sent through entry-2 with key "ka"
    And payment "a" has begun to run
    And payment "b" is sent through entry-1 with key "kb"
    And process entry-1 holds 1 waiting payment
    And process entry-1 is paused
    And payment "b" is sent again through entry-2 with key "kb"
    And process entry-2 holds 1 waiting payment
    And agent-q has joined with a payment service of its own
    And process entry-1 is resumed
    Then every payment is answered whole
    And payment "b" ran once
    And agent-q has refused some grants for their stamps
    And no promise is broken

  Scenario: The other entry has not read the roster for long
    An agent joined and ran the payment, and then its entry died. The other
    entry's roster is stale; it reads it again for the re-send, learns of the agent,
    asks it, and gets the answer.
    Given two entries, of which entry-2 reads the log once, before a payment service
    When agent-q has joined with a payment service of its own
    And process agent-p is told to stop and has ended
    And payment "a" is sent through entry-1 with key "ka"
    Then the last payment is answered whole
    When process agent-p is started again
    And process entry-1 is killed
    And payment "a" is sent again through entry-2 with key "ka"
    Then the last payment is answered whole
    And payment "a" ran once
    And no promise is broken

  Scenario: An agent that could not join runs no keyed payment
    The log is down when the agent starts, so no re-send would know to ask it.
    It runs requests without a key and refuses keyed ones until it has joined.
    Given two entries before a payment service with 1 slot
    When the log goes down
    And agent-q starts with a payment service of its own
    And 4 payments are sent through entry-1
    Then every payment is answered whole
    And agent-q has refused some grants because it has not joined
    And agent-q has run nothing
    And no promise is broken

  Scenario: A paused agent's payment is not given to another
    The agent is paused after it dispatched; its silence proves nothing. The
    other agent has room, and must not be given the payment.
    Given two entries before two payment services
    And each payment takes 1 s
    When payment "a" is sent through entry-1 with key "ka"
    And payment "a" has begun to run
    And the agent that runs payment "a" is paused
    And process entry-1 has asked again 8 times
    And the agent that runs payment "a" is resumed
    Then the last payment is answered whole
    And payment "a" ran once
    And no promise is broken

  Scenario: A payment lies unread in a paused entry while its re-send runs
    The caller's bytes reach the entry's machine, but the paused entry reads them
    only when it wakes. By then the re-send has run elsewhere, and the only agent
    with a free slot has joined since and knows nothing of it. The entry notices its
    own pause and has the key claimed, which finds the run.
    Given two entries before a payment service with 1 slot
    And each payment takes 6 s
    When process entry-1 is paused
    And payment "b" is sent through entry-1 with key "kb"
    And payment "b" is sent again through entry-2 with key "kb"
    Then the last payment is answered whole
    When payment "c" is sent through entry-2 with key "kc"
    And payment "c" has begun to run
    And agent-q has joined with a payment service of its own
    And process entry-1 is resumed
    Then every payment is answered whole
    And payment "b" ran once
    And no promise is broken
