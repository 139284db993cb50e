"""Steps about upstreams that restart, and about records of other writers."""

import json
import threading
import time
from random import Random

from behave import given, then, when
from hypothesis import strategies
from result import Err

from features.helper import JSON, fuzz
from features.steps.direct_exchange_steps import RawUpstream
from lavenderspoke.clock import ManualClock, SystemClock
from lavenderspoke.codec import Codec
from lavenderspoke.direct.exchange import CancelHandle
from lavenderspoke.direct.inforce import CatalogInForce
from lavenderspoke.direct.messages import DirectMessage
from lavenderspoke.direct.office import DirectDispatcher
from lavenderspoke.direct.records import KeyedRecord, RecordBatch
from lavenderspoke.direct.relay import PeerAccess, Relay
from lavenderspoke.direct.selection import Requirements
from lavenderspoke.direct.settings import Bounds
from lavenderspoke.direct.sharing import EntryLocation
from lavenderspoke.observing.metrics import Metrics
from lavenderspoke.platform.feeds import (
    ConfigurationFeed,
    EntriesFeed,
    UpstreamsFeed,
)
from lavenderspoke.platform.registry import Registry
from lavenderspoke.platform.rollouts import OrderTracker
from standins.processes import HOST

SERVICE = "s"
# For the threads of aborted requests to end.
SETTLED_S = 0.3
FIELDS = ("service", "address", "zone", "slots", "state", "born", "sequence")


def value(port: int = 80, host: str = "10.0.0.9", **changes) -> bytes:
    content = {
        "service": SERVICE,
        "address": f"{host}:{port}",
        "zone": "z",
        "slots": 4,
        "state": "ready",
    }
    return json.dumps(content | changes).encode()


def record(key: str, offset: int, content: bytes | None) -> KeyedRecord:
    return KeyedRecord(key=key, value=content, offset=offset)


def read_record_of(context, born: int) -> None:
    """Have the entry read the upstream's record of that incarnation."""
    context.offset += 1
    content = value(port=context.raw.port, host=HOST, born=born)
    context.registry.apply((record("u", context.offset, content),), 0.0)
    context.dispatcher.upstreams_changed(context.registry.upstreams(0.0))


def upstream(context):
    (listed,) = context.registry.upstreams(0.0)
    return listed


def upstream_state(context):
    line = context.dispatcher._scheduler.queue(SERVICE)
    return line.pool.state_of(upstream(context).upstream_id)


@given('an entry that knows incarnation {born:d} of upstream "u"')
def step_entry(context, born):
    context.clock = ManualClock()
    context.offset = 0
    context.raw = RawUpstream(answer=b"", then="keeps")
    context.add_cleanup(context.raw.close)
    context.registry = Registry()
    context.dispatcher = DirectDispatcher(
        name="entry-1",
        location=EntryLocation(address="tcp://127.0.0.1:1"),
        bounds=Bounds(),
        clock=context.clock,
        random=Random(1),
        metrics=Metrics(),
    )
    read_record_of(context, born)


@given("it is slow, has failed, and one request runs there")
def step_learned(context):
    context.before = upstream(context)
    upstream_state(context).health.record_step(0.9)
    upstream_state(context).health.record_unreachable(0.0)
    upstream_state(context).own_requests["r"] = 100


@when("the upstream's record names incarnation {born:d}")
def step_again(context, born):
    read_record_of(context, born)


@then("the upstream has all its slots free, and no measured step or failure")
def step_forgotten(context):
    fresh = upstream_state(context)
    assert fresh.free_slots() == 4
    assert fresh.health.step_s is None
    assert fresh.health.failure_share == 0.0
    assert fresh.health.usable(0, 0.0)


@then("a request that was at the previous incarnation may be sent there")
def step_may_be_sent(context):
    demand = Requirements(
        prompt_tokens=1,
        answer_tokens=1,
        first_byte_within_s=1.0,
        remaining_s=5.0,
        excluded={context.before.upstream_id},
    )
    pool = context.dispatcher._scheduler.queue(SERVICE).pool
    choice = pool.choose(demand, now_s=0.0)
    assert choice.upstream_state.upstream == upstream(context)


@given("a request waits for a response there")
def step_waits(context):
    context.sent = []
    pool = context.dispatcher.connection_pool(upstream(context))

    def send() -> None:
        context.sent.append(
            pool.send(
                cancel_handle=CancelHandle(),
                method="GET",
                target="/",
                headers={"Host": "test"},
                body=b"",
                head_timeout_s=5.0,
                ends_s=float("inf"),
            )
        )

    context.thread = threading.Thread(target=send, daemon=True)
    context.thread.start()
    deadline_s = time.monotonic() + 5.0
    while not context.raw.connections and time.monotonic() < deadline_s:
        time.sleep(0.01)


@then("the request ends as broken within {seconds:d} s")
def step_broken(context, seconds):
    context.thread.join(seconds)
    (sent,) = context.sent
    assert isinstance(sent, Err) and not sent.err_value.timed_out, sent


@when(
    'content "{content}" breaks a response there, '
    "and the record names incarnation {born:d}"
)
def step_crash(context, content, born):
    crashes = context.dispatcher._upstream_monitor.crashes
    now_s = context.clock.monotonic_s()
    crashes.record_broken_answer(upstream(context), content, heard_s=now_s, now_s=now_s)
    read_record_of(context, born)
    context.clock.advance(SETTLED_S)
    context.dispatcher.tick()


@then('content "{content}" is refused')
def step_refused(context, content):
    now_s = context.clock.monotonic_s()
    crashes = context.dispatcher._upstream_monitor.crashes
    assert crashes.is_quarantined(content, now_s)


def upstream_ids(registry: Registry) -> list[str]:
    return [each.upstream_id for each in registry.upstreams(0.0)]


@then("an earlier incarnation's record changes nothing")
def step_late(context):
    registry = context.registry = Registry()
    registry.apply((record("a", 1, value(born=2000)),), 0.0)
    registry.apply((record("a", 2, value(born=1000)),), 0.0)
    assert upstream_ids(registry) == ["a@2000"]
    registry.apply((record("a", 3, value(born=2000)),), 0.0)
    registry.apply((record("a", 4, value(born=1000)),), 0.0)
    assert upstream_ids(registry) == ["a@2000"]


@then(
    "a second record of that incarnation is accepted, since its clock may be set back"
)
def step_second(context):
    context.registry.apply((record("a", 5, value(born=1000)),), 0.0)
    assert upstream_ids(context.registry) == ["a@1000"]


@then("none of these adds an upstream, and the others stay")
def step_foreign(context):
    for row in context.table:
        registry = Registry()
        content = row["record"].encode()
        registry.apply((record("a", 1, value()), record("b", 2, content)), 0.0)
        assert upstream_ids(registry) == ["a"], row["record"]


@then("an upstream in an unknown state gets no requests")
def step_state(context):
    registry = Registry()
    registry.apply((record("a", 1, value(state="resting")),), 0.0)
    assert all(each.leaving for each in registry.upstreams(0.0))


@then("JSON that is nested too deeply adds no upstream")
def step_deep(context):
    registry = Registry()
    deep = b"[" * 200_000
    registry.apply((record("b", 1, deep), record("a", 2, value())), 0.0)
    assert upstream_ids(registry) == ["a"]


@then("repeated bad records are logged once and counted each time")
def step_repeated(context):
    reasons = []
    registry = Registry(on_skipped=reasons.append)
    for offset in range(50):
        registry.apply((record("b", offset, b"{}"),), 0.0)
    assert len(reasons) == 50
    assert len(registry._skipped_logged) == 1


class NoStore:
    """A store that these feeds never call."""


def feeds() -> list:
    relay = Relay(
        peers=PeerAccess(
            name="e", live_peer_names=list, send=lambda name, message: None
        ),
        clock=SystemClock(),
        random=Random(1),
    )
    common = dict(store=NoStore(), clock=SystemClock(), relay=relay, metrics=Metrics())
    in_force = CatalogInForce(clock=SystemClock(), key_age_max_s=4.0)
    return [
        UpstreamsFeed(drain_s=2.0, on_change=lambda new: None, **common),
        EntriesFeed(
            name="e",
            location=EntryLocation(address="tcp://127.0.0.1:1"),
            in_force=in_force,
            on_change=lambda new: None,
            **common,
        ),
        ConfigurationFeed(
            apply_s=2.0,
            in_force=in_force,
            orders=OrderTracker(
                on_order=lambda order: None,
                on_withdrawn=lambda service, number: None,
                metrics=Metrics(),
            ),
            on_change=lambda new: None,
            on_read=lambda sent_s: None,
            **common,
        ),
    ]


@then(
    "no bytes in an upstream's or entry's record or a peer's message raise an exception"
)
def step_fuzz(context):
    targets = feeds()
    keys = strategies.sampled_from(["a", "config", "rollout/a"])
    shaped = strategies.dictionaries(
        strategies.sampled_from((*FIELDS, "address")), JSON, max_size=7
    ).map(lambda content: json.dumps(content).encode())
    contents = shaped | strategies.binary(max_size=60) | strategies.none()
    offset = 0

    def take(drawn) -> None:
        nonlocal offset
        key, content = drawn
        offset += 1
        records = RecordBatch(
            records=(record(key, offset, content),), next_offset=offset + 1
        )
        for feed in targets:
            feed.apply(records, is_snapshot=False, sent_s=0.0)
            feed.apply_unstored(((key, content or b""),))

    fuzz(strategies.tuples(keys, contents), take)
    codec = Codec(messages=DirectMessage)

    def hear(data: bytes) -> None:
        codec.decode(data)

    fuzz(strategies.binary(max_size=80), hear)
