"""Writes and reads the journal of streams in the platform's store.

The topic isn't keyed: the store drops batches as they expire.
"""

import json
import threading
from collections.abc import Callable, Iterable

import logbook
from result import Err, Ok, Result

from lavenderspoke.clock import Clock
from lavenderspoke.direct.records import (
    KeyedRecord,
    OffsetExpired,
    RecordStore,
    StoreError,
)
from lavenderspoke.direct.streamjournal import StreamRow
from lavenderspoke.observing.metrics import Metrics
from lavenderspoke.platform.decoding import parse_value
from lavenderspoke.platform.store import Store

TOPIC = "lavenderspoke-streams"
# Pause after a failed call, in seconds.
RETRY_PAUSE_S = 1.0
# Time after a read in which another one is answered from it, in seconds.
READ_AGAIN_S = 2.0
# How long a request waits for a read at most, in seconds.
WAIT_MAX_S = 1.0
# Responses that one read takes at most: each holds up to 1 MB.
READS_MAX = 16
# The attempt, the service and the version.
ROW_LENGTH = 3
JOURNAL_METRIC = "stream_journal"

log = logbook.Logger(__name__)


def decode_batch(record: KeyedRecord) -> tuple[StreamRow, ...]:
    """Return the streams in a record, none if it is malformed.

    >>> value = b'[["a1", "model", "v1"]]'
    >>> decode_batch(KeyedRecord(key="entry-1", value=value, offset=0))
    (('a1', 'model', 'v1'),)
    """
    rows = parse_value(record.value or b"", list[list[str]]).unwrap_or(None)
    if rows is None or any(len(row) != ROW_LENGTH for row in rows):
        log.warning("streams of an entry skipped", offset=record.offset)
        return ()
    return tuple(tuple(row) for row in rows)


class JournalWriter:
    """Writes the streams that are due, one batch at a time.

    `take_due()` returns them, and `put_back` takes those that the store didn't.
    """

    def __init__(
        self,
        *,
        name: str,
        store: Store,
        clock: Clock,
        metrics: Metrics,
        take_due: Callable[[], tuple[StreamRow, ...]],
        put_back: Callable[[Iterable[StreamRow]], None],
    ):
        self._name = name
        self._store = store
        self._clock = clock
        self._metrics = metrics
        self._take_due = take_due
        self._put_back = put_back
        self._paused_until_s = 0.0

    def write_due(self) -> None:
        """Write the streams that are due."""
        if self._clock.monotonic_s() < self._paused_until_s:
            return
        rows = self._take_due()
        if not rows:
            return
        appended = self._store.append(TOPIC, self._name, json.dumps(rows).encode())
        if isinstance(appended, Err):
            self._paused_until_s = self._clock.monotonic_s() + RETRY_PAUSE_S
            self._put_back(rows)
            self._metrics.count(JOURNAL_METRIC, "not_written")
            return
        self._metrics.count(JOURNAL_METRIC, "written")


class JournalReader:
    """Finds streams in what all entries have written; thread-safe."""

    def __init__(self, *, store: RecordStore, clock: Clock, metrics: Metrics):
        self._store = store
        self._clock = clock
        self._metrics = metrics
        self._changed = threading.Condition()
        self._is_reading = False
        self._read_s = float("-inf")
        self._rows: dict[str, StreamRow] = {}

    def find(self, attempt_id: str, until_s: float) -> StreamRow | None:
        """Return what the store has of the stream that an attempt began, if anything.

        What was read is at most `READ_AGAIN_S` old. Requests that need it at the same
        time share one read, and wait for it until then at the latest, in seconds on
        the clock.
        """
        with self._changed:
            now_s = self._clock.monotonic_s()
            if not self._is_reading and now_s >= self._read_s + READ_AGAIN_S:
                self._start_read()
            wait_s = min(max(0.0, until_s - now_s), WAIT_MAX_S)
            self._changed.wait_for(lambda: not self._is_reading, wait_s)
            return self._rows.get(attempt_id)

    def _start_read(self) -> None:
        # On its own thread: the store may be silent for longer than a caller waits.
        reader = threading.Thread(target=self._read, daemon=True)
        self._is_reading = True
        try:
            reader.start()
        except RuntimeError as error:
            # The system refuses threads.
            self._is_reading = False
            log.warning("streams of entries not read", error=str(error))

    def _read(self) -> None:
        read = self._read_all()
        if isinstance(read, Err):
            self._metrics.count(JOURNAL_METRIC, "not_read")
            log.warning("streams of entries not read", error=read.err_value.detail)
        else:
            self._metrics.count(JOURNAL_METRIC, "read")
        with self._changed:
            if isinstance(read, Ok):
                self._rows = {row[0]: row for row in read.ok_value}
            self._read_s = self._clock.monotonic_s()
            self._is_reading = False
            self._changed.notify_all()

    def _read_all(self) -> Result[list[StreamRow], StoreError]:
        rows: list[StreamRow] = []
        offset = 0
        for _ in range(READS_MAX):
            read = self._store.read(TOPIC, offset, wait_s=0.0)
            if isinstance(read, Err):
                return read
            if isinstance(read.ok_value, OffsetExpired):
                offset = read.ok_value.first_offset
                continue
            batch = read.ok_value
            for record in batch.records:
                rows += decode_batch(record)
            if batch.next_offset == offset:
                break
            offset = batch.next_offset
        return Ok(rows)
