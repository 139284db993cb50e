"""The feeds that follow and decode topics of the platform's store."""

import json
import re
from collections.abc import Callable, Sequence

import attrs
import logbook
from result import Err, Ok

from lavenderspoke.clock import Clock
from lavenderspoke.direct.catalog import Catalog
from lavenderspoke.direct.feed import CallReason, Feed
from lavenderspoke.direct.inforce import CatalogInForce
from lavenderspoke.direct.instances import Upstream
from lavenderspoke.direct.listhandover import ListHandover
from lavenderspoke.direct.recordguard import RecordGuard
from lavenderspoke.direct.records import KeyedRecord, RecordBatch
from lavenderspoke.direct.relay import Relay
from lavenderspoke.direct.sharing import EntryLocation
from lavenderspoke.observing import signals
from lavenderspoke.observing.metrics import Metrics
from lavenderspoke.platform import configuration
from lavenderspoke.platform.burstcredits import TOPIC, is_credit, read_credits
from lavenderspoke.platform.decoding import parse_as
from lavenderspoke.platform.entrykinds import (
    EntryFacts,
    RecordKind,
    apply_kinds,
    fact_kinds,
    is_entry,
)
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
        # The record in force, and the newest version in this copy of the store.
        self._value_in_force = b""
        self._stored_version = 0

    def apply(self, batch: RecordBatch, *, is_snapshot: bool, sent_s: float) -> bool:
        epoch = self.cache.epoch
        self._orders.apply(batch, is_snapshot=is_snapshot, epoch=epoch)
        if not self._apply_configuration(batch, is_snapshot=is_snapshot, sent_s=sent_s):
            return False
        self._on_read(sent_s)
        return True

    def _apply_configuration(
        self, batch: RecordBatch, *, is_snapshot: bool, sent_s: float
    ) -> bool:
        records = [each for each in batch.records if each.key == CONFIGURATION_KEY]
        if not records:
            # A copy that lacks what is in force confirms nothing: it may also lack a
            # newer version, which revokes keys.
            if not is_snapshot and self.version() == self._stored_version > 0:
                self._in_force.confirm(sent_s)
            return True
        decoded = [configuration.decode(each.value or b"") for each in records]
        catalogs = [
            (each.ok_value, record.value)
            for each, record in zip(decoded, records, strict=True)
            if isinstance(each, Ok)
        ]
        if catalogs:
            # Of several in one read, the highest version applies, not the last: an
            # older version that was rewritten must not replace it.
            catalog, value = max(catalogs, key=lambda each: each[0].version)
            self._stored_version = max(self._stored_version, catalog.version)
            self._offer(catalog, value)
        if isinstance(decoded[-1], Err):
            # Not confirmed and not skipped: it may revoke keys.
            self.state.record_failed(decoded[-1].err_value, records[-1:])
            return False
        for each, record in zip(decoded, records, strict=True):
            if isinstance(each, Err):
                # Each one is whole, so the last one holds all that it may have said.
                log.error(
                    "invalid configuration superseded",
                    offset=record.offset,
                    error=each.err_value,
                )
        if catalog.version == self.version():
            self._in_force.confirm(sent_s)
        return True

    def _offer(self, catalog: Catalog, value: bytes) -> bool:
        if not self._in_force.offer(catalog):
            return False
        self._value_in_force = value
        self._on_change(catalog)
        return True

    def on_new_copy(self, *, is_announced: bool) -> None:
        self._stored_version = 0
        self._orders.on_new_copy()

    def version(self) -> int:
        catalog = self._in_force.catalog
        return 0 if catalog is None else catalog.version

    def unstored_version(self) -> int:
        version = self.version()
        return version if version > self._stored_version else 0

    def newer_than(self, version: int) -> tuple[tuple[str, bytes], ...]:
        with self._apply_lock:
            if self.version() <= version:
                return ()
            return ((CONFIGURATION_KEY, self._value_in_force),)

    def apply_unstored(self, rows: tuple[tuple[str, bytes], ...]) -> None:
        with self._apply_lock:
            for key, value in rows:
                decoded = configuration.decode(value)
                if key != CONFIGURATION_KEY or isinstance(decoded, Err):
                    log.error("invalid configuration of a peer ignored", key=key)
                    continue
                if self._offer(decoded.ok_value, value):
                    log.warning(
                        signals.UNSTORED_IN_FORCE,
                        version=decoded.ok_value.version,
                        stored=self._stored_version,
                    )

    def run_once(self) -> float:
        pause_s = super().run_once()
        if self.unstored_version():
            # Again and again, since entries start meanwhile, and messages get lost.
            self._relay.tell_unstored(self)
        return pause_s

    def _long_poll_s(self) -> float:
        if self._failing or self._relay.is_follower():
            # A follower that reads the store itself needs only the current state.
            return 0.0
        if self._relay.has_followers():
            return self._apply_s * CONFIGURATION_RELAYING_WAIT_SHARE
        return self._apply_s * CONFIGURATION_WAIT_SHARE


class UpstreamsFeed(Feed):
    """Follows the upstreams' registrations.

    `on_read(sent_s)` is called after each read that was applied, with its send time.
    """

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
        on_read: Callable[[float], None] = lambda sent_s: None,
    ):
        super().__init__(store=store, clock=clock, relay=relay, metrics=metrics)
        self._on_read = on_read
        self.stale_after_s = drain_s * UPSTREAMS_STALE_SHARE
        self.query_interval_s = drain_s * UPSTREAMS_QUERY_SHARE
        self._drain_s = drain_s
        self._registry = Registry(
            on_skipped=lambda reason: metrics.count(SKIPPED_METRIC, reason.value)
        )
        self._handover = ListHandover(take=on_change, metrics=metrics)

    def apply(self, batch: RecordBatch, *, is_snapshot: bool, sent_s: float) -> bool:
        now_s = self._clock.monotonic_s()
        if is_snapshot:
            self._registry.replace(batch.records, batch.next_offset, now_s)
        else:
            self._registry.apply(batch.records, now_s)
        self._publish(now_s)
        self._on_read(sent_s)
        return True

    def on_new_copy(self, *, is_announced: bool) -> None:
        self._registry.on_new_copy(self._clock.monotonic_s())

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
        known = self._handover.taken
        self._handover.hand_on(self._registry.upstreams(now_s))
        taken = self._handover.taken
        if taken == known:
            return
        before = {each.upstream_id: each for each in known}
        after = {each.upstream_id: each for each in taken}
        log.info(
            "upstreams changed",
            came=sorted(after.keys() - before.keys()),
            went=sorted(before.keys() - after.keys()),
            leaving=sorted(each.upstream_id for each in taken if each.leaving),
        )


@attrs.frozen(kw_only=True)
class EntryRecord:
    """An entry's record of itself.

    Earlier releases omit the data centre and `version`, which was in force at the entry
    when it wrote the record.
    """

    address: str
    data_centre: str = ""
    version: int = 0


class EntriesFeed(Feed):
    """Registers this entry in the store, and follows the other entries' records.

    `on_read(sent_s)` is called after each read that was applied, with its send time.

    An entry writes its location, and the configuration in force: when the store comes
    back from an older copy, it is written again, and an entry that starts then learns
    of versions that the copy lacks. The topic also has customers' burst credits,
    crashes of upstreams, quarantines of content and software versions, since a starting
    entry needs them before it serves, and one read is enough for all.
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
        in_force: CatalogInForce,
        on_change: Callable[[dict[str, EntryLocation]], None],
        on_credits: Callable[[dict[str, float]], None] = lambda credits: None,
        on_credits_lost: Callable[[dict[str, float]], None] = lambda credits: None,
        facts: EntryFacts | None = None,
        on_read: Callable[[float], None] = lambda sent_s: None,
    ):
        super().__init__(store=store, clock=clock, relay=relay, metrics=metrics)
        self._in_force = in_force
        self._on_credits = on_credits
        self._on_credits_lost = on_credits_lost
        self._facts = facts
        self._on_read = on_read
        self._guard = RecordGuard(topic=self.topic, metrics=metrics)
        # Whether the next snapshot is the first of a copy that may lack records.
        self._has_lost_records = False
        self._name = name
        self._location = location
        self._on_change = on_change
        # The newest copy of the store that this entry knows of, and the one to which it
        # has written its record.
        self._newest_epoch = 0
        self._registered_epoch: int | None = None

    def poll(self) -> bool:
        """Write this entry's record unless the store has it, then read the store."""
        if not self._is_registered():
            epoch = self._newest_epoch
            catalog = self._in_force.catalog
            record = EntryRecord(
                address=self._location.address,
                data_centre=self._location.data_centre,
                version=0 if catalog is None else catalog.version,
            )
            value = json.dumps(attrs.asdict(record)).encode()
            self._count_call(CallReason.OWN_RECORD)
            appended = self._store.append(self.topic, self._name, value)
            if isinstance(appended, Err):
                self._note_failure(appended.err_value)
                return False
            self._registered_epoch = epoch
        return super().poll()

    def epoch_rose(self, epoch: int) -> None:
        if epoch > self._newest_epoch:
            self._newest_epoch = epoch
            self._wake.set()

    def on_new_copy(self, *, is_announced: bool) -> None:
        self._has_lost_records = True
        if not is_announced:
            self._registered_epoch = None
        self._newest_epoch = max(self._newest_epoch, self.cache.epoch)

    def _is_registered(self) -> bool:
        return self._registered_epoch == self._newest_epoch

    def _relies_on_peers(self) -> bool:
        return self._is_registered() and super()._relies_on_peers()

    def _period_s(self) -> float:
        return ENTRIES_PERIOD_S

    def apply(self, batch: RecordBatch, *, is_snapshot: bool, sent_s: float) -> bool:
        kinds = [
            RecordKind(is_kind=is_credit, apply=self._apply_credits),
            RecordKind(is_kind=is_entry, apply=self._apply_entries),
        ]
        if self._facts is not None:
            if self._has_lost_records:
                self._facts.records_lost()
            kinds = [*fact_kinds(self._facts, batch.epoch), *kinds]
        apply_kinds(batch, kinds, self._guard, is_snapshot=is_snapshot)
        if is_snapshot:
            self._has_lost_records = False
        self._on_read(sent_s)
        return True

    def _apply_credits(self, records: Sequence[KeyedRecord], is_snapshot: bool) -> None:
        if is_snapshot:
            credits = read_credits(records)
            self._on_credits(credits)
            if self._has_lost_records:
                self._on_credits_lost(credits)

    def _apply_entries(self, records: Sequence[KeyedRecord], is_snapshot: bool) -> None:
        entries = {}
        for record in records:
            if record.value is None:
                continue
            decoded = parse_as(record.value, EntryRecord)
            if isinstance(decoded, Err):
                error = decoded.err_value
                log.warning("entry's record skipped", key=record.key, error=error)
            elif not PEER_ADDRESS.fullmatch(decoded.ok_value.address):
                log.warning("entry's record skipped", key=record.key, error="address")
            else:
                listed = decoded.ok_value
                self._in_force.require(listed.version)
                entries[record.key] = EntryLocation(
                    address=listed.address, data_centre=listed.data_centre
                )
        self._on_change(entries)

    def leave(self) -> None:
        """Delete this entry's record; if that fails, others notice its silence."""
        self.stop()
        self._count_call(CallReason.OWN_RECORD)
        left = self._store.append(self.topic, self._name, None)
        if isinstance(left, Err):
            log.info("deleting own record failed", error=left.err_value.detail)
