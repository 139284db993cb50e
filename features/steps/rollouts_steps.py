"""Steps for roll-outs over many entries, without a network."""

import json

from behave import given, then, when

from features.entryfleet import SERVICE, Entry, upstream_of
from features.rolloutsimulation import (
    NEW,
    OLD,
    QUALITIES,
    RolloutSimulation,
)
from features.steps.direct_handling_steps import accepted_request
from lavenderspoke.clock import ManualClock
from lavenderspoke.direct.dispatcher import AttemptOutcome
from lavenderspoke.direct.records import KeyedRecord, RecordBatch
from lavenderspoke.direct.rolling import AttemptResult
from lavenderspoke.direct.sharing import EntryLocation
from lavenderspoke.direct.tickets import Dispatch, Ticket
from lavenderspoke.observing.metrics import Metrics
from lavenderspoke.platform.rollouts import OrderTracker, decode_order
from lavenderspoke.rollouts.baseline import DurationKind
from lavenderspoke.rollouts.orders import Order, Stage

SHARE, TOLERANCE = 0.1, 50
FINAL = ("completed", "rolled_back")


@given("{entries:d} entries, and a version that is {quality}, with seed {seed:d}")
def step_drive(context, entries, quality, seed):
    context.simulation = RolloutSimulation(
        entries=entries, quality=QUALITIES[quality], seed=seed
    )
    context.simulation.run(3.0)
    context.simulation.start_new_version()
    context.simulation.run(0.3)


@when("a {seconds:d} s roll-out to it is ordered")
def step_order(context, seconds):
    context.simulation.give_order(float(seconds))


@when(
    "a {seconds:d} s roll-out to it is ordered, and all entries restart every "
    "{gap_s:g} s for {during_s:g} s"
)
def step_order_restarts(context, seconds, gap_s, during_s):
    simulation = context.simulation
    simulation.give_order(float(seconds))
    until_s = simulation.now_s + during_s
    while simulation.now_s < until_s:
        simulation.run(gap_s)
        restart_all(simulation)


@when(
    "a {seconds:d} s roll-out to it is ordered, and the first entry freezes "
    "until the roll-out ends"
)
def step_order_freeze(context, seconds):
    simulation = context.simulation
    simulation.give_order(float(seconds))
    simulation.run(1.0)
    simulation.fleet.entries["entry-0"].is_down = True


@when(
    "a {seconds:d} s roll-out to it is ordered, and the store rejects {count:d} "
    "entries"
)
def step_order_turned_away(context, seconds, count):
    simulation = context.simulation
    simulation.give_order(float(seconds))
    simulation.run(1.0)
    simulation.store.rejected_entries = {f"entry-{number}" for number in range(count)}


@when(
    "a {seconds:d} s roll-out to it is ordered, and the order is withdrawn after "
    "{after_s:d} s"
)
def step_order_withdrawn(context, seconds, after_s):
    simulation = context.simulation
    simulation.give_order(float(seconds))
    simulation.run(float(after_s))
    for entry in simulation.fleet.entries.values():
        entry.dispatcher.order_withdrawn(SERVICE, simulation.order.number + 1)


@when("all entries restart")
def step_all_restart(context):
    restart_all(context.simulation)


def restart_all(simulation: RolloutSimulation) -> None:
    for name in list(simulation.fleet.entries):
        simulation.restart(name)


@then("the roll-out ends as {state} within {seconds:d} s")
def step_ends(context, state, seconds):
    simulation = context.simulation
    until_s = simulation.ordered_s + seconds
    while simulation.now_s < until_s and simulation.state() not in FINAL:
        simulation.run(0.1)
    assert simulation.state() == state, (
        simulation.state(),
        simulation.now_s - simulation.ordered_s,
    )


@then("a bad version receives at most a tenth of the requests plus 50")
def step_exposure(context):
    simulation = context.simulation
    if simulation.state() == "completed":
        return
    simulation.run(
        max(0.0, simulation.ordered_s + simulation.order.duration_s - simulation.now_s)
    )
    most = SHARE * simulation.requests_sent + TOLERANCE
    assert len(simulation.sent_to_new_s) <= most, (len(simulation.sent_to_new_s), most)


@then("it receives none later than {seconds:d} s after its {count:d}th bad answer")
def step_after_bad(context, seconds, count):
    assert context.simulation.sent_after_bad_answer(count, float(seconds)) == 0


@then("no request is in flight at the old version from then on")
def step_nothing_old(context):
    simulation = context.simulation
    ended_s = simulation.now_s
    simulation.run(2.0)
    assert simulation.last_end_at_old_s <= ended_s, simulation.last_end_at_old_s
    assert all(not simulation.running[f"old-{number}"] for number in range(29))


@then("the new version receives no requests for {seconds:d} s")
def step_new_gets_nothing(context, seconds):
    simulation = context.simulation
    before = len(simulation.sent_to_new_s)
    sent_before = simulation.requests_sent
    simulation.run(float(seconds))
    assert len(simulation.sent_to_new_s) == before, (
        len(simulation.sent_to_new_s) - before
    )
    assert simulation.requests_sent > sent_before


@then("the record doesn't change when the frozen entry resumes")
def step_frozen_wakes(context):
    simulation = context.simulation
    record = simulation.store.records[-1]
    simulation.fleet.entries["entry-0"].is_down = False
    simulation.run(3.0)
    assert simulation.store.records[-1] == record, simulation.store.records[-1]


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


@when("a roll-out to that version is ordered")
def step_order_same(context):
    order = Order(service=SERVICE, target=OLD, duration_s=12.0, number=3)
    context.entry.dispatcher.rollout_ordered(order)


@given("an entry that knows an order and hears from none of its {count:d} peers")
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


def make_ticket(context, name: str, on_decision) -> Ticket:
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
        on_decision=on_decision,
    )


def versions_sent_to(context, count: int) -> list[str]:
    """Send requests one after the other; return the versions that received them."""
    dispatcher = context.entry.dispatcher
    versions = []
    for number in range(count):
        decisions = []
        ticket = make_ticket(context, f"r{number}", decisions.append)
        dispatcher.submit(ticket)
        (decision,) = decisions
        assert isinstance(decision, Dispatch), decision
        versions.append(decision.upstream.version)
        dispatcher.release_slot(ticket, decision.upstream)
    return versions


@then("they receive no requests")
def step_they_get_nothing(context):
    assert set(versions_sent_to(context, 40)) == {OLD}


@then("they receive requests like the others")
def step_they_get(context):
    assert set(versions_sent_to(context, 40)) == {OLD, NEW}


@then("they receive requests")
def step_get(context):
    assert set(versions_sent_to(context, 40)) == {OLD}


@then("the target receives none of {count:d} requests")
def step_target_nothing(context, count):
    for _ in range(count // 10):
        context.clock.advance(0.05)
        context.entry.dispatcher.orders_read(context.clock.monotonic_s())
        context.entry.dispatcher.tick()
        assert set(versions_sent_to(context, 10)) == {OLD}


@when("a request there ends with outcome {outcome}")
def step_ends_as(context, outcome):
    dispatcher, decisions = context.entry.dispatcher, []
    ticket = make_ticket(context, "r0", decisions.append)
    dispatcher.submit(ticket)
    upstream = decisions[0].upstream
    accepted = accepted_request(resumable=False, attempts_max=1)
    dispatcher.attempt_ended(ticket, upstream, accepted, AttemptOutcome(outcome))


@then("no slot is occupied")
def step_no_slot(context):
    pool = context.entry.dispatcher._scheduler.queue(SERVICE).pool
    assert pool.in_flight() == 0, pool.own_loads()


ORDER_RECORD = KeyedRecord(
    key=f"rollout/{SERVICE}",
    value=json.dumps({"service": SERVICE, "target": NEW, "duration-s": 12}).encode(),
    offset=3,
)


@given('an order reader that knows an order for "s"')
def step_reader(context):
    step_entry_one(context)
    context.withdrawn = []

    def withdraw(service: str, number: int) -> None:
        context.withdrawn.append(service)
        context.entry.dispatcher.order_withdrawn(service, number)

    context.orders = OrderTracker(
        on_order=context.entry.dispatcher.rollout_ordered,
        on_withdrawn=withdraw,
        metrics=Metrics(),
    )
    context.orders.apply(
        RecordBatch(records=(ORDER_RECORD,), next_offset=4), is_snapshot=True
    )


@when("all records are read twice without it")
def step_read_without(context):
    for next_offset in (6, 9):
        context.orders.apply(
            RecordBatch(records=(), next_offset=next_offset), is_snapshot=True
        )


@then("it is withdrawn once")
def step_withdrawn_once(context):
    assert context.withdrawn == [SERVICE], context.withdrawn


@when("a delayed read returns the removed record once more")
def step_shown_again(context):
    context.orders.apply(
        RecordBatch(records=(ORDER_RECORD,), next_offset=4), is_snapshot=False
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


@when('the order record is "{record}"')
def step_record(context, record):
    key = KeyedRecord(key="rollout/s", value=record.encode(), offset=1)
    context.decoded = decode_order(key)


@then('it is rejected for "{why}"')
def step_refused(context, why):
    assert (
        context.decoded.is_err() and why in context.decoded.err_value
    ), context.decoded
