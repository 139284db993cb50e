"""Steps about the soak: its seeds, and what its checks notice."""

import pathlib
import re
import tempfile

import attrs
from behave import given, then, when

from soak import checks, events, schedule
from soak.callers import KINDS, REVOKED_KEY, Sent
from soak.events import EntryPaused, Event, OddRecord, VersionChanged
from soak.record import Arrival, Published, Record, Run, Span
from soak.run import Soak
from standins.oddrecords import UNUSABLE
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
        deadline_s=5.0,
        ended_s=at_s + 0.5,
        answer=answer,
        connected=True,
    )
    return attrs.evolve(base, **changes)


def run(name: str, at_s: float, upstream: str = "desk-1") -> Run:
    return Run(attempt_id=name, upstream=upstream, began_s=at_s, signed_status=200)


@given("a soak's record in which every promise is kept")
def step_record(context):
    context.record = Record(
        sent=(sent("plain", at_s=10.0),),
        runs=(run("plain", 10.1),),
        disturbed=(),
        stops=(),
        silences=(),
        published=Published(
            versions_s={1: 0.0, 2: 20.0},
            versions_sent_s={1: 0.0, 2: 20.0},
            revoked_s=20.0,
            leaving=(Span(subject="model-1", from_s=20.0, to_s=40.0),),
        ),
    )
    assert checks.breaches(context.record) == []


def answered(each: Sent, **changes) -> Sent:
    """Return an attempt with its answer changed; a failure is its entry's own."""
    if changes.get("status", 200) != 200:
        changes = {"headers": {"retry-after": "1"}} | changes
    return attrs.evolve(each, answer=attrs.evolve(each.answer, **changes))


REST = {
    "refuses the rest": lambda each: answered(each, status=503),
    "is over a limit for them": lambda each: answered(each, status=429),
    "leaves the rest unread": lambda each: attrs.evolve(each, answer=None),
}


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
            # Broken off at its deadline, so that only the piece is wrong.
            late = attrs.evolve(stream, ended_s=stream.sent_s + stream.deadline_s)
            foreign = answered(late, body=b"id: 7\ndata: x\n\n", whole=False)
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
        case "a stream has events of two versions":
            body = of_versions("v1", "v1", "v2", "v2", "v2")
            return [answered(stream, body=body)], [run("more", 30.1)], []
        case "a stream was taken up at another version":
            late = attrs.evolve(stream, ended_s=stream.sent_s + stream.deadline_s)
            cut = answered(late, body=of_versions("v1", "v1"), whole=False)
            rest = of_versions("", "", "v2", "v2", "v2").partition(b"id: 2")[2]
            again = sent("again", at_s=36.0, kind=KINDS["stream"])
            again = attrs.evolve(again, resumes="more", after_event=1)
            again = answered(again, body=b"id: 2" + rest)
            return [cut, again], [run("more", 30.1), run("again", 36.1)], []
        case "a request was held past its deadline":
            held = attrs.evolve(sent("more", at_s=30.0), ended_s=35.6)
            return [held], [run("more", 30.1)], []
        case "an innocent request is refused as a crash":
            refused = answered(stream, status=503, body=b"crashes_upstreams")
            return [refused], [], []
    raise AssertionError(change)


def of_versions(*versions: str) -> bytes:
    """Return a stream whose events name these software versions."""
    return b"".join(
        f"id: {n}\ndata: {f'piece {n} {each}'.rstrip()}\n\n".encode()
        for n, each in enumerate(versions)
    )


@when("upstreams crash on content {when_s} s after the first")
def step_crashes(context, when_s):
    after_s = [float(each) for each in re.findall(r"[0-9.]+", when_s)]
    crashes_s = tuple(10.0 + each for each in (0.0, *after_s))
    context.record = attrs.evolve(context.record, crashes_s=crashes_s)


@when("the crashes were those of a part of prompts")
def step_by_part(context):
    context.record = attrs.evolve(context.record, crashes_by_part=True)


@when(
    "most new connections come to entry-1, which then serves {served:d} of {count:d} "
    "requests, and {others}"
)
def step_shifted(context, served, count, others):
    before = [sent(f"before-{n}", at_s=50.0 + n * 0.05) for n in range(40)]
    now = [sent(f"now-{n}", at_s=56.1 + n * 0.02) for n in range(count)]
    kept, rest = now[:served], now[served:]
    rest = [REST[others](each) for each in rest]
    context.record = attrs.evolve(
        context.record,
        sent=(*context.record.sent, *before, *kept, *rest),
        runs=(
            *context.record.runs,
            *(run(each.attempt_id, each.sent_s) for each in (*before, *kept)),
        ),
        shifts=(Span(subject="entry-1", from_s=53.0, to_s=58.0),),
    )


@then(
    "of the seeds {first:d} to {last:d} some have contents that crash upstreams, and "
    "some have parts"
)
def step_has_parts(context, first, last):
    by_part = {
        event.action.by_part
        for seed in range(first, last + 1)
        for event in schedule.draw(seed)
        if isinstance(event.action, events.ContentCrashes)
    }
    assert by_part == {True, False}


@then(
    "each of the seeds {first:d} to {last:d} has two entries that get most new "
    "connections"
)
def step_has_shifts(context, first, last):
    for seed in range(first, last + 1):
        favoured = {
            event.action.entry
            for event in schedule.draw(seed)
            if isinstance(event.action, events.ConnectionsShifted)
        }
        assert len(favoured) == 2, seed


@then("{count:d} of the checks find a breach")
def step_count(context, count):
    assert len(checks.breaches(context.record)) == count


@then(
    "each of the seeds {first:d} to {last:d} has content that crashes upstreams, at "
    "both addresses"
)
def step_content(context, first, last):
    actions = [
        event.action
        for seed in range(first, last + 1)
        for event in schedule.draw(seed)
        if isinstance(event.action, events.ContentCrashes)
    ]
    assert len(actions) == last + 1 - first
    assert {each.same_address for each in actions} == {True, False}


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


@attrs.frozen(kw_only=True)
class StreamEnd:
    """How a stream that was sent at 30 s ended, and what overlapped it.

    Times are in seconds on the record's clock; without `stop_s` there was no stop.
    """

    ended_s: float
    deadline_s: float = 5.0
    stop_s: float | None = None
    whole: bool = False
    status: int = 200
    silence: bool = True


# A stop at 29 s has its grace time until 37 s, and the last sixth begins at 35.67 s.
STREAM_ENDS = {
    "came whole": StreamEnd(ended_s=32.9, whole=True),
    "came whole in a stop": StreamEnd(ended_s=32.9, stop_s=30.2, whole=True),
    "was cut": StreamEnd(ended_s=31.6),
    "was given up before its first event": StreamEnd(
        ended_s=31.4, whole=True, status=502
    ),
    "was given up in a stop before its first event": StreamEnd(
        ended_s=31.4, whole=True, status=502, stop_s=30.2
    ),
    "was given up at its deadline": StreamEnd(ended_s=35.01, whole=True, status=504),
    "was cut a little before its deadline": StreamEnd(ended_s=34.9),
    "was cut at its deadline": StreamEnd(ended_s=35.01),
    "was cut by a stop": StreamEnd(ended_s=31.6, stop_s=30.2),
    "was cut at its deadline in a stop": StreamEnd(ended_s=35.01, stop_s=30.2),
    "reached its deadline in a stop, with no silence": StreamEnd(
        ended_s=35.01, stop_s=30.2, silence=False
    ),
    "was cut in the fifth sixth of the grace time": StreamEnd(
        ended_s=35.6, deadline_s=9.0, stop_s=29.0
    ),
    "was cut in the last sixth of the grace time": StreamEnd(
        ended_s=35.7, deadline_s=9.0, stop_s=29.0
    ),
    "came late in a stop and was cut": StreamEnd(ended_s=31.6, stop_s=27.5),
    "came late and was cut in the last sixth of a stop": StreamEnd(
        ended_s=34.2, stop_s=27.5
    ),
}


@when("a silent upstream's stream {end}")
def step_stream_end(context, end):
    wanted = STREAM_ENDS[end]
    stream = sent(
        "more",
        at_s=30.0,
        kind=KINDS["stream"],
        deadline_s=wanted.deadline_s,
        ended_s=wanted.ended_s,
    )
    body = STREAM if wanted.whole else STREAM[:23]
    ended = answered(stream, body=body, whole=wanted.whole, status=wanted.status)
    silences = [Span(subject="model-2", from_s=30.2, to_s=32.8)]
    stops = [
        Span(subject="entry-1", from_s=since_s, to_s=since_s + 8.0)
        for since_s in (wanted.stop_s,)
        if since_s is not None
    ]
    record = context.record
    context.record = attrs.evolve(
        record,
        sent=(*record.sent, ended),
        runs=(*record.runs, run("more", 30.1, "model-2")),
        silences=tuple(silences if wanted.silence else ()),
        stops=tuple(stops),
    )


@then("each of the seeds {first:d} to {last:d} has entries stopped around a silence")
def step_silences(context, first, last):
    for seed in range(first, last + 1):
        drawn = schedule.draw(seed)
        spans = [
            (event.at_s, event.at_s + event.length_s)
            for event in drawn
            if isinstance(event.action, events.UpstreamSilent)
        ]
        stops = [
            event.at_s
            for event in drawn
            if isinstance(event.action, events.EntryStopped)
        ]
        assert spans, drawn
        for from_s, to_s in spans:
            assert 1.5 <= to_s - from_s <= 3.0, drawn
            around = [at_s for at_s in stops if from_s - 1.0 <= at_s <= to_s]
            assert len(around) > 1, drawn


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


SIGNALS = {
    "it leaves": {"Server-Leaving": "1"},
    "it takes 1 a second": {"Server-Limit": "1"},
    "it wants 3 s of rest": {"Retry-After": "3"},
}
# When those requests are sent, in seconds after the upstream's word.
SENT_AFTER_S = {
    "1 request after 2.1 s": [2.1],
    "1 request after 1.9 s": [1.9],
    "12 requests from 3 s to 5 s": [3.0 + n / 6 for n in range(12)],
    "11 requests from 3 s to 5 s": [3.0 + n / 6 for n in range(11)],
    "3 requests from 1 s to 2 s": [1.0, 1.4, 1.8],
    "2 requests from 1 s to 2 s": [1.0, 1.8],
    "3 requests from 3 s to 5 s": [3.1, 3.4, 4.8],
}
TOLD_S = 50.0


@when("an upstream says that {words}, and gets {requests} later on")
def step_says(context, words, requests):
    signals = SIGNALS[words]
    told = sent("told", at_s=TOLD_S - 0.5)
    headers = {name.lower(): value for name, value in signals.items()}
    told = answered(
        told, headers=told.answer.headers | headers | {"x-instance-id": "desk-1"}
    )
    later = [
        sent(f"later-{number}", at_s=TOLD_S + after_s)
        for number, after_s in enumerate(SENT_AFTER_S[requests])
    ]
    arrivals = [
        Arrival(
            upstream="desk-1",
            at_s=each.sent_s,
            attempt_id=each.attempt_id,
            # The pause is asked for once.
            signals={} if "Retry-After" in signals else signals,
        )
        for each in (attrs.evolve(told, sent_s=TOLD_S), *later)
    ]
    arrivals[0] = attrs.evolve(arrivals[0], signals=signals)
    record = context.record
    context.record = attrs.evolve(
        record,
        sent=(*record.sent, told, *later),
        runs=(
            *record.runs,
            *(run(each.attempt_id, each.sent_s) for each in (told, *later)),
        ),
        arrivals=tuple(arrivals),
        leaving_said=(
            (Span(subject="desk-1", from_s=49.0, to_s=60.0),)
            if words == "it leaves"
            else ()
        ),
    )


@when("the entry was paused right after that")
def step_paused_after(context):
    paused = Span(subject="entry-1", from_s=TOLD_S + 0.5, to_s=TOLD_S + 0.8)
    context.record = attrs.evolve(context.record, disturbed=(paused,))


@then("each of the seeds {first:d} to {last:d} has upstreams without length or chunks")
def step_has_framings(context, first, last):
    crashes = set()
    for seed in range(first, last + 1):
        found = {
            event.action.crashes
            for event in schedule.draw(seed)
            if isinstance(event.action, events.AnswersUnframed)
        }
        assert found, seed
        crashes |= found
    assert crashes == {True, False}, crashes


@then(
    "each of the seeds {first:d} to {last:d} has upstreams that send without end, at "
    "both paces"
)
def step_has_endless(context, first, last):
    gaps_s = set()
    for seed in range(first, last + 1):
        found = {
            event.action.gap_s
            for event in schedule.draw(seed)
            if isinstance(event.action, events.AnswersEndless)
        }
        assert found, seed
        gaps_s |= found
    assert gaps_s == set(schedule.ENDLESS_GAPS_S), gaps_s


@then(
    "each of the seeds {first:d} to {last:d} has a store that goes back while it is "
    "written"
)
def step_has_copies(context, first, last):
    for seed in range(first, last + 1):
        (event,) = (
            each
            for each in schedule.draw(seed)
            if isinstance(each.action, events.StoreGoesBack)
        )
        takes_s = event.length_s + event.action.away_s + event.action.again_s
        assert event.length_s > 0 and takes_s < checks.REVOKE_S, event


@then(
    "each of the seeds {first:d} to {last:d} has odd records, and all topics have some"
)
def step_odd_records(context, first, last):
    context.schedules = [schedule.draw(seed) for seed in range(first, last + 1)]
    topics = set()
    for drawn in context.schedules:
        odd = [each.action for each in drawn if isinstance(each.action, OddRecord)]
        assert odd
        topics |= {each.topic for each in odd}
    assert topics == set(UNUSABLE)


@then("some have an entry that stands still while a version changes")
def step_missed_changes(context):
    def misses_change(drawn: list[Event]) -> bool:
        changes = [e.at_s for e in drawn if isinstance(e.action, VersionChanged)]
        return any(
            each.at_s <= at_s <= each.at_s + each.length_s
            for each in drawn
            if isinstance(each.action, EntryPaused)
            for at_s in changes
        )

    assert sum(map(misses_change, context.schedules)) >= len(context.schedules) / 4
