"""Decides which services' versions an entry records in the platform's store.

The first live entry by name writes a record as soon as it knows of several versions,
and deletes it once only one has been listed for some time. The others do so if nothing
has come of it after a while.
"""

from collections.abc import Mapping

import attrs

# Time after which an entry that isn't the first writes or deletes a record, in seconds.
# It reads the records more often.
OTHERS_AFTER_S = 12.0


@attrs.frozen(kw_only=True)
class VersionChanges:
    """The records to write, by service, and the services whose record to delete."""

    writes: dict[str, tuple[str, ...]]
    deletions: list[str]


class VersionRecords:
    """The records of several versions that the store has, as far as an entry knows.

    Times are in seconds on the caller's clock.

    >>> records = VersionRecords()
    >>> records.due({"s": ("v1", "v2")}, is_first=True, now_s=0.0).writes
    {'s': ('v1', 'v2')}
    >>> records.due({"s": ("v1", "v2")}, is_first=False, now_s=0.0).writes
    {}
    """

    def __init__(self):
        self._stored: dict[str, tuple[str, ...]] = {}
        self._differs_since_s: dict[str, float] = {}

    def read(
        self,
        present: Mapping[str, tuple[str, ...]],
        deleted: tuple[str, ...],
        *,
        is_snapshot: bool,
    ) -> None:
        """Apply records from the store; a snapshot has all of them."""
        if is_snapshot:
            self._stored.clear()
        self._stored.update(present)
        for service in deleted:
            self._stored.pop(service, None)

    def due(
        self, mixed: Mapping[str, tuple[str, ...]], *, is_first: bool, now_s: float
    ) -> VersionChanges:
        """Return what to change, given the services with several versions."""
        writes = {
            service: versions
            for service, versions in mixed.items()
            if not set(versions) <= set(self._stored.get(service, ()))
        }
        deletions = [service for service in self._stored if service not in mixed]
        differing = {*writes, *deletions}
        self._differs_since_s = {
            each: self._differs_since_s.get(each, now_s) for each in differing
        }
        due = {
            each
            for each, since_s in self._differs_since_s.items()
            if is_first or now_s >= since_s + OTHERS_AFTER_S
        }
        return VersionChanges(
            writes={each: v for each, v in writes.items() if each in due},
            deletions=[each for each in deletions if each in due],
        )

    def record_written(self, service: str, versions: tuple[str, ...]) -> None:
        """Record that the store has taken a record."""
        self._stored[service] = versions

    def record_deleted(self, service: str) -> None:
        """Record that the store has deleted a record."""
        self._stored.pop(service, None)
