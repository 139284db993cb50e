"""How many tokens of an answer a service's engines write in a step."""

import attrs

# Tokens written in the time between two events, before any answer was seen.
TOKENS_PER_STEP_INITIAL = 4.0
# Weight of all answers before the newest one: some two hundred count. Answers differ
# in length by a hundred times, so that fewer would leave the longest too much say.
KEPT = 0.995
# Answers are believed from so many tokens on, in all.
BELIEVED_TOKENS = 2000.0
# No engine writes fewer or more tokens in a step, whatever was seen.
TOKENS_PER_STEP_RANGE = (1.0, 256.0)


@attrs.define(kw_only=True)
class DecodeRate:
    """Tokens of an answer that are written between two events of a stream.

    Learned from whole streams: what was expected of each against the events that it
    had. Where callers expect too much or too little throughout, that is learned with
    it, and a time that follows from expected tokens is right all the same.

    >>> pace = DecodeRate()
    >>> for _ in range(20):
    ...     pace.record(tokens=400, steps=50)
    >>> pace.tokens_per_step
    8.0
    """

    _tokens: float = 0.0
    _steps: float = 0.0

    @property
    def tokens_per_step(self) -> float:
        """The pace, or the initial one until enough was seen."""
        if self._tokens < BELIEVED_TOKENS or self._steps <= 0.0:
            return TOKENS_PER_STEP_INITIAL
        least, most = TOKENS_PER_STEP_RANGE
        return min(max(self._tokens / self._steps, least), most)

    def record(self, *, tokens: int, steps: int) -> None:
        """Count a whole stream of so many events, of which so much was expected."""
        if tokens <= 0:
            return
        self._tokens = self._tokens * KEPT + tokens
        self._steps = self._steps * KEPT + steps
