"""The life of one request: placed, sent, answered, resumed or refused.

A request runs on its caller's thread. Whether it can have run is tracked in
`_may_have_run`: once it may have, a request that must not run twice is never
sent again, and nobody is told that it did not run.
"""

import threading
from collections.abc import Iterator

import attrs
import logbook
from result import Err

from lavenderspoke.clock import Clock
from lavenderspoke.direct.dialect import Dialect
from lavenderspoke.direct.dispatcher import (
    AcceptedRequest,
    AttemptOutcome,
    Dispatcher,
    FullResponse,
    HandlerResult,
    StreamResponse,
)
from lavenderspoke.direct.exchange import (
    IncompleteResponse,
    NoResponse,
    NotSent,
    RequestHandle,
    UpstreamResponse,
)
from lavenderspoke.direct.instances import Upstream
from lavenderspoke.direct.refusals import (
    deadline_exceeded,
    no_complete_response,
    no_slot_available,
)
from lavenderspoke.direct.relocation import HeldSlot, Relocation
from lavenderspoke.direct.tickets import Decision, Dispatch, Ticket
from lavenderspoke.http.eventstream import Events, EventSplitter, EventTooLong
from lavenderspoke.problems import Problem

# An upstream that is silent for so long, in seconds, is given up where another one
# has a place for the request; well under the two seconds after which callers leave.
SILENCE_MIN_S = 1.4
# The same in expected times to the first byte: a long prompt that is being read, once
# more after the upstream ran out of memory, is not taken for silence.
SILENCE_TIMES = 3.0
# Time between two looks for a place elsewhere, in seconds, while an upstream is silent.
SILENCE_AGAIN_S = 0.3
# Time in seconds that a look and what follows it take at most; with less left, the
# silent upstream is waited for.
LOOK_MIN_S = 0.8
# Upstreams in a row that can't be reached before the next one takes a retry from the
# budget: each may take up to the time in which a connection must stand.
UNREACHED_MAX = 3
# The least time in seconds that is worth an attempt.
ATTEMPT_MIN_S = 0.1
# How long the body of a short answer may take once its head has come, seconds.
DRAIN_BODY_S = 0.3

# Outcomes that prove that an attempt did not run.
NEVER_RAN = (
    AttemptOutcome.UNREACHABLE,
    AttemptOutcome.NOT_RUN,
    AttemptOutcome.MISDIRECTED,
)

log = logbook.Logger(__name__)


@attrs.define(kw_only=True)
class _Attempt:
    """One attempt at one upstream and what came of it so far."""

    place: HeldSlot
    sending: RequestHandle
    exchange: UpstreamResponse | None = None
    outcome: AttemptOutcome | None = None
    detail: str = ""

    @property
    def upstream(self) -> Upstream:
        return self.place.upstream

    @property
    def ticket(self) -> Ticket:
        return self.place.ticket


class RequestHandler:
    """One request's way through the entry."""

    def __init__(
        self,
        *,
        accepted: AcceptedRequest,
        dispatcher: Dispatcher,
        dialect: Dialect,
        clock: Clock,
    ):
        self.accepted = accepted
        self.trail: list[str] = []
        self.runs = 0
        self.waited_s = 0.0
        self._dispatcher = dispatcher
        self._dialect = dialect
        self._clock = clock
        self._lock = threading.Lock()
        self._gone = False
        self._ticket: Ticket | None = None
        self._sending: RequestHandle | None = None
        self._current: _Attempt | None = None
        self._decided = threading.Event()
        self._decision: Decision | None = None
        self._tried: set[str] = set()
        self._unreached = 0
        self._may_have_run = False
        self._last_event = accepted.head.last_event_id
        self._quiet_since_s = accepted.arrived_s
        self.relocation = Relocation(
            accepted=accepted,
            dispatcher=dispatcher,
            dialect=dialect,
            clock=clock,
            find_free_slot=lambda: self._wait_for_place(may_wait=False),
        )
        # An upstream's own failure, for the case that no other one does better.
        self._own_failure: FullResponse | None = None

    def cancel(self) -> None:
        """Stop all work, since the caller has gone; from any thread."""
        with self._lock:
            self._gone = True
            ticket, sending = self._ticket, self._sending
        if ticket is not None:
            self._dispatcher.withdraw(ticket)
        self._decided.set()
        if sending is not None:
            sending.cancel()

    def close(self) -> None:
        """End what is still under way; called in every case.

        A fault between an attempt and its end would otherwise keep its place at
        the upstream taken for good, and the entry would run out of places.
        """
        if self._current is not None:
            self._end(self._current, AttemptOutcome.LEFT)
        self.relocation.release()

    @property
    def caller_gone(self) -> bool:
        """Whether the caller has gone."""
        return self._gone

    def handle(self) -> HandlerResult:
        """Return a whole answer, the beginning of a stream, or a refusal."""
        while True:
            attempt = self._attempt()
            if isinstance(attempt, Problem):
                return self._own_failure or attempt
            answer = self._begin(attempt)
            if answer is not None:
                return answer
            if not self._again(attempt):
                return self._own_failure or self._failure(attempt)

    # One attempt

    def _attempt(self) -> _Attempt | Problem:
        """Wait for a place and send; return the attempt or why there is none."""
        place = self.relocation.take_slot() or self._wait_for_place(may_wait=True)
        if place is None:
            return no_slot_available(self._decision, may_have_run=self._may_have_run)
        attempt = _Attempt(place=place, sending=RequestHandle())
        self._current = attempt
        with self._lock:
            self._sending = attempt.sending
            gone = self._gone
        # Time has passed in line, and the machine may have been suspended.
        left_s = self._left_s()
        if gone or left_s < ATTEMPT_MIN_S:
            self._end(attempt, AttemptOutcome.LEFT)
            return deadline_exceeded(
                "time ran out in line", may_have_run=self._may_have_run
            )
        self._send(attempt, left_s)
        return attempt

    def _wait_for_place(self, *, may_wait: bool) -> HeldSlot | None:
        ticket = self._line_up(may_wait)
        self._wait(ticket)
        if not isinstance(self._decision, Dispatch):
            return None
        return HeldSlot(upstream=self._decision.upstream, ticket=ticket)

    def _line_up(self, may_wait: bool) -> Ticket:
        accepted = self.accepted
        ticket = Ticket(
            request_id=f"{accepted.head.request_id}.{len(self.trail)}",
            service=accepted.service,
            route=accepted.route.name,
            rank=accepted.rank,
            prompt_tokens=accepted.head.prompt_tokens or 0,
            answer_tokens=accepted.head.answer_tokens,
            first_arrived_s=accepted.first_arrived_s,
            idle_since_s=self._quiet_since_s,
            deadline_s=accepted.deadline_s,
            target_s=accepted.route.target_s,
            patience_s=accepted.route.patience_s,
            resubmitted=accepted.resubmitted or self._may_have_run or bool(self._tried),
            on_decision=self._decide,
            excluded=self._tried | self.relocation.declined,
            may_wait=may_wait,
            retryable=self._may_run_again(uncounted=1),
        )
        with self._lock:
            self._decided.clear()
            self._decision = None
            self._ticket = ticket
        return ticket

    def _decide(self, decision: Decision) -> None:
        self._decision = decision
        self._decided.set()

    def _wait(self, ticket: Ticket) -> None:
        if self._gone:
            return
        before_s = self._clock.monotonic_s()
        self._dispatcher.submit(ticket)
        if not self._decided.wait(max(0.0, self._left_s())) or self._gone:
            self._dispatcher.withdraw(ticket)
        self.waited_s += self._clock.monotonic_s() - before_s

    def _send(self, attempt: _Attempt, left_s: float) -> None:
        accepted, upstream = self.accepted, attempt.upstream
        self._tried.add(upstream.upstream_id)
        headers = self._dialect.upstream_headers(
            head=accepted.head,
            upstream=upstream,
            customer=accepted.customer.name if accepted.customer else None,
            remaining_s=left_s,
            last_event_id=self._last_event,
            reservation=attempt.place.reservation,
        )
        sent = self._dispatcher.connection_pool(upstream).send(
            handle=attempt.sending,
            method=accepted.head.method,
            target=accepted.head.target,
            headers=headers,
            body=accepted.body,
            head_timeout_s=self._silence_s(),
            on_read_timeout=self._on_silence,
        )
        if isinstance(sent, Err):
            self._not_answered(attempt, sent.err_value)
            return
        attempt.exchange = sent.ok_value
        self._check_head(attempt)

    def _not_answered(self, attempt: _Attempt, error: NotSent | NoResponse) -> None:
        attempt.detail = error.detail
        if isinstance(error, NotSent):
            # Broken off for a caller that left, it says nothing of the upstream.
            outcome = AttemptOutcome.LEFT if self._gone else AttemptOutcome.UNREACHABLE
            self._end(attempt, outcome)
            return
        self._ran()
        outcome = AttemptOutcome.SILENT if error.timed_out else AttemptOutcome.BROKEN
        self._end(attempt, AttemptOutcome.LEFT if self._gone else outcome)

    def _check_head(self, attempt: _Attempt) -> None:
        exchange = attempt.exchange
        if self._dialect.is_misdirected(exchange):
            self._end(attempt, AttemptOutcome.MISDIRECTED)
        elif self._dialect.is_not_run(exchange):
            self._drain(exchange)
            self._end(attempt, AttemptOutcome.NOT_RUN)
        elif not self._dialect.is_valid_response(exchange, self.accepted.head):
            # Another request's answer, or bytes that only look like one. This
            # request was sent, so it may run all the same.
            self._ran()
            attempt.detail = f"foreign answer, status {exchange.status}"
            self._end(attempt, AttemptOutcome.FAILED)
        else:
            self._ran()

    def _drain(self, exchange: UpstreamResponse) -> None:
        """Read a short answer to its end, so that its connection can be kept."""
        exchange.enforce_read_timeouts()
        until_s = self._clock.monotonic_s() + DRAIN_BODY_S
        try:
            exchange.read_all(until_s, self._clock)
        except IncompleteResponse as error:
            log.debug("refusal without an end", error=str(error))

    def _end(self, attempt: _Attempt, outcome: AttemptOutcome) -> None:
        """Close the attempt, once."""
        if attempt.outcome is not None:
            return
        attempt.outcome = outcome
        attempt.sending.detach()
        self.trail.append(f"{attempt.upstream.upstream_id}:{outcome.value}")
        if attempt.exchange is not None:
            keep = outcome in (
                AttemptOutcome.ANSWERED,
                AttemptOutcome.FAILED,
                AttemptOutcome.NOT_RUN,
            )
            attempt.exchange.close(keep=keep)
        self._dispatcher.attempt_ended(
            attempt.ticket, attempt.upstream, self.accepted, outcome
        )

    def _ran(self) -> None:
        self._may_have_run = True
        self.runs += 1

    # The answer

    def _begin(self, attempt: _Attempt) -> HandlerResult | None:
        """Return what can be passed on of an attempt's answer, if anything."""
        if attempt.outcome is not None:
            return None
        if self.accepted.route.stream and attempt.exchange.status == 200:
            return self._begin_stream(attempt)
        return self._whole_answer(attempt)

    def _whole_answer(self, attempt: _Attempt) -> FullResponse | None:
        exchange = attempt.exchange
        try:
            body = exchange.read_all(self.accepted.deadline_s, self._clock)
        except IncompleteResponse as error:
            self._cut(attempt, error)
            return None
        is_failure = exchange.status >= 500
        outcome = AttemptOutcome.FAILED if is_failure else AttemptOutcome.ANSWERED
        answer = FullResponse(
            status=exchange.status, headers=exchange.headers, body=body
        )
        self._end(attempt, outcome)
        if is_failure and self._may_run_again():
            self._own_failure = answer
            return None
        return answer

    def _begin_stream(self, attempt: _Attempt) -> StreamResponse | None:
        """Wait for the first event: until then another upstream may do it all."""
        bodies = self._events(attempt)
        try:
            first = next(bodies, b"")
        except IncompleteResponse:
            return None
        exchange = attempt.exchange
        return StreamResponse(
            status=exchange.status,
            headers=exchange.headers,
            chunks=self._joined(first, bodies),
        )

    def _events(self, attempt: _Attempt) -> Iterator[bytes]:
        """Yield whole events as they come; ends the attempt in every case."""
        splitter = EventSplitter()
        before_s = None
        count = 0
        try:
            while data := attempt.exchange.read(self._silence_s()):
                events = splitter.feed(data)
                if events is None:
                    continue
                now_s = self._clock.monotonic_s()
                if before_s is not None:
                    self._dispatcher.event_interval_measured(
                        attempt.upstream, now_s - before_s
                    )
                else:
                    self._dispatcher.first_event_received(
                        attempt.ticket, attempt.upstream
                    )
                before_s = self._quiet_since_s = now_s
                self.relocation.clear_declined()
                count += 1
                self._note_events(events)
                yield events.body
            if rest := splitter.rest():
                yield rest
            self._dispatcher.stream_completed(attempt.ticket, count)
            self._end(attempt, AttemptOutcome.ANSWERED)
        except EventTooLong as error:
            self._end(attempt, AttemptOutcome.FAILED)
            raise IncompleteResponse("an event without end") from error
        except IncompleteResponse as error:
            raise self._cut(attempt, error) from error
        finally:
            self._end(attempt, AttemptOutcome.LEFT)

    def _note_events(self, events: Events) -> None:
        """Note the last event, unless these are the pieces of another run.

        What the caller has couldn't go on there: a piece would come twice.
        """
        if events.event_id is None:
            return
        before = int(self._last_event) if self._last_event is not None else None
        if not events.rising or (before is not None and events.first_id <= before):
            raise IncompleteResponse(f"event {events.first_id} came after {before}")
        self._last_event = str(events.event_id)

    def _joined(self, first: bytes, bodies: Iterator[bytes]) -> Iterator[bytes]:
        """Yield a stream's events, going on at another upstream where allowed.

        The first upstream has been told to stop by then: its connection is
        closed before the next one is asked.
        """
        yield first
        while True:
            try:
                yield from bodies
                return
            except IncompleteResponse as error:
                bodies = self._resumed(error)

    def _resumed(self, error: IncompleteResponse) -> Iterator[bytes]:
        if self._gone or not self._may_run_again():
            raise error
        if not self._can_retry(self._current):
            raise error
        attempt = self._attempt()
        if isinstance(attempt, Problem):
            raise error
        if attempt.outcome is None and attempt.exchange.status == 200:
            return self._events(attempt)
        self._end(attempt, AttemptOutcome.FAILED)
        return self._resumed(error)

    def _cut(self, attempt: _Attempt, error: IncompleteResponse) -> IncompleteResponse:
        """End an attempt whose answer was cut; return the cut with its reason."""
        outcome = AttemptOutcome.SILENT if error.timed_out else AttemptOutcome.BROKEN
        if self._gone or self._left_s() <= 0.0:
            outcome = AttemptOutcome.LEFT
            if error.timed_out and not self._gone:
                error = IncompleteResponse("the time for it ran out", timed_out=True)
        attempt.detail = str(error)
        self._end(attempt, outcome)
        return error

    # What next

    def _again(self, attempt: _Attempt) -> bool:
        """Return whether to try another upstream after a failed attempt."""
        if self._gone or self._left_s() < ATTEMPT_MIN_S:
            return False
        if attempt.outcome in NEVER_RAN:
            may = not self._may_have_run or self._may_run_again()
        else:
            may = self._may_run_again()
        return may and self._can_retry(attempt)

    def _may_run_again(self, uncounted: int = 0) -> bool:
        """Return whether one more upstream may run it; some runs aren't counted yet."""
        route = self.accepted.route
        return route.retryable and self.runs + uncounted < route.attempts_max

    def _can_retry(self, attempt: _Attempt) -> bool:
        """Return whether the retry budget allows another attempt.

        One that no upstream has got so far is no repeat: counted as one, the crash of a
        few upstreams uses up the budget, and callers are refused for whom others have
        room.
        """
        if self.relocation.is_prepared:
            # The retry was taken from the budget with the place.
            return True
        if attempt.outcome is AttemptOutcome.UNREACHABLE:
            self._unreached += 1
            if self._unreached <= UNREACHED_MAX:
                return True
        return self._dispatcher.take_retry(self.accepted.service)

    # Silence

    def _silence_s(self) -> float:
        """Return for how long an upstream may say nothing, in seconds.

        An answer that only this upstream can give is waited for to the end.
        """
        left_s = max(0.0, self._left_s())
        if not self._may_move():
            return left_s
        first_s = self._current.ticket.expected_first_byte_s * SILENCE_TIMES
        return min(left_s, max(SILENCE_MIN_S, self.accepted.route.target_s, first_s))

    def _on_silence(self) -> float:
        """Return for how many seconds more a silent upstream is waited for."""
        left_s = max(0.0, self._left_s())
        if self._gone:
            return 0.0
        if left_s < LOOK_MIN_S or not self._may_move():
            return left_s
        if self.relocation.prepare(self._current.sending):
            return 0.0
        return min(left_s, SILENCE_AGAIN_S)

    def _may_move(self) -> bool:
        """Return whether one more upstream may run what this one has."""
        uncounted = 1 if self._current.exchange is None else 0
        return self._may_run_again(uncounted) and self.relocation.is_possible()

    def _left_s(self) -> float:
        return self.accepted.deadline_s - self._clock.monotonic_s()

    def _failure(self, attempt: _Attempt) -> Problem:
        if attempt.outcome is AttemptOutcome.LEFT or self._left_s() < ATTEMPT_MIN_S:
            return deadline_exceeded(attempt.detail, may_have_run=self._may_have_run)
        return no_complete_response(attempt.detail, may_have_run=self._may_have_run)
