"""The feeds that follow and decode topics of the platform's store."""

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
from lavenderspoke.platform.burstcredits import TOPIC, is_credit, read_credits
from lavenderspoke.platform.decoding import parse_as
from lavenderspoke.platform.registry import Registry
from lavenderspoke.platform.rollouts import OrderTracker
from lavenderspoke.platform.store import Store

CONFIGURATION_TOPIC = "keyed.op"
CONFIGURATION_KEY = "config"
UPSTREAMS_TOPIC = "keyed.servers"
ENTRIES_TOPIC = TOPIC

# Duration of a long poll for the configuration, as a share of the time in which one
# must be applied. New records are returned at once, so the duration only limits how
# late a silent connection is noticed.
CONFIGURATION_WAIT_SHARE = 0.75
# The same while other entries follow this one: its records are up to two such polls
# old when they are relayed.
CONFIGURATION_RELAYING_WAIT_SHARE = 0.25
# Time between two queries to another entry, as a share of the same time. Including
# the age of the relayed records, a follower's are up to 0.65 of it old without faults.
CONFIGURATION_QUERY_SHARE = 0.15
# Age from which a follower reads the store itself, as a share of the same time. Its
# records come from a read before any change that it misses, so that change is applied
# after this age and one own read, whatever the queried entries do.
CONFIGURATION_STALE_SHARE = 0.7
# Age of the last version from which a follower reads one that is too large to be
# relayed, as a share of the same time. Its records come from a read before that
# version, which is thus applied after this age and one read. It is below the age up to
# which others use relayed records, since an entry that the store rejects gets that
# version from one that has read it.
CONFIGURATION_REREAD_SHARE = 0.3
# Time between two reads of the upstreams, as a share of the time in which a leaving
# upstream must get its last request: one read, its response and an in-flight request
# fit in. A long poll would return at each heartbeat of each upstream, and calls cost
# money: twice as many reads bring no benefit that callers notice.
UPSTREAMS_PERIOD_SHARE = 0.5
# The same while other entries follow this one, the time between two of their queries,
# and the age from which they read the store themselves. Read and query intervals add up
# to the interval above. The time left after that age is for the read and the in-flight
# request, on a machine whose threads are delayed by half a second.
UPSTREAMS_RELAYING_PERIOD_SHARE = 0.3
UPSTREAMS_QUERY_SHARE = 0.2
UPSTREAMS_STALE_SHARE = 0.6
# Age of the records, in seconds, from which the store counts as unavailable to all
# entries: above the age of relayed records, and below the 2.4 s after which the first
# upstreams' records expire, which heartbeat every 1.2 s and may miss two.
STORE_UNAVAILABLE_AFTER_S = 2.0
# Time between two reads of the entries' records, in seconds: they change only when an
# entry starts, and a starting entry announces itself to the others.
ENTRIES_PERIOD_S = 8.0
# Time between two queries for them, and the age from which an entry reads the store
# itself, in seconds.
ENTRIES_QUERY_INTERVAL_S = 4.0
ENTRIES_STALE_AFTER_S = 20.0
SKIPPED_METRIC = "upstream_records_skipped"

# The address format of an entry's listener for other entries.
PEER_ADDRESS = re.compile(r"tcp://[0-9.]{7,15}:[0-9]{1,5}")

log = logbook.Logger(__name__)


class ConfigurationFeed(Feed):
    """Follows the operators' configuration, and roll-out orders in the same topic.

    `on_read(sent_s)` is called after each read that was applied, with its send time.
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
                # Not confirmed and not skipped: it may revoke keys.
                log.error("invalid configuration", error=decoded.err_value)
                return False
            catalogs.append(decoded.ok_value)
        # Of several in one read, the highest version applies, not the last: an older
        # version that was rewritten must not replace it.
        catalog = max(catalogs, key=lambda each: each.version)
        if self._in_force.offer(catalog):
            self._on_change(catalog)
        if catalog.version == self._in_force.catalog.version:
            self._in_force.confirm(sent_s)
        return True

    def _long_poll_s(self) -> float:
        if self._failing or self._relay.is_follower():
            # A follower that reads the store itself needs only the current state.
            return 0.0
        if self._relay.has_followers():
            return self._apply_s * CONFIGURATION_RELAYING_WAIT_SHARE
        return self._apply_s * CONFIGURATION_WAIT_SHARE


class UpstreamsFeed(Feed):
    """Follows the upstreams' registrations."""

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
        # An entry that the store rejects still gets changes from other entries. If its
        # own failed reads alone marked the store as unavailable, removals would be
        # delayed, and an upstream that left would stay in use while that lasts.
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
    """Registers this entry in the store, and follows the other entries' records.

    An entry writes its location; earlier releases omit the data centre. The topic also
    holds customers' burst credits, since a starting entry needs both before it serves,
    and one read is enough for both.
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
        on_credits: Callable[[dict[str, float]], None] = lambda credits: None,
    ):
        super().__init__(store=store, clock=clock, relay=relay, metrics=metrics)
        self._on_credits = on_credits
        self._name = name
        self._location = location
        self._on_change = on_change
        self._registered = False

    def poll(self) -> bool:
        """Write this entry's record unless that has succeeded, then read the store."""
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
        if is_snapshot:
            self._on_credits(read_credits(batch.records))
        entries = {}
        for record in batch.records:
            if record.value is None or is_credit(record):
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
        """Delete this entry's record; if that fails, others notice its silence."""
        self.stop()
        self._count_call(CallReason.OWN_RECORD)
        left = self._store.append(self.topic, self._name, None)
        if isinstance(left, Err):
            log.info("deleting own record failed", error=left.err_value.detail)
