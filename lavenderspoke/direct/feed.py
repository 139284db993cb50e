"""A consumer thread for one topic of the platform's store.

It reads from its last offset. When that offset has expired, it loads the newest record
of each key and continues from there. While other entries read the store, it queries
them instead.

The store may come back from an older copy, whose offsets are given out again. Then all
that depends on offsets is forgotten, and the newest record of each key loaded anew.
"""

import threading
from enum import Enum

import attrs
import logbook
from result import Err

from lavenderspoke.clock import Clock
from lavenderspoke.direct.feedstate import FeedState
from lavenderspoke.direct.records import (
    OffsetExpired,
    RecordBatch,
    RecordStore,
    StoreError,
)
from lavenderspoke.direct.relay import RecordCache, Relay
from lavenderspoke.observing import signals
from lavenderspoke.observing.metrics import Metrics

# Minimum pause after a failed call, in seconds.
RETRY_PAUSE_S = 0.2
STORE_CALLS = "store_calls"
STORE_COPIES = "store_copies"

log = logbook.Logger(__name__)


class CallReason(Enum):
    """Why an entry called the store.

    The reasons of reads are chosen by `Feed._read_reason`; OWN_RECORD is a write.
    """

    FIRST = "first"
    OFFSET_EXPIRED = "forgotten"
    RETRY = "retry"
    ALONE = "alone"
    READER = "reader"
    TOO_LARGE = "too_large"
    STALE = "stale"
    OWN_RECORD = "own_record"


class Feed:
    """Follows one topic on its own thread.

    A follower queries a reader every `query_interval_s` seconds. It reads the store
    itself once the read behind its records was sent `stale_after_s` seconds ago, or, if
    newer records are too large to be relayed, once the last read that returned any was
    sent `reread_after_s` seconds ago. Peers are notified at once of new records of an
    `urgent` topic. Subclasses set `topic` and these.
    """

    topic = ""
    urgent = False
    stale_after_s = 0.0
    query_interval_s = 0.0
    reread_after_s = 0.0

    def __init__(
        self, *, store: RecordStore, clock: Clock, relay: Relay, metrics: Metrics
    ):
        self.cache = RecordCache()
        self.state = FeedState(topic=self.topic, clock=clock, metrics=metrics)
        self._store = store
        self._clock = clock
        self._relay = relay
        self._metrics = metrics
        self._needs_snapshot = True
        # The last offset that the store didn't have, until a snapshot was applied.
        self._refused_offset: int | None = None
        self._copy_since_s = float("-inf")
        self._failing = False
        self._read_scheduled = False
        # Send time of the last read that returned any records.
        self._last_records_s = float("-inf")
        # Store reads and relayed records are applied on different threads.
        self._apply_lock = threading.Lock()
        self._stopping = threading.Event()
        # Set to end a pause early.
        self._wake = threading.Event()
        self._thread: threading.Thread | None = None
        relay.register(self)

    def start(self) -> None:
        """Start the thread."""
        self._stopping.clear()
        self._thread = threading.Thread(target=self._run, name=self.topic, daemon=True)
        self._thread.start()

    def stop(self) -> None:
        """Stop after the current call, without waiting for it."""
        self._stopping.set()
        self._wake.set()

    def alive(self) -> bool:
        """Return whether the thread is running or was stopped by `stop`."""
        if self._stopping.is_set():
            return True
        return self._thread is not None and self._thread.is_alive()

    def poll(self) -> bool:
        """Read the store, notify peers of new records; return whether it succeeded."""
        self._count_call(self._read_reason())
        self._read_scheduled = False
        sent_s = self._clock.monotonic_s()
        is_snapshot = self._needs_snapshot
        if is_snapshot:
            read = self._store.newest(self.topic)
        else:
            offset = self.cache.next_offset
            read = self._store.read(self.topic, offset, wait_s=self._long_poll_s())
        if isinstance(read, Err):
            self._note_failure(read.err_value)
            return False
        self._note_success()
        batch = read.ok_value
        epoch = self._epoch_of(batch, sent_s)
        if epoch < self.cache.epoch:
            # Other entries have told of a later copy; this is an answer from before.
            return True
        batch = attrs.evolve(batch, epoch=epoch)
        if isinstance(batch, OffsetExpired):
            log.info("offset expired", topic=self.topic, offset=offset)
            self._refused_offset = offset
            self._needs_snapshot = True
            return self.poll()
        if epoch > self.cache.epoch and not is_snapshot:
            self._needs_snapshot = True
            return self.poll()
        if batch.skipped:
            log.warning(
                "undecodable records skipped", topic=self.topic, count=batch.skipped
            )
        known_position = self.cache.position
        if not self._apply_and_cache(batch, is_snapshot=is_snapshot, sent_s=sent_s):
            return False
        if self.cache.position > known_position and batch.next_offset > 0:
            self._relay.notify_peers(self)
        return True

    def apply_relayed(
        self, batch: RecordBatch, *, is_snapshot: bool, sent_s: float
    ) -> None:
        """Apply records relayed by another entry; called on the receiving thread."""
        self._apply_and_cache(batch, is_snapshot=is_snapshot, sent_s=sent_s)

    def schedule_read(self) -> None:
        """Read the store instead of the next query, after at most `reread_after_s`.

        The delay lets one read return several large records that follow each other. An
        entry that reads the store anyway does so at once.
        """
        if not self._read_scheduled:
            self._read_scheduled = True
            self._wake.set()

    def apply(self, batch: RecordBatch, *, is_snapshot: bool, sent_s: float) -> bool:
        """Apply records; a snapshot holds the newest record of every key.

        Returns False when they are invalid and must be read again.
        """
        raise NotImplementedError

    def on_read_failed(self) -> None:
        """Handle a failed store read; does nothing by default."""

    def on_new_copy(self, *, is_announced: bool) -> None:
        """Forget offsets: the next snapshot is from another copy of the store.

        It may lack what was applied before, which the operator and the upstreams write
        again. The cache has its epoch, which isn't a later one unless `is_announced`.
        Does nothing by default.
        """

    def epoch_rose(self, epoch: int) -> None:
        """Look at the store soon, since another topic was read from a later copy."""
        if epoch > self.cache.epoch:
            self._wake.set()

    def version(self) -> int:
        """Return the newest version of what the topic holds, 0 if it has none."""
        return 0

    def unstored_version(self) -> int:
        """Return the version in force if the store's copy lacks it, else 0."""
        return 0

    def newer_than(self, version: int) -> tuple[tuple[str, bytes], ...]:
        """Return the key and value in force, if they are newer than a version."""
        return ()

    def apply_unstored(self, rows: tuple[tuple[str, bytes], ...]) -> None:
        """Apply values that other entries have in force and the store may lack."""

    def _epoch_of(self, read: RecordBatch | OffsetExpired, sent_s: float) -> int:
        """Return the number of the copy that a read of this entry's own comes from.

        One sent after a later copy was told of comes from that one: its own number must
        be wrong, or what was told. Ignored, it would leave the entry without any read.
        """
        known = self.cache.epoch
        if read.epoch is None or (read.epoch < known and sent_s > self._copy_since_s):
            return known
        return read.epoch

    def _apply_and_cache(
        self, batch: RecordBatch, *, is_snapshot: bool, sent_s: float
    ) -> bool:
        with self._apply_lock:
            epoch = self.cache.epoch if batch.epoch is None else batch.epoch
            if epoch < self.cache.epoch or (
                epoch > self.cache.epoch and not is_snapshot
            ):
                # Another thread has applied a later copy meanwhile, or the sender took
                # this entry's offsets for those of its own copy.
                return False
            if self._is_other_copy(batch, epoch, is_snapshot=is_snapshot):
                self._start_copy(batch, epoch)
            try:
                is_applied = self.apply(batch, is_snapshot=is_snapshot, sent_s=sent_s)
            except Exception as error:
                # The same records are read and applied again.
                self.state.record_failed(error, batch.records)
                return False
            if not is_applied:
                return False
            self.state.record_applied()
            self.cache.put(batch, is_snapshot=is_snapshot, sent_s=sent_s)
            if is_snapshot:
                self._refused_offset = None
            if batch.records:
                self._last_records_s = max(self._last_records_s, sent_s)
            self._needs_snapshot = False
            return True

    def _is_other_copy(
        self, batch: RecordBatch, epoch: int, *, is_snapshot: bool
    ) -> bool:
        if epoch > self.cache.epoch:
            return True
        # Without a number that tells: the store lacks the offset that it gave out, and
        # ends before it.
        refused_offset = self._refused_offset
        return (
            is_snapshot
            and refused_offset is not None
            and refused_offset == self.cache.next_offset
            and batch.next_offset < refused_offset
        )

    def _start_copy(self, batch: RecordBatch, epoch: int) -> None:
        before, known_offset = self.cache.position
        self.cache.start_copy(epoch)
        self._copy_since_s = self._clock.monotonic_s()
        self._needs_snapshot = True
        if known_offset < 0:
            # The first read of all.
            return
        is_announced = epoch > before
        self._metrics.count(
            STORE_COPIES,
            f"{self.topic}:{'announced' if is_announced else 'unannounced'}",
        )
        log.warning(
            signals.STORE_WENT_BACK,
            topic=self.topic,
            epoch=epoch,
            before=before,
            offset=batch.next_offset,
            known_offset=known_offset,
        )
        self.on_new_copy(is_announced=is_announced)
        self._relay.tell_epoch(self, epoch)

    def _run(self) -> None:
        while not self._stopping.is_set():
            try:
                pause_s = self.run_once()
            except Exception as error:
                self.state.record_failed(error)
                pause_s = RETRY_PAUSE_S
            if pause_s:
                self._wake.wait(pause_s)
            self._wake.clear()

    def run_once(self) -> float:
        """Query a peer or read the store, or both; return the next pause in seconds."""
        if self._relies_on_peers():
            if not self._read_scheduled:
                self._relay.query_reader(self.topic)
            return min(self.query_interval_s, self._until_store_read_s())
        if self._failing:
            # If the store rejects only this entry, a peer's reply arrives while this
            # entry's own read is still waiting for its timeout.
            self._relay.query_random_peer(self.topic)
        if self.poll():
            return self._period_s()
        self._relay.query_random_peer(self.topic)
        return max(RETRY_PAUSE_S, self._period_s())

    def _relies_on_peers(self) -> bool:
        if self._needs_snapshot or not self._relay.is_follower():
            return False
        return self._until_store_read_s() > 0.0

    def _until_store_read_s(self) -> float:
        """Return the time until a store read is needed, in seconds."""
        if not self._read_scheduled:
            return self._until_stale_s()
        records_age_s = self._clock.monotonic_s() - self._last_records_s
        return min(self._until_stale_s(), self.reread_after_s - records_age_s)

    def _read_reason(self) -> CallReason:
        if self._failing:
            return CallReason.RETRY
        if self._needs_snapshot:
            known = self.cache.next_offset is not None
            return CallReason.OFFSET_EXPIRED if known else CallReason.FIRST
        if self._relay.is_alone():
            return CallReason.ALONE
        if not self._relay.is_follower():
            return CallReason.READER
        return CallReason.TOO_LARGE if self._read_scheduled else CallReason.STALE

    def _count_call(self, reason: CallReason) -> None:
        self._metrics.count(STORE_CALLS, f"{self.topic}:{reason.value}")

    def _until_stale_s(self) -> float:
        """Return the time until the cached records are stale, in seconds."""
        return self.stale_after_s - self.cache.age_s(self._clock.monotonic_s())

    def _long_poll_s(self) -> float:
        """Return how long the store may hold a read for new records, in seconds."""
        return 0.0

    def _period_s(self) -> float:
        """Return the pause after a read, in seconds."""
        return 0.0

    def _note_failure(self, error: StoreError) -> None:
        if not self._failing:
            log.warning(signals.STORE_LOST, topic=self.topic, error=error.detail)
        self._failing = True
        self.on_read_failed()

    def _note_success(self) -> None:
        if self._failing:
            log.info(signals.STORE_REGAINED, topic=self.topic)
        self._failing = False
