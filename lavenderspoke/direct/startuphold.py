"""Holds the first requests until an entry knows enough to decide on them."""

import threading
from collections.abc import Callable

from lavenderspoke.clock import Clock

# How long after the start requests are held at most, in seconds. The first reads of
# the platform's store take some 20 ms; one that doesn't answer in this time is away,
# and callers had better be told so.
HOLD_S = 0.8
POLL_S = 0.005


class StartupHold:
    """The first moments of an entry.

    Without it, requests that wait at the port while the entry starts are all refused
    in the milliseconds before the first configuration is read.
    """

    def __init__(self, *, is_ready: Callable[[], bool], clock: Clock):
        self._known = is_ready
        self._clock = clock
        self._created_s = clock.monotonic_s()
        self._until_s: float | None = None
        self._open = False
        self._pause = threading.Event()

    def is_over(self) -> bool:
        """Return whether the entry knows enough, or has had the time to."""
        if self._open or self._known():
            return True
        return self._clock.monotonic_s() >= self._created_s + HOLD_S

    def wait(self) -> None:
        """Return once the entry knows enough, or has waited for long enough."""
        if self._open:
            return
        if self._until_s is None:
            self._until_s = self._clock.monotonic_s() + HOLD_S
        while not self._known() and self._clock.monotonic_s() < self._until_s:
            self._pause.wait(POLL_S)
        self._open = True
