"""Changes of the upstreams' software version around a kill of all entries."""

from random import Random

from soak.events import ENTRIES, FAULTS_S, MODELS, EntryKilled, Event, VersionChanged

# Share of the seeds that have them.
CHANGED_PART = 0.6
# When the first change comes, the time between two, and their number.
CHANGED_AT_S = (1.0, FAULTS_S - 2.0)
GAP_S = (0.1, 2.5)
CHANGES = (1, 3)
# When all entries are killed, counted from a change, and how long they stay away.
KILLED_AFTER_S = (-1.0, 1.5)
KILLED_S = (0.1, 1.5)
# The versions that come: also those of before, as when a change is taken back.
VERSIONS = ("v1", "v2", "v3")


def draw(random: Random, *, with_kills: bool) -> list[Event]:
    """Return changes of version, and kills of all entries if there are faults."""
    if random.random() >= CHANGED_PART:
        return []
    events = []
    at_s = random.uniform(*CHANGED_AT_S)
    for _ in range(random.randint(*CHANGES)):
        upstreams = random.choice([MODELS, MODELS[:2], MODELS[1:]])
        change = VersionChanged(upstreams=upstreams, software=random.choice(VERSIONS))
        events.append(Event(at_s=round(at_s, 2), length_s=0.0, action=change))
        if with_kills and random.random() < 2 / 3:
            killed_s = max(0.0, at_s + random.uniform(*KILLED_AFTER_S))
            events.append(
                Event(
                    at_s=round(killed_s, 2),
                    length_s=round(random.uniform(*KILLED_S), 2),
                    action=EntryKilled(entries=ENTRIES),
                )
            )
        at_s = min(at_s + random.uniform(*GAP_S), FAULTS_S)
    return events
