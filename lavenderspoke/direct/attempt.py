"""One attempt of a request at one upstream, and what it waited for."""

import enum

import attrs

from lavenderspoke.direct.dispatcher import AcceptedRequest, AttemptOutcome
from lavenderspoke.direct.exchange import CancelHandle, UpstreamResponse
from lavenderspoke.direct.instances import Upstream
from lavenderspoke.direct.relocation import HeldSlot
from lavenderspoke.direct.runproof import AttemptFinding, Finding
from lavenderspoke.direct.tickets import Ticket

# Counts the attempts by what they waited for last and what ended the wait.
WAIT_ENDS_METRIC = "direct_wait_ends"


class AwaitedPart(enum.StrEnum):
    """The part of a response that an attempt waits for.

    Until the `HEAD` has come the request may still be on its way.
    """

    HEAD = "head"
    BODY = "body"
    FIRST_EVENT = "first_event"
    NEXT_EVENT = "next_event"


class WaitEnd(enum.StrEnum):
    """What ended the last wait of an attempt, where its outcome doesn't tell.

    `ANOTHER_ATTEMPT` is a second one beside it that was answered first.
    """

    DEADLINE = "deadline"
    CALLER = "caller"
    ANOTHER_ATTEMPT = "another_attempt"


@attrs.frozen(kw_only=True)
class Wait:
    """The last wait of an attempt, in seconds since its request was sent.

    >>> wait = Wait(
    ...     upstream_id="m",
    ...     awaited=AwaitedPart.HEAD,
    ...     elapsed_s=1.4,
    ...     received_bytes=14,
    ...     end="silent",
    ... )
    >>> str(wait)
    'm: head, 1.400 s, 14 bytes, silent'
    """

    upstream_id: str
    awaited: AwaitedPart
    elapsed_s: float
    received_bytes: int
    end: str

    def __str__(self) -> str:
        return (
            f"{self.upstream_id}: {self.awaited}, {self.elapsed_s:.3f} s, "
            f"{self.received_bytes} bytes, {self.end}"
        )


@attrs.define(kw_only=True)
class Attempt:
    """An attempt and its outcome so far; times are in seconds on the entry's clock.

    `events` is the number of reads that brought events of a stream, and
    `unread_head_bytes` were received of a head that didn't come whole.
    """

    slot: HeldSlot
    cancel_handle: CancelHandle
    accepted: AcceptedRequest
    sent_s: float | None = None
    events: int = 0
    unread_head_bytes: int = 0
    response: UpstreamResponse | None = None
    finding: Finding = Finding.NOT_SENT
    outcome: AttemptOutcome | None = None
    detail: str = ""

    @property
    def upstream(self) -> Upstream:
        return self.slot.upstream

    @property
    def ticket(self) -> Ticket:
        return self.slot.ticket

    @property
    def found(self) -> AttemptFinding:
        """What is known of it from its response so far."""
        return AttemptFinding.of(self.upstream, self.finding, self.response)

    @property
    def awaited(self) -> AwaitedPart:
        """The part of the response that it waits for, or waited for last."""
        if self.response is None:
            return AwaitedPart.HEAD
        if not self.accepted.route.stream:
            return AwaitedPart.BODY
        return AwaitedPart.NEXT_EVENT if self.events else AwaitedPart.FIRST_EVENT

    @property
    def received_bytes(self) -> int:
        """All bytes that the upstream has sent."""
        if self.response is None:
            return self.unread_head_bytes
        return self.response.received_bytes

    @property
    def is_unfinished(self) -> bool:
        """Whether bytes of a body came, but neither its end nor a whole event."""
        has_begun = self.response is not None and self.response.has_body_bytes
        return has_begun and not self.events

    def last_wait(self, *, caller_gone: bool, now_s: float) -> Wait:
        """Return its last wait, which ended at `now_s` as did the attempt."""
        sent_s = now_s if self.sent_s is None else self.sent_s
        return Wait(
            upstream_id=self.upstream.upstream_id,
            awaited=self.awaited,
            elapsed_s=now_s - sent_s,
            received_bytes=self.received_bytes,
            end=self._end(caller_gone, now_s),
        )

    def _end(self, caller_gone: bool, now_s: float) -> str:
        if self.outcome not in (AttemptOutcome.LEFT, AttemptOutcome.SILENT):
            return self.outcome.value
        if caller_gone:
            return WaitEnd.CALLER.value
        if now_s >= self.accepted.deadline_s:
            return WaitEnd.DEADLINE.value
        if self.cancel_handle.cancelled:
            return WaitEnd.ANOTHER_ATTEMPT.value
        return self.outcome.value
