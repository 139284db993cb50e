"""Steps about the soak: its seeds, and what its checks notice."""

import pathlib
import tempfile

import attrs
from behave import given, then, when

from soak import checks
from soak.callers import KINDS, REVOKED_KEY, Sent
from soak.checks import Published, Record, Run, Span
from soak.run import Soak
from standins.platformdeployment import KEY, Answer

STREAM = b"".join(b"id: %d\ndata: piece %d\n\n" % (n, n) for n in range(5))


@when("the soak plays seed {seed:d}")
def step_play(context, seed):
    with tempfile.TemporaryDirectory() as directory:
        context.outcome = Soak(seed=seed, directory=pathlib.Path(directory)).run()


@then("it breaks no promise")
def step_kept(context):
    assert not context.outcome.breaches, context.outcome


def sent(name: str, *, at_s: float, **changes) -> Sent:
    """Return a plain request that came whole half a second after `at_s`."""
    answer = Answer(
        status=200,
        headers={"x-attempt-id": name, "x-response-signature": "signed"},
        body=f"answer to {name}".encode(),
        whole=True,
        took_s=0.5,
    )
    base = Sent(
        attempt_id=name,
        entry="entry-1",
        pid=1,
        kind=KINDS["pay"],
        key=KEY,
        sent_s=at_s,
        ended_s=at_s + 0.5,
        answer=answer,
        connected=True,
    )
    return attrs.evolve(base, **changes)


def run(name: str, at_s: float, upstream: str = "desk-1") -> Run:
    return Run(attempt_id=name, upstream=upstream, began_s=at_s)


@given("a soak's record in which every promise is kept")
def step_record(context):
    context.record = Record(
        sent=(sent("plain", at_s=10.0),),
        runs=(run("plain", 10.1),),
        disturbed=(),
        stops=(),
        published=Published(
            versions_s={1: 0.0, 2: 20.0},
            versions_sent_s={1: 0.0, 2: 20.0},
            revoked_s=20.0,
            leaving=(Span(subject="model-1", from_s=20.0, to_s=40.0),),
        ),
    )
    assert checks.breaches(context.record) == []


def answered(each: Sent, **changes) -> Sent:
    return attrs.evolve(each, answer=attrs.evolve(each.answer, **changes))


def versioned(name: str, at_s: float, version: int, status: int = 200) -> Sent:
    each = sent(name, at_s=at_s, kind=KINDS["look"], version=version)
    return answered(each, status=status)


def changed(record: Record, change: str) -> tuple[list[Sent], list[Run], list[Span]]:
    """Return what the change adds: attempts, runs and stops."""
    stream = sent("more", at_s=30.0, kind=KINDS["stream"])
    match change:
        case "a single request ran twice":
            return [], [run("plain", 10.2)], []
        case "a refused single request ran":
            refused = answered(sent("more", at_s=30.0), status=503)
            return [refused], [run("more", 30.1)], []
        case "a whole answer lacks an event":
            return [answered(stream, body=STREAM[:-20])], [run("more", 30.1)], []
        case "a stream breaks off after a foreign piece":
            foreign = answered(stream, body=b"id: 7\ndata: x\n\n", whole=False)
            return [foreign], [run("more", 30.1)], []
        case "a revoked key's request ran late":
            return [sent("more", at_s=26.0, key=REVOKED_KEY)], [run("more", 26.1)], []
        case "an older version came back":
            newer, older = versioned("a", 21.0, 2), versioned("b", 21.6, 1)
            return [newer, older], [run("a", 21.1), run("b", 21.7)], []
        case "a new version was unknown for too long":
            return [versioned("a", 23.0, 2, status=404)], [], []
        case "an upstream that leaves got a new request":
            return [sent("more", at_s=23.0)], [run("more", 23.1, "model-1")], []
        case "a stop cut a request off":
            stop = Span(subject="entry-1", from_s=30.2, to_s=33.0)
            return [sent("more", at_s=30.0, answer=None)], [run("more", 30.1)], [stop]
    raise AssertionError(change)


@when("it is changed: {change}")
def step_change(context, change):
    record = context.record
    more_sent, more_runs, stops = changed(record, change)
    context.record = attrs.evolve(
        record,
        sent=(*record.sent, *more_sent),
        runs=(*record.runs, *more_runs),
        stops=tuple(stops),
    )


@when("its entry was paused meanwhile")
def step_paused(context):
    pause = Span(subject="entry-1", from_s=21.0, to_s=22.0)
    context.record = attrs.evolve(context.record, disturbed=(pause,))


@then('the check "{name}" finds one breach, and no other does')
def step_one_breach(context, name):
    found = checks.breaches(context.record)
    assert len(found) == 1 and found[0].startswith(f"{name}: "), found


@then("no check finds a breach")
def step_no_breach(context):
    assert checks.breaches(context.record) == []
