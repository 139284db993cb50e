"""Steps about what the soak's callers do with promises, and what its checks notice."""

from random import Random

import attrs
from behave import given, then, when

from features.steps.soak_steps import answered, run, sent
from soak import events, retries, schedule
from soak.callers import KINDS, Sent
from soak.record import Arrival, Record, Refusal, Run, Span
from soak.sizes import LARGE, size_of
from soak.troubles import STATUSES

AT_S = 30.0
ID = "more"


def refusal(**changes) -> Refusal:
    """Return a true refusal by its upstream of the request that is added."""
    base = Refusal(
        attempt_id=ID,
        upstream="desk-2",
        at_s=AT_S + 0.1,
        status=503,
        has_run=False,
        is_marked=True,
        is_named=True,
        is_signed=False,
        is_alone=True,
    )
    return attrs.evolve(base, **changes)


def told(status: int, **headers: str) -> Sent:
    """Return an attempt that got this answer of its entry's own."""
    more = {"x-attempt-id": ID} | headers
    return answered(sent(ID, at_s=AT_S), status=status, headers=more, body=b"")


def promised() -> Sent:
    return told(503, **{"retry-after": "0.5"})


def repeated(seen: str) -> list[Sent]:
    """Return an attempt whose connection ended so, and the same one elsewhere."""
    first = attrs.evolve(sent(ID, at_s=AT_S), answer=None, seen=seen)
    again = sent(ID, at_s=AT_S + 0.6, entry="entry-2", repeats=ID)
    return [first, again]


KILL = Span(subject="entry-1", from_s=AT_S + 0.4, to_s=AT_S + 2.0)
EARLY, LATE = run(ID, AT_S + 0.1), run(ID, AT_S + 1.5, "desk-2")

ARRIVED = Arrival(upstream="desk-2", at_s=AT_S + 0.1, attempt_id=ID, signals={})


@attrs.frozen(kw_only=True)
class Case:
    """What is added to a record."""

    sent: list[Sent]
    runs: list[Run] = []
    refusals: list[Refusal] = []
    arrivals: list[Arrival] = []
    disturbed: list[Span] = []


def case_of(name: str) -> Case:
    unproven = refusal(is_marked=False)
    signed = {"x-response-signature": "signed"}
    match name:
        case "is promised not to run, and was refused unproven":
            return Case(sent=[promised()], refusals=[unproven])
        case "is promised not to run, and ran before":
            return Case(sent=[promised()], runs=[EARLY])
        case "is promised not to run, and runs later":
            return Case(sent=[promised()], runs=[LATE])
        case "was refused unproven and ran elsewhere":
            return Case(sent=[told(502)], runs=[EARLY], refusals=[unproven])
        case "was repeated after a reset and ran twice":
            return Case(sent=repeated(retries.RESET), runs=[EARLY, LATE])
        case "was repeated after an orderly close and ran twice":
            return Case(sent=repeated(retries.CLOSED), runs=[EARLY, LATE])
        case "was repeated after a reset by a kill and ran twice":
            return Case(
                sent=repeated(retries.RESET), runs=[EARLY, LATE], disturbed=[KILL]
            )
        case "was repeated after the close of a kill and ran twice":
            return Case(
                sent=repeated(retries.CLOSED), runs=[EARLY, LATE], disturbed=[KILL]
            )
        case "was repeated after a reset and ran once":
            return Case(sent=repeated(retries.RESET), runs=[LATE])
        case "was repeated after an orderly close and ran once":
            return Case(sent=repeated(retries.CLOSED), runs=[LATE])
        case "is answered 502 with the signature of a 503":
            return Case(
                sent=[told(502, **signed)],
                refusals=[refusal(is_signed=True, is_marked=False)],
            )
        case "is answered 503 with a signature of nothing":
            return Case(sent=[told(503, **signed, **{"retry-after": "1"})])
        case "is answered 503 with the signature of a 503":
            return Case(
                sent=[told(503, **signed, **{"retry-after": "1"})],
                refusals=[refusal(is_signed=True)],
            )
        case "is refused without a time to return":
            return Case(sent=[told(503)])
        case "was truly refused and is told that it may have run":
            return Case(sent=[told(502)], refusals=[refusal()], arrivals=[ARRIVED])
        case "was truly refused beside a harmed upstream and may have run":
            harmed = Span(subject="desk-1", from_s=AT_S, to_s=AT_S + 1)
            return Case(
                sent=[told(502)],
                refusals=[refusal()],
                arrivals=[ARRIVED],
                disturbed=[harmed],
            )
        case "was truly refused and is promised not to run":
            return Case(sent=[promised()], refusals=[refusal()])
        case "was refused unproven and is told that it may have run":
            return Case(sent=[told(502)], refusals=[unproven], arrivals=[ARRIVED])
        case "was refused beside copies and is told that it may have run":
            copied = refusal(is_alone=False)
            return Case(sent=[told(502)], refusals=[copied], arrivals=[ARRIVED])
    raise AssertionError(name)


def with_case(record: Record, added: Case) -> Record:
    return attrs.evolve(
        record,
        sent=(*record.sent, *added.sent),
        runs=(*record.runs, *added.runs),
        refusals=tuple(added.refusals),
        arrivals=tuple(added.arrivals),
        disturbed=tuple(added.disturbed),
    )


@when("a request that must run at most once {name}")
def step_case(context, name):
    context.record = with_case(context.record, case_of(name))


@when("{served:d} of {count:d} plain requests are served, {disturbance}")
def step_share(context, served, count, disturbance):
    every = [sent(f"calm-{n}", at_s=AT_S + n * 0.05) for n in range(count)]
    refused = [
        answered(each, status=503, headers={"retry-after": "1"})
        for each in every[served:]
    ]
    is_disturbed = disturbance.startswith("while")
    disturbed = [Span(subject="desk-2", from_s=AT_S, to_s=AT_S + 9)]
    added = Case(
        sent=[*every[:served], *refused],
        runs=[run(each.attempt_id, each.sent_s) for each in every[:served]],
        disturbed=disturbed if is_disturbed else [],
    )
    context.record = with_case(context.record, added)


SEEN = {
    "a reset": retries.RESET,
    "an orderly close": retries.CLOSED,
    "a connection that hung": retries.HUNG,
}


@given('a request of kind "{kind}" that ended with {end} after 1 s of 4 s')
def step_ended(context, kind, end):
    base = sent(ID, at_s=AT_S, kind=KINDS[kind], deadline_s=4.0, ended_s=AT_S + 1.0)
    if end in SEEN:
        context.ended = attrs.evolve(base, answer=None, seen=SEEN[end])
        return
    status, _, return_in = end.partition(" that says to return in ")
    headers = {"retry-after": return_in.removesuffix(" s")} if return_in else {}
    context.ended = answered(base, status=int(status), headers=headers)


@then("its caller sends it again {again}")
def step_again(context, again):
    found = [retries.retry(context.ended, Random(n)) for n in range(20)]
    if again == "never":
        assert set(found) == {None}, found
        return
    wait, _, ids = again.partition(", under ")
    wait_s = 0.0 if wait == "at once" else float(wait.split()[1])
    assert all(each.wait_s == wait_s for each in found), found
    assert all(each.left_s == 3.0 - wait_s for each in found), found
    wanted = {True, False} if ids == "either id" else {False}
    assert {each.keeps_id for each in found} == wanted, found


def actions(first: int, last: int) -> list:
    return [
        event.action for seed in range(first, last + 1) for event in schedule.draw(seed)
    ]


def of_kind(drawn: list, kind: type) -> list:
    return [each for each in drawn if isinstance(each, kind)]


@then(
    "the seeds {first:d} to {last:d} hold all kinds of refusals, copies, lost answers, "
    "suspensions and stops while busy"
)
def step_all_kinds(context, first, last):
    drawn = actions(first, last)
    faults = [each.faults for each in of_kind(drawn, events.UpstreamInTrouble)]
    refusals = [each for each in faults if "refuses" in each]
    assert {each["refuses"] for each in refusals} == set(STATUSES)
    for says in ("id", "signature", "not executed", "other id"):
        assert any(says in each["refusal_says"] for each in refusals), says
    ran = {each.get("refuses_after_run", False) for each in refusals}
    assert ran == {True, False}
    copies_s = [each["copied_after_s"] for each in faults if "copied_after_s" in each]
    assert min(copies_s) < 0.05 < 0.3 < max(copies_s), copies_s
    copied = {each["copies_answers"] for each in faults if "copies_answers" in each}
    assert copied == {True, False}
    lost = {each["loses"] for each in faults if "loses" in each}
    assert lost == {"close", "reset"}
    assert any("mute" in each for each in faults)
    assert any("work_s" in each for each in faults)
    assert of_kind(drawn, events.UpstreamSuspended)
    assert of_kind(drawn, events.StoreTurnsAway)
    stops = len(of_kind(drawn, events.EntryStopped))
    assert stops > 3 * (last + 1 - first), stops


@then(
    "no trouble of the seeds {first:d} to {last:d} leaves what refusals say to another "
    "one"
)
def step_complete(context, first, last):
    for action in of_kind(actions(first, last), events.UpstreamInTrouble):
        faults = action.faults
        if "refuses" in faults:
            assert {"refusal_says", "refuses_after_run", "refuses_each"} <= set(faults)
            is_proof = faults["refusal_says"] == "not executed, id"
            assert not (is_proof and faults["refuses_after_run"]), faults


@then("the seeds {first:d} to {last:d} leave a part without troubles")
def step_some_without(context, first, last):
    without = [
        seed
        for seed in range(first, last + 1)
        if not of_kind(actions(seed, seed), events.UpstreamInTrouble)
    ]
    share = len(without) / (last + 1 - first)
    assert 0.15 < share < 0.35, share


@then("one in {each:d} of the seeds {first:d} to {last:d} is large")
def step_large(context, each, first, last):
    seeds = range(first, last + 1)
    assert sum(size_of(seed) is LARGE for seed in seeds) == len(seeds) // each
