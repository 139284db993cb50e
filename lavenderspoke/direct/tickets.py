"""Requests in a queue, and the decisions on them.

All times are in seconds on the scheduler's clock.
"""

import enum
from collections.abc import Callable, Mapping

import attrs

from lavenderspoke.direct.instances import Upstream
from lavenderspoke.direct.upstreamstate import LatencyEstimate

# Share of its target after which a waiting request counts as late: its first byte could
# hardly be on time then.
ON_TIME_WAIT_SHARE = 0.7

Rank = tuple[int, int]
"""The customer's rank and the route's rank; the smallest goes first."""


class Refusal(enum.Enum):
    """Why a request is refused before it is sent to an upstream."""

    CROWDED = "crowded"
    WAITED_TOO_LONG = "waited_too_long"
    NO_UPSTREAM = "no_upstream"
    QUARANTINED = "quarantined"
    VERSION_GONE = "version_gone"


@attrs.frozen(kw_only=True)
class Dispatch:
    """Send the request to this upstream now.

    `held_back` are the upstreams that take no request now by their own word, and why.
    `deferred` tells why requests of other customers went first, if they did.
    `spillover` tells why it left the entry's data centre, if it did.
    `slow` are those that were slow at the moment, and how many times slower than usual.
    """

    upstream: Upstream
    held_back: dict[str, str] = attrs.field(factory=dict)
    deferred: str = ""
    spillover: str = ""
    slow: Mapping[str, float] = attrs.field(factory=dict)


@attrs.frozen(kw_only=True)
class Refuse:
    """Refuse the request: it hasn't run and won't run.

    `held_back` and `deferred` are as in `Dispatch`. Without `retry_after_s`, coming
    back makes no sense.
    """

    reason: Refusal
    retry_after_s: float | None = None
    held_back: dict[str, str] = attrs.field(factory=dict)
    deferred: str = ""


Decision = Dispatch | Refuse


@attrs.define(kw_only=True, eq=False)
class Ticket:
    """A request in a queue, and after its dispatch at an upstream.

    `fingerprint` is the hash of its content, and `shared_parts` are the parts of its
    prompt that others may share. `target_s` is counted from
    `first_arrived_s`, when the caller sent it first. The caller gives up `patience_s`
    after `idle_since_s`, when the request arrived or the last event of its stream
    came. `excluded` names upstreams that it was sent to before. A `retryable` request
    may be sent to another upstream after it failed, and one with a `version` only to
    upstreams of that software version. One without `may_wait` is decided
    before `submit` returns. It is `resubmitted` if it was refused, or sent to an
    upstream, before. The `customer` is empty if it is unknown.

    For logs, `booking` tells which slot is booked for its return, or what it found when
    it returned, and `deferred` why requests of other customers went first, if they did.

    On dispatch, `estimate` is set together with the expected time and number of engine
    steps until the first byte, and `engine_s` to the engine time that its customer is
    charged until it ends. `first_event_s` is when the first event arrived, `heard_s`
    when any did last, and `events` the number of events of a complete stream.
    `on_decision` is called once, under the scheduler's lock, so it must not block.
    """

    request_id: str
    service: str
    route: str = ""
    customer: str = ""
    fingerprint: str = ""
    shared_parts: tuple[str, ...] = ()
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
    version: str | None = None
    may_wait: bool = True
    retryable: bool = False
    booking: str = ""
    number: int = 0
    is_late: bool = False
    waits_until_s: float = 0.0
    deferred: str = ""
    sent_s: float = 0.0
    estimate: LatencyEstimate | None = None
    expected_first_byte_s: float = 0.0
    expected_first_byte_steps: float = 0.0
    engine_s: float = 0.0
    heard_s: float = 0.0
    first_event_s: float | None = None
    events: int = 0

    @property
    def on_time_until_s(self) -> float:
        """The time until which it may wait and still be answered on time."""
        return self.first_arrived_s + self.target_s * ON_TIME_WAIT_SHARE
