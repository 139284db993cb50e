"""Steps about an agent whose upstream said something about itself."""

import itertools

import logbook
from behave import given, then, when
from result import Err, Result

from features.helper import stage_of
from features.modeltraces import make_agent, make_keyed_call
from features.steps.orders_steps import LABEL, Documents
from lavenderspoke import messages
from lavenderspoke.agentevents import (
    Dispatch,
    ListedLeaving,
    ResumeRun,
    RunBroken,
    RunEnded,
    RunNotStarted,
    UpstreamHealth,
    UpstreamSignalled,
)
from lavenderspoke.core import Count, Tick
from lavenderspoke.http.upstreamsignals import SignalHeaders, read_signals
from lavenderspoke.observing.metrics import Metrics
from lavenderspoke.ordering import Ordering
from lavenderspoke.reports import agent_report
from lavenderspoke.upstreams.httpupstream import ModelUpstream
from lavenderspoke.upstreams.upstream import UpstreamUnsupported
from lavenderspoke.upstreamwatch import UpstreamWatch

STEP_S = 0.02


def signal(
    context, *, sent_s: float | None = None, status: int = 200, **headers: str
) -> None:
    """Let a response to a request sent at that time arrive, or to one sent now."""
    names = SignalHeaders(limit="limit", leaving="leaving")
    sent_s = context.trace.now_s if sent_s is None else sent_s
    signals = read_signals(status, headers.get, names)
    context.trace.feed(UpstreamSignalled(signals=signals, sent_s=sent_s))


def grant(context, pull: messages.Pull) -> list[str]:
    """Grant all that a pull asks for; return the ids."""
    request_ids = [f"r{next(context.numbers)}" for _ in range(pull.slots)]
    for request_id in request_ids:
        message = messages.Grant(
            nonce=pull.nonce,
            call=make_keyed_call(request_id, None),
            stamp=0,
            deadline_in_s=10.0,
        )
        context.trace.receive(message)
    done = messages.PullDone(service="s", nonce=pull.nonce, granted=pull.slots)
    context.trace.receive(done)
    return request_ids


def start_agent(context) -> None:
    context.logged = logbook.TestHandler()
    context.logged.push_application()
    context.add_cleanup(context.logged.pop_application)
    context.trace = make_agent(0)
    context.numbers = itertools.count(1)
    context.trace.now_s = 1.0


@given("an agent whose upstream names a limit of {per_s} requests per second")
def step_limited(context, per_s):
    start_agent(context)
    signal(context, limit=per_s)


@given("an agent whose upstream says that it leaves")
def step_leaving(context):
    start_agent(context)
    signal(context, leaving="1")


@given('an agent whose upstream asks for a pause of "{value}" s')
def step_pausing(context, value):
    start_agent(context)
    step_pause(context, value)


@when('an agent\'s upstream says "{name}: {value}"')
def step_says(context, name, value):
    start_agent(context)
    status = 503 if name == "Retry-After" else 200
    signal(context, status=status, **{name: value})


@then('the agent logs "{line}" and counts "{reason}"')
def step_tells(context, line, reason):
    assert line in [each.message for each in context.logged.records]
    counted = [each for each in context.trace.actions if isinstance(each, Count)]
    assert counted[-1] == Count(name="upstream_signals", reason=reason), counted


@then('its report says "{held_back}"')
def step_reports(context, held_back):
    expected = None if held_back == "nothing" else held_back
    assert agent_report(context.trace.core)["held_back"] == expected


@when('its upstream asks for a pause of "{value}" s')
def step_pause(context, value):
    signal(context, status=503, **{"Retry-After": value})


@when("the platform's list calls it ready")
def step_listed(context):
    context.trace.feed(ListedLeaving(is_leaving=False))


@when("the entry grants what it is asked for, for {seconds:g} s")
def step_grants(context, seconds):
    trace = context.trace
    before = len(dispatched(context))
    end_s = trace.now_s + seconds
    while trace.now_s < end_s:
        trace.now_s += STEP_S
        demand = messages.Demand(service="s", waiting={0: 50})
        pulls = [
            each for each in trace.receive(demand) if isinstance(each, messages.Pull)
        ]
        for request_id in itertools.chain(*(grant(context, each) for each in pulls)):
            trace.feed(RunEnded(request_id=request_id))
    context.requests = len(dispatched(context)) - before


def dispatched(context) -> list[Dispatch]:
    return [each for each in context.trace.actions if isinstance(each, Dispatch)]


@then("the upstream gets between {least:d} and {most:d} requests")
def step_between(context, least, most):
    assert least <= context.requests <= most, context.requests


@then("the upstream gets at least {least:d} requests")
def step_at_least(context, least):
    assert context.requests >= least, context.requests


@when("a later response says nothing")
@when("a response to a request sent after that names no limit")
def step_no_limit(context):
    context.trace.now_s += 1.0
    signal(context)


@when("a response to an earlier request says nothing")
@when("a response to an earlier request names no limit")
def step_earlier(context):
    signal(context, sent_s=0.5)


@when('a response names a limit of "{value}" to the agent')
def step_invalid(context, value):
    context.trace.now_s += 1.0
    signal(context, limit=value)


@when("the health check fails and succeeds again")
def step_health(context):
    for is_up in (False, True):
        context.trace.feed(UpstreamHealth(is_up=is_up))


@when("a connection is refused and a later health check succeeds")
def step_refused(context):
    context.trace.feed(RunNotStarted(request_id="r0", is_refused=True))
    context.trace.feed(UpstreamHealth(is_up=True))


@when("a connection times out and a health check succeeds")
def step_timed_out(context):
    context.trace.feed(RunNotStarted(request_id="r0", detail="timed out"))
    context.trace.feed(UpstreamHealth(is_up=True))


@given("an agent whose upstream, a stand-in, says that it leaves")
def step_standin_leaving(context):
    step_leaving(context)
    context.engine = stage_of(context).engine("engine")
    context.watch = UpstreamWatch(
        upstream=ModelUpstream(base_url=context.engine.url), post=context.trace.feed
    )
    context.watch.poll()


@when("another process listens after a health check found none")
def step_replaced_later(context):
    context.engine.process.kill()
    context.watch.poll()
    stage_of(context).restart(context.engine)
    context.watch.poll()


@when("another process takes its place between two health checks")
def step_replaced_at_once(context):
    context.engine.process.kill()
    stage_of(context).restart(context.engine)
    context.watch.poll()


@when("a stream there breaks off and is resumed")
def step_breaks(context):
    trace = context.trace
    trace.now_s += 2.0
    trace.feed(Tick())
    demand = messages.Demand(service="s", waiting={0: 1})
    (pull,) = (p for p in trace.receive(demand) if isinstance(p, messages.Pull))
    (request_id,) = grant(context, pull)
    done = trace.feed(RunBroken(request_id=request_id, detail="reset"))
    (context.resume,) = (each for each in done if isinstance(each, ResumeRun))


@then("it is resumed after {least_s:g} s at the earliest")
def step_resumed(context, least_s):
    assert context.resume.delay_s >= least_s, context.resume


@given("an agent that has pulled requests")
def step_pulled(context):
    start_agent(context)
    demand = messages.Demand(service="s", waiting={0: 3})
    context.pulls = [
        each
        for each in context.trace.receive(demand)
        if isinstance(each, messages.Pull)
    ]
    assert context.pulls


@then("it refuses what is granted, so that the entry sends it elsewhere")
def step_refuses(context):
    for pull in context.pulls:
        grant(context, pull)
    assert not dispatched(context)
    refused = {each.message.reason for each in context.trace.sent(messages.Refused)}
    assert refused == {"upstream_paused"}, refused


class CountingUpstream:
    """Counts how often it is asked for its health or its orders."""

    def __init__(self):
        self.asked = 0

    def health(self) -> Result[None, UpstreamUnsupported]:
        self.asked += 1
        return Err(UpstreamUnsupported())

    order_state = health


@then(
    "the upstream is asked for its {subject} {during:d} times in {pause_s:g} s, and "
    "once after {after_s:g} s"
)
def step_asked(context, subject, during, pause_s, after_s):
    trace, upstream = context.trace, CountingUpstream()
    asked_s = trace.now_s

    def is_paused() -> bool:
        return trace.core.backpressure.is_paused(trace.now_s)

    if subject == "health":
        part = UpstreamWatch(upstream=upstream, post=trace.feed, is_paused=is_paused)
    else:
        part = Ordering(
            upstream=upstream,
            documents=Documents(version=1, model="m", labels_checked=()),
            service="narrative",
            label=LABEL,
            is_newest=lambda: True,
            metrics=Metrics(),
            is_paused=is_paused,
        )
    for trace.now_s in (asked_s + 0.1, asked_s + pause_s):
        part.poll()
    assert upstream.asked == during, upstream.asked
    trace.now_s = asked_s + after_s
    part.poll()
    assert upstream.asked == during + 1, upstream.asked
