"""Odd records in every topic, and entries that stand still while versions change."""

from random import Random

from soak.events import (
    ENTRIES,
    FAULTS_S,
    MODELS,
    EntryPaused,
    Event,
    OddRecord,
    VersionChanged,
)
from standins.oddrecords import ODD_KEYS, UNUSABLE

# How many odd records a seed has, and for how long each stays, in seconds: one may be
# there when entries start.
RECORDS = (3, 6)
RECORD_LENGTH_S = (0.5, FAULTS_S)
# The part of the seeds with faults in which an entry stands still while a version
# changes, when it does, for how long, and when the version changes, in seconds.
MISSED_PART = 0.7
MISSED_AT_S = (0.5, FAULTS_S - 4.0)
STANDS_S = (0.3, 4.0)
VERSIONS = ("v1", "v2", "v3")


def draw(random: Random, *, with_faults: bool) -> list[Event]:
    """Return odd records, and an entry that stands still if there are faults."""
    events = [_record(random) for _ in range(random.randint(*RECORDS))]
    if with_faults and random.random() < MISSED_PART:
        events += _missed_change(random)
    return events


def _record(random: Random) -> Event:
    topic = random.choice(sorted(UNUSABLE))
    key, value = random.choice(UNUSABLE[topic])
    if random.random() < 1 / 4:
        key = random.choice(ODD_KEYS)
    return Event(
        at_s=round(random.uniform(0.0, FAULTS_S), 2),
        length_s=round(random.uniform(*RECORD_LENGTH_S), 2),
        action=OddRecord(topic=topic, key=key, value=value),
    )


def _missed_change(random: Random) -> list[Event]:
    at_s, stands_s = random.uniform(*MISSED_AT_S), random.uniform(*STANDS_S)
    changed_s = at_s + random.uniform(0.0, stands_s)
    upstreams = random.choice([MODELS, MODELS[:2]])
    return [
        Event(
            at_s=round(at_s, 2),
            length_s=round(stands_s, 2),
            action=EntryPaused(entry=random.choice(ENTRIES)),
        ),
        Event(
            at_s=round(changed_s, 2),
            length_s=0.0,
            action=VersionChanged(
                upstreams=upstreams, software=random.choice(VERSIONS)
            ),
        ),
    ]
