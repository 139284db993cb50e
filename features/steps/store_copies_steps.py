"""Steps about a store that comes back from an older copy, with a simulated clock."""

import struct
from random import Random

from behave import given, then, when

from features.steps.store_relay_steps import STEP_S, register
from features.upstreamcalls import Babbler
from lavenderspoke.direct.burstcredits import BucketState, BurstCredits
from lavenderspoke.direct.clusterview import ClusterView
from lavenderspoke.direct.messages import RecordsAsked, RecordsTold
from lavenderspoke.direct.rolling import Rollouts
from lavenderspoke.direct.settings import Address
from lavenderspoke.model import InstanceId
from lavenderspoke.observing.metrics import Metrics
from lavenderspoke.platform.feeds import CONFIGURATION_TOPIC, UPSTREAMS_TOPIC
from lavenderspoke.platform.rollouts import order_number
from lavenderspoke.platform.store import Conflict, Store
from lavenderspoke.rollouts.orders import Order, Stage
from lavenderspoke.rollouts.transitions import Bounds
from standins.platformdeployment import configuration
from standins.processes import HOST


def watch(context, seconds: float) -> None:
    """Let time pass and note which upstreams each entry knows at each step."""
    context.seen = getattr(context, "seen", [])
    for _ in range(round(seconds / STEP_S)):
        context.world.run(STEP_S)
        context.seen += [
            {upstream.upstream_id: upstream.leaving for upstream in entry.upstreams}
            for entry in context.world.entries.values()
        ]


@when("the store keeps a copy")
def step_copy(context):
    world = context.world
    world.copy = {topic: list(records) for topic, records in world.topics.items()}
    context.calls_at_copy = dict(world.calls)


@when("the store is away for {seconds:g} s and comes back from its copy")
def step_goes_back(context, seconds):
    world = context.world
    rejected, world.rejected = world.rejected, set(world.entries)
    context.seen = []
    watch(context, seconds)
    world.rejected = rejected
    world.go_back(world.epoch + 1)


@when("the store goes back to its copy with the same number")
def step_goes_back_silently(context):
    context.world.go_back(context.world.epoch)


@when("version {version:d} reaches entry-4 alone before the store goes away")
def step_reaches_one(context, version):
    world = context.world
    world.disconnected = set(world.entries) - {"entry-4"}
    world.append(CONFIGURATION_TOPIC, "config", configuration(version))
    world.run(2.0)
    world.disconnected = set()
    versions = [e.in_force.catalog.version for e in world.entries.values()]
    assert versions.count(version) == 1, versions


@when("the entries go on for {seconds:g} s")
def step_pass(context, seconds):
    watch(context, seconds)


@when("entry-1 is cut off")
def step_cut_off(context):
    context.world.disconnected = {"entry-1"}


@when("entry-1 is back, and {seconds:g} s pass")
def step_back(context, seconds):
    context.world.disconnected = set()
    context.world.run(seconds)


@when("a reply to entry-5 is held back")
def step_held_back(context):
    world = context.world
    feed = world.entries["entry-0"].feed
    query = RecordsAsked(
        topic=CONFIGURATION_TOPIC, from_offset=-1, asked_s=world.now_s, in_full=True
    )
    context.reply = feed.cache.reply_to(query, world.now_s)


@when("the reply arrives")
def step_arrives(context):
    peer = InstanceId(name="entry-0", incarnation="1")
    context.world.entries["entry-5"].relay.handle_message(peer, context.reply)


@then("no entry called the store more than {most:d} times since the copy")
def step_few_calls(context, most):
    for name, calls in context.world.calls.items():
        since = calls - context.calls_at_copy[name]
        assert since <= most, (name, since)


@then("all entries accept keys")
def step_all_accept(context):
    for entry in context.world.entries.values():
        assert entry.in_force.is_fresh(), entry.name


@when("upstream a says that it leaves, and {seconds:g} s pass")
def step_leaves(context, seconds):
    register(context.world, "a", state="draining")
    context.world.run(seconds)


@when("upstream a is deleted, and {seconds:g} s pass")
def step_deleted(context, seconds):
    context.world.append(UPSTREAMS_TOPIC, "a", None)
    context.world.run(seconds)


@when("upstream {name} registers, and {seconds:g} s pass")
@when("upstream {name} registers again, and {seconds:g} s pass")
def step_registers(context, name, seconds):
    register(context.world, name)
    watch(context, seconds)


@when("upstream {name} registers again {seconds:g} s later")
def step_registers_later(context, name, seconds):
    watch(context, seconds)
    register(context.world, name)


@then("a is leaving and b is ready at all entries throughout")
def step_leaving_throughout(context):
    assert all(each == {"a": True, "b": False} for each in context.seen), context.seen


@then("only b was known at all entries throughout")
def step_only_b_throughout(context):
    assert all(set(each) == {"b"} for each in context.seen), context.seen


@then("all entries know a and b")
def step_know_both(context):
    for entry in context.world.entries.values():
        assert {each.upstream_id for each in entry.upstreams} == {"a", "b"}, entry.name


@then("c was known at all entries throughout")
def step_c_throughout(context):
    assert all("c" in each for each in context.seen), context.seen


@when("entry-5 is told of copy {epoch:d}, and the entries go on for {seconds:g} s")
def step_told(context, epoch, seconds):
    world = context.world
    entry = world.entries["entry-5"]
    records = entry.feed.cache.reply_to(
        RecordsAsked(topic=CONFIGURATION_TOPIC, from_offset=-1, asked_s=world.now_s),
        world.now_s,
    ).records
    told = RecordsTold(
        topic=CONFIGURATION_TOPIC,
        asked_s=world.now_s,
        age_s=0.0,
        next_offset=1,
        whole=True,
        records=records,
        epoch=epoch,
    )
    entry.relay.handle_message(InstanceId(name="entry-0", incarnation="1"), told)
    world.run(seconds)


def store_reply(epoch: int, body: bytes) -> bytes:
    head = f"HTTP/1.1 200 OK\r\nStore-Era: {epoch}\r\nContent-Length: {len(body)}\r\n"
    # The babbler closes each connection; unannounced, the next call might still use it.
    return head.encode() + b"Connection: close\r\n\r\n" + body


@given("a client of a store whose copy ends where the topic did")
def step_client(context):
    context.babbler = Babbler()
    address = Address(host=HOST, port=int(context.babbler.url.rpartition(":")[2]))
    context.client = Store(address=address, metrics=Metrics())
    context.babbler.answer = store_reply(1, struct.pack(">QQ", 4, 0))
    context.read = context.client.read("keyed.status", 4, wait_s=0.0).unwrap()


@when("it writes on the condition that a read from before the copy still holds")
def step_conditional(context):
    context.babbler.answer = store_reply(2, b'{"offset": 4, "end-offset": 5}')
    context.written = context.client.append(
        "keyed.status", "key", b"value", unchanged_since=context.read
    )


@then("the write is a conflict")
def step_conflict(context):
    assert context.written.unwrap_err() == Conflict(), context.written


@given('an entry whose credits "{name}" are in force and "{ended}" ended')
def step_credits(context, name, ended):
    credits = context.credits = BurstCredits(name="entry-1", now_s=0.0)
    credits.read_records({}, now_s=0.0)
    context.buckets = [
        BucketState(customer=name, level=8, base_capacity=10, credit_max=40)
    ]
    update_credits(context, 0.1)
    credits.record_written(name, 40.0)
    update_credits(context, 0.2)
    assert credits.writes_due() == {}, credits.writes_due()


def update_credits(context, now_s: float) -> None:
    context.credits.update(context.buckets, live_peers=[], all_live=True, now_s=now_s)


@when('the store comes back from a copy that has only "{name}"')
def step_credits_copy(context, name):
    context.credits.records_lost({name: 7.0}, now_s=0.3)
    update_credits(context, 0.4)


@then('it records "{name}" again and deletes "{other}"')
def step_recorded_again(context, name, other):
    credits = context.credits
    assert credits.writes_due() == {name: 40.0}, credits.writes_due()
    credits.record_written(name, 40.0)
    for tenths in range(5, 400):
        update_credits(context, tenths / 10)
        if other in credits.deletions_due():
            break
    assert credits.deletions_due() == [other], credits.deletions_due()
    assert credits.writes_due() == {}, credits.writes_due()


def order(target: str, number: int) -> Order:
    return Order(service="s", target=target, duration_s=12.0, number=number)


@given("an entry whose roll-out to v3 replaced one to v2")
def step_replaced(context):
    context.rollouts = Rollouts(random=Random(1), metrics=Metrics())
    context.rollouts.add_order(order("v2", order_number(1, 4)), 0.0)
    context.rollouts.add_order(order("v3", order_number(1, 6)), 1.0)
    stage, now_s = Stage.CANARY, 1.5
    context.rollouts.apply_stored_stage(
        order("v3", order_number(1, 6)), stage, 0.5, now_s
    )


@when("the store comes back from a copy, and the orders for v2 and v3 come again")
def step_orders_again(context):
    context.rollouts.records_lost()
    context.rollouts.add_order(order("v2", order_number(2, 4)), 2.0)
    context.rollouts.add_order(order("v3", order_number(2, 5)), 3.0)


def updates(context) -> list[tuple[str, int, Stage]]:
    cluster = ClusterView(
        name="entry-1",
        live_peers=(),
        known_entries=1,
        orders_age_s=0.0,
        bounds=Bounds(),
    )
    return [
        (each.order.target, each.order.number, each.stage)
        for each in context.rollouts.status_updates(cluster, 3.0)
    ]


@then("the roll-out to v3 goes on under its new number")
def step_goes_on(context):
    (news,) = context.rollouts.outgoing_news(3.0)
    assert (news.number, news.stage) == (order_number(2, 5), Stage.CANARY), news


@then("its record is due once more")
def step_record_due(context):
    due = ("v3", order_number(2, 5), Stage.ORDERED)
    assert updates(context) == [due], updates(context)
    stored = order("v3", order_number(2, 5))
    context.rollouts.apply_stored_stage(stored, Stage.CANARY, 2.0, 3.0)
    assert updates(context) == [], updates(context)


@when("the order for v3 comes once more under a higher number")
def step_ordered_anew(context):
    context.rollouts.add_order(order("v3", order_number(2, 9)), 4.0)


@then("a new roll-out has begun")
def step_begun(context):
    (news,) = context.rollouts.outgoing_news(4.0)
    assert (news.number, news.stage) == (order_number(2, 9), Stage.ORDERED), news
