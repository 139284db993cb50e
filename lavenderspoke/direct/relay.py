"""Relays records of the platform's store between entries.

Calls to the store cost money and count against a rate limit that all entries share,
and most return nothing new. So normally only two entries (the readers) read the store,
and the others (the followers) query one of them. With 26 entries that is a fifth of the
calls. The readers are the first two live entries by name, as each entry sees them. An
entry whose calls the store rejects uses the replies of the others, too.

For urgent topics, a reader notifies the other entries of new records, and they query
it at once.

A reply carries the age of the store read behind it, and the receiver subtracts that age
from the time at which it sent the query. A delayed reply therefore never looks fresher
than it is, which is why an entry may accept API keys because of relayed records.

The store may come back from an older copy. Messages name the number of the copy that
their offsets belong to: what comes from an earlier one replaces nothing, and an entry
that hears of a later one queries it. A version in force that the copy lacks is passed
on beside the records, to entries that never heard of it.
"""

import threading
from collections.abc import Callable
from random import Random
from typing import Protocol

import attrs
import logbook

from lavenderspoke.clock import Clock
from lavenderspoke.direct.messages import (
    RecordsAsked,
    RecordsMessage,
    RecordsNews,
    RecordsTold,
)
from lavenderspoke.direct.records import KeyedRecord, RecordBatch
from lavenderspoke.model import InstanceId

# Number of entries that read the store. One would do; the second is a spare, so that
# losing one has no effect.
READER_COUNT = 2
# How long after a received query an entry counts as having followers, in seconds.
# Longer than the interval between queries of an entry that the store rejects.
FOLLOWER_TIMEOUT_S = 5.0
# Limit on the total size of a reply's values, unless the query has `in_full`, in bytes.
# A configuration with hundreds of routes takes a hundred kilobytes; a dozen entries
# requesting it at once would saturate a small instance's 5 Mbit/s link for seconds.
REPLY_BYTES_MAX = 8 * 1024
# Limit on tombstones per topic. Above it all are discarded, and a query from an offset
# not above the newest of them gets a snapshot.
TOMBSTONES_MAX = 1000

log = logbook.Logger(__name__)


class RecordCache:
    """Caches the newest record of each key of one topic, and the age of this state.

    Thread-safe. Times are in seconds on the caller's monotonic clock.
    """

    def __init__(self):
        self._lock = threading.Lock()
        self._newest: dict[str, KeyedRecord] = {}
        self._epoch = 0
        self._next_offset: int | None = None
        # Tombstones below this offset may be missing.
        self._complete_from_offset = 0
        self._read_sent_s: float | None = None

    @property
    def next_offset(self) -> int | None:
        """The offset of the next read, None before the first one."""
        return self._next_offset

    @property
    def epoch(self) -> int:
        """The number of the store's copy that the records come from."""
        return self._epoch

    @property
    def position(self) -> tuple[int, int]:
        """The copy's number and the offset of the next read, -1 before the first."""
        return self._epoch, -1 if self._next_offset is None else self._next_offset

    def age_s(self, now_s: float) -> float:
        """Return the time since the last read was sent, infinity before the first."""
        return float("inf") if self._read_sent_s is None else now_s - self._read_sent_s

    def start_copy(self, epoch: int) -> None:
        """Discard all records: those to come are from another copy of the store."""
        with self._lock:
            self._newest.clear()
            self._next_offset = None
            self._complete_from_offset = 0
            self._epoch = epoch

    def put(self, batch: RecordBatch, *, is_snapshot: bool, sent_s: float) -> None:
        """Merge the result of a read sent at `sent_s`, of the same copy of the store.

        A snapshot replaces all records, unless it is older than the cache: then it is
        merged like any batch.
        """
        with self._lock:
            if is_snapshot and batch.next_offset >= (self._next_offset or 0):
                self._newest.clear()
                self._complete_from_offset = batch.next_offset
            for record in batch.records:
                cached = self._newest.get(record.key)
                if cached is None or cached.offset < record.offset:
                    self._newest[record.key] = record
            self._next_offset = max(self._next_offset or 0, batch.next_offset)
            if self._read_sent_s is None or sent_s > self._read_sent_s:
                self._read_sent_s = sent_s
            self._prune_tombstones()

    def reply_to(self, query: RecordsAsked, now_s: float) -> RecordsTold | None:
        """Return the reply, or None if this cache is empty or behind the query.

        The offsets of a query from before another copy mean nothing in this one.
        """
        with self._lock:
            from_offset = query.from_offset if query.epoch == self._epoch else -1
            if self._next_offset is None or query.epoch > self._epoch:
                return None
            if from_offset > self._next_offset:
                return None
            is_snapshot = (
                query.epoch < self._epoch or from_offset < self._complete_from_offset
            )
            records = [r for r in self._newest.values() if r.offset >= from_offset]
            if is_snapshot:
                records = [r for r in self._newest.values() if r.value is not None]
            records.sort(key=lambda record: record.offset)
            size_bytes = sum(len(r.value or b"") for r in records)
            too_large = size_bytes > REPLY_BYTES_MAX and not query.in_full
            if too_large:
                records = []
            return RecordsTold(
                topic=query.topic,
                asked_s=query.asked_s,
                age_s=self.age_s(now_s),
                next_offset=self._next_offset,
                whole=is_snapshot,
                records=tuple((r.key, r.value, r.offset) for r in records),
                too_large=too_large,
                epoch=self._epoch,
            )

    def _prune_tombstones(self) -> None:
        tombstones = [r for r in self._newest.values() if r.value is None]
        if len(tombstones) <= TOMBSTONES_MAX:
            return
        for record in tombstones:
            del self._newest[record.key]
        self._complete_from_offset = max(record.offset for record in tombstones) + 1


class RelayedFeed(Protocol):
    """A feed that can use records relayed by other entries."""

    topic: str
    cache: RecordCache
    urgent: bool

    def apply_relayed(
        self, batch: RecordBatch, *, is_snapshot: bool, sent_s: float
    ) -> None:
        """Apply records that another entry relayed."""

    def schedule_read(self) -> None:
        """Read the store instead of sending the next query."""

    def version(self) -> int:
        """Return the newest version of what the topic holds, 0 if it has none."""

    def unstored_version(self) -> int:
        """Return the version in force if the store's copy lacks it, else 0."""

    def newer_than(self, version: int) -> tuple[tuple[str, bytes], ...]:
        """Return the key and value in force, if they are newer than a version."""

    def apply_unstored(self, rows: tuple[tuple[str, bytes], ...]) -> None:
        """Apply values that other entries have in force and the store may lack."""

    def epoch_rose(self, epoch: int) -> None:
        """Handle that another topic was read from a later copy of the store."""


@attrs.frozen(kw_only=True)
class PeerAccess:
    """An entry's access to its peers.

    `live_peer_names()` returns the peers heard from recently, and `send(name, message)`
    sends a message to one of them.
    """

    name: str
    live_peer_names: Callable[[], list[str]]
    send: Callable[[str, RecordsMessage], None]


class Relay:
    """Queries other entries for records, and replies to their queries."""

    def __init__(self, *, peers: PeerAccess, clock: Clock, random: Random):
        self._peers = peers
        self._clock = clock
        self._random = random
        self._feeds: dict[str, RelayedFeed] = {}
        self._was_follower = False
        self._last_query_received_s = float("-inf")

    def register(self, feed: RelayedFeed) -> None:
        """Reply to queries about the feed's topic, and give replies to the feed."""
        self._feeds[feed.topic] = feed

    def is_follower(self) -> bool:
        """Return whether this entry relies on the readers, and log a change."""
        is_follower = self._peers.name not in self._reader_names()
        if is_follower != self._was_follower:
            self._was_follower = is_follower
            log.info(
                "store is now read", by="other entries" if is_follower else "itself"
            )
        return is_follower

    def is_alone(self) -> bool:
        """Return whether there are no live peers."""
        return not self._peers.live_peer_names()

    def has_followers(self) -> bool:
        """Return whether other entries rely on what this entry reads.

        A recent query on any topic counts, too: an entry that the store rejects queries
        any peer.
        """
        if self._clock.monotonic_s() < self._last_query_received_s + FOLLOWER_TIMEOUT_S:
            return True
        # Counting this entry, there are more live entries than readers.
        return (
            len(self._peers.live_peer_names()) >= READER_COUNT
            and not self.is_follower()
        )

    def query_reader(self, topic: str) -> None:
        """Query one of the readers; any reply goes to the topic's feed."""
        self._query(topic, self._reader_names(), in_full=False)

    def query_random_peer(self, topic: str) -> None:
        """Query a random live peer, since the store may be rejecting the readers."""
        self._query(topic, self._peers.live_peer_names(), in_full=True)

    def notify_peers(self, feed: RelayedFeed) -> None:
        """Notify peers of new records if the topic is urgent and this entry a reader.

        Without this, a follower that queries a reader with a hung read would get a new
        configuration only once its own state counts as stale, 1.4 s later.
        """
        if not feed.urgent or self.is_follower():
            return
        self._notify(feed)

    def tell_unstored(self, feed: RelayedFeed) -> None:
        """Notify peers that a version is in force here that the store lacks."""
        self._notify(feed)

    def tell_epoch(self, feed: RelayedFeed, epoch: int) -> None:
        """Tell the other feeds that this one has read from a later copy."""
        for other in self._feeds.values():
            if other is not feed:
                other.epoch_rose(epoch)

    def _notify(self, feed: RelayedFeed) -> None:
        epoch, next_offset = feed.cache.position
        notification = RecordsNews(
            topic=feed.topic,
            next_offset=next_offset,
            epoch=epoch,
            unstored_version=feed.unstored_version(),
        )
        for name in self._peers.live_peer_names():
            self._peers.send(name, notification)

    def _query(self, topic: str, names: list[str], *, in_full: bool) -> None:
        others = [name for name in names if name != self._peers.name]
        if not others:
            return
        feed = self._feeds[topic]
        epoch, next_offset = feed.cache.position
        query = RecordsAsked(
            topic=topic,
            from_offset=next_offset,
            asked_s=self._clock.monotonic_s(),
            in_full=in_full,
            epoch=epoch,
            version=feed.version(),
        )
        self._peers.send(self._random.choice(others), query)

    def handle_message(self, sender: InstanceId, message: RecordsMessage) -> None:
        """Handle a query, reply or notification from another entry."""
        feed = self._feeds.get(message.topic)
        if feed is None:
            log.warning(
                "records message for unknown topic ignored",
                topic=message.topic,
                peer=sender.name,
            )
        elif isinstance(message, RecordsNews):
            is_ahead = (message.epoch, message.next_offset) > feed.cache.position
            if is_ahead or message.unstored_version > feed.version():
                self._query(feed.topic, [sender.name], in_full=False)
        elif isinstance(message, RecordsAsked):
            self._last_query_received_s = self._clock.monotonic_s()
            self._reply(sender, feed, message)
        else:
            self._apply_reply(feed, message)

    def _reply(
        self, sender: InstanceId, feed: RelayedFeed, query: RecordsAsked
    ) -> None:
        now_s = self._clock.monotonic_s()
        reply = feed.cache.reply_to(query, now_s)
        is_unstored = feed.unstored_version() > query.version
        if query.epoch > feed.cache.epoch:
            # This entry is behind, but may have what the later copy lacks.
            is_unstored = True
            epoch, next_offset = feed.cache.position
            reply = RecordsTold(
                topic=query.topic,
                asked_s=query.asked_s,
                age_s=feed.cache.age_s(now_s),
                next_offset=next_offset,
                whole=False,
                epoch=epoch,
            )
            self._query(feed.topic, [sender.name], in_full=False)
        if reply is None:
            return
        if is_unstored:
            reply = attrs.evolve(reply, unstored=feed.newer_than(query.version))
        self._peers.send(sender.name, reply)

    def _apply_reply(self, feed: RelayedFeed, reply: RecordsTold) -> None:
        if reply.unstored:
            feed.apply_unstored(reply.unstored)
        if (reply.epoch, reply.next_offset) < feed.cache.position:
            # The sender is behind; its records must not replace newer ones.
            return
        if reply.too_large:
            feed.schedule_read()
            return
        records = tuple(
            KeyedRecord(key=key, value=value, offset=offset)
            for key, value, offset in reply.records
        )
        feed.apply_relayed(
            RecordBatch(
                records=records, next_offset=reply.next_offset, epoch=reply.epoch
            ),
            is_snapshot=reply.whole,
            # No reply makes records fresher than a read that is sent now.
            sent_s=min(reply.asked_s, self._clock.monotonic_s())
            - max(0.0, reply.age_s),
        )

    def _reader_names(self) -> list[str]:
        return sorted([self._peers.name, *self._peers.live_peer_names()])[:READER_COUNT]
