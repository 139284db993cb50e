"""Measures how fast waiting requests leave an entry, by tier.

A tier's rate is the cost of the requests granted at its rank and above, divided
by the time in which requests of its rank were waiting. So it measures the
capacity available to the tier rather than its arrival rate. A tier that never had
a backlog has no estimate; one whose backlog ended keeps the last.
"""

import math

import attrs

# Decay time constant, in seconds of backlogged time.
TIME_CONSTANT_S = 10.0
# The shortest backlogged time from which a rate is estimated.
BACKLOGGED_MIN_S = 0.5


@attrs.define(kw_only=True)
class _DecayingSums:
    tokens: float = 0.0
    requests: float = 0.0
    backlogged_s: float = 0.0

    def add(self, *, tokens: int, requests: int, elapsed_s: float) -> None:
        decay = math.exp(-elapsed_s / TIME_CONSTANT_S)
        self.tokens = self.tokens * decay + tokens
        self.requests = self.requests * decay + requests
        self.backlogged_s = self.backlogged_s * decay + elapsed_s


class DrainRate:
    """The exponentially weighted drain rate of each tier.

    >>> drain = DrainRate()
    >>> for second in range(4):
    ...     drain.record_grant(1, 100, float(second), {1: 5})
    >>> drain.tokens_per_s(1)
    100.0
    """

    def __init__(self):
        self._rates: dict[int, _DecayingSums] = {}
        self._waiting: dict[int, int] = {}
        self._last_grant_s = 0.0

    def record_grant(
        self, rank: int, tokens: int, now_s: float, still_waiting: dict[int, int]
    ) -> None:
        """Record a granted request; `still_waiting` has the counts by rank after it.

        The time since the previous grant counts as backlogged for the tiers that
        had requests waiting after that grant.
        """
        elapsed_s = max(0.0, now_s - self._last_grant_s)
        for waiting_rank in self._waiting:
            is_counted = waiting_rank <= rank
            self._rates.setdefault(waiting_rank, _DecayingSums()).add(
                tokens=tokens if is_counted else 0,
                requests=1 if is_counted else 0,
                elapsed_s=elapsed_s,
            )
        self._waiting = still_waiting
        self._last_grant_s = now_s

    def tokens_per_s(self, rank: int) -> float | None:
        """Return the drain rate in tokens per second, or None if not measured."""
        rate = self._measured_rate(rank)
        return None if rate is None else rate.tokens / rate.backlogged_s

    def requests_per_s(self, rank: int) -> float | None:
        """Return the drain rate in requests per second, or None if not measured."""
        rate = self._measured_rate(rank)
        return None if rate is None else rate.requests / rate.backlogged_s

    def _measured_rate(self, rank: int) -> _DecayingSums | None:
        rate = self._rates.get(rank)
        if rate is None or rate.backlogged_s < BACKLOGGED_MIN_S or not rate.tokens:
            return None
        return rate
