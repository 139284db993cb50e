"""Steps about the sharing of engine time between customers."""

import json
import math
from random import Random
from unittest import mock

import attrs
import logbook
from behave import given, then, when
from result import Err

from bench import ablation, fleet
from bench.customershares import HOT, HOT_S, CustomersDay
from features.entryfleet import make_ticket, upstream_of
from features.helper import stage_of
from features.steps.explain_steps import record
from lavenderspoke.clock import ManualClock
from lavenderspoke.codec import Codec
from lavenderspoke.direct.catalog import Catalog, Customer
from lavenderspoke.direct.customershares import CustomerShares
from lavenderspoke.direct.messages import DirectMessage, SharedState
from lavenderspoke.direct.office import DirectDispatcher
from lavenderspoke.direct.peercounts import PeerCounts
from lavenderspoke.direct.policies import ALL_POLICIES, Policies
from lavenderspoke.direct.scheduler import Scheduler
from lavenderspoke.direct.settings import Bounds
from lavenderspoke.direct.sharereports import INVALID_METRIC
from lavenderspoke.direct.shareweights import share_weights
from lavenderspoke.direct.sharing import EntryLocation
from lavenderspoke.direct.tickets import Dispatch, Refusal, Refuse
from lavenderspoke.envelope import Envelope
from lavenderspoke.model import InstanceId
from lavenderspoke.observing import signals
from lavenderspoke.observing.metrics import Metrics

SERVICE = "narrative"
RANK = (0, 0)
TICK_S = 0.02
MESSAGE_S = 0.1
PROBE_S = 0.05
WITHOUT_SHARES = Policies(customer_shares=False)
PEER = InstanceId(name="entry-1", incarnation="1")


def customer_of(name: str, per_s: float = 100.0) -> Customer:
    return Customer(
        name=name,
        keys=(),
        rank=0,
        per_s=per_s,
        burst=0.0,
        counts_tokens=True,
        default_tokens=1,
    )


# Driven days


class WatchedDay(CustomersDay):
    """A driven day that also counts the lowest rank's dispatches and empty slots."""

    def __init__(self, **arguments):
        super().__init__(**arguments)
        self.empty_parts: list[float] = []
        self._at(HOT_S[0], self._probe)

    def _probe(self) -> None:
        if self.now_s >= HOT_S[1]:
            return
        self._at(self.now_s + PROBE_S, self._probe)
        if any(each.queue(SERVICE).waiting() for each in self._schedulers):
            places = sum(each.figures.places for each in self._engines.values())
            running = sum(each.running for each in self._engines.values())
            self.empty_parts.append(1.0 - running / places)

    def begun(self, *, by_hot: bool) -> int:
        """Return how many of the lowest rank's requests were begun in the burst."""
        return sum(
            HOT_S[0] <= at_s < HOT_S[1]
            for (customer, rank), times_s in self.begun_s.items()
            for at_s in times_s
            if (customer == HOT) == by_hot and rank == 2
        )


def begun_in(days: list[WatchedDay], *, by_hot: bool) -> int:
    return sum(day.begun(by_hot=by_hot) for day in days)


@given(
    "{entries:d} entries before {engines:d} engines, which tell each other every "
    "{told_s:g} s"
)
def step_fleet(context, entries, engines, told_s):
    context.size = fleet.Fleet(entries=entries, engines=engines, told_every_s=told_s)


@when("one of 16 customers asks for six times its usual amount for 7 s")
def step_hot(context):
    seeds = range(1, 5) if context.size.entries < 10 else range(1, 3)
    context.days = {}
    for policies in (WITHOUT_SHARES, ALL_POLICIES):
        days = [
            WatchedDay(fleet=context.size, seed=seed, policies=policies)
            for seed in seeds
        ]
        for day in days:
            day.worth()
        context.days[policies.customer_shares] = days


@then(
    "the other customers get at least {times:g} times the lowest rank's slots in that "
    "time"
)
def step_others_get(context, times):
    before, after = (
        begun_in(context.days[is_on], by_hot=False) for is_on in (False, True)
    )
    assert after >= before * times, (before, after)


@then("their part of these slots rises by at least {rise:g}")
def step_part(context, rise):
    parts = []
    for is_on in (False, True):
        days = context.days[is_on]
        others = begun_in(days, by_hot=False)
        parts.append(others / (others + begun_in(days, by_hot=True)))
    assert parts[1] >= parts[0] + rise, parts


@then("Jain's index rises by at least {rise:g}")
def step_jain(context, rise):
    before, after = (
        sum(day.served.jain() for day in days) / len(days)
        for days in (context.days[False], context.days[True])
    )
    assert after >= before + rise, (before, after)


@then("at most 2% more of the slots stay empty while requests wait")
def step_empty(context):
    parts = {
        is_on: [part for day in days for part in day.empty_parts]
        for is_on, days in context.days.items()
    }
    before, after = (sum(parts[is_on]) / len(parts[is_on]) for is_on in (False, True))
    assert after <= before + 0.02, (before, after)


@then("its requests of each rank are begun during the burst")
def step_each_rank(context):
    begun_s = context.days[True][0].begun_s
    for rank in range(3):
        times_s = [
            at_s for day in context.days[True] for at_s in day.begun_s[HOT, rank]
        ]
        assert any(HOT_S[0] + 1.0 <= at_s < HOT_S[1] for at_s in times_s), begun_s


@then("it never waits longer than {longest_s:g} s for its next request to begin")
def step_never_starves(context, longest_s):
    for day in context.days[True]:
        times_s = sorted(at_s for rank in range(3) for at_s in day.begun_s[HOT, rank])
        during_s = [at_s for at_s in times_s if HOT_S[0] <= at_s < HOT_S[1]]
        during_s = [HOT_S[0], *during_s, HOT_S[1]]
        gaps_s = [after - before for before, after in zip(during_s, during_s[1:])]
        assert max(gaps_s) <= longest_s, max(gaps_s)


@then(
    "a driven day of the {model} earns the same to the last digit with the policy off"
)
def step_same_day(context, model):
    def play() -> float:
        if model == "ablation":
            return ablation.Day(seed=1).worth()
        size = fleet.Fleet(entries=5, engines=5, told_every_s=0.02)
        return fleet.FleetDay(fleet=size, seed=1).worth()

    with_policy = play()
    defaults = Scheduler.__init__.__kwdefaults__
    with mock.patch.dict(defaults, policies=WITHOUT_SHARES):
        without = play()
    assert repr(with_policy) == repr(without), (with_policy, without)


# One queue


class OneSlot:
    """A queue with one slot, which a request holds, on a clock of its own."""

    def __init__(self, policies: Policies = ALL_POLICIES):
        self.now_s = 0.0
        self.metrics = Metrics()
        self.peers = PeerCounts()
        self.decisions: dict[str, object] = {}
        self.scheduler = Scheduler(
            random=Random(1),
            policies=policies,
            metrics=self.metrics,
            peer_counts=lambda service: self.peers,
        )
        self.upstream = upstream_of("u", slots=1)
        self.scheduler.reconfigure((self.upstream,), 0.0)
        self.queue = self.scheduler.queue(SERVICE)
        self.running = self.submit("running", customer="")

    def submit(self, name: str, *, customer: str, **changes):
        ticket = make_ticket(name, self.now_s)
        ticket.customer = customer
        for field, value in changes.items():
            setattr(ticket, field, value)
        ticket.on_decision = lambda each: self.decisions.setdefault(name, each)
        self.queue.submit(ticket, self.now_s)
        return ticket

    def free_slot(self) -> None:
        self.queue.release(self.running, "u", self.now_s)

    def tick(self, seconds: float) -> None:
        end_s = self.now_s + seconds
        while self.now_s < end_s:
            self.now_s += TICK_S
            self.scheduler.tick(self.now_s)

    def is_sent(self, name: str) -> bool:
        return isinstance(self.decisions.get(name), Dispatch)


@given('a queue with one slot, where "hot" has used 10 s and "small" 1 s')
def step_one_slot(context):
    context.one = OneSlot()
    context.one.queue.shares.of(RANK).record_use("hot", 10.0, 0.0)
    context.one.queue.shares.of(RANK).record_use("small", 1.0, 0.0)


@given(
    'a queue with one slot and without the policy, where "hot" has used 10 s and '
    '"small" 1 s'
)
def step_without_policy(context):
    context.one = OneSlot(policies=WITHOUT_SHARES)


@given('other entries say that requests of "small" wait there')
def step_small_elsewhere(context):
    context.one.peers = PeerCounts(
        waiting={RANK: 3}, asking={RANK: {"small": 3}}, entries=1
    )


@given('other entries say that 50 requests of "hot" wait there')
def step_hot_elsewhere(context):
    context.one.peers = PeerCounts(
        waiting={RANK: 50}, asking={RANK: {"hot": 50}}, entries=1
    )
    context.one.tick(TICK_S)


@when('"hot" submits a resubmitted request, and "small" a long one')
def step_both_wait(context):
    one = context.one
    one.submit("hot", customer="hot", resubmitted=True, answer_tokens=1)
    one.submit("small", customer="small", answer_tokens=900, target_s=1e-6)
    one.tick(TICK_S)
    one.free_slot()


@when('only "hot" has requests waiting')
def step_only_hot(context):
    context.one.submit("hot", customer="hot")
    context.one.tick(TICK_S)
    context.one.free_slot()


@then('"{name}" gets the next slot')
def step_gets_next(context, name):
    sent = [each for each in ("hot", "small") if context.one.is_sent(each)]
    assert sent == [name], sent


@then('the log line of the request of "hot" says that its customer is over its share')
def step_says_so(context):
    one = context.one
    small = next(iter(one.queue.pool.state_of("u").own_requests))
    assert small == "small", small
    one.queue.release_unused(make_ticket("small", 0.0), "u", one.now_s)
    one.queue.pool.state_of("u").own_requests.clear()
    one.tick(TICK_S)
    decision = one.decisions["hot"]
    assert "customer over its share: 9." in decision.deferred, decision
    assert not one.decisions["small"].deferred, one.decisions


@then('one request counts as deferred, of rank "{rank}"')
def step_counted(context, rank):
    value = context.one.metrics.counter_value("direct_share_deferred", rank)
    assert value == 1, value


@then('"hot" gets the slot within {most_s:g} s, but not within {least_s:g} s')
def step_not_at_once(context, most_s, least_s):
    context.one.tick(least_s)
    assert not context.one.is_sent("hot")
    context.one.tick(most_s - least_s)
    assert context.one.is_sent("hot")


@then('a request of "hot" is refused as crowded, and one of "small" waits')
def step_backlog(context):
    one = context.one
    one.submit("hot", customer="hot", patience_s=4.0)
    one.submit("small", customer="small", patience_s=4.0)
    assert isinstance(one.decisions["hot"], Refuse), one.decisions
    assert one.decisions["hot"].reason is Refusal.CROWDED, one.decisions
    assert "small" not in one.decisions, one.decisions


@when('20 requests of "hot" are deferred, and 6 s pass')
def step_many_deferred(context):
    one = context.one
    with logbook.TestHandler().threadbound() as handler:
        for number in range(20):
            one.submit(f"hot-{number}", customer="hot")
        one.submit("small", customer="small", answer_tokens=900)
        one.free_slot()
        one.tick(6.0)
    context.lines = [each.message for each in handler.records]


@then('there is one line that "hot" is limited, and one that it no longer is')
def step_two_lines(context):
    about = [each for each in context.lines if "limited by its share" in each]
    assert about == [signals.SHARE_LIMITED, signals.SHARE_ENDED], context.lines


# Totals of a peer


def use_of(shares: CustomerShares, now_s: float, customer: str = "a") -> float:
    return shares.share_of(customer, {customer}, now_s).used_s


def merge(context, shares: CustomerShares, total: float, now_s: float, **others):
    context.now_s = now_s
    totals = {"a": total, **others}
    return shares.merge_peer(PEER.name, PEER.incarnation, totals, now_s)


@given('a peer that used 1 s more of "a" with each of 10 messages')
def step_peer(context):
    context.totals = [(number * MESSAGE_S, 1.0 + number) for number in range(10)]
    context.shares = CustomerShares()
    context.shares.set_slots(10)


@when("every second message is lost, and the others come twice")
def step_lost(context):
    # The first and the last one arrive.
    for at_s, total in [*context.totals[:-1:2], context.totals[-1]]:
        for _ in range(2):
            merge(context, context.shares, total, at_s)


@then('the use of "a" is as if all had come once, within {tolerance_s:g} s')
def step_as_all(context, tolerance_s):
    whole = CustomerShares()
    for at_s, total in context.totals:
        whole.merge_peer(PEER.name, PEER.incarnation, {"a": total}, at_s)
    found, expected = use_of(context.shares, 1.0), use_of(whole, 1.0)
    assert expected > 5.0, expected
    assert abs(found - expected) <= tolerance_s, (found, expected)


def merge_all(context) -> None:
    for at_s, total in context.totals:
        merge(context, context.shares, total, at_s)


@when("all come, and the peer restarts and names 1 s and then 2 s")
def step_restart(context):
    merge_all(context)
    context.now_s = 1.2
    context.used_before_s = use_of(context.shares, context.now_s)
    for at_s, total in ((1.1, 1.0), (1.2, 2.0)):
        context.shares.merge_peer(PEER.name, "2", {"a": total}, at_s)


@then('the use of "a" has grown by 1 s')
def step_grown(context):
    grown_s = use_of(context.shares, context.now_s) - context.used_before_s
    assert abs(grown_s - 1.0) < 1e-6, grown_s


@when("all come, and the next one 60 s later names 500 s more")
def step_gap(context):
    merge_all(context)
    merge(context, context.shares, 510.0, 61.0)


@when("all come, and nothing more for 20 s")
def step_silence(context):
    merge_all(context)
    context.now_s = 21.0
    context.shares.forget_silent_peers(context.now_s)


@then('at most {most_s:g} s of the use of "a" is known')
def step_known(context, most_s):
    assert use_of(context.shares, context.now_s) <= most_s


@when('a peer\'s first message names 5000 s of "a"')
def step_first(context):
    context.shares = CustomerShares()
    merge(context, context.shares, 5000.0, 1.0)


@then('no use of "a" is known')
def step_none_known(context):
    assert use_of(context.shares, context.now_s) == 0.0


@then("its own use alone decides until then")
def step_own_alone(context):
    context.shares.record_use("a", 1.0, 1.0)
    assert context.shares.is_over_share("a", {"a", "b"}, 1.0)
    assert not context.shares.is_over_share("b", {"a", "b"}, 1.0)


@given('customers "a" and "b" with limits of {a:g} and {b:g}')
def step_limits(context, a, b):
    context.shares, context.now_s = CustomerShares(), 0.0
    context.weights = share_weights((customer_of("a", a), customer_of("b", b)))
    context.shares.set_weights(context.weights)


@given('customers "a" and "b" with limits of inf and {b:g}')
def step_infinite(context, b):
    step_limits(context, math.inf, b)


@when('"a" uses 10 s, is removed and added again')
def step_removed(context):
    context.shares.record_use("a", 10.0, 0.0)
    context.shares.set_weights({"b": 1.0})
    context.shares.set_weights(context.weights)
    assert "a" not in context.shares.own_totals()


@when('"a" uses {a_s:g} s and "b" uses 1 s')
def step_uses(context, a_s):
    context.shares.record_use("a", a_s, 0.0)
    context.shares.record_use("b", 1.0, 0.0)


@then('"a" {verdict} its share')
def step_verdict(context, verdict):
    is_over = context.shares.is_over_share("a", {"a", "b"}, 0.0)
    assert is_over == (verdict == "is over"), context.shares.share_of(
        "a", {"a", "b"}, 0.0
    )


@when('"a" uses 1 s, the clock jumps 1e9 s ahead and back again, and 40 s pass')
def step_clock(context):
    context.shares = CustomerShares()
    for at_s in (10.0, 1e9, 10.0):
        context.shares.record_use("a", 1.0, at_s)
    context.now_s = 50.0


@then('1 s more of "a" counts as 1 s')
def step_counts(context):
    before_s = use_of(context.shares, context.now_s)
    context.shares.record_use("a", 1.0, context.now_s)
    assert abs(use_of(context.shares, context.now_s) - before_s - 1.0) < 1e-6


# Messages between entries


def dispatcher_of(name: str, context, customers) -> DirectDispatcher:
    dispatcher = DirectDispatcher(
        name=name,
        location=EntryLocation(address=f"tcp://{name}:1"),
        bounds=Bounds(),
        clock=context.clock,
        random=Random(1),
        metrics=Metrics(),
    )
    dispatcher.upstreams_changed((upstream_of("u"),))
    dispatcher.catalog_changed(
        Catalog(version=1, routes=(), services={}, customers=customers)
    )
    return dispatcher


@given('two entries of one configuration with customers "a" and "b"')
@given('two entries of one configuration with customer "a"')
def step_entries(context):
    context.clock = ManualClock()
    names = ("a", "b") if '"b"' in context.scenario.steps[0].name else ("a",)
    customers = tuple(customer_of(name) for name in names)
    context.first = dispatcher_of("entry-1", context, customers)
    context.second = dispatcher_of("entry-2", context, customers)
    context.number = 0


def dispatch(context, customer: str) -> None:
    ticket = make_ticket(f"r-{customer}", context.clock.monotonic_s())
    ticket.customer = customer
    context.first.submit(ticket)


def send(context) -> SharedState:
    """Send the first entry's state to the second one; return it."""
    context.number += 1
    state = context.first.outgoing_updates(leaving=False)[0]
    state = attrs.evolve(state, number=context.number)
    codec = Codec(messages=DirectMessage)
    to = InstanceId(name="entry-2", incarnation="1")
    packed = codec.encode(Envelope(sender=PEER, recipient=to, message=state))
    received = codec.decode(packed).ok_value.message
    assert received == state, (received, state)
    assert context.second.receive_state(PEER, received)
    context.clock.advance(MESSAGE_S)
    return state


def customers_in(state: SharedState) -> list[str]:
    return [row[2] for row in state.engine_time[SERVICE]]


@when('the first one dispatches requests of "a" and "b"')
def step_dispatch_both(context):
    for _ in range(2):
        for customer in ("a", "b"):
            dispatch(context, customer)
        context.last = send(context)


@when('the first one dispatches requests of "a"')
def step_dispatch_one(context):
    dispatch(context, "a")
    context.last = send(context)


@then("the second one knows their use")
def step_second_knows(context):
    shares = context.second._scheduler.queue(SERVICE).shares.of(RANK)
    now_s = context.clock.monotonic_s()
    assert use_of(shares, now_s, "a") > 0.0
    assert use_of(shares, now_s, "b") > 0.0


@then(
    "the next message names only the customer that changed, and one a second later all"
)
def step_only_changed(context):
    dispatch(context, "a")
    assert customers_in(send(context)) == ["a"]
    assert not send(context).engine_time
    context.clock.advance(1.0)
    assert customers_in(send(context)) == ["a", "b"]


@then("a message of the previous release, without these fields, is understood")
def step_previous_release(context):
    previous = SharedState(address="tcp://entry-1:1", number=context.number + 1)
    assert context.second.receive_state(PEER, previous)


@then("no engine time is sent")
def step_nothing_sent(context):
    assert not context.last.engine_time and not context.last.asking, context.last


def rows_of(a_s: float, b_s: float) -> dict:
    return {SERVICE: ((*RANK, "a", a_s), (*RANK, "b", b_s))}


@when('all come, and then twice one with {total:g} s of "a" and 12 s of "b"')
@when('all come, and then twice one with {total:w} s of "a" and 12 s of "b"')
def step_malformed(context, total):
    total = float(total)
    scheduler = Scheduler(random=Random(1), metrics=Metrics())
    scheduler.reconfigure((upstream_of("u", slots=10),), 0.0)
    queue = scheduler.queue(SERVICE)
    queue.update_shares(0.0)
    context.metrics, context.shares = scheduler.metrics, queue.shares.of(RANK)
    for at_s, each in context.totals:
        scheduler.merge_engine_time(PEER.name, "1", rows_of(each, 5.0), at_s)
    context.before_s = [use_of(context.shares, 2.0, each) for each in ("a", "b")]
    with logbook.TestHandler().threadbound() as handler:
        for at_s in (1.0, 1.1):
            scheduler.merge_engine_time(PEER.name, "1", rows_of(total, 12.0), at_s)
    context.lines = [each.message for each in handler.records]


@then("nothing has changed")
def step_unchanged(context):
    after_s = [use_of(context.shares, 2.0, each) for each in ("a", "b")]
    assert after_s == context.before_s, (after_s, context.before_s)
    merged = context.shares.merge_peer(PEER.name, "1", {"a": 11.0}, 2.0)
    assert not isinstance(merged, Err), merged
    grown_s = use_of(context.shares, 2.0) - context.before_s[0]
    assert abs(grown_s - 1.0) < 1e-6, grown_s


@then('there is one line about it, and 2 in the counter as "{reason}"')
def step_line_and_count(context, reason):
    assert context.lines == ["malformed shares of a peer ignored"], context.lines
    assert context.metrics.counter_value(INVALID_METRIC, reason) == 2


@when("a peer says that -3 requests wait, and another one that 10000000 do")
def step_absurd(context):
    context.clock = ManualClock()
    context.second = dispatcher_of("entry-2", context, (customer_of("a"),))
    with logbook.TestHandler().threadbound() as handler:
        for number, count in enumerate((-3, 10_000_000)):
            sender = InstanceId(name=f"entry-{5 + number}", incarnation="1")
            state = SharedState(
                address=f"tcp://entry-{5 + number}:1",
                asking={SERVICE: ((0, 0, "a", count),)},
            )
            assert context.second.receive_state(sender, state)
    context.lines = [each.message for each in handler.records]


@then('neither is believed, with a line for each and 2 in the counter as "{reason}"')
def step_not_believed(context, reason):
    assert not context.second._peers.counts(SERVICE).asking
    assert context.lines == ["malformed shares of a peer ignored"] * 2, context.lines
    assert context.second._metrics.counter_value(INVALID_METRIC, reason) == 2


# Explaining


@given("a log file of a request whose customer was limited by its share")
def step_share_log(context):
    deferred = "customer over its share: 4.10 s of engine time used, share 1.20 s"
    lines = [
        record(1, signals.SHARE_LIMITED, service="narrative", customer="other"),
        record(2, signals.SHARE_LIMITED, service="narrative", customer="tours"),
        record(
            50,
            "request",
            request="r1",
            customer="tours",
            outcome="no_room",
            deferred=deferred,
            whole_s=0.5,
        ),
    ]
    assert all(json.loads(line) for line in lines)
    path = stage_of(context).directory / "entry.log"
    path.write_text("\n".join(lines) + "\n")
    context.files = [str(path)]
