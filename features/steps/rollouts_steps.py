"""Steps about roll-outs over many entries, without a network."""

import json

from behave import given, then, when

from features.entryfleet import SERVICE, Entry, upstream_of
from features.rolloutdrive import (
    NEW,
    OLD,
    QUALITIES,
    RolloutDrive,
)
from features.steps.direct_handling_steps import accepted_request
from lavenderspoke.clock import ManualClock
from lavenderspoke.direct.dispatcher import AttemptOutcome
from lavenderspoke.direct.records import KeyedRecord, RecordBatch
from lavenderspoke.direct.rolling import AttemptResult
from lavenderspoke.direct.sharing import EntryLocation
from lavenderspoke.direct.tickets import Dispatch, Ticket
from lavenderspoke.observing.metrics import Metrics
from lavenderspoke.platform.rollouts import Orders, decode_order
from lavenderspoke.rollouts.baseline import DurationKind
from lavenderspoke.rollouts.orders import Order, Stage

SHARE, TOLERANCE = 0.1, 50
FINAL = ("completed", "rolled_back")


@given("{entries:d} entries, and a version that is {quality}, with seed {seed:d}")
def step_drive(context, entries, quality, seed):
    context.drive = RolloutDrive(entries=entries, quality=QUALITIES[quality], seed=seed)
    context.drive.run(3.0)
    context.drive.start_new()
    context.drive.run(0.3)


@when("it is ordered to take over within {seconds:d} s")
def step_order(context, seconds):
    context.drive.give_order(float(seconds))


@when(
    "it is ordered to take over within {seconds:d} s, and all entries start anew each "
    "{gap_s:g} s for {during_s:g} s"
)
def step_order_restarts(context, seconds, gap_s, during_s):
    drive = context.drive
    drive.give_order(float(seconds))
    until_s = drive.now_s + during_s
    while drive.now_s < until_s:
        drive.run(gap_s)
        restart_all(drive)


@when(
    "it is ordered to take over within {seconds:d} s, and the first entry freezes "
    "until it has ended"
)
def step_order_freeze(context, seconds):
    drive = context.drive
    drive.give_order(float(seconds))
    drive.run(1.0)
    drive.fleet.entries["entry-0"].is_down = True


@when(
    "it is ordered to take over within {seconds:d} s, and the store turns {count:d} "
    "entries away"
)
def step_order_turned_away(context, seconds, count):
    drive = context.drive
    drive.give_order(float(seconds))
    drive.run(1.0)
    drive.store.turned_away = {f"entry-{number}" for number in range(count)}


@when(
    "it is ordered to take over within {seconds:d} s, and the order is withdrawn after "
    "{after_s:d} s"
)
def step_order_withdrawn(context, seconds, after_s):
    drive = context.drive
    drive.give_order(float(seconds))
    drive.run(float(after_s))
    for entry in drive.fleet.entries.values():
        entry.dispatcher.order_withdrawn(SERVICE, drive.order.number + 1)


@when("all entries start anew")
def step_all_anew(context):
    restart_all(context.drive)


def restart_all(drive: RolloutDrive) -> None:
    for name in list(drive.fleet.entries):
        drive.restart(name)


@then("the roll-out ends as {state} within {seconds:d} s")
def step_ends(context, state, seconds):
    drive = context.drive
    until_s = drive.ordered_s + seconds
    while drive.now_s < until_s and drive.state() not in FINAL:
        drive.run(0.1)
    assert drive.state() == state, (drive.state(), drive.now_s - drive.ordered_s)


@then("a bad version gets at most a tenth of the requests and 50 more")
def step_exposure(context):
    drive = context.drive
    if drive.state() == "completed":
        return
    drive.run(max(0.0, drive.ordered_s + drive.order.duration_s - drive.now_s))
    most = SHARE * drive.requests_sent + TOLERANCE
    assert len(drive.new_sent) <= most, (len(drive.new_sent), most)


@then("it gets none later than {seconds:d} s after its {count:d}th bad answer")
def step_after_bad(context, seconds, count):
    assert context.drive.after_bad(count, float(seconds)) == 0


@then("nothing runs at the old version from then on")
def step_nothing_old(context):
    drive = context.drive
    ended_s = drive.now_s
    drive.run(2.0)
    assert drive.ended_at_old_s <= ended_s, drive.ended_at_old_s
    assert all(not drive.running[f"old-{number}"] for number in range(29))


@then("the new version gets nothing for {seconds:d} s")
def step_new_gets_nothing(context, seconds):
    drive = context.drive
    before = len(drive.new_sent)
    sent_before = drive.requests_sent
    drive.run(float(seconds))
    assert len(drive.new_sent) == before, len(drive.new_sent) - before
    assert drive.requests_sent > sent_before


@then("the record stays as it is when the frozen entry wakes")
def step_frozen_wakes(context):
    drive = context.drive
    record = drive.store.records[-1]
    drive.fleet.entries["entry-0"].is_down = False
    drive.run(3.0)
    assert drive.store.records[-1] == record, drive.store.records[-1]


@given("an entry that knows no upstreams")
def step_entry(context):
    context.clock = ManualClock()
    context.entry = Entry(
        name="a", data_centre="d", clock=context.clock, seed=1, upstreams=()
    )
    context.entry.dispatcher.orders_read(0.0)


@given("an entry that knows upstreams of one version")
def step_entry_one(context):
    step_entry(context)
    list_versions(context, OLD)


@when("upstreams of one version are listed")
def step_list_one(context):
    list_versions(context, OLD)


@when("upstreams of another version are listed")
def step_list_another(context):
    list_versions(context, OLD, NEW)


def list_versions(context, *versions: str) -> None:
    context.entry.dispatcher.upstreams_changed(
        tuple(
            upstream_of(f"{version}-{number}", version=version)
            for version in versions
            for number in range(3)
        )
    )


@when("the orders are read {seconds:g} s later, and there is none for them")
def step_orders_read(context, seconds):
    now_s = context.clock.monotonic_s()
    context.clock.advance(seconds - now_s)
    context.entry.dispatcher.orders_read(seconds)


@when("it is ordered to move to that version")
def step_order_same(context):
    order = Order(service=SERVICE, target=OLD, duration_s=12.0, number=3)
    context.entry.dispatcher.rollout_ordered(order)


@given("an entry that knows an order and hears none of {count:d} others")
def step_alone(context, count):
    step_entry_one(context)
    list_versions(context, OLD, NEW)
    dispatcher = context.entry.dispatcher
    dispatcher.peers_listed(
        {f"b{n}": EntryLocation(address=f"tcp://b{n}:1") for n in range(count)}
    )
    order = Order(service=SERVICE, target=NEW, duration_s=60.0, number=3)
    dispatcher.rollout_ordered(order)
    dispatcher.rollout_stored(order, Stage.CANARY, 0.0)


def request(context, name: str, decided) -> Ticket:
    now_s = context.clock.monotonic_s()
    return Ticket(
        request_id=name,
        service=SERVICE,
        route="r",
        rank=(0, 0),
        prompt_tokens=10,
        answer_tokens=10,
        first_arrived_s=now_s,
        idle_since_s=now_s,
        deadline_s=now_s + 5.0,
        target_s=1.0,
        patience_s=5.0,
        resubmitted=False,
        on_decision=decided,
    )


def versions_sent_to(context, count: int) -> list[str]:
    """Send requests one after the other; return the versions that got them."""
    dispatcher = context.entry.dispatcher
    versions = []
    for number in range(count):
        decisions = []
        ticket = request(context, f"r{number}", decisions.append)
        dispatcher.submit(ticket)
        (decision,) = decisions
        assert isinstance(decision, Dispatch), decision
        versions.append(decision.upstream.version)
        dispatcher.release_slot(ticket, decision.upstream)
    return versions


@then("they get nothing")
def step_they_get_nothing(context):
    assert set(versions_sent_to(context, 40)) == {OLD}


@then("they get requests as the others do")
def step_they_get(context):
    assert set(versions_sent_to(context, 40)) == {OLD, NEW}


@then("they get requests")
def step_get(context):
    assert set(versions_sent_to(context, 40)) == {OLD}


@then("the target gets nothing in {count:d} requests")
def step_target_nothing(context, count):
    for _ in range(count // 10):
        context.clock.advance(0.05)
        context.entry.dispatcher.orders_read(context.clock.monotonic_s())
        context.entry.dispatcher.tick()
        assert set(versions_sent_to(context, 10)) == {OLD}


@when("a request ends there as {outcome}")
def step_ends_as(context, outcome):
    dispatcher, decisions = context.entry.dispatcher, []
    ticket = request(context, "r0", decisions.append)
    dispatcher.submit(ticket)
    upstream = decisions[0].upstream
    accepted = accepted_request(resumable=False, attempts_max=1)
    dispatcher.attempt_ended(ticket, upstream, accepted, AttemptOutcome(outcome))


@then("no place is taken")
def step_no_place(context):
    pool = context.entry.dispatcher._scheduler.queue(SERVICE).pool
    assert pool.in_flight() == 0, pool.own_loads()


ORDER_RECORD = KeyedRecord(
    key=f"rollout/{SERVICE}",
    value=json.dumps({"service": SERVICE, "target": NEW, "duration-s": 12}).encode(),
    offset=3,
)


@given('a reader of orders that knows one for "s"')
def step_reader(context):
    step_entry_one(context)
    context.withdrawn = []

    def withdraw(service: str, number: int) -> None:
        context.withdrawn.append(service)
        context.entry.dispatcher.order_withdrawn(service, number)

    context.orders = Orders(
        on_order=context.entry.dispatcher.rollout_ordered,
        on_withdrawn=withdraw,
        metrics=Metrics(),
    )
    context.orders.take(RecordBatch(records=(ORDER_RECORD,), next_offset=4), whole=True)


@when("all records are read twice without it")
def step_read_without(context):
    for next_offset in (6, 9):
        context.orders.take(
            RecordBatch(records=(), next_offset=next_offset), whole=True
        )


@then("it is withdrawn once")
def step_withdrawn_once(context):
    assert context.withdrawn == [SERVICE], context.withdrawn


@when("the dropped record is shown once more by a read that came late")
def step_shown_again(context):
    context.orders.take(
        RecordBatch(records=(ORDER_RECORD,), next_offset=4), whole=False
    )


@then("the roll-out stays stopped")
def step_stays_stopped(context):
    (news,) = context.entry.dispatcher.outgoing_updates(leaving=False)[0].rollouts
    assert news.stage == Stage.STOPPED, news


@given("an entry that has completed a roll-out")
def step_completed(context):
    step_entry_one(context)
    list_versions(context, OLD, NEW)
    dispatcher = context.entry.dispatcher
    order = Order(service=SERVICE, target=NEW, duration_s=12.0, number=3)
    dispatcher.rollout_ordered(order)
    dispatcher.rollout_stored(order, Stage.COMPLETED, 12.0)


@when("the new version answers {count:d} times within {seconds:g} s")
def step_answers(context, count, seconds):
    answer = AttemptResult(
        route="r", durations_s={DurationKind.UNSTREAMED: seconds}, total_s=seconds
    )
    for _ in range(count):
        context.entry.dispatcher._rollouts.record_attempt(
            upstream_of("new-0", version=NEW), answer
        )


@then("an answer of {seconds:g} s counts as slow")
def step_counts_as_slow(context, seconds):
    typical = context.entry.dispatcher._rollouts._baselines[SERVICE]
    assert typical.is_slow("r", {DurationKind.UNSTREAMED: seconds})


@when('a record says "{record}"')
def step_record(context, record):
    key = KeyedRecord(key="rollout/s", value=record.encode(), offset=1)
    context.decoded = decode_order(key)


@then('it is refused for "{why}"')
def step_refused(context, why):
    assert (
        context.decoded.is_err() and why in context.decoded.err_value
    ), context.decoded
