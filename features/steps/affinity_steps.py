import hashlib

import attrs
from behave import given, then, when

from features import modeltraces
from features.calls import make_call
from lavenderspoke import messages
from lavenderspoke.affinity import PrefixIndex
from lavenderspoke.agentevents import CacheChanged, RunBody, RunEnded
from lavenderspoke.messages import PrefixHeld
from lavenderspoke.model import InstanceId
from lavenderspoke.prefix import prefix_hashes


def block_names(blocks):
    return tuple(blocks.split(", "))


@then(
    "prompts with {shared:d} of {words:d} words in common"
    " share {count:d} hashes of blocks of {size:d}"
)
def step_shared(context, shared, words, count, size):
    common = [f"w{number}" for number in range(shared)]
    one = prefix_hashes(" ".join(common + ["x"] * (words - shared)), size)
    two = prefix_hashes(" ".join(common + ["y"] * (words - shared)), size)
    assert len(set(one) & set(two)) == count


@then("a prompt of {words:d} words has {count:d} hashes of blocks of {size:d}")
def step_count_hashes(context, words, count, size):
    assert len(prefix_hashes("word " * words, size)) == count


@then("a prompt of 3 words has no hashes of blocks of 4")
def step_no_hashes(context):
    assert prefix_hashes("one two three", 4) == ()


@then("the second block's hash covers the first hash and its own words")
def step_chained_hashes(context):
    first, second = prefix_hashes("a b c d", 2)
    assert first == hashlib.sha256(b" a b").hexdigest()[:16]
    assert second == hashlib.sha256(f"{first} c d".encode()).hexdigest()[:16]


@given("a prefix index of {entries:d} entries")
def step_index(context, entries):
    context.index = PrefixIndex(entries_max=entries)


@when('"{upstream}" caches blocks {blocks}')
def step_caches(context, upstream, blocks):
    context.index.add(upstream, block_names(blocks))


@when('"{upstream}" evicts blocks {blocks}')
def step_evicts(context, upstream, blocks):
    context.index.remove(upstream, block_names(blocks))


@when(
    'event {sequence:d} of incarnation {incarnation} of "{upstream}"'
    " adds blocks {blocks}"
)
def step_event(context, incarnation, upstream, sequence, blocks):
    message = PrefixHeld(service="s", sequence=sequence, added=block_names(blocks))
    sender = InstanceId(name=f"agent-{upstream}", incarnation=incarnation)
    context.index.apply_event(sender, message, upstream=upstream)


def lookup(context, blocks):
    return context.index.lookup(block_names(blocks), 4)


@then("blocks {blocks} are cached at {expected}")
def step_cached(context, blocks, expected):
    pairs = dict(pair.split("=") for pair in expected.split(", "))
    found = lookup(context, blocks)
    assert found == {name: int(tokens) for name, tokens in pairs.items()}, found


@then("blocks {blocks} are cached nowhere")
def step_not_cached(context, blocks):
    assert lookup(context, blocks) == {}


@then("the prefix index has {entries:d} entries")
def step_entries(context, entries):
    assert len(context.index) == entries


@given("an agent whose engine has answered a prompt of blocks {blocks}")
def step_agent(context, blocks):
    context.trace = modeltraces.make_agent(join_offset=1)
    context.answers = 0
    step_answers(context, blocks)


@when("its engine answers a prompt of blocks {blocks}")
def step_answers(context, blocks):
    context.answers += 1
    call = make_call(f"r{context.answers}")
    call = attrs.evolve(call, prefix_hashes=block_names(blocks))
    demand = messages.Demand(service=call.service, waiting={call.tier: 1})
    pull = context.trace.receive(demand)[-1]
    grant = messages.Grant(nonce=pull.nonce, call=call, stamp=1, deadline_in_s=9.0)
    context.trace.receive(grant)
    context.trace.feed(RunBody(request_id=call.request_id, body=b"x"))
    context.trace.feed(RunEnded(request_id=call.request_id))


@when("its engine evicts blocks {blocks}")
def step_engine_evicts(context, blocks):
    context.trace.feed(CacheChanged(removed=block_names(blocks)))


@then("the agent reported blocks {blocks}")
def step_reported(context, blocks):
    reported = [send.message.added for send in context.trace.sent(PrefixHeld)]
    expected = [block_names(each) for each in blocks.split(" and then ")]
    assert [added for added in reported if added] == expected, reported
