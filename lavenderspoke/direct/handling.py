"""Handles one request: queues, sends, retries, relocates and resumes it.

A request runs on its caller's thread. `_may_have_run` tells whether an upstream may
have run it: from then on a request that must not run twice is not sent again, and no
refusal says that it did not run.
"""

import threading
from collections.abc import Callable, Iterator

import logbook
from result import Err

from lavenderspoke.clock import Clock
from lavenderspoke.direct import streamchecks, wholestream
from lavenderspoke.direct.attempt import Attempt, Wait
from lavenderspoke.direct.dialect import Dialect
from lavenderspoke.direct.dispatcher import (
    AcceptedRequest,
    AttemptOutcome,
    Dispatcher,
    FullResponse,
    HandlerResult,
    StreamResponse,
    answer_outcome,
    keeps_connection,
)
from lavenderspoke.direct.exchange import (
    CancelHandle,
    IncompleteResponse,
    NoResponse,
    NotSent,
    UpstreamResponse,
)
from lavenderspoke.direct.hedgedattempt import WAIT_MIN_S, Hedging
from lavenderspoke.direct.instances import Upstream
from lavenderspoke.direct.refusals import (
    deadline_exceeded,
    no_complete_response,
    no_slot_available,
)
from lavenderspoke.direct.relocation import HeldSlot, Relocation
from lavenderspoke.direct.runproof import AttemptFinding, Finding, finding_of
from lavenderspoke.direct.tickets import Decision, Dispatch, Refusal, Refuse, Ticket
from lavenderspoke.http.eventstream import Events, EventSplitter, EventTooLong
from lavenderspoke.http.framing import Framing
from lavenderspoke.problems import Problem

# The shortest read timeout, in seconds, before a relocation is tried; well under the
# two seconds after which callers leave.
READ_TIMEOUT_MIN_S = 1.4
# The read timeout is at least this multiple of the expected time to the first byte. An
# upstream that ran out of memory repeats the prefill, which must not time out.
READ_TIMEOUT_FACTOR = 3.0
# Interval, in seconds, between two relocations that are tried for a request.
RELOCATION_INTERVAL_S = 0.3
# Least time until the deadline, in seconds, for a relocation and what follows it; with
# less left, a request stays where it is.
RELOCATION_REMAINING_MIN_S = 0.8
# How many unreachable upstreams a request may meet before an attempt is charged to the
# retry budget; each may cost up to the connect timeout.
FREE_RETRIES_MAX = 3
# Least remaining time, in seconds, for another attempt.
ATTEMPT_MIN_S = 0.1
# Timeout for reading and discarding the body of a refusal, in seconds.
DISCARD_TIMEOUT_S = 0.3
DISCARDED_BYTES_MAX = 64 * 1024

# Outcomes that prove that an attempt did not run.
NOT_RUN_OUTCOMES = (
    AttemptOutcome.UNREACHABLE,
    AttemptOutcome.NOT_RUN,
    AttemptOutcome.MISDIRECTED,
)

log = logbook.Logger(__name__)


class RequestHandler:
    """Handles one request until its response has ended.

    `has_caller_left()` is asked before each attempt, and now and then during one.
    """

    def __init__(
        self,
        *,
        accepted: AcceptedRequest,
        dispatcher: Dispatcher,
        dialect: Dialect,
        clock: Clock,
        has_caller_left: Callable[[], bool] = lambda: False,
    ):
        self.accepted = accepted
        self.trail: list[str] = []
        # How the response of each upstream that sent one was framed.
        self.framing: dict[str, str] = {}
        # The software version of each upstream that it was sent to.
        self.versions: dict[str, str] = {}
        # What each attempt waited for last, for how long, and what ended the wait.
        self.waits: list[Wait] = []
        # What each attempt's response proved.
        self.findings: list[AttemptFinding] = []
        self.possible_runs = 0
        self.waited_s = 0.0
        # Upstreams that took no request by their own word, and why, at any decision.
        self.held_back: dict[str, str] = {}
        # What is booked for its return, or was booked for it, at the last decision.
        self.booking = ""
        # Why requests of other customers went first, at the last decision of that kind.
        self.deferred = ""
        # Upstreams outside the entry's data centre that it was sent to, and why.
        self.spillover: dict[str, str] = {}
        # Upstreams that were slow at the moment of a dispatch, and how many times.
        self.slow: dict[str, float] = {}
        self._dispatcher = dispatcher
        self._dialect = dialect
        self._clock = clock
        self._lock = threading.Lock()
        self._caller_gone = False
        self._has_caller_left = has_caller_left
        self._ticket: Ticket | None = None
        self._cancel_handle: CancelHandle | None = None
        self._current: Attempt | None = None
        self._decided = threading.Event()
        self._decision: Decision | None = None
        self._tried: set[str] = set()
        self._unreachable_count = 0
        self._may_have_run = False
        self._last_event_id = accepted.head.last_event_id
        # The version that began the stream of which the caller has events.
        self.stream_version = accepted.stream_version
        self._told_s = 0.0
        self._idle_since_s = accepted.arrived_s
        self.relocation = Relocation(
            accepted=accepted,
            dispatcher=dispatcher,
            dialect=dialect,
            clock=clock,
            find_free_slot=lambda: self._acquire_slot(may_wait=False),
        )
        self.hedging = Hedging(
            accepted=accepted,
            dispatcher=dispatcher,
            dialect=dialect,
            clock=clock,
            find_free_slot=lambda: self._acquire_slot(may_wait=False),
        )
        # An upstream's error response, returned if no later attempt gets a response.
        self._error_response: FullResponse | None = None

    def cancel(self) -> None:
        """Stop all work because the caller has gone; callable from any thread."""
        with self._lock:
            self._caller_gone = True
            ticket, cancel_handle = self._ticket, self._cancel_handle
        if ticket is not None:
            self._dispatcher.withdraw(ticket)
        self._decided.set()
        if cancel_handle is not None:
            cancel_handle.cancel()
        self.hedging.cancel()

    def _check_caller(self) -> None:
        """Stop all work if the caller has left and `cancel` wasn't called yet."""
        if not self._caller_gone and self._has_caller_left():
            self.cancel()

    def close(self) -> None:
        """End what is still in progress; must always be called.

        Otherwise an exception during an attempt would leak its slot at the upstream,
        and the entry would run out of slots.
        """
        if self._current is not None:
            self._end_attempt(self._current, AttemptOutcome.LEFT)
        self.hedging.close()
        self.relocation.release()
        self._error_response = None
        self.accepted.drop_body()

    @property
    def caller_gone(self) -> bool:
        """Whether the caller has disconnected."""
        return self._caller_gone

    @property
    def current_attempt(self) -> Attempt | None:
        """The last attempt, which may have ended."""
        return self._current

    def handle(self) -> HandlerResult:
        """Return a full response, the start of a stream, or a refusal."""
        while True:
            attempt = self._start_attempt()
            if isinstance(attempt, Problem):
                return self._error_response or attempt
            response = self._resolve_hedge(self._begin_response(attempt))
            if response is not None:
                return response
            if not self._should_retry(attempt):
                return self._error_response or self._final_refusal(attempt)

    def handle_whole(self) -> FullResponse | Problem:
        """Return a full response, also of a stream, or a refusal.

        For callers who can't tell a stream that breaks off from one that ends.
        """
        result = self.handle()
        if not isinstance(result, StreamResponse):
            return result
        try:
            return wholestream.gather(result, wait_s=self._remaining_s())
        except IncompleteResponse as error:
            self._current.detail = str(error)
            return self._final_refusal(self._current)
        finally:
            result.chunks.close()

    # The version that began a stream

    def _record_beginning(self, upstream: Upstream) -> None:
        """Record the version before any event goes out to the caller."""
        if self.stream_version is None:
            self.stream_version = upstream.version
        self._told_s = self._clock.monotonic_s()
        self._dispatcher.stream_began(self._stream_id, upstream)

    @property
    def _stream_id(self) -> str:
        """The attempt that brought the first event, as the caller will name it."""
        head = self.accepted.head
        return head.resumed_id or head.request_id

    # One attempt

    def _start_attempt(self) -> Attempt | Problem:
        """Wait for a slot and send; return the attempt or why there is none."""
        slot = self.relocation.take_slot() or self._acquire_slot(may_wait=True)
        if slot is None:
            return no_slot_available(self._decision, may_have_run=self._may_have_run)
        handle = CancelHandle(check_caller=self._check_caller)
        attempt = Attempt(slot=slot, cancel_handle=handle, accepted=self.accepted)
        self._current = attempt
        with self._lock:
            self._cancel_handle = handle
        self._check_caller()
        # Time has passed in the queue, and the machine may have been suspended.
        remaining_s = self._remaining_s()
        if self._caller_gone or remaining_s < ATTEMPT_MIN_S:
            self._end_attempt(attempt, AttemptOutcome.LEFT)
            return deadline_exceeded(
                "too little time left to send", may_have_run=self._may_have_run
            )
        self._send(attempt, remaining_s)
        return attempt

    def _acquire_slot(self, *, may_wait: bool) -> HeldSlot | None:
        if self._dispatcher.is_quarantined(self.accepted):
            self._decision = Refuse(reason=Refusal.QUARANTINED)
            return None
        ticket = self._create_ticket(may_wait)
        self._wait_for_decision(ticket)
        if not isinstance(self._decision, Dispatch):
            return None
        slot = HeldSlot(upstream=self._decision.upstream, ticket=ticket)
        # The content may have crashed upstreams while it waited.
        if self._dispatcher.is_quarantined(self.accepted):
            self._dispatcher.release_slot(ticket, slot.upstream)
            self._decision = Refuse(reason=Refusal.QUARANTINED)
            return None
        return slot

    def _create_ticket(self, may_wait: bool) -> Ticket:
        accepted = self.accepted
        ticket = Ticket(
            request_id=f"{accepted.head.request_id}.{len(self.trail)}",
            service=accepted.service,
            route=accepted.route.name,
            customer=accepted.customer.name if accepted.customer else "",
            fingerprint=accepted.fingerprint,
            shared_parts=accepted.head.shared_parts,
            rank=accepted.rank,
            prompt_tokens=accepted.head.prompt_tokens or 0,
            answer_tokens=accepted.head.answer_tokens,
            first_arrived_s=accepted.first_arrived_s,
            idle_since_s=self._idle_since_s,
            deadline_s=accepted.deadline_s,
            target_s=accepted.route.target_s,
            patience_s=accepted.route.patience_s,
            # A stream that goes on is no new arrival either.
            resubmitted=(
                accepted.resubmitted
                or self._may_have_run
                or bool(self._tried)
                or self.stream_version is not None
            ),
            on_decision=self._on_decision,
            excluded=self._tried | self.relocation.excluded,
            version=self.stream_version,
            may_wait=may_wait,
            retryable=self._may_run_again(pending_runs=1),
        )
        with self._lock:
            self._decided.clear()
            self._decision = None
            self._ticket = ticket
        return ticket

    def _on_decision(self, decision: Decision) -> None:
        self._decision = decision
        self.held_back |= decision.held_back
        self.deferred = decision.deferred or self.deferred
        if isinstance(decision, Dispatch):
            self.slow |= decision.slow
            if decision.spillover:
                self.spillover[decision.upstream.upstream_id] = decision.spillover
        self._decided.set()

    def _wait_for_decision(self, ticket: Ticket) -> None:
        if self._caller_gone:
            return
        started_s = self._clock.monotonic_s()
        self._dispatcher.submit(ticket)
        if not self._decided.wait(max(0.0, self._remaining_s())) or self._caller_gone:
            self._dispatcher.withdraw(ticket)
        self.booking = ticket.booking or self.booking
        self.waited_s += self._clock.monotonic_s() - started_s

    def _send(self, attempt: Attempt, remaining_s: float) -> None:
        accepted, upstream = self.accepted, attempt.upstream
        self._tried.add(upstream.upstream_id)
        self.versions[upstream.upstream_id] = upstream.version
        attempt.sent_s = self._clock.monotonic_s()
        if attempt.slot.reservation_id is not None:
            self._dispatcher.reserved_slot_used(upstream)
        headers = self._dialect.upstream_headers(
            head=accepted.head,
            upstream=upstream,
            customer=accepted.customer.name if accepted.customer else None,
            remaining_s=remaining_s,
            last_event_id=self._last_event_id,
            reservation=attempt.slot.reservation_id,
        )
        sent = self._dispatcher.connection_pool(upstream).send(
            cancel_handle=attempt.cancel_handle,
            method=accepted.head.method,
            target=accepted.head.target,
            headers=headers,
            body=accepted.body,
            head_timeout_s=self.hedging.wait_s(
                self._read_timeout_s(),
                may_run_again=self._may_run_again(pending_runs=1),
            ),
            ends_s=accepted.deadline_s,
            on_read_timeout=self._on_read_timeout,
        )
        if isinstance(sent, Err):
            self._handle_send_error(attempt, sent.err_value)
            return
        attempt.response = sent.ok_value
        self.framing[upstream.upstream_id] = attempt.response.framing.value
        self._check_head(attempt)

    def _handle_send_error(self, attempt: Attempt, error: NotSent | NoResponse) -> None:
        attempt.detail = error.detail
        if isinstance(error, NotSent):
            # A connect that the caller's leaving cancelled, or that took too long for
            # this request, proves nothing about the upstream.
            is_left = self._caller_gone or error.late
            outcome = AttemptOutcome.LEFT if is_left else AttemptOutcome.UNREACHABLE
            if error.refused:
                self._dispatcher.connection_refused(attempt.upstream)
            self._end_attempt(attempt, outcome)
            return
        self._record_possible_run()
        attempt.finding = Finding.NO_RESPONSE
        attempt.unread_head_bytes = error.received_bytes
        outcome = AttemptOutcome.SILENT if error.timed_out else AttemptOutcome.BROKEN
        self._end_attempt(
            attempt, AttemptOutcome.LEFT if self._is_cancelled(attempt) else outcome
        )

    def _check_head(self, attempt: Attempt) -> None:
        response = attempt.response
        attempt.finding = finding = finding_of(
            response, self.accepted.head, self._dialect
        )
        if finding.is_of_upstream:
            self._record_signals(attempt)
        if finding.outcome not in NOT_RUN_OUTCOMES:
            # This request was sent, so it may run whatever came back.
            self._record_possible_run()
        if finding.outcome is not None:
            attempt.detail = f"{finding} response, status {response.status}"
            if finding.is_of_upstream:
                self._discard_body(response)
            self._end_attempt(attempt, finding.outcome)

    def _record_signals(self, attempt: Attempt) -> None:
        signals = self._dialect.upstream_signals(attempt.response)
        self._dispatcher.response_received(
            attempt.upstream, signals, sent_s=attempt.sent_s
        )

    def _discard_body(self, response: UpstreamResponse) -> None:
        """Discard a short body; if it ends in time, its connection can be reused."""
        response.enforce_read_timeouts()
        deadline_s = self._clock.monotonic_s() + DISCARD_TIMEOUT_S
        try:
            response.read_all(deadline_s, self._clock, bytes_max=DISCARDED_BYTES_MAX)
        except IncompleteResponse as error:
            log.debug("upstream's refusal is incomplete", error=str(error))

    def _end_attempt(self, attempt: Attempt, outcome: AttemptOutcome) -> None:
        """End the attempt; further calls do nothing."""
        if attempt.outcome is not None:
            return
        attempt.outcome = outcome
        attempt.cancel_handle.detach()
        self.trail.append(f"{attempt.upstream.upstream_id}:{outcome.value}")
        self.findings.append(attempt.found)
        self.waits.append(
            attempt.last_wait(
                caller_gone=self._caller_gone, now_s=self._clock.monotonic_s()
            )
        )
        if attempt.response is not None:
            attempt.response.close(keep=keeps_connection(outcome))
        self._dispatcher.attempt_ended(
            attempt.ticket, attempt.upstream, self.accepted, outcome
        )
        if outcome in (AttemptOutcome.BROKEN, AttemptOutcome.LEFT):
            # Before any retry, which would crash the next upstream.
            self._dispatcher.check_ended(attempt.upstream)

    def _record_possible_run(self) -> None:
        self._may_have_run = True
        self.possible_runs += 1

    # The response

    def _begin_response(self, attempt: Attempt) -> HandlerResult | None:
        """Return the response for the caller, or None if the attempt failed."""
        if attempt.outcome is not None:
            return None
        response = attempt.response
        has_body = response.framing is not Framing.NO_BODY
        if self.accepted.route.stream and response.status == 200 and has_body:
            return self._begin_stream(attempt)
        return self._read_full_response(attempt)

    def _read_full_response(self, attempt: Attempt) -> FullResponse | None:
        response = attempt.response
        try:
            body = response.read_all(self.accepted.deadline_s, self._clock)
            self._check_outlived(attempt)
        except IncompleteResponse as error:
            self._end_incomplete(attempt, error)
            return None
        is_error = response.status >= 500
        outcome = AttemptOutcome.FAILED if is_error else answer_outcome(response)
        full_response = FullResponse(
            status=response.status, headers=response.headers, body=body
        )
        self._end_attempt(attempt, outcome)
        if is_error and self._may_run_again():
            self._error_response = full_response
            return None
        return full_response

    def _begin_stream(self, attempt: Attempt) -> StreamResponse | None:
        """Wait for the first event; return None if the stream fails before it."""
        chunks = self._stream_events(attempt)
        try:
            first = next(chunks, b"")
        except IncompleteResponse:
            return None
        response = attempt.response
        if first:
            self._record_beginning(attempt.upstream)
        return StreamResponse(
            status=response.status,
            headers=response.headers,
            chunks=self._stream_with_resume(first, chunks),
        )

    def _stream_events(self, attempt: Attempt) -> Iterator[bytes]:
        """Yield complete events as they arrive; always ends the attempt."""
        splitter = EventSplitter()
        previous_s = None
        timeout_s = self._read_timeout_s()
        try:
            while data := attempt.response.read(timeout_s):
                events = splitter.feed(data)
                if events is None:
                    # What is no event yet doesn't begin the wait anew.
                    timeout_s = None
                    continue
                streamchecks.check_events(attempt.response, events)
                now_s = self._clock.monotonic_s()
                if previous_s is not None:
                    self._dispatcher.event_interval_measured(
                        attempt.ticket, attempt.upstream, now_s - previous_s
                    )
                else:
                    self._dispatcher.first_event_received(
                        attempt.ticket, attempt.upstream
                    )
                previous_s = self._idle_since_s = now_s
                self.relocation.clear_excluded()
                attempt.events += 1
                if self.stream_version is not None:
                    self._told_s = self._dispatcher.stream_goes_on(
                        self._stream_id, attempt.upstream, told_s=self._told_s
                    )
                self._record_event_id(events)
                if not splitter.rest() and attempt.response.end_if_arrived():
                    self._complete_stream(attempt)
                yield events.body
                timeout_s = self._read_timeout_s()
            streamchecks.check_end(attempt.response, splitter)
            self._check_outlived(attempt)
            if rest := splitter.rest():
                yield rest
            self._complete_stream(attempt)
        except EventTooLong as error:
            self._end_attempt(attempt, AttemptOutcome.FAILED)
            raise IncompleteResponse("an event exceeds the size limit") from error
        except IncompleteResponse as error:
            raise self._end_incomplete(attempt, error) from error
        finally:
            self._end_attempt(attempt, AttemptOutcome.LEFT)

    def _check_outlived(self, attempt: Attempt) -> None:
        """Raise IncompleteResponse if an upstream ended as its answer did.

        An answer that ends with its connection would look whole.
        """
        ended = answer_outcome(attempt.response) is AttemptOutcome.ENDED
        if ended and self._dispatcher.has_ended(attempt.upstream):
            raise IncompleteResponse("the upstream ended with the connection")

    def _complete_stream(self, attempt: Attempt) -> None:
        """End the attempt of a complete stream; a further call does nothing."""
        if attempt.outcome is None:
            self._dispatcher.stream_completed(attempt.ticket, attempt.events)
            self._end_attempt(attempt, answer_outcome(attempt.response))

    def _record_event_id(self, events: Events) -> None:
        """Record the last event id; raise IncompleteResponse if the ids don't rise.

        Lower ids belong to another run, from which the caller would get an event twice.
        """
        if events.event_id is None:
            return
        previous_id = (
            int(self._last_event_id) if self._last_event_id is not None else None
        )
        if not events.rising or (
            previous_id is not None and events.first_id <= previous_id
        ):
            raise IncompleteResponse(
                f"event ids don't rise: {events.first_id} after {previous_id}"
            )
        self._last_event_id = str(events.event_id)

    def _stream_with_resume(
        self, first: bytes, chunks: Iterator[bytes]
    ) -> Iterator[bytes]:
        """Yield a stream's events, resuming at another upstream where allowed.

        The connection to the previous upstream is closed, which stops its run, before
        the request is sent to the next one.
        """
        yield first
        while True:
            try:
                yield from chunks
                return
            except IncompleteResponse as error:
                chunks = self._resume_stream(error)

    def _resume_stream(self, error: IncompleteResponse) -> Iterator[bytes]:
        if self._caller_gone or not self._may_run_again():
            raise error
        if not self._take_retry_if_needed(self._current):
            raise error
        attempt = self._start_attempt()
        if isinstance(attempt, Problem):
            raise error
        if attempt.outcome is None and attempt.response.status == 200:
            return self._stream_events(attempt)
        self._end_attempt(attempt, AttemptOutcome.FAILED)
        return self._resume_stream(error)

    def _end_incomplete(
        self, attempt: Attempt, error: IncompleteResponse
    ) -> IncompleteResponse:
        """End an attempt with an incomplete response; return the error to raise."""
        outcome = AttemptOutcome.SILENT if error.timed_out else AttemptOutcome.BROKEN
        if self._is_cancelled(attempt):
            outcome = AttemptOutcome.LEFT
        elif self._remaining_s() <= 0.0:
            if not attempt.is_unfinished:
                outcome = AttemptOutcome.LEFT
            if error.timed_out:
                error = IncompleteResponse("deadline expired", timed_out=True)
        attempt.detail = str(error)
        self._end_attempt(attempt, outcome)
        return error

    # Retries

    def _should_retry(self, attempt: Attempt) -> bool:
        """Return whether to try another upstream after a failed attempt."""
        if self._caller_gone or self._remaining_s() < ATTEMPT_MIN_S:
            return False
        if attempt.outcome in NOT_RUN_OUTCOMES:
            may_send = not self._may_have_run or self._may_run_again()
        else:
            may_send = self._may_run_again()
        return may_send and self._take_retry_if_needed(attempt)

    def _may_run_again(self, pending_runs: int = 0) -> bool:
        """Return whether one more upstream may run it.

        `pending_runs` are those of attempts that aren't counted as possible runs yet.
        """
        route = self.accepted.route
        return (
            route.retryable and self.possible_runs + pending_runs < route.attempts_max
        )

    def _take_retry_if_needed(self, attempt: Attempt) -> bool:
        """Charge the retry budget if needed; return whether to make another attempt.

        The first attempts that follow an unreachable upstream aren't charged. Otherwise
        the crash of a few upstreams would use up the budget, and requests would be
        refused although other upstreams have free slots.
        """
        if self.relocation.is_prepared:
            # The budget was charged when the slot was reserved.
            return True
        if attempt.outcome is AttemptOutcome.UNREACHABLE:
            self._unreachable_count += 1
            if self._unreachable_count <= FREE_RETRIES_MAX:
                return True
        return self._dispatcher.take_retry(self.accepted.service)

    def _is_cancelled(self, attempt: Attempt) -> bool:
        """Return whether the caller has gone, or a second attempt was answered."""
        return self._caller_gone or attempt.cancel_handle.cancelled

    # A second attempt beside the first

    def _start_hedge(self) -> float:
        """Start a second attempt; return how long to wait on for the first one."""
        current = self._current
        if self.hedging.start(current.slot, current.cancel_handle, current.sent_s):
            self._tried.add(self.hedging.attempt.slot.upstream.upstream_id)
            # Counted already while it runs, so that no third attempt is made.
            self.possible_runs += 1
            if self._caller_gone:
                self.hedging.cancel()
        waited_s = self._clock.monotonic_s() - current.sent_s
        return max(WAIT_MIN_S, self._read_timeout_s() - waited_s)

    def _resolve_hedge(self, response: HandlerResult | None) -> HandlerResult | None:
        """Return the answer that counts, of the first or of the second attempt."""
        hedging = self.hedging
        if hedging.attempt is None or hedging.result is not None:
            return response
        response = hedging.resolve(response, self._remaining_s())
        outcome = hedging.attempt.outcome or AttemptOutcome.LEFT
        self.findings.append(hedging.attempt.found)
        self.trail.append(f"{hedging.attempt.found.upstream_id}:{outcome.value}")
        if outcome in NOT_RUN_OUTCOMES:
            self.possible_runs -= 1
        else:
            self._may_have_run = True
        return response

    # Read timeouts and relocation

    def _read_timeout_s(self) -> float:
        """Return how long an upstream may be silent, in seconds.

        A response that only this upstream can give is awaited until the deadline.
        """
        remaining_s = max(0.0, self._remaining_s())
        if not self._may_relocate():
            return remaining_s
        first_byte_timeout_s = (
            self._current.ticket.expected_first_byte_s * READ_TIMEOUT_FACTOR
        )
        return min(
            remaining_s,
            max(READ_TIMEOUT_MIN_S, self.accepted.route.target_s, first_byte_timeout_s),
        )

    def _on_read_timeout(self) -> float:
        """Return how many more seconds to wait for a silent upstream."""
        remaining_s = max(0.0, self._remaining_s())
        if self._caller_gone:
            return 0.0
        if self.hedging.is_due and self._current.response is None:
            return self._start_hedge()
        if remaining_s < RELOCATION_REMAINING_MIN_S or not self._may_relocate():
            return remaining_s
        if self.relocation.prepare(self._current.cancel_handle):
            return 0.0
        return min(remaining_s, RELOCATION_INTERVAL_S)

    def _may_relocate(self) -> bool:
        """Return whether the request may move to another upstream."""
        pending_runs = 1 if self._current.response is None else 0
        return self._may_run_again(pending_runs) and self.relocation.is_possible()

    def _remaining_s(self) -> float:
        return self.accepted.deadline_s - self._clock.monotonic_s()

    def _final_refusal(self, attempt: Attempt) -> Problem:
        """Return the refusal after the last attempt, also if the caller has gone."""
        if (
            attempt.outcome is AttemptOutcome.LEFT
            or self._remaining_s() < ATTEMPT_MIN_S
        ):
            return deadline_exceeded(attempt.detail, may_have_run=self._may_have_run)
        return no_complete_response(
            attempt.detail,
            may_have_run=self._may_have_run,
            blocked_s=self._dispatcher.blocked_s(self.accepted.service),
        )
