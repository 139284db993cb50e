"""Steps about entries that relay records of the platform's store."""

import heapq
import itertools
import json
from random import Random

from behave import given, step, then, when
from result import Err, Ok

from lavenderspoke.direct.feed import STORE_CALLS, CallReason
from lavenderspoke.direct.inforce import CatalogInForce
from lavenderspoke.direct.messages import RecordsAsked, RecordsTold
from lavenderspoke.direct.records import (
    KeyedRecord,
    OffsetExpired,
    RecordBatch,
    StoreError,
)
from lavenderspoke.direct.relay import PeerAccess, Relay
from lavenderspoke.model import InstanceId
from lavenderspoke.observing.metrics import Metrics
from lavenderspoke.platform.feeds import (
    CONFIGURATION_TOPIC,
    UPSTREAMS_TOPIC,
    ConfigurationFeed,
    UpstreamsFeed,
)
from lavenderspoke.platform.rollouts import OrderTracker
from lavenderspoke.platform.store import RESPONSE_MARGIN_S
from standins.platformdeployment import configuration, route

# As in an entry with the default bounds, in seconds.
KEY_AGE_MAX_S = 4.6
DRAIN_S = 2.0
APPLY_S = 2.0
# Duration of a store call, in seconds.
CALL_S = 0.01
# Interval at which the entries' state is sampled, in seconds.
STEP_S = 0.05


class Simulation:
    """Entries and a fake store on a simulated clock."""

    def __init__(self, *, entries: int, feed: str):
        self.now_s = 0.0
        self.topics: dict[str, list[KeyedRecord]] = {}
        self.expired_before = 0
        # The number of the store's copy, and an earlier one to go back to.
        self.epoch = 1
        self.copy: dict[str, list[KeyedRecord]] = {}
        # Names of entries. Store calls of rejected ones fail, those of entries that it
        # is unresponsive to do so only after a timeout; feeds of hanging ones stop.
        self.rejected: set[str] = set()
        self.disconnected: set[str] = set()
        self.unresponsive_to: set[str] = set()
        self.hanging: set[str] = set()
        self.calls: dict[str, int] = {}
        self.largest_reply_bytes = 0
        self.entries = {}
        self._events: list = []
        self._numbers = itertools.count()
        names = [f"entry-{n}" for n in range(entries)]
        for name in names:
            self.calls[name] = 0
            self.entries[name] = SimulatedEntry(world=self, name=name, feed=feed)
        for number, name in enumerate(names):
            self.at(number * 0.03, self.entries[name].run)

    def monotonic_s(self) -> float:
        return self.now_s

    def at(self, when_s: float, work) -> None:
        heapq.heappush(self._events, (when_s, next(self._numbers), work))

    def run(self, seconds: float) -> None:
        end_s = self.now_s + seconds
        while self._events and self._events[0][0] <= end_s:
            self.now_s, _, work = heapq.heappop(self._events)
            work()
        self.now_s = end_s

    def append(self, topic: str, key: str, value: dict | None) -> None:
        records = self.topics.setdefault(topic, [])
        data = None if value is None else json.dumps(value).encode()
        records.append(KeyedRecord(key=key, value=data, offset=len(records)))
        for entry in self.entries.values():
            entry.end_long_poll()

    def go_back(self, epoch: int) -> None:
        """Lose all records that were appended since the copy."""
        self.topics = {topic: list(records) for topic, records in self.copy.items()}
        self.epoch = epoch

    def send(self, sender: str, name: str, message) -> None:
        if isinstance(message, RecordsTold):
            size = sum(len(value or b"") for _, value, _ in message.records)
            self.largest_reply_bytes = max(self.largest_reply_bytes, size)
        if not {sender, name} & self.disconnected:
            who = InstanceId(name=sender, incarnation="1")
            self.entries[name].relay.handle_message(who, message)
            self.entries[name].end_pause()


class FakeStore:
    """The store as one entry sees it."""

    def __init__(self, *, world: Simulation, name: str):
        self._world = world
        self._name = name
        # Whether the store refused an offset since the entry's last round.
        self.has_refused_offset = False

    def _call(self) -> StoreError | None:
        self._world.calls[self._name] += 1
        is_rejected = self._name in self._world.rejected | self._world.disconnected
        return StoreError(detail="rejected") if is_rejected else None

    def newest(self, topic: str):
        if error := self._call():
            return Err(error)
        records = self._world.topics.get(topic, [])
        newest = {record.key: record for record in records}
        present = tuple(r for r in newest.values() if r.value is not None)
        return Ok(
            RecordBatch(
                records=present, next_offset=len(records), epoch=self._world.epoch
            )
        )

    def read(self, topic: str, from_offset: int, *, wait_s: float):
        if error := self._call():
            return Err(error)
        if from_offset < self._world.expired_before:
            return Ok(
                OffsetExpired(
                    first_offset=self._world.expired_before, epoch=self._world.epoch
                )
            )
        records = self._world.topics.get(topic, [])
        if from_offset > len(records):
            self.has_refused_offset = True
            return Ok(OffsetExpired(first_offset=0, epoch=self._world.epoch))
        return Ok(
            RecordBatch(
                records=tuple(records[from_offset:]),
                next_offset=len(records),
                epoch=self._world.epoch,
            )
        )


class SimulatedEntry:
    """One entry's feed, run by the simulated clock.

    A long poll ends early when a record is appended.
    """

    def __init__(self, *, world: Simulation, name: str, feed: str):
        self.name = name
        self.upstreams: tuple = ()
        self.in_force = CatalogInForce(clock=world, key_age_max_s=KEY_AGE_MAX_S)
        self.metrics = Metrics()
        self._world = world
        self._running = False
        self._run_count = 0
        self._in_long_poll = False
        self.relay = Relay(
            peers=PeerAccess(
                name=name,
                live_peer_names=lambda: [
                    n
                    for n in world.entries
                    if n != name and not {n, name} & world.disconnected
                ],
                send=lambda peer, message: world.send(name, peer, message),
            ),
            clock=world,
            random=Random(name),
        )
        self._store = store = FakeStore(world=world, name=name)
        self.orders = []
        if feed == "configuration":
            self.feed = ConfigurationFeed(
                store=store,
                clock=world,
                relay=self.relay,
                metrics=self.metrics,
                apply_s=APPLY_S,
                in_force=self.in_force,
                orders=OrderTracker(
                    on_order=self.orders.append,
                    on_withdrawn=lambda service, number: None,
                    metrics=self.metrics,
                ),
                on_change=lambda catalog: None,
                on_read=lambda sent_s: None,
            )
        else:
            self.feed = UpstreamsFeed(
                store=store,
                clock=world,
                relay=self.relay,
                drain_s=DRAIN_S,
                metrics=self.metrics,
                on_change=self._on_upstreams,
            )

    def _on_upstreams(self, upstreams) -> None:
        self.upstreams = upstreams

    def end_pause(self) -> None:
        """Run the feed at once if its thread would be woken."""
        if self._running or not self.feed._wake.is_set():
            return
        self.feed._wake.clear()
        self._run_in(CALL_S)

    def end_long_poll(self) -> None:
        """Read again at once if a long poll is open: there is a new record."""
        if self._in_long_poll:
            self._run_in(CALL_S)

    def _run_in(self, seconds: float) -> None:
        # A newly scheduled run replaces an earlier one.
        self._run_count += 1
        number = self._run_count
        self._world.at(
            self._world.now_s + seconds,
            lambda: self.run() if number == self._run_count else None,
        )

    def run(self) -> None:
        if self.name in self._world.hanging:
            return
        calls = self._world.calls[self.name]
        self._running = True
        pause_s = self.feed.run_once()
        read = self._world.calls[self.name] > calls
        # The fake responds at once where the store would hold the read.
        is_held = read and not self._store.has_refused_offset
        self._store.has_refused_offset = False
        held_s = self.feed._long_poll_s() if is_held else 0.0
        self._in_long_poll = held_s > 0.0
        if read and self.name in self._world.unresponsive_to:
            self._world.at(
                self._world.now_s + RESPONSE_MARGIN_S, lambda: self._end_run(pause_s)
            )
        else:
            self._end_run(pause_s + held_s)

    def _end_run(self, pause_s: float) -> None:
        self._running = False
        if self.feed._wake.is_set():
            self.feed._wake.clear()
            pause_s = 0.0
        self._run_in(max(CALL_S, pause_s))


@given("{count:d} entries before a store with a configuration")
def step_configured(context, count):
    context.world = Simulation(entries=count, feed="configuration")
    context.world.append(CONFIGURATION_TOPIC, "config", configuration(1))


@given("{count:d} entries before a store with upstreams a and b")
def step_upstreams(context, count):
    context.world = Simulation(entries=count, feed="upstreams")
    for name in ("a", "b"):
        register(context.world, name)


@step("the entries follow it for {seconds:d} s")
def step_follow(context, seconds):
    context.world.run(seconds)


@then("all have it in force and accept keys")
def step_all_fresh(context):
    for entry in context.world.entries.values():
        assert entry.in_force.catalog.version == 1
        assert entry.in_force.is_fresh(), entry.name


@then(
    "the store was called at most {most:d} times in all, and by {others:d} entries "
    "at most {few:d} times"
)
def step_calls(context, most, others, few):
    calls = sorted(context.world.calls.values())
    assert sum(calls) <= most, calls
    assert all(each <= few for each in calls[:others]), calls


@when("the operator writes version {version:d}, and {seconds:g} s pass")
def step_write_version(context, version, seconds):
    content = configuration(version)
    context.world.append(CONFIGURATION_TOPIC, "config", content)
    context.world.run(seconds)


@then("each entry counted all its store calls by reason: {reasons}")
def step_counted(context, reasons):
    seen = set()
    for name, entry in context.world.entries.items():
        counts = {
            reason.value: entry.metrics.counter_value(
                STORE_CALLS, f"{entry.feed.topic}:{reason.value}"
            )
            for reason in CallReason
        }
        assert sum(counts.values()) == context.world.calls[name], (name, counts)
        seen |= {reason for reason, count in counts.items() if count}
    assert seen == set(reasons.split(", ")), seen


@when("the store reads of the first {count:d} entries hang")
def step_reads_hang(context, count):
    context.world.hanging = set(list(context.world.entries)[:count])


@when("the operator writes a version every {gap_s:g} s from {first:d} to {last:d}")
def step_write_versions(context, gap_s, first, last):
    write_versions(context, gap_s, first, last)


@when(
    "the operator writes a version with {count:d} routes every {gap_s:g} s "
    "from {first:d} to {last:d}"
)
def step_write_large_versions(context, count, gap_s, first, last):
    routes = [route(f"r{n}", "idempotent", "desk") for n in range(count)]
    write_versions(context, gap_s, first, last, routes)


def write_versions(context, gap_s, first, last, routes=None) -> None:
    world = context.world
    context.written_s, context.in_force_s = {}, {}
    for version in range(first, last + 1):
        world.at(
            world.now_s + (version - first) * gap_s,
            lambda version=version: write_version(context, version, routes),
        )
    # Goes on after the last version for longer than the scenarios' limits.
    for _ in range(round(((last - first) * gap_s + 3.0) / STEP_S)):
        world.run(STEP_S)
        for name, entry in world.entries.items():
            known = entry.in_force.catalog.version
            for version in range(first, known + 1):
                context.in_force_s.setdefault((name, version), world.now_s)


def write_version(context, version: int, routes: list | None = None) -> None:
    context.written_s[version] = context.world.now_s
    content = configuration(version, routes=routes)
    context.world.append(CONFIGURATION_TOPIC, "config", content)


@then("each was in force within {most_s:g} s at the other {count:d} entries")
@then("each was in force within {most_s:g} s at all {count:d} entries")
def step_each_in_force(context, most_s, count):
    names = list(context.world.entries)[-count:]
    for version, written_s in context.written_s.items():
        for name in names:
            at_s = context.in_force_s.get((name, version), float("inf"))
            assert at_s - written_s <= most_s, (name, version, at_s - written_s)


@when(
    "the operator writes version {version:d} with {count:d} routes, "
    "and {seconds:g} s pass"
)
def step_write_large_version(context, version, count, seconds):
    routes = [route(f"r{n}", "idempotent", "desk") for n in range(count)]
    content = configuration(version, routes=routes)
    context.world.append(CONFIGURATION_TOPIC, "config", content)
    context.world.run(seconds)


@then("no reply held more than {kilobytes:d} KB of values")
def step_reply_size(context, kilobytes):
    assert context.world.largest_reply_bytes <= kilobytes * 1024


@then("each follower called the store at most {most:d} times")
def step_follower_calls(context, most):
    calls = context.world.calls
    assert all(calls[f"entry-{n}"] <= most for n in range(2, 6)), calls


@then("version {version:d} is in force at all entries")
def step_version_all(context, version):
    for entry in context.world.entries.values():
        assert entry.in_force.catalog.version == version, entry.name


@when(
    "the store rejects the first {count:d} entries from now on, and {seconds:d} s pass"
)
def step_reject_first(context, count, seconds):
    world = context.world
    world.rejected = set(list(world.entries)[:count])
    context.stale = set()
    for _ in range(round(seconds / STEP_S)):
        world.run(STEP_S)
        context.stale |= {
            n for n, e in world.entries.items() if not e.in_force.is_fresh()
        }


@when("the store rejects the last {count:d} entries from now on")
def step_reject_last(context, count):
    context.world.rejected = set(list(context.world.entries)[-count:])


@when("the store never responds to the last {count:d} entries from now on")
def step_never_responds(context, count):
    step_reject_last(context, count)
    context.world.unresponsive_to = context.world.rejected


@then("all accepted keys throughout")
def step_never_stale(context):
    assert not context.stale, context.stale


@then("no entry accepts keys")
def step_all_stale(context):
    for entry in context.world.entries.values():
        assert not entry.in_force.is_fresh(), entry.name


@when("a disconnected entry receives a reply {seconds:d} s after its query")
def step_late_reply(context, seconds):
    world = context.world
    context.entry = entry = world.entries["entry-5"]
    query = RecordsAsked(
        topic=CONFIGURATION_TOPIC,
        from_offset=entry.feed.cache.next_offset,
        asked_s=world.now_s,
    )
    reply = world.entries["entry-0"].feed.cache.reply_to(query, world.now_s)
    world.disconnected = {entry.name}
    world.run(seconds)
    peer = InstanceId(name="entry-0", incarnation="1")
    entry.relay.handle_message(peer, reply)


@then("that entry doesn't accept keys")
def step_entry_stale(context):
    assert not context.entry.in_force.is_fresh()


@when("an entry with version 2 in force receives an older reply with version 1")
def step_older_reply(context):
    world = context.world
    entry = context.entry = world.entries["entry-5"]
    old = RecordsTold(
        topic=CONFIGURATION_TOPIC,
        asked_s=world.now_s,
        age_s=0.0,
        next_offset=1,
        whole=True,
        records=(("config", json.dumps(configuration(1)).encode(), 0),),
    )
    step_write_version(context, 2, 2.0)
    entry.relay.handle_message(InstanceId(name="entry-0", incarnation="1"), old)
    context.version_age_s = entry.in_force.age_s()


@then("version 2 stays in force at that entry")
def step_version_stays(context):
    assert context.entry.in_force.catalog.version == 2


@when("upstream a is deleted, and the store expires all records so far")
def step_deleted_and_expired(context):
    world = context.world
    world.append(UPSTREAMS_TOPIC, "a", None)
    world.expired_before = len(world.topics[UPSTREAMS_TOPIC])


def register(world: Simulation, name: str, *, state: str = "ready") -> None:
    record = {
        "service": "s",
        "address": "127.0.0.1:1",
        "zone": "here",
        "slots": 1,
        "state": state,
    }
    world.append(UPSTREAMS_TOPIC, name, record)


@when(
    "the store is down for {down_s:d} s, both records expire, and are back "
    "{register_after_s:d} s after it recovers"
)
def step_store_down(context, down_s, register_after_s):
    world = context.world
    world.rejected = set(world.entries)
    context.known = []

    def run(seconds: float) -> None:
        for _ in range(round(seconds / STEP_S)):
            world.run(STEP_S)
            context.known += [len(e.upstreams) for e in world.entries.values()]

    run(down_s)
    for name in ("a", "b"):
        world.append(UPSTREAMS_TOPIC, name, None)
    world.rejected = set()
    run(register_after_s)
    for name in ("a", "b"):
        register(world, name)
    run(3.0)


@then("all entries knew a and b throughout")
def step_knew(context):
    assert set(context.known) == {2}, sorted(set(context.known))


@when("the store rejects one reader, and upstream a is deleted")
def step_rejected_and_deleted(context):
    # entry-0 is a reader; a rejected follower would go on with the readers' replies.
    context.world.rejected = {"entry-0"}
    context.world.run(3.0)
    context.world.append(UPSTREAMS_TOPIC, "a", None)


@when(
    "{count:d} other upstreams come and go, and a is deleted, while one entry is "
    "disconnected"
)
def step_many_deleted(context, count):
    world = context.world
    world.disconnected = {"entry-5"}
    for number in range(count):
        register(world, f"other-{number}")
        world.append(UPSTREAMS_TOPIC, f"other-{number}", None)
    world.append(UPSTREAMS_TOPIC, "a", None)
    world.run(5.0)
    # entry-5 reaches the other entries again, but not the store.
    world.disconnected, world.rejected = set(), {"entry-5"}


@then("within {seconds:d} s all entries know only b")
def step_only_b(context, seconds):
    context.world.run(seconds)
    for entry in context.world.entries.values():
        names = [upstream.upstream_id for upstream in entry.upstreams]
        assert names == ["b"], (entry.name, names)
