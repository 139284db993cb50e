"""What entries of several data centres send to each other, in a driven model.

Entries and engines are spread over four data centres. On traffic that swings, each data
centre's goes between 0.45 and 1.55 times its mean with a period of 17 s, each at a
phase of its own; on traffic that doesn't, all stay at their mean. Loads are shares of
what the engines can do. Between two data centres a request and its first event take
4.9 ms each.

A quarter of the day goes by before anything is counted, since entries know no rates at
its start.

"Left" is the share of requests, and of prompt tokens, that are sent to another data
centre; "idle" how many slots are free in one data centre while requests wait at the
entries of another, in the mean over the day; "changes" how often a minute an entry's
data centre starts or stops spilling over, in the mean over the entries.
"""

import argparse
import heapq
import itertools
import math
import statistics
import time
from collections import Counter
from random import Random

import attrs

from bench import fleet
from bench.engineday import SERVICE, Engine, Kind, Sent
from bench.fleet import FIGURES, KINDS, SLOWNESS, Fleet, FleetDay
from lavenderspoke.direct.instances import Upstream
from lavenderspoke.direct.messages import SharedState
from lavenderspoke.direct.peercounts import PeerCounts
from lavenderspoke.direct.policies import ALL_POLICIES, NO_POLICIES
from lavenderspoke.direct.scheduler import Scheduler
from lavenderspoke.direct.tickets import Dispatch, Ticket
from lavenderspoke.direct.upstreamstate import Load

DATA_CENTRES = ("dc-0", "dc-1", "dc-2", "dc-3")
DAY_S = 24.0
BEGIN_S = 6.0
SWING_S = 17.0
SWING_PART = 0.55
NETWORK_S = 0.0049
LOOK_EVERY_S = 0.05
# Standard deviation of the logarithms of prompts' lengths: moderate, so that days with
# and without the policy differ by what was decided.
PROMPT_SPREAD = 0.5
FLEETS = (
    Fleet(entries=4, engines=8, told_every_s=0.02),
    Fleet(entries=21, engines=20, told_every_s=0.08),
    Fleet(entries=68, engines=65, told_every_s=0.1),
)
LOADS = (0.5, 0.75, 1.1)
# Rounds, and requests in each, by which `submit` is timed.
ROUNDS = 40
SUBMITS = 50
SEEDS = {4: (1, 2, 3), 21: (1, 2), 68: (1,)}


def engine_per_s() -> float:
    """Return how many requests of all kinds a full engine answers in a second.

    Reading stalls all others, and the rest is done for all at once; an engine that is
    so much slower than others answers so many fewer.
    """
    total_per_s = sum(each.per_s for each in KINDS)
    step_s = FIGURES.event_s * (1.0 + FIGURES.neighbour_part * FIGURES.places)
    read_s = write_s = 0.0
    for each in KINDS:
        share = each.per_s / total_per_s
        read_s += share * each.prompt_tokens / FIGURES.tokens_read_per_s
        write_s += share * (FIGURES.first_s + (each.events - 1) * step_s)
    speed = statistics.mean(1.0 / each for each in SLOWNESS)
    return speed / (read_s + write_s / FIGURES.places)


@attrs.define(kw_only=True)
class Tally:
    """What was counted after the beginning of the day."""

    asked: Counter = attrs.field(factory=Counter)
    on_time: Counter = attrs.field(factory=Counter)
    sent: Counter = attrs.field(factory=Counter)
    tokens: Counter = attrs.field(factory=Counter)
    idle: list[float] = attrs.field(factory=list)


class SpilloverDay(FleetDay):
    """A day of entries and engines in four data centres."""

    def __init__(
        self, *, fleet: Fleet, seed: int, load: float, swings: bool, is_on: bool
    ):
        self._policies = ALL_POLICIES if is_on else NO_POLICIES
        self._load = load
        self._swings = swings
        self.tally = Tally()
        # Arrivals are drawn apart from the engines, so that days are comparable.
        self._arrivals = Random(seed)
        self._entry = 0
        super().__init__(fleet=fleet, seed=seed)
        self._numbers_of_lines = {
            id(each.queue(SERVICE)): n for n, each in enumerate(self._schedulers)
        }
        self._at(BEGIN_S, self._look)

    def play(self) -> Tally:
        """Play the day and return what was counted."""
        while self._events and self._events[0][0] < DAY_S + 3.0:
            self.now_s, _, work = heapq.heappop(self._events)
            work()
        return self.tally

    def changes_per_minute(self) -> float:
        """Return how often an entry's data centre changed direction."""
        if not self._policies.spillover:
            return 0.0
        counts = [e.queue(SERVICE).pool.spillover.changes for e in self._schedulers]
        return statistics.mean(counts) / DAY_S * 60.0

    def line(self):
        return self._schedulers[self._entry].queue(SERVICE)

    # Set up

    def _add_engine(self, number: int, slowness: float) -> None:
        upstream = Upstream(
            upstream_id=f"u{number}",
            service=SERVICE,
            host="127.0.0.1",
            port=1 + number,
            data_centre=DATA_CENTRES[number % len(DATA_CENTRES)],
            slots=self._figures.places,
        )
        # Each data centre has its part of the slow engines.
        slowness = SLOWNESS[number // len(DATA_CENTRES) % len(SLOWNESS)]
        self._engines[upstream.upstream_id] = Engine(
            upstream=upstream, slowness=slowness, figures=self._figures
        )

    def _scheduler(self, number: int, seed: int) -> Scheduler:
        return Scheduler(
            random=Random(seed * 1000 + number),
            peer_loads=lambda: self._peers_running(number),
            peer_counts=lambda service: self._peers_share(number),
            policies=self._policies,
            data_centre=_home(number),
        )

    def _list(self, count: int) -> None:
        super()._list(self._fleet.engines)

    def _plan(self, kind: Kind) -> None:
        total_per_s = sum(each.per_s for each in KINDS)
        share = kind.per_s / total_per_s
        per_s = engine_per_s() * self._fleet.engines * self._load * share
        for phase in range(len(DATA_CENTRES)):
            self._plan_data_centre(kind, phase, per_s / len(DATA_CENTRES))

    def _plan_data_centre(self, kind: Kind, phase: int, per_s: float) -> None:
        random, most = self._arrivals, 1.0 + SWING_PART
        entries = range(phase, self._fleet.entries, len(DATA_CENTRES))
        at_s = 0.0
        while True:
            at_s += random.expovariate(per_s * most)
            if at_s >= DAY_S:
                return
            angle = 2.0 * math.pi * (at_s / SWING_S + phase / len(DATA_CENTRES))
            times = 1.0 + SWING_PART * math.sin(angle) * self._swings
            if random.random() * most < times:
                self._plan_at(random.choice(entries), kind, at_s)

    def _plan_at(self, entry: int, kind: Kind, at_s: float) -> None:
        call = self._draw(kind, at_s, PROMPT_SPREAD)
        self.tally.asked[kind.rank] += at_s >= BEGIN_S
        self._at(at_s, lambda: self._come_to(entry, call))

    def _come_to(self, entry: int, call) -> None:
        self._entry = entry
        self._come(call, tries=1)

    # Messages

    def _tell(self) -> None:
        super()._tell()
        told = [
            (f"entry-{number}", _home(number), dict(each.spillovers.rows()))
            for number, each in enumerate(self._schedulers)
        ]
        self._at(self.now_s + fleet.MESSAGE_S, lambda: self._hear(told))

    def _hear(self, told: list[tuple[str, str, dict[str, float]]]) -> None:
        states = [
            (name, SharedState(address="", data_centre=home, demand=rows))
            for name, home, rows in told
        ]
        for own, each in enumerate(self._schedulers):
            for number, (name, state) in enumerate(states):
                if number != own:
                    each.spillovers.merge_peer(name, state, self.now_s)

    # Requests

    def _decided(self, sent: Sent, tries: int, decision) -> None:
        if not isinstance(decision, Dispatch):
            # Callers come back through any entry.
            self._entry = self._random.randrange(self._fleet.entries)
            super()._decided(sent, tries, decision)
            return
        home = _home(self._number_of(sent))
        is_home = decision.upstream.data_centre == home
        if sent.call.first_s >= BEGIN_S:
            self.tally.sent[is_home] += 1
            self.tally.tokens[is_home] += sent.call.prompt_tokens
        engine = self._engines[decision.upstream.upstream_id]
        if is_home:
            self._arrives(engine, sent)
        else:
            self._at(self.now_s + NETWORK_S, lambda: self._arrives(engine, sent))

    def _began(self, engine: Engine, sent: Sent) -> None:
        home = _home(self._number_of(sent))
        later_s = 0.0 if engine.upstream.data_centre == home else NETWORK_S
        call = sent.call
        if call.first_s >= BEGIN_S:
            began_s = self.now_s + later_s
            self.tally.on_time[call.kind.rank] += (
                began_s <= call.first_s + call.kind.target_s
            )
        super()._began(engine, sent)

    def _number_of(self, sent: Sent) -> int:
        return self._numbers_of_lines[id(sent.line)]

    def _look(self) -> None:
        """Count the slots that are free while requests of another data centre wait."""
        waiting: Counter[str] = Counter()
        for number, each in enumerate(self._schedulers):
            waiting[_home(number)] += sum(each.queue(SERVICE).waiting().values())
        free: Counter[str] = Counter()
        for each in self._engines.values():
            free[each.upstream.data_centre] += max(
                0, each.figures.places - each.running - len(each.waiting)
            )
        total = sum(waiting.values())
        idle = sum(min(free[name], total - waiting[name]) for name in DATA_CENTRES)
        self.tally.idle.append(idle)
        if self.now_s < DAY_S:
            self._at(self.now_s + LOOK_EVERY_S, self._look)


def _home(number: int) -> str:
    return DATA_CENTRES[number % len(DATA_CENTRES)]


def row(fleet: Fleet, load: float, swings: bool, is_on: bool) -> list[float]:
    """Return the figures of one line, as means over the seeds."""
    rows = []
    for seed in SEEDS[fleet.entries]:
        day = SpilloverDay(
            fleet=fleet, seed=seed, load=load, swings=swings, is_on=is_on
        )
        tally = day.play()
        rows.append(
            [
                tally.sent[False] / tally.sent.total(),
                tally.tokens[False] / tally.tokens.total(),
                *(tally.on_time[each.rank] / tally.asked[each.rank] for each in KINDS),
                statistics.mean(tally.idle),
                day.changes_per_minute(),
            ]
        )
    return [statistics.mean(column) for column in zip(*rows)]


def submit_ratio() -> float:
    """Return the time of `submit` with spilling over, as a part of that without.

    Of one of 68 entries with 65 upstreams on which half of the slots are taken. Both
    take turns in one process; the ratio is the median over many short rounds.
    """
    schedulers = [_loaded_scheduler(each) for each in (NO_POLICIES, ALL_POLICIES)]
    rounds: tuple[list, list] = ([], [])
    for _ in range(ROUNDS):
        for scheduler, times_s in zip(schedulers, rounds):
            times_s.append(_round_s(scheduler.queue(SERVICE)))
    return statistics.median(on_s / off_s for off_s, on_s in zip(*rounds))


def _loaded_scheduler(policies) -> Scheduler:
    upstreams = [
        Upstream(
            upstream_id=f"u{number}",
            service=SERVICE,
            host="127.0.0.1",
            port=1 + number,
            data_centre=_home(number),
            slots=6,
        )
        for number in range(65)
    ]
    loads = {each.upstream_id: Load(requests=3) for each in upstreams}
    scheduler = Scheduler(
        random=Random(1),
        peer_loads=lambda: loads,
        peer_counts=lambda service: PeerCounts(entries=67, age_s=0.07),
        policies=policies,
        data_centre=_home(0),
    )
    scheduler.reconfigure(tuple(upstreams), 0.0)
    scheduler.tick(0.0)
    return scheduler


def _round_s(queue) -> float:
    began_s = time.process_time()
    for number in range(SUBMITS):
        decided = []
        ticket = Ticket(
            request_id=f"r{number}",
            service=SERVICE,
            rank=(0, 0),
            prompt_tokens=1860,
            answer_tokens=24,
            first_arrived_s=0.0,
            idle_since_s=0.0,
            deadline_s=4.0,
            target_s=1.0,
            patience_s=4.0,
            resubmitted=False,
            on_decision=decided.append,
        )
        queue.submit(ticket, 0.0)
        queue.release_unused(ticket, decided[0].upstream.upstream_id, 0.0)
    return time.process_time() - began_s


def main() -> None:
    """Print the table."""
    parser = argparse.ArgumentParser(description=__doc__.partition("\n")[0])
    parser.add_argument("--entries", type=int, nargs="*", default=sorted(SEEDS))
    parser.add_argument("--traffic", nargs="*", default=["swings", "even"])
    parser.add_argument("--load", nargs="*", type=float, default=LOADS)
    parser.add_argument("--submit", action="store_true", help="only time submit")
    wanted = parser.parse_args()
    if wanted.submit:
        print(f"submit with spilling over, without is 1: {submit_ratio():.3f}")
        return
    print(
        "| entries | traffic | load | spillover | left | of tokens | highest on time "
        "| middle | lowest | idle | changes |"
    )
    print("| ---: | --- | ---: | --- | " + "---: | " * 7)
    fleets = [each for each in FLEETS if each.entries in wanted.entries]
    for each, traffic, load in itertools.product(fleets, wanted.traffic, wanted.load):
        for is_on in (False, True):
            figures = row(each, load, traffic == "swings", is_on)
            parts = " | ".join(f"{figure:.3f}" for figure in figures[:5])
            print(
                f"| {each.entries} | {traffic} | {load:g} "
                f"| {'on' if is_on else 'off'} | {parts} | {figures[5]:.1f} "
                f"| {figures[6]:.1f} |",
                flush=True,
            )


if __name__ == "__main__":
    main()
