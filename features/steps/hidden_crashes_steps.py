"""Steps about crashes of upstreams that look like something else."""

import itertools

import attrs
from behave import given, then, when

from features.modeltraces import make_agent
from features.steps.agent_backpressure_steps import grant
from features.steps.crash_evidence_steps import (
    RUN_S,
    SILENCE_S,
    TOLD_S,
    drop,
    meet_announced,
    run_attempt,
    start,
)
from lavenderspoke import messages
from lavenderspoke.agentevents import RunBroken
from lavenderspoke.direct.dispatcher import AttemptOutcome
from lavenderspoke.model import InstanceId

# Time between two ends, in seconds, so that each is judged by itself.
APART_S = 5.0
LATER = InstanceId(name="later", incarnation="1")


@attrs.frozen(kw_only=True)
class FakePool:
    """Connections to an upstream; whether they are refused, None if that gets lost."""

    refused: bool | None

    def is_refused(self, *, settle_s: float) -> bool | None:
        return self.refused


def refuse_connection(context, entry: str, name: str) -> None:
    dispatcher = context.fleet.entries[entry].dispatcher
    dispatcher.connection_refused(context.upstreams[name])
    context.fleet.run(TOLD_S)


@when(
    '"{content}" ends as "{answer}" at {name} through {entry}, '
    "and {other} is refused a connection there"
)
def step_refused_elsewhere(context, content, answer, name, entry, other):
    run_attempt(context, entry, content, name, answer)
    refuse_connection(context, other, name)
    context.fleet.run(APART_S)


@when('"{content}" breaks off at the announced ends of {names}')
def step_announced(context, content, names):
    for name in names.replace(" and ", ", ").split(", "):
        meet_announced(context, content, name, "entry-0")
        context.fleet.run(APART_S)


@when(
    '"{content}" is silent at {name} as the list drops it, '
    "and its connection is reset later"
)
def step_reset_later(context, content, name):
    attempt = start(context, "entry-0", content, context.upstreams[name])
    drop(context, name)
    context.fleet.run(SILENCE_S)
    attempt.end(AttemptOutcome.BROKEN)
    context.fleet.run(APART_S)


@when('"{content}" is silent at {names} in turn, and no entry can connect to {them:w}')
def step_unreachable(context, content, names, them):
    for name in names.replace(" and ", ", ").split(", "):
        attempt = start(context, "entry-0", content, context.upstreams[name])
        others = [
            start(context, entry, "another request", context.upstreams[name])
            for entry in context.fleet.entries
        ]
        context.fleet.run(SILENCE_S)
        attempt.end(AttemptOutcome.SILENT)
        for other in others:
            other.end(AttemptOutcome.UNREACHABLE)
        context.fleet.run(APART_S)


@when("{names} answer another request later")
def step_answer_later(context, names):
    for name in names.replace(" and ", ", ").split(", "):
        run_attempt(context, "entry-1", f"other-{name}", name, "answered")
    context.fleet.run(TOLD_S)


@when(
    'the caller of "{content}" at {name} leaves, and {delay_s:g} s later {entry} is '
    "refused a connection there"
)
def step_left(context, content, name, delay_s, entry):
    attempt = start(context, "entry-0", content, context.upstreams[name])
    context.fleet.run(RUN_S)
    attempt.end(AttemptOutcome.LEFT)
    context.fleet.run(delay_s)
    refuse_connection(context, entry, name)
    context.fleet.run(APART_S)


@when(
    '"{content}" breaks off at {name} through {entry}, '
    "which learns {delay_s:g} s later that nothing listens there"
)
def step_checked_again(context, content, name, entry, delay_s):
    check_twice(context, content, name, entry, delay_s, FakePool(refused=None))


@when(
    '"{content}" breaks off at {name} through {entry}, '
    "which is let in there until {delay_s:g} s later"
)
def step_let_in(context, content, name, entry, delay_s):
    check_twice(context, content, name, entry, delay_s, FakePool(refused=False))


def check_twice(context, content, name, entry, delay_s, first_pool) -> None:
    """Have an entry check an upstream after a broken answer, and later again."""
    dispatcher = context.fleet.entries[entry].dispatcher
    checks = dispatcher.crash_checks
    checks.connection_pool = lambda upstream: first_pool
    run_attempt(context, entry, content, name, "broken")
    dispatcher.check_ended(context.upstreams[name])
    context.fleet.run(delay_s)
    checks.connection_pool = lambda upstream: FakePool(refused=True)
    checks.check_again()
    context.fleet.run(APART_S)


@given('an agent whose upstream crashed while "{content}" ran')
def step_agent_crashed(context, content):
    context.trace = make_agent(0)
    context.numbers = itertools.count(1)
    context.trace.now_s = 1.0
    demand = messages.Demand(service="s", waiting={0: 1})
    pulls = [
        each
        for each in context.trace.receive(demand)
        if isinstance(each, messages.Pull)
    ]
    (request_id,) = grant(context, pulls[0])
    broken = RunBroken(request_id=request_id, detail="reset", crashed=True)
    context.trace.feed(broken)
    (context.evidence,) = [
        each.message for each in context.trace.sent(messages.CrashEvidence)
    ]


@when("a further entry announces itself to the agent")
def step_announces(context):
    context.trace.now_s += 60.0
    announce = messages.EntryAnnounce(address="l", data_centre="d")
    context.told = context.trace.receive(announce, LATER)


@then("the agent tells that entry of the crash")
def step_told(context):
    told = [each for each in context.told if isinstance(each, messages.CrashEvidence)]
    assert told == [attrs.evolve(context.evidence, age_s=60.0)], told
