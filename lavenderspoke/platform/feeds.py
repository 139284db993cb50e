"""The topics of the platform's store that an entry follows, decoded."""

import json
import re
from collections.abc import Callable

import attrs
import logbook
from result import Err

from lavenderspoke.clock import Clock
from lavenderspoke.direct.catalog import Catalog
from lavenderspoke.direct.feed import CallReason, Feed
from lavenderspoke.direct.inforce import CatalogInForce
from lavenderspoke.direct.instances import Upstream
from lavenderspoke.direct.records import RecordBatch
from lavenderspoke.direct.relay import Relay
from lavenderspoke.direct.sharing import EntryLocation
from lavenderspoke.observing.metrics import Metrics
from lavenderspoke.platform import configuration
from lavenderspoke.platform.decoding import parse_as
from lavenderspoke.platform.registry import Registry
from lavenderspoke.platform.rollouts import OrderTracker
from lavenderspoke.platform.store import Store

CONFIGURATION_TOPIC = "keyed.op"
CONFIGURATION_KEY = "config"
UPSTREAMS_TOPIC = "keyed.servers"
ENTRIES_TOPIC = "keyed.lavenderspoke-entries"

# How long the store may hold a read of the configuration, as a part of the time in
# which one must be in force. An answer comes at once when there are news, so the
# wait only bounds how late a connection that went silent is noticed.
CONFIGURATION_WAIT_SHARE = 0.75
# The same while other entries rely on the answers: what is known is up to two such
# waits old when it is told.
CONFIGURATION_RELAYING_WAIT_SHARE = 0.25
# Time between two questions to another entry, as a part of the same time. With the
# age of what it is told, a follower's knowledge is 0.65 of it old while all is well.
CONFIGURATION_QUERY_SHARE = 0.15
# Age from which a follower reads the store itself, as a part of the same time: it
# rests on a read from before any news that it misses, so these are in force by then
# and one read of its own, whatever the entries do that it asked.
CONFIGURATION_STALE_SHARE = 0.7
# Age of the last version from which a follower reads one that is too large to be
# passed on, as a part of the same time: what it knows rests on a read from before that
# one, so it is in force by then and one read. Below what others may rely on, since an
# entry that the store turns away gets it from one that has read it.
CONFIGURATION_REREAD_SHARE = 0.3
# Time between two reads of the upstreams, as a part of the time in which one that
# leaves must get its last request: one read, its answer and a request under way
# fit in. A read that waits would return at each heartbeat of each upstream, and
# calls are paid for: twice as many reads bring nothing that a caller notices.
UPSTREAMS_PERIOD_SHARE = 0.5
# The same while other entries rely on them, the time between two of their
# questions, and the age from which they read themselves: read and question together
# take as long as a read alone does above. What is left after that age is for the read
# and the request under way, on a machine whose threads wait for half a second.
UPSTREAMS_RELAYING_PERIOD_SHARE = 0.3
UPSTREAMS_QUERY_SHARE = 0.2
UPSTREAMS_STALE_SHARE = 0.6
# Age of what is known, in seconds, from which the store counts as away for all:
# above the age that answers of other entries have, below the 2.4 s after which the
# first records of upstreams lapse, which heartbeat each 1.2 s and may miss two.
STORE_UNAVAILABLE_AFTER_S = 2.0
# Time between two reads of the entries' records, in seconds: they change only
# when an entry starts, and one that starts makes itself known to the others.
ENTRIES_PERIOD_S = 8.0
# Time between two questions about them, and the age from which an entry reads them
# itself, in seconds.
ENTRIES_QUERY_INTERVAL_S = 4.0
ENTRIES_STALE_AFTER_S = 20.0
SKIPPED_METRIC = "upstream_records_skipped"

# The form of an address that entries listen on for each other.
PEER_ADDRESS = re.compile(r"tcp://[0-9.]{7,15}:[0-9]{1,5}")

log = logbook.Logger(__name__)


class ConfigurationFeed(Feed):
    """Follows the operators' configuration, and their orders beside it.

    `on_read(sent_s)` is told of each read that was taken in.
    """

    topic = CONFIGURATION_TOPIC
    urgent = True

    def __init__(
        self,
        *,
        store: Store,
        clock: Clock,
        relay: Relay,
        metrics: Metrics,
        apply_s: float,
        in_force: CatalogInForce,
        orders: OrderTracker,
        on_change: Callable[[Catalog], None],
        on_read: Callable[[float], None],
    ):
        super().__init__(store=store, clock=clock, relay=relay, metrics=metrics)
        self.stale_after_s = apply_s * CONFIGURATION_STALE_SHARE
        self.query_interval_s = apply_s * CONFIGURATION_QUERY_SHARE
        self.reread_after_s = apply_s * CONFIGURATION_REREAD_SHARE
        self._apply_s = apply_s
        self._in_force = in_force
        self._orders = orders
        self._on_change = on_change
        self._on_read = on_read

    def apply(self, batch: RecordBatch, *, is_snapshot: bool, sent_s: float) -> bool:
        self._orders.apply(batch, is_snapshot=is_snapshot)
        if not self._apply_configuration(batch, is_snapshot=is_snapshot, sent_s=sent_s):
            return False
        self._on_read(sent_s)
        return True

    def _apply_configuration(
        self, batch: RecordBatch, *, is_snapshot: bool, sent_s: float
    ) -> bool:
        values = [r.value for r in batch.records if r.key == CONFIGURATION_KEY]
        if not values:
            if self._in_force.catalog is not None and not is_snapshot:
                self._in_force.confirm(sent_s)
            return True
        catalogs = []
        for value in values:
            decoded = configuration.decode(value or b"")
            if isinstance(decoded, Err):
                # Neither confirmed nor passed by: it may take keys away.
                log.error("configuration not understood", error=decoded.err_value)
                return False
            catalogs.append(decoded.ok_value)
        # Of several in one read the highest counts, not the last: an older one
        # that was written again must not hide it.
        catalog = max(catalogs, key=lambda each: each.version)
        if self._in_force.offer(catalog):
            self._on_change(catalog)
        if catalog.version == self._in_force.catalog.version:
            self._in_force.confirm(sent_s)
        return True

    def _long_poll_s(self) -> float:
        if self._failing or self._relay.is_follower():
            # A follower that reads itself only wants to know where it stands.
            return 0.0
        if self._relay.has_followers():
            return self._apply_s * CONFIGURATION_RELAYING_WAIT_SHARE
        return self._apply_s * CONFIGURATION_WAIT_SHARE


class UpstreamsFeed(Feed):
    """Follows the upstreams that register themselves."""

    topic = UPSTREAMS_TOPIC

    def __init__(
        self,
        *,
        store: Store,
        clock: Clock,
        relay: Relay,
        metrics: Metrics,
        drain_s: float,
        on_change: Callable[[tuple[Upstream, ...]], None],
    ):
        super().__init__(store=store, clock=clock, relay=relay, metrics=metrics)
        self.stale_after_s = drain_s * UPSTREAMS_STALE_SHARE
        self.query_interval_s = drain_s * UPSTREAMS_QUERY_SHARE
        self._drain_s = drain_s
        self._registry = Registry(
            on_skipped=lambda reason: metrics.count(SKIPPED_METRIC, reason.value)
        )
        self._on_change = on_change
        self._published: tuple[Upstream, ...] = ()

    def apply(self, batch: RecordBatch, *, is_snapshot: bool, sent_s: float) -> bool:
        now_s = self._clock.monotonic_s()
        if is_snapshot:
            self._registry.replace(batch.records, batch.next_offset, now_s)
        else:
            self._registry.apply(batch.records, now_s)
        self._publish(now_s)
        return True

    def _period_s(self) -> float:
        has_followers = self._relay.has_followers()
        share = (
            UPSTREAMS_RELAYING_PERIOD_SHARE if has_followers else UPSTREAMS_PERIOD_SHARE
        )
        return self._drain_s * share

    def on_read_failed(self) -> None:
        # An entry that the store turns away still hears of changes through others.
        # If its own failed reads alone meant that the store is away for all, every
        # missing upstream would be taken to come back, and one that has left would
        # stay in use for as long as the entry is turned away.
        if self.cache.age_s(self._clock.monotonic_s()) > STORE_UNAVAILABLE_AFTER_S:
            self._registry.on_store_failed()

    def _publish(self, now_s: float) -> None:
        upstreams = self._registry.upstreams(now_s)
        if upstreams == self._published:
            return
        before = {each.upstream_id: each for each in self._published}
        after = {each.upstream_id: each for each in upstreams}
        log.info(
            "upstreams changed",
            came=sorted(after.keys() - before.keys()),
            went=sorted(before.keys() - after.keys()),
            leaving=sorted(each.upstream_id for each in upstreams if each.leaving),
        )
        self._published = upstreams
        self._on_change(upstreams)


class EntriesFeed(Feed):
    """Makes this entry known to the others, and them to it.

    An entry writes its whereabouts; one of an earlier release leaves out its data
    centre.
    """

    topic = ENTRIES_TOPIC
    stale_after_s = ENTRIES_STALE_AFTER_S
    query_interval_s = ENTRIES_QUERY_INTERVAL_S

    def __init__(
        self,
        *,
        store: Store,
        clock: Clock,
        relay: Relay,
        metrics: Metrics,
        name: str,
        location: EntryLocation,
        on_change: Callable[[dict[str, EntryLocation]], None],
    ):
        super().__init__(store=store, clock=clock, relay=relay, metrics=metrics)
        self._name = name
        self._location = location
        self._on_change = on_change
        self._registered = False

    def poll(self) -> bool:
        """Write this entry's record until that has worked, then read on."""
        if not self._registered:
            value = json.dumps(attrs.asdict(self._location)).encode()
            self._count_call(CallReason.OWN_RECORD)
            appended = self._store.append(self.topic, self._name, value)
            if isinstance(appended, Err):
                self._note_failure(appended.err_value)
                return False
            self._registered = True
        return super().poll()

    def _relies_on_peers(self) -> bool:
        return self._registered and super()._relies_on_peers()

    def _period_s(self) -> float:
        return ENTRIES_PERIOD_S

    def apply(self, batch: RecordBatch, *, is_snapshot: bool, sent_s: float) -> bool:
        entries = {}
        for record in batch.records:
            if record.value is None:
                continue
            decoded = parse_as(record.value, EntryLocation)
            if isinstance(decoded, Err):
                error = decoded.err_value
                log.warning("entry's record skipped", key=record.key, error=error)
            elif not PEER_ADDRESS.fullmatch(decoded.ok_value.address):
                log.warning("entry's record skipped", key=record.key, error="address")
            else:
                entries[record.key] = decoded.ok_value
        self._on_change(entries)
        return True

    def leave(self) -> None:
        """Drop this entry's record; when that fails, its silence tells the others."""
        self.stop()
        self._count_call(CallReason.OWN_RECORD)
        left = self._store.append(self.topic, self._name, None)
        if isinstance(left, Err):
            log.info("record not dropped", error=left.err_value.detail)
