"""How often the longest answers of a rank are served, compared with all its answers.

While capacity is short, short answers go before long ones of their rank. Without a
guarantee, the longest would hardly ever be served during a shortage.
"""

import attrs

# Share of a rank's requests that count as long.
LONG_SHARE = 0.1
# Least ratio of the served share of long answers to that of all answers of their rank.
LONG_SERVED_RATIO_MIN = 0.6
# Factor by which the counts decay at each arrival: about the last fifty count.
DECAY = 0.98
# Share by which the threshold of long answers moves per request.
THRESHOLD_STEP_SHARE = 0.05


@attrs.define(kw_only=True)
class _Counts:
    arrived: float = 0.0
    dispatched: float = 0.0

    def decay(self) -> None:
        self.arrived *= DECAY
        self.dispatched *= DECAY


@attrs.define(kw_only=True)
class AnswerLengths:
    """Recent arrivals and dispatches of one rank, in all and of long answers.

    >>> lengths = AnswerLengths()
    >>> for tokens in [10] * 18 + [500, 500]:
    ...     lengths.record_arrival(tokens)
    >>> lengths.record_dispatch(10)
    >>> lengths.is_long(500), lengths.is_long(10), lengths.are_long_underserved()
    (True, False, True)
    """

    _long_threshold_tokens: float = 0.0
    _all: _Counts = attrs.field(factory=_Counts)
    _long: _Counts = attrs.field(factory=_Counts)

    def record_arrival(self, tokens: int) -> None:
        """Count a request that its caller sends for the first time."""
        self._all.decay()
        self._long.decay()
        self._all.arrived += 1.0
        self._long.arrived += self.is_long(tokens)
        self._update_threshold(tokens)

    def record_dispatch(self, tokens: int) -> None:
        """Count a request that was sent to an upstream."""
        self._all.dispatched += 1.0
        self._long.dispatched += self.is_long(tokens)

    def is_long(self, tokens: int) -> bool:
        """Return whether an answer is among the longest of the rank."""
        return tokens > self._long_threshold_tokens

    def are_long_underserved(self) -> bool:
        """Return whether long answers are served too rarely."""
        dispatched_min = (
            LONG_SERVED_RATIO_MIN * self._all.dispatched * self._long.arrived
        )
        return self._long.dispatched * self._all.arrived < dispatched_min

    def _update_threshold(self, tokens: int) -> None:
        """Move the threshold towards what `LONG_SHARE` of the requests exceed."""
        step_tokens = max(1.0, self._long_threshold_tokens * THRESHOLD_STEP_SHARE)
        if self.is_long(tokens):
            self._long_threshold_tokens += step_tokens * (1.0 - LONG_SHARE)
        else:
            lower_tokens = self._long_threshold_tokens - step_tokens * LONG_SHARE
            # Requests without an expected length (0 tokens) are never long.
            self._long_threshold_tokens = max(0.0, lower_tokens)
