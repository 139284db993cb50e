"""A limit on an engine's concurrent requests that adapts to its latency.

An engine admits every request and queues internally, where tiers have no
effect. So the agent limits the requests in flight by the latencies that it
measures itself: additive increase while the limit is reached and the engine is
fast, multiplicative decrease while the engine is slow.
"""

from statistics import median

# Samples of first-token latency for each adjustment.
WINDOW_SAMPLES = 8
# The engine is congested if a window's median exceeds this many times the baseline.
CONGESTED_RATIO = 5.0
# Largest relative rise of the baseline per window, to follow a slower engine.
BASELINE_GROWTH = 0.02
DECREASE_FACTOR = 0.8
# Weight of the newest step in the moving average of the step time.
STEP_WEIGHT = 0.1


class ConcurrencyLimit:
    """The learned limit of one engine, between 1 and `slots_max`.

    `step_max_s` is the longest acceptable time between tokens; None means no
    bound. Latencies are compared by the median of a window, so that one prompt
    a hundred times longer isn't mistaken for congestion.
    """

    def __init__(self, *, slots_max: int, step_max_s: float | None = None):
        self._slots_max = slots_max
        self._step_max_s = step_max_s
        self._limit = max(1.0, slots_max / 2)
        self._baseline_s: float | None = None
        self._step_s: float | None = None
        self._samples_s: list[float] = []
        self._is_limit_reached = False

    @property
    def limit(self) -> int:
        """The maximum number of concurrent requests."""
        return max(1, int(self._limit))

    def free_slots(self, running: int) -> int:
        """Return how many more requests may start besides the running ones."""
        return max(0, self.limit - running)

    def is_congested(self, latency_s: float) -> bool:
        """Return whether a first-token latency indicates congestion."""
        return (
            self._baseline_s is not None
            and latency_s > CONGESTED_RATIO * self._baseline_s
        )

    def record_step(self, step_s: float) -> None:
        """Record the duration of one engine step."""
        if self._step_s is None:
            self._step_s = step_s
        self._step_s += (step_s - self._step_s) * STEP_WEIGHT

    def record_first_token(self, latency_s: float, running: int) -> None:
        """Record the time from dispatch to first token with `running` requests."""
        self._samples_s.append(latency_s)
        self._is_limit_reached = self._is_limit_reached or running >= self.limit
        if len(self._samples_s) >= WINDOW_SAMPLES:
            self._adjust(median(self._samples_s))
            self._samples_s = []
            self._is_limit_reached = False

    def _adjust(self, latency_s: float) -> None:
        if self._baseline_s is None:
            self._baseline_s = latency_s
        raised_s = self._baseline_s * (1.0 + BASELINE_GROWTH)
        self._baseline_s = min(raised_s, latency_s)
        has_slow_steps = (
            self._step_max_s is not None
            and self._step_s is not None
            and self._step_s > self._step_max_s
        )
        if has_slow_steps or self.is_congested(latency_s):
            self._limit = max(1.0, self._limit * DECREASE_FACTOR)
        elif self._is_limit_reached:
            self._limit = min(float(self._slots_max), self._limit + 1.0)
