"""The records of software versions in the platform's store, and when they change.

A version is recorded before the first event of any of its streams goes out, and its
record is deleted only once no stream of it can be taken up any more. An entry that
starts therefore knows each version that may have begun a stream, also if nobody is left
who saw that version serve.
"""

import hashlib
import threading
from collections.abc import Iterable, Mapping

import attrs

from lavenderspoke.clock import Clock

# Time after which an entry that isn't the first by name writes a record that it doesn't
# need itself, or deletes one, in seconds. It reads the records more often.
OTHERS_AFTER_S = 12.0
# How long the first event of a version that isn't recorded waits for its record, in
# seconds. It then goes out without: a store that is away must not stop new streams.
RECORD_TIMEOUT_S = 0.5
# Time for which nothing more waits for a record that didn't come in time, in seconds.
NOT_RECORDED_S = 5.0
KEY_LENGTH = 24
# The store's copy, where the store doesn't tell.
UNKNOWN_COPY = 0

ServiceVersion = tuple[str, str]
"""A service and one of its software versions."""


@attrs.frozen(kw_only=True)
class RecordedVersion:
    """A version that may have begun streams of a service.

    `copy` is the store's copy in which an entry that knows all versions wrote it, None
    if its writer may have missed some.
    """

    service: str
    version: str
    copy: int | None = None

    @property
    def pair(self) -> ServiceVersion:
        return self.service, self.version

    @property
    def key(self) -> str:
        """A short key: versions are other programs' text, of any length."""
        text = f"{len(self.service)}/{self.service}/{self.version}"
        return hashlib.sha256(text.encode()).hexdigest()[:KEY_LENGTH]


@attrs.frozen(kw_only=True)
class VersionChanges:
    """The records to write and the keys to delete."""

    writes: tuple[RecordedVersion, ...]
    deletions: tuple[str, ...]


class VersionRecords:
    """The records that the store has, as far as an entry knows; thread-safe.

    >>> from lavenderspoke.clock import ManualClock
    >>> records = VersionRecords(clock=ManualClock())
    >>> records.read({}, (), is_snapshot=True, epoch=1)
    True
    >>> listed = {"model": ("v1",)}
    >>> [record] = records.due(listed, is_first=True, is_complete=True).writes
    >>> record.pair, records.is_recorded("model", "v1")
    (('model', 'v1'), False)
    >>> records.record_written(record)
    >>> records.is_recorded("model", "v1")
    True
    """

    def __init__(self, *, clock: Clock):
        self._clock = clock
        self._changed = threading.Condition()
        self._stored: dict[str, RecordedVersion] = {}
        self._differs_since_s: dict[str, float] = {}
        self._needed: set[ServiceVersion] = set()
        self._not_waiting_until_s: dict[ServiceVersion, float] = {}
        self._copy = UNKNOWN_COPY
        # Until then nothing is written: a record that is there may prove more than one
        # of an entry that has just started.
        self._has_read = False

    def read(
        self,
        present: Mapping[str, RecordedVersion],
        deleted: Iterable[str],
        *,
        is_snapshot: bool,
        epoch: int | None,
    ) -> bool:
        """Apply records by key; return whether they tell of all versions.

        A snapshot has all records. After the store has come back from an older copy,
        it may lack some until an entry that knows all versions has written again.
        """
        with self._changed:
            self._has_read = True
            self._copy = UNKNOWN_COPY if epoch is None else epoch
            if is_snapshot:
                self._stored.clear()
            self._stored.update(present)
            for key in deleted:
                self._stored.pop(key, None)
            self._changed.notify_all()
            copies = {each.copy for each in self._stored.values()}
            return is_snapshot and (not copies or self._copy in copies)

    def pairs(self) -> frozenset[ServiceVersion]:
        """Return all services and versions that the store has."""
        with self._changed:
            return frozenset(each.pair for each in self._stored.values())

    def is_recorded(self, service: str, version: str) -> bool:
        """Return whether the store has the record of a version."""
        with self._changed:
            key = RecordedVersion(service=service, version=version).key
            return key in self._stored

    def wait_recorded(self, service: str, version: str) -> bool:
        """Have a version recorded, and return whether it was in time.

        An entry that hasn't read the records yet, or has no store, doesn't wait.
        """
        pair = (service, version)
        with self._changed:
            if not self._has_read or self.is_recorded(service, version):
                return True
            self._needed.add(pair)
            now_s = self._clock.monotonic_s()
            if now_s < self._not_waiting_until_s.get(pair, now_s):
                return False
            if self._changed.wait_for(
                lambda: self.is_recorded(service, version), RECORD_TIMEOUT_S
            ):
                return True
            self._not_waiting_until_s[pair] = now_s + NOT_RECORDED_S
            return False

    def due(
        self,
        recent: Mapping[str, Iterable[str]],
        *,
        is_first: bool,
        is_complete: bool,
    ) -> VersionChanges:
        """Return what to change, given the versions listed lately by service.

        An entry that `is_complete` knows all of them, and only it deletes any.
        """
        with self._changed:
            if not self._has_read:
                return VersionChanges(writes=(), deletions=())
            now_s = self._clock.monotonic_s()
            wanted = self._wanted(recent, self._copy if is_complete else None)
            writes = {
                key: each
                for key, each in wanted.items()
                if key not in self._stored
                or (is_complete and self._stored[key].copy != self._copy)
            }
            deletions = self._stored.keys() - wanted.keys() if is_complete else set()
            self._differs_since_s = {
                key: self._differs_since_s.get(key, now_s)
                for key in {*writes, *deletions}
            }
            due = {
                key
                for key, since_s in self._differs_since_s.items()
                if is_first or now_s >= since_s + OTHERS_AFTER_S
            }
            return VersionChanges(
                writes=tuple(
                    each
                    for key, each in writes.items()
                    if key in due or each.pair in self._needed
                ),
                deletions=tuple(sorted(deletions & due)),
            )

    def record_written(self, record: RecordedVersion) -> None:
        """Record that the store has taken a record."""
        with self._changed:
            self._stored[record.key] = record
            self._needed.discard(record.pair)
            self._not_waiting_until_s.pop(record.pair, None)
            self._changed.notify_all()

    def record_deleted(self, key: str) -> None:
        """Record that the store has deleted a record."""
        with self._changed:
            self._stored.pop(key, None)

    def _wanted(
        self, recent: Mapping[str, Iterable[str]], copy: int | None
    ) -> dict[str, RecordedVersion]:
        pairs = {(service, each) for service in recent for each in recent[service]}
        records = [
            RecordedVersion(service=service, version=version, copy=copy)
            for service, version in sorted(pairs | self._needed)
        ]
        return {each.key: each for each in records}
