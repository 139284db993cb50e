"""Holds the first requests until an entry knows enough to decide on them."""

import threading
from collections.abc import Callable

from lavenderspoke.clock import Clock

# How long requests are held at most. The first reads of the platform's store take about
# 20 ms; if it doesn't answer within this time it is unavailable, and callers had better
# get an error.
HOLD_MAX_S = 0.8
# How often held requests check whether the entry is ready.
POLL_S = 0.005


class StartupHold:
    """Holds requests while an entry starts.

    Otherwise, requests that wait in the listen queue while the entry starts would all
    be refused in the milliseconds before the first configuration is read.
    """

    def __init__(self, *, is_ready: Callable[[], bool], clock: Clock):
        self._is_ready = is_ready
        self._clock = clock
        self._created_s = clock.monotonic_s()
        self._hold_until_s: float | None = None
        self._is_released = False
        # Never set; waiting on it is a sleep.
        self._pause = threading.Event()

    def is_over(self) -> bool:
        """Return whether the entry is ready, or `HOLD_MAX_S` has passed since start."""
        if self._is_released or self._is_ready():
            return True
        return self._clock.monotonic_s() >= self._created_s + HOLD_MAX_S

    def wait(self) -> None:
        """Wait until the entry is ready, at most `HOLD_MAX_S` from the first call."""
        if self._is_released:
            return
        if self._hold_until_s is None:
            self._hold_until_s = self._clock.monotonic_s() + HOLD_MAX_S
        while not self._is_ready() and self._clock.monotonic_s() < self._hold_until_s:
            self._pause.wait(POLL_S)
        self._is_released = True
