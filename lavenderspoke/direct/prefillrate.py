"""How fast a service's engines read prompts, estimated from first events."""

import attrs

# Prompt tokens read per step before any were measured.
TOKENS_PER_STEP_INITIAL = 650.0
# Weight of the earlier first events at each new one: about fifty count.
DECAY = 0.98
# Decayed sum of prompt tokens from which on the measurement is used: a few short
# prompts say little beside the noise of concurrent requests.
TOKENS_MIN = 20_000.0
# Bounds of the estimate: no engine reads fewer or more tokens per step.
TOKENS_PER_STEP_RANGE = (100.0, 20_000.0)


@attrs.define(kw_only=True)
class PrefillRate:
    """Prompt tokens that an engine reads per step, the time between two events.

    A service's engines are alike in this even where their speeds differ several times,
    since reading and writing slow down together. It is the slope of a regression line
    through the origin, of tokens over steps, in which older points decay.

    >>> rate = PrefillRate()
    >>> for _ in range(20):
    ...     rate.record(tokens=5000.0, steps=2.0)
    >>> round(rate.tokens_per_step)
    2500
    """

    _tokens: float = 0.0
    _squares: float = 0.0
    _products: float = 0.0

    @property
    def tokens_per_step(self) -> float:
        """The estimate, or the initial one until enough was measured."""
        if self._tokens < TOKENS_MIN or self._products <= 0.0:
            return TOKENS_PER_STEP_INITIAL
        rate_min, rate_max = TOKENS_PER_STEP_RANGE
        return min(max(self._squares / self._products, rate_min), rate_max)

    def record(self, *, tokens: float, steps: float) -> None:
        """Record the prompt tokens and the prefill steps before a first event."""
        self._tokens = self._tokens * DECAY + tokens
        self._squares = self._squares * DECAY + tokens * tokens
        self._products = self._products * DECAY + tokens * max(0.0, steps)
