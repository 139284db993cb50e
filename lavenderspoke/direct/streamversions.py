"""At which software version streams began, as far as an entry knows.

Upstreams of several versions may serve side by side, and what two versions write
doesn't fit together. A stream therefore goes on only at the version that began it. Its
caller names the attempt that brought its first event.
"""

import threading
from collections import OrderedDict, defaultdict
from collections.abc import Iterable, Mapping

import attrs
import logbook

from lavenderspoke.clock import Clock
from lavenderspoke.direct.freshreads import FreshReads
from lavenderspoke.direct.instances import Upstream
from lavenderspoke.direct.streamjournal import StreamJournal, StreamRow
from lavenderspoke.direct.versionrecords import (
    RecordedVersion,
    ServiceVersion,
    VersionChanges,
    VersionRecords,
)
from lavenderspoke.observing import signals

# Time for which a stream's version is kept after it was last told of, in seconds: well
# above the time in which callers take a stream up again. A longer stream is told of
# again and again.
KEPT_S = 60.0
# Time after which a stream that still runs is told of again, in seconds.
TOLD_AGAIN_S = KEPT_S / 3.0
# Streams kept at most; the oldest are forgotten first.
STREAMS_MAX = 50_000
# Streams whose attempts have a longer id aren't kept: callers choose it, and nothing
# else bounds what that many of them take.
ID_LENGTH_MAX = 128
# Age of the list of upstreams, in seconds, up to which it tells that no other version
# serves: lists are read about once a second.
LIST_AGE_MAX_S = 4.0
# What is read anew before a stream goes on at the only version.
UPSTREAMS = "upstreams"
RECORDS = "records"

log = logbook.Logger(__name__)


@attrs.frozen(kw_only=True)
class _Begun:
    service: str
    version: str
    known_s: float


class ListedVersions:
    """The versions of each service that were listed lately.

    An entry doesn't know what was listed before its start until `KEPT_S` later, or
    until it has read from the platform's store all versions that are recorded there.

    >>> versions = ListedVersions(now_s=0.0)
    >>> versions.update([("s", "v1")], 1.0)
    >>> versions.only_version("s", 2.0), versions.only_version("s", 60.0)
    (None, 'v1')
    >>> versions.update([("s", "v1"), ("s", "v2")], 60.5)
    >>> versions.only_version("s", 61.0)
    """

    def __init__(self, *, now_s: float):
        self._complete_from_s = now_s + KEPT_S
        self._last_listed_s: dict[str, dict[str, float]] = defaultdict(dict)
        self._recorded: frozenset[ServiceVersion] = frozenset()

    def update(self, listed: Iterable[tuple[str, str]], now_s: float) -> None:
        """Apply the services and versions of the upstreams that are listed now."""
        for service, version in listed:
            self._last_listed_s[service][version] = now_s

    def update_recorded(
        self, recorded: frozenset[ServiceVersion], now_s: float, *, is_complete: bool
    ) -> None:
        """Apply the versions that the store has; all of them if it `is_complete`.

        One that wasn't recorded before may have begun streams until now.
        """
        for service, version in recorded - self._recorded:
            self._last_listed_s[service].setdefault(version, now_s)
        self._recorded = recorded
        if is_complete:
            self._complete_from_s = min(self._complete_from_s, now_s)

    def recent(self, service: str, now_s: float) -> tuple[str, ...]:
        """Return the versions of which a stream may still be taken up."""
        listed = self._last_listed_s.get(service, {})
        for version in [v for v, at_s in listed.items() if now_s >= at_s + KEPT_S]:
            del listed[version]
        return tuple(sorted(listed))

    def services(self) -> list[str]:
        """Return the services whose upstreams were listed."""
        return list(self._last_listed_s)

    def is_complete(self, now_s: float) -> bool:
        """Return whether all versions are known that were listed lately."""
        return now_s >= self._complete_from_s

    def only_version(self, service: str, now_s: float) -> str | None:
        """Return the version that began all streams of a service, if only one did.

        A record stays until no stream of its version can be taken up.
        """
        recorded = {version for name, version in self._recorded if name == service}
        possible = recorded.union(self.recent(service, now_s))
        if len(possible) != 1 or not self.is_complete(now_s):
            return None
        return possible.pop()


class StreamVersions:
    """The versions of recent streams, and of the upstreams that may have begun any.

    Thread-safe. `records` and `journal` are what the platform's store has of them, and
    `reads` has the list of upstreams and these records read anew.
    """

    def __init__(self, *, clock: Clock):
        self.records = VersionRecords(clock=clock)
        self.journal = StreamJournal(clock=clock)
        self.reads = FreshReads(topics=(UPSTREAMS, RECORDS), clock=clock)
        self._clock = clock
        self._lock = threading.Lock()
        self._begun: OrderedDict[str, _Begun] = OrderedDict()
        self._unsent: list[StreamRow] = []
        self._listed: tuple[Upstream, ...] = ()
        self._versions = ListedVersions(now_s=clock.monotonic_s())
        self._read_s = float("-inf")
        self._logged: dict[str, tuple[str, ...]] = {}

    def update_listed(self, upstreams: tuple[Upstream, ...]) -> None:
        """Apply the platform's list of upstreams."""
        with self._lock:
            # Those that went have been listed until now.
            self._note_listed()
            self._listed = upstreams
            self._note_listed()
            self._log_changes()

    def record_read(self, sent_s: float) -> None:
        """Record that a read sent at `sent_s` has returned all upstreams."""
        self._read_s = max(self._read_s, sent_s)
        self.reads.record(UPSTREAMS, sent_s)

    def record_records_read(self, sent_s: float) -> None:
        """Record that a read sent at `sent_s` has returned all records of versions."""
        self.reads.record(RECORDS, sent_s)

    def read_records(
        self,
        present: Mapping[str, RecordedVersion],
        deleted: Iterable[str],
        *,
        is_snapshot: bool,
        epoch: int | None,
    ) -> None:
        """Apply the records of versions in the store, by key."""
        is_complete = self.records.read(
            present, deleted, is_snapshot=is_snapshot, epoch=epoch
        )
        with self._lock:
            self._versions.update_recorded(
                self.records.pairs(),
                self._clock.monotonic_s(),
                is_complete=is_complete,
            )

    def records_due(self, *, is_first: bool) -> VersionChanges:
        """Return the records to write or delete; `is_first` of all live entries."""
        with self._lock:
            self._note_listed()
            now_s, versions = self._clock.monotonic_s(), self._versions
            recent = {
                each: versions.recent(each, now_s) for each in versions.services()
            }
            is_complete = versions.is_complete(now_s) and self._is_list_recent(now_s)
        return self.records.due(recent, is_first=is_first, is_complete=is_complete)

    def take_journal_due(self, *, entries: int) -> tuple[StreamRow, ...]:
        """Return the streams of this entry's own to be recorded now."""
        return self.journal.take_due(self.has_several, entries=entries)

    def only_version(self, service: str) -> str | None:
        """Return the version of all streams of a service, if there is only one."""
        with self._lock:
            now_s = self._clock.monotonic_s()
            if not self._is_list_recent(now_s):
                # Another version may have begun to serve meanwhile.
                return None
            self._note_listed()
            return self._versions.only_version(service, now_s)

    def record(self, row: StreamRow) -> None:
        """Record a stream of this entry's own, to be told to its neighbours."""
        if len(row[0]) > ID_LENGTH_MAX:
            return
        with self._lock:
            self._put(row)
            self._unsent.append(row)
        self.journal.record(row)

    def merge(self, rows: Iterable[StreamRow]) -> None:
        """Record streams that other entries have told of."""
        with self._lock:
            for row in rows:
                if len(row[0]) <= ID_LENGTH_MAX:
                    self._put(row)

    def find(self, attempt_id: str) -> StreamRow | None:
        """Return what is known of the stream that an attempt began, if anything."""
        rows = self.rows((attempt_id,))
        return rows[0] if rows else None

    def rows(self, attempt_ids: Iterable[str]) -> tuple[StreamRow, ...]:
        """Return what is known of these streams."""
        with self._lock:
            now_s = self._clock.monotonic_s()
            known = ((each, self._begun.get(each)) for each in attempt_ids)
            return tuple(
                (attempt_id, begun.service, begun.version)
                for attempt_id, begun in known
                if begun is not None and now_s < begun.known_s + KEPT_S
            )

    def take_unsent(self) -> tuple[StreamRow, ...]:
        """Return the streams that haven't been told to the neighbours yet."""
        with self._lock:
            unsent, self._unsent = self._unsent, []
            return tuple(unsent)

    def has_several(self, service: str) -> bool:
        """Return whether several versions may have begun streams of a service.

        Where it isn't known, they may.
        """
        with self._lock:
            self._note_listed()
            now_s = self._clock.monotonic_s()
            return self._versions.only_version(service, now_s) is None

    def _is_list_recent(self, now_s: float) -> bool:
        return now_s < self._read_s + LIST_AGE_MAX_S

    def _note_listed(self) -> None:
        listed = {(each.service, each.version) for each in self._listed}
        self._versions.update(listed, self._clock.monotonic_s())

    def _log_changes(self) -> None:
        """Log the services that have got or lost a version."""
        now_s, versions = self._clock.monotonic_s(), self._versions
        recent = {each: versions.recent(each, now_s) for each in versions.services()}
        for service, each in recent.items():
            if each != self._logged.get(service):
                log.info(signals.VERSIONS_LISTED, service=service, versions=each)
        self._logged = recent

    def _put(self, row: StreamRow) -> None:
        attempt_id, service, version = row
        now_s = self._clock.monotonic_s()
        self._begun[attempt_id] = _Begun(
            service=service, version=version, known_s=now_s
        )
        self._begun.move_to_end(attempt_id)
        while self._begun:
            oldest = next(iter(self._begun.values()))
            if len(self._begun) <= STREAMS_MAX and now_s < oldest.known_s + KEPT_S:
                break
            self._begun.popitem(last=False)
