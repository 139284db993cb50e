"""What booked slots do for refused callers, in a driven model.

The load: for nine seconds 1.3 to 2.3 times what the engines can do, and 0.6 times that
before and after; 21 entries, 20 engines of 6 slots, two customers' kinds of request. A
third of the engines is nearly three times slower than the others. Refused callers come
back once, at the time they were told, to any entry.

    python -m bench.returns [SEED...]
"""

import heapq
import math
import statistics
import sys
from collections import Counter
from random import Random

import attrs

from bench import fleet
from bench.engineday import SERVICE, Call, Engine, EngineFigures, Kind, Sent
from bench.fleet import Fleet, FleetDay
from lavenderspoke.direct.policies import NO_POLICIES, Policies
from lavenderspoke.direct.scheduler import Scheduler
from lavenderspoke.direct.tickets import Dispatch

FLEET = Fleet(entries=21, engines=20, told_every_s=0.08)
FIGURES = EngineFigures(
    places=6,
    tokens_read_per_s=38_700.0,
    first_s=0.022,
    event_s=0.0219,
    event_tokens=4,
    neighbour_part=0.035,
)
BURST_S = (2.0, 11.0)
BURSTS = (1.3, 1.8, 2.3)
USUAL_PART = 0.6
# When the last caller asks, and when the last of them has been answered or has left.
ASKED_S = 17.0
END_S = 34.0
SEEDS = (1, 2, 3)
RANKS = (0, 1, 2)
# Shares of the kinds, and the requests of all kinds per second that an engine can do:
# found by steady loads, of which more begins to be refused.
SHARES = (0.38, 0.41, 0.21)
CAPACITY_PER_S = 9.8
# What a request that was held this long and then refused costs, as a part of its worth.
HELD_S = 1.0
HELD_PART = 0.2
# Nines beyond this count no more.
NINES_MAX = 4.0


def _kind(rank: int, prompt: int, events: int, target: float, deadline: float) -> Kind:
    on_time_worth, late_worth = ((7.0, 2.0), (1.1, 0.33), (0.54, 0.16))[rank]
    return Kind(
        rank=rank,
        per_s=SHARES[rank] * CAPACITY_PER_S,
        prompt_tokens=prompt,
        events=events,
        target_s=target,
        deadline_s=deadline,
        on_time_worth=on_time_worth,
        late_worth=late_worth,
    )


CUSTOMERS = {
    "uneven": (
        _kind(0, 2950, 13, 0.835, 6.265),
        _kind(1, 1860, 6, 1.019, 4.076),
        _kind(2, 603, 70, 1.215, 15.186),
    ),
    "competing": (
        _kind(0, 2950, 13, 0.635, 6.353),
        _kind(1, 1860, 6, 0.519, 4.152),
        _kind(2, 603, 70, 0.415, 15.559),
    ),
}
PAUSES_S = {"uneven": 0.4, "competing": 0.3}
BOOKED = attrs.evolve(NO_POLICIES, retry_bookings=True)


class ReturnsDay(FleetDay):
    """A day with a burst of `burst` times what the engines can do."""

    def __init__(self, *, customer: str, burst: float, seed: int, policies: Policies):
        self._customer, self._burst, self._policies = customer, burst, policies
        self.asked: Counter[int] = Counter()
        self.on_time: Counter[int] = Counter()
        self.served: Counter[int] = Counter()
        self.waits_s: dict[int, list[float]] = {rank: [] for rank in RANKS}
        self.returned: Counter[int] = Counter()
        self.refused_again: Counter[int] = Counter()
        self.held_and_refused = 0
        super().__init__(fleet=FLEET, seed=seed, figures=FIGURES)

    def patience_s(self, kind: Kind) -> float:
        return max(2.0, 4.0 * kind.target_s, 8.0 * PAUSES_S[self._customer])

    def worth(self) -> float:
        """Play the day to its end and return the part of what was owed."""
        while self._events and self._events[0][0] < END_S:
            self.now_s, _, work = heapq.heappop(self._events)
            work()
        return self._earned / self._owed

    def bookings(self) -> Counter[str]:
        """Return what became of the bookings at all entries."""
        queues = [each.queue(SERVICE) for each in self._schedulers]
        return sum(
            (q.bookings.counts for q in queues if q.bookings is not None), Counter()
        )

    def served_part(self) -> float:
        return sum(self.served.values()) / sum(self.asked.values())

    def nines(self) -> float:
        return min(NINES_MAX, -math.log10(max(1e-9, 1.0 - self.served_part())))

    def _scheduler(self, number: int, seed: int) -> Scheduler:
        return Scheduler(
            random=Random(seed * 1000 + number),
            peer_loads=lambda: self._peers_running(number),
            peer_counts=lambda service: self._peers_share(number),
            policies=self._policies,
        )

    def _list(self, count: int) -> None:
        super()._list(self._fleet.engines)

    def _tell(self) -> None:
        super()._tell()
        queues = [each.queue(SERVICE) for each in self._schedulers]
        if queues[0].bookings is None:
            return
        said = [queue.bookings.rows(self.now_s) for queue in queues]
        self._at(self.now_s + fleet.MESSAGE_S, lambda: self._hear(said))

    def _hear(self, said: list) -> None:
        for number, each in enumerate(self._schedulers):
            for sender, rows in enumerate(said):
                if sender != number:
                    bookings = each.queue(SERVICE).bookings
                    bookings.merge_peer(str(sender), "1", rows, self.now_s)

    def _plan(self, kind: Kind) -> None:
        for each in CUSTOMERS[self._customer]:
            if each.rank == kind.rank:
                self._plan_bursts(each)

    def _plan_bursts(self, kind: Kind) -> None:
        at_s = 0.0
        while True:
            in_burst = BURST_S[0] <= at_s < BURST_S[1]
            times = self._burst if in_burst else USUAL_PART
            at_s += self._random.expovariate(kind.per_s * FLEET.engines * times)
            if at_s >= ASKED_S:
                return
            self.asked[kind.rank] += 1
            self._plan_call(self._draw(kind, at_s, fleet.PROMPT_SPREAD))

    def _come(self, call: Call, *, tries: int) -> None:
        self.returned[call.kind.rank] += tries > 1
        super()._come(call, tries=tries)

    def _decided(self, sent: Sent, tries: int, decision) -> None:
        call, waited_s = sent.call, self.now_s - sent.ticket.idle_since_s
        if isinstance(decision, Dispatch):
            self.waits_s[call.kind.rank].append(self.now_s - call.first_s)
        elif waited_s >= HELD_S:
            self.held_and_refused += 1
            worth = call.kind.on_time_worth * self.worth_times(call)
            self._earned -= worth * HELD_PART
        if tries > 1 and not isinstance(decision, Dispatch):
            self.refused_again[call.kind.rank] += 1
        super()._decided(sent, tries, decision)

    def _began(self, engine: Engine, sent: Sent) -> None:
        call = sent.call
        patience_s = self.patience_s(call.kind)
        if self.now_s <= sent.ticket.idle_since_s + patience_s:
            self.served[call.kind.rank] += 1
            self.on_time[call.kind.rank] += (
                self.now_s <= call.first_s + call.kind.target_s
            )
        super()._began(engine, sent)


def figures(customer: str, burst: float, seed: int, policies: Policies) -> list[float]:
    """Play a day and return its row of the table."""
    day = ReturnsDay(customer=customer, burst=burst, seed=seed, policies=policies)
    worth = day.worth()
    returned = max(1, sum(day.returned.values()))
    again = sum(day.refused_again.values())
    booked = day.bookings()
    on_time = [day.on_time[rank] / day.asked[rank] for rank in RANKS]
    served = [day.served[rank] / day.asked[rank] for rank in RANKS]
    waits_s = [statistics.fmean(day.waits_s[rank] or [0.0]) for rank in RANKS]
    return [
        worth,
        day.served_part(),
        day.nines(),
        *on_time,
        *served,
        *waits_s,
        returned / sum(day.asked.values()),
        1.0 - again / returned,
        again / sum(day.asked.values()),
        day.held_and_refused / sum(day.asked.values()),
        booked["expired"] / max(1, booked["booked"]),
        booked["booked"] / returned,
    ]


HEADERS = (
    "worth served nines on0 on1 on2 srv0 srv1 srv2 w0 w1 w2 "
    "returned ret_served refused2 held empty booked"
).split()


def main() -> None:
    """Print a row for each customer and burst, without and with bookings."""
    seeds = [int(each) for each in sys.argv[1:]] or SEEDS
    print("| " + " | ".join(["customer", "burst", "bookings", *HEADERS]) + " |")
    print("| --- | ---: | --- |" + " ---: |" * len(HEADERS))
    for customer in CUSTOMERS:
        for burst in BURSTS:
            for name, policies in (("off", NO_POLICIES), ("on", BOOKED)):
                rows = [figures(customer, burst, seed, policies) for seed in seeds]
                cells = [f"{statistics.fmean(each):.3f}" for each in zip(*rows)]
                print(
                    f"| {customer} | {burst:g} | {name} | " + " | ".join(cells) + " |",
                    flush=True,
                )


if __name__ == "__main__":
    main()
