"""Steps about gossip between many entries, without a network."""

from behave import given, then, when

from features.entryfleet import (
    CHECK_INTERVAL_S,
    SERVICE,
    TICK_S,
    UPSTREAM,
    Entry,
    Fleet,
    known_within_s,
    submit_request,
)
from features.steps.direct_handling_steps import accepted_request
from lavenderspoke.clock import ManualClock
from lavenderspoke.direct.catalog import Customer
from lavenderspoke.direct.dispatcher import AttemptOutcome
from lavenderspoke.direct.messages import PassedOn, SharedState
from lavenderspoke.model import InstanceId

# How long after an entry left one of its earlier states arrives, in seconds.
LATE_S = 0.25
REQUEST = accepted_request(resumable=False, attempts_max=1)


@given("{entries:d} entries in {data_centres:d} data centres")
def step_fleet(context, entries, data_centres):
    context.fleet = Fleet(entries=entries, data_centres=data_centres)
    context.fleets = [context.fleet]


@given(
    "{few:d} entries in {few_centres:d} data centres, and {many:d} in {many_centres:d}"
)
def step_fleets(context, few, few_centres, many, many_centres):
    context.fleets = [
        Fleet(entries=few, data_centres=few_centres),
        Fleet(entries=many, data_centres=many_centres),
    ]


@given(
    "{entries:d} entries in {data_centres:d} data centres that start within "
    "{within_s:g} s"
)
def step_start(context, entries, data_centres, within_s):
    context.fleet = Fleet(
        entries=entries, data_centres=data_centres, start_within_s=within_s
    )
    context.fleets = [context.fleet]


@when("they run for {seconds:g} s")
def step_run(context, seconds):
    for fleet in context.fleets:
        fleet.run(seconds)


@when(
    "they run for {seconds:g} s, and for {busy_s:g} s more while each starts requests"
)
def step_busy(context, seconds, busy_s):
    for fleet in context.fleets:
        fleet.run(seconds)
        fleet.sent.clear()
        for number in range(round(busy_s / TICK_S)):
            for entry in fleet.entries.values():
                submit_request(entry, number)
            fleet.run(TICK_S)


@when("they run for {seconds:g} s, and one that forwards is killed")
def step_kill(context, seconds):
    context.fleet.run(seconds)
    name = min(context.fleet.forwarders)
    context.fleet.entries[name].is_down = True


@when(
    "they run for {seconds:g} s, every second one freezes for {frozen_s:g} s, "
    "and 1.5 s pass"
)
def step_freeze(context, seconds, frozen_s):
    fleet = context.fleet
    fleet.run(seconds)
    frozen = list(fleet.entries.values())[::2]
    for entry in frozen:
        entry.is_down = True
    fleet.run(frozen_s)
    for entry in frozen:
        entry.is_down = False
    fleet.run(1.5)


@when("they run for {seconds:g} s, and one leaves while a state of it is in transit")
def step_leave(context, seconds):
    fleet = context.fleet
    fleet.run(seconds)
    context.left = entry = fleet.entries["entry-7"]
    # Numbered above all states sent, so that only the leave message can reject it.
    late = PassedOn(
        sender=entry.me,
        age_s=0.1,
        state=SharedState(address=entry.location.address, number=1_000_000),
    )
    for outgoing in entry.dissemination.leave_messages():
        fleet.send(entry, outgoing)
    entry.is_down = True
    fleet.run(LATE_S)
    for other in fleet.entries.values():
        other.dispatcher.receive_forwarded_states((late,))


@when("they run for {seconds:g} s, and one refuses a request every 10 ms for 1 s")
def step_refuse(context, seconds):
    fleet = context.fleet
    fleet.run(seconds)
    entry = fleet.entries["entry-3"]
    context.refused = [f"refused-{number}" for number in range(100)]
    for fingerprint in context.refused:
        entry.dispatcher._resubmissions.record_refusal(fingerprint, fleet.now_s)
        fleet.run(0.01)


@when(
    "they run for {seconds:g} s, and one finds another upstream at an upstream's "
    "address"
)
def step_finds(context, seconds):
    fleet = context.fleet
    fleet.run(seconds)
    dispatcher = fleet.entries["entry-5"].dispatcher
    dispatcher._upstream_monitor.record_attempt(
        UPSTREAM,
        REQUEST,
        AttemptOutcome.MISDIRECTED,
        fleet.now_s,
        sent_s=fleet.now_s,
        heard_s=fleet.now_s,
    )


@then("none of the entries sends a request there")
def step_none_sends(context):
    assert not submit_everywhere(context)


@when(
    "they run for {seconds:g} s, and entries {first:d} and {second:d} can't reach the "
    "upstream"
)
def step_unreached(context, seconds, first, second):
    fleet = context.fleet
    fleet.run(seconds)
    for number in {first, second}:
        dispatcher = fleet.entries[f"entry-{number}"].dispatcher
        dispatcher._upstream_monitor.record_attempt(
            UPSTREAM,
            REQUEST,
            AttemptOutcome.UNREACHABLE,
            fleet.now_s,
            sent_s=fleet.now_s,
            heard_s=fleet.now_s,
        )


def submit_everywhere(context) -> set[str]:
    """Submit a request at each entry; return the entries that got a slot for it."""
    sending = set()
    for name, entry in context.fleet.entries.items():
        submit_request(entry, 1)
        if entry.dispatcher._scheduler.queue(SERVICE).pool.own_loads():
            sending.add(name)
    return sending


@then("each of the entries sends a request there")
def step_each_sends(context):
    assert submit_everywhere(context) == set(context.fleet.entries)


@then("all but entry {first:d} send a request there")
@then("all but entries {first:d} and {second:d} send a request there")
def step_all_but(context, first, second=None):
    without = {f"entry-{first}", f"entry-{second}"}
    assert submit_everywhere(context) == set(context.fleet.entries) - without


@given("an entry with state of the second incarnation of another")
def step_second_incarnation(context):
    context.clock = ManualClock()
    context.entry = Entry(
        name="entry-0", data_centre="dc-0", clock=context.clock, seed=1
    )
    context.customer = Customer(
        name="tours",
        keys=(),
        rank=0,
        per_s=100.0,
        burst=100.0,
        counts_tokens=True,
        default_tokens=1,
    )
    quota = context.entry.dispatcher._quota
    quota.reconfigure((context.customer,), now_s=0.0)
    context.clock.advance(20.0)
    receive_state(context, "1", number=900, used=0.0)
    receive_state(context, "1", number=901, used=300.0)
    receive_state(context, "2", number=1, used=0.0)
    receive_state(context, "2", number=2, used=50.0)


def state_of(number: int, used: float) -> SharedState:
    spent = {"tours": ((0, used, used),)}
    return SharedState(address="tcp://entry-1:1", number=number, spent=spent)


def receive_state(context, incarnation: str, *, number: int, used: float) -> None:
    sender = InstanceId(name="entry-1", incarnation=incarnation)
    context.entry.dispatcher.receive_state(sender, state_of(number, used))


@when("a state of the first incarnation is forwarded to it")
def step_forwarded(context):
    late = PassedOn(
        sender=InstanceId(name="entry-1", incarnation="1"),
        age_s=0.2,
        state=state_of(905, 300.0),
    )
    context.entry.dispatcher.receive_forwarded_states((late,))
    receive_state(context, "2", number=3, used=60.0)


@then("it keeps the state of the second incarnation, whose usage counts once")
def step_once(context):
    usage = context.entry.dispatcher._quota._usages["tours"]
    assert usage.used() == 300.0 + 60.0, usage.used()


@then("for the last {seconds:g} s each saw every other as live")
def step_live_throughout(context, seconds):
    since_s = context.fleet.now_s - seconds
    checks = [each for each in context.fleet.checks if each[0] >= since_s]
    assert len(checks) >= seconds / CHECK_INTERVAL_S - 1, len(checks)
    broken = [(at_s, len(pairs), pairs[:3]) for at_s, pairs in checks if pairs]
    assert not broken, broken[:5]


@then("each sees every other as live")
def step_live_now(context):
    assert context.fleet.not_live() == [], context.fleet.not_live()[:5]


@then("a request that starts to run is known to all within {limit_ms:d} ms")
def step_known(context, limit_ms):
    took_s = known_within_s(context.fleet)
    assert took_s <= limit_ms / 1000.0, took_s


@then(
    "a request that starts to run is known to all of the larger fleet within "
    "{limit_ms:d} ms"
)
def step_known_more(context, limit_ms):
    took_s = known_within_s(context.fleets[1])
    assert took_s <= limit_ms / 1000.0, took_s


@then(
    "an entry of the larger fleet sends on average at most {times:g} times as many "
    "messages"
)
def step_messages(context, times):
    few, many = (
        sum(fleet.sent.values()) / len(fleet.entries) for fleet in context.fleets
    )
    assert many <= few * times, (few, many)


@then("no entry knows the one that left")
def step_nobody_knows(context):
    left = context.left.me.name
    knowing = [
        name
        for name, entry in context.fleet.entries.items()
        if name != left and left in entry.dispatcher.known_peers()
    ]
    assert not knowing, knowing


@then("each entry expects retries of all refused requests")
def step_expected(context):
    for name, entry in context.fleet.entries.items():
        missing = (
            set(context.refused)
            - entry.dispatcher._resubmissions._first_arrived_s.keys()
        )
        assert not missing, (name, sorted(missing)[:5])
