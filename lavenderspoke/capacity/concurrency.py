"""How many requests an engine runs at once before it slows them down.

An engine admits whatever it is given and queues inside, where tiers don't
count. So the agent gives it no more than it runs well, learned from what the
agent measures itself: additive increase while the limit is used and the engine
is quick, multiplicative decrease when it isn't.
"""

from statistics import median

# Samples of first-token latency that make up one decision.
WINDOW_SAMPLES = 8
# Congested when the median of a window is above this many times the baseline.
TOLERANCE = 5.0
# The baseline follows a slower engine up by this part a window.
BASELINE_GROWTH = 0.02
DECREASE = 0.8
# Weight of the newest step in the mean step time.
STEP_WEIGHT = 0.1


class ConcurrencyLimit:
    """The limit learned for one engine, between 1 and `slots_max`.

    `step_max_s` bounds the time between tokens where one is wanted. Latencies
    are compared by the median of a window, so that one prompt a hundred times
    longer isn't taken for a slow engine.
    """

    def __init__(self, *, slots_max: int, step_max_s: float | None = None):
        self._slots_max = slots_max
        self._step_max_s = step_max_s
        self._limit = max(1.0, slots_max / 2)
        self._baseline_s: float | None = None
        self._step_s: float | None = None
        self._samples_s: list[float] = []
        self._reached = False

    @property
    def limit(self) -> int:
        """The number of requests to run at once."""
        return max(1, int(self._limit))

    def free_slots(self, running: int) -> int:
        """Return how many more may start beside those that run."""
        return max(0, self.limit - running)

    def is_congested(self, latency_s: float) -> bool:
        """Return whether a first token that comes no sooner means congestion."""
        return self._baseline_s is not None and latency_s > TOLERANCE * self._baseline_s

    def record_step(self, step_s: float) -> None:
        """Take in the time of one engine step."""
        if self._step_s is None:
            self._step_s = step_s
        self._step_s += (step_s - self._step_s) * STEP_WEIGHT

    def record_first_token(self, latency_s: float, running: int) -> None:
        """Take in the time from dispatch to first token with `running` at once."""
        self._samples_s.append(latency_s)
        self._reached = self._reached or running >= self.limit
        if len(self._samples_s) >= WINDOW_SAMPLES:
            self._decide(median(self._samples_s))
            self._samples_s = []
            self._reached = False

    def _decide(self, latency_s: float) -> None:
        if self._baseline_s is None:
            self._baseline_s = latency_s
        grown_s = self._baseline_s * (1.0 + BASELINE_GROWTH)
        self._baseline_s = min(grown_s, latency_s)
        slow_steps = (
            self._step_max_s is not None
            and self._step_s is not None
            and self._step_s > self._step_max_s
        )
        if slow_steps or self.is_congested(latency_s):
            self._limit = max(1.0, self._limit * DECREASE)
        elif self._reached:
            self._limit = min(float(self._slots_max), self._limit + 1.0)
