"""A thread that follows one topic of the platform's log.

It reads on from where it was. When the records it wants are gone, it takes the
newest record of each key and goes on from there. While other entries read the
store, it asks them instead.
"""

import threading
from enum import Enum

import logbook
from result import Err

from lavenderspoke.clock import Clock
from lavenderspoke.direct.records import (
    OffsetExpired,
    RecordBatch,
    RecordStore,
    StoreError,
)
from lavenderspoke.direct.relay import RecordCache, Relay
from lavenderspoke.observing.metrics import Metrics

# Pause after a call that failed, in seconds.
RETRY_PAUSE_S = 0.2
STORE_CALLS = "store_calls"

log = logbook.Logger(__name__)


class CallReason(Enum):
    """Why an entry calls the store in place of asking another entry."""

    FIRST = "first"
    FORGOTTEN = "forgotten"
    RETRY = "retry"
    ALONE = "alone"
    READER = "reader"
    TOO_LARGE = "too_large"
    STALE = "stale"
    OWN_RECORD = "own_record"


class Feed:
    """A feed follows one topic on a thread of its own.

    `stale_after_s` is how old its knowledge may get, in seconds, before it reads the
    store although other entries do; `query_interval_s` is the time between two
    questions to them. The others are told of `urgent` news at once. `reread_after_s`
    is how old the last news may get, in seconds, before it reads those that are too
    large to be passed on.
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
        self._store = store
        self._clock = clock
        self._relay = relay
        self._metrics = metrics
        self._from_newest = True
        self._failing = False
        self._read_next = False
        # When the read was sent that brought the last records.
        self._news_s = float("-inf")
        # Own reads and other entries' answers are taken in on different threads.
        self._taking = threading.Lock()
        self._stopping = threading.Event()
        # Set to end a pause early.
        self._wake = threading.Event()
        self._thread: threading.Thread | None = None
        relay.register(self)

    def start(self) -> None:
        """Begin to follow."""
        self._stopping.clear()
        self._thread = threading.Thread(target=self._run, name=self.topic, daemon=True)
        self._thread.start()

    def stop(self) -> None:
        """Stop after the call under way, without waiting for it."""
        self._stopping.set()
        self._wake.set()

    def alive(self) -> bool:
        """Return whether the thread runs, or has ended because it was told to."""
        if self._stopping.is_set():
            return True
        return self._thread is not None and self._thread.is_alive()

    def poll(self) -> bool:
        """Read once and pass on what came; return whether that was of use."""
        self._count_call(self._read_reason())
        self._read_next = False
        sent_s = self._clock.monotonic_s()
        whole = self._from_newest
        if whole:
            read = self._store.newest(self.topic)
        else:
            offset = self.cache.next_offset
            read = self._store.read(self.topic, offset, wait_s=self._long_poll_s())
        if isinstance(read, Err):
            self._note_failure(read.err_value)
            return False
        self._answered()
        content = read.ok_value
        if isinstance(content, OffsetExpired):
            log.info("records are gone", topic=self.topic, offset=offset)
            self._from_newest = True
            return self.poll()
        if content.skipped:
            log.warning("records skipped", topic=self.topic, count=content.skipped)
        known = self.cache.next_offset
        if not self._apply_and_cache(content, is_snapshot=whole, sent_s=sent_s):
            return False
        if content.next_offset > (known or 0):
            self._relay.notify_peers(self)
        return True

    def apply_relayed(
        self, batch: RecordBatch, *, is_snapshot: bool, sent_s: float
    ) -> None:
        """Take in what another entry told; from the thread that hears it."""
        self._apply_and_cache(batch, is_snapshot=is_snapshot, sent_s=sent_s)

    def schedule_read(self) -> None:
        """Read the store once `reread_after_s` allows, in place of the next question.

        In a quick succession of large versions, one read brings several of them.
        """
        if not self._read_next:
            self._read_next = True
            self._wake.set()

    def apply(self, batch: RecordBatch, *, is_snapshot: bool, sent_s: float) -> bool:
        """Take records in; `whole` when they are the newest of every key.

        Returns False when they make no sense, and are to be read again.
        """
        raise NotImplementedError

    def on_read_failed(self) -> None:
        """The store couldn't be read."""

    def _apply_and_cache(
        self, batch: RecordBatch, *, is_snapshot: bool, sent_s: float
    ) -> bool:
        with self._taking:
            if not self.apply(batch, is_snapshot=is_snapshot, sent_s=sent_s):
                return False
            self.cache.put(batch, is_snapshot=is_snapshot, sent_s=sent_s)
            if batch.records:
                self._news_s = max(self._news_s, sent_s)
            self._from_newest = False
            return True

    def _run(self) -> None:
        while not self._stopping.is_set():
            try:
                pause_s = self.run_once()
            except Exception:
                log.exception("feed failed", topic=self.topic)
                pause_s = RETRY_PAUSE_S
            if pause_s:
                self._wake.wait(pause_s)
            self._wake.clear()

    def run_once(self) -> float:
        """Learn what is new and return the pause after it in seconds."""
        if self._relies_on_peers():
            if not self._read_next:
                self._relay.query_reader(self.topic)
            return min(self.query_interval_s, self._relies_for_s())
        if self._failing:
            # The store may turn this entry away and serve others; their answers
            # come while its own read waits for its time to run out.
            self._relay.query_any_peer(self.topic)
        if self.poll():
            return self._period_s()
        self._relay.query_any_peer(self.topic)
        return max(RETRY_PAUSE_S, self._period_s())

    def _relies_on_peers(self) -> bool:
        if self._from_newest or not self._relay.is_follower():
            return False
        return self._relies_for_s() > 0.0

    def _relies_for_s(self) -> float:
        """Return how long it may go on without a read of its own, in seconds."""
        if not self._read_next:
            return self._fresh_for_s()
        news_age_s = self._clock.monotonic_s() - self._news_s
        return min(self._fresh_for_s(), self.reread_after_s - news_age_s)

    def _read_reason(self) -> CallReason:
        if self._failing:
            return CallReason.RETRY
        if self._from_newest:
            known = self.cache.next_offset is not None
            return CallReason.FORGOTTEN if known else CallReason.FIRST
        if self._relay.is_alone():
            return CallReason.ALONE
        if not self._relay.is_follower():
            return CallReason.READER
        return CallReason.TOO_LARGE if self._read_next else CallReason.STALE

    def _count_call(self, reason: CallReason) -> None:
        self._metrics.count(STORE_CALLS, f"{self.topic}:{reason.value}")

    def _fresh_for_s(self) -> float:
        """Return how long what is known may still be relied on, in seconds."""
        return self.stale_after_s - self.cache.age_s(self._clock.monotonic_s())

    def _long_poll_s(self) -> float:
        """Return how long the store may hold a read, in seconds."""
        return 0.0

    def _period_s(self) -> float:
        """Return the time between two reads, in seconds."""
        return 0.0

    def _note_failure(self, error: StoreError) -> None:
        if not self._failing:
            log.warning("store lost", topic=self.topic, error=error.detail)
        self._failing = True
        self.on_read_failed()

    def _answered(self) -> None:
        if self._failing:
            log.info("store regained", topic=self.topic)
        self._failing = False
