"""Upstreams that are in trouble for a while, and stops and kills in between.

Each trouble is a state: from its beginning to its end an upstream turns away a share of
its requests, says too little or too much of them, loses answers or stands still.
"""

from random import Random

from soak.events import (
    DESKS,
    ENTRIES,
    FAULTS_S,
    LENGTH_MAX_S,
    MODELS,
    EntryKilled,
    EntryStopped,
    Event,
    StoreTurnsAway,
    UpstreamInTrouble,
    UpstreamSuspended,
)

# The part of the schedules with troubles: the others show what is owed without.
TROUBLED_PART = 3 / 4
# Upstreams in trouble: how many, and for how long, in seconds. The plain ones come
# twice as often, since only they take requests that are small enough to be sent again.
TROUBLES = (3, 5)
TROUBLE_LENGTH_S = (1.5, 5.0)
TROUBLED = (*DESKS, *DESKS, *MODELS)
# One of so many requests is met by a trouble.
SHARES = (1, 1, 2, 3, 5)
STATUSES = (408, 429, 503, 503)
# What a refusal says: too little, the truth, of no or another request.
SAYS_TOO_LITTLE = ("id", "id, signature", "")
SAYS_THE_TRUTH = ("not executed, id",)
SAYS_OF_ANOTHER = ("not executed", "not executed, other id")
# When an answer is sent again, in seconds after it.
COPIED_AFTER_S = (0.005, 0.4)
# How slow the answers of an upstream are, in seconds.
SLOW_S = (0.3, 1.5)
# Upstreams that are suspended, and for how long, in seconds.
SUSPENSIONS = (1, 2)
SUSPENSION_LENGTH_S = (0.3, 2.5)
# Schedules in which each entry is stopped in turn while it answers, when, and the time
# between two stops, in seconds; in a part of these gaps another entry is killed.
BUSY_STOPS_PART = 1 / 3
BUSY_STOPS_AT_S = (0.5, FAULTS_S * 0.7)
BUSY_STOP_GAP_S = (0.3, 1.5)
KILL_BETWEEN_PART = 1 / 2
KILL_LENGTH_S = (0.2, 1.0)


def draw(random: Random) -> list[Event]:
    """Return the troubles of a schedule, in no order."""
    if random.random() >= TROUBLED_PART:
        return []
    return [
        *(_trouble(random) for _ in range(random.randint(*TROUBLES))),
        *(_suspension(random) for _ in range(random.randint(*SUSPENSIONS))),
        *_busy_stops(random),
        *_turned_away(random),
    ]


def _event(random: Random, length_s: tuple[float, float], action: object) -> Event:
    return Event(
        at_s=round(random.uniform(0.0, FAULTS_S), 2),
        length_s=round(random.uniform(*length_s), 2),
        action=action,
    )


def _trouble(random: Random) -> Event:
    kind = random.choice((_unproven, _unproven, _true, _copying, _losing, _slow))
    action = UpstreamInTrouble(upstream=random.choice(TROUBLED), faults=kind(random))
    return _event(random, TROUBLE_LENGTH_S, action)


def _unproven(random: Random) -> dict:
    """Refuse without saying of which request, or whether it ran."""
    says = random.choice((*SAYS_TOO_LITTLE, *SAYS_TOO_LITTLE, *SAYS_OF_ANOTHER))
    return _refusing(random, says) | {"refuses_after_run": random.random() < 0.5}


def _true(random: Random) -> dict:
    return _refusing(random, random.choice(SAYS_THE_TRUTH))


def _copying(random: Random) -> dict:
    """Send answers again, where the next ones are expected."""
    return _refusing(random, random.choice(SAYS_THE_TRUTH + SAYS_OF_ANOTHER)) | {
        "refuses_each": random.choice((2, 3, 5)),
        "copied_after_s": round(random.uniform(*COPIED_AFTER_S), 3),
        "copies_answers": random.random() < 0.5,
    }


def _losing(random: Random) -> dict:
    """Run requests and close their connections before the first byte."""
    return {
        "loses": random.choice(("close", "reset")),
        "loses_each": random.choice(SHARES),
    }


def _slow(random: Random) -> dict:
    if random.random() < 0.3:
        return {"mute": True}
    slow_s = round(random.uniform(*SLOW_S), 2)
    return {"work_s": slow_s, "event_s": round(slow_s / 3, 2)}


def _refusing(random: Random, says: str) -> dict:
    # All of it, so that two troubles that overlap don't make an upstream that claims
    # not to have run what it ran: nobody could know.
    return {
        "refuses_after_run": False,
        "refuses": random.choice(STATUSES),
        "refuses_each": random.choice(SHARES),
        "refusal_says": says,
    }


def _suspension(random: Random) -> Event:
    action = UpstreamSuspended(upstream=random.choice(TROUBLED))
    return _event(random, SUSPENSION_LENGTH_S, action)


def _busy_stops(random: Random) -> list[Event]:
    """Return stops of each entry in turn, and kills of others between two stops."""
    if random.random() >= BUSY_STOPS_PART:
        return []
    at_s = random.uniform(*BUSY_STOPS_AT_S)
    events = []
    for entry in random.sample(ENTRIES, len(ENTRIES)):
        stop = EntryStopped(entry=entry)
        events.append(Event(at_s=round(at_s, 2), length_s=0.0, action=stop))
        gap_s = random.uniform(*BUSY_STOP_GAP_S)
        if random.random() < KILL_BETWEEN_PART:
            other = random.choice([each for each in ENTRIES if each != entry])
            kill = Event(
                at_s=round(at_s + gap_s / 2, 2),
                length_s=round(random.uniform(*KILL_LENGTH_S), 2),
                action=EntryKilled(entries=(other,)),
            )
            events.append(kill)
        at_s += gap_s
    return events


def _turned_away(random: Random) -> list[Event]:
    entries = random.sample(ENTRIES, random.randint(0, 2))
    if not entries:
        return []
    action = StoreTurnsAway(entries=tuple(entries))
    return [_event(random, (0.5, LENGTH_MAX_S), action)]
