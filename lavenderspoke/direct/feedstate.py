"""Whether an entry follows a topic of the store, and what keeps it from that."""

import threading
from collections.abc import Iterable

import logbook

from lavenderspoke.clock import Clock
from lavenderspoke.direct.records import KeyedRecord
from lavenderspoke.observing import signals
from lavenderspoke.observing.metrics import Metrics

# Counts reads that weren't applied, by topic and error.
NOT_APPLIED_METRIC = "reads_not_applied"
# Time after which a read that still can't be applied is logged again, in seconds.
LOGGED_AGAIN_S = 10.0
# Keys that a log line names at most.
KEYS_LOGGED_MAX = 8

log = logbook.Logger(__name__)


class FeedState:
    """What became of the last reads of a topic; thread-safe.

    A store that doesn't answer is no failure of this kind: nobody knows more then.

    >>> from lavenderspoke.clock import ManualClock
    >>> state = FeedState(topic="t", clock=ManualClock(), metrics=Metrics())
    >>> state.record_failed("a reason")
    >>> state.is_blocked(for_s=0.0), state.is_blocked(for_s=1.0)
    (True, False)
    >>> state.record_applied()
    >>> state.is_blocked(for_s=0.0)
    False
    """

    def __init__(self, *, topic: str, clock: Clock, metrics: Metrics):
        self._topic = topic
        self._clock = clock
        self._metrics = metrics
        self._lock = threading.Lock()
        self._blocked_since_s: float | None = None
        self._logged = ""
        self._logged_s = 0.0

    def record_failed(
        self, error: Exception | str, records: Iterable[KeyedRecord] = ()
    ) -> None:
        """Record that a read wasn't applied; it may be one of its records."""
        kind = "refused" if isinstance(error, str) else type(error).__name__
        self._metrics.count(NOT_APPLIED_METRIC, f"{self._topic}:{kind}")
        with self._lock:
            now_s = self._clock.monotonic_s()
            if self._blocked_since_s is None:
                self._blocked_since_s = now_s
            text = f"{kind}: {error}"[:200]
            if text == self._logged and now_s < self._logged_s + LOGGED_AGAIN_S:
                return
            self._logged, self._logged_s = text, now_s
            for_s = now_s - self._blocked_since_s
        log.error(
            signals.NOT_APPLIED,
            topic=self._topic,
            error=text,
            keys=[each.key for each in records][-KEYS_LOGGED_MAX:],
            for_s=round(for_s, 1),
            exc_info=isinstance(error, Exception),
        )

    def record_applied(self) -> None:
        """Record that a read was applied."""
        with self._lock:
            if self._blocked_since_s is None:
                return
            for_s = self._clock.monotonic_s() - self._blocked_since_s
            self._blocked_since_s, self._logged = None, ""
        log.warning(signals.APPLIED_AGAIN, topic=self._topic, for_s=round(for_s, 1))

    def is_blocked(self, *, for_s: float) -> bool:
        """Return whether no read could be applied for so many seconds."""
        with self._lock:
            since_s = self._blocked_since_s
            return since_s is not None and self._clock.monotonic_s() >= since_s + for_s
