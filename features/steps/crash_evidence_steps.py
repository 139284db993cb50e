"""Steps about the evidence that content crashes upstreams, without a network."""

import attrs
from behave import given, then, when
from result import Err

from features.entryfleet import Entry, Fleet, upstream_of
from features.steps.direct_handling_steps import accepted_request
from lavenderspoke.direct.dispatcher import AcceptedRequest, AttemptOutcome
from lavenderspoke.direct.instances import Upstream
from lavenderspoke.direct.tickets import Dispatch, Refuse, Ticket
from lavenderspoke.problems import Reason

SERVICE = "narrative"
# Time for gossip to reach every entry.
TOLD_S = 0.5
# How long an attempt runs before it fails.
RUN_S = 0.3
SILENCE_S = 1.6
REQUEST = accepted_request(resumable=False, attempts_max=1)


@given("{entries:d} entries and {count:d} upstreams")
def step_fleet(context, entries, count):
    context.fleet = Fleet(entries=entries, data_centres=entries)
    context.upstreams = {f"u{n}": upstream_at(f"u{n}") for n in range(1, count + 1)}
    list_upstreams(context)
    # The fleet's own first upstream has ended, which isn't to be taken for an outage.
    context.fleet.run(4.0)


def upstream_at(name: str) -> Upstream:
    return attrs.evolve(upstream_of(name), port=1000 + int(name[1:]))


def list_upstreams(context) -> None:
    for entry in context.fleet.entries.values():
        entry.dispatcher.upstreams_changed(tuple(context.upstreams.values()))


def request(content: str, service: str = SERVICE) -> AcceptedRequest:
    return attrs.evolve(REQUEST, fingerprint=content, service=service)


@attrs.define(kw_only=True)
class Attempt:
    """An attempt that a simulated handler has sent."""

    entry: Entry
    upstream: Upstream
    accepted: AcceptedRequest
    ticket: Ticket

    def end(self, outcome: AttemptOutcome) -> None:
        self.entry.dispatcher.attempt_ended(
            self.ticket, self.upstream, self.accepted, outcome
        )

    def event(self) -> None:
        self.entry.dispatcher.first_event_received(self.ticket, self.upstream)


def new_ticket(context, entry: Entry, content: str, only: Upstream | None) -> Ticket:
    now_s = context.fleet.now_s
    context.decisions = getattr(context, "decisions", {})
    context.numbers = getattr(context, "numbers", 0) + 1
    name = f"{content}-{context.numbers}"
    return Ticket(
        request_id=name,
        service=only.service if only else SERVICE,
        rank=(0, 0),
        prompt_tokens=10,
        answer_tokens=10,
        first_arrived_s=now_s,
        idle_since_s=now_s,
        deadline_s=now_s + 60.0,
        target_s=60.0,
        patience_s=60.0,
        resubmitted=False,
        on_decision=lambda decision: context.decisions.update({name: decision}),
        excluded={n for n in context.upstreams if only and n != only.name},
    )


def start(context, entry_name: str, content: str, upstream: Upstream) -> Attempt:
    entry = context.fleet.entries[entry_name]
    ticket = new_ticket(context, entry, content, upstream)
    entry.dispatcher.submit(ticket)
    decision = context.decisions.get(ticket.request_id)
    assert isinstance(decision, Dispatch), decision
    assert decision.upstream.name == upstream.name, decision
    return Attempt(
        entry=entry,
        upstream=decision.upstream,
        accepted=request(content, upstream.service),
        ticket=ticket,
    )


def run_attempt(context, entry_name: str, content: str, name: str, answer: str):
    """Send content to an upstream and have the attempt end so, after a while."""
    attempt = start(context, entry_name, content, context.upstreams[name])
    context.fleet.run(RUN_S if answer in ("broken", "answered") else SILENCE_S)
    attempt.end(AttemptOutcome(answer))


def drop(context, name: str) -> Upstream:
    """Have every entry read a list without the upstream."""
    dropped = context.upstreams.pop(name)
    list_upstreams(context)
    context.fleet.run(TOLD_S)
    return dropped


def replace(context, name: str, replacement: Upstream) -> None:
    context.upstreams.pop(name)
    context.upstreams[replacement.upstream_id] = replacement
    list_upstreams(context)
    context.fleet.run(TOLD_S)


def show(context, name: str, shows: str) -> None:
    if shows == "drops it":
        drop(context, name)
    elif shows == "drops it 6 s later":
        context.fleet.run(6.0)
        drop(context, name)
    elif shows == "has another id at its address":
        before = context.upstreams[name]
        replacement = attrs.evolve(
            before, upstream_id=f"{name}-next", name=f"{name}-next"
        )
        # The lapsed record of the one before is still there.
        context.upstreams[replacement.name] = replacement
        list_upstreams(context)
        context.fleet.run(TOLD_S)
    else:
        before = context.upstreams[name]
        again = attrs.evolve(before, upstream_id=f"{name}@2")
        replace(context, name, again)


def crash(context, entry_name: str, content: str, name: str) -> None:
    run_attempt(context, entry_name, content, name, "broken")
    drop(context, name)


@when('"{content}" ends as "{answer}" at {name} through {entry}, and the list {shows}')
def step_shown(context, content, answer, name, entry, shows):
    run_attempt(context, entry, content, name, answer)
    show(context, name, shows)


def find_another(context, entry: str, name: str) -> None:
    run_attempt(context, entry, "another request", name, "misdirected")
    context.fleet.run(TOLD_S)


@when(
    '"{content}" ends as "{answer}" at {name} through {entry}, '
    "and {other} finds another there"
)
def step_found(context, content, answer, name, entry, other):
    run_attempt(context, entry, content, name, answer)
    find_another(context, other, name)


@when(
    '{other} finds another upstream at {name}, and "{content}" then ends as '
    '"{answer}" at {entry}'
)
def step_found_first(context, other, name, content, answer, entry):
    attempt = start(context, entry, content, context.upstreams[name])
    find_another(context, other, name)
    attempt.end(AttemptOutcome(answer))
    context.fleet.run(TOLD_S)


@when('{entry} {misses} while "{content}" crashes u1 and u2')
def step_misses(context, entry, misses, content):
    fleet = context.fleet
    missing = fleet.entries[entry]
    if misses in ("hears nothing", "has not begun"):
        missing.is_down = True
    for name in ("u1", "u2"):
        crash(context, "entry-0", content, name)
    if misses == "hears nothing":
        missing.is_down = False
    else:
        fleet.restart(entry, tuple(context.upstreams.values()))
    fleet.run(2.0)


@when('"{content}" crashes u1 and u2 through {entry}, which is gone 0.3 s later')
def step_gone(context, content, entry):
    for name in ("u1", "u2"):
        run_attempt(context, entry, content, name, "broken")
        context.upstreams.pop(name)
        list_upstreams(context)
        context.fleet.run(0.3)
    context.fleet.entries[entry].is_down = True
    context.gone = entry


@when("the fleet's {entry} starts again")
def step_starts_again(context, entry):
    context.fleet.restart(entry, tuple(context.upstreams.values()))
    context.fleet.run(2.0)


@when('by service, "{content}" crashes u1 of "{service}" and v1 of "{other}"')
def step_two_services(context, content, service, other):
    crash(context, "entry-0", content, "u1")
    context.upstreams["v1"] = attrs.evolve(upstream_at("v1"), port=2001, service=other)
    list_upstreams(context)
    crash(context, "entry-1", content, "v1")


@when('"{content}" is answered at {name} through each entry')
def step_answered(context, content, name):
    for entry in context.fleet.entries:
        run_attempt(context, entry, content, name, "answered")


@when('in turn, "{content}" crashes {names}')
def step_crashes(context, content, names):
    for number, name in enumerate(names.replace(" and ", ", ").split(", ")):
        entries = list(context.fleet.entries)
        crash(context, entries[number % len(entries)], content, name)


@when("{seconds:d} s pass")
def step_pass(context, seconds):
    context.fleet.clock.advance(seconds)
    context.fleet.run(TOLD_S)


@when('"{culprit}" and "{innocent}" wait at {entry} as the first crashes u1 and u2')
def step_wait(context, culprit, innocent, entry):
    waiting = context.fleet.entries[entry]
    context.waiting = []
    for content in (culprit, innocent):
        ticket = new_ticket(context, waiting, content, only=None)
        ticket.fingerprint = content
        ticket.excluded = set(context.upstreams)
        waiting.dispatcher.submit(ticket)
        context.waiting.append(ticket)
    for name in ("u1", "u2"):
        crash(context, "entry-0", culprit, name)


@then('"{culprit}" is refused there at once, and "{innocent}" still waits')
def step_refused_waiting(context, culprit, innocent):
    culprit_ticket, innocent_ticket = context.waiting
    decision = context.decisions.get(culprit_ticket.request_id)
    assert isinstance(decision, Refuse), decision
    assert innocent_ticket.request_id not in context.decisions


@when('each time, "{content}" {meets} u1, u2 and u3')
def step_meets(context, content, meets):
    for number, name in enumerate(("u1", "u2", "u3")):
        MEETINGS[meets](context, content, name, f"entry-{number}")
        # No two ends at once: each is judged by itself.
        context.fleet.run(5.0)


def meet_living(context, content, name, entry):
    run_attempt(context, entry, content, name, "broken")
    run_attempt(context, entry, f"other-{name}", name, "answered")
    drop(context, name)


def meet_announced(context, content, name, entry):
    attempt = start(context, entry, content, context.upstreams[name])
    leaving = attrs.evolve(context.upstreams[name], leaving=True)
    context.upstreams[name] = leaving
    list_upstreams(context)
    context.fleet.run(RUN_S)
    attempt.end(AttemptOutcome.BROKEN)
    drop(context, name)


def meet_dropped(context, content, name, entry):
    attempt = start(context, entry, content, context.upstreams[name])
    drop(context, name)
    attempt.event()
    context.fleet.run(RUN_S)
    attempt.end(AttemptOutcome.BROKEN)
    context.fleet.run(TOLD_S)


def meet_partition(context, content, name, entry):
    attempt = start(context, "entry-0", content, context.upstreams[name])
    other = start(context, "entry-0", "another request", context.upstreams[name])
    context.fleet.run(SILENCE_S)
    attempt.end(AttemptOutcome.SILENT)
    other.end(AttemptOutcome.UNREACHABLE)
    context.fleet.run(TOLD_S)


def meet_cancelled(context, content, name, entry):
    attempt = start(context, entry, content, context.upstreams[name])
    context.fleet.run(SILENCE_S)
    attempt.event()
    context.fleet.run(0.1)
    attempt.end(AttemptOutcome.LEFT)
    drop(context, name)


def meet_no_end(context, content, name, entry):
    run_attempt(context, entry, content, name, "broken")


def meet_earlier(context, content, name, entry):
    run_attempt(context, entry, content, name, "broken")
    context.fleet.run(20.0)
    drop(context, name)


def meet_culprit(context, content, name, entry):
    """Run beside a culprit that differs each time and was sent by another entry."""
    bystander = start(context, "entry-1", content, context.upstreams[name])
    culprit = start(context, "entry-2", "culprit", context.upstreams[name])
    context.fleet.run(RUN_S)
    bystander.end(AttemptOutcome.BROKEN)
    culprit.end(AttemptOutcome.BROKEN)
    drop(context, name)


def meet_answered(context, content, name, entry):
    crash(context, entry, content, name)
    run_attempt(context, "entry-1", content, "u6", "answered")


MEETINGS = {
    "breaks off at, but later answers come from, and the list drops": meet_living,
    "breaks off at the announced end of": meet_announced,
    "breaks off after the list has dropped": meet_dropped,
    "falls silent for one entry, which can't connect to,": meet_partition,
    "is cancelled by its caller in mid-stream, and the list drops": meet_cancelled,
    "breaks off without an end of": meet_no_end,
    "breaks off 20 s before the end of": meet_earlier,
    "crashes together with the culprit of each, by another entry, at": meet_culprit,
    "is answered again after each crash of": meet_answered,
}


@when('"{content}" breaks off at u1 and u2, and another entry is told that they ended')
def step_mistaken(context, content):
    for name in ("u1", "u2"):
        run_attempt(context, "entry-0", content, name, "broken")
        entry = context.fleet.entries["entry-1"]
        entry.dispatcher.connection_refused(context.upstreams[name])
    context.fleet.run(TOLD_S)


@when("both answer another request at {entry}, 1 s later")
def step_answer_again(context, entry):
    context.fleet.run(1.0)
    for name in ("u1", "u2"):
        run_attempt(context, entry, f"other-{name}", name, "answered")
    context.fleet.run(TOLD_S)


@when("both are listed again")
def step_listed_again(context):
    for name in ("u1", "u2"):
        context.upstreams[name] = upstream_at(name)
    list_upstreams(context)
    context.fleet.run(4.0)


@then('5 s later no entry of the fleet refuses "{content}"')
def step_still_not_refused(context, content):
    context.fleet.run(5.0)
    step_not_refused(context, content)


@when('u1, u2 and u3 end at once, and "{content}" breaks off at u1 and u2')
def step_outage(context, content):
    for name in ("u1", "u2"):
        run_attempt(context, "entry-0", content, name, "broken")
    for name in ("u1", "u2", "u3"):
        context.upstreams.pop(name)
    list_upstreams(context)
    context.fleet.run(TOLD_S)


@when('u1, u2 and u3 end while "{content}" runs there through each entry')
def step_popular(context, content):
    for name in ("u1", "u2", "u3"):
        for entry in context.fleet.entries:
            run_attempt(context, entry, content, name, "broken")
        drop(context, name)


@when('"{content}", sent before, is answered at {name} through {entry}')
def step_answered_later(context, content, name, entry):
    run_attempt(context, entry, content, name, "answered")
    context.fleet.run(TOLD_S)


def refused_at(context, content: str, service: str = SERVICE) -> list[str]:
    """Return the entries that refuse the content."""
    refusing = []
    for name, entry in context.fleet.entries.items():
        admitted = entry.dispatcher.admit(request(content, service))
        if isinstance(admitted, Err):
            assert admitted.err_value.reason is Reason.CRASHES_UPSTREAMS
            refusing.append(name)
    return refusing


@then('every entry refuses "{content}"')
def step_refused(context, content):
    expected = set(context.fleet.entries) - {getattr(context, "gone", None)}
    assert set(refused_at(context, content)) >= expected, refused_at(context, content)


@then('every entry refuses "{content}" for both services')
def step_refused_both(context, content):
    for service in (SERVICE, "other"):
        refusing = refused_at(context, content, service)
        assert len(refusing) == len(context.fleet.entries), (service, refusing)


@then('no entry of the fleet refuses "{content}"')
def step_not_refused(context, content):
    assert refused_at(context, content) == []
