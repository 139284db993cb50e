"""What places kept free cost a burst of long answers, in a driven model.

The pattern: the lowest rank's answers are ten times as long as the others', and come in
a burst of 2.7 times their usual number over a steady load of the higher ranks, as on a
day on which everybody follows the same race. Kept free to the same part whatever the
higher ranks need, a quarter of all places stands empty while those callers are refused.
"""

import statistics
from collections import Counter
from unittest import mock

from bench import fleet
from bench.engineday import Call, EngineFigures, Kind, Sent
from bench.fleet import Fleet, FleetDay
from lavenderspoke.direct import adaptivereserve
from lavenderspoke.direct.tickets import Dispatch

FIGURES = EngineFigures(
    places=5,
    tokens_read_per_s=36_700.0,
    first_s=0.022,
    event_s=0.0217,
    event_tokens=5,
    neighbour_part=0.035,
)
# Requests a second are for one engine.
KINDS = (
    Kind(
        rank=0,
        per_s=2.95,
        prompt_tokens=2950,
        events=10,
        target_s=0.835,
        deadline_s=5.2,
        on_time_worth=7.0,
        late_worth=2.0,
    ),
    Kind(
        rank=1,
        per_s=5.48,
        prompt_tokens=1860,
        events=5,
        target_s=1.02,
        deadline_s=3.05,
        on_time_worth=1.1,
        late_worth=0.33,
    ),
    Kind(
        rank=2,
        per_s=1.63,
        prompt_tokens=603,
        events=56,
        target_s=1.2,
        deadline_s=15.0,
        on_time_worth=0.54,
        late_worth=0.16,
    ),
)
BURST_S = (4.0, 8.0)
BURST_TIMES = 2.7
LOADS = (0.5, 0.62, 0.75, 0.9)
SEEDS = (1, 2, 3)


class LongAnswersDay(FleetDay):
    """A day with a burst of the lowest rank; `load` is the part of KINDS' rates."""

    def __init__(self, *, fleet: Fleet, seed: int, load: float):
        self._load = load
        self.asked: Counter[int] = Counter()
        self.on_time: Counter[int] = Counter()
        self.refused: Counter[int] = Counter()
        super().__init__(fleet=fleet, seed=seed, figures=FIGURES)

    def _plan(self, kind: Kind) -> None:
        for each in KINDS:
            if each.rank == kind.rank:
                self._plan_bursts(each)

    def _plan_bursts(self, kind: Kind) -> None:
        at_s = 0.0
        while True:
            in_burst = kind.rank == 2 and BURST_S[0] <= at_s < BURST_S[1]
            times = BURST_TIMES if in_burst else 1.0
            per_s = kind.per_s * self._load * self._fleet.engines * times
            at_s += self._random.expovariate(per_s)
            if at_s >= fleet.DAY_S:
                return
            self.asked[kind.rank] += 1
            self._plan_call(self._draw(kind, at_s, fleet.PROMPT_SPREAD))

    def _began(self, engine, sent: Sent) -> None:
        call: Call = sent.call
        is_on_time = self.now_s <= call.first_s + call.kind.target_s
        self.on_time[call.kind.rank] += is_on_time
        super()._began(engine, sent)

    def _decided(self, sent: Sent, tries: int, decision) -> None:
        if tries > 1 and not isinstance(decision, Dispatch):
            self.refused[sent.call.kind.rank] += 1
        super()._decided(sent, tries, decision)

    def on_time_part(self, rank: int) -> float:
        """Return the part of a rank's requests that began within their targets."""
        return self.on_time[rank] / self.asked[rank]


def play(load: float, seed: int, least_part: float) -> LongAnswersDay:
    """Play a day on which at least that part of the places is kept free."""
    day = LongAnswersDay(
        fleet=Fleet(entries=31, engines=29, told_every_s=0.1), seed=seed, load=load
    )
    with mock.patch.object(adaptivereserve, "SHARE_MIN", least_part):
        day.worth()
    return day


def main() -> None:
    """Print the part on time by rank, by how many places are kept free."""
    print("| load | kept free | highest on time | middle | lowest | lowest refused |")
    print("| ---: | --- | ---: | ---: | ---: | ---: |")
    for load in LOADS:
        for name, part in (("always", 1.0), ("as needed", adaptivereserve.SHARE_MIN)):
            days = [play(load, seed, part) for seed in SEEDS]
            on_time = [
                statistics.mean(day.on_time_part(rank) for day in days)
                for rank in (0, 1, 2)
            ]
            refused = statistics.mean(day.refused[2] / day.asked[2] for day in days)
            parts = " | ".join(f"{each:.3f}" for each in (*on_time, refused))
            print(f"| {load:g} | {name} | {parts} |", flush=True)


if __name__ == "__main__":
    main()
