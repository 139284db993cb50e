"""What the sharing of engine time does for customers beside a hot one.

The driven model of `bench/fleet.py`, with 16 customers of three sizes in one customer
rank. One of the large ones asks for six times its usual amount for seven seconds; no
engine is lost. Entries tell each other their customers' engine time with the rest, some
0.1 s late. Each day is played with the policy and without it, over the same arrivals.

Measured among the requests that arrive while the customer is hot: how many of the
smallest and of the median customer begin to be answered at all, also after the burst,
and on time. Jain's index is over all customers, of the engine time of what each had
begun in the burst against its max-min fair part of the sum. All engine time is nominal:
of an engine of usual speed without neighbours.
"""

import argparse
import statistics
from collections import Counter, defaultdict
from collections.abc import Iterable, Mapping
from random import Random

import attrs

from bench.engineday import SERVICE, Call, Engine, Kind, Sent
from bench.fleet import (
    DAY_S,
    FIGURES,
    KINDS,
    MESSAGE_S,
    PROMPT_SPREAD,
    Fleet,
    FleetDay,
)
from lavenderspoke.direct.enginetimenews import EngineRows, EngineTimeNews
from lavenderspoke.direct.peercounts import PeerCounts
from lavenderspoke.direct.policies import ALL_POLICIES, Policies
from lavenderspoke.direct.scheduler import Scheduler
from lavenderspoke.direct.tickets import Rank

EngineNews = dict[str, EngineRows]
Asking = dict[Rank, dict[str, int]]

CUSTOMERS = 16
# Part of the usual demand of each large customer, of each usual and of the smallest.
LARGE_PART, SMALLEST_PART = 0.13, 0.01
LARGE = 3
HOT = "c0"
WITHOUT_SHARES = Policies(customer_shares=False)
HOT_TIMES = 6.0
HOT_S = (2.0, 9.0)
# The usual demand, against the rates of `fleet.KINDS`.
USUAL_TIMES = 1.6


def usual_parts() -> dict[str, float]:
    """Return each customer's part of the usual demand: its size, and its weight."""
    parts = dict.fromkeys((f"c{n}" for n in range(LARGE)), LARGE_PART)
    usual = (1.0 - LARGE * LARGE_PART - SMALLEST_PART) / (CUSTOMERS - LARGE - 1)
    parts |= dict.fromkeys((f"c{n}" for n in range(LARGE, CUSTOMERS - 1)), usual)
    return parts | {f"c{CUSTOMERS - 1}": SMALLEST_PART}


PARTS = usual_parts()
SMALLEST = f"c{CUSTOMERS - 1}"
MEDIAN = f"c{CUSTOMERS - 2}"


def jain_index(values: Iterable[float]) -> float:
    """Return Jain's fairness index: 1.0 if all are equal, 1 / n if one has all.

    >>> jain_index([1.0, 1.0]), jain_index([1.0, 0.0])
    (1.0, 0.5)
    """
    values = list(values)
    squares = sum(each * each for each in values)
    return sum(values) ** 2 / (len(values) * squares) if squares else 1.0


def max_min_parts(
    total: float, asked: Mapping[str, float], weights: Mapping[str, float]
) -> dict[str, float]:
    """Return each customer's fair part: its share, and of what others leave unused.

    >>> max_min_parts(6.0, {"a": 1.0, "b": 9.0}, {"a": 1.0, "b": 1.0})
    {'a': 1.0, 'b': 5.0}
    """
    parts: dict[str, float] = {}
    order = sorted(asked, key=lambda each: asked[each] / weights[each])
    weight_left = sum(weights[each] for each in order)
    for each in order:
        parts[each] = min(asked[each], total * weights[each] / weight_left)
        total -= parts[each]
        weight_left -= weights[each]
    return parts


def nominal_s(call: Call) -> float:
    """Return a request's engine time at an engine of usual speed without others."""
    return (
        call.prompt_tokens / FIGURES.tokens_read_per_s + call.events * FIGURES.event_s
    )


@attrs.define(kw_only=True)
class Served:
    """What became of the requests that arrived while one customer was hot.

    `asked_s` is the engine time of these requests, `got_s` of those begun meanwhile.
    """

    asked: Counter = attrs.field(factory=Counter)
    begun: Counter = attrs.field(factory=Counter)
    on_time: Counter = attrs.field(factory=Counter)
    asked_s: Counter = attrs.field(factory=Counter)
    got_s: Counter = attrs.field(factory=Counter)

    def part(self, customer: str) -> float:
        """Return how many of a customer's requests began to be answered."""
        return self.begun[customer] / max(1, self.asked[customer])

    def part_on_time(self, customer: str) -> float:
        """Return how many of them did on time."""
        return self.on_time[customer] / max(1, self.asked[customer])

    def part_of_others(self) -> float:
        """Return how many requests of all but the hot customer began."""
        begun = self.begun.total() - self.begun[HOT]
        return begun / max(1, self.asked.total() - self.asked[HOT])

    def jain(self) -> float:
        """Return Jain's index of what customers got against their fair parts."""
        fair_s = max_min_parts(self.got_s.total(), self.asked_s, PARTS)
        return jain_index(self.got_s[each] / fair_s[each] for each in self.asked_s)


class CustomersDay(FleetDay):
    """One day of 16 customers' arrivals at many entries."""

    def __init__(
        self,
        *,
        fleet: Fleet,
        seed: int,
        policies: Policies = ALL_POLICIES,
        hot_times: float = HOT_TIMES,
        usual_times: float = USUAL_TIMES,
    ):
        self.served = Served()
        # Times at which requests were begun, by customer and rank.
        self.begun_s: defaultdict[tuple[str, int], list[float]] = defaultdict(list)
        self._asking: list[Asking] = []
        self._news = [EngineTimeNews() for _ in range(fleet.entries)]
        for each in self._news:
            each.is_needed = True
        self._policies = policies
        self._hot_times = hot_times
        self._usual_times = usual_times
        super().__init__(fleet=fleet, seed=seed)

    def _scheduler(self, number: int, seed: int) -> Scheduler:
        scheduler = Scheduler(
            random=Random(seed * 1000 + number),
            peer_loads=lambda: self._peers_running(number),
            peer_counts=lambda service: self._peers_share(number),
            policies=self._policies,
        )
        scheduler.set_share_weights({n: p * len(PARTS) for n, p in PARTS.items()})
        return scheduler

    def _list(self, count: int) -> None:
        super()._list(self._fleet.engines)

    def _tell(self) -> None:
        super()._tell()
        told = [
            news.take(each.engine_time(), self.now_s)
            for news, each in zip(self._news, self._schedulers)
        ]
        asking = [each.queue(SERVICE).asking() for each in self._schedulers]
        self._at(self.now_s + MESSAGE_S, lambda: self._merge(told, asking))

    def _peers_share(self, number: int) -> PeerCounts:
        return attrs.evolve(
            super()._peers_share(number), asking=_without(self._asking, number)
        )

    def _merge(self, told: list[EngineNews], asking: list[Asking]) -> None:
        self._asking = asking
        for number, scheduler in enumerate(self._schedulers):
            for sender, totals in enumerate(told):
                if sender != number:
                    scheduler.merge_engine_time(str(sender), "1", totals, self.now_s)

    def _plan(self, kind: Kind) -> None:
        for customer, part in PARTS.items():
            per_s = kind.per_s * self._fleet.engines * self._usual_times * part
            self._plan_customer(kind, customer, per_s)

    def _plan_customer(self, kind: Kind, customer: str, per_s: float) -> None:
        most_per_s = per_s * (self._hot_times if customer == HOT else 1.0)
        at_s = self._random.expovariate(most_per_s)
        while at_s < DAY_S:
            is_hot = HOT_S[0] <= at_s < HOT_S[1]
            if is_hot or self._random.random() < per_s / most_per_s:
                call = self._draw(kind, at_s, PROMPT_SPREAD)
                self._plan_call(attrs.evolve(call, customer=customer))
            at_s += self._random.expovariate(most_per_s)

    def _plan_call(self, call: Call) -> None:
        if _is_counted(call):
            self.served.asked[call.customer] += 1
            self.served.asked_s[call.customer] += nominal_s(call)
        super()._plan_call(call)

    def _began(self, engine: Engine, sent: Sent) -> None:
        call = sent.call
        self.begun_s[call.customer, call.kind.rank].append(self.now_s)
        if _is_counted(call):
            self.served.begun[call.customer] += 1
            is_on_time = self.now_s <= call.first_s + call.kind.target_s
            self.served.on_time[call.customer] += is_on_time
        if HOT_S[0] <= self.now_s < HOT_S[1]:
            self.served.got_s[call.customer] += nominal_s(call)
        super()._began(engine, sent)

    def deferred(self) -> int:
        """Return how many requests went behind those of other customers."""
        return sum(
            each.metrics.counter_value("direct_share_deferred", f"0.{kind.rank}")
            for each in self._schedulers
            for kind in KINDS
        )


def _without(asking: list[Asking], number: int) -> Asking:
    """Return the sums over all entries but one."""
    sums: Asking = {}
    for other, by_rank in enumerate(asking):
        if other != number:
            for rank, counts in by_rank.items():
                sums.setdefault(rank, Counter()).update(counts)
    return sums


def _is_counted(call: Call) -> bool:
    return HOT_S[0] <= call.first_s < HOT_S[1]


FLEETS = {
    Fleet(entries=3, engines=3, told_every_s=0.02): range(1, 33),
    Fleet(entries=27, engines=25, told_every_s=0.08): range(1, 5),
    Fleet(entries=68, engines=59, told_every_s=0.1): range(1, 3),
}


def _measures(served: Served) -> tuple[float, ...]:
    return (
        served.part(SMALLEST),
        served.part_on_time(SMALLEST),
        served.part(MEDIAN),
        served.part_on_time(MEDIAN),
        served.part_of_others(),
        served.part(HOT),
        served.jain(),
    )


def main() -> None:
    """Print the table, without the policy and with it."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--usual", type=float, default=USUAL_TIMES)
    parser.add_argument("--entries", type=int, nargs="*")
    arguments = parser.parse_args()
    print(
        "| entries, engines | policy | smallest served | on time | median served "
        "| on time | all others | hot | Jain's index | worth |"
    )
    print("| --- | --- |" + " ---: |" * 8)
    for fleet, seeds in FLEETS.items():
        if arguments.entries and fleet.entries not in arguments.entries:
            continue
        for name, policies in (("off", WITHOUT_SHARES), ("on", ALL_POLICIES)):
            days = [
                CustomersDay(
                    fleet=fleet,
                    seed=seed,
                    policies=policies,
                    usual_times=arguments.usual,
                )
                for seed in seeds
            ]
            worth = statistics.mean(day.worth() for day in days)
            rows = zip(*(_measures(day.served) for day in days))
            cells = [f"{statistics.mean(row):.3f}" for row in rows]
            print(
                f"| {fleet.entries}, {fleet.engines} | {name} | {' | '.join(cells)} "
                f"| {worth:.3f} |",
                flush=True,
            )


if __name__ == "__main__":
    main()
