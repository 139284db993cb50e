"""Steps about parts of prompts that crash upstreams."""

import itertools
import time

import attrs
from behave import given, then, when
from result import Err

from features.platformstage import deploy
from features.steps.content_crashes_steps import (
    SETTLE_S,
    entries_of,
    newly_crashed,
)
from features.steps.crash_evidence_steps import (
    RUN_S,
    TOLD_S,
    Attempt,
    drop,
    list_upstreams,
    new_ticket,
    request,
)
from lavenderspoke.direct.dispatcher import AcceptedRequest, AttemptOutcome
from lavenderspoke.direct.tickets import Dispatch, Refuse
from lavenderspoke.problems import Reason
from lavenderspoke.quarantine.partuse import PartUse

NUMBERS = itertools.count(1)
# The upstream at which sound requests are answered; it never ends.
SOUND = "u20"
# Requests a second of each kind at each entry.
SOUND_PER_S = 4
CRASHING_MODELS = 14
SLOTS = 1000


def parts_request(parts: str, content: str = "") -> AcceptedRequest:
    """Return a request with these parts, unlike all others unless content is given."""
    accepted = request(content or f"content-{next(NUMBERS)}")
    names = () if parts == "none" else tuple(parts.split())
    head = attrs.evolve(accepted.head, shared_parts=names)
    return attrs.evolve(accepted, head=head)


def listed(text: str) -> list[str]:
    """Return the parts of each kind that a step names.

    >>> listed('"a", "a b" and none')
    ['a', 'a b', 'none']
    """
    return [each.strip('" ') for each in text.replace(" and ", ", ").split(", ")]


def admit(context, entry_name: str, accepted: AcceptedRequest):
    return context.fleet.entries[entry_name].dispatcher.admit(accepted)


def give_slots(context) -> None:
    """Have no request wait for another one."""
    if any(each.slots < SLOTS for each in context.upstreams.values()):
        context.upstreams = {
            name: attrs.evolve(each, slots=SLOTS)
            for name, each in context.upstreams.items()
        }
        list_upstreams(context)


def begin(context, entry_name: str, accepted: AcceptedRequest, name: str) -> Attempt:
    """Have a request run at an upstream."""
    give_slots(context)
    entry = context.fleet.entries[entry_name]
    admitted = admit(context, entry_name, accepted)
    assert not isinstance(admitted, Err), admitted
    upstream = context.upstreams[name]
    ticket = new_ticket(context, entry, accepted.fingerprint, upstream)
    entry.dispatcher.submit(ticket)
    decision = context.decisions.get(ticket.request_id)
    assert isinstance(decision, Dispatch), decision
    return Attempt(entry=entry, upstream=upstream, accepted=accepted, ticket=ticket)


def serve_sound(context, kinds: list[str], seconds_s: float) -> None:
    """Have sound requests of each kind answered at every running entry."""
    running = [n for n, e in context.fleet.entries.items() if not e.is_down]
    for _ in range(max(1, round(seconds_s * SOUND_PER_S))):
        attempts = [
            begin(context, entry, parts_request(kind), SOUND)
            for entry in running
            for kind in kinds
        ]
        context.fleet.run(1.0 / SOUND_PER_S)
        for attempt in attempts:
            attempt.end(AttemptOutcome.ANSWERED)


def next_upstream(context) -> str:
    return next(name for name in context.upstreams if name != SOUND)


def crash_with(
    context,
    accepted: AcceptedRequest,
    *beside: AcceptedRequest,
    outcome: AttemptOutcome = AttemptOutcome.BROKEN,
) -> None:
    """Have a request crash an upstream, unless its entry refuses it."""
    running = [n for n, e in context.fleet.entries.items() if not e.is_down]
    number = next(NUMBERS)
    entry = running[number % len(running)]
    if isinstance(admit(context, entry, accepted), Err):
        return
    name = next_upstream(context)
    others = [
        begin(context, running[(number + 1) % len(running)], each, name)
        for each in beside
    ]
    attempt = begin(context, entry, accepted, name)
    context.fleet.run(RUN_S)
    for each in (attempt, *others):
        each.end(outcome)
    attempt.entry.dispatcher.connection_refused(attempt.upstream)
    context.fleet.run(0.1)
    drop(context, name)


@given("sound requests with the parts {kinds} at every entry for {seconds:d} s")
def step_sound(context, kinds, seconds):
    context.kinds = listed(kinds)
    serve_sound(context, context.kinds, seconds)


@given("each entry has answered requests with {count:d} other parts")
def step_many(context, count):
    for name in context.fleet.entries:
        for number in range(0, count, 50):
            parts = " ".join(f"other-{n}" for n in range(number, number + 50))
            begin(context, name, parts_request(parts), SOUND).end(
                AttemptOutcome.ANSWERED
            )
    context.fleet.run(TOLD_S)


@when(
    '{count:d} requests with the parts "{parts}" crash an upstream each, '
    "with sound ones between"
)
def step_crash(context, count, parts):
    for _ in range(count):
        crash_with(context, parts_request(parts), parts_request(context.kinds[0]))
        serve_sound(context, context.kinds, 0.5)


@when(
    '{count:d} requests with the parts "{parts}" crash an upstream each, '
    'with sound ones of "{kind}" between'
)
def step_crash_quiet(context, count, parts, kind):
    for _ in range(count):
        crash_with(context, parts_request(parts), parts_request(kind))
        serve_sound(context, [kind], 0.5)


@when(
    '{count:d} requests with the parts "{parts}" crash an upstream each, '
    'beside sound ones of "{kind}"'
)
def step_crash_unanswered(context, count, parts, kind):
    for _ in range(count):
        crash_with(context, parts_request(parts), parts_request(kind))


@when("requests with the parts {kinds} crash an upstream each")
def step_crash_kinds(context, kinds):
    for parts in listed(kinds):
        crash_with(context, parts_request(parts))
        serve_sound(context, context.kinds, 0.5)


@when(
    '{count:d} requests with the parts "{parts}" crash an upstream each, '
    "and once more"
)
def step_crash_again(context, count, parts):
    for _ in range(count):
        accepted = parts_request(parts)
        for _ in range(2):
            crash_with(context, accepted)
            serve_sound(context, context.kinds, 0.5)


@when('a request with the parts "{parts}" is answered through {entry}')
def step_answered(context, parts, entry):
    attempt = begin(context, entry, parts_request(parts), SOUND)
    context.fleet.run(RUN_S)
    attempt.end(AttemptOutcome.ANSWERED)
    context.fleet.run(TOLD_S)


@when(
    'requests with "{one}" and with "{other}" crash {count:d} upstreams each in turn, '
    "with sound ones between"
)
def step_two(context, one, other, count):
    for _ in range(count):
        for parts in (one, other):
            crash_with(context, parts_request(parts))
            serve_sound(context, context.kinds, 0.5)


def end_upstreams(context, names: list[str], kinds: list[str], copies: int = 1) -> None:
    entries = itertools.cycle(context.fleet.entries)
    attempts = [
        begin(context, next(entries), parts_request(kind), name)
        for name in names
        for kind in kinds
        for _ in range(copies)
    ]
    context.fleet.run(RUN_S)
    for attempt in attempts:
        attempt.end(AttemptOutcome.BROKEN)
    for name in names:
        attempts[0].entry.dispatcher.connection_refused(context.upstreams[name])
        context.upstreams.pop(name)
    list_upstreams(context)
    context.fleet.run(TOLD_S)


@when("6 upstreams end at once while requests with the parts {kinds} run there")
def step_end_at_once(context, kinds):
    names = [name for name in context.upstreams if name != SOUND][:6]
    end_upstreams(context, names, listed(kinds))


@when(
    "6 upstreams end, 2 s after each other while requests with the parts {kinds} run "
    "there"
)
def step_end_in_turn(context, kinds):
    for _ in range(6):
        end_upstreams(context, [next_upstream(context)], listed(kinds))
        serve_sound(context, context.kinds, 2.0)


@when(
    '6 upstreams end, each beside 3 requests of "{kind}" while requests with the '
    "parts {kinds} run there"
)
def step_end_beside(context, kind, kinds):
    for _ in range(6):
        end_upstreams(context, [next_upstream(context)], [kind], copies=3)
        serve_sound(context, context.kinds, 1.0)


@when(
    '{count:d} requests with the parts "{parts}" crash an upstream each, beside the '
    'same request "{moved}" with "{kind}"'
)
def step_beside(context, count, parts, moved, kind):
    context.moved = parts_request(kind, moved)
    for _ in range(count):
        crash_with(context, parts_request(parts), context.moved)
        serve_sound(context, context.kinds, 0.5)


@when('an upstream ends while the request "{moved}" runs there')
def step_moved_end(context, moved):
    crash_with(context, context.moved)


@when(
    '{count:d} requests with the parts "{parts}" end with their connections as their '
    "upstreams crash"
)
def step_half_answers(context, count, parts):
    for _ in range(count):
        crash_with(context, parts_request(parts), outcome=AttemptOutcome.ENDED)
        serve_sound(context, context.kinds, 0.5)


@when(
    'entry-2 hears nothing while {count:d} requests with the parts "{parts}" crash an '
    "upstream each"
)
def step_unheard(context, count, parts):
    missing = context.fleet.entries["entry-2"]
    missing.is_down = True
    step_crash(context, count, parts)
    missing.is_down = False
    context.fleet.run(2.0)


@when(
    'a request with "{parts}" and one with "{sound}" wait at {entry} as {count:d} with '
    '"{same}" crash an upstream each'
)
def step_wait(context, parts, sound, entry, count, same):
    waiting = context.fleet.entries[entry]
    context.waiting = []
    for kind in (parts, sound):
        accepted = parts_request(kind)
        ticket = new_ticket(context, waiting, accepted.fingerprint, only=None)
        ticket.fingerprint = accepted.fingerprint
        ticket.shared_parts = accepted.head.shared_parts
        ticket.excluded = set(context.upstreams)
        waiting.dispatcher.submit(ticket)
        context.waiting.append(ticket)
    step_crash(context, count, parts)


@then("the first is refused there, and the second still waits")
def step_waiting(context):
    first, second = context.waiting
    decision = context.decisions.get(first.request_id)
    assert isinstance(decision, Refuse), decision
    assert second.request_id not in context.decisions


@when("the record of the part's quarantine is deleted")
def step_cleared(context):
    for entry in context.fleet.entries.values():
        facts = entry.dispatcher.facts
        writes, _ = facts.quarantines_due()
        context.records = getattr(context, "records", set()) | writes.keys()
        for name in writes:
            facts.quarantine_written(name)
    assert context.records
    for entry in context.fleet.entries.values():
        facts = entry.dispatcher.facts
        facts.quarantines_read(tuple(context.records), (), is_snapshot=False)
    for entry in context.fleet.entries.values():
        facts = entry.dispatcher.facts
        facts.quarantines_read((), tuple(context.records), is_snapshot=False)
    context.fleet.run(TOLD_S)


@then('new requests are refused everywhere with the parts "{parts}"')
def step_refused(context, parts):
    for name in context.fleet.entries:
        admitted = admit(context, name, parts_request(parts))
        assert isinstance(admitted, Err), name
        assert admitted.err_value.reason is Reason.CRASHES_UPSTREAMS, admitted


@then("every entry accepts requests with the parts {kinds}")
def step_accepted(context, kinds):
    for name in context.fleet.entries:
        for kind in listed(kinds):
            admitted = admit(context, name, parts_request(kind))
            assert not isinstance(admitted, Err), (name, kind, admitted)


@then('every entry accepts the request "{moved}"')
def step_accepts_moved(context, moved):
    for name in context.fleet.entries:
        admitted = admit(context, name, context.moved)
        assert not isinstance(admitted, Err), (name, admitted)


@given(
    'the use of {count:d} parts, each in one request, and of "{common}" in every '
    "tenth"
)
def step_use(context, count, common):
    context.use = PartUse()
    for number in range(count):
        parts = (f"p{number}", common) if number % 10 == 0 else (f"p{number}",)
        context.use.record_request(parts)
        context.use.record_answer(parts, sent_s=float(number))


@then("it remembers at most {count:d} parts")
def step_bounded(context, count):
    assert len(context.use) <= count, len(context.use)


@then('it knows the share of "{part}" in all requests within {error:g}')
def step_share(context, part, error):
    assert abs(context.use.share(part) - 0.1) <= error, context.use.share(part)


@then("it has forgotten when the first of the others was answered")
def step_forgotten(context):
    assert not context.use.is_answered_since("p0", 0.0)


# Over sockets


@given('3 entries before 14 model upstreams that crash on the part "{part}"')
def step_processes(context, part):
    platform = deploy(context)
    context.crashed = set()
    for number in range(1, CRASHING_MODELS + 1):
        platform.upstream(f"model-{number}", "model")
        platform.upstreams[f"model-{number}"].set_faults(crash_part=part)
    for number in range(1, 4):
        platform.entry(f"entry-{number}")


def send(context, entry: str, parts: str):
    number = next(NUMBERS)
    ids = [*parts.split(","), f"f{number:x}"]
    return context.platform.send(
        entry,
        "/stream-once/1",
        body=f"request {number}".encode(),
        headers={
            "X-Token-Usage": "100,20",
            "X-Prefix-Hash": ",".join(f"{each}:60" for each in ids),
        },
    )


@when(
    'requests with "{bad}" and with "{sound}" are sent through each entry in turn, '
    "{count:d} times each"
)
def step_sent(context, bad, sound, count):
    for number in range(count):
        entry = entries_of(context)[number % 3]
        send(context, entry, sound)
        send(context, entry, bad)
        time.sleep(SETTLE_S)


@then('prompts with "{bad}" are refused as not run everywhere, and "{sound}" is served')
def step_refused_processes(context, bad, sound):
    newly_crashed(context)
    for entry in entries_of(context):
        answer = send(context, entry, bad)
        assert answer.status == 503, (entry, answer)
        assert b"crashes_upstreams" in answer.body, (entry, answer)
        answer = send(context, entry, sound)
        assert answer.status == 200 and answer.whole, (entry, answer)
    assert not newly_crashed(context)
