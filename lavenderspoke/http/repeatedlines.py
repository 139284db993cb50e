"""Keeps lines that clients can cause at will from filling the log."""

import threading
import time

# Lines of a kind that are logged in each period, and how long that is, in seconds.
LINES_MAX = 20
PERIOD_S = 10.0


class RepeatedLines:
    """Lets through the first lines of a kind in each period; thread-safe.

    >>> lines = RepeatedLines(lines_max=1)
    >>> lines.admit("refused"), lines.admit("refused"), lines.admit("closed")
    (0, None, 0)
    """

    def __init__(self, *, lines_max: int = LINES_MAX, period_s: float = PERIOD_S):
        self._lines_max = lines_max
        self._period_s = period_s
        self._lock = threading.Lock()
        self._began_s = 0.0
        self._logged: dict[str, int] = {}
        self._left_out: dict[str, int] = {}

    def admit(self, kind: str) -> int | None:
        """Return how many were left out before this line; None leaves it out too."""
        with self._lock:
            now_s = time.monotonic()
            if now_s - self._began_s >= self._period_s:
                self._began_s = now_s
                self._logged.clear()
            logged = self._logged.get(kind, 0)
            if logged >= self._lines_max:
                self._left_out[kind] = self._left_out.get(kind, 0) + 1
                return None
            self._logged[kind] = logged + 1
            return self._left_out.pop(kind, 0)
