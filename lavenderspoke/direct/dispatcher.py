"""What an accepted request is, what becomes of it, and what it asks of its entry."""

import enum
from collections.abc import Iterator
from typing import Protocol

import attrs

from lavenderspoke.direct.catalog import Customer, Route
from lavenderspoke.direct.dialect import RequestHead
from lavenderspoke.direct.exchange import ConnectionPool
from lavenderspoke.direct.instances import Upstream
from lavenderspoke.direct.tickets import Rank, Ticket
from lavenderspoke.http.hopbyhop import Headers
from lavenderspoke.problems import Problem


@attrs.frozen(kw_only=True)
class AcceptedRequest:
    """A request that may be sent, with everything that was decided on arrival.

    `first_s` is when the caller asked for the first time, which for one that came
    back is before `arrived_s`. `until_s` is the end of the caller's patience or of
    the route's timeout, whichever comes first.
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


@attrs.frozen(kw_only=True)
class FullResponse:
    """An upstream's answer of known length."""

    status: int
    headers: Headers
    body: bytes


@attrs.frozen(kw_only=True)
class StreamResponse:
    """An upstream's stream whose first events have come."""

    status: int
    headers: Headers
    chunks: Iterator[bytes]


HandlerResult = FullResponse | StreamResponse | Problem


class AttemptOutcome(enum.Enum):
    """What became of one attempt at an upstream."""

    ANSWERED = "answered"
    FAILED = "failed"  # the upstream's own failure, or no proper answer
    BROKEN = "broken"  # the connection broke; it may have run
    SILENT = "silent"  # nothing came in time; it may have run
    UNREACHABLE = "unreachable"  # no connection; it has not run
    NOT_RUN = "not_run"  # the upstream says that it did not run it
    MISDIRECTED = "misdirected"  # another start answers there; it has not run
    LEFT = "left"  # given up by this side: the caller has gone, or time is up


class RelocationResult(enum.Enum):
    """What a look for a place elsewhere found, while an upstream was silent."""

    FOUND = "found"
    NO_RETRY = "no_retry"
    NO_PLACE = "no_place"
    NOT_RESERVED = "not_reserved"  # the upstream didn't confirm the place
    SPOKE = "spoke"  # the silent upstream spoke meanwhile


class Dispatcher(Protocol):
    """What a request asks of its entry; safe for threads."""

    def submit(self, ticket: Ticket) -> None:
        """Put a request in line."""

    def withdraw(self, ticket: Ticket) -> bool:
        """Take it out of the line; False if it has been decided on."""

    def first_event_received(self, ticket: Ticket, upstream: Upstream) -> None:
        """Note its first event."""

    def attempt_ended(
        self,
        ticket: Ticket,
        upstream: Upstream,
        accepted: AcceptedRequest,
        outcome: AttemptOutcome,
    ) -> None:
        """Give its place at an upstream back, and note what became of it."""

    def release_slot(self, ticket: Ticket, upstream: Upstream) -> None:
        """Give a place back to which nothing was sent."""

    def connection_pool(self, upstream: Upstream) -> ConnectionPool:
        """Return the connections of an upstream."""

    def take_retry(self, service: str) -> bool:
        """Take one retry from the service's budget."""

    def return_retry(self, service: str) -> None:
        """Give a retry back that was taken and not sent."""

    def relocation_checked(self, look: RelocationResult) -> None:
        """Count a look for a place elsewhere."""

    def stream_completed(self, ticket: Ticket, steps: int) -> None:
        """Note of how many steps a whole stream was, its first event counted."""

    def event_interval_measured(self, upstream: Upstream, step_s: float) -> None:
        """Note the time between two events of a stream."""
