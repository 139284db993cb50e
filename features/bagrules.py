"""The random steps that the property tests run on a `CoreBag`."""

from collections.abc import Callable, Sequence

from hypothesis import strategies

from features.corebag import DEADLINE_MAX_S, RANKS, CoreBag, Instance
from lavenderspoke import agentevents, entryevents
from lavenderspoke.gateway import Sending
from lavenderspoke.messages import (
    Claimed,
    Floor,
    FloorHeld,
    Grant,
    Granted,
    Refused,
    Revoke,
    Revoked,
    Unclaim,
)

# A step; it picks what it acts on by the random number.
Rule = Callable[[CoreBag, int], None]
Choice = tuple[str, int]

# The empty ones are no fault; repetitions are weights.
FAULTS = ("", "", "", "", "not_started", "broken", "forgotten")
ADVANCES_S = (0.01, 0.03, 0.1, 0.3, 0.3, 1.0)
JUMPS_S = (2.0, 5.0, 12.0)
AGENTS_MAX = 4
# Messages that would do harm if a late copy were treated as current.
DELAYED = (Claimed, Grant, Granted, Refused, Revoke, Revoked, Unclaim)


def pick(items: Sequence, number: int):
    """Return one of the items, or None where there are none."""
    return items[number % len(items)] if items else None


def pick_entry(bag: CoreBag, number: int) -> Instance | None:
    alive = [each for each in bag.entries.values() if not each.is_gone]
    return pick(alive, number)


def pick_agent(bag: CoreBag, number: int) -> Instance | None:
    alive = [each for each in bag.agents.values() if not each.is_gone]
    return pick(alive, number)


def flow(bag: CoreBag, number: int) -> None:
    bag.flow(1 + number % 8)


def deliver(bag: CoreBag, number: int) -> None:
    if bag.parcels:
        bag.deliver_once(pick(bag.parcels, number))


def double(bag: CoreBag, number: int) -> None:
    if bag.parcels:
        bag.deliver(pick(bag.parcels, number))


def drop(bag: CoreBag, number: int) -> None:
    if bag.parcels:
        bag.drop(pick(bag.parcels, number))


def delay(bag: CoreBag, number: int) -> None:
    """Hold back a message, or a copy of it, until `deliver_late`."""
    found = [each for each in bag.parcels if isinstance(each.message, DELAYED)]
    if found:
        parcel = pick(found, number // 2)
        bag.delayed.append(parcel)
        if number % 2:
            bag.drop(parcel)


def deliver_late(bag: CoreBag, number: int) -> None:
    if bag.delayed and bag.deliver(pick(bag.delayed, number)):
        del bag.delayed[number % len(bag.delayed)]


def local(bag: CoreBag, number: int) -> None:
    bag.post_next(pick(bag.instances(), number))


def advance(bag: CoreBag, number: int) -> None:
    bag.advance(pick(ADVANCES_S, number))


def jump(bag: CoreBag, number: int) -> None:
    bag.advance(pick(JUMPS_S, number))


def send(bag: CoreBag, number: int) -> None:
    entry = pick_entry(bag, number)
    if entry is not None:
        bag.send(entry, rank=pick(RANKS, number // 7))


def send_first(bag: CoreBag, number: int) -> None:
    entry = pick_entry(bag, number)
    if entry is not None:
        bag.keys.append(f"k{len(bag.keys)}")
        deadline_s = DEADLINE_MAX_S if number % 3 else 2.0
        bag.send(entry, rank=1, key=bag.keys[-1], deadline_s=deadline_s)


def send_again(bag: CoreBag, number: int) -> None:
    entry, key = pick_entry(bag, number), pick(bag.keys[-3:], number // 7)
    if entry is not None and key is not None:
        bag.send(entry, rank=1, key=key, sending=Sending.RESEND)


def leave_caller(bag: CoreBag, number: int) -> None:
    request_id = pick(bag.promises.open(), number)
    if request_id is not None:
        entry = bag.promises.callers[request_id].entry
        entry.inbox.append(entryevents.CallerGone(request_id=request_id))


def pause(bag: CoreBag, number: int) -> None:
    instance = pick(bag.instances(), number)
    instance.is_paused = True


def resume(bag: CoreBag, number: int) -> None:
    instance = pick([each for each in bag.instances() if each.is_paused], number)
    if instance is not None:
        instance.is_paused = False


def restart_entry(bag: CoreBag, number: int) -> None:
    bag.start_entry(pick(list(bag.entries), number))
    bag.list_members()


def restart_agent(bag: CoreBag, number: int) -> None:
    bag.start_agent(pick(list(bag.agents), number))
    bag.list_members()


def join(bag: CoreBag, number: int) -> None:
    if len(bag.agents) < AGENTS_MAX:
        bag.start_agent(f"agent-{len(bag.agents)}")
        bag.list_members()


def stop_agent(bag: CoreBag, number: int) -> None:
    agent = pick_agent(bag, number)
    if agent is not None:
        agent.joining.is_leaving = True
        agent.inbox.append(agentevents.LeaveWanted())


def list_leaving(bag: CoreBag, number: int) -> None:
    agent = pick_agent(bag, number)
    if agent is not None:
        is_leaving = not agent.core.listed_leaving
        agent.inbox.append(agentevents.ListedLeaving(is_leaving=is_leaving))


def cut_log(bag: CoreBag, number: int) -> None:
    instance = pick(bag.instances(), number)
    instance.log.is_cut = not instance.log.is_cut


def lose_append(bag: CoreBag, number: int) -> None:
    bag.log.faults.append(pick(("lost", "vanished", "down"), number))


def answer(bag: CoreBag, number: int, fault: str = "") -> None:
    found = [
        (upstream, relay)
        for upstream in bag.upstreams.values()
        for relay in upstream.relays
    ]
    chosen = pick(found, number)
    if chosen is not None:
        bag.answer(*chosen, fault=fault)


def finish(bag: CoreBag, number: int) -> None:
    """Complete every answer, so that a leaving agent can leave."""
    for _ in range(6):
        for upstream in bag.upstreams.values():
            for relay in list(upstream.relays):
                bag.answer(upstream, relay)
    bag.flow(10)
    bag.advance(0.3)
    bag.flow(10)


def fail_run(bag: CoreBag, number: int) -> None:
    answer(bag, number // 7, fault=pick(FAULTS, number))


def upstream_up(bag: CoreBag, number: int) -> None:
    bag.upstreams_up()


def send_some(bag: CoreBag, number: int) -> None:
    """Send, unless so many requests wait that tier order isn't guaranteed."""
    entry = pick_entry(bag, number)
    waiting = len(entry.core.requests) + len(entry.inbox)
    if waiting < 2 * bag.settings.waiting_max:
        key = None if number % 4 else f"s{len(bag.promises.callers)}"
        rank = pick(RANKS, number // 7)
        bag.send(entry, rank=rank, key=key, deadline_s=DEADLINE_MAX_S)


def drop_floor(bag: CoreBag, number: int) -> None:
    floors = [p for p in bag.parcels if isinstance(p.message, (Floor, FloorHeld))]
    if floors and bag.promises.dropped < 2:
        bag.promises.dropped += 1
        bag.drop(pick(floors, number))


def advance_little(bag: CoreBag, number: int) -> None:
    """Advance the time; a message is delivered within two of these steps."""
    late = bag.parcels[:]
    bag.advance(pick((0.01, 0.05, 0.2), number))
    for parcel in late:
        if any(each is parcel for each in bag.parcels):
            bag.deliver_once(parcel)


RULES: dict[str, Rule] = {
    rule.__name__: rule
    for rule in (
        flow,
        deliver,
        double,
        drop,
        delay,
        deliver_late,
        local,
        advance,
        jump,
        send,
        send_first,
        send_again,
        leave_caller,
        pause,
        resume,
        restart_entry,
        restart_agent,
        join,
        stop_agent,
        list_leaving,
        cut_log,
        lose_append,
        answer,
        finish,
        fail_run,
        upstream_up,
        send_some,
        drop_floor,
        advance_little,
    )
}


def choices(weights: dict[str, int], *, count_min: int = 30, count_max: int = 90):
    """Return a strategy for lists of choices; weights are the rules' frequencies.

    Half of the lists come from a seeded generator, with up to `count_min` more:
    hypothesis's own lists repeat values so often that long causal chains are rare.
    """
    names = [name for name, weight in weights.items() for _ in range(weight)]
    each = strategies.tuples(strategies.sampled_from(names), strategies.integers(0, 97))

    def seeded(random) -> list[Choice]:
        count = random.randint(count_min, count_max + count_min)
        return [(random.choice(names), random.randrange(98)) for _ in range(count)]

    lists = strategies.lists(each, min_size=count_min, max_size=count_max)
    return lists | strategies.randoms(use_true_random=True).map(seeded)


def run_choices(
    bag: CoreBag, chosen: list[Choice], *, is_healed: bool = True
) -> CoreBag:
    """Run choices, then heal all faults and check the final state."""
    for name, number in chosen:
        RULES[name](bag, number)
    if is_healed:
        bag.heal()
        bag.promises.check_end()
    return bag
