"""How many entries choose among many engines, in a driven model.

Each entry has the daemon's scheduler and sees what the others have running, waiting
and held as of the last time that all told it, some 0.1 s ago. No network, no threads, a
clock of its own. An engine that is sent more than it has places lets the rest wait.

Shapes and figures are those of a customer's sheet: engines of which a third is nearly
three times slower than the others, prompts of 2,950, 1,860 and 600 tokens, and for
four seconds twice the traffic with a fifth of the engines lost. Worth is what answers
on time and late earned, of what all answers on time would have earned, less a part of
what came back and was refused once more; a request is worth the more the longer its
prompt.
"""

import heapq
import statistics
from collections import Counter
from random import Random
from unittest import mock

import attrs

from bench.engineday import SERVICE, TICK_S, Call, EngineDay, EngineFigures, Kind
from lavenderspoke.direct import scheduler
from lavenderspoke.direct.peercounts import PeerCounts
from lavenderspoke.direct.scheduler import Scheduler, ServiceQueue
from lavenderspoke.direct.upstreamstate import Load

DAY_S = 12.0
BURST_S = (4.0, 8.0)
BURST_TIMES = 2.0
LOST_PART = 0.2
FIGURES = EngineFigures(
    places=5,
    tokens_read_per_s=36_700.0,
    first_s=0.022,
    event_s=0.01736,
    event_tokens=4,
    neighbour_part=0.035,
)
SLOWNESS = (1 / 0.6, 1 / 1.7, 1 / 1.7)
PROMPT_SPREAD = 1.0
# How long a message takes, in seconds, beside the time between two.
MESSAGE_S = 0.02
# Callers wait for the first byte for so many targets, and so many seconds at least.
PATIENCE_TARGETS = 4.0
PATIENCE_MIN_S = 2.0
# A request is worth this part of its kind's worth, and the rest by its prompt's length
# against the mean, up to so many times the kind's worth.
BASE_PART = 0.3
WORTH_MAX_TIMES = 4.0

# Requests a second are for one engine.
KINDS = (
    Kind(
        rank=0,
        per_s=2.24,
        prompt_tokens=2950,
        events=13,
        target_s=0.8,
        deadline_s=5.0,
        on_time_worth=7.0,
        late_worth=2.0,
    ),
    Kind(
        rank=1,
        per_s=2.39,
        prompt_tokens=1860,
        events=6,
        target_s=1.2,
        deadline_s=3.0,
        on_time_worth=1.1,
        late_worth=0.33,
    ),
    Kind(
        rank=2,
        per_s=1.25,
        prompt_tokens=603,
        events=70,
        target_s=1.2,
        deadline_s=15.0,
        on_time_worth=0.54,
        late_worth=0.16,
    ),
)


@attrs.frozen(kw_only=True)
class Fleet:
    """So many entries and engines; `told_every_s` is the time between two messages."""

    entries: int
    engines: int
    told_every_s: float


@attrs.define(kw_only=True)
class Told:
    """What all entries told last, added up, and what each of them had said."""

    running: dict[str, Load] = attrs.field(factory=dict)
    waiting: Counter = attrs.field(factory=Counter)
    held: Counter = attrs.field(factory=Counter)
    own: list = attrs.field(factory=list)


class FleetDay(EngineDay):
    """One day of arrivals at many entries; `worth()` is what came of it."""

    def __init__(self, *, fleet: Fleet, seed: int, figures: EngineFigures = FIGURES):
        super().__init__(seed=seed, figures=figures)
        self._fleet = fleet
        self._told = Told()
        for number in range(fleet.engines):
            self._add_engine(number, self._random.choice(SLOWNESS))
        self._schedulers = [self._scheduler(n, seed) for n in range(fleet.entries)]
        self._list(fleet.engines)
        left = fleet.engines - max(1, round(fleet.engines * LOST_PART))
        self._at(BURST_S[0], lambda: self._list(left))
        self._at(BURST_S[1], lambda: self._list(fleet.engines))
        self._at(fleet.told_every_s, self._tell)
        for each in self._schedulers:
            begin_s = self._random.uniform(0.0, TICK_S)
            self._at(begin_s, lambda each=each: self._tick(each))
        for kind in KINDS:
            self._plan(kind)

    def worth(self) -> float:
        """Play the day and return the part of what was owed that was earned."""
        self.play(until_s=DAY_S + 6.0)
        return self._earned / self._owed

    def play(self, *, until_s: float) -> None:
        while self._events and self._events[0][0] < until_s:
            self.now_s, _, work = heapq.heappop(self._events)
            work()

    def line(self) -> ServiceQueue:
        return self._random.choice(self._schedulers).queue(SERVICE)

    def patience_s(self, kind: Kind) -> float:
        return max(PATIENCE_MIN_S, PATIENCE_TARGETS * kind.target_s)

    def worth_times(self, call: Call) -> float:
        length = call.prompt_tokens / call.kind.prompt_tokens
        return min(WORTH_MAX_TIMES, BASE_PART + (1.0 - BASE_PART) * length)

    # Entries

    def _scheduler(self, number: int, seed: int) -> Scheduler:
        return Scheduler(
            random=Random(seed * 1000 + number),
            peer_loads=lambda: self._peers_running(number),
            peer_counts=lambda service: self._peers_share(number),
        )

    def _peers_running(self, number: int) -> dict[str, Load]:
        own = self._told.own[number][0] if self._told.own else {}
        return {
            upstream_id: Load(
                requests=each.requests - own.get(upstream_id, Load()).requests,
                prefill_tokens=each.prefill_tokens
                - own.get(upstream_id, Load()).prefill_tokens,
            )
            for upstream_id, each in self._told.running.items()
        }

    def _peers_share(self, number: int) -> PeerCounts:
        _, waiting, held = self._told.own[number] if self._told.own else ({}, {}, {})
        return PeerCounts(
            waiting=self._told.waiting - Counter(waiting),
            held=self._told.held - Counter(held),
            entries=self._fleet.entries - 1,
            age_s=self._fleet.told_every_s / 2.0 + MESSAGE_S,
        )

    def _tell(self) -> None:
        self._at(self.now_s + self._fleet.told_every_s, self._tell)
        told = Told()
        for each in self._schedulers:
            line = each.queue(SERVICE)
            said = line.pool.own_loads(), line.waiting(), line.held()
            told.own.append(said)
            told.waiting.update(said[1])
            told.held.update(said[2])
            for upstream_id, own in said[0].items():
                before = told.running.get(upstream_id, Load())
                told.running[upstream_id] = Load(
                    requests=before.requests + own.requests,
                    prefill_tokens=before.prefill_tokens + own.prefill_tokens,
                )
        self._at(self.now_s + MESSAGE_S, lambda: setattr(self, "_told", told))

    def _tick(self, each: Scheduler) -> None:
        each.tick(self.now_s)
        self._at(self.now_s + TICK_S, lambda: self._tick(each))

    def _list(self, count: int) -> None:
        for each in self._schedulers:
            each.reconfigure(self._upstreams(count), self.now_s)

    def _plan(self, kind: Kind) -> None:
        at_s = 0.0
        while True:
            times = BURST_TIMES if BURST_S[0] <= at_s < BURST_S[1] else 1.0
            per_s = kind.per_s * self._fleet.engines * times
            at_s += self._random.expovariate(per_s)
            if at_s >= DAY_S:
                return
            self._plan_call(self._draw(kind, at_s, PROMPT_SPREAD))


FLEETS = {
    Fleet(entries=5, engines=5, told_every_s=0.02): range(1, 9),
    Fleet(entries=24, engines=23, told_every_s=0.08): range(1, 7),
    Fleet(entries=68, engines=59, told_every_s=0.1): range(1, 4),
}


def main() -> None:
    """Print what choosing among fewer upstreams is worth, by the size of the fleet."""
    print("| entries, engines | best of all | best of some | gain | standard error |")
    print("| --- | ---: | ---: | ---: | ---: |")
    for fleet, seeds in FLEETS.items():
        with mock.patch.object(
            scheduler.ServiceQueue, "_unseen_requests", lambda line, now_s: 0.0
        ):
            before = [FleetDay(fleet=fleet, seed=seed).worth() for seed in seeds]
        after = [FleetDay(fleet=fleet, seed=seed).worth() for seed in seeds]
        gains = [new - old for old, new in zip(before, after)]
        error = statistics.stdev(gains) / len(gains) ** 0.5
        print(
            f"| {fleet.entries}, {fleet.engines} | {statistics.mean(before):.3f} "
            f"| {statistics.mean(after):.3f} | {statistics.mean(gains):+.3f} "
            f"| {error:.3f} |",
            flush=True,
        )


if __name__ == "__main__":
    main()
