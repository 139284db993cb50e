"""What a seed makes happen, and when."""

from collections.abc import Callable
from random import Random

from soak import clientcrowds, oddwriters, troubles, versionchanges
from soak.events import (
    DESKS,
    ENTRIES,
    FAULTS_S,
    LENGTH_MAX_S,
    MODELS,
    UPSTREAMS,
    Action,
    AnswersEndless,
    AnswersUnframed,
    ConnectionsShifted,
    ContentCrashes,
    EntryKilled,
    EntryPaused,
    EntryReloaded,
    EntryStopped,
    Event,
    KeyRevoked,
    LeavingSaid,
    LimitNamed,
    LinkFails,
    PauseAsked,
    StoreFails,
    StoreForgets,
    StoreGoesBack,
    UpstreamFails,
    UpstreamLeaves,
    UpstreamSilent,
    VersionPublished,
)
from standins.endless import PLACES

# Faults of one seed: enough that signals, restarts and changes meet each other.
EVENTS = (7, 14)
# The part of the schedules with faults beside planned work.
FAULTY_PART = 2 / 3
# Silences of upstreams at work: how many, when, and for how long, in seconds. They
# come after the other events, and so do their stops of entries: the seeds that ever
# failed keep what they failed on.
SILENCES = (1, 2)
SILENCE_AT_S = (FAULTS_S, FAULTS_S + 1.5)
SILENCE_LENGTH_S = (1.5, LENGTH_MAX_S)
# Entries that are told to stop in a series, and the time between two, in seconds.
STOPS = (2, len(ENTRIES))
STOP_GAP_S = (0.3, 1.0)
# The most by which the first of them is told before the silence, in seconds.
STOP_BEFORE_S = 1.0

# What upstreams say about themselves: how many events, when, how long they last, in
# seconds, the limits that they name, in requests per second, and the pauses that they
# ask for, in seconds. A limit lasts longer than the time over which it is checked.
SIGNALS = (2, 3)
SIGNAL_AT_S = (0.5, FAULTS_S)
SIGNAL_LENGTH_S = (1.0, LENGTH_MAX_S)
LIMIT_LENGTH_S = (6.0, 9.0)
LIMITS_PER_S = (0.5, 2.0, 4.0)
PAUSES_S = (1.0, 3.0)

# How answers of upstreams end otherwise: how many of them change that, when and for how
# long, in seconds.
FRAMINGS = (2, 3)
FRAMING_LENGTH_S = (2.0, 5.0)
# When the store keeps the copy that it comes back from, how much later it goes away,
# for how long, and when the operator and the upstreams then write again, in seconds. A
# revoked key may work for 5 s, and all of this takes less.
COPY_AT_S = (0.5, FAULTS_S * 0.6)
LOST_S = (0.3, 2.0)
AWAY_S = (0.1, 1.0)
AGAIN_S = (0.0, 1.0)

# When content that crashes the upstreams that run it is sent again and again, for how
# long, and the time between two times, in seconds.
CRASHES_AT_S = (0.5, FAULTS_S * 0.5)
CRASHES_LENGTH_S = (5.0, 7.0)
CRASHES_GAP_S = (0.2, 0.8)

# Upstreams that send without end: how many, for how long others get that, in seconds,
# and the time between two writes, of which 0 sends as much as the link takes.
ENDLESS = (1, 2)
ENDLESS_LENGTH_S = (0.5, LENGTH_MAX_S)
ENDLESS_GAPS_S = (0.0, 0.1)

# Entries that get most new connections one after the other, when the first does, and
# for how long, in seconds.
SHIFTS = 2
SHIFTS_AT_S = (2.0, 4.0)
SHIFT_LENGTH_S = (4.0, 5.0)

STORE_MODES = ("down", "reset", "silent", "lose", "endless")
# Where answers aren't whole, or begin as sound ones, before they go on.
ENDLESS_PLACES = sorted(PLACES.keys() - {"trailers", "bytes behind", "events"})
LINK_FAULTS = {
    "delayed": {"to_target": {"delay_ms": 300.0}, "to_client": {"delay_ms": 300.0}},
    "silenced": {"to_target": {"half_open": True}, "to_client": {"half_open": True}},
    "cut one way": {"to_client": {"freeze": True}},
    "refused": {"refuse": True, "cut": True},
    "reset": {"cut": True},
}
UPSTREAM_FAULTS = {
    "foreign answers": {"wrong_id": True},
    # Reset: nothing tells one that ends in order with its connection from a whole one.
    "truncated answers": {"truncate": True, "resets": True},
    "unsigned answers": {"unsigned": True},
    "mute": {"mute": True},
    "full": {"full": True},
    "cuts streams": {"cut_after_events": 2},
    "fails": {"status": 500},
    "slow": {"event_s": 0.2, "work_s": 0.4},
}


def _planned(random: Random) -> list[Callable[[], Action]]:
    """Return the kinds of planned work."""
    return [
        lambda: EntryStopped(entry=random.choice(ENTRIES)),
        lambda: EntryReloaded(entry=random.choice(ENTRIES)),
        lambda: UpstreamLeaves(upstream=random.choice(UPSTREAMS)),
        lambda: VersionPublished(),
    ]


def _unplanned(random: Random) -> list[Callable[[], Action]]:
    """Return the kinds of faults; those with many variants stand twice."""
    links = [store_link(name) for name in ENTRIES] + list(UPSTREAMS)
    return [
        lambda: EntryKilled(entries=(random.choice(ENTRIES),)),
        lambda: EntryKilled(entries=ENTRIES),
        lambda: EntryPaused(entry=random.choice(ENTRIES)),
        lambda: StoreFails(mode=random.choice(STORE_MODES)),
        lambda: StoreForgets(),
        lambda: LinkFails(
            link=random.choice(links), fault=random.choice(sorted(LINK_FAULTS))
        ),
        lambda: LinkFails(
            link=random.choice(links), fault=random.choice(sorted(LINK_FAULTS))
        ),
        lambda: UpstreamFails(
            upstream=random.choice(UPSTREAMS),
            fault=random.choice(sorted(UPSTREAM_FAULTS)),
        ),
        lambda: UpstreamFails(
            upstream=random.choice(UPSTREAMS),
            fault=random.choice(sorted(UPSTREAM_FAULTS)),
        ),
    ]


def store_link(entry: str) -> str:
    """Return the name of the link between an entry and the store."""
    return f"store-{entry}"


def draw(seed: int) -> list[Event]:
    """Return the seed's schedule in the order of time.

    >>> draw(7) == draw(7)
    True
    """
    random = Random(seed)
    kinds = _planned(random)
    # A stop may cut off nothing only while nothing else fails, so every third
    # schedule holds planned work alone.
    is_faulty = random.random() < FAULTY_PART
    if is_faulty:
        kinds += _unplanned(random)
    events = [
        Event(
            at_s=round(random.uniform(0.0, FAULTS_S), 2),
            length_s=round(random.uniform(0.2, LENGTH_MAX_S), 2),
            action=random.choice(kinds)(),
        )
        for _ in range(random.randint(*EVENTS))
    ]
    # Every run takes a key away while there is time left to see it used.
    revoked = Event(
        at_s=round(random.uniform(0.5, FAULTS_S / 3), 2),
        length_s=0.0,
        action=KeyRevoked(),
    )
    every = [
        *events,
        revoked,
        *_silences(Random(f"{seed}/silences")),
        *_signals(Random(f"{seed}/signals")),
        *_framings(Random(f"{seed}/framings")),
        *_endless(Random(f"{seed}/endless")),
        _going_back(Random(f"{seed}/copies")),
        _crashes(Random(f"{seed}/crashes"), Random(f"{seed}/parts")),
        *_shifts(Random(f"{seed}/shifts")),
        *troubles.draw(Random(f"{seed}/troubles")),
        *versionchanges.draw(Random(f"{seed}/versions"), with_kills=is_faulty),
        *oddwriters.draw(Random(f"{seed}/odd"), with_faults=is_faulty),
        *clientcrowds.draw(Random(f"{seed}/crowds")),
    ]
    return sorted(every, key=lambda event: event.at_s)


def _silences(random: Random) -> list[Event]:
    """Return silences of different upstreams, each with a series of stops.

    A silence is no failure, so schedules of planned work alone hold them too.
    """
    events = []
    for upstream in random.sample(MODELS, random.randint(*SILENCES)):
        silence = Event(
            at_s=round(random.uniform(*SILENCE_AT_S), 2),
            length_s=round(random.uniform(*SILENCE_LENGTH_S), 2),
            action=UpstreamSilent(upstream=upstream),
        )
        events += [silence, *_stops(silence, random)]
    return events


def _signals(random: Random) -> list[Event]:
    """Return what upstreams say about themselves, each of them one thing at most.

    One upstream of each service says nothing, so that work has a place.
    """
    events = []
    for upstream in random.sample([*MODELS[1:], *DESKS[1:]], random.randint(*SIGNALS)):
        action = random.choice(
            [
                LimitNamed(upstream=upstream, per_s=random.choice(LIMITS_PER_S)),
                PauseAsked(upstream=upstream, pause_s=random.choice(PAUSES_S)),
                LeavingSaid(upstream=upstream),
            ]
        )
        is_limit = isinstance(action, LimitNamed)
        length_s = random.uniform(*(LIMIT_LENGTH_S if is_limit else SIGNAL_LENGTH_S))
        at_s = random.uniform(*SIGNAL_AT_S)
        events.append(
            Event(at_s=round(at_s, 2), length_s=round(length_s, 2), action=action)
        )
    return events


def _framings(random: Random) -> list[Event]:
    """Return upstreams whose answers end with their connections."""
    return [
        Event(
            at_s=round(random.uniform(0.0, FAULTS_S), 2),
            length_s=round(random.uniform(*FRAMING_LENGTH_S), 2),
            action=AnswersUnframed(
                upstream=upstream, crashes=random.choice((True, False))
            ),
        )
        for upstream in random.sample(UPSTREAMS, random.randint(*FRAMINGS))
    ]


def _endless(random: Random) -> list[Event]:
    """Return upstreams that send without end, which is no planned work.

    One of each service doesn't, so that work has a place.
    """
    return [
        Event(
            at_s=round(random.uniform(0.0, FAULTS_S), 2),
            length_s=round(random.uniform(*ENDLESS_LENGTH_S), 2),
            action=AnswersEndless(
                upstream=upstream,
                place=random.choice(ENDLESS_PLACES),
                gap_s=random.choice(ENDLESS_GAPS_S),
            ),
        )
        for upstream in random.sample(
            [*MODELS[1:], *DESKS[1:]], random.randint(*ENDLESS)
        )
    ]


def _going_back(random: Random) -> Event:
    """Return when the store loses what was written for some time."""
    return Event(
        at_s=round(random.uniform(*COPY_AT_S), 2),
        length_s=round(random.uniform(*LOST_S), 2),
        action=StoreGoesBack(
            away_s=round(random.uniform(*AWAY_S), 2),
            again_s=round(random.uniform(*AGAIN_S), 2),
        ),
    )


def _crashes(random: Random, kinds: Random) -> Event:
    """Return when content is sent that crashes upstreams."""
    return Event(
        at_s=round(random.uniform(*CRASHES_AT_S), 2),
        length_s=round(random.uniform(*CRASHES_LENGTH_S), 2),
        action=ContentCrashes(
            gap_s=round(random.uniform(*CRASHES_GAP_S), 2),
            same_address=random.choice((True, False)),
            by_part=kinds.choice((True, False)),
        ),
    )


def _shifts(random: Random) -> list[Event]:
    """Return when most new connections come to one entry, and then to another."""
    at_s = random.uniform(*SHIFTS_AT_S)
    events = []
    for entry in random.sample(ENTRIES, SHIFTS):
        length_s = random.uniform(*SHIFT_LENGTH_S)
        events.append(
            Event(
                at_s=round(at_s, 2),
                length_s=round(length_s, 2),
                action=ConnectionsShifted(entry=entry),
            )
        )
        at_s += length_s
    return events


def _stops(silence: Event, random: Random) -> list[Event]:
    """Return stops of entries in a series, of which some overlap the silence."""
    at_s = silence.at_s + random.uniform(-STOP_BEFORE_S, silence.length_s / 3)
    events = []
    for entry in random.sample(ENTRIES, random.randint(*STOPS)):
        stop = EntryStopped(entry=entry)
        events.append(Event(at_s=round(at_s, 2), length_s=0.0, action=stop))
        at_s += random.uniform(*STOP_GAP_S)
    return events
