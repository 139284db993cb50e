"""Accepted requests, their results, and what a handler needs of the dispatcher."""

import enum
from collections.abc import Iterator
from typing import Protocol

import attrs

from lavenderspoke.direct.catalog import Customer, Route
from lavenderspoke.direct.dialect import RequestHead
from lavenderspoke.direct.exchange import ConnectionPool, UpstreamResponse
from lavenderspoke.direct.hedging import HedgePlan, HedgeResult
from lavenderspoke.direct.instances import Upstream
from lavenderspoke.direct.tickets import Rank, Ticket
from lavenderspoke.http.framing import Framing
from lavenderspoke.http.hopbyhop import Headers
from lavenderspoke.http.upstreamsignals import UpstreamSignals
from lavenderspoke.problems import Problem
from lavenderspoke.resources.heldbody import HeldBytes


@attrs.frozen(kw_only=True)
class AcceptedRequest:
    """A request that may be sent, with all that was decided on arrival.

    `first_arrived_s` is when the caller sent it for the first time, which for a
    `resubmitted` request is before `arrived_s`. `deadline_s` is the caller's deadline
    or the end of the route's timeout, whichever comes first. A stream that its caller
    takes up goes on at `stream_version`.
    """

    head: RequestHead
    body: bytes
    route: Route
    service: str
    customer: Customer | None
    rank: Rank
    fingerprint: str
    resubmitted: bool
    first_arrived_s: float
    arrived_s: float
    deadline_s: float
    version: int
    stream_version: str | None = None

    def drop_body(self) -> None:
        """Let go of a large body once the request has ended.

        Requests, their attempts and tickets refer to each other, and so stay until the
        next collection of garbage.
        """
        if isinstance(self.body, HeldBytes):
            object.__setattr__(self, "body", b"")


@attrs.frozen(kw_only=True)
class FullResponse:
    """An upstream's response with its whole body."""

    status: int
    headers: Headers
    body: bytes


@attrs.frozen(kw_only=True)
class StreamResponse:
    """An upstream's stream whose first events have arrived."""

    status: int
    headers: Headers
    chunks: Iterator[bytes]


HandlerResult = FullResponse | StreamResponse | Problem


class AttemptOutcome(enum.Enum):
    """The result of one attempt at an upstream."""

    ANSWERED = "answered"
    ENDED = "ended"  # looks whole, and its connection's end was all that ended it
    FAILED = "failed"  # the upstream's own error, or no valid response
    BROKEN = "broken"  # the connection broke; it may have run
    SILENT = "silent"  # a read timed out; it may have run
    UNREACHABLE = "unreachable"  # no connection; it has not run
    NOT_RUN = "not_run"  # the upstream says that it did not run it
    MISDIRECTED = "misdirected"  # another upstream responded; it has not run
    LEFT = "left"  # ended here: the caller has gone, or the deadline expired

    @property
    def is_answer(self) -> bool:
        """Whether the caller got an answer that counts as whole."""
        return self in (AttemptOutcome.ANSWERED, AttemptOutcome.ENDED)


def answer_outcome(response: UpstreamResponse) -> AttemptOutcome:
    """Return the outcome of an attempt whose response was read to its end."""
    if response.framing is Framing.CONNECTION_END:
        return AttemptOutcome.ENDED
    return AttemptOutcome.ANSWERED


def keeps_connection(outcome: AttemptOutcome) -> bool:
    """Return whether the connection of such an attempt may be used again."""
    return outcome.is_answer or outcome in (
        AttemptOutcome.FAILED,
        AttemptOutcome.NOT_RUN,
    )


class RelocationResult(enum.Enum):
    """What came of trying to relocate a request."""

    FOUND = "found"
    NO_RETRY = "no_retry"
    NO_PLACE = "no_place"
    NOT_RESERVED = "not_reserved"  # the other upstream didn't confirm the slot
    SPOKE = "spoke"  # the silent upstream sent data meanwhile


class Dispatcher(Protocol):
    """What a request handler needs of its entry; thread-safe."""

    def submit(self, ticket: Ticket) -> None:
        """Queue a request."""

    def withdraw(self, ticket: Ticket) -> bool:
        """Remove a request from the queue; return False if it wasn't waiting."""

    def first_event_received(self, ticket: Ticket, upstream: Upstream) -> None:
        """Record that the first event of a stream has arrived."""

    def response_received(
        self, upstream: Upstream, signals: UpstreamSignals, *, sent_s: float
    ) -> None:
        """Record what a response says about its upstream.

        Its request was sent at `sent_s`, on the clock of the dispatcher.
        """

    def takes_requests(self, upstream: Upstream) -> bool:
        """Return whether an upstream has not said that it leaves or needs a pause."""

    def reserved_slot_used(self, upstream: Upstream) -> None:
        """Record that a request follows the one that reserved its slot."""

    def blocked_s(self, service: str) -> float:
        """Return the time until any of a service's upstreams takes a request again.

        In seconds, by what the upstreams said themselves; 0 if one takes it now.
        """

    def attempt_ended(
        self,
        ticket: Ticket,
        upstream: Upstream,
        accepted: AcceptedRequest,
        outcome: AttemptOutcome,
    ) -> None:
        """Release the slot at an upstream and record the attempt's outcome."""

    def stream_began(self, attempt_id: str, upstream: Upstream) -> None:
        """Record the version at which a stream began, and tell other entries.

        Called before its first event goes out; may wait for them for a moment.
        """

    def stream_goes_on(
        self, attempt_id: str, upstream: Upstream, *, told_s: float
    ) -> float:
        """Tell others again of a long stream; return when they were told last."""

    def is_quarantined(self, accepted: AcceptedRequest) -> bool:
        """Return whether the request's content has crashed upstreams."""

    def connection_refused(self, upstream: Upstream) -> None:
        """Record that nothing listens at an upstream's address."""

    def check_ended(self, upstream: Upstream) -> None:
        """Find out whether an upstream has ended that broke off an answer.

        This may take some 0.1 s.
        """

    def has_ended(self, upstream: Upstream) -> bool:
        """Return whether an upstream has ended without having said that it leaves.

        If that isn't known, this connects to it, which may take some 0.1 s.
        """

    def release_slot(self, ticket: Ticket, upstream: Upstream) -> None:
        """Release a slot to which nothing was sent."""

    def connection_pool(self, upstream: Upstream) -> ConnectionPool:
        """Return the connection pool of an upstream."""

    def take_retry(self, service: str) -> bool:
        """Take a retry from the service's budget; return False if none is left."""

    def return_retry(self, service: str) -> None:
        """Return a retry that was taken and not used."""

    def relocation_checked(self, result: RelocationResult) -> None:
        """Count the result of trying to relocate a request."""

    def hedge_plan(self, accepted: AcceptedRequest) -> HedgePlan | None:
        """Return when a plain request gets a second attempt, None if it gets none."""

    def request_overdue(self, upstream: Upstream, elapsed_s: float) -> None:
        """Record a plain request that takes longer than nearly all of its kind."""

    def hedge_ended(
        self, accepted: AcceptedRequest, result: HedgeResult, *, after_s: float
    ) -> None:
        """Record what came of a second attempt, due `after_s` after the first."""

    def stream_completed(self, ticket: Ticket, steps: int) -> None:
        """Record the steps of a complete stream, its reads that brought events."""

    def event_interval_measured(
        self, ticket: Ticket, upstream: Upstream, step_s: float
    ) -> None:
        """Record the time between two events of a stream, in seconds."""
