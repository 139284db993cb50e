"""What each rule of direct dispatch is worth, in a driven model.

One line stands before a model of engines: places, prompts read one after another at a
rate, steps that get longer with each request beside. Callers come in clumps and come
back once when they are refused. No network, no threads, a clock of its own; the
scheduler and the pool are the daemon's. Each rule is switched off alone, over the same
arrivals.

Shapes and figures are those of a customer's sheet: long prompts of the highest rank
whose answers hold a place for a second, a middle rank, a short lowest one, and at the
fifth second a burst of twice the traffic with one engine of five lost. One engine takes
4.4 times as long as the others. Answers' lengths spread widely, and callers say
beforehand how long they expect them to be, rightly at the median. Worth is what answers
on time and late earned, of what all answers on time would have earned, less a part of
what came back and was refused once more.
"""

import contextlib
import heapq
import statistics
from random import Random
from unittest import mock

from bench.engineday import SERVICE, TICK_S, EngineDay, EngineFigures, Kind
from lavenderspoke.direct import (
    rankreserve,
    selection,
    upstreamstate,
    waitingtickets,
    waitpolicy,
)
from lavenderspoke.direct.scheduler import Scheduler, ServiceQueue
from lavenderspoke.direct.tickets import Ticket

SEEDS = range(1, 13)
DAY_S = 16.0
BURST_S = (5.0, 10.0)
BURST_TIMES = 2.0
CLUMP = 3
ENGINES = 5
FIGURES = EngineFigures(
    places=9,
    tokens_read_per_s=200_000.0,
    first_s=0.036,
    event_s=0.015,
    event_tokens=8,
    neighbour_part=0.05,
)
# The last engine takes so many times as long as the others.
SLOWEST_TIMES = 4.4
# Standard deviation of the logarithms of prompts' lengths.
PROMPT_SPREAD = 1.1
# How long callers wait for the first byte, in seconds.
PATIENCE_S = 2.0

KINDS = (
    Kind(
        rank=0,
        per_s=9.6,
        prompt_tokens=6670,
        events=48,
        target_s=0.6,
        deadline_s=10.0,
        on_time_worth=11.0,
        late_worth=1.1,
    ),
    Kind(
        rank=1,
        per_s=18.2,
        prompt_tokens=690,
        events=36,
        target_s=0.4,
        deadline_s=10.0,
        on_time_worth=1.5,
        late_worth=0.15,
    ),
    Kind(
        rank=2,
        per_s=23.1,
        prompt_tokens=1860,
        events=3,
        target_s=0.4,
        deadline_s=2.5,
        on_time_worth=0.32,
        late_worth=0.032,
    ),
)


class Day(EngineDay):
    """One day of arrivals at one entry; `worth()` is what came of it."""

    def __init__(self, *, seed: int):
        super().__init__(seed=seed, figures=FIGURES)
        for number in range(ENGINES):
            self._add_engine(number, SLOWEST_TIMES if number == 0 else 1.0)
        self._scheduler = Scheduler(random=Random(seed + 1000))
        self._list(ENGINES)
        for kind in KINDS:
            self._plan(kind)
        self._at(BURST_S[0], lambda: self._list(ENGINES - 1))

    def worth(self) -> float:
        """Play the day and return the part of what was owed that was earned."""
        while self.now_s < DAY_S + 10.0:
            tick_s = self.now_s + TICK_S
            while self._events and self._events[0][0] <= tick_s:
                self.now_s, _, work = heapq.heappop(self._events)
                work()
            self.now_s = tick_s
            self._scheduler.tick(self.now_s)
        return self._earned / self._owed

    def line(self) -> ServiceQueue:
        return self._scheduler.queue(SERVICE)

    def patience_s(self, kind: Kind) -> float:
        return PATIENCE_S

    def _list(self, count: int) -> None:
        self._scheduler.reconfigure(self._upstreams(count), self.now_s)

    def _plan(self, kind: Kind) -> None:
        at_s = 0.0
        while at_s < DAY_S:
            for _ in range(CLUMP):
                self._plan_call(self._draw(kind, at_s, PROMPT_SPREAD))
            times = BURST_TIMES if BURST_S[0] <= at_s < BURST_S[1] else 1.0
            at_s += self._random.expovariate(kind.per_s * times / CLUMP)


def _without_returned(ticket: Ticket) -> tuple:
    return ticket.rank, ticket.is_late, ticket.answer_tokens, ticket.number


def _without_on_time(ticket: Ticket) -> tuple:
    return ticket.rank, not ticket.resubmitted, ticket.answer_tokens, ticket.number


def _without_short(ticket: Ticket) -> tuple:
    return ticket.rank, ticket.is_late, not ticket.resubmitted, ticket.number


def _in_order_of_arrival(ticket: Ticket) -> tuple:
    return (ticket.number,)


RULES = {
    "nothing": [],
    "ranks": [(waitingtickets, "priority_key", _in_order_of_arrival)],
    "places that stay free for ranks above": [(rankreserve, "RESERVED_SHARE", 0.0)],
    "places guaranteed to ranks below": [(rankreserve, "GUARANTEED_SHARE", 0.0)],
    "on time before late": [(waitingtickets, "priority_key", _without_on_time)],
    "returned first": [(waitingtickets, "priority_key", _without_returned)],
    "short before long": [(waitingtickets, "priority_key", _without_short)],
    "refused on arrival": [(waitpolicy, "EXPECTED_WAIT_TOLERANCE", float("inf"))],
    "spread over like upstreams": [(selection, "COST_JITTER", 0.0)],
    "neighbours in the choice": [(upstreamstate, "STEPS_PER_CONCURRENT_REQUEST", 0.0)],
}


def main() -> None:
    """Print the table: what the day loses without each rule."""
    whole = [Day(seed=seed).worth() for seed in SEEDS]
    print(f"worth with all rules: {statistics.mean(whole):.3f}")
    print("| switched off | loss of worth | standard error |\n| --- | ---: | ---: |")
    for name, changes in RULES.items():
        with contextlib.ExitStack() as stack:
            for module, attribute, value in changes:
                stack.enter_context(mock.patch.object(module, attribute, value))
            worths = [Day(seed=seed).worth() for seed in SEEDS]
        losses = [with_it - off for with_it, off in zip(whole, worths)]
        error = statistics.stdev(losses) / len(losses) ** 0.5
        print(f"| {name} | {statistics.mean(losses):+.3f} | {error:.3f} |")


if __name__ == "__main__":
    main()
