"""How fast a service's engines read prompts, learned from first events."""

import attrs

# Prompt tokens read in the time between two events, before any were seen.
TOKENS_PER_STEP_INITIAL = 650.0
# Weight of all before the newest first event: some fifty count.
KEPT = 0.98
# Seen prompts are believed from so many tokens on, in all: a few short ones say little
# beside the noise of neighbours.
BELIEVED_TOKENS = 20_000.0
# No engine reads fewer or more tokens in a step, whatever was seen.
TOKENS_PER_STEP_RANGE = (100.0, 20_000.0)


@attrs.define(kw_only=True)
class PrefillRate:
    """Prompt tokens that are read in the time between two events of a stream.

    Engines of a service are alike in this even where their speeds differ several
    times: reading and writing slow down together. It is the slope of a line through
    the origin, of tokens over steps, with old points fading.

    >>> pace = PrefillRate()
    >>> for _ in range(20):
    ...     pace.record(tokens=5000.0, steps=2.0)
    >>> round(pace.tokens_per_step)
    2500
    """

    _tokens: float = 0.0
    _squares: float = 0.0
    _products: float = 0.0

    @property
    def tokens_per_step(self) -> float:
        """The pace, or the initial one until enough was seen."""
        if self._tokens < BELIEVED_TOKENS or self._products <= 0.0:
            return TOKENS_PER_STEP_INITIAL
        least, most = TOKENS_PER_STEP_RANGE
        return min(max(self._squares / self._products, least), most)

    def record(self, *, tokens: float, steps: float) -> None:
        """Count a first event that came so many steps after the request was sent."""
        self._tokens = self._tokens * KEPT + tokens
        self._squares = self._squares * KEPT + tokens * tokens
        self._products = self._products * KEPT + tokens * max(0.0, steps)
