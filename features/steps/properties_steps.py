"""Steps that check invariants under any order of messages."""

from behave import then, when
from hypothesis import strategies

from features.bagrules import Choice, choices, run_choices
from features.corebag import SERVICE, BagSettings, CoreBag
from features.helper import fuzz
from lavenderspoke.core import Received
from lavenderspoke.documents.service import Kind
from lavenderspoke.messages import Floor, Grant, Refused
from lavenderspoke.model import Ran
from lavenderspoke.problems import Reason

COMMON = {
    "flow": 8,
    "deliver": 6,
    "double": 3,
    "drop": 2,
    "delay": 8,
    "deliver_late": 4,
    "local": 3,
    "advance": 8,
    "jump": 1,
    "pause": 1,
    "resume": 3,
    "restart_entry": 1,
    "restart_agent": 1,
    "stop_agent": 1,
    "answer": 5,
    "fail_run": 2,
    "upstream_up": 2,
}
UNKEYED = COMMON | {"send": 6, "leave_caller": 1, "list_leaving": 1}
KEYED = COMMON | {
    "send_first": 4,
    "send_again": 5,
    "send": 1,
    "join": 1,
    "cut_log": 1,
    "lose_append": 1,
}
HANDED_OVER = KEYED | {
    "finish": 4,
    "advance": 10,
    "stop_agent": 2,
    "join": 2,
    "cut_log": 3,
    "restart_entry": 0,
    "send": 0,
}
SHEDDING = {
    "send_some": 12,
    "flow": 3,
    "deliver": 6,
    "double": 2,
    "drop_floor": 1,
    "restart_agent": 1,
    "local": 6,
    "advance_little": 6,
    "answer": 2,
}
KINDS = strategies.sampled_from([Kind.MODEL, Kind.PLAIN])


def hold(rules: dict[str, int], examples: int, **settings) -> None:
    def check(drawn) -> None:
        kind, made = drawn
        run_choices(CoreBag(BagSettings(kind=kind, **settings)), made)

    fuzz(strategies.tuples(KINDS, choices(rules)), check, examples=examples)


@then("no promise to unkeyed requests is broken in any of {count:d} runs")
def step_unkeyed(context, count):
    hold(UNKEYED, count)


@then("no promise to keyed requests is broken in any of {count:d} runs")
def step_keyed(context, count):
    hold(KEYED, count, slots=1)


@then("no promise to handed over keys is broken in any of {count:d} runs")
def step_handed_over(context, count):
    hold(HANDED_OVER, count, slots=1)


SHORT_LIVED = {"slots": 1, "key_lifetime_s": 10.5, "roster_lease_s": 6.0}


@then("no promise to short-lived keys is broken in any of {count:d} runs")
def step_short_lived(context, count):
    hold(KEYED | {"jump": 4}, count, **SHORT_LIVED)


def recorded(context) -> list[Choice]:
    words = [each.split() for each in context.text.replace("\n", " ").split(",")]
    return [(name, int(number)) for name, number in words]


@then("no promise is broken by these choices with short-lived keys")
def step_recorded(context):
    run_choices(CoreBag(BagSettings(**SHORT_LIVED)), recorded(context))


CROWDED = {"entries": 3, "agents": 1, "slots": 1, "waiting_max": 3}


@then("no tier is shed before a lower one in any of {count:d} runs")
def step_shed(context, count):
    hold(SHEDDING, count, **CROWDED | {"agents": 2})


@then("no tier is shed before a lower one by these choices")
def step_shed_recorded(context):
    run_choices(CoreBag(BagSettings(**CROWDED)), recorded(context))


@when("a granted keyed request is refused for its stamp below a peer's floor")
def step_refused_below(context):
    bag = CoreBag(BagSettings(agents=1))
    entry, peer = bag.entries.values()
    context.request_id = bag.send(entry, rank=1, key="k")
    grants = []
    while not grants:
        bag.flow(1)
        grants = [each for each in bag.parcels if isinstance(each.message, Grant)]
    floor = Floor(service=SERVICE, tier=2, round=1, lease_s=2.0)
    bag.feed(entry, Received(sender=peer.me, message=floor))
    refused = Refused(
        request_id=context.request_id,
        nonce=grants[0].message.nonce,
        reason="stale_stamp",
    )
    bag.feed(entry, Received(sender=grants[0].recipient, message=refused))
    context.bag = bag


@then("its caller is told that it was shed and may have run elsewhere")
def step_told_shed(context):
    (problem,) = context.bag.promises.callers[context.request_id].parts
    assert (problem.reason, problem.ran) == (Reason.SHED, Ran.UNKNOWN), problem
    assert not context.bag.entries["entry-0"].core.requests.get(context.request_id)
