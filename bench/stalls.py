"""What it is worth to avoid upstreams that are slow for a moment, in a driven model.

At any time 15% of the upstreams are 2.5 times slower, for 600 ms, then others are. Each
entry has the daemon's scheduler and pace monitor, sees its own streams event by event,
and what the others told as of some time ago. Model engines of three makes serve
streams; plain services answer requests without events, half of which may be hedged. An
answer is on time if it begins within its target, and a stream has a pause if two events
are more than 400 ms apart.

    python -m bench.stalls [plain] [streams]
"""

import itertools
import statistics
import sys
from collections import Counter, defaultdict
from random import Random

import attrs

from bench.engineday import SERVICE, Call, Engine, EngineFigures, Kind, Sent
from bench.fleet import DAY_S, MESSAGE_S, Fleet, FleetDay
from lavenderspoke.direct.hedging import HedgePlan, HedgeTimer
from lavenderspoke.direct.pacemonitor import PaceMonitor
from lavenderspoke.direct.scheduler import Scheduler, ServiceQueue
from lavenderspoke.direct.tickets import Dispatch
from lavenderspoke.observing.metrics import Metrics
from lavenderspoke.retrybudget import RetryAllowance, RetryBudget

SLOW_PART = 0.15
SLOW_TIMES = 2.5
SLOW_S = 0.6
PAUSE_MAX_S = 0.4
MAKES = (1 / 0.6, 1 / 1.7, 1 / 1.7)
PROMPT_SPREAD = 0.6
# Spread of a plain request's work: standard deviation of its logarithm.
WORK_SPREAD = 0.2
SEEDS = (1, 2, 3)
LOADS = (0.7, 1.3)
ENGINES = EngineFigures(
    places=6,
    tokens_read_per_s=38_700.0,
    first_s=0.022,
    event_s=0.0219,
    event_tokens=4,
    neighbour_part=0.035,
)
SERVICES = EngineFigures(
    places=6,
    tokens_read_per_s=1e9,
    first_s=0.0225,
    event_s=0.0225,
    event_tokens=1,
    neighbour_part=0.0,
)
# Requests a second are for one upstream.
STREAMS = (
    Kind(
        rank=0,
        per_s=2.24,
        prompt_tokens=2950,
        events=13,
        target_s=0.835,
        deadline_s=6.265,
        on_time_worth=7.0,
        late_worth=2.0,
    ),
    Kind(
        rank=1,
        per_s=2.39,
        prompt_tokens=1860,
        events=6,
        target_s=1.019,
        deadline_s=4.076,
        on_time_worth=1.1,
        late_worth=0.33,
    ),
    Kind(
        rank=2,
        per_s=1.25,
        prompt_tokens=603,
        events=70,
        target_s=1.215,
        deadline_s=15.186,
        on_time_worth=0.54,
        late_worth=0.16,
    ),
)
PLAIN = (
    Kind(
        rank=0,
        per_s=130.0,
        prompt_tokens=1,
        events=1,
        target_s=0.19,
        deadline_s=0.65,
        on_time_worth=1.0,
        late_worth=0.3,
    ),
)


@attrs.define(kw_only=True)
class Results:
    """Requests by what became of them; `first_s` are the times to the first event."""

    asked: int = 0
    on_time: int = 0
    streams: int = 0
    paused: int = 0
    refused: int = 0
    to_slow: int = 0
    sent: int = 0
    first_s: list[float] = attrs.field(factory=list)
    at_upstream: Counter = attrs.field(factory=Counter)


class StallsDay(FleetDay):
    """A day on which upstreams are slow in turn, with the policy on or off."""

    kinds = STREAMS
    makes = MAKES

    def __init__(
        self,
        *,
        fleet: Fleet,
        seed: int,
        load: float,
        is_on: bool,
        slow_part: float = SLOW_PART,
        figures: EngineFigures = ENGINES,
        day_s: float = DAY_S,
    ):
        self._day_s = day_s
        self.results = Results()
        self.monitors: list[PaceMonitor] = []
        self._load = load
        self._is_on = is_on
        self._slow_part = slow_part
        self._slow: set[str] = set()
        self._stalls_random = Random(seed + 500)
        super().__init__(fleet=fleet, seed=seed, figures=figures)
        for number, each in enumerate(self._engines.values()):
            each.slowness = self.makes[number % len(self.makes)]
        self._usual = {key: each.slowness for key, each in self._engines.items()}
        self._at(0.0, self._stall)

    def _scheduler(self, number: int, seed: int) -> Scheduler:
        scheduler: Scheduler | None = None

        def reading_s(upstream_id: str) -> float:
            pool = scheduler.queue(SERVICE).pool
            state = pool.state_of(upstream_id)
            rate = pool.prefill_rate.tokens_per_step
            return state.prefill_tokens() / rate * state.step_s()

        monitor = PaceMonitor(metrics=Metrics(), reading_s=reading_s)
        self.monitors.append(monitor)
        scheduler = Scheduler(
            random=Random(seed * 1000 + number),
            peer_loads=lambda: self._peers_running(number),
            peer_counts=lambda service: self._peers_share(number),
            slowdowns=monitor.slowdowns if self._is_on else dict,
        )
        scheduler.queue(SERVICE).monitor = monitor
        return scheduler

    def _list(self, count: int) -> None:
        super()._list(len(self._engines))

    def _tick(self, each: Scheduler) -> None:
        if self._is_on:
            each.queue(SERVICE).monitor.tick(self.now_s)
        super()._tick(each)

    def _tell(self) -> None:
        super()._tell()
        if not self._is_on:
            return
        rows = [each.own_rows(self.now_s) for each in self.monitors]
        self._at(self.now_s + MESSAGE_S, lambda: self._told_slow(rows))

    def _told_slow(self, rows: list) -> None:
        for number, monitor in enumerate(self.monitors):
            for sender, told in enumerate(rows):
                if sender != number:
                    monitor.merge_peer(str(sender), told, self.now_s, age_s=MESSAGE_S)

    def _stall(self) -> None:
        self._at(self.now_s + SLOW_S, self._stall)
        count = len(self._engines) * self._slow_part
        whole = int(count) + (self._stalls_random.random() < count % 1.0)
        self._slow = set(self._stalls_random.sample(list(self._engines), whole))
        for key, each in self._engines.items():
            times = SLOW_TIMES if key in self._slow else 1.0
            each.slowness = self._usual[key] * times

    def _plan(self, kind: Kind) -> None:
        for each in self.kinds:
            if each.rank == kind.rank:
                self._plan_kind(each)

    def _plan_kind(self, kind: Kind) -> None:
        at_s = 0.0
        per_s = kind.per_s * self._load * self._fleet.engines
        while (at_s := at_s + self._random.expovariate(per_s)) < self._day_s:
            self.results.asked += 1
            self._plan_call(self._draw(kind, at_s, PROMPT_SPREAD))

    def _decided(self, sent: Sent, tries: int, decision) -> None:
        if isinstance(decision, Dispatch):
            self.results.sent += 1
            self.results.to_slow += decision.upstream.upstream_id in self._slow
        elif tries > 1:
            self.results.refused += 1
        super()._decided(sent, tries, decision)

    def _first_event(self, sent: Sent, upstream_id: str) -> None:
        first_s = self.now_s - sent.call.first_s
        self.results.first_s.append(first_s)
        self.results.on_time += first_s <= sent.call.kind.target_s
        sent.line.monitor.event_received(
            upstream_id, sent.ticket.request_id, self.now_s
        )

    def _began(self, engine: Engine, sent: Sent) -> None:
        upstream_id = engine.upstream.upstream_id
        sent.line.record_first_event(sent.ticket, upstream_id, self.now_s)
        self._first_event(sent, upstream_id)
        self.results.streams += 1
        self._continue(engine, sent, sent.call.events - 1, is_paused=False)

    def _continue(
        self, engine: Engine, sent: Sent, left: int, *, is_paused: bool
    ) -> None:
        """Play a stream event by event, each later by what is read meanwhile."""
        if left <= 0:
            self.results.paused += is_paused
            self._end(engine, sent)
            return
        began_s = self.now_s

        def event() -> None:
            step_s = self.now_s - began_s
            upstream_id = engine.upstream.upstream_id
            state = sent.line.pool.state_of(upstream_id)
            state.health.record_step(step_s)
            sent.line.monitor.event_received(
                upstream_id, sent.ticket.request_id, self.now_s
            )
            paused = is_paused or step_s > PAUSE_MAX_S
            self._continue(engine, sent, left - 1, is_paused=paused)

        self._after_reading(engine, engine.stalled_s, engine.step_s(), event)

    def _after_reading(self, engine, stalled_s: float, wait_s: float, event) -> None:
        def due() -> None:
            more_s = engine.stalled_s - stalled_s
            if more_s > 0.0:
                self._after_reading(engine, engine.stalled_s, more_s, event)
            else:
                event()

        self._at(self.now_s + wait_s, due)

    def _end(self, engine: Engine, sent: Sent) -> None:
        engine.running -= 1
        call, upstream_id = sent.call, engine.upstream.upstream_id
        sent.line.pool.decode_rate.record(
            tokens=call.expected_tokens, steps=call.events
        )
        sent.line.monitor.request_ended(upstream_id, sent.ticket.request_id, self.now_s)
        sent.line.release(sent.ticket, upstream_id, self.now_s)
        if engine.waiting and engine.running < engine.figures.places:
            self._arrives(engine, engine.waiting.popleft())


class PlainDay(StallsDay):
    """A day of plain requests; half of them may get a second attempt.

    The attempt that is answered second runs to its end, as where an upstream doesn't
    notice that it was cancelled.
    """

    kinds = PLAIN
    makes = (1.0,)

    def __init__(self, **options):
        self.hedges: Counter[str] = Counter()
        self._timers: defaultdict[ServiceQueue, HedgeTimer] = defaultdict(HedgeTimer)
        self._budget = RetryAllowance(budget=RetryBudget(ratio=0.1, per_s_min=0.0))
        # Calls that are answered, by when their caller asked first.
        self._answered: set[float] = set()
        super().__init__(figures=SERVICES, **options)

    def _draw(self, kind: Kind, at_s: float, prompt_spread: float) -> Call:
        call = super()._draw(kind, at_s, prompt_spread)
        self._budget.record_first_attempt(at_s)
        return attrs.evolve(call, events=1, expected_tokens=1)

    def _arrives(self, engine: Engine, sent: Sent) -> None:
        if engine.running >= engine.figures.places:
            engine.waiting.append(sent)
            return
        engine.running += 1
        work_s = self._figures.first_s * engine.slowness
        work_s *= self._random.lognormvariate(0.0, WORK_SPREAD)
        self._at(self.now_s + work_s, lambda: self._plain_ended(engine, sent))

    def _decided(self, sent: Sent, tries: int, decision) -> None:
        super()._decided(sent, tries, decision)
        plan = self._timers[sent.line].plan((SERVICE, "")) if self._is_on else None
        is_idempotent = int(sent.call.first_s * 1e6) % 2 == 0
        if isinstance(decision, Dispatch) and plan is not None and is_idempotent:
            first = decision.upstream.upstream_id
            self._at(self.now_s + plan.delay_s, lambda: self._hedge(sent, plan, first))

    def _hedge(self, sent: Sent, plan: HedgePlan, first: str) -> None:
        call = sent.call
        if call.first_s in self._answered:
            return
        sent.line.monitor.request_overdue(first, plan.delay_s, self.now_s)
        on_time_until_s = call.first_s + call.kind.target_s
        if not plan.can_be_on_time(now_s=self.now_s, on_time_until_s=on_time_until_s):
            self.hedges["too_late"] += 1
        elif not self._budget.try_spend(self.now_s):
            self.hedges["no_retry"] += 1
        else:
            self._send_second(sent, first)

    def _send_second(self, sent: Sent, first: str) -> None:
        call = sent.call
        ticket = attrs.evolve(
            sent.ticket,
            request_id=f"{sent.ticket.request_id}+",
            excluded={first},
            may_wait=False,
            resubmitted=True,
            on_decision=lambda decision: None,
        )
        second = Sent(call=call, ticket=ticket, line=sent.line)

        def decided(decision) -> None:
            if isinstance(decision, Dispatch):
                self.hedges["sent"] += 1
                self._arrives(self._engines[decision.upstream.upstream_id], second)
            else:
                self.hedges["no_slot"] += 1
                self._budget.refund()

        ticket.on_decision = decided
        sent.line.submit(ticket, self.now_s)

    def _plain_ended(self, engine: Engine, sent: Sent) -> None:
        call, upstream_id = sent.call, engine.upstream.upstream_id
        took_s = self.now_s - sent.ticket.sent_s
        if call.first_s not in self._answered:
            self._answered.add(call.first_s)
            first_s = self.now_s - call.first_s
            self.results.first_s.append(first_s)
            self.results.on_time += first_s <= call.kind.target_s
        self._timers[sent.line].record((SERVICE, ""), took_s)
        engine.running -= 1
        sent.line.monitor.request_ended(
            upstream_id, sent.ticket.request_id, self.now_s, took_s=took_s
        )
        sent.line.release(sent.ticket, upstream_id, self.now_s)
        if engine.waiting and engine.running < engine.figures.places:
            self._arrives(engine, engine.waiting.popleft())


def figures(days: list[StallsDay]) -> str:
    """Return the mean shares of several days as cells of a table."""
    shares = [
        statistics.mean(part(day.results) for day in days)
        for part in (
            lambda r: r.on_time / r.asked,
            lambda r: r.refused / r.asked,
            lambda r: r.to_slow / r.sent,
            lambda r: r.paused / max(1, r.streams),
        )
    ]
    late_s = statistics.mean(
        statistics.quantiles(day.results.first_s, n=100)[98] for day in days
    )
    cells = [f"{each:.4f}" for each in shares] + [f"{late_s * 1000.0:.0f}"]
    return " | ".join(cells)


def play(day_type: type[StallsDay] = StallsDay, **options) -> StallsDay:
    """Play one day."""
    day = day_type(**options)
    day.worth()
    return day


FLEETS = (
    Fleet(entries=3, engines=20, told_every_s=0.04),
    Fleet(entries=21, engines=20, told_every_s=0.1),
)
PLAIN_FLEETS = tuple(attrs.evolve(each, engines=4) for each in FLEETS)


def print_table(day_type: type[StallsDay], fleets: tuple[Fleet, ...]) -> None:
    """Print what the policy is worth, by entries, load and share of slow upstreams."""
    print(
        "| entries | load | slow | policy | on time | refused | to slow | paused "
        "| p99 ms |"
    )
    print("| ---: | ---: | ---: | --- | ---: | ---: | ---: | ---: | ---: |")
    for fleet, slow_part, load in itertools.product(fleets, (SLOW_PART, 0.0), LOADS):
        for is_on in (False, True):
            days = [
                play(
                    day_type,
                    fleet=fleet,
                    seed=seed,
                    load=load,
                    is_on=is_on,
                    slow_part=slow_part,
                )
                for seed in SEEDS
            ]
            print(
                f"| {fleet.entries} | {load:g} | {slow_part:.0%} "
                f"| {'on' if is_on else 'off'} | {figures(days)} |",
                flush=True,
            )


def main() -> None:
    """Print the tables of plain requests and of streams, or one of them."""
    names = sys.argv[1:] or ["plain", "streams"]
    if "plain" in names:
        print_table(PlainDay, PLAIN_FLEETS)
    if "streams" in names:
        print_table(StallsDay, FLEETS)


if __name__ == "__main__":
    main()
