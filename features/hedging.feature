Feature: A second attempt for a plain request that takes unusually long
  Against raw upstreams, with a fake dispatcher that hedges after 100 ms. The load: an
  upstream is slow for a moment, or stops, while a plain request runs there.

  Scenario: The first upstream is silent
    Guards against an idempotent request that is late since it waits for one upstream.
    Given an idempotent plain request at an upstream that answers "first" after 3 s
    And another upstream that answers "second" at once
    When it is handled
    Then its caller gets "second" within 1 s
    And it ran at 2 upstreams, with 1 retry
    And no slot stays held, and the first attempt ended as "left"
    And the second attempt is logged as "won"

  Scenario: The first upstream answers before the second
    Guards against an answer that is thrown away, and a second run that goes on.
    Given an idempotent plain request at an upstream that answers "first" after 0.3 s
    And another upstream that answers "second" after 3 s
    When it is handled
    Then its caller gets "first" within 1 s
    And no slot stays held, and the first attempt ended as "answered"
    And the second attempt is logged as "lost"
    And no attempt that was sent is found to be unsent

  Scenario: The second upstream rejects the request
    Guards against a rejected second attempt that ends the first one.
    Given an idempotent plain request at an upstream that answers "first" after 0.4 s
    And another upstream that rejects the request
    When it is handled
    Then its caller gets "first" within 1 s
    And no slot stays held, and the first attempt ended as "answered"

  Scenario: The first attempt fails while the second one runs
    Guards against a third attempt, or an error though an answer is under way.
    Given an idempotent plain request at an upstream that breaks off after 0.2 s
    And another upstream that answers "second" after 0.4 s
    When it is handled
    Then its caller gets "second" within 1 s
    And it ran at 2 upstreams, with 1 retry
    And no slot stays held, and the first attempt ended as "broken"

  Scenario: Both attempts fail
    Guards against a refusal that says "not run" of a request that two upstreams got.
    Given an idempotent plain request at an upstream that breaks off after 0.2 s
    And another upstream that breaks off after 0.2 s
    When it is handled
    Then it is refused as one that may have run
    And it ran at 2 upstreams, with 1 retry
    And no slot stays held, and the first attempt ended as "broken"

  Scenario: The second upstream answers while the first one's body comes
    Guards against a body that this side has cut off and that passes for an answer.
    Given an idempotent plain request at an upstream that sends "fir" after 0.2 s and no end
    And another upstream that answers "second" after 0.3 s
    When it is handled
    Then its caller gets "second" within 1 s
    And it ran at 2 upstreams, with 1 retry
    And no slot stays held, and the first attempt ended as "left"

  Scenario: No other upstream has a free slot
    Guards against a second attempt that waits, and a retry that is lost without one.
    Given an idempotent plain request at an upstream that answers "first" after 0.3 s
    When it is handled
    Then its caller gets "first" within 1 s
    And it ran at 1 upstream, with 0 retries
    And the second attempt is logged as "no_slot"

  Scenario: The retry budget is spent
    Guards against second attempts beyond the retry budget.
    Given an idempotent plain request at an upstream that answers "first" after 0.3 s
    And another upstream that answers "second" at once
    And no retry is left in the budget
    When it is handled
    Then its caller gets "first" within 1 s
    And it ran at 1 upstream, with 0 retries
    And the second attempt is logged as "no_retry"

  Scenario: A second answer couldn't be on time
    Guards against second attempts that only cost others their slots.
    Given an idempotent plain request at an upstream that answers "first" after 0.3 s
    And another upstream that answers "second" at once
    And a target of 0.05 s
    When it is handled
    Then its caller gets "first" within 1 s
    And it ran at 1 upstream, with 0 retries
    And the second attempt is logged as "too_late"

  Scenario: The request must not run twice
    Guards against a payment that is made twice.
    Given a plain request that may run once, at an upstream that answers "first" after 0.3 s
    And another upstream that answers "second" at once
    When it is handled
    Then its caller gets "first" within 1 s
    And it ran at 1 upstream, with 0 retries

  Scenario: The route allows one attempt
    Guards against more runs than the route allows.
    Given an idempotent plain request at an upstream that answers "first" after 0.3 s
    And another upstream that answers "second" at once
    And a route that allows 1 attempt
    When it is handled
    Then its caller gets "first" within 1 s
    And it ran at 1 upstream, with 0 retries

  Scenario: The caller leaves while both attempts run
    Guards against an attempt that nobody ends.
    Given an idempotent plain request at an upstream that answers "first" after 3 s
    And another upstream that answers "second" after 3 s
    When its caller leaves after 0.3 s
    Then no slot stays held, and the first attempt ended as "left"

  Scenario: An entry learns how long requests take
    Guards against second attempts by a guess, and by a policy that is disabled.
    Given an entry that has answered 50 plain requests in 20 ms and 1 in 500 ms
    Then it hedges a request of that kind after 40 ms
    And it hedges no request of another kind
    And it hedges no request if the policy is disabled
