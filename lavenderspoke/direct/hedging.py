"""Hedged requests: a second attempt for a plain request that takes unusually long.

For the load in which an upstream is several times slower for a fraction of a second, or
stops, while a request runs there that could be answered in time elsewhere.
"""

import enum
import math
from collections import deque

import attrs

# Share of a kind's requests that are answered before another one gets a second attempt:
# few enough that the attempts fit into the retry budget.
ANSWERED_SHARE = 0.95
# How many times the usual time must have passed, at least: where times differ little, a
# longer one may come from the request itself.
USUAL_TIMES_MIN = 2.0
# Answers of a kind that count, and how many there must be.
ANSWERS_MAX = 200
ANSWERS_MIN = 40
# Answers after which the times are sorted again.
SORT_INTERVAL = 20

Kind = tuple[str, str]
"""Service and route."""


class HedgeResult(enum.Enum):
    """What came of a request that took longer than nearly all of its kind."""

    WON = "won"
    LOST = "lost"  # the first attempt was answered first
    FAILED = "failed"
    NO_RETRY = "no_retry"
    NO_SLOT = "no_slot"
    NO_THREAD = "no_thread"
    TOO_LATE = "too_late"  # the second answer couldn't be on time any more


@attrs.frozen(kw_only=True)
class HedgePlan:
    """When a request gets a second attempt.

    It does `delay_s` after it was sent, if an answer that takes `usual_s` from then on
    is still on time.

    >>> plan = HedgePlan(delay_s=0.06, usual_s=0.02)
    >>> plan.can_be_on_time(now_s=0.07, on_time_until_s=0.1)
    True
    >>> plan.can_be_on_time(now_s=0.09, on_time_until_s=0.1)
    False
    """

    delay_s: float
    usual_s: float

    def can_be_on_time(self, *, now_s: float, on_time_until_s: float) -> bool:
        """Return whether a second attempt can be answered on time."""
        return now_s + self.usual_s <= on_time_until_s


class HedgeTimer:
    """How long plain requests take, by kind.

    >>> timer = HedgeTimer()
    >>> for n in range(100):
    ...     timer.record(("s", "r"), 0.5 if n % 25 == 0 else 0.02)
    >>> timer.plan(("s", "r")).usual_s
    0.02
    >>> timer.plan(("s", "another")) is None
    True
    """

    def __init__(self):
        self._times: dict[Kind, _Times] = {}

    def record(self, kind: Kind, took_s: float) -> None:
        """Record a request that was answered, or given up, after so long."""
        if took_s > 0.0:
            self._times.setdefault(kind, _Times()).add(took_s)

    def plan(self, kind: Kind) -> HedgePlan | None:
        """Return when a request of that kind is hedged, None if too few are known."""
        times = self._times.get(kind)
        return times.plan if times is not None else None


@attrs.define(kw_only=True)
class _Times:
    """The last times of one kind."""

    plan: HedgePlan | None = None
    _last_s: deque[float] = attrs.field(factory=lambda: deque(maxlen=ANSWERS_MAX))
    _unsorted: int = 0

    def add(self, took_s: float) -> None:
        self._last_s.append(took_s)
        self._unsorted += 1
        if len(self._last_s) >= ANSWERS_MIN and self._unsorted >= SORT_INTERVAL:
            self._unsorted = 0
            ordered = sorted(self._last_s)
            nearly_all = math.ceil(len(ordered) * ANSWERED_SHARE) - 1
            usual_s = ordered[len(ordered) // 2]
            self.plan = HedgePlan(
                delay_s=max(ordered[nearly_all], usual_s * USUAL_TIMES_MIN),
                usual_s=usual_s,
            )
