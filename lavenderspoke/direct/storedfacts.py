"""What an entry records in the platform's store for entries that start later.

These are crashes of upstreams, quarantines of content, the software versions of
services, and the versions of streams.
"""

import threading
from collections.abc import Callable, Iterable

from lavenderspoke.clock import Clock
from lavenderspoke.direct.crashrecords import CrashRecordName, RecordedCrash
from lavenderspoke.direct.quarantinerecords import QuarantineRecords
from lavenderspoke.direct.streamjournal import StreamRow
from lavenderspoke.direct.streamversions import StreamVersions
from lavenderspoke.direct.verdicts import UpstreamMonitor
from lavenderspoke.direct.versionrecords import RecordedVersion, VersionChanges
from lavenderspoke.quarantine.messages import Quarantined


class StoredFacts:
    """Decides on these records, and applies those of other entries; thread-safe.

    `lock` is the dispatcher's, which also guards the `monitor`.
    """

    def __init__(
        self,
        *,
        name: str,
        monitor: UpstreamMonitor,
        stream_versions: StreamVersions,
        live_peer_names: Callable[[], list[str]],
        clock: Clock,
        lock: threading.RLock,
    ):
        self._name = name
        self._monitor = monitor
        self._stream_versions = stream_versions
        self._live_peer_names = live_peer_names
        self._clock = clock
        self._lock = lock
        self._quarantines = QuarantineRecords()

    # Quarantines

    def note_proved(self, fingerprint: str, *, is_own: bool, now_s: float) -> None:
        """Record that content is quarantined by evidence, part of it `is_own`."""
        self._quarantines.note_proved(fingerprint, is_own=is_own, now_s=now_s)

    def quarantines_read(
        self, present: tuple[str, ...], deleted: tuple[str, ...], *, is_snapshot: bool
    ) -> None:
        """Apply the quarantines that the store holds, of all entries."""
        with self._lock:
            changes = self._quarantines.read(present, deleted, is_snapshot=is_snapshot)
            self._monitor.apply_recorded(changes, self._clock.monotonic_s())

    def quarantine_told(self, message: Quarantined) -> None:
        """Apply a quarantine of prompt parts that another entry tells of."""
        with self._lock:
            self._monitor.apply_told(message, self._clock.monotonic_s())

    def records_lost(self) -> None:
        """Write crashes and quarantines again: the store has gone back to a copy."""
        with self._lock:
            self._quarantines.on_records_lost()
            self._monitor.records.on_records_lost()

    def quarantines_due(self) -> tuple[dict[str, tuple[str, ...]], list[str]]:
        """Return the records to write, with the crashed upstreams, and to delete."""
        with self._lock:
            now_s, history = self._clock.monotonic_s(), self._monitor.crashes.history
            writes = self._quarantines.writes_due(history.proved(now_s), now_s)
            return (
                {each: history.upstreams_of(each) for each in writes},
                self._quarantines.deletions_due(history.quarantined(now_s)),
            )

    def quarantine_written(self, fingerprint: str) -> None:
        """Record that the store has a quarantine."""
        with self._lock:
            self._quarantines.record_written(fingerprint)

    def quarantine_deleted(self, fingerprint: str) -> None:
        """Record that the store no longer has a quarantine."""
        with self._lock:
            self._quarantines.record_deleted(fingerprint)

    # Crashes

    def crashes_read(
        self,
        present: dict[CrashRecordName, RecordedCrash],
        deleted: tuple[CrashRecordName, ...],
        *,
        is_snapshot: bool,
    ) -> None:
        """Apply the crashes that the store holds, of all entries."""
        with self._lock:
            new = self._monitor.records.read(present, deleted, is_snapshot=is_snapshot)
            for each in new:
                self._monitor.merge_evidence(each, self._clock.monotonic_s())

    def crashes_due(
        self,
    ) -> tuple[dict[CrashRecordName, RecordedCrash], list[CrashRecordName]]:
        """Return the records of crashes to write and to delete."""
        with self._lock:
            history = self._monitor.crashes.history
            records = self._monitor.records
            return records.writes_due(history), records.deletions_due(history)

    def crash_written(self, name: CrashRecordName, recorded: RecordedCrash) -> None:
        """Record that the store has a crash."""
        with self._lock:
            self._monitor.records.record_written(name, recorded)

    def crash_deleted(self, name: CrashRecordName) -> None:
        """Record that the store no longer has a crash."""
        with self._lock:
            self._monitor.records.record_deleted(name)

    # Versions

    def versions_read(
        self,
        present: dict[str, RecordedVersion],
        deleted: tuple[str, ...],
        *,
        is_snapshot: bool,
        epoch: int | None,
    ) -> None:
        """Apply the versions that the store holds, in its copy `epoch`."""
        self._stream_versions.read_records(
            present, deleted, is_snapshot=is_snapshot, epoch=epoch
        )

    def versions_due(self) -> VersionChanges:
        """Return the records of versions to write or delete."""
        is_first = all(self._name < each for each in self._live_peer_names())
        return self._stream_versions.records_due(is_first=is_first)

    def version_written(self, record: RecordedVersion) -> None:
        """Record that the store has the record of a version."""
        self._stream_versions.records.record_written(record)

    def version_deleted(self, key: str) -> None:
        """Record that the store no longer has the record of a version."""
        self._stream_versions.records.record_deleted(key)

    def streams_due(self) -> tuple[StreamRow, ...]:
        """Return the streams of this entry whose versions are to be recorded now."""
        entries = 1 + len(self._live_peer_names())
        return self._stream_versions.take_journal_due(entries=entries)

    def streams_not_written(self, rows: Iterable[StreamRow]) -> None:
        """Keep streams that the store didn't take."""
        self._stream_versions.journal.put_back(rows)
