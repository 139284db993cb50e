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


def names(blocks):
    return tuple(blocks.split(", "))


@then(
    "prompts alike in {shared:d} of {words:d} words share {count:d} names of {size:d}"
)
def step_shared(context, shared, words, count, size):
    common = [f"w{number}" for number in range(shared)]
    one = prefix_hashes(" ".join(common + ["x"] * (words - shared)), size)
    two = prefix_hashes(" ".join(common + ["y"] * (words - shared)), size)
    assert len(set(one) & set(two)) == count


@then("a prompt of {words:d} words has {count:d} names in blocks of {size:d}")
def step_count_names(context, words, count, size):
    assert len(prefix_hashes("word " * words, size)) == count


@then("a prompt of 3 words has no names in blocks of 4")
def step_no_names(context):
    assert prefix_hashes("one two three", 4) == ()


@then("the second block's name is the hash of the first name and its words")
def step_name_scheme(context):
    first, second = prefix_hashes("a b c d", 2)
    assert first == hashlib.sha256(b" a b").hexdigest()[:16]
    assert second == hashlib.sha256(f"{first} c d".encode()).hexdigest()[:16]


@given("a sketch of {entries:d} entries")
def step_sketch(context, entries):
    context.sketch = PrefixIndex(entries_max=entries)


@when('"{upstream}" holds blocks {blocks}')
def step_holds(context, upstream, blocks):
    context.sketch.add(upstream, names(blocks))


@when('"{upstream}" drops blocks {blocks}')
def step_drops(context, upstream, blocks):
    context.sketch.remove(upstream, names(blocks))


@when('life {life} of "{upstream}" tells {sequence:d} that it holds blocks {blocks}')
def step_tells(context, life, upstream, sequence, blocks):
    message = PrefixHeld(service="s", sequence=sequence, added=names(blocks))
    sender = InstanceId(name=f"agent-{upstream}", incarnation=life)
    context.sketch.apply_event(sender, message, upstream=upstream)


def lookup(context, blocks):
    return context.sketch.lookup(names(blocks), 4)


@then("blocks {blocks} are warm at {expected}")
def step_warm(context, blocks, expected):
    pairs = dict(pair.split("=") for pair in expected.split(", "))
    found = lookup(context, blocks)
    assert found == {name: int(tokens) for name, tokens in pairs.items()}, found


@then("blocks {blocks} are warm nowhere")
def step_cold(context, blocks):
    assert lookup(context, blocks) == {}


@then("the sketch has {entries:d} entries")
def step_entries(context, entries):
    assert len(context.sketch) == entries


@given("an agent whose engine has answered a prompt of blocks {blocks}")
def step_agent(context, blocks):
    context.trace = modeltraces.make_agent(join_offset=1)
    context.answers = 0
    step_answers(context, blocks)


@when("its engine answers a prompt of blocks {blocks}")
def step_answers(context, blocks):
    context.answers += 1
    call = make_call(f"r{context.answers}")
    call = attrs.evolve(call, prefix_hashes=names(blocks))
    demand = messages.Demand(service=call.service, waiting={call.tier: 1})
    pull = context.trace.hear(demand)[-1]
    grant = messages.Grant(nonce=pull.nonce, call=call, stamp=1, deadline_in_s=9.0)
    context.trace.hear(grant)
    context.trace.feed(RunBody(request_id=call.request_id, body=b"x"))
    context.trace.feed(RunEnded(request_id=call.request_id))


@when("its engine drops blocks {blocks}")
def step_engine_drops(context, blocks):
    context.trace.feed(CacheChanged(removed=names(blocks)))


@then("the entry was told of blocks {blocks}")
def step_told(context, blocks):
    told = [send.message.added for send in context.trace.sent(PrefixHeld)]
    expected = [names(each) for each in blocks.split(" and then of ")]
    assert [added for added in told if added] == expected, told
