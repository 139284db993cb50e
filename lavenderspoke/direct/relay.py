"""Entries that read the platform's store for each other.

Every call to the store is paid for and counts against a rate that all entries
share, and most find nothing new. So two of the entries read, and the others ask
one of them; with 26 entries that is a fifth of the calls. The same answers keep an
entry going that the store turns away while it serves others.

Some news can't wait until the next question: whoever reads them tells the others
that they are there, and these ask at once.

An answer is as old as the read it rests on, and its age counts back from when it
was asked for: it can lie on the way for any time without seeming younger. That is
what lets keys be honoured on the word of another entry.
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

# Entries that read the store while others ask them: one more than is needed, so
# that the loss of one costs nothing.
READERS = 2
# How long others count as relying on this entry after they asked, in seconds: longer
# than an entry that the store turns away takes between two questions.
ASKED_FOR_S = 5.0
# Records that are passed on to an entry that can read the store, in bytes. A
# configuration of hundreds of routes has a hundred kilobytes; a dozen entries that
# ask for it at once would fill the link of a small instance, 5 Mbit/s, for seconds.
TOLD_BYTES_MAX = 8 * 1024
# Dropped keys that are remembered; who asks for older offsets gets all keys.
DROPPED_MAX = 1000

log = logbook.Logger(__name__)


class RecordCache:
    """The newest record of each key of one topic, and how old this knowledge is.

    Safe for threads. Times are in seconds on the clock that the caller passes in.
    """

    def __init__(self):
        self._lock = threading.Lock()
        self._newest: dict[str, KeyedRecord] = {}
        self._next_offset: int | None = None
        # Before this offset it isn't known which keys were dropped.
        self._gap_offset = 0
        self._read_s: float | None = None

    @property
    def next_offset(self) -> int | None:
        """The offset at which to read on, None before the first read."""
        return self._next_offset

    def age_s(self, now_s: float) -> float:
        """Return how long ago the read was sent that this rests on."""
        return float("inf") if self._read_s is None else now_s - self._read_s

    def put(self, batch: RecordBatch, *, is_snapshot: bool, sent_s: float) -> None:
        """Add what a read brought that was sent then."""
        with self._lock:
            if is_snapshot and batch.next_offset >= (self._next_offset or 0):
                self._newest.clear()
                self._gap_offset = batch.next_offset
            for record in batch.records:
                known = self._newest.get(record.key)
                if known is None or known.offset < record.offset:
                    self._newest[record.key] = record
            self._next_offset = max(self._next_offset or 0, batch.next_offset)
            if self._read_s is None or sent_s > self._read_s:
                self._read_s = sent_s
            self._forget_dropped()

    def reply_to(self, asked: RecordsAsked, now_s: float) -> RecordsTold | None:
        """Return what to tell, or None when the asker knows more."""
        with self._lock:
            if self._next_offset is None or asked.from_offset > self._next_offset:
                return None
            whole = asked.from_offset < self._gap_offset
            records = [
                r for r in self._newest.values() if r.offset >= asked.from_offset
            ]
            if whole:
                records = [r for r in self._newest.values() if r.value is not None]
            records.sort(key=lambda record: record.offset)
            size_bytes = sum(len(r.value or b"") for r in records)
            too_large = size_bytes > TOLD_BYTES_MAX and not asked.in_full
            if too_large:
                records = []
            return RecordsTold(
                topic=asked.topic,
                asked_s=asked.asked_s,
                age_s=self.age_s(now_s),
                next_offset=self._next_offset,
                whole=whole,
                records=tuple((r.key, r.value, r.offset) for r in records),
                too_large=too_large,
            )

    def _forget_dropped(self) -> None:
        dropped = [r for r in self._newest.values() if r.value is None]
        if len(dropped) <= DROPPED_MAX:
            return
        for record in dropped:
            del self._newest[record.key]
        self._gap_offset = max(record.offset for record in dropped) + 1


class RelayedFeed(Protocol):
    """A feed that can learn from other entries."""

    topic: str
    cache: RecordCache
    urgent: bool

    def apply_relayed(
        self, batch: RecordBatch, *, is_snapshot: bool, sent_s: float
    ) -> None:
        """Take in what another entry told."""

    def schedule_read(self) -> None:
        """Read the store in place of the next question."""


@attrs.frozen(kw_only=True)
class PeerAccess:
    """How an entry reaches the others.

    `heard()` names those that were heard just now, `tell(name, message)` sends one
    a message.
    """

    name: str
    live_peer_names: Callable[[], list[str]]
    send: Callable[[str, RecordsMessage], None]


class Relay:
    """Asks other entries for records, and answers them."""

    def __init__(self, *, peers: PeerAccess, clock: Clock, random: Random):
        self._peers = peers
        self._clock = clock
        self._random = random
        self._feeds: dict[str, RelayedFeed] = {}
        self._was_following = False
        self._asked_s = float("-inf")

    def register(self, feed: RelayedFeed) -> None:
        """Answer for a feed's topic, and pass answers on to it."""
        self._feeds[feed.topic] = feed

    def is_follower(self) -> bool:
        """Return whether other entries read the store for this one."""
        following = self._peers.name not in self._readers()
        if following != self._was_following:
            self._was_following = following
            log.info("store is read", by="other entries" if following else "itself")
        return following

    def is_alone(self) -> bool:
        """Return whether no other entry was heard just now."""
        return not self._peers.live_peer_names()

    def has_followers(self) -> bool:
        """Return whether others rely on what this entry reads.

        Also one that reads itself asks, once the store turns it away.
        """
        if self._clock.monotonic_s() < self._asked_s + ASKED_FOR_S:
            return True
        return len(self._peers.live_peer_names()) >= READERS and not self.is_follower()

    def query_reader(self, topic: str) -> None:
        """Ask one of the entries that read; its answer comes to the feed, if any."""
        self._ask(topic, self._readers(), in_full=False)

    def query_any_peer(self, topic: str) -> None:
        """Ask any entry: the store may turn those away that usually read."""
        self._ask(topic, self._peers.live_peer_names(), in_full=True)

    def notify_peers(self, feed: RelayedFeed) -> None:
        """Tell the others that there are news, once this entry has read them.

        A follower that happens to ask an entry whose read is stuck would learn of
        a new configuration only when its knowledge counts as stale, 1.4 s later.
        """
        if not feed.urgent or self.is_follower():
            return
        news = RecordsNews(topic=feed.topic, next_offset=feed.cache.next_offset)
        for name in self._peers.live_peer_names():
            self._peers.send(name, news)

    def _ask(self, topic: str, names: list[str], *, in_full: bool) -> None:
        others = [name for name in names if name != self._peers.name]
        if not others:
            return
        offset = self._feeds[topic].cache.next_offset
        asked = RecordsAsked(
            topic=topic,
            from_offset=-1 if offset is None else offset,
            asked_s=self._clock.monotonic_s(),
            in_full=in_full,
        )
        self._peers.send(self._random.choice(others), asked)

    def handle_message(self, sender: InstanceId, message: RecordsMessage) -> None:
        """Take in another entry's question, answer or news."""
        feed = self._feeds.get(message.topic)
        if feed is None:
            log.warning("unknown topic", topic=message.topic, peer=sender.name)
        elif isinstance(message, RecordsNews):
            if message.next_offset > (feed.cache.next_offset or 0):
                self._ask(feed.topic, [sender.name], in_full=False)
        elif isinstance(message, RecordsAsked):
            self._asked_s = self._clock.monotonic_s()
            told = feed.cache.reply_to(message, self._clock.monotonic_s())
            if told is not None:
                self._peers.send(sender.name, told)
        else:
            self._learn(feed, message)

    def _learn(self, feed: RelayedFeed, told: RecordsTold) -> None:
        known = feed.cache.next_offset
        if known is not None and told.next_offset < known:
            # It knows less than this entry: an older version must not come back.
            return
        if told.too_large:
            feed.schedule_read()
            return
        records = tuple(
            KeyedRecord(key=key, value=value, offset=offset)
            for key, value, offset in told.records
        )
        feed.apply_relayed(
            RecordBatch(records=records, next_offset=told.next_offset),
            is_snapshot=told.whole,
            sent_s=told.asked_s - max(0.0, told.age_s),
        )

    def _readers(self) -> list[str]:
        return sorted([self._peers.name, *self._peers.live_peer_names()])[:READERS]
