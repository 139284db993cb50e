from collections import Counter

from behave import given, then, when

from lavenderspoke.membership.memberlist import Member, Role
from lavenderspoke.membership.subset import choose_entries


def centre(number: int, centres: int) -> str:
    return f"central-{number % centres}"


def pick(context) -> dict[str, tuple[str, ...]]:
    return {
        name: choose_entries(name, own_centre, tuple(context.entries), context.count)
        for name, own_centre in context.agents.items()
    }


@given(
    "{entries:d} entries in {centres:d} data centres"
    " and {agents:d} agents that pick {count:d} each"
)
def step_many(context, entries, centres, agents, count):
    context.entries = [
        Member(
            name=f"entry-{number}",
            role=Role.ENTRY,
            address="",
            data_centre=centre(number, centres),
        )
        for number in range(entries)
    ]
    context.agents = {f"agent-{n}": centre(n, centres) for n in range(agents)}
    context.count = count
    context.picks = pick(context)


@when("one entry is removed")
def step_goes(context):
    context.gone = context.entries.pop(7).name
    context.before, context.picks = context.picks, pick(context)


@then(
    "every agent has {count:d} entries,"
    " at least {near:d} of them in its own data centre"
)
def step_near(context, count, near):
    centres = {entry.name: entry.data_centre for entry in context.entries}
    for agent, picked in context.picks.items():
        assert len(set(picked)) == count
        own = [name for name in picked if centres[name] == context.agents[agent]]
        assert len(own) >= near, agent


@then("every entry has between {low:d} and {high:d} agents")
def step_share(context, low, high):
    shares = Counter(name for picked in context.picks.values() for name in picked)
    assert set(shares) == {entry.name for entry in context.entries}
    assert low <= min(shares.values()) and max(shares.values()) <= high, shares


@then("no agent without it has changed its picks")
def step_unchanged(context):
    for agent, picked in context.before.items():
        if context.gone not in picked:
            assert set(picked) == set(context.picks[agent]), agent


@then("every agent with it has replaced only that one")
def step_exchanged(context):
    for agent, picked in context.before.items():
        if context.gone in picked:
            assert set(picked) - set(context.picks[agent]) == {context.gone}, agent


@then("every agent has all {count:d} entries")
def step_all(context, count):
    assert all(len(set(picked)) == count for picked in context.picks.values())
