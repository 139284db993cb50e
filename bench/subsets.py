"""What preferring a subset of the upstreams is worth, in the driven model of a fleet.

Each entry keeps the connections that its requests have used, and an engine closes one
after 5 s of idle time. Counted are new connections for each request sent, how many
requests the busiest engine got against the mean, and worth, with and without the
preference, over the same arrivals.
"""

import statistics
import time
import timeit
from collections import Counter, defaultdict
from random import Random

from bench.engineday import SERVICE, Engine, Sent
from bench.fleet import Fleet, FleetDay
from lavenderspoke.direct.connectionpreference import ConnectionView
from lavenderspoke.direct.policies import ALL_POLICIES, NO_POLICIES, Policies
from lavenderspoke.direct.scheduler import Scheduler
from lavenderspoke.direct.selection import Contention, Requirements
from lavenderspoke.observing.metrics import Metrics

IDLE_LIMIT_S = 5.0
FLEETS = {
    Fleet(entries=3, engines=5, told_every_s=0.02): range(1, 7),
    Fleet(entries=27, engines=25, told_every_s=0.08): range(1, 7),
    Fleet(entries=68, engines=65, told_every_s=0.1): range(1, 5),
}
CHOICES = 1000
CHOICES_FROM_S = 3.0
# What the other entries get in 0.1 s, with 65 engines at the usual rate.
UNSEEN_REQUESTS = 30.0
ROUNDS = 9


class Connections:
    """Those of one entry: by upstream, since when each idle one has been idle."""

    def __init__(self):
        self.new = self.sent = 0
        self._idle_since_s: dict[str, list[float]] = defaultdict(list)

    def has_idle(self, upstream_id: str, now_s: float) -> bool:
        """Return whether one can be used now; the newest is used first."""
        idle = self._idle_since_s[upstream_id]
        return bool(idle) and now_s < idle[-1] + IDLE_LIMIT_S

    def take(self, upstream_id: str, now_s: float) -> None:
        self.sent += 1
        if self.has_idle(upstream_id, now_s):
            self._idle_since_s[upstream_id].pop()
        else:
            self.new += 1

    def keep(self, upstream_id: str, now_s: float) -> None:
        self._idle_since_s[upstream_id].append(now_s)


class SubsetDay(FleetDay):
    """A fleet's day, with each entry's connections counted."""

    def __init__(self, *, fleet: Fleet, seed: int, policies: Policies):
        self._policies = policies
        self._connections = [Connections() for _ in range(fleet.entries)]
        self.requests: Counter[str] = Counter()
        super().__init__(fleet=fleet, seed=seed)
        # The connections of the entry behind each line.
        self._of_line = {
            id(each.queue(SERVICE)): self._connections[number]
            for number, each in enumerate(self._schedulers)
        }

    def new_per_request(self) -> float:
        new = sum(each.new for each in self._connections)
        return new / sum(each.sent for each in self._connections)

    def busiest(self) -> float:
        """Return the requests at the busiest engine against the mean."""
        return max(self.requests.values()) / statistics.mean(
            self.requests[each] for each in self._engines
        )

    def _scheduler(self, number: int, seed: int) -> Scheduler:
        connections = self._connections[number]
        others = [f"entry-{n}" for n in range(self._fleet.entries) if n != number]
        return Scheduler(
            random=Random(seed * 1000 + number),
            peer_loads=lambda: self._peers_running(number),
            peer_counts=lambda service: self._peers_share(number),
            policies=self._policies,
            connection_view=ConnectionView(
                entry_name=f"entry-{number}",
                live_entries=lambda: others,
                has_idle=lambda each: connections.has_idle(each, self.now_s),
                metrics=Metrics(),
            ),
        )

    def _decided(self, sent: Sent, tries: int, decision) -> None:
        upstream = getattr(decision, "upstream", None)
        if upstream is not None:
            self.requests[upstream.upstream_id] += 1
            self._of_line[id(sent.line)].take(upstream.upstream_id, self.now_s)
        super()._decided(sent, tries, decision)

    def _released(self, engine: Engine, sent: Sent) -> None:
        connections = self._of_line[id(sent.line)]
        connections.keep(engine.upstream.upstream_id, self.now_s)
        super()._released(engine, sent)


class Choices:
    """Choices of one entry, among 68 entries and 65 engines that have been busy."""

    def __init__(self, policies: Policies):
        fleet = Fleet(entries=68, engines=65, told_every_s=0.1)
        self._day = SubsetDay(fleet=fleet, seed=1, policies=policies)
        self._day.play(until_s=CHOICES_FROM_S)
        self._pool = self._day._schedulers[0].queue(SERVICE).pool
        self._requirements = Requirements(
            prompt_tokens=1860,
            answer_tokens=24,
            first_byte_within_s=1.2,
            remaining_s=3.0,
        )

    def took_s(self) -> float:
        """Return the processor time of some choices."""
        return timeit.timeit(self._choose, number=CHOICES, timer=time.process_time)

    def _choose(self) -> None:
        self._pool.choose(
            self._requirements,
            now_s=self._day.now_s,
            contention=Contention(unseen_requests=UNSEEN_REQUESTS),
        )


def main() -> None:
    """Print the table, and what a choice costs."""
    print(
        "| entries, engines | subsets | new connections a request | busiest engine "
        "over the mean | worth | gain of worth | standard error |\n"
        "| --- | --- | ---: | ---: | ---: | ---: | ---: |"
    )
    for fleet, seeds in FLEETS.items():
        worths = {}
        for name, policies in (("off", NO_POLICIES), ("on", ALL_POLICIES)):
            days = [SubsetDay(fleet=fleet, seed=s, policies=policies) for s in seeds]
            worths[name] = [day.worth() for day in days]
            gains = [new - old for new, old in zip(worths[name], worths["off"])]
            error = statistics.stdev(gains) / len(gains) ** 0.5
            print(
                f"| {fleet.entries}, {fleet.engines} | {name} "
                f"| {statistics.mean(day.new_per_request() for day in days):.3f} "
                f"| {statistics.mean(day.busiest() for day in days):.2f} "
                f"| {statistics.mean(worths[name]):.4f} "
                f"| {statistics.mean(gains):+.4f} | {error:.4f} |",
                flush=True,
            )
    with_it, without = Choices(ALL_POLICIES), Choices(NO_POLICIES)
    ratio = statistics.median(
        with_it.took_s() / without.took_s() for _ in range(ROUNDS)
    )
    print(f"\nA choice with subsets takes {ratio:.3f} times as long as without.")


if __name__ == "__main__":
    main()
