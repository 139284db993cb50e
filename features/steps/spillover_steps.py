"""Steps about spilling over between data centres."""

import math
from collections import Counter
from random import Random

import logbook
from behave import given, then, when

from bench.fleet import KINDS, Fleet as BenchFleet
from bench.spillover import SpilloverDay
from features.entryfleet import SERVICE, Fleet, make_ticket, submit_request
from features.steps.explain_steps import record, stage_of
from lavenderspoke.clock import ManualClock
from lavenderspoke.direct.instances import Upstream
from lavenderspoke.direct.messages import PassedOn, SharedState
from lavenderspoke.direct.office import DirectDispatcher
from lavenderspoke.direct.peerdemand import DEMAND_INVALID_METRIC, PeerDemand
from lavenderspoke.direct.policies import ALL_POLICIES, NO_POLICIES
from lavenderspoke.direct.settings import Bounds
from lavenderspoke.direct.sharing import EntryLocation
from lavenderspoke.direct.spillover import SPILLOVER_METRIC, Spillover
from lavenderspoke.model import InstanceId
from lavenderspoke.observing import signals
from lavenderspoke.observing.metrics import Metrics

NAMES = ("first", "second", "third", "fourth")
SLOTS = 5
TARGET_S = 1.0
UPDATE_S = 0.1
TICK_S = 0.02


def upstream_in(data_centre: str, number: int) -> Upstream:
    return Upstream(
        upstream_id=f"u{number}",
        service=SERVICE,
        host="127.0.0.1",
        port=1 + number,
        data_centre=data_centre,
        slots=SLOTS,
    )


class SpillingEntry:
    """An entry's dispatcher, and what it decided."""

    def __init__(self, *, own: str, centres: tuple[str, str], is_on: bool = True):
        self.clock = ManualClock()
        self.clock.advance(7200.0)
        self.metrics = Metrics()
        self.decisions: list = []
        self.number = 0
        self.dispatcher = DirectDispatcher(
            name="entry-1",
            location=EntryLocation(address="tcp://127.0.0.1:1", data_centre=own),
            bounds=Bounds(),
            clock=self.clock,
            random=Random(3),
            metrics=self.metrics,
            policies=ALL_POLICIES if is_on else NO_POLICIES,
        )
        self.upstreams = tuple(
            upstream_in(name, number)
            for number, name in enumerate((centres[0], centres[0], *centres[1:] * 2))
        )
        self.dispatcher.upstreams_changed(self.upstreams)
        self.dispatcher.tick()

    @property
    def queue(self):
        return self.dispatcher._scheduler.queue(SERVICE)

    @property
    def spillover(self) -> Spillover:
        return self.queue.pool.spillover

    def states_in(self, data_centre: str) -> list:
        ids = [
            each.upstream_id
            for each in self.upstreams
            if each.data_centre == data_centre
        ]
        return [self.queue.pool.state_of(each) for each in ids]

    def submit(self):
        """Submit a request; return its ticket."""
        self.number += 1
        ticket = make_ticket(f"r{self.number}", self.clock.monotonic_s())
        ticket.target_s = TARGET_S
        ticket.on_decision = self.decisions.append
        self.dispatcher.submit(ticket)
        return ticket

    def choices(self, count: int) -> list[str]:
        """Return where each of so many requests goes that end one after another."""
        chosen = []
        for _ in range(count):
            ticket = self.submit()
            upstream = self.decisions[-1].upstream
            chosen.append(upstream.upstream_id)
            self.run(TICK_S)
            self.dispatcher.release_slot(ticket, upstream)
        return chosen

    def run(self, seconds: float) -> None:
        for _ in range(round(seconds / TICK_S)):
            self.clock.advance(TICK_S)
            self.dispatcher.tick()

    def told_demand(self) -> dict[str, float]:
        state, *_ = self.dispatcher.outgoing_updates(leaving=False)
        return state.demand

    def hear(self, demand: dict[str, float], **fields) -> SharedState:
        """Let an entry in the west send a state; return it."""
        self.number += 1
        state = SharedState(
            address="tcp://entry-2:1",
            data_centre="west",
            number=self.number,
            demand=demand,
            **fields,
        )
        self.dispatcher.receive_state(
            InstanceId(name="entry-2", incarnation="1"), state
        )
        return state

    def counted_need(self, data_centre: str) -> float:
        demand = self.dispatcher._spillovers._demand
        return demand.totals(SERVICE).get(data_centre, 0.0)

    def overload(self) -> None:
        """Let more requests arrive than the data centre has slots for."""
        rates = self.queue._rates_of((0, 0))
        rates.mean_hold_s = 1.0
        for _ in range(4 * SLOTS * 2):
            rates.record_arrival(self.clock.monotonic_s())
        self.run(2 * UPDATE_S)


def start_logging(context) -> None:
    context.logged = logbook.TestHandler()
    context.logged.push_application()
    context.add_cleanup(context.logged.pop_application)


# Driven day


@given(
    "a day of {entries:d} entries whose demand swings, at {load:g} of what the engines "
    "can do"
)
def step_day(context, entries, load):
    context.fleet = BenchFleet(entries=entries, engines=entries, told_every_s=0.05)
    context.load = load


@when("it is played with and without spilling over")
def step_play(context):
    context.tallies = {
        is_on: SpilloverDay(
            fleet=context.fleet, seed=1, load=context.load, swings=True, is_on=is_on
        ).play()
        for is_on in (False, True)
    }


def left_part(tally) -> float:
    return tally.sent[False] / tally.sent.total()


@then("with it less than half as many requests leave their data centre")
def step_fewer_leave(context):
    off, on = (left_part(context.tallies[each]) for each in (False, True))
    assert 0.0 < on < off / 2, (off, on)


@then("no rank has 1 percent fewer answers on time")
def step_on_time(context):
    for kind in KINDS:
        off, on = (
            tally.on_time[kind.rank] / tally.asked[kind.rank]
            for tally in (context.tallies[False], context.tallies[True])
        )
        assert on > off - 0.01, (kind.rank, off, on)


@then("no more slots are free while requests of other data centres wait")
def step_no_idle(context):
    off, on = (
        sum(tally.idle) / len(tally.idle)
        for tally in (context.tallies[False], context.tallies[True])
    )
    assert on <= off + 0.1, (off, on)


# Proportions


@given("four data centres of {slots:d} slots each")
def step_four(context, slots):
    context.slots = dict.fromkeys(NAMES, slots)
    context.metrics = Metrics()
    context.spillover = Spillover(
        service=SERVICE, home=NAMES[0], metrics=context.metrics
    )


@when(
    "the need of the first one goes from {low:g} to {high:g} slots and back within "
    "{seconds:g} s, with noise"
)
def step_swing(context, low, high, seconds):
    start_logging(context)
    random, steps = Random(5), round(seconds / UPDATE_S)
    for step in range(steps):
        middle = low + (high - low) * math.sin(math.pi * step / steps)
        # A tenth up and down, as sums of measured rates have.
        need = middle * random.uniform(0.9, 1.1)
        context.spillover.update(context.slots, {NAMES[0]: need}, now_s=step * UPDATE_S)


@then("it starts to spill over once and stops once")
def step_once(context):
    assert context.spillover.changes == 2, context.spillover.changes
    assert not context.spillover.is_spilling


@then("each change is logged by one line")
def step_logged(context):
    lines = [each.message for each in context.logged.records]
    assert lines == [signals.SPILLOVER_BEGAN, signals.SPILLOVER_ENDED], lines


@when("{count:d} entries with random needs are heard in two orders")
def step_orders(context, count):
    random = Random(9)
    rows = [
        (f"e{n}", random.choice(NAMES), {SERVICE: random.uniform(0.0, 9.0)})
        for n in range(count)
    ]
    context.proportions = []
    for ordered in (rows, rows[::-1]):
        demand = PeerDemand(metrics=Metrics())
        demand.set_slots(SERVICE, sum(context.slots.values()))
        for sender, data_centre, needs in ordered:
            demand.merge_peer(sender, data_centre, needs, 0.0)
        spillover = Spillover(service=SERVICE, home=NAMES[0], metrics=Metrics())
        totals = demand.totals(SERVICE)
        spillover.update(context.slots, totals, now_s=0.0)
        context.proportions.append((spillover.proportions(), totals))


@then("both orders give the same proportions, to the last digit")
def step_same_proportions(context):
    first, second = context.proportions
    assert first == second, context.proportions
    assert len(first[0]) > 1, first


@when("they need {first:g}, {second:g}, {third:g} and {fourth:g} slots")
def step_need(context, first, second, third, fourth):
    needs = dict(zip(NAMES, (first, second, third, fourth)))
    context.spillover.update(context.slots, needs, now_s=0.0)


@then("the first sends a part of its requests to the third and more to the fourth")
def step_parts(context):
    parts = context.spillover.proportions()
    assert 0.0 < parts["third"] < parts["fourth"] < parts["first"], parts


@then("it sends none to the second")
def step_none_to_second(context):
    assert "second" not in context.spillover.proportions()


@then("the parts sum to 1")
def step_sum(context):
    assert math.isclose(sum(context.spillover.proportions().values()), 1.0)


@then("the first sends all its requests to its own upstreams")
def step_all_home(context):
    assert context.spillover.proportions() == {"first": 1.0}


@then("no data centre costs more than a tenth of the target")
def step_cost(context):
    for target_s in (0.0, 0.16, 1.2):
        for draw in (0.0, 0.5, 0.99):
            costs = {
                name: context.spillover.cost_s(name, target_s=target_s, draw=draw)
                for name in (*NAMES, "unknown")
            }
            assert min(costs.values()) == 0.0, costs
            assert max(costs.values()) <= 0.1 * target_s, costs


# One entry


@given('an entry in "{own}" with upstreams in "{first}" and "{second}"')
@given('an entry in "" with upstreams in "{first}" and "{second}"')
def step_entry(context, first, second, own=""):
    start_logging(context)
    context.setup = dict(own=own, centres=(first, second))
    context.entry = SpillingEntry(**context.setup)


@given(
    'an entry in "{own}" with upstreams in "{first}" and "{second}" and spillover off'
)
def step_entry_off(context, own, first, second):
    context.entry = SpillingEntry(own=own, centres=(first, second), is_on=False)


@given('all slots in "{data_centre}" are taken')
def step_taken(context, data_centre):
    for state in context.entry.states_in(data_centre):
        state.own_requests |= {f"{state.upstream.upstream_id}-{n}": 0 for n in range(5)}


@given('the upstreams in "{data_centre}" are so slow that an answer would be late')
def step_slow(context, data_centre):
    for state in context.entry.states_in(data_centre):
        state.health.record_step(3.0 * TARGET_S)


@when("a request arrives")
def step_arrives(context):
    context.entry.submit()


@then('it is sent to "{data_centre}" at once')
def step_sent_to(context, data_centre):
    (decision,) = context.entry.decisions
    assert decision.upstream.data_centre == data_centre, decision


@then('its decision says ""')
@then('its decision says "{text}"')
def step_says(context, text=""):
    (decision,) = context.entry.decisions
    assert decision.spillover == text, decision


@then('"{name}" counts "{reason}"')
def step_counts(context, name, reason):
    assert name == SPILLOVER_METRIC
    counters = context.entry.metrics.snapshot()["counters"][name]
    assert counters == {reason: 1}, counters


@when("{count:d} requests arrive and end, one after another")
def step_many(context, count):
    context.chosen = context.entry.choices(count)


@then('between {least:d} and {most:d} of them are sent to "{data_centre}"')
def step_between(context, least, most, data_centre):
    ids = [e.upstream.upstream_id for e in context.entry.states_in(data_centre)]
    counts = Counter(context.chosen)
    assert least <= sum(counts[each] for each in ids) <= most, counts


@then("its choices are those with spillover off")
def step_as_off(context):
    off = SpillingEntry(**context.setup, is_on=False)
    assert context.chosen == off.choices(len(context.chosen))


@then("the entry tells no demand")
def step_tells_none(context):
    context.entry.overload()
    assert context.entry.told_demand() == {}


# Failures


@given('an entry in "west" needs all slots there, and "east" spills over')
def step_west_needs(context):
    entry = context.entry
    entry.overload()
    entry.hear({SERVICE: 2.0 * SLOTS})
    entry.run(UPDATE_S)
    assert entry.spillover.is_spilling
    context.checked_s = 0.0


@when("{seconds:g} s pass without a word")
def step_pass(context, seconds):
    # The time since the word, which is older by an interval of updates.
    context.entry.run(seconds - (0.0 if context.checked_s else UPDATE_S))
    context.checked_s = seconds


@then('none of the entry\'s requests should go to "west"')
def step_none_west(context):
    assert context.entry.spillover.proportions() == {"east": 1.0}


@then('some of the entry\'s requests should go to "west"')
def step_some_west(context):
    parts = context.entry.spillover.proportions()
    assert parts["west"] > 0.0, parts


@when('the entry in "west" says that it leaves')
def step_leaves(context):
    context.entry.hear({}, leaving=True)
    context.entry.run(UPDATE_S)


@when('a state of an entry in "west" arrives that was relayed for {age_s:g} s')
def step_relayed(context, age_s):
    state = SharedState(
        address="tcp://entry-2:1",
        data_centre="west",
        number=1,
        demand={SERVICE: 4.0},
    )
    sender = InstanceId(name="entry-2", incarnation="1")
    context.entry.dispatcher.receive_forwarded_states(
        (PassedOn(sender=sender, age_s=age_s, state=state),)
    )


@then('the entry counts a need of {need:g} slots in "{data_centre}"')
def step_counts_need(context, need, data_centre):
    counted = context.entry.counted_need(data_centre)
    assert counted == need, counted


@when(
    'an entry in "west" tells a need of {valid:g} slots, and three times one of {need}'
)
def step_absurd(context, valid, need):
    for each in (valid, float(need), float(need), float(need)):
        context.entry.hear({SERVICE: each})
        context.entry.run(TICK_S)


@then("it logs one line and counts {count:d} invalid rows")
def step_invalid(context, count):
    lines = [
        each
        for each in context.logged.records
        if each.message == "invalid demand of an entry ignored"
    ]
    assert len(lines) == 1, lines
    assert context.entry.metrics.counter_value(DEMAND_INVALID_METRIC, "row") == count


@when(
    'its clock jumps back by an hour, and "east" gets more requests than it has slots'
)
def step_back(context):
    context.entry.clock.advance(-3600.0)
    context.entry.overload()


@then('"east" spills over')
def step_spills(context):
    assert context.entry.spillover.is_spilling


@when('a state without demand arrives from an entry in "west"')
def step_previous(context):
    context.entry.hear({})
    context.entry.run(UPDATE_S)


# Gossip


@given("{entries:d} entries in {data_centres:d} data centres, with an upstream in each")
def step_fleet(context, entries, data_centres):
    context.fleet = Fleet(entries=entries, data_centres=data_centres)
    upstreams = tuple(upstream_in(f"dc-{n}", n) for n in range(data_centres))
    for entry in context.fleet.entries.values():
        entry.dispatcher.upstreams_changed(upstreams)


@when("each gets {per_s:d} requests per second for {seconds:g} s")
def step_requests(context, per_s, seconds):
    for number in range(round(seconds * per_s)):
        for entry in context.fleet.entries.values():
            submit_request(entry, number)
        context.fleet.run(1.0 / per_s)


@then("all entries count the same need in each data centre, within a tenth")
def step_same_need(context):
    needs = []
    for entry in context.fleet.entries.values():
        spillovers = entry.dispatcher._spillovers
        own = spillovers.rows()[SERVICE]
        totals = spillovers._demand.totals(SERVICE)
        totals[entry.location.data_centre] += own
        needs.append(totals)
    for name in ("dc-0", "dc-1", "dc-2"):
        counted = [each[name] for each in needs]
        assert min(counted) > 0.9 * max(counted), counted
        assert min(counted) > 1.0, counted


# Logs


@given("a log file of a request that left its data centre")
def step_log(context):
    lines = [
        record(1, signals.SPILLOVER_ENDED, service="chat", data_centre="east"),
        record(2, signals.SPILLOVER_BEGAN, service="chat", data_centre="east"),
        record(
            50,
            "request",
            request="r1",
            outcome="whole",
            trail=["u2:answered"],
            spillover={"u2": "to west: no free slot in east"},
            whole_s=0.5,
        ),
    ]
    path = stage_of(context).directory / "entry.log"
    path.write_text("\n".join(lines) + "\n")
    context.files = [str(path)]


@then('the explanation omits "{text}"')
def step_omits(context, text):
    assert text not in context.done.stdout, context.done.stdout


@then("it keeps no sums of it")
def step_no_sums(context):
    demand = context.entry.dispatcher._spillovers._demand
    assert not demand._totals and not demand._rows, demand._totals


@when("requests wait at another entry, and {count:d} requests arrive and end")
def step_wait_elsewhere(context, count):
    entry, chosen = context.entry, []
    for _ in range(count):
        entry.hear({}, waiting={SERVICE: ((0, 9, 1),)})
        chosen += entry.choices(1)
    context.chosen = chosen
