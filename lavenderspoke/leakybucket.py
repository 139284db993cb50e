"""A rate limit with a small burst, which counts what exceeded it too."""

# Burst that a bucket admits, in seconds of its rate; at least one request.
BURST_S = 0.25
# What exceeded the rate delays later requests by at most this long, in seconds.
DEBT_MAX_S = 4.0


class LeakyBucket:
    """Counts requests and tells when the rate admits another one.

    It starts full: what came just before isn't known. Times are in seconds.

    >>> bucket = LeakyBucket(per_s=2.0, now_s=0.0)
    >>> bucket.wait_s(0.0), bucket.wait_s(0.5)
    (0.5, 0.0)
    >>> bucket.add(1, 0.5)
    >>> bucket.wait_s(0.6)
    0.4
    """

    def __init__(self, *, per_s: float, now_s: float):
        self._per_s = per_s
        self._level = self._depth()
        self._updated_s = now_s

    @property
    def per_s(self) -> float:
        """The rate in requests per second."""
        return self._per_s

    def reconfigure(self, per_s: float, now_s: float) -> None:
        """Change the rate; what is free for a burst stays the same."""
        free = self.free(now_s)
        self._per_s = per_s
        self._level = self._depth() - min(free, self._depth())

    def add(self, requests: float, now_s: float) -> None:
        """Count requests, whether or not the rate admitted them."""
        self._leak(now_s)
        highest = self._depth() + self._per_s * DEBT_MAX_S
        self._level = min(self._level + requests, highest)

    def free(self, now_s: float) -> float:
        """Return how many requests are admitted now; negative after an excess."""
        self._leak(now_s)
        return self._depth() - self._level

    def wait_s(self, now_s: float) -> float:
        """Return the time until one more request is admitted."""
        missing = 1.0 - self.free(now_s)
        # Rounded, since a rest of a billionth of a request would count as full.
        return max(0.0, round(missing / self._per_s, 6))

    def _depth(self) -> float:
        return max(1.0, self._per_s * BURST_S)

    def _leak(self, now_s: float) -> None:
        leaked = max(0.0, now_s - self._updated_s) * self._per_s
        self._level = max(0.0, self._level - leaked)
        self._updated_s = max(self._updated_s, now_s)
