"""Steps about connections that are reused, and the subset of upstreams preferred."""

import statistics
import time
from collections import Counter
from random import Random

import logbook
from behave import given, then, when

from bench import subsets
from bench.fleet import Fleet
from features.steps.direct_exchange_steps import RawUpstream, outcome, send
from features.steps.direct_handling_steps import (
    STREAM_END,
    STREAM_HEAD,
    OneUpstreamDispatcher,
    accepted_request,
    chunk,
    handler_for,
    upstream_at,
)
from lavenderspoke.direct import exchange
from lavenderspoke.direct.connectionpreference import ConnectionView
from lavenderspoke.direct.instances import Upstream
from lavenderspoke.direct.policies import ALL_POLICIES, NO_POLICIES
from lavenderspoke.direct.scheduler import Scheduler
from lavenderspoke.direct.tickets import Dispatch, Ticket
from lavenderspoke.direct.upstreamstate import Load
from lavenderspoke.direct.upstreamsubset import SUBSET_METRIC, UpstreamSubset
from lavenderspoke.observing.metrics import Metrics

SERVICE = "narrative"
SLOTS = 7
TICK_S = 0.25
STREAMS = {
    "event and end": chunk(0) + STREAM_END,
    "event": chunk(0),
    "event and half end": chunk(0) + STREAM_END[:3],
}


# Connections


def counted(metrics: Metrics) -> dict[str, int]:
    values = {
        use.value: metrics.counter_value(exchange.CONNECTIONS_METRIC, use.value)
        for use in exchange.ConnectionUse
    }
    return {use: count for use, count in values.items() if count}


@when("requests are sent to it, two in turn with {ms:d} ms between")
def step_send_two(context, ms):
    metrics = context.connection_pool._metrics
    context.outcomes = [outcome(send(context))]
    time.sleep(ms / 1000)
    context.outcomes.append(outcome(send(context)))
    context.counted = counted(metrics)


@then('its connections are counted as "{wanted}"')
def step_counted(context, wanted):
    uses = set(wanted.split(", "))
    assert set(context.counted) == uses, context.counted
    reused = context.counted.get("reused", 0)
    assert context.counted["new"] + reused == 2, context.counted


@given('a stream of "{chunks}" from an upstream')
def step_stream(context, chunks):
    raw = RawUpstream(answer=STREAM_HEAD + STREAMS[chunks], then="keeps")
    context.add_cleanup(raw.close)
    context.dispatcher = OneUpstreamDispatcher(upstream=upstream_at(raw.port))
    context.dispatcher.stream_completed = lambda ticket, steps: None
    accepted = accepted_request(resumable=False, attempts_max=1)
    context.handler = handler_for(accepted, context.dispatcher)


@when("its caller reads one event and leaves")
def step_leaves(context):
    response = context.handler.handle()
    assert next(response.chunks).startswith(b"id: 0")
    context.handler.cancel()
    response.chunks.close()
    context.handler.close()


@then('its attempt ended as "{wanted}", and {count:d} connection is kept')
def step_ended(context, wanted, count):
    ends = [each.value for each in context.dispatcher.outcomes]
    assert ends == [wanted], ends
    assert len(context.dispatcher._connections._idle) == count


# Subsets by themselves


def upstreams_of(count: int) -> list[Upstream]:
    return [
        Upstream(
            # IDs change at each start; names stay.
            upstream_id=f"u{number}@1",
            name=f"u{number}",
            service=SERVICE,
            host="127.0.0.1",
            port=1 + number,
            data_centre="here",
            slots=SLOTS,
        )
        for number in range(count)
    ]


def subset_of(name, upstreams, entries, now_s=0.0, subset=None) -> UpstreamSubset:
    subset = subset or UpstreamSubset(name=name, metrics=Metrics())
    subset.update(upstreams, entries, 0.0, now_s)
    return subset


def members(subset: UpstreamSubset, upstreams: list[Upstream]) -> set[str]:
    return {each.name for each in upstreams if subset.contains(each.upstream_id)}


@given("{entries:d} entries, each with a subset of {count:d} upstreams")
def step_entries(context, entries, count):
    context.upstreams = upstreams_of(count)
    context.names = [f"entry-{number}" for number in range(entries)]
    context.subsets = {
        name: subset_of(name, context.upstreams, context.names)
        for name in context.names
    }
    context.members = {
        name: members(each, context.upstreams) for name, each in context.subsets.items()
    }


@then("each subset has {size:d} upstreams")
def step_sizes(context, size):
    assert {len(each) for each in context.members.values()} == {size}


@then("the busiest upstream is in at most {times:g} times the mean number of subsets")
def step_busiest(context, times):
    counts = Counter(name for each in context.members.values() for name in each)
    mean = sum(counts.values()) / len(context.upstreams)
    assert max(counts.values()) <= times * mean, (counts, mean)


@then("each upstream is in at least {least:d} subsets")
def step_least(context, least):
    counts = Counter(name for each in context.members.values() for name in each)
    assert all(counts[each.name] >= least for each in context.upstreams), counts


@then("each entry has computed {count:d} hashes")
def step_hashes(context, count):
    assert {len(each._ranks.hashes) for each in context.subsets.values()} == {count}


@then('entry 0 prefers "{names}"')
def step_prefers(context, names):
    assert " ".join(sorted(context.members["entry-0"])) == names, context.members[
        "entry-0"
    ]


@when("one entry leaves")
def step_entry_leaves(context):
    gone = context.names.pop(1)
    del context.subsets[gone]
    context.before = context.members
    context.members = {
        name: members(
            subset_of(name, context.upstreams, context.names, 1.0, each),
            context.upstreams,
        )
        for name, each in context.subsets.items()
    }


@then("on average at most {count:d} upstream of each subset is new")
def step_new(context, count):
    new = [len(each - context.before[name]) for name, each in context.members.items()]
    assert statistics.mean(new) <= count, new


@when("two entries leave and one upstream starts, and every second entry knows")
def step_lists_differ(context):
    left = context.names[2:]
    listed = context.upstreams
    context.upstreams = upstreams_of(len(listed) + 1)
    context.members = {}
    for number, name in enumerate(left):
        subset = context.subsets[name]
        if number % 2:
            subset_of(name, context.upstreams, left, 1.0, subset)
        context.members[name] = members(
            subset, context.upstreams if number % 2 else listed
        )


@given(
    "an entry's subset of {count:d} upstreams with {slots:d} slots, "
    "among {entries:d} entries"
)
def step_subset(context, count, slots, entries):
    assert slots == SLOTS
    context.upstreams = upstreams_of(count)
    context.names = [f"entry-{number}" for number in range(entries)]
    context.metrics = Metrics()
    context.subset = UpstreamSubset(name="entry-0", metrics=context.metrics)
    context.now_s = 0.0
    context.log = logbook.TestHandler()
    update(context, 0.0)


def update(context, demand_slots: float) -> None:
    with context.log.applicationbound():
        context.subset.update(
            context.upstreams, context.names, demand_slots, context.now_s
        )


def pass_time(context, seconds: float, demand_slots: float) -> None:
    for _ in range(round(seconds / TICK_S)):
        context.now_s += TICK_S
        update(context, demand_slots)


@when("its requests need {demand:g} slots")
def step_need(context, demand):
    update(context, demand)


@when("{seconds:g} s pass in which its requests need {demand:g} slots")
def step_pass(context, seconds, demand):
    pass_time(context, seconds, demand)


@when(
    "its requests need {high:g} slots and {low:g} slots in turn, {each_s:g} s each, "
    "for {seconds:g} s"
)
def step_swing(context, high, low, each_s, seconds):
    for _ in range(round(seconds / each_s / 2)):
        pass_time(context, each_s, high)
        pass_time(context, each_s, low)


@when("{count:d} requests are sent outside it")
def step_sent_outside(context, count):
    outside = [
        each.upstream_id
        for each in context.upstreams
        if not context.subset.contains(each.upstream_id)
    ]
    for upstream_id in outside[:count]:
        context.subset.record_choice(upstream_id)
    pass_time(context, TICK_S, 0.0)


@then("it has {size:d} upstreams")
def step_size(context, size):
    assert context.subset.size == size, context.subset.size
    assert len(members(context.subset, context.upstreams)) == size


def changes(context, kind: str) -> int:
    return context.metrics.counter_value(SUBSET_METRIC, kind)


@then(
    "it was widened {widened:d} time and narrowed {narrowed:d} times, "
    "in at most {lines:d} log lines"
)
def step_changes(context, widened, narrowed, lines):
    found = changes(context, "widened"), changes(context, "narrowed")
    assert found == (widened, narrowed), found
    assert 1 <= len(context.log.records) <= lines, context.log.formatted_records


@then("it was widened and narrowed, in at most {lines:d} log lines")
def step_bounded(context, lines):
    total = changes(context, "widened") + changes(context, "narrowed")
    assert changes(context, "narrowed") and total > len(context.log.records)
    assert len(context.log.records) <= lines, len(context.log.records)


# The choice of an upstream


class ChoosingEntry:
    """One entry of many, with fakes of the others and of its connections."""

    def __init__(self, *, entries: int, upstreams: int, policies=ALL_POLICIES, **view):
        self.idle: set[str] = set()
        self.upstreams = upstreams_of(upstreams)
        self.peer_loads: dict[str, Load] = {}
        connection_view = ConnectionView(
            entry_name="entry-0",
            live_entries=lambda: [f"entry-{number}" for number in range(1, entries)],
            has_idle=self.idle.__contains__,
            metrics=Metrics(),
        )
        self.scheduler = Scheduler(
            random=Random(5),
            policies=policies,
            peer_loads=lambda: self.peer_loads,
            **({"connection_view": connection_view} | view),
        )
        self.queue = self.scheduler.queue(SERVICE)
        self.scheduler.reconfigure(tuple(self.upstreams), 0.0)
        self.scheduler.tick(0.0)
        self._number = 0

    def subset_ids(self) -> set[str]:
        subset = self.queue.pool._connection_preference.subset
        assert subset.is_partial
        return {u.upstream_id for u in self.upstreams if subset.contains(u.upstream_id)}

    def submit(self) -> tuple[Ticket, list]:
        decisions: list = []
        self._number += 1
        ticket = Ticket(
            request_id=f"r{self._number}",
            service=SERVICE,
            rank=(0, 0),
            prompt_tokens=0,
            answer_tokens=5,
            first_arrived_s=0.0,
            idle_since_s=0.0,
            deadline_s=5.0,
            target_s=0.5,
            patience_s=5.0,
            resubmitted=False,
            on_decision=decisions.append,
        )
        self.queue.submit(ticket, 0.01)
        return ticket, decisions

    def submit_in_turn(self, count: int) -> list[str]:
        """Return the upstreams of requests that each end before the next comes."""
        sent_to = []
        for _ in range(count):
            ticket, (decision,) = self.submit()
            sent_to.append(decision.upstream.upstream_id)
            self.queue.release(ticket, sent_to[-1], 0.02)
        return sent_to


@given("an entry among {entries:d} that chooses among {count:d} upstreams")
def step_entry(context, entries, count):
    context.entry = ChoosingEntry(entries=entries, upstreams=count)
    context.inside = context.entry.subset_ids()


@when("all upstreams of its subset are {failure}")
def step_fail(context, failure):
    entry, pool = context.entry, context.entry.queue.pool
    if failure == "gone":
        left = [u for u in entry.upstreams if u.upstream_id not in context.inside]
        entry.scheduler.reconfigure(tuple(left), 0.005)
        return
    for upstream_id in context.inside:
        state = pool.state_of(upstream_id)
        if failure == "ejected":
            state.health.eject(0.005)
        elif failure == "full":
            state.peer_load = Load(requests=SLOTS)
        else:
            assert failure == "slower than others"
            state.health.step_s = 0.1


@when("it gets {count:d} requests at the same time")
def step_requests(context, count):
    context.decisions = [context.entry.submit()[1] for _ in range(count)]


@then("all are sent at once, none to its subset")
def step_sent_elsewhere(context):
    for decisions in context.decisions:
        assert len(decisions) == 1 and isinstance(decisions[0], Dispatch), decisions
        assert decisions[0].upstream.upstream_id not in context.inside


@when("it gets {count:d} requests, one after the other")
def step_in_turn(context, count):
    context.sent_to = context.entry.submit_in_turn(count)


@then("all are sent to its subset")
def step_to_subset(context):
    assert set(context.sent_to) <= context.inside, context.sent_to


@when("it has an idle connection to an upstream outside its subset")
def step_idle_outside(context):
    context.idle = next(
        u.upstream_id
        for u in context.entry.upstreams
        if u.upstream_id not in context.inside
    )
    context.entry.idle.add(context.idle)


@then("all are sent to the upstream with an idle connection")
def step_to_idle(context):
    assert set(context.sent_to) == {context.idle}, context.sent_to


@given("another one with upstream-subsets disabled")
def step_disabled(context):
    context.disabled = ChoosingEntry(entries=27, upstreams=25, policies=NO_POLICIES)
    context.without = ChoosingEntry(entries=27, upstreams=25, connection_view=None)


@then("the other one sends as one without a view of connections does")
def step_same(context):
    context.disabled.idle.add("u3@1")
    sent_to = context.disabled.submit_in_turn(30)
    assert sent_to == context.without.submit_in_turn(30)
    assert sent_to != context.sent_to


# Whole entries


@given("each of them has {count:d} upstreams")
def step_upstreams(context, count):
    context.upstreams = upstreams_of(count)
    for entry in context.fleet.entries.values():
        entry.dispatcher.upstreams_changed(tuple(context.upstreams))
        entry.dispatcher.tick()


@when("one entry is killed and they run for {seconds:g} s")
def step_kill_one(context, seconds):
    context.fleet.entries["entry-5"].is_down = True
    context.fleet.run(seconds)


@then("each entry's subset is that of {count:d} live entries")
def step_agreed(context, count):
    live = [name for name, e in context.fleet.entries.items() if not e.is_down]
    assert len(live) == count
    for name in live:
        dispatcher = context.fleet.entries[name].dispatcher
        dispatcher.tick()
        pool = dispatcher._scheduler.queue(SERVICE).pool
        own = members(pool._connection_preference.subset, context.upstreams)
        wanted = members(subset_of(name, context.upstreams, live), context.upstreams)
        assert own == wanted and len(own) < len(context.upstreams), (name, own, wanted)


# The driven model


@given("a driven day of {entries:d} entries and {engines:d} engines")
def step_day(context, entries, engines):
    context.fleet = Fleet(entries=entries, engines=engines, told_every_s=0.08)


@when("it is played with subsets and without")
def step_play(context):
    context.days = [
        subsets.SubsetDay(fleet=context.fleet, seed=1, policies=policies)
        for policies in (ALL_POLICIES, NO_POLICIES)
    ]
    context.worths = [day.worth() for day in context.days]


@then("with subsets, at most {times:g} times as many new connections are opened")
def step_fewer(context, times):
    with_it, without = (day.new_per_request() for day in context.days)
    assert with_it <= times * without, (with_it, without)


@then("worth is at most {loss:g} lower")
def step_worth(context, loss):
    with_it, without = context.worths
    assert with_it >= without - loss, context.worths
