"""Steps about a store that comes back from an older copy, with a simulated clock."""

from behave import then, when

from features.steps.store_relay_steps import STEP_S, register
from lavenderspoke.direct.messages import RecordsAsked
from lavenderspoke.model import InstanceId
from lavenderspoke.platform.feeds import CONFIGURATION_TOPIC, UPSTREAMS_TOPIC
from standins.platformdeployment import configuration


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
