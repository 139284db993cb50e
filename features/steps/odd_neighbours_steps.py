"""Steps that put any odd records among sound ones, and read them with feeds."""

import json
from random import Random

from behave import then
from hypothesis import strategies

from features.helper import fuzz, stage_of
from features.rawstore import RawStore
from lavenderspoke.clock import ManualClock
from lavenderspoke.direct.inforce import CatalogInForce
from lavenderspoke.direct.office import DirectDispatcher
from lavenderspoke.direct.relay import PeerAccess, Relay
from lavenderspoke.direct.settings import Address, Bounds
from lavenderspoke.direct.sharing import EntryLocation
from lavenderspoke.jsoncodec import decode as decode_member
from lavenderspoke.membership.memberlist import Member, decode_members
from lavenderspoke.observing.metrics import Metrics
from lavenderspoke.platform.configuration import decode
from lavenderspoke.platform.entryrecords import DueRecords, RecordWriter, part_of
from lavenderspoke.platform.feeds import ConfigurationFeed, EntriesFeed, UpstreamsFeed
from lavenderspoke.platform.rollouts import OrderTracker
from lavenderspoke.platform.store import Store
from standins.oddrecords import odd_keys, odd_upstreams, odd_values
from standins.platformdeployment import WAIT_S, configuration
from standins.processes import wait_until

ADDRESS = "127.0.0.1:9000"
KEY_AGE_MAX_S = 5.0
LOCATION = EntryLocation(address="tcp://127.0.0.1:7000", data_centre="here")
SOUND = ("a", "b", "c")
ENTRY_FIELDS = {"address": "tcp://127.0.0.1:7001", "data_centre": "here", "version": 1}
VERSION_FIELDS = {"service": "desk", "version": "v1", "copy": 1}
CRASH_FIELDS = {"service": "desk", "contents": ["0123"]}
KEYS = [key for _, key in odd_keys()]
ODD_UPSTREAMS = [(b"odd", value) for _, value in odd_upstreams(ADDRESS)]
ODD_ENTRIES = [
    (key, value)
    for key, fields in (
        (b"odd", ENTRY_FIELDS),
        (b"versions/odd", VERSION_FIELDS),
        (b"crash/odd/entry", CRASH_FIELDS),
        (b"quarantine/odd", {"upstreams": []}),
        (b"burst-credit/odd", {"x": 1}),
    )
    for _, value in odd_values(fields)
] + [(b"burst-credit/odd", b"9" * 400)]
ODD_ORDERS = [
    (key, value)
    for key in (b"rollout/desk", b"rollout/odd", b"odd")
    for _, value in odd_values({"service": "desk", "target": "v2", "duration-s": 9})
]


class FollowingEntry:
    """An entry's decisions and feeds, over stores in memory."""

    def __init__(self):
        self.clock, self.metrics = ManualClock(), Metrics()
        self.store = RawStore()
        self.dispatcher = DirectDispatcher(
            name="entry-1",
            location=LOCATION,
            bounds=Bounds(),
            clock=self.clock,
            random=Random(1),
            metrics=self.metrics,
        )
        self.in_force = CatalogInForce(clock=self.clock, key_age_max_s=KEY_AGE_MAX_S)
        peers = PeerAccess(
            name="entry-1", live_peer_names=list, send=lambda name, message: None
        )
        self._common = {
            "store": self.store,
            "clock": self.clock,
            "metrics": self.metrics,
            "relay": Relay(peers=peers, clock=self.clock, random=Random(1)),
        }

    def upstreams(self, take=None) -> UpstreamsFeed:
        return UpstreamsFeed(
            drain_s=2.0,
            on_change=take or self.dispatcher.upstreams_changed,
            on_read=self.dispatcher.upstreams_read,
            **self._common,
        )

    def entries(self) -> EntriesFeed:
        return EntriesFeed(
            name="entry-1",
            location=LOCATION,
            in_force=self.in_force,
            on_change=self.dispatcher.peers_listed,
            on_credits=self.dispatcher.burst_credits_read,
            facts=self.dispatcher.facts,
            **self._common,
        )

    def configuration(self) -> ConfigurationFeed:
        return ConfigurationFeed(
            apply_s=2.0,
            in_force=self.in_force,
            orders=OrderTracker(
                on_order=self.dispatcher.rollout_ordered,
                on_withdrawn=self.dispatcher.order_withdrawn,
                metrics=self.metrics,
            ),
            on_change=self.dispatcher.catalog_changed,
            on_read=self.dispatcher.orders_read,
            **self._common,
        )


def _upstream(name: str, **changes) -> bytes:
    fields = {
        "service": "desk",
        "address": f"127.0.0.1:{9001 + SOUND.index(name)}",
        "zone": "here",
        "slots": 4,
        "version": "v1",
        "state": "ready",
    }
    return json.dumps(fields | changes).encode()


def _records(odd: list) -> strategies.SearchStrategy:
    """Return batches of records: some odd ones, and marks for sound ones."""
    some_odd = strategies.sampled_from(odd) | strategies.tuples(
        strategies.sampled_from(KEYS), strategies.binary(max_size=30)
    )
    batch = strategies.lists(some_odd | strategies.sampled_from(SOUND), max_size=4)
    return strategies.lists(batch, min_size=1, max_size=4)


def _polls(feed) -> None:
    for _ in range(2):
        feed.poll()


@then("all upstreams beside any odd records are followed in {count:d} runs")
def step_upstreams(context, count):
    def check(batches) -> None:
        entry = FollowingEntry()
        feed, expected = entry.upstreams(), {}
        for number, batch in enumerate(batches):
            for each in batch:
                if each in SOUND:
                    state = "draining" if number % 2 else "ready"
                    entry.store.put(each.encode(), _upstream(each, state=state))
                    expected[each] = state == "draining"
                else:
                    entry.store.put(*each)
            _polls(feed)
            listed = _listed(entry)
            found = {each: listed.get(each) for each in expected}
            assert found == expected, (found, expected)
            assert not feed.state.is_blocked(for_s=0.0)
            entry.dispatcher.tick()
            entry.dispatcher.facts.versions_due()
            entry.dispatcher.outgoing_updates(leaving=False)

    fuzz(_records(ODD_UPSTREAMS), check, examples=count)


def _listed(entry: FollowingEntry) -> dict[str, bool]:
    """Return whether each upstream that decisions know of is leaving, by name."""
    queue = entry.dispatcher._scheduler.queues().get("desk")
    if queue is None:
        return {}
    states = {name: queue.pool.state_of(name) for name in SOUND}
    return {name: state.upstream.leaving for name, state in states.items() if state}


@then("an upstream that a listener can't take costs only itself in {count:d} runs")
def step_listener(context, count):
    names = strategies.sampled_from(SOUND)

    def check(drawn) -> None:
        bad, changes = drawn
        taken = []

        def take(upstreams) -> None:
            taken.clear()
            for each in upstreams:
                if (each.name, each.leaving) in bad:
                    raise ValueError(each.name)
                taken.append((each.name, each.leaving))

        entry = FollowingEntry()
        feed, known = entry.upstreams(take), {}
        for read in changes:
            for name, leaving in read:
                state = "draining" if leaving else "ready"
                entry.store.put(name.encode(), _upstream(name, state=state))
                known[name] = leaving
            _polls(feed)
            sound = {each for each in known.items() if each not in bad}
            assert set(taken) == sound, (taken, sound)

    state = strategies.tuples(names, strategies.booleans())
    # Several in one read, too: two that can't be taken may come at once.
    read = strategies.lists(state, min_size=1, max_size=3)
    fuzz(
        strategies.tuples(
            strategies.frozensets(state, max_size=3),
            strategies.lists(read, min_size=1, max_size=4),
        ),
        check,
        examples=count,
    )


@then("a change that isn't taken {count:d} times is handed on again, {ending}")
def step_again(context, count, ending):
    taken, failures = [], [RuntimeError("not now")] * count

    def take(upstreams) -> None:
        if failures:
            raise failures.pop()
        taken.append(upstreams)

    entry = FollowingEntry()
    feed = entry.upstreams(take)
    entry.store.put(b"a", _upstream("a"))
    is_blocked = ending == "by an entry that says so meanwhile"
    assert feed.poll() is not is_blocked
    assert feed.state.is_blocked(for_s=0.0) is is_blocked
    assert feed.poll()
    assert [each.name for each in taken[-1]] == ["a"]
    assert not feed.state.is_blocked(for_s=0.0)


@then("all records of entries beside any odd ones are followed in {count:d} runs")
def step_entries(context, count):
    def check(batches) -> None:
        entry = FollowingEntry()
        feed, expected = entry.entries(), set()
        for batch in batches:
            for each in batch:
                if each in SOUND:
                    value = json.dumps(ENTRY_FIELDS).encode()
                    entry.store.put(f"entry-{each}".encode(), value)
                    fields = VERSION_FIELDS | {"version": each}
                    entry.store.put(
                        f"versions/{each}".encode(), json.dumps(fields).encode()
                    )
                    expected.add(each)
                else:
                    entry.store.put(*each)
            _polls(feed)
            peers = entry.dispatcher.known_peers()
            assert {f"entry-{each}" for each in expected} <= peers.keys()
            versions = entry.dispatcher.stream_versions.records.pairs()
            assert {("desk", each) for each in expected} <= versions
            assert not feed.state.is_blocked(for_s=0.0)
            entry.dispatcher.tick()
            entry.dispatcher.facts.versions_due()
            entry.dispatcher.facts.crashes_due()
            entry.dispatcher.facts.quarantines_due()

    fuzz(_records(ODD_ENTRIES), check, examples=count)


@then("each configuration beside any odd records comes into force in {count:d} runs")
def step_configurations(context, count):
    def check(batches) -> None:
        entry = FollowingEntry()
        feed, version = entry.configuration(), 0
        for batch in batches:
            for each in batch:
                if each in SOUND:
                    version += 1
                    value = json.dumps(configuration(version)).encode()
                    entry.store.put(b"config", value)
                else:
                    entry.store.put(*each)
            _polls(feed)
            catalog = entry.in_force.catalog
            assert (catalog.version if catalog else 0) == version
            assert not feed.state.is_blocked(for_s=0.0)
            entry.dispatcher.tick()

    fuzz(_records(ODD_ORDERS), check, examples=count)


@then("an invalid configuration costs only itself in {count:d} runs")
def step_invalid_configurations(context, count):
    odd = [value for _, value in odd_values(configuration(1_000_000))]
    invalid = [each for each in odd if decode(each).is_err()]

    def check(batches) -> None:
        entry = FollowingEntry()
        feed, version = entry.configuration(), 0
        for batch in batches:
            for each in batch:
                if each is None:
                    version += 1
                    each = json.dumps(configuration(version)).encode()
                    is_last_sound = True
                else:
                    is_last_sound = False
                entry.store.put(b"config", each)
            entry.clock.advance(KEY_AGE_MAX_S)
            _polls(feed)
            catalog = entry.in_force.catalog
            assert (catalog.version if catalog else 0) == version
            assert feed.state.is_blocked(for_s=0.0) is not is_last_sound
            assert entry.in_force.is_fresh() is is_last_sound

    batch = strategies.lists(
        strategies.none() | strategies.sampled_from(invalid), min_size=1, max_size=3
    )
    # The first read has only the newest record.
    fuzz(
        strategies.lists(batch, max_size=3).map(lambda rest: [[None], *rest]),
        check,
        examples=count,
    )


@then("keys are accepted again {seconds:d} s after an entry's record named a version")
def step_required(context, seconds):
    entry = FollowingEntry()
    entry.store.put(b"config", json.dumps(configuration(1)).encode())
    feed = entry.configuration()
    feed.poll()
    assert entry.in_force.is_fresh()
    named = ENTRY_FIELDS | {"version": 2**53}
    entry.store.put(b"odd", json.dumps(named).encode())
    others = entry.entries()
    others.poll()
    others.poll()
    feed.poll()
    assert not entry.in_force.is_fresh()
    entry.clock.advance(seconds)
    feed.poll()
    others.poll()
    assert entry.in_force.is_fresh()


@then("a record that can't be written costs only itself")
def step_writers(context):
    store = stage_of(context).start_standin("store", "platformstore")
    host, _, port = store.address.rpartition(":")
    metrics, clock, written = Metrics(), ManualClock(), []

    def writer(prefix: str, due) -> RecordWriter:
        return RecordWriter(
            prefix=prefix,
            store=Store(address=Address(host=host, port=int(port)), metrics=metrics),
            clock=clock,
            metrics=metrics,
            metric="written",
            due=due,
            on_written=lambda name, value: written.append(name),
            on_deleted=written.append,
        )

    def fails() -> DueRecords:
        raise ValueError("nothing can be decided")

    names = ("k" * 300, "\ud800", "", "sound-1", "no JSON", "sound-2")
    writes = {name: b"" if name == "no JSON" else 1 for name in names}
    due = DueRecords(writes=writes, deletions=["k" * 300, "sound-3"])
    part = part_of([writer("", fails), writer("", lambda: due)])
    part.start()
    wait_until(lambda: "sound-3" in written, WAIT_S, "all are written")
    part.stop()
    assert set(written) == {"sound-1", "sound-2", "sound-3"}, written


@then("each sound member beside any odd ones is listed in {count:d} runs")
def step_members(context, count):
    fields = {"name": "a", "role": "agent", "address": "h:1", "data_centre": "here"}
    odd = [value for _, value in odd_values(fields) if _is_json(value)]
    odd = [each for each in odd if decode_member(each, Member).is_err()]
    sound = json.dumps(fields).encode()

    def check(members: list[bytes]) -> None:
        body = b'{"members": [' + b", ".join(members) + b"]}"
        listed = decode_members(body).unwrap()
        assert len(listed) == members.count(sound)

    item = strategies.sampled_from(odd) | strategies.just(sound)
    fuzz(strategies.lists(item, max_size=5), check, examples=count)


def _is_json(value: bytes) -> bool:
    try:
        json.loads(value)
    except (ValueError, RecursionError):
        return False
    return True
