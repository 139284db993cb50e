"""How many tokens of an answer a service's engines write per step."""

import attrs

# Tokens written per step before any answer was measured.
TOKENS_PER_STEP_INITIAL = 4.0
# Weight of all earlier answers at each new one: about two hundred count. The lengths of
# answers differ a hundredfold, so that with fewer the longest would weigh too much.
DECAY = 0.995
# Decayed sum of tokens from which on the measurement is used.
TOKENS_MIN = 2000.0
# Bounds of the estimate: no engine writes fewer or more tokens per step.
TOKENS_PER_STEP_RANGE = (1.0, 256.0)


@attrs.define(kw_only=True)
class DecodeRate:
    """Answer tokens that are written per step, the time between two events.

    Estimated from complete streams: the tokens that the caller expected against the
    events that came. Where callers systematically expect too much or too little, the
    estimate includes that, so that times derived from expected tokens are still right.

    >>> rate = DecodeRate()
    >>> for _ in range(20):
    ...     rate.record(tokens=400, steps=50)
    >>> rate.tokens_per_step
    8.0
    """

    _tokens: float = 0.0
    _steps: float = 0.0

    @property
    def tokens_per_step(self) -> float:
        """The estimate, or the initial one until enough was measured."""
        if self._tokens < TOKENS_MIN or self._steps <= 0.0:
            return TOKENS_PER_STEP_INITIAL
        rate_min, rate_max = TOKENS_PER_STEP_RANGE
        return min(max(self._tokens / self._steps, rate_min), rate_max)

    def record(self, *, tokens: int, steps: int) -> None:
        """Record the expected tokens and the events of a complete stream."""
        if tokens <= 0:
            return
        self._tokens = self._tokens * DECAY + tokens
        self._steps = self._steps * DECAY + steps
