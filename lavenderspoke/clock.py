"""The clock, passed in so that tests and harnesses can hold time still."""

import time
from datetime import datetime, timezone
from typing import Protocol


class Clock(Protocol):
    """A clock gives monotonic seconds for decisions and wall time for people."""

    def monotonic_s(self) -> float:
        """Return seconds on a clock that never goes backwards."""

    def now(self) -> datetime:
        """Return the wall time, with its zone, for logs and documents only."""


class SystemClock:
    """The system clock reads the machine's own clocks."""

    def monotonic_s(self) -> float:
        return time.monotonic()

    def now(self) -> datetime:
        return datetime.now(timezone.utc)


class ManualClock:
    """A manual clock moves only when it is told to.

    >>> clock = ManualClock()
    >>> clock.advance(1.5)
    >>> clock.monotonic_s()
    1.5
    """

    def __init__(self, *, start_s: float = 0.0):
        self._monotonic_s = start_s

    def monotonic_s(self) -> float:
        return self._monotonic_s

    def now(self) -> datetime:
        return datetime.fromtimestamp(self._monotonic_s, timezone.utc)

    def advance(self, seconds_s: float) -> None:
        """Move the clock forward by that many seconds."""
        self._monotonic_s += seconds_s


class BootClock(SystemClock):
    """A clock whose monotonic seconds also count while the machine is suspended.

    The usual monotonic clock stands still then, so a daemon that was suspended
    for ten seconds would take a lease or a key it read before for fresh.
    """

    def monotonic_s(self) -> float:
        return time.clock_gettime(time.CLOCK_BOOTTIME)
