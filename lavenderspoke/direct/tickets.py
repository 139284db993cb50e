"""Requests in line, and what is decided on them.

All times are seconds on the clock of the scheduler's caller.
"""

import enum
from collections.abc import Callable

import attrs

from lavenderspoke.direct.instances import Upstream
from lavenderspoke.direct.pool import LatencyEstimate

# The part of its target that a request waits at most, so that its first byte
# can still come on time.
ON_TIME_PART = 0.7

Rank = tuple[int, int]
"""The customer's rank, then the route's; the smallest goes first."""


class Refusal(enum.Enum):
    """Why a request is refused before it was sent to any upstream."""

    CROWDED = "crowded"
    WAITED_TOO_LONG = "waited_too_long"
    NO_UPSTREAM = "no_upstream"


@attrs.frozen(kw_only=True)
class Dispatch:
    """Send the request to this upstream now."""

    upstream: Upstream


@attrs.frozen(kw_only=True)
class Refuse:
    """Refuse the request; it has not run and never will."""

    reason: Refusal
    retry_after_s: float


Decision = Dispatch | Refuse


@attrs.define(kw_only=True, eq=False)
class Ticket:
    """A request's place in line.

    `target_s` counts from `first_s`, when its caller asked for the first time, and
    `patience_s` from `quiet_since_s`, when it arrived or got the last event of its
    stream: after so long without another one its caller leaves.
    `excluded` holds upstreams it was sent to before; one that is `repeatable` may be
    sent to another one after it failed. One that may not wait is decided
    on before `submit` returns. Once it was sent, `outlook` is what it met there,
    `expected_first_s` the time to its first byte and `expected_first_steps` the
    upstream's steps until then; its first event came at `began_s`, and a whole stream
    was of `events`. `decided` is called once with the
    decision, under the scheduler's lock: it must not block.
    """

    request_id: str
    service: str
    route: str = ""
    rank: Rank
    prompt_tokens: int
    answer_tokens: int
    first_arrived_s: float
    idle_since_s: float
    deadline_s: float
    target_s: float
    patience_s: float
    resubmitted: bool
    on_decision: Callable[[Decision], None]
    excluded: set[str] = attrs.field(factory=set)
    may_wait: bool = True
    retryable: bool = False
    number: int = 0
    is_late: bool = False
    waits_until_s: float = 0.0
    sent_s: float = 0.0
    estimate: LatencyEstimate | None = None
    expected_first_byte_s: float = 0.0
    expected_first_byte_steps: float = 0.0
    first_event_s: float | None = None
    events: int = 0

    @property
    def on_time_until_s(self) -> float:
        """Until when it may wait and still be answered on time."""
        return self.first_arrived_s + self.target_s * ON_TIME_PART
