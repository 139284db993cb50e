Feature: The cores follow the models along the traces that break them
  Each scenario is a counterexample that Spin finds when one safeguard is removed
  from a model in spec/. With the safeguard in the code it must end correctly.

  Scenario: A grant that comes after its revocation is refused (grant WITHOUT_BURN)
    The entry gets no reply, revokes, is answered "never" and grants the request
    elsewhere. Then the first grant arrives; dispatching it would be a second run.
    Given a traced agent that joined at offset 5
    When the traced agent pulls
    And the grant of "r1" on its pull 1 is revoked
    And "r1" arrives on its pull 1
    Then the traced agent answered "Revoked never, Refused"
    And "r1" was dispatched 0 times

  Scenario: A doubled grant of a run is answered with Granted (grant WITHOUT_DUPLICATE)
    After a refusal the entry would assume that the running request never ran.
    Given a traced agent that joined at offset 5
    When the traced agent pulls
    And "r1" arrives on its pull 1
    And "r1" arrives on its pull 1
    Then the traced agent answered "Granted, Granted"
    And "r1" was dispatched 1 times

  Scenario: A late copy doesn't repeat a dispatch that never started (grant WITHOUT_ONCE)
    The upstream refused the connection, so the entry is told that the request never
    ran and grants it elsewhere; the late copy must not run it here as well.
    Given a traced agent that joined at offset 5
    When the traced agent pulls
    And "r1" arrives on its pull 1
    And the upstream refuses the connection for "r1"
    And "r1" arrives on its pull 1
    Then the traced agent answered "Granted, Refused, Refused"
    And "r1" was dispatched 1 times

  Scenario: A grant on an expired nonce is refused (grant WITHOUT_NONCE)
    Given a traced agent that joined at offset 5
    When the traced agent pulls
    And 2 s pass at the traced agent
    And "r1" arrives on its pull 1
    Then the traced agent answered "Refused"
    And "r1" was dispatched 0 times

  Scenario: A stamp below the join offset is refused (resend WITHOUT_STAMP)
    A re-send elsewhere may have read the roster before this agent joined: it
    claimed the key at every agent but this one, and may already run.
    Given a traced agent that joined at offset 5
    When the traced agent pulls
    And "r1" of key "k" arrives on its pull 1 with stamp 4
    Then the traced agent answered "Refused"
    And "r1" was dispatched 0 times

  Scenario: An agent that hasn't joined runs nothing keyed (resend WITHOUT_JOIN_FIRST)
    The roster does not name it, so no re-send would ask it for the key.
    Given a traced agent that has not joined
    When the traced agent pulls
    And "r1" of key "k" arrives on its pull 1 with stamp 5
    Then the traced agent answered "Refused"
    And "r1" was dispatched 0 times

  Scenario: A claimed key refuses the first send's late grant, also when the claim is given back (resend WITHOUT_FENCE and WITHOUT_BURN)
    The first send's grant was refused. A copy of it that arrives after the claim
    was released must be refused too.
    Given a traced agent that joined at offset 5
    When the traced agent pulls
    And "r2" claims key "k"
    And "r1" of key "k" arrives on its pull 1 with stamp 5
    And "r2" releases its claim of key "k"
    And "r1" of key "k" arrives on its pull 1 with stamp 5
    Then the traced agent answered "Claimed r2, Refused, Refused"
    And "r1" was dispatched 0 times

  Scenario: A claim tells of the run of the first send (resend WITHOUT_CLAIM)
    Given a traced agent that joined at offset 5
    When the traced agent pulls
    And "r1" of key "k" arrives on its pull 1 with stamp 5
    And "r2" claims key "k"
    Then the traced agent answered "Granted, Claimed r1"

  Scenario: Once its keys are handed over, an agent takes no claim (resend WITHOUT_STOP_FIRST)
    The claim would be lost with the process, and the heir could accept another
    attempt's claim of the key: both attempts would hold every claim.
    Given a traced agent that joined at offset 5
    When "r1" claims key "other"
    And the traced agent leaves and hands its keys over
    And "r2" claims key "k"
    Then the traced agent answered "Claimed r1"

  Scenario: A late refusal of an older grant frees nothing (grant WITHOUT_NONCE_NAMED)
    The request was refused on the first pull, granted again on the second and runs
    there. A late copy of the refusal must not make the entry grant it elsewhere.
    Given a traced entry that knows agents "a, b"
    When first send "r1" comes to the traced entry
    And agent "a" pulls from the traced entry on nonce "n1"
    And agent "a" refuses "r1" on nonce "n1"
    And agent "a" pulls from the traced entry on nonce "n2"
    And agent "a" refuses "r1" on nonce "n1"
    And agent "b" pulls from the traced entry on nonce "n3"
    Then "r1" was granted to "a, a"

  Scenario: Silence after a grant doesn't free it (grant WITHOUT_REVOKED and WITHOUT_SENDER)
    Given a traced entry that knows agents "a, b"
    When first send "r1" comes to the traced entry
    And agent "a" pulls from the traced entry on nonce "n1"
    And 5 s pass at the traced entry
    And agent "b" refuses "r1" on nonce "n1"
    And agent "b" pulls from the traced entry on nonce "n1"
    Then "r1" was granted to "a"
    And "a" was asked to revoke "r1"

  Scenario Outline: A "<answer>" is believed only for a time (grant WITHOUT_HOLD)
    The entry was paused for longer than the ledger remembers a run that has ended.
    A late copy of the grant, or a revocation, then finds no run, which doesn't show
    that the request never ran.
    Given a traced entry that knows agents "a, b"
    When first send "r1" comes to the traced entry
    And agent "a" pulls from the traced entry on nonce "n1"
    And the traced entry is paused for 200 s
    And agent "a" answers "<answer>" for "r1" on nonce "n1"
    And agent "b" pulls from the traced entry on nonce "n2"
    Then "r1" was granted to "a"
    And "r1" was answered with ran "unknown"

    Examples:
      | answer        |
      | Refused       |
      | Revoked never |

  Scenario: A dropped re-send is not told "not run" (resend WITHOUT_UNKNOWN_RESEND)
    The re-send holds every claim and waits; the key has not run. When it is dropped,
    its claims are released. The first send still waits in another entry and can be
    granted: "not run" would have been false.
    Given a traced entry that knows agents "a, b"
    When re-send "r2" of key "k" comes to the traced entry
    And the traced entry reads the roster to offset 2
    And agents "a, b" grant the claim of "r2" on key "k"
    And the caller's time for "r2" runs out
    Then "a, b" were sent the release of the claim of "r2"
    And "r2" was answered with ran "unknown"

  Scenario: A first send whose key another attempt holds is not told "not run"
    An agent refuses it because a re-send has claimed the key. Its deadline passes
    before its own round of claims is answered. It did not run, but the key may:
    its caller must not start over.
    Given a traced entry that knows agents "a, b"
    When keyed first send "r1" of key "k" comes to the traced entry
    And agent "a" pulls from the traced entry on nonce "n1"
    And agent "a" finds that another attempt holds the key of "r1"
    And the caller's time for "r1" runs out
    Then "r1" was answered with ran "unknown"

  Scenario: A re-send is granted only when every agent of the roster has answered (resend WITHOUT_ALL_INCARNATIONS)
    Given a traced entry that knows agents "a, b"
    When re-send "r2" of key "k" comes to the traced entry
    And the traced entry reads the roster to offset 2
    And agents "a" grant the claim of "r2" on key "k"
    And agent "a" pulls from the traced entry on nonce "n1"
    And 3 s pass at the traced entry
    Then "r2" was granted to ""
    And "r2" was answered with ran "unknown"

  Scenario: A roster that can't be read makes a re-send unknown (resend WITHOUT_FRESH_READ)
    Given a traced entry that knows agents "a, b"
    When re-send "r2" of key "k" comes to the traced entry
    And the traced entry can't read the roster
    Then "r2" was granted to ""
    And "r2" was answered with ran "unknown"

  Scenario: A granted re-send that is given up keeps its claims (resend WITHOUT_UNGRANTED)
    Its grant may still be in flight. If the claims were released, another attempt
    could claim the key everywhere and run, and the late grant would run too.
    Given a traced entry that knows agents "a, b"
    When re-send "r2" of key "k" comes to the traced entry
    And the traced entry reads the roster to offset 2
    And agents "a, b" grant the claim of "r2" on key "k"
    And agent "a" pulls from the traced entry on nonce "n1"
    And the caller's time for "r2" runs out
    Then "r2" was granted to "a"
    And "" were sent the release of the claim of "r2"
    And "r2" was answered with ran "unknown"

  Scenario: A dead agent's successor can't speak for its keys (resend WITHOUT_UPSTREAM_DOUBT)
    A request that the dead agent dispatched may still be in flight to the upstream,
    so neither the successor nor the upstream can rule out that the key ran.
    Given a traced entry that knows agents "a, b"
    And agent "a" has a successor in the roster
    When re-send "r2" of key "k" comes to the traced entry
    And the traced entry reads the roster to offset 3
    And agents "b, a" grant the claim of "r2" on key "k"
    Then "r2" was granted to ""
    And "r2" was answered with ran "unknown"

  Scenario: Pieces come late, doubled and out of order
    The caller gets each part once, in order, and then the end.
    Given a traced entry that knows agents "a"
    When first send "r1" comes to the traced entry
    And agent "a" pulls from the traced entry on nonce "n1"
    And pieces "2, 0, 1, 1, end 4" of "r1" come from agent "a"
    Then the caller of "r1" was given "Head, 1, 2, AnswerEnd"

  Scenario: An end that counts more pieces than came is no clean end
    Given a traced entry that knows agents "a"
    When first send "r1" comes to the traced entry
    And agent "a" pulls from the traced entry on nonce "n1"
    And pieces "0, 1, 2, end 5" of "r1" come from agent "a"
    Then the caller of "r1" was given "Head, 1, 2, AnswerBroken"

  Scenario: What comes back from a grant below a floor is dropped (shedding WITHOUT_PUT_BACK)
    A peer sheds a higher tier because no lower one is kept at any entry. A granted
    request of a lower tier that did not run must not be queued again.
    Given a traced entry that knows agents "a"
    When first send "r1" comes to the traced entry
    And agent "a" pulls from the traced entry on nonce "n1"
    And a peer of the traced entry announces a floor at tier 3
    And agent "a" refuses "r1" on nonce "n1"
    Then "r1" was answered with ran "no"

  Scenario: A peer drops what is below a floor before it says so (shedding WITHOUT_DROPPING)
    Given a traced entry that knows agents "a"
    When first send "r1" comes to the traced entry
    And a peer of the traced entry announces a floor at tier 3
    And first send "r2" comes to the traced entry
    Then "r1" was answered with ran "no"
    And "r2" was answered with ran "no"
    And the traced entry holds the floor of its peer

  Scenario: An upstream that the platform calls leaving is granted nothing
    Its agent may not know yet, or be dead with pulls still in flight.
    Given a traced entry that knows agents "a, b"
    When the platform calls agent "a" leaving
    And first send "r1" comes to the traced entry
    And agent "a" pulls from the traced entry on nonce "n1"
    And agent "b" pulls from the traced entry on nonce "n2"
    Then "r1" was granted to "b"

  Scenario: An entry that stops ends when its last request has
    Given a traced entry that knows agents "a"
    When first send "r1" comes to the traced entry
    And the traced entry is told to stop
    Then the traced daemon has not ended
    When agent "a" pulls from the traced entry on nonce "n1"
    And pieces "0, 1, end 3" of "r1" come from agent "a"
    Then the caller of "r1" was given "Head, 1, AnswerEnd"
    And the traced daemon has ended

  Scenario: An agent that stops finishes what runs before it hands over
    Given a traced agent that joined at offset 5
    When the traced agent pulls
    And "r1" of key "k" arrives on its pull 1 with stamp 5
    And the traced agent is told to stop
    And 10 s pass at the traced agent
    Then the traced agent has not looked for an heir yet
