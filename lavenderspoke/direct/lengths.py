"""How often a rank's longest answers are served, against all of its answers.

Short answers go before long ones of their rank while capacity is short. By that alone
callers of the longest would hardly ever be served, however long the shortage lasts.
"""

import attrs

# The part of a rank's requests that counts as long.
LONG_PART = 0.1
# Long answers are served so many times as often as all of their rank, at least.
SERVED_TIMES = 0.6
# Weight of all requests before the newest: some fifty count.
KEPT = 0.98
# By what part of itself the length from which answers are long moves at a request.
LENGTH_STEP = 0.05


@attrs.define(kw_only=True)
class _Counts:
    came: float = 0.0
    served: float = 0.0

    def fade(self) -> None:
        self.came *= KEPT
        self.served *= KEPT


@attrs.define(kw_only=True)
class AnswerLengths:
    """What came and was served of one rank lately.

    >>> lengths = AnswerLengths()
    >>> for tokens in [10] * 18 + [500, 500]:
    ...     lengths.record_arrival(tokens)
    >>> lengths.record_dispatch(10)
    >>> lengths.is_long(500), lengths.is_long(10), lengths.is_long_underserved()
    (True, False, True)
    """

    _long_from_tokens: float = 0.0
    _all: _Counts = attrs.field(factory=_Counts)
    _long: _Counts = attrs.field(factory=_Counts)

    def record_arrival(self, tokens: int) -> None:
        """Count a request that asks for the first time."""
        self._all.fade()
        self._long.fade()
        self._all.came += 1.0
        self._long.came += self.is_long(tokens)
        self._follow(tokens)

    def record_dispatch(self, tokens: int) -> None:
        """Count a request that was sent to an upstream."""
        self._all.served += 1.0
        self._long.served += self.is_long(tokens)

    def is_long(self, tokens: int) -> bool:
        """Return whether an answer is one of the longest of the rank."""
        return tokens > self._long_from_tokens

    def is_long_underserved(self) -> bool:
        """Return whether long answers are served too rarely."""
        due = SERVED_TIMES * self._all.served * self._long.came
        return self._long.served * self._all.came < due

    def _follow(self, tokens: int) -> None:
        """Move the length above which that part of the requests lies."""
        step_tokens = max(1.0, self._long_from_tokens * LENGTH_STEP)
        if self.is_long(tokens):
            self._long_from_tokens += step_tokens * (1.0 - LONG_PART)
        else:
            lower_tokens = self._long_from_tokens - step_tokens * LONG_PART
            # Where nothing is said of lengths none is long.
            self._long_from_tokens = max(0.0, lower_tokens)
