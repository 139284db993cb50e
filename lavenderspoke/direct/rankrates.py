"""How fast requests of a rank arrive at an entry, and how long they hold a slot."""

import math

import attrs

# Time constant of the arrival rate: long enough to average over single arrivals, short
# enough to notice a burst while it lasts.
ARRIVAL_TIME_CONSTANT_S = 2.0
# Mean hold time of a slot before one was measured.
HOLD_INITIAL_S = 0.4
# Weight of the newest request in the mean hold time.
HOLD_WEIGHT = 0.05


@attrs.define(kw_only=True)
class RankRates:
    """Arrival rate and mean hold time of one rank at one entry.

    >>> rates = RankRates()
    >>> rates.record_arrival(0.0)
    >>> rates.arrivals_per_s(0.0)
    0.5
    """

    mean_hold_s: float = HOLD_INITIAL_S
    _arrivals_per_s: float = 0.0
    _updated_s: float = 0.0

    def record_arrival(self, now_s: float) -> None:
        """Count an arrival."""
        self._arrivals_per_s = (
            self.arrivals_per_s(now_s) + 1.0 / ARRIVAL_TIME_CONSTANT_S
        )
        self._updated_s = now_s

    def arrivals_per_s(self, now_s: float) -> float:
        """Return the recent arrivals per second."""
        elapsed_s = max(0.0, now_s - self._updated_s)
        return self._arrivals_per_s * math.exp(-elapsed_s / ARRIVAL_TIME_CONSTANT_S)

    def record_hold(self, hold_s: float) -> None:
        """Record how long a slot was held."""
        self.mean_hold_s += (hold_s - self.mean_hold_s) * HOLD_WEIGHT
