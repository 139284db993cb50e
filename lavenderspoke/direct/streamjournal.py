"""Which streams an entry has recorded in the platform's store, and which it is to.

While several versions of a service may have begun streams, an entry records the version
of each of its own, in batches and after their first events. If all entries end at once,
those that start read them. Streams whose record was lost with its entry are refused.
"""

import threading
from collections import deque
from collections.abc import Callable, Iterable

from lavenderspoke.clock import Clock

# Time for which the journal tells of a stream, in seconds: streams that began earlier
# have mostly ended.
HISTORY_S = 20.0
# Batches that all entries together write per second at most, since they share the
# store's limit of calls, and the shortest time between two of one entry, in seconds.
BATCHES_PER_S = 40.0
PERIOD_MIN_S = 0.25
# Streams in one batch, and characters of one, so that a batch stays below the store's
# size of a record.
BATCH_MAX = 1_000
ROW_LENGTH_MAX = 200

StreamRow = tuple[str, str, str]
"""The attempt that brought a stream's first event, its service and its version."""


class StreamJournal:
    """The streams of one entry that are to be recorded; thread-safe.

    >>> from lavenderspoke.clock import ManualClock
    >>> journal = StreamJournal(clock=ManualClock())
    >>> journal.record(("a1", "model", "v1"))
    >>> journal.take_due(lambda service: False, entries=3)
    ()
    >>> journal.take_due(lambda service: True, entries=3)
    (('a1', 'model', 'v1'),)
    """

    def __init__(self, *, clock: Clock):
        self._clock = clock
        self._lock = threading.Lock()
        self._unwritten: dict[str, deque[tuple[float, StreamRow]]] = {}
        self._next_s = float("-inf")

    def record(self, row: StreamRow) -> None:
        """Record a stream of this entry's own, unless its caller's id is too long."""
        if sum(map(len, row)) > ROW_LENGTH_MAX:
            return
        _, service, _ = row
        with self._lock:
            rows = self._unwritten.setdefault(service, deque())
            rows.append((self._clock.monotonic_s(), row))
            self._drop_old(rows)

    def take_due(
        self, is_needed: Callable[[str], bool], *, entries: int
    ) -> tuple[StreamRow, ...]:
        """Return the streams to be written now, of the services that need it.

        The others are kept: another version may begin to serve while they run.
        `entries` is the number of those that share the store.
        """
        with self._lock:
            now_s = self._clock.monotonic_s()
            if now_s < self._next_s:
                return ()
            due: list[StreamRow] = []
            for service, rows in self._unwritten.items():
                self._drop_old(rows)
                if rows and is_needed(service):
                    count = min(len(rows), BATCH_MAX - len(due))
                    due += [rows.popleft()[1] for _ in range(count)]
            if due:
                self._next_s = now_s + max(PERIOD_MIN_S, entries / BATCHES_PER_S)
            return tuple(due)

    def put_back(self, rows: Iterable[StreamRow]) -> None:
        """Keep streams that the store didn't take, to be written again."""
        for row in rows:
            self.record(row)

    def _drop_old(self, rows: deque[tuple[float, StreamRow]]) -> None:
        now_s = self._clock.monotonic_s()
        while rows and now_s >= rows[0][0] + HISTORY_S:
            rows.popleft()
