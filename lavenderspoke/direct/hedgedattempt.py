"""Runs the second attempt of a hedged request, beside the first.

The first attempt blocks the caller's thread, so the second one has a thread of its own.
It shares no state with the first but a `_Race`: the first whole answer wins, and its
attempt cancels the other. Each attempt holds its slot until it has ended itself.
"""

import threading
from collections.abc import Callable

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
    answer_outcome,
    keeps_connection,
)
from lavenderspoke.direct.exchange import (
    CancelHandle,
    IncompleteResponse,
    NotSent,
    UpstreamResponse,
)
from lavenderspoke.direct.hedging import HedgePlan, HedgeResult
from lavenderspoke.direct.relocation import HeldSlot
from lavenderspoke.direct.runproof import AttemptFinding, Finding, finding_of

# Largest body of a hedged request, in bytes. It fits into a socket's send buffer, so
# that the timeout after which a second attempt is due never interrupts its sending.
BODY_BYTES_MAX = 32 * 1024
# Least time, in seconds, to wait on for the first attempt.
WAIT_MIN_S = 0.001

log = logbook.Logger(__name__)


class _Race:
    """Which of two attempts was answered first."""

    def __init__(self):
        self._lock = threading.Lock()
        self._is_won = False

    def claim(self) -> bool:
        """Return whether the caller is the first one here."""
        with self._lock:
            was_won, self._is_won = self._is_won, True
            return not was_won


@attrs.define(kw_only=True, eq=False)
class HedgedAttempt:
    """A second attempt; `first` is what cancels the first one."""

    accepted: AcceptedRequest
    dispatcher: Dispatcher
    dialect: Dialect
    clock: Clock
    slot: HeldSlot
    first: CancelHandle
    outcome: AttemptOutcome | None = None
    response: FullResponse | None = None
    found: AttemptFinding = attrs.field(init=False)
    _race: _Race = attrs.field(factory=_Race)
    _cancel_handle: CancelHandle = attrs.field(init=False)
    _ended: threading.Event = attrs.field(factory=threading.Event)

    def __attrs_post_init__(self):
        # Both attempts are for the same caller.
        self._cancel_handle = CancelHandle(check_caller=self.first.check_caller)
        self.found = AttemptFinding.of(self.slot.upstream, Finding.NOT_SENT, None)

    def start(self) -> bool:
        """Send on a thread of its own, which releases the slot in the end.

        Returns False, and sends nothing, if the process can have no more threads.
        """
        thread = threading.Thread(target=self._run, name="hedge", daemon=True)
        try:
            thread.start()
        except RuntimeError as error:
            log.warning("no thread for a hedged attempt", error=str(error))
            self.dispatcher.release_slot(self.slot.ticket, self.slot.upstream)
            return False
        return True

    def cancel(self) -> None:
        """Abort the attempt, from any thread; does nothing if it has ended."""
        self._cancel_handle.cancel()

    def first_answered(self) -> bool:
        """Return whether the first attempt's answer counts; cancels this one if so."""
        is_first = self._race.claim()
        if is_first:
            self.cancel()
        return is_first

    def wait(self, timeout_s: float) -> FullResponse | None:
        """Return the answer once it has come, or None; cancels it at the timeout."""
        if not self._ended.wait(max(0.0, timeout_s)):
            self.cancel()
            return None
        return self.response

    def _run(self) -> None:
        outcome, received = AttemptOutcome.LEFT, None
        try:
            outcome, received = self._exchange()
        except Exception:
            log.exception("hedged attempt failed")
        finally:
            if self._cancel_handle.cancelled and self.response is None:
                outcome = AttemptOutcome.LEFT
            self._end(outcome, received)

    def _exchange(self) -> tuple[AttemptOutcome, UpstreamResponse | None]:
        accepted, upstream = self.accepted, self.slot.upstream
        sent_s = self.clock.monotonic_s()
        remaining_s = max(WAIT_MIN_S, accepted.deadline_s - sent_s)
        headers = self.dialect.upstream_headers(
            head=accepted.head,
            upstream=upstream,
            customer=accepted.customer.name if accepted.customer else None,
            remaining_s=remaining_s,
            last_event_id=accepted.head.last_event_id,
            reservation=None,
        )
        # An attempt that is cut off may have been sent.
        self.found = AttemptFinding.of(upstream, Finding.NO_RESPONSE, None)
        sent = self.dispatcher.connection_pool(upstream).send(
            cancel_handle=self._cancel_handle,
            method=accepted.head.method,
            target=accepted.head.target,
            headers=headers,
            body=accepted.body,
            head_timeout_s=remaining_s,
            ends_s=accepted.deadline_s,
        )
        if isinstance(sent, Err):
            error = sent.err_value
            if isinstance(error, NotSent):
                self.found = AttemptFinding.of(upstream, Finding.NOT_SENT, None)
                if error.refused:
                    self.dispatcher.connection_refused(upstream)
                if error.late:
                    return AttemptOutcome.LEFT, None
                return AttemptOutcome.UNREACHABLE, None
            return _incomplete_outcome(error.timed_out), None
        return self._read(sent.ok_value, sent_s)

    def _read(
        self, received: UpstreamResponse, sent_s: float
    ) -> tuple[AttemptOutcome, UpstreamResponse]:
        upstream = self.slot.upstream
        finding = finding_of(received, self.accepted.head, self.dialect)
        self.found = AttemptFinding.of(upstream, finding, received)
        if finding.is_of_upstream:
            signals = self.dialect.upstream_signals(received)
            self.dispatcher.response_received(upstream, signals, sent_s=sent_s)
        elif finding.outcome is not None:
            return finding.outcome, received
        try:
            body = received.read_all(self.accepted.deadline_s, self.clock)
        except IncompleteResponse as error:
            outcome = finding.outcome or _incomplete_outcome(error.timed_out)
            return outcome, received
        if finding.outcome is not None:
            return finding.outcome, received
        if received.status >= 500:
            return AttemptOutcome.FAILED, received
        outcome = answer_outcome(received)
        # Its caller would hold half an answer as whole.
        if outcome is AttemptOutcome.ENDED and self.dispatcher.has_ended(upstream):
            return AttemptOutcome.BROKEN, received
        if self._race.claim():
            self.response = FullResponse(
                status=received.status, headers=received.headers, body=body
            )
        return outcome, received

    def _end(self, outcome: AttemptOutcome, received: UpstreamResponse | None) -> None:
        self._cancel_handle.detach()
        if received is not None:
            received.close(keep=keeps_connection(outcome))
        self.dispatcher.attempt_ended(
            self.slot.ticket, self.slot.upstream, self.accepted, outcome
        )
        if outcome in (AttemptOutcome.BROKEN, AttemptOutcome.LEFT):
            self.dispatcher.check_ended(self.slot.upstream)
        self.outcome = outcome
        self._ended.set()
        if self.response is not None:
            self.first.cancel()


class Hedging:
    """One request's second attempt, if it gets one; used by the caller's thread.

    `find_free_slot` is as for `Relocation`. `result` tells what came of it, and
    `attempt` is the second attempt.
    """

    def __init__(
        self,
        *,
        accepted: AcceptedRequest,
        dispatcher: Dispatcher,
        dialect: Dialect,
        clock: Clock,
        find_free_slot: Callable[[], HeldSlot | None],
    ):
        self.result: HedgeResult | None = None
        self.attempt: HedgedAttempt | None = None
        self.after_s = 0.0
        self._accepted = accepted
        self._dispatcher = dispatcher
        self._dialect = dialect
        self._clock = clock
        self._find_free_slot = find_free_slot
        self._plan: HedgePlan | None = None
        self._is_over = False

    def wait_s(self, timeout_s: float, *, may_run_again: bool) -> float:
        """Return how long to wait for the first attempt before a second one is due."""
        accepted = self._accepted
        if (
            self._is_over
            or not may_run_again
            or accepted.route.stream
            or not accepted.route.retryable
            or len(accepted.body) > BODY_BYTES_MAX
        ):
            return timeout_s
        self._plan = self._dispatcher.hedge_plan(accepted)
        return timeout_s if self._plan is None else min(timeout_s, self._plan.delay_s)

    @property
    def is_due(self) -> bool:
        """Whether the wait for the first attempt is over and no second was tried."""
        return self._plan is not None and not self._is_over

    def start(self, first: HeldSlot, first_cancel: CancelHandle, sent_s: float) -> bool:
        """Start a second attempt; return False if there is none."""
        self._is_over = True
        self.after_s = self._clock.monotonic_s() - sent_s
        self._dispatcher.request_overdue(first.upstream, self.after_s)
        started = self._start(first_cancel)
        if isinstance(started, HedgeResult):
            self._finish(started)
            return False
        self.attempt = started
        return True

    def resolve(
        self, response: FullResponse | None, timeout_s: float
    ) -> FullResponse | None:
        """Return the answer that counts; waits for the second if the first failed."""
        attempt = self.attempt
        if attempt is None or self.result is not None:
            return response
        if response is not None and response.status < 500 and attempt.first_answered():
            self._finish(HedgeResult.LOST)
            return response
        second = attempt.wait(timeout_s)
        self._finish(HedgeResult.FAILED if second is None else HedgeResult.WON)
        return second or response

    def cancel(self) -> None:
        """Abort the second attempt, from any thread."""
        if self.attempt is not None:
            self.attempt.cancel()

    def close(self) -> None:
        """Abort the second attempt, and let go of its answer."""
        self.cancel()
        self.attempt = None

    def _start(self, first_cancel: CancelHandle) -> HedgedAttempt | HedgeResult:
        accepted = self._accepted
        if not self._plan.can_be_on_time(
            now_s=self._clock.monotonic_s(),
            on_time_until_s=accepted.first_arrived_s + accepted.route.target_s,
        ):
            return HedgeResult.TOO_LATE
        if not self._dispatcher.take_retry(accepted.service):
            return HedgeResult.NO_RETRY
        slot = self._find_free_slot()
        if slot is None:
            self._dispatcher.return_retry(accepted.service)
            return HedgeResult.NO_SLOT
        attempt = HedgedAttempt(
            accepted=accepted,
            dispatcher=self._dispatcher,
            dialect=self._dialect,
            clock=self._clock,
            slot=slot,
            first=first_cancel,
        )
        if attempt.start():
            return attempt
        self._dispatcher.return_retry(accepted.service)
        return HedgeResult.NO_THREAD

    def _finish(self, result: HedgeResult) -> None:
        self.result = result
        self._dispatcher.hedge_ended(self._accepted, result, after_s=self.after_s)


def _incomplete_outcome(timed_out: bool) -> AttemptOutcome:
    return AttemptOutcome.SILENT if timed_out else AttemptOutcome.BROKEN
