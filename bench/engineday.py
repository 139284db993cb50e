"""What driven models of a day share: requests, model engines and what they earn.

No network, no threads, a clock of its own; the lines and pools are the daemon's.
Prompts are read one after another at a rate, and answers written side by side in steps
that get longer with each request beside. An engine that is sent more than it has places
lets the rest wait. A caller that is refused comes back once, at the time it was told.
"""

import collections
import heapq
import itertools
import math
from random import Random

import attrs

from lavenderspoke.direct.instances import Upstream
from lavenderspoke.direct.scheduler import ServiceQueue
from lavenderspoke.direct.tickets import Dispatch, Ticket

SERVICE = "narrative"
TICK_S = 0.02
# Spreads of answers' and expected lengths: standard deviations of their logarithms.
# The first follows from the quantiles that were seen, the other from how the callers'
# expectation and the length that came of it went together.
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
    customer: str = ""


@attrs.frozen(kw_only=True)
class EngineFigures:
    """How fast engines of one kind read and write, and how many requests at once.

    `first_s` is the time from a prompt's last token to the first event, and each
    request beside makes a step longer by `neighbour_part`.
    """

    places: int
    tokens_read_per_s: float
    first_s: float
    event_s: float
    event_tokens: int
    neighbour_part: float


@attrs.define(kw_only=True)
class Engine:
    """A model engine.

    While a prompt is read nobody writes: `stalled_s` is the sum of such times.
    """

    upstream: Upstream
    slowness: float
    figures: EngineFigures
    running: int = 0
    stalled_s: float = 0.0
    reads_until_s: float = 0.0
    waiting: collections.deque = attrs.field(factory=collections.deque)

    def first_event_s(self, prompt_tokens: int, now_s: float) -> float:
        """Return when the first event comes of a prompt that is begun now."""
        reading_s = prompt_tokens / self.figures.tokens_read_per_s * self.slowness
        self.stalled_s += reading_s
        self.reads_until_s = max(self.reads_until_s, now_s) + reading_s
        return self.reads_until_s + self.figures.first_s * self.slowness

    def step_s(self) -> float:
        """Return the time between two events as things stand."""
        longer = 1.0 + self.figures.neighbour_part * self.running
        return self.figures.event_s * self.slowness * longer


@attrs.frozen(kw_only=True, eq=False)
class Sent:
    """A request with the line that it stands in."""

    call: Call
    ticket: Ticket
    line: ServiceQueue


class EngineDay:
    """The callers and engines of one day; entries and arrivals are the subclass's."""

    def __init__(self, *, seed: int, figures: EngineFigures):
        self.now_s = 0.0
        self._figures = figures
        self._random = Random(seed)
        self._events: list = []
        self._numbers = itertools.count()
        self._earned = self._owed = 0.0
        self._engines: dict[str, Engine] = {}

    def line(self) -> ServiceQueue:
        """Return the line to which the next caller comes."""
        raise NotImplementedError

    def patience_s(self, kind: Kind) -> float:
        """Return how long a caller waits for the first byte."""
        raise NotImplementedError

    def worth_times(self, call: Call) -> float:
        """Return what a request is worth against the mean of its kind."""
        return 1.0

    def _add_engine(self, number: int, slowness: float) -> None:
        upstream = Upstream(
            upstream_id=f"u{number}",
            service=SERVICE,
            host="127.0.0.1",
            port=1 + number,
            data_centre="here",
            slots=self._figures.places,
        )
        self._engines[upstream.upstream_id] = Engine(
            upstream=upstream, slowness=slowness, figures=self._figures
        )

    def _upstreams(self, count: int) -> tuple[Upstream, ...]:
        """Return the first of the upstreams."""
        return tuple(each.upstream for each in self._engines.values())[:count]

    def _at(self, at_s: float, work) -> None:
        heapq.heappush(self._events, (at_s, next(self._numbers), work))

    # Callers

    def _draw(self, kind: Kind, at_s: float, prompt_spread: float) -> Call:
        """Return a request of that kind with lengths of its own."""
        random = self._random
        prompt_tokens = _spread(random, kind.prompt_tokens, prompt_spread)
        events = max(1, round(_spread(random, kind.events, ANSWER_SPREAD)))
        error = random.lognormvariate(0.0, EXPECTED_SPREAD)
        return Call(
            kind=kind,
            first_s=at_s,
            prompt_tokens=round(prompt_tokens),
            events=events,
            expected_tokens=max(1, round(events * self._figures.event_tokens * error)),
        )

    def _plan_call(self, call: Call) -> None:
        self._owed += call.kind.on_time_worth * self.worth_times(call)
        self._at(call.first_s, lambda: self._come(call, tries=1))

    def _come(self, call: Call, *, tries: int) -> None:
        kind, line = call.kind, self.line()
        ticket = Ticket(
            request_id=f"r{next(self._numbers)}",
            service=SERVICE,
            customer=call.customer,
            rank=(0, kind.rank),
            prompt_tokens=call.prompt_tokens,
            answer_tokens=call.expected_tokens,
            first_arrived_s=call.first_s,
            idle_since_s=self.now_s,
            deadline_s=call.first_s + kind.deadline_s,
            target_s=kind.target_s,
            patience_s=self.patience_s(kind),
            resubmitted=tries > 1,
            on_decision=lambda decision: None,
        )
        sent = Sent(call=call, ticket=ticket, line=line)
        ticket.on_decision = lambda decision: self._decided(sent, tries, decision)
        line.submit(ticket, self.now_s)

    def _decided(self, sent: Sent, tries: int, decision) -> None:
        call = sent.call
        if isinstance(decision, Dispatch):
            self._arrives(self._engines[decision.upstream.upstream_id], sent)
        elif tries == 1:
            back_s = self.now_s + decision.retry_after_s
            self._at(back_s, lambda: self._come(call, tries=2))
        else:
            worth = call.kind.on_time_worth * self.worth_times(call)
            self._earned -= worth * REFUSED_AGAIN_PART

    # Engines

    def _arrives(self, engine: Engine, sent: Sent) -> None:
        if engine.running >= engine.figures.places:
            engine.waiting.append(sent)
            return
        engine.running += 1
        first_s = engine.first_event_s(sent.call.prompt_tokens, self.now_s)
        self._at(first_s, lambda: self._began(engine, sent))

    def _began(self, engine: Engine, sent: Sent) -> None:
        call, upstream_id = sent.call, engine.upstream.upstream_id
        sent.line.record_first_event(sent.ticket, upstream_id, self.now_s)
        step_s = engine.step_s()
        seat = sent.line.pool.state_of(upstream_id)
        if seat is not None:
            seat.health.record_step(step_s)
        on_time = self.now_s <= call.first_s + call.kind.target_s
        worth = call.kind.on_time_worth if on_time else call.kind.late_worth
        self._earned += worth * self.worth_times(call)
        self._ends(engine, sent, self.now_s + step_s * (call.events - 1))

    def _ends(self, engine: Engine, sent: Sent, end_s: float) -> None:
        """End an answer, later by the prompts that are read meanwhile."""
        stalled_s = engine.stalled_s

        def ended() -> None:
            more_s = engine.stalled_s - stalled_s
            if more_s > 0.0:
                self._ends(engine, sent, self.now_s + more_s)
                return
            engine.running -= 1
            call = sent.call
            sent.line.pool.decode_rate.record(
                tokens=call.expected_tokens, steps=call.events
            )
            self._released(engine, sent)
            if engine.waiting and engine.running < engine.figures.places:
                self._arrives(engine, engine.waiting.popleft())

        self._at(end_s, ended)

    def _released(self, engine: Engine, sent: Sent) -> None:
        """Free the slot of a request that has ended, at its entry."""
        sent.line.release(sent.ticket, engine.upstream.upstream_id, self.now_s)


def _spread(random: Random, mean: float, sigma: float) -> float:
    """Return a length with that mean, before the longest are cut."""
    length = random.lognormvariate(math.log(mean) - sigma * sigma / 2.0, sigma)
    return min(length, mean * LENGTH_MAX_TIMES)
