"""How fast waiting work leaves an entry, measured by tier.

The rate of a tier counts what left at its rank and above, over the time in
which something of its rank was left waiting. So it is the capacity that the
tier can count on, not the rate of arrivals, and an idle tier has no estimate.
"""

import math

import attrs

TIME_CONSTANT_S = 10.0
# Less backlogged time than this gives no estimate.
MEASURED_MIN_S = 0.5


@attrs.define(kw_only=True)
class _Rate:
    tokens: float = 0.0
    requests: float = 0.0
    backlogged_s: float = 0.0

    def add(self, *, tokens: int, requests: int, elapsed_s: float) -> None:
        kept = math.exp(-elapsed_s / TIME_CONSTANT_S)
        self.tokens = self.tokens * kept + tokens
        self.requests = self.requests * kept + requests
        self.backlogged_s = self.backlogged_s * kept + elapsed_s


class DrainRate:
    """The exponentially weighted drain rate of each tier.

    >>> drain = DrainRate()
    >>> for second in range(4):
    ...     drain.record_grant(1, 100, float(second), {1: 5})
    >>> drain.tokens_per_s(1)
    100.0
    """

    def __init__(self):
        self._rates: dict[int, _Rate] = {}
        self._waiting: dict[int, int] = {}
        self._last_s = 0.0

    def record_grant(
        self, rank: int, tokens: int, now_s: float, still_waiting: dict[int, int]
    ) -> None:
        """Count a request that left; `still_waiting` is the queue's new counts.

        The time since the one before counts for those tiers in which something
        had been left waiting all along.
        """
        elapsed_s = max(0.0, now_s - self._last_s)
        for waiting in self._waiting:
            counted = waiting <= rank
            self._rates.setdefault(waiting, _Rate()).add(
                tokens=tokens if counted else 0,
                requests=1 if counted else 0,
                elapsed_s=elapsed_s,
            )
        self._waiting = still_waiting
        self._last_s = now_s

    def tokens_per_s(self, rank: int) -> float | None:
        """Return the tokens that leave each second, or None when not known."""
        rate = self._known(rank)
        return None if rate is None else rate.tokens / rate.backlogged_s

    def requests_per_s(self, rank: int) -> float | None:
        """Return the requests that leave each second, or None when not known."""
        rate = self._known(rank)
        return None if rate is None else rate.requests / rate.backlogged_s

    def _known(self, rank: int) -> _Rate | None:
        rate = self._rates.get(rank)
        if rate is None or rate.backlogged_s < MEASURED_MIN_S or not rate.tokens:
            return None
        return rate
