"""Seeded arrival files: the same requests for every variant of a measurement."""

import json
import pathlib
from random import Random

import attrs

WORD_LIST = 5000
SHARED_PROMPTS = 20
SHARED_WORDS = 128
OWN_WORDS = 32
# One request in a hundred has a prompt a hundred times as long as its own part.
LONG_EVERY = 100
LONG_FACTOR = 100
ANSWER_TOKENS = 12
DEADLINES_S = {"alert": 3.0, "narrative": 6.0, "report": 10.0}


@attrs.frozen(kw_only=True)
class Phase:
    """A stretch of time and its rates, in requests a second by tier."""

    name: str
    length_s: float
    per_s: dict[str, float]


@attrs.frozen(kw_only=True)
class Planned:
    """One request of an arrival file."""

    at_s: float
    phase: str
    tier: str
    prompt: str
    tokens: int
    deadline_s: float
    entry: int


def closing(capacity_per_s: float) -> tuple[Phase, ...]:
    """Return a closing: ordinary, a burst at three times capacity, ordinary.

    Alerts keep their rate; the burst is of narratives and reports.
    """
    ordinary = {
        tier: share * capacity_per_s
        for tier, share in (("alert", 0.15), ("narrative", 0.2), ("report", 0.15))
    }
    burst = ordinary | {"narrative": capacity_per_s, "report": 1.85 * capacity_per_s}
    return (
        Phase(name="before", length_s=6.0, per_s=ordinary),
        Phase(name="burst", length_s=10.0, per_s=burst),
        Phase(name="after", length_s=6.0, per_s=ordinary),
    )


def ordinary(capacity_per_s: float) -> tuple[Phase, ...]:
    """Return an ordinary day at half of capacity, in two halves."""
    rates = closing(capacity_per_s)[0].per_s
    return (
        Phase(name="first", length_s=10.0, per_s=rates),
        Phase(name="second", length_s=10.0, per_s=rates),
    )


def plan(phases: tuple[Phase, ...], *, seed: int, entries: int) -> list[Planned]:
    """Return the arrivals of all phases, by time."""
    random = Random(seed)
    shared = [_words(random, SHARED_WORDS) for _ in range(SHARED_PROMPTS)]
    planned, began_s = [], 0.0
    for phase in phases:
        for tier, per_s in phase.per_s.items():
            at_s = began_s + random.expovariate(per_s)
            while at_s < began_s + phase.length_s:
                planned.append(
                    _request(random, phase.name, tier, at_s, shared, entries)
                )
                at_s += random.expovariate(per_s)
        began_s += phase.length_s
    return sorted(planned, key=lambda each: each.at_s)


def _request(random, phase, tier, at_s, shared, entries) -> Planned:
    own_words = OWN_WORDS
    if random.randrange(LONG_EVERY) == 0:
        own_words *= LONG_FACTOR
    head = random.choice(shared) if random.random() < 0.5 else []
    return Planned(
        at_s=at_s,
        phase=phase,
        tier=tier,
        prompt=" ".join(head + _words(random, own_words)),
        tokens=ANSWER_TOKENS,
        deadline_s=DEADLINES_S[tier],
        entry=random.randrange(entries),
    )


def _words(random: Random, count: int) -> list[str]:
    return [f"w{random.randrange(WORD_LIST)}" for _ in range(count)]


def write(planned: list[Planned], path: pathlib.Path) -> None:
    """Write an arrival file of JSON lines."""
    path.write_text("".join(json.dumps(attrs.asdict(each)) + "\n" for each in planned))
