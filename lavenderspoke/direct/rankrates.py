"""How fast requests of each rank arrive at an entry and leave an upstream."""

import math

import attrs

# Arrivals count for about so long, in seconds: long enough for a rate, short
# enough to notice a burst while it lasts.
ARRIVAL_S = 2.0
# Time that a request holds its place, in seconds, before one has been seen.
HOLD_INITIAL_S = 0.4
# Weight of the newest request in the mean time that a place is held.
HOLD_WEIGHT = 0.05


@attrs.define(kw_only=True)
class RankRates:
    """The rates of one rank at one entry.

    >>> rates = RankRates()
    >>> rates.record_arrival(0.0)
    >>> rates.arrivals_per_s(0.0)
    0.5
    """

    mean_hold_s: float = HOLD_INITIAL_S
    _per_s: float = 0.0
    _at_s: float = 0.0

    def record_arrival(self, now_s: float) -> None:
        """Count an arrival."""
        self._per_s = self.arrivals_per_s(now_s) + 1.0 / ARRIVAL_S
        self._at_s = now_s

    def arrivals_per_s(self, now_s: float) -> float:
        """Return the recent arrivals a second."""
        elapsed_s = max(0.0, now_s - self._at_s)
        return self._per_s * math.exp(-elapsed_s / ARRIVAL_S)

    def record_hold(self, hold_s: float) -> None:
        """Count a place that was held for that long."""
        self.mean_hold_s += (hold_s - self.mean_hold_s) * HOLD_WEIGHT
