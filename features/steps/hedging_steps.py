"""Steps about second attempts of plain requests, with fakes of the dispatcher."""

import threading
import time
from random import Random

import attrs
from behave import given, then, when

from features.entryfleet import UPSTREAM, make_ticket
from features.steps.direct_handling_steps import (
    FewSlotsDispatcher,
    StepwiseUpstream,
    accepted_request,
    handler_for,
    upstream_at,
)
from lavenderspoke.clock import ManualClock
from lavenderspoke.direct.catalog import Repeatability
from lavenderspoke.direct.dispatcher import AttemptOutcome, FullResponse
from lavenderspoke.direct.hedging import HedgePlan
from lavenderspoke.direct.office import DirectDispatcher
from lavenderspoke.direct.policies import ALL_POLICIES, NO_POLICIES
from lavenderspoke.direct.runproof import Finding
from lavenderspoke.direct.settings import Bounds
from lavenderspoke.direct.sharing import EntryLocation
from lavenderspoke.model import Ran
from lavenderspoke.observing.metrics import Metrics
from lavenderspoke.problems import Problem

PLAN = HedgePlan(delay_s=0.1, usual_s=0.02)
RELEASED_WITHIN_S = 2.0
RETRIES = 5


class HedgingDispatcher(FewSlotsDispatcher):
    """Hedges after 0.1 s, and counts the slots held at once."""

    def __init__(self, *, upstreams):
        super().__init__(upstreams=upstreams)
        self.retries = RETRIES
        self.results = []
        self.ended: dict[str, AttemptOutcome] = {}

    def hedge_plan(self, accepted):
        return PLAN

    def request_overdue(self, upstream, elapsed_s) -> None:
        pass

    def hedge_ended(self, accepted, result, *, after_s) -> None:
        self.results.append(result)

    def attempt_ended(self, ticket, upstream, accepted, outcome) -> None:
        super().attempt_ended(ticket, upstream, accepted, outcome)
        self.ended[upstream.upstream_id] = outcome


def answer_of(text: str) -> bytes:
    return b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (
        len(text),
        text.encode(),
    )


def add_upstream(context, parts: list[bytes], pause_s: float, then: str) -> None:
    raw = StepwiseUpstream(parts=parts, pause_s=pause_s, then=then)
    context.add_cleanup(raw.close)
    context.raws = [*getattr(context, "raws", []), raw]


@given('an idempotent plain request at an upstream that answers "{text}" after {s:g} s')
def step_plain_request(context, text, s):
    context.changes = {"repeatability": Repeatability.IDEMPOTENT}
    add_upstream(context, [b"", answer_of(text)], s, "keeps")


@given(
    'a plain request that may run once, at an upstream that answers "{text}" '
    "after {s:g} s"
)
def step_once(context, text, s):
    step_plain_request(context, text, s)
    context.changes = {}


@given("an idempotent plain request at an upstream that breaks off after {s:g} s")
def step_plain_breaks(context, s):
    step_plain_request(context, "", s)
    context.raws.pop().close()
    step_another_breaks(context, s)


@given(
    'an idempotent plain request at an upstream that sends "{text}" after {s:g} s and '
    "no end"
)
def step_plain_unframed(context, text, s):
    context.changes = {"repeatability": Repeatability.IDEMPOTENT}
    head = b"HTTP/1.1 200 OK\r\n\r\n"
    add_upstream(context, [b"", head + text.encode()], s, "keeps")


@given("another upstream that breaks off after {s:g} s")
def step_another_breaks(context, s):
    add_upstream(
        context, [b"", b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n"], s, "ends"
    )


@given('another upstream that answers "{text}" at once')
def step_another(context, text):
    add_upstream(context, [answer_of(text)], 0.0, "keeps")


@given('another upstream that answers "{text}" after {s:g} s')
def step_another_later(context, text, s):
    add_upstream(context, [b"", answer_of(text)], s, "keeps")


@given("another upstream that rejects the request")
def step_another_rejects(context):
    head = b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n"
    add_upstream(context, [head], 0.0, "keeps")


@given("no retry is left in the budget")
def step_budget_spent(context):
    context.retries = 0


@given("a target of {target_s:g} s")
def step_target(context, target_s):
    context.changes["target_s"] = target_s


@given("a route that allows {count:d} attempt")
def step_attempts(context, count):
    context.changes["attempts_max"] = count


def create_handler(context) -> None:
    upstreams = [
        upstream_at(raw.port, name=f"u{n}") for n, raw in enumerate(context.raws)
    ]
    context.dispatcher = HedgingDispatcher(upstreams=upstreams)
    context.retries = context.dispatcher.retries = getattr(context, "retries", RETRIES)
    accepted = accepted_request(resumable=False, attempts_max=2)
    route = attrs.evolve(accepted.route, stream=False, **context.changes)
    accepted = attrs.evolve(accepted, route=route)
    context.handler = handler_for(accepted, context.dispatcher)


@when("it is handled")
def step_handled(context):
    create_handler(context)
    began_s = time.monotonic()
    context.answer = context.handler.handle()
    context.took_s = time.monotonic() - began_s
    context.handler.close()


@when("its caller leaves after {s:g} s")
def step_leaves(context, s):
    create_handler(context)
    timer = threading.Timer(s, context.handler.cancel)
    timer.start()
    context.answer = context.handler.handle()
    context.handler.close()
    timer.join()


@then('its caller gets "{text}" within {limit_s:g} s')
def step_gets(context, text, limit_s):
    assert isinstance(context.answer, FullResponse), context.answer
    assert context.answer.body == text.encode(), context.answer
    assert context.took_s < limit_s, context.took_s


@then("it is refused as one that may have run")
def step_refused(context):
    assert isinstance(context.answer, Problem), context.answer
    assert context.answer.ran is Ran.UNKNOWN, context.answer


@then("it ran at {count:d} upstream, with {retries:d} retries")
@then("it ran at {count:d} upstreams, with {retries:d} retry")
def step_ran(context, count, retries):
    assert context.handler.possible_runs == count, context.handler.trail
    assert sum(1 for raw in context.raws if raw.heads) == count
    spent = context.retries - max(0, context.dispatcher.retries)
    assert spent == retries, context.dispatcher.retries


@then('no slot stays held, and the first attempt ended as "{outcome}"')
def step_none_held(context, outcome):
    until_s = time.monotonic() + RELEASED_WITHIN_S
    while context.dispatcher.held and time.monotonic() < until_s:
        time.sleep(0.01)
    assert context.dispatcher.held == [], context.dispatcher.held
    assert len(context.dispatcher.outcomes) == 2, context.dispatcher.outcomes
    ended = context.dispatcher.ended["u0"]
    assert ended is AttemptOutcome(outcome), context.dispatcher.ended


@then('the second attempt is logged as "{result}"')
def step_logged(context, result):
    assert (
        context.handler.hedging.result.value == result
    ), context.handler.hedging.result
    assert [each.value for each in context.dispatcher.results] == [result]


@then("no attempt that was sent is found to be unsent")
def step_findings(context):
    found = [each.finding for each in context.handler.findings]
    assert len(found) == 2 and Finding.NOT_SENT not in found, found


@given(
    "an entry that has answered {count:d} plain requests in {ms:d} ms and {more:d} in "
    "{long_ms:d} ms"
)
def step_learns(context, count, ms, more, long_ms):
    context.accepted = accepted_request(resumable=False, attempts_max=2)
    context.accepted = attrs.evolve(
        context.accepted, route=attrs.evolve(context.accepted.route, stream=False)
    )
    context.entries = {}
    for policies in (ALL_POLICIES, NO_POLICIES):
        clock = ManualClock()
        dispatcher = DirectDispatcher(
            name="entry-1",
            location=EntryLocation(address="tcp://127.0.0.1:1"),
            bounds=Bounds(),
            clock=clock,
            random=Random(1),
            metrics=Metrics(),
            policies=policies,
        )
        dispatcher.upstreams_changed((UPSTREAM,))
        for number, took_ms in enumerate(
            [*[ms] * count, *[long_ms] * more, *[ms] * 10]
        ):
            ticket = make_ticket(f"r{number}", clock.monotonic_s())
            dispatcher.submit(ticket)
            clock.advance(took_ms / 1000)
            dispatcher.attempt_ended(
                ticket, UPSTREAM, context.accepted, AttemptOutcome.ANSWERED
            )
        context.entries[policies] = dispatcher


@then("it hedges a request of that kind after {ms:d} ms")
def step_hedges(context, ms):
    plan = context.entries[ALL_POLICIES].hedge_plan(context.accepted)
    assert abs(plan.delay_s - ms / 1000) < 1e-6, plan


@then("it hedges no request of another kind")
def step_hedges_no_other(context):
    other = attrs.evolve(context.accepted, service="another")
    assert context.entries[ALL_POLICIES].hedge_plan(other) is None


@then("it hedges no request if the policy is disabled")
def step_disabled(context):
    assert context.entries[NO_POLICIES].hedge_plan(context.accepted) is None
