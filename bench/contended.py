"""What it is worth that entries share the places that come free, in a driven model.

The pattern: more is asked for than the engines carry, each of many entries has callers
in line, and what an entry knows of the others' requests is some 0.1 s old. Shapes and
figures are those of `bench.longanswers`, and of `bench.fleet` for few entries. "At
engines" is how many requests wait there in the mean of the burst, behind places that
are all taken.
"""

import contextlib
import statistics
from unittest import mock

from bench.fleet import BURST_S, Fleet, FleetDay
from bench.longanswers import LongAnswersDay
from lavenderspoke.direct.scheduler import ServiceQueue

MANY = Fleet(entries=31, engines=29, told_every_s=0.1)
LOADS = (0.62, 0.75, 0.9)
MANY_SEEDS = (1, 2)
FEW = Fleet(entries=5, engines=5, told_every_s=0.02)
FEW_SEEDS = range(1, 9)
LOOK_EVERY_S = 0.05
RANKS = (0, 1, 2)


class Looks:
    """How many requests wait at a day's engines, looked at through its burst."""

    def __init__(self, day: FleetDay):
        self._day = day
        self._waiting: list[int] = []
        day._at(BURST_S[0], self._look)

    def mean(self) -> float:
        return statistics.mean(self._waiting)

    def _look(self) -> None:
        day = self._day
        self._waiting.append(sum(len(e.waiting) for e in day._engines.values()))
        if day.now_s < BURST_S[1]:
            day._at(day.now_s + LOOK_EVERY_S, self._look)


def shared(is_on: bool) -> contextlib.AbstractContextManager:
    """Return a context in which entries share free places or take what they see."""
    if is_on:
        return contextlib.nullcontext()
    return mock.patch.object(ServiceQueue, "_claims_slot", lambda *_: True)


def many(load: float, seed: int) -> list[float]:
    """Return worth, the part on time by rank, and what waits at engines."""
    day = LongAnswersDay(fleet=MANY, seed=seed, load=load)
    looks = Looks(day)
    return [day.worth(), *map(day.on_time_part, RANKS), looks.mean()]


def main() -> None:
    """Print both tables."""
    print("| load | places | worth | highest on time | middle | lowest | at engines |")
    print("| ---: | --- | ---: | ---: | ---: | ---: | ---: |")
    for load in LOADS:
        for name, is_on in (("as seen", False), ("shared", True)):
            with shared(is_on):
                days = [many(load, seed) for seed in MANY_SEEDS]
            *parts, waiting = map(statistics.mean, zip(*days))
            figures = " | ".join(f"{each:.3f}" for each in parts)
            print(f"| {load:g} | {name} | {figures} | {waiting:.0f} |", flush=True)
    worths = {}
    for is_on in (False, True):
        with shared(is_on):
            days = [FleetDay(fleet=FEW, seed=seed) for seed in FEW_SEEDS]
            worths[is_on] = [day.worth() for day in days]
    gains = [new - old for old, new in zip(worths[False], worths[True])]
    error = statistics.stdev(gains) / len(gains) ** 0.5
    print(
        f"\n{FEW.entries} entries: {statistics.mean(worths[False]):.3f} as seen, "
        f"{statistics.mean(gains):+.3f} shared, standard error {error:.3f}"
    )


if __name__ == "__main__":
    main()
