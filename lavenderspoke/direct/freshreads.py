"""Has what an entry knows of the store read anew, for decisions that need it.

What was read before a question came up can't tell that nothing has changed since: the
entry may have stood still, or have been cut off, for as long as its records are old.
"""

import threading
from collections.abc import Callable, Iterable

from lavenderspoke.clock import Clock

# Time between two reads that are asked for, in seconds: those who ask meanwhile share
# one.
SHARED_S = 0.1
# Time after which a read is asked for again that hasn't been applied, in seconds.
AGAIN_S = 0.3


class FreshReads:
    """Waits until all of some topics have been read anew; thread-safe.

    `request` has them read soon, and `record` is called for each read that was applied.
    Without a store there is nothing to read, so that nobody waits.

    >>> from lavenderspoke.clock import ManualClock
    >>> reads = FreshReads(topics=("a", "b"), clock=ManualClock(start_s=5.0))
    >>> reads.request = lambda: [reads.record(each, 5.0) for each in ("a", "b")]
    >>> reads.wait(5.0, 6.0)
    True
    """

    def __init__(self, *, topics: Iterable[str], clock: Clock):
        self.request: Callable[[], object] | None = None
        self._clock = clock
        self._changed = threading.Condition(threading.RLock())
        self._read_s = dict.fromkeys(topics, float("-inf"))
        self._requested_s = float("-inf")

    def record(self, topic: str, sent_s: float) -> None:
        """Record that a read of a topic that was sent at `sent_s` has been applied."""
        with self._changed:
            self._read_s[topic] = max(self._read_s[topic], sent_s)
            self._changed.notify_all()

    def wait(self, since_s: float, until_s: float) -> bool:
        """Wait for reads sent from `since_s` on; return whether they came in time.

        Both are in seconds on the clock.
        """
        if self.request is None:
            return True
        with self._changed:
            while min(self._read_s.values()) < since_s:
                now_s = self._clock.monotonic_s()
                if now_s >= until_s:
                    return False
                is_asked = self._requested_s >= since_s
                due_s = self._requested_s + (AGAIN_S if is_asked else SHARED_S)
                if now_s >= due_s:
                    self._requested_s = now_s
                    self.request()
                    continue
                self._changed.wait(min(due_s, until_s) - now_s)
            return True
