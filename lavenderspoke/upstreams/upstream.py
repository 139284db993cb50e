"""The upstreams: their interface, and what a run, a report and an order say.

A run is iterated: `UpstreamHead`, then `UpstreamBody` as it comes, and as the
last item exactly one `UpstreamEnd` or error. Only `UpstreamUnreachable` proves
that nothing ran; after any other error the run may have begun, and may still go
on. Nothing here sends a run twice.

    for event in upstream.run(call, timeout_s=30.0):
        match event:
            case UpstreamBody(body=body, event_id=event_id): ...
            case UpstreamBroken(): ...  # resume after the last event_id
"""

import enum
from collections.abc import Iterator
from typing import Protocol

import attrs
from result import Result

from lavenderspoke.model import Call


@attrs.frozen(kw_only=True)
class UpstreamHead:
    """The status and the headers, without hop-by-hop ones."""

    status: int
    headers: tuple[tuple[str, str], ...] = ()


@attrs.frozen(kw_only=True)
class UpstreamBody:
    """A part of the body; of an event stream only whole events.

    `event_id` is the last event's, after which the stream can be resumed.
    """

    body: bytes
    event_id: int | None = None


@attrs.frozen(kw_only=True)
class UpstreamEnd:
    """The answer is whole: by its length, last chunk, last event or proper end."""


@attrs.frozen(kw_only=True)
class UpstreamUnreachable:
    """No connection was made: the request provably didn't run.

    If it was refused (`is_refused`), no process listens at the upstream's address.
    """

    detail: str = ""
    is_refused: bool = False


@attrs.frozen(kw_only=True)
class UpstreamBroken:
    """The request may have run; its answer didn't come whole."""

    detail: str = ""


@attrs.frozen(kw_only=True)
class UpstreamUnknownRun:
    """The upstream doesn't know the id (any more): no proof that it didn't run."""


@attrs.frozen(kw_only=True)
class UpstreamUnsupported:
    """This kind of upstream has no such operation."""


@attrs.frozen(kw_only=True)
class UpstreamCorrupt:
    """The upstream answered something that can't be read."""

    detail: str = ""


@attrs.frozen(kw_only=True)
class OrderFenced:
    """The upstream refused an order: it has seen a higher fencing number."""

    fencing_number: int


RunError = (
    UpstreamUnreachable | UpstreamBroken | UpstreamUnknownRun | UpstreamUnsupported
)
RunEvent = UpstreamHead | UpstreamBody | UpstreamEnd | RunError
UpstreamError = RunError | UpstreamCorrupt | OrderFenced


@attrs.frozen(kw_only=True)
class LoadReport:
    """What an engine says of itself; it lags, so it is a hint.

    `at_s` is on the engine's own clock, `kv_used` a share between 0 and 1.
    """

    running: int
    waiting: int
    step_s: float
    slots: int = 0
    kv_used: float = 0.0
    at_s: float = 0.0


@attrs.frozen(kw_only=True)
class CacheEvent:
    """A prompt block came into the engine's cache or left it."""

    sequence: int
    added: bool
    hash: str


@attrs.frozen(kw_only=True)
class CacheEvents:
    """Cache events in order; to go on, read after `next_sequence - 1`.

    Another incarnation means that the cache is empty and sequences begin anew.
    """

    incarnation: str
    events: tuple[CacheEvent, ...]
    next_sequence: int

    def has_gap(self, after_sequence: int) -> bool:
        """Return whether events after that one are missing.

        >>> CacheEvents(incarnation="a", events=(), next_sequence=3).has_gap(1)
        True
        """
        return len(self.events) != self.next_sequence - after_sequence - 1


class OrderAction(enum.StrEnum):
    """What an engine can be ordered to do."""

    LOAD_MODEL = "load_model"
    LOAD_ADAPTER = "load_adapter"
    LOAD_VERSION = "load_version"
    CHANGE_ROLE = "change_role"


@attrs.frozen(kw_only=True)
class Order:
    """One order, such as loading a model of some name and version."""

    action: OrderAction
    name: str
    version: str = ""


@attrs.frozen(kw_only=True)
class OrderState:
    """The last fencing number that an engine took and the orders in force."""

    fencing: int
    orders: tuple[Order, ...] = ()


class Run(Protocol):
    """The events of one run: an iterator that blocks until the next is there.

    Once it is selectable, a selector may wait on its socket instead, and `take`
    what has come.
    """

    is_ended: bool

    def __iter__(self) -> Iterator[RunEvent]:
        """Iterate over the events."""

    def __next__(self) -> RunEvent:
        """Return the next event."""

    @property
    def is_selectable(self) -> bool:
        """Whether a selector sees all that comes from here on."""

    def fileno(self) -> int:
        """Return the socket's number."""

    def take(self) -> list[RunEvent]:
        """Return the events that have come."""

    def close(self) -> None:
        """Drop the connection; the run itself may go on."""


class Upstream(Protocol):
    """One upstream instance; safe to use from many threads."""

    def run(self, call: Call, *, timeout_s: float) -> Run:
        """Run a call; `timeout_s` bounds each silence of the upstream."""

    def resume(
        self, request_id: str, after_event_id: int | None, *, timeout_s: float
    ) -> Run:
        """Give a run's answer after that event, or from its start for None."""

    def cancel(self, request_id: str) -> Result[None, UpstreamError]:
        """Stop a run, to save work; that it was stopped isn't certain."""

    def load(self) -> Result[LoadReport, UpstreamError]:
        """Return the upstream's own report of its load."""

    def cache_events(self, after_sequence: int) -> Result[CacheEvents, UpstreamError]:
        """Return the cache events after that sequence number; -1 for all."""

    def order(
        self, fencing_number: int, order: Order
    ) -> Result[OrderState, UpstreamError]:
        """Give an order; after `UpstreamBroken` read the state back."""

    def order_state(self) -> Result[OrderState, UpstreamError]:
        """Return which orders are in force."""

    def health(self) -> Result[None, UpstreamError]:
        """Return whether the upstream says that it can work."""
