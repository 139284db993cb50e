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
import itertools
import math
import statistics
from random import Random
from unittest import mock

import attrs

from lavenderspoke.direct import pool, scheduler
from lavenderspoke.direct.instances import Upstream
from lavenderspoke.direct.scheduler import Dispatch, Scheduler, Ticket

SERVICE = "narrative"
TICK_S = 0.02
SEEDS = range(1, 13)
DAY_S = 16.0
BURST_S = (5.0, 10.0)
BURST_TIMES = 2.0
CLUMP = 3
ENGINES = 5
PLACES = 9
EVENT_S = 0.015
EVENT_TOKENS = 8
TOKENS_READ_PER_S = 200_000.0
# The first event comes so long after the prompt has been read, in seconds.
FIRST_S = 0.036
# Each request beside makes a step so much longer.
NEIGHBOUR_PART = 0.05
# The last engine takes so many times as long as the others.
SLOWEST_TIMES = 4.4
# Spreads of prompts', answers' and expected lengths: standard deviations of their
# logarithms. The first two follow from the quantiles that were seen, the last from how
# the callers' expectation and the length that came of it went together.
PROMPT_SPREAD = 1.1
ANSWER_SPREAD = 1.2
EXPECTED_SPREAD = 0.5
# Lengths go up to so many times their mean.
LENGTH_MAX_TIMES = 10.0
# The part of its worth that a request costs which came back and is refused again.
REFUSED_AGAIN_PART = 0.3


@attrs.frozen(kw_only=True)
class Kind:
    """One kind of request; worth is in the same unit for all kinds."""

    rank: int
    per_s: float
    prompt_tokens: int
    events: int
    target_s: float
    deadline_s: float
    on_time_worth: float
    late_worth: float


@attrs.frozen(kw_only=True)
class Call:
    """One request: its kind, its own lengths, and when its caller asked first."""

    kind: Kind
    first_s: float
    prompt_tokens: int
    events: int
    expected_tokens: int


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


@attrs.frozen(kw_only=True)
class EngineFigures:
    """How fast engines of one kind read and write.

    `first_s` is the time from a prompt's last token to the first event, and each
    request beside makes a step longer by `neighbour_part`.
    """

    tokens_read_per_s: float = TOKENS_READ_PER_S
    first_s: float = FIRST_S
    event_s: float = EVENT_S
    neighbour_part: float = NEIGHBOUR_PART


@attrs.define(kw_only=True)
class Engine:
    """A model engine: prompts are read in turn, answers written side by side.

    While a prompt is read nobody writes: `stalled_s` is the sum of such times.
    """

    upstream: Upstream
    slowness: float
    figures: EngineFigures = EngineFigures()
    running: int = 0
    stalled_s: float = 0.0
    reads_until_s: float = 0.0

    def first_event_s(self, prompt_tokens: int, now_s: float) -> float:
        """Return when the first event comes of a prompt sent now."""
        reading_s = prompt_tokens / self.figures.tokens_read_per_s * self.slowness
        self.stalled_s += reading_s
        self.reads_until_s = max(self.reads_until_s, now_s) + reading_s
        return self.reads_until_s + self.figures.first_s * self.slowness

    def step_s(self) -> float:
        """Return the time between two events as things stand."""
        longer = 1.0 + self.figures.neighbour_part * self.running
        return self.figures.event_s * self.slowness * longer


class Day:
    """One day of arrivals at one entry; `worth()` is what came of it."""

    def __init__(self, *, seed: int):
        self.now_s = 0.0
        self._random = Random(seed)
        self._events: list = []
        self._numbers = itertools.count()
        self._earned = self._owed = 0.0
        self._engines = {}
        for number in range(ENGINES):
            upstream = Upstream(
                upstream_id=f"u{number}",
                service=SERVICE,
                host="127.0.0.1",
                port=1 + number,
                data_centre="here",
                slots=PLACES,
            )
            slowness = SLOWEST_TIMES if number == 0 else 1.0
            self._engines[upstream.upstream_id] = Engine(
                upstream=upstream, slowness=slowness
            )
        self._scheduler = Scheduler(random=Random(seed + 1000))
        self._line = self._scheduler.line(SERVICE)
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

    def _list(self, count: int) -> None:
        listed = [each.upstream for each in self._engines.values()][:count]
        self._scheduler.reconfigure(tuple(listed), self.now_s)

    def _at(self, at_s: float, work) -> None:
        heapq.heappush(self._events, (at_s, next(self._numbers), work))

    def _plan(self, kind: Kind) -> None:
        at_s = 0.0
        while at_s < DAY_S:
            for _ in range(CLUMP):
                call = draw_call(self._random, kind, at_s)
                self._owed += kind.on_time_worth
                self._at(at_s, lambda call=call: self._come(call, tries=1))
            times = BURST_TIMES if BURST_S[0] <= at_s < BURST_S[1] else 1.0
            at_s += self._random.expovariate(kind.per_s * times / CLUMP)

    def _come(self, call: Call, *, tries: int) -> None:
        kind = call.kind
        ticket = Ticket(
            request_id=f"r{next(self._numbers)}",
            service=SERVICE,
            rank=(0, kind.rank),
            prompt_tokens=call.prompt_tokens,
            answer_tokens=call.expected_tokens,
            first_s=call.first_s,
            arrived_s=self.now_s,
            deadline_s=call.first_s + kind.deadline_s,
            target_s=kind.target_s,
            patience_s=2.0,
            returned=tries > 1,
            decided=lambda decision: None,
        )
        ticket.decided = lambda decision: self._decided(call, ticket, tries, decision)
        self._line.submit(ticket, self.now_s)

    def _decided(self, call: Call, ticket: Ticket, tries: int, decision) -> None:
        if not isinstance(decision, Dispatch):
            if tries == 1:
                self._at(
                    self.now_s + decision.retry_after_s,
                    lambda: self._come(call, tries=2),
                )
            else:
                self._earned -= call.kind.on_time_worth * REFUSED_AGAIN_PART
            return
        engine = self._engines[decision.upstream.upstream_id]
        engine.running += 1
        first_s = engine.first_event_s(call.prompt_tokens, self.now_s)
        self._at(first_s, lambda: self._began(call, ticket, engine))

    def _began(self, call: Call, ticket: Ticket, engine: Engine) -> None:
        upstream_id = engine.upstream.upstream_id
        self._line.began(ticket, upstream_id, self.now_s)
        step_s = engine.step_s()
        seat = self._line.pool.seat(upstream_id)
        if seat is not None:
            seat.health.stepped(step_s)
        on_time = self.now_s <= call.first_s + call.kind.target_s
        worth = call.kind.on_time_worth if on_time else call.kind.late_worth
        self._earned += worth
        self._ends(call, ticket, engine, self.now_s + step_s * (call.events - 1))

    def _ends(self, call: Call, ticket: Ticket, engine: Engine, end_s: float) -> None:
        """End an answer, later by the prompts that are read meanwhile."""
        stalled_s = engine.stalled_s

        def ended() -> None:
            more_s = engine.stalled_s - stalled_s
            if more_s > 0.0:
                self._ends(call, ticket, engine, self.now_s + more_s)
                return
            engine.running -= 1
            self._line.pool.writing.wrote(
                tokens=call.expected_tokens, steps=call.events
            )
            self._line.ended(ticket, engine.upstream.upstream_id, self.now_s)

        self._at(end_s, ended)


def draw_call(
    random: Random,
    kind: Kind,
    at_s: float,
    *,
    event_tokens: int = EVENT_TOKENS,
    prompt_spread: float = PROMPT_SPREAD,
) -> Call:
    """Return a request of that kind with lengths of its own."""
    prompt_tokens = spread_length(random, kind.prompt_tokens, prompt_spread)
    events = max(1, round(spread_length(random, kind.events, ANSWER_SPREAD)))
    error = random.lognormvariate(0.0, EXPECTED_SPREAD)
    return Call(
        kind=kind,
        first_s=at_s,
        prompt_tokens=round(prompt_tokens),
        events=events,
        expected_tokens=max(1, round(events * event_tokens * error)),
    )


def spread_length(random: Random, mean: float, sigma: float) -> float:
    """Return a length with that mean, before the longest are cut."""
    length = random.lognormvariate(math.log(mean) - sigma * sigma / 2.0, sigma)
    return min(length, mean * LENGTH_MAX_TIMES)


def _without_returned(ticket: Ticket) -> tuple:
    return ticket.rank, ticket.late, ticket.answer_tokens, ticket.number


def _without_on_time(ticket: Ticket) -> tuple:
    return ticket.rank, not ticket.returned, ticket.answer_tokens, ticket.number


def _without_short(ticket: Ticket) -> tuple:
    return ticket.rank, ticket.late, not ticket.returned, ticket.number


def _in_order_of_arrival(ticket: Ticket) -> tuple:
    return (ticket.number,)


RULES = {
    "nothing": [],
    "ranks": [(scheduler, "_place", _in_order_of_arrival)],
    "places that stay free for ranks above": [(scheduler, "RESERVED", 0.0)],
    "places guaranteed to ranks below": [(scheduler, "GUARANTEED", 0.0)],
    "on time before late": [(scheduler, "_place", _without_on_time)],
    "returned first": [(scheduler, "_place", _without_returned)],
    "short before long": [(scheduler, "_place", _without_short)],
    "refused on arrival": [(scheduler, "DOUBT", float("inf"))],
    "spread over like upstreams": [(pool, "SPREAD", 0.0)],
    "neighbours in the choice": [(pool, "NEIGHBOUR_PACES", 0.0)],
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
