"""Steps about customers' burst credits: entries, a store and callers on one clock."""

from collections import deque

import attrs
from behave import given, then, when
from result import Err, Ok

from lavenderspoke.clock import ManualClock
from lavenderspoke.direct.burstcredits import BurstCredits
from lavenderspoke.direct.catalog import Customer
from lavenderspoke.direct.quota import SharedQuota, Tolerance
from lavenderspoke.direct.records import KeyedRecord, RecordBatch, StoreError
from lavenderspoke.observing.metrics import Metrics
from lavenderspoke.platform.burstcredits import (
    KEY_PREFIX,
    RETRY_PAUSE_S,
    CreditWriter,
    read_credits,
)
from lavenderspoke.platform.store import Conflict

WINDOW_S = 8.0
TOLERANCE = Tolerance(part=0.1, tokens=60.0)
TICK_S = 0.01
REPORT_TICKS = 10
COST = 2.0
CUSTOMER = Customer(
    name="tours",
    keys=(),
    rank=0,
    per_s=100.0,
    burst=100.0,
    counts_tokens=True,
    default_tokens=1,
)


@attrs.define(kw_only=True)
class Entry:
    name: str
    incarnation: int
    quota: SharedQuota
    credits: BurstCredits | None
    is_cut: bool = False
    is_suspended: bool = False


class Fleet:
    """Three entries, the store's records, and what was admitted when."""

    def __init__(self, *, has_credits: bool):
        self.now_s = 0.0
        self.customer = CUSTOMER
        self.records: dict[str, float] = {}
        self.is_store_down = False
        self.lost_responses_until_s = 0.0
        self.admitted: deque = deque()
        self.asked: deque = deque()
        self._ticks = 0
        self._has_credits = has_credits
        self.entries = [self.new_entry(f"entry-{n}", 0) for n in (1, 2, 3)]

    def new_entry(self, name: str, incarnation: int) -> Entry:
        credits = None
        if self._has_credits:
            credits = BurstCredits(name=name, now_s=self.now_s, window_s=WINDOW_S)
            credits.read_records(self.records, self.now_s)
        quota = SharedQuota(window_s=WINDOW_S, tolerance=TOLERANCE, credits=credits)
        quota.reconfigure((self.customer,), now_s=self.now_s)
        return Entry(name=name, incarnation=incarnation, quota=quota, credits=credits)

    def kill_all(self) -> None:
        self.entries = [
            self.new_entry(each.name, each.incarnation + 1) for each in self.entries
        ]

    def run(self, seconds: float, per_s: float, kills_s: tuple = ()) -> None:
        end_s, due = self.now_s + seconds, 0.0
        kills = deque(self.now_s + each for each in kills_s)
        while self.now_s < end_s:
            self.now_s += TICK_S
            self._ticks += 1
            if kills and self.now_s >= kills[0]:
                kills.popleft()
                self.kill_all()
            if self._ticks % REPORT_TICKS == 0:
                self._exchange()
            due += per_s * TICK_S
            while due >= COST:
                due -= COST
                self._ask()

    def _ask(self) -> None:
        entry = self.entries[len(self.asked) % len(self.entries)]
        self.asked.append(self.now_s)
        if entry.quota.spend(self.customer, COST, rank=0, now_s=self.now_s):
            self.admitted.append(self.now_s)

    def _exchange(self) -> None:
        awake = [each for each in self.entries if not each.is_suspended]
        for entry in awake:
            peers = [
                each
                for each in awake
                if each is not entry and not (each.is_cut or entry.is_cut)
            ]
            entry.quota.set_entry_counts(live=1 + len(peers), known=3)
            for peer in peers:
                entry.quota.merge_peer_spent(
                    peer.name,
                    str(peer.incarnation),
                    peer.quota.spent(),
                    now_s=self.now_s,
                )
                if entry.credits is not None:
                    entry.credits.merge_peer(peer.name, peer.credits.rows(), self.now_s)
            if entry.credits is not None:
                self._decide(entry, peers)

    def _decide(self, entry: Entry, peers: list[Entry]) -> None:
        entry.credits.update(
            entry.quota.bucket_states(self.now_s),
            live_peers=[each.name for each in peers],
            all_live=len(peers) == len(self.entries) - 1,
            now_s=self.now_s,
        )
        if self.is_store_down:
            return
        is_answered = self.now_s >= self.lost_responses_until_s
        for customer, tokens in entry.credits.writes_due().items():
            self.records[customer] = tokens
            if is_answered:
                entry.credits.record_written(customer, tokens)
        for customer in entry.credits.deletions_due():
            self.records.pop(customer, None)
            if is_answered:
                entry.credits.record_deleted(customer)

    def responsible(self) -> Entry:
        (entry,) = [each for each in self.entries if each.credits.rows()]
        return entry

    def admitted_share(self, last_s: float) -> float:
        asked = sum(at_s > self.now_s - last_s for at_s in self.asked)
        return sum(at_s > self.now_s - last_s for at_s in self.admitted) / asked

    def most_in_window(self) -> float:
        most, first = 0, 0
        times = list(self.admitted)
        for last, at_s in enumerate(times):
            while times[first] <= at_s - WINDOW_S:
                first += 1
            most = max(most, last - first + 1)
        return most * COST


@given("entries with burst credits")
def step_with_credits(context):
    context.fleet = Fleet(has_credits=True)


@given("entries without burst credits")
def step_without_credits(context):
    context.fleet = Fleet(has_credits=False)


@given("a store that is down")
def step_store_down(context):
    context.fleet.is_store_down = True


@given("a store that loses its responses for {seconds:g} s after the rise")
def step_lost_responses(context, seconds):
    context.lost_s = seconds


@when(
    "the customer asks for {quiet:g} a second for {before:g} s and then for {rate:g} a "
    "second for {seconds:g} s"
)
def step_rise(context, quiet, before, rate, seconds):
    context.fleet.run(before, quiet)
    fleet = context.fleet
    fleet.lost_responses_until_s = fleet.now_s + getattr(context, "lost_s", 0.0)
    context.rise = (rate, seconds)
    if not hasattr(context, "kills_s") and not _kills_follow(context):
        fleet.run(seconds, rate)


def _kills_follow(context) -> bool:
    steps = [each.name for each in context.scenario.steps]
    return any("entries are killed" in each for each in steps)


@when("all entries are killed {first:g} s after the rise")
def step_killed_once(context, first):
    rate, seconds = context.rise
    context.fleet.run(seconds, rate, kills_s=(first,))


@when("all entries are killed {first:g} s and {second:g} s after the rise")
def step_killed_twice(context, first, second):
    rate, seconds = context.rise
    context.fleet.run(seconds, rate, kills_s=(first, second))


@when("nothing is asked for {seconds:g} s")
def step_quiet(context, seconds):
    context.fleet.run(seconds, 0.0)


@when("the responsible entry is killed for good")
def step_responsible_dies(context):
    context.dead = context.fleet.responsible()
    context.fleet.entries.remove(context.dead)


@when("one entry is cut off from the others")
def step_cut(context):
    entry = next(e for e in context.fleet.entries if not e.credits.rows())
    entry.is_cut = True


@when("the responsible entry is suspended for {seconds:g} s")
def step_suspended(context, seconds):
    context.suspended = context.fleet.responsible()
    context.suspended.is_suspended = True
    context.fleet.run(seconds, 0.0)
    context.suspended.is_suspended = False
    context.fleet.run(REPORT_TICKS * TICK_S, 0.0)


@when(
    "its limit is lowered to {per_s:g} a second and it asks for {rate:g} a second for "
    "{seconds:g} s"
)
def step_lowered(context, per_s, rate, seconds):
    fleet = context.fleet
    fleet.customer = attrs.evolve(CUSTOMER, per_s=per_s, burst=per_s)
    for entry in fleet.entries:
        entry.quota.reconfigure((fleet.customer,), now_s=fleet.now_s)
    fleet.run(seconds, rate)


@when("a peer tells of credits of -5, 0, 1e300, inf and nan")
def step_malformed(context):
    entry = context.fleet.entries[0]
    values = (-5.0, 0.0, 1e300, float("inf"), float("nan"))
    rows = [("tours", each) for each in values]
    context.malformed = entry.credits.merge_peer("entry-2", rows, 1.0)
    context.entry = entry


@then("they are counted as malformed, and none is in force")
def step_none_in_force(context):
    assert context.malformed == 5, context.malformed
    assert context.entry.credits.credit_of("tours", 1.0) == 0.0


@then("at least {part:d}% of what it asked for in the last {seconds:g} s is admitted")
def step_at_least(context, part, seconds):
    share = context.fleet.admitted_share(seconds)
    assert share >= part / 100, share


@then("at most {part:d}% of what it asked for in the last {seconds:g} s is admitted")
def step_at_most(context, part, seconds):
    share = context.fleet.admitted_share(seconds)
    assert share <= part / 100, share


@then("no 8 s hold more than {tokens}")
def step_window(context, tokens):
    most = context.fleet.most_in_window()
    assert most <= float(tokens.replace(",", "")), most


@then("the store holds no credit")
def step_no_record(context):
    assert not context.fleet.records, context.fleet.records


@then("the store holds a credit")
def step_record(context):
    assert context.fleet.records.get("tours", 0.0) > 0.0


@then("the others believe in no credit of its")
def step_no_belief(context):
    entries, now_s = context.fleet.entries, context.fleet.now_s
    told = {entry.credits.credit_of("tours", now_s) for entry in entries}
    living = {tokens for entry in entries for _, tokens in entry.credits.rows()}
    assert max(told) <= max(living, default=0.0), (told, living)


@then("it tells of no credit")
def step_tells_none(context):
    assert context.suspended.credits.rows() == ()


# Records in the store


@given("records of credits, of entries, and malformed ones")
def step_records(context):
    values = {
        "burst-credit/tours": b"120.5",
        "burst-credit/guides": b"7",
        "burst-credit/negative": b"-1",
        "burst-credit/none": b"null",
        "burst-credit/flag": b"true",
        "burst-credit/text": b'"7"',
        "burst-credit/huge": b"1e999",
        "burst-credit/broken": b"{",
        "burst-credit/deleted": None,
        "entry-1": b'{"address": "tcp://10.0.0.1:7600"}',
    }
    context.records = [
        KeyedRecord(key=key, value=value, offset=offset)
        for offset, (key, value) in enumerate(values.items())
    ]


@then("only the valid credits are read")
def step_valid_records(context):
    assert read_credits(context.records) == {"tours": 120.5, "guides": 7.0}


class FakeStore:
    """A topic that counts its records; `on_read` runs after each read."""

    def __init__(self):
        self.values: dict[str, bytes] = {}
        self.end_offset = 0
        self.calls: list[tuple] = []
        self.is_away = False
        self.on_read = lambda: None

    def newest(self, topic):
        if self.is_away:
            self.calls.append(("newest",))
            return Err(StoreError(detail="away"))
        batch = RecordBatch(records=(), next_offset=self.end_offset)
        self.on_read()
        return Ok(batch)

    def append(self, topic, key, value, *, unchanged_since=None):
        end_offset = unchanged_since.next_offset if unchanged_since else None
        self.calls.append((key, value, end_offset))
        if self.is_away:
            return Err(StoreError(detail="away"))
        if end_offset not in (None, self.end_offset):
            return Err(Conflict())
        self.end_offset += 1
        self.values[key] = value
        return Ok(None)


class FakeDecisions:
    """Credits and deletions that are due, and those that were carried out."""

    def __init__(self):
        self.writes: dict[str, float] = {}
        self.deletions: list[str] = []

    def burst_credits_due(self):
        return dict(self.writes), list(self.deletions)

    def burst_credit_written(self, customer, tokens):
        del self.writes[customer]

    def burst_credit_deleted(self, customer):
        self.deletions.remove(customer)


@given("a writer of credits and a store")
def step_writer(context):
    context.store, context.due = FakeStore(), FakeDecisions()
    context.clock = ManualClock()
    context.writer = CreditWriter(
        store=context.store,
        clock=context.clock,
        metrics=Metrics(),
        dispatcher=context.due,
    )


@when("a credit is due, and then its deletion")
def step_due(context):
    context.due.writes = {"tours": 50.0}
    context.writer.write_due()
    assert not context.due.writes
    context.due.deletions = ["tours"]
    context.writer.write_due()


@then(
    "the store's record was written, and deleted on the condition that nothing changed"
)
def step_written_and_deleted(context):
    key = KEY_PREFIX + "tours"
    assert context.store.calls == [(key, b"50.0", None), (key, None, 1)]
    assert not context.due.deletions


@when("a deletion is due while another entry writes to the topic")
def step_conflict(context):
    context.due.deletions = ["tours"]
    store = context.store

    def write() -> None:
        store.append("", KEY_PREFIX + "tours", b"80.0")

    store.on_read = write
    context.writer.write_due()
    store.on_read = lambda: None


@then("the record stays, and the deletion is still due")
def step_stays(context):
    assert context.store.values[KEY_PREFIX + "tours"] == b"80.0"
    assert context.due.deletions == ["tours"]


@when("the store is away")
def step_away(context):
    context.store.is_away = True
    context.store.calls.clear()
    context.writer.write_due()
    context.clock.advance(RETRY_PAUSE_S * 0.9)
    context.writer.write_due()


@then("one call fails and none follows within a second")
def step_one_call(context):
    assert context.store.calls == [("newest",)], context.store.calls
    context.clock.advance(RETRY_PAUSE_S)
    context.writer.write_due()
    assert len(context.store.calls) == 2
