from behave import given, then, when

from features.calls import TIERS, make_service
from lavenderspoke.core import Send
from lavenderspoke.messages import Floor, FloorHeld
from lavenderspoke.model import InstanceId
from lavenderspoke.shedding import DropBelow, FloorCoordinator

POSITION = TIERS["position"]


def start(context, name, incarnation="1"):
    context.ids[name] = InstanceId(name=name, incarnation=incarnation)
    context.coordinators[name] = FloorCoordinator(
        service=make_service(), instance=context.ids[name]
    )


@given("entries one, two and three")
def step_entries(context):
    context.ids, context.coordinators, context.dropped = {}, {}, {}
    for name in ("one", "two", "three"):
        start(context, name)


def request_floor(context, rank, now_s):
    peers = {peer for name, peer in context.ids.items() if name != "one"}
    actions = context.coordinators["one"].request_floor(rank, now_s, peers)
    record_drops(context, "one", actions)
    sends = [action for action in actions if isinstance(action, Send)]
    if sends:
        context.sends = sends
    return sends


def record_drops(context, name, actions):
    for action in actions:
        if isinstance(action, DropBelow):
            context.dropped[name] = action.rank


def deliver(context, send, now_s):
    recipient = send.recipient.name
    actions = context.coordinators[recipient].on_floor(
        context.ids["one"], send.message, now_s
    )
    record_drops(context, recipient, actions)
    assert isinstance(actions[0], DropBelow) and isinstance(
        actions[1].message, FloorHeld
    )
    context.coordinators["one"].on_floor_held(
        context.ids[recipient], actions[1].message, now_s
    )


@when('"one" wants to drop {what} at {now:g} s')
def step_want(context, what, now):
    request_floor(context, TIERS[what.split()[1]], now)


@when("its floor is lost")
def step_lost(context):
    context.sends = []


@when('"{name}" receives the floor and acknowledges it at {now:g} s')
def step_acknowledges(context, name, now):
    for send in context.sends:
        if send.recipient == context.ids[name]:
            deliver(context, send, now)


@when('a late position floor of "one" reaches "{name}" at {now:g} s')
def step_late_floor(context, name, now):
    late = Floor(service="narrative", tier=POSITION, round=0, lease_s=2.0)
    context.coordinators[name].on_floor(context.ids["one"], late, now)


@when('"one" loses "{name}"')
def step_loses(context, name):
    context.coordinators["one"].on_peer_lost(name)
    del context.ids[name]


@when('"{name}" restarts')
def step_restarts(context, name):
    start(context, name, incarnation="2")


def run(context, *, seconds, silent):
    context.permitted = {}
    for tick in range(round(seconds * 10)):
        now_s = tick / 10
        for send in request_floor(context, POSITION, now_s):
            if send.recipient.name != silent:
                deliver(context, send, now_s)
        context.permitted[now_s] = context.coordinators["one"].may_drop(POSITION, now_s)


@when('"one" requests a floor every 0.1 s for {seconds:g} s and every message arrives')
def step_run(context, seconds):
    run(context, seconds=seconds, silent=None)


@when(
    '"one" requests a floor every 0.1 s for {seconds:g} s'
    ' and "{silent}" never acknowledges'
)
def step_run_silent(context, seconds, silent):
    run(context, seconds=seconds, silent=silent)


@then('"one" was permitted to drop each time after the first')
def step_permitted_always(context):
    assert all(may_drop for now_s, may_drop in context.permitted.items() if now_s > 0)


@then('"one" was not permitted to drop before {bound:g} s')
def step_not_permitted(context, bound):
    assert not any(
        may_drop for now_s, may_drop in context.permitted.items() if now_s < bound
    )


@then('"one" was permitted to drop after {bound:g} s')
def step_permitted(context, bound):
    assert all(
        may_drop for now_s, may_drop in context.permitted.items() if now_s > bound
    )


@then('"one" may drop it at {now:g} s')
def step_may(context, now):
    assert context.coordinators["one"].may_drop(POSITION, now)


@then('"one" may not drop it at {now:g} s')
def step_may_not(context, now):
    assert not context.coordinators["one"].may_drop(POSITION, now)


@then('"one" may drop an alert at {now:g} s')
def step_may_alert(context, now):
    assert context.coordinators["one"].may_drop(TIERS["alert"], now)


@then('"one" may not drop an alert at {now:g} s')
def step_may_not_alert(context, now):
    assert not context.coordinators["one"].may_drop(TIERS["alert"], now)


@then('"one" may drop a report at {now:g} s')
def step_may_report(context, now):
    assert context.coordinators["one"].may_drop(TIERS["report"], now)


@then('"{name}" has dropped its own reports')
def step_dropped(context, name):
    assert context.dropped[name] > TIERS["report"]


@then('"{name}" refuses {tier}s at {now:g} s')
def step_refuses(context, name, tier, now):
    floor = context.coordinators[name].floor_rank(now)
    assert floor is not None and TIERS[tier] < floor


@then('"{name}" keeps {tier}s at {now:g} s')
def step_keeps(context, name, tier, now):
    floor = context.coordinators[name].floor_rank(now)
    assert floor is None or TIERS[tier] >= floor
