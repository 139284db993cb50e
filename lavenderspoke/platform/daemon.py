"""Assembles an entry on the platform from its settings, feeds and log."""

import functools
import math
import signal
import socket
import sys
import threading
from random import Random

import attrs
import logbook

from lavenderspoke.clock import BootClock, Clock
from lavenderspoke.direct.daemon import DirectEntry
from lavenderspoke.direct.messages import RecordsMessage
from lavenderspoke.direct.relay import PeerAccess, Relay
from lavenderspoke.direct.settings import Bounds
from lavenderspoke.direct.streamexchange import STREAM_VERSIONS
from lavenderspoke.direct.verdicts import CRASHES, QUARANTINES
from lavenderspoke.model import InstanceId
from lavenderspoke.observing.logs import BoundedStream, JsonLinesHandler
from lavenderspoke.periodic import Periodic
from lavenderspoke.platform import crashrecords, quarantines, versionrecords
from lavenderspoke.platform.burstcredits import CreditWriter
from lavenderspoke.platform.entryrecords import DueRecords, RecordWriter, part_of
from lavenderspoke.platform.feeds import ConfigurationFeed, EntriesFeed, UpstreamsFeed
from lavenderspoke.platform.rollouts import OrderTracker, StatusWriter
from lavenderspoke.platform.settings import PlatformSettings
from lavenderspoke.platform.settingsfile import read_settings
from lavenderspoke.platform.store import Store
from lavenderspoke.platform.streamrecords import JournalReader, JournalWriter
from lavenderspoke.platform.wire import PlatformDialect
from lavenderspoke.resources.allocator import give_back_freed
from lavenderspoke.resources.clientmemory import CLIENT_MEMORY, client_bytes
from lavenderspoke.supervisor import Part
from lavenderspoke.util import UserError

# A thread's stack in bytes: with the default of 8 MB, a hundred threads reserve far
# more memory than they use.
THREAD_STACK_BYTES = 512 * 1024
# Time between two reads of the settings file, in seconds: it may change without a
# signal, and no change in it is more urgent than a few seconds.
SETTINGS_PERIOD_S = 2.0
# Time between two checks of upstreams that couldn't be checked before, and of idle
# connections, in seconds.
CHECKS_PERIOD_S = 0.2
# Time between two checks of requests that are handled past their deadlines, in seconds.
OVERDUE_PERIOD_S = 0.1
# Share of the key revocation limit to which the time to apply is capped.
KEY_REVOCATION_SHARE = 0.4
# The age of the list of upstreams that is in use, in seconds.
LIST_AGE_METRIC = "upstreams_list_age_s"
# What the process holds for its clients, in bytes.
CLIENT_BYTES_METRIC = "direct_client_bytes"
# How long writing the last log lines may take on shutdown, in seconds.
LOG_DRAIN_TIMEOUT_S = 0.3

log = logbook.Logger(__name__)


class SettingsReloader:
    """Applies changes of the settings file; an invalid file changes nothing."""

    def __init__(self, *, path: str, entry: DirectEntry, settings: PlatformSettings):
        self._path = path
        self._entry = entry
        self._settings = settings
        self.part = Periodic(
            name="settings", period_s=SETTINGS_PERIOD_S, work=self._reload_if_changed
        )

    def on_signal(self, number: int, frame: object) -> None:
        """Reload the settings file at once."""
        self.part.wake()

    def _reload_if_changed(self) -> None:
        try:
            changed = read_settings(self._path)
        except UserError as error:
            log.error("invalid settings file ignored", mistakes=error.lines)
            return
        if changed == self._settings:
            return
        self._settings = changed
        self._entry.reload(changed.direct.bounds)
        log.info("settings reloaded", bounds=attrs.asdict(changed.direct.bounds))


def _apply_limit_s(bounds: Bounds) -> float:
    """Return how long a configuration may take to be applied, in seconds.

    If the platform allows a long time, reads must still be frequent enough to revoke
    keys: two long polls, each up to 0.75 of this, and a lost response fit into the
    revocation limit.
    """
    return min(bounds.apply_s, bounds.revoke_s * KEY_REVOCATION_SHARE)


class PlatformFeeds:
    """The feeds from the platform's store for one entry."""

    def __init__(
        self,
        *,
        entry: DirectEntry,
        settings: PlatformSettings,
        reloader: SettingsReloader,
        clock: Clock,
    ):
        self._reloader = reloader
        self._clock = clock
        self._drain_s = settings.direct.bounds.drain_s
        self._relay = Relay(
            peers=PeerAccess(
                name=entry.me.name,
                live_peer_names=entry.dispatcher.live_peer_names,
                send=entry.send_to_peer,
            ),
            clock=clock,
            random=Random(),
        )
        self._configuration = ConfigurationFeed(
            store=Store(address=settings.store, metrics=entry.metrics),
            clock=clock,
            relay=self._relay,
            metrics=entry.metrics,
            apply_s=_apply_limit_s(settings.direct.bounds),
            in_force=entry.in_force,
            orders=OrderTracker(
                on_order=entry.dispatcher.rollout_ordered,
                on_withdrawn=entry.dispatcher.order_withdrawn,
                on_records_lost=entry.dispatcher.rollout_records_lost,
                metrics=entry.metrics,
            ),
            on_change=entry.catalog_changed,
            on_read=entry.dispatcher.orders_read,
        )
        self._rollouts = StatusWriter(
            store=Store(address=settings.store, metrics=entry.metrics),
            clock=clock,
            metrics=entry.metrics,
            updates_due=entry.dispatcher.rollout_records_due,
            on_stored=entry.dispatcher.rollout_stored,
        )
        self._upstreams = UpstreamsFeed(
            store=Store(address=settings.store, metrics=entry.metrics),
            clock=clock,
            relay=self._relay,
            metrics=entry.metrics,
            drain_s=settings.direct.bounds.drain_s,
            on_change=entry.dispatcher.upstreams_changed,
            on_read=entry.dispatcher.upstreams_read,
        )
        self._entries = EntriesFeed(
            store=Store(address=settings.store, metrics=entry.metrics),
            clock=clock,
            relay=self._relay,
            metrics=entry.metrics,
            name=entry.me.name,
            location=entry.location,
            in_force=entry.in_force,
            on_change=entry.dispatcher.peers_listed,
            on_credits=entry.dispatcher.burst_credits_read,
            on_credits_lost=entry.dispatcher.burst_credits_lost,
            facts=entry.dispatcher.facts,
            on_read=entry.dispatcher.stream_versions.record_records_read,
        )
        entry.dispatcher.stream_versions.reads.request = self._read_versions
        self._facts = _fact_writer(entry, settings, clock)
        entry.dispatcher.streams.find_recorded = JournalReader(
            store=Store(address=settings.store, metrics=entry.metrics),
            clock=clock,
            metrics=entry.metrics,
        ).find
        self._entry = entry
        self._checks = Periodic(
            name="checks", period_s=CHECKS_PERIOD_S, work=self._check
        )
        self._overdue = Periodic(
            name="overdue", period_s=OVERDUE_PERIOD_S, work=entry.overdue.check
        )
        self._has_credits = settings.direct.policies.burst_credits
        self._credits = CreditWriter(
            store=Store(address=settings.store, metrics=entry.metrics),
            clock=clock,
            metrics=entry.metrics,
            dispatcher=entry.dispatcher,
        )

    def parts(self) -> list[tuple[str, Part]]:
        """Return the parts in the order in which they start."""
        parts = [
            ("settings", self._reloader.part),
            ("configuration", self._configuration),
            ("upstreams", self._upstreams),
            ("entries", self._entries),
            ("rollouts", self._rollouts.part),
            ("facts", self._facts),
            ("checks", self._checks),
            ("overdue", self._overdue),
        ]
        if self._has_credits:
            parts.append(("credits", self._credits.part))
        return parts

    def _read_versions(self) -> None:
        """Have all that tells of versions read from the store soon."""
        self._upstreams.schedule_read()
        self._entries.schedule_read()

    def _check(self) -> None:
        self._entry.dispatcher.connection_pools.close_used_up()
        self._entry.dispatcher.crash_checks.check_again()
        self._entry.metrics.set_gauge(CLIENT_BYTES_METRIC, CLIENT_MEMORY.held_bytes)
        age_s = self._upstreams.cache.age_s(self._clock.monotonic_s())
        if math.isfinite(age_s):
            self._entry.metrics.set_gauge(LIST_AGE_METRIC, age_s)

    def handle_message(self, sender: InstanceId, message: RecordsMessage) -> None:
        """Handle a message from another entry about the store's records."""
        self._relay.handle_message(sender, message)

    def is_following(self) -> bool:
        """Return whether what is read of the upstreams can be applied."""
        return not self._upstreams.state.is_blocked(for_s=self._drain_s)

    def leave(self) -> None:
        """Delete this entry's record from the store."""
        self._entries.leave()


def _fact_writer(entry: DirectEntry, settings: PlatformSettings, clock: Clock) -> Part:
    """Return the part that writes the records beside those of the entries."""
    facts = entry.dispatcher.facts
    store = Store(address=settings.store, metrics=entry.metrics)

    def quarantines_due() -> DueRecords:
        writes, deletions = facts.quarantines_due()
        values = {name: {"upstreams": each} for name, each in writes.items()}
        return DueRecords(writes=values, deletions=deletions)

    def crashes_due() -> DueRecords:
        writes, deletions = facts.crashes_due()
        return DueRecords(
            writes={crashrecords.record_key(n): e for n, e in writes.items()},
            deletions=[crashrecords.record_key(name) for name in deletions],
        )

    def versions_due() -> DueRecords:
        changes = facts.versions_due()
        return DueRecords(
            writes={each.key: each for each in changes.writes},
            deletions=list(changes.deletions),
        )

    writer = functools.partial(
        RecordWriter, store=store, clock=clock, metrics=entry.metrics
    )
    writers = [
        writer(
            prefix=crashrecords.KEY_PREFIX,
            metric=CRASHES,
            due=crashes_due,
            encode=attrs.asdict,
            on_written=lambda key, recorded: facts.crash_written(
                crashrecords.record_name(key), recorded
            ),
            on_deleted=lambda key: facts.crash_deleted(crashrecords.record_name(key)),
        ),
        writer(
            prefix=quarantines.KEY_PREFIX,
            metric=QUARANTINES,
            due=quarantines_due,
            on_written=lambda name, value: facts.quarantine_written(name),
            on_deleted=facts.quarantine_deleted,
        ),
        writer(
            prefix=versionrecords.KEY_PREFIX,
            metric=STREAM_VERSIONS,
            due=versions_due,
            encode=attrs.asdict,
            on_written=lambda key, record: facts.version_written(record),
            on_deleted=facts.version_deleted,
        ),
        JournalWriter(
            name=entry.me.name,
            store=store,
            clock=clock,
            metrics=entry.metrics,
            take_due=facts.streams_due,
            put_back=facts.streams_not_written,
        ),
    ]
    return part_of(writers)


def run(path: str, listener: socket.socket | None) -> int:
    """Run the entry with the settings file at `path`; return its exit status.

    Connections may already be queued at `listener`.
    """
    give_back_freed()
    threading.stack_size(THREAD_STACK_BYTES)
    try:
        platform = read_settings(path)
    except UserError as error:
        print("\n".join(error.lines), file=sys.stderr)
        return error.exit_status
    CLIENT_MEMORY.bytes_max = client_bytes(
        memory_bytes=platform.direct.limits.memory_bytes,
        threads=platform.direct.threads,
    )
    stream = BoundedStream(sys.stdout)
    handler = JsonLinesHandler(daemon=platform.direct.name, stream=stream)
    with handler.applicationbound():
        clock = BootClock()
        entry = DirectEntry(
            settings=platform.direct,
            listener=listener,
            dialect=PlatformDialect(),
            clock=clock,
            flush=lambda: stream.drain(LOG_DRAIN_TIMEOUT_S),
        )
        reloader = SettingsReloader(path=path, entry=entry, settings=platform)
        signal.signal(signal.SIGHUP, reloader.on_signal)
        return entry.run(
            PlatformFeeds(
                entry=entry, settings=platform, reloader=reloader, clock=clock
            )
        )
