"""The kinds of records in the entries' topic, and what applies each.

Each kind is applied by itself: what one can't apply doesn't keep the others from it.
"""

import functools
from collections.abc import Callable, Iterable, Sequence
from typing import Protocol

import attrs

from lavenderspoke.direct.crashrecords import CrashRecordName, RecordedCrash
from lavenderspoke.direct.recordguard import RecordGuard
from lavenderspoke.direct.records import KeyedRecord, RecordBatch
from lavenderspoke.direct.versionrecords import RecordedVersion
from lavenderspoke.platform.burstcredits import is_credit
from lavenderspoke.platform.crashrecords import is_crash, read_crashes
from lavenderspoke.platform.quarantines import is_quarantine, read_quarantines
from lavenderspoke.platform.versionrecords import is_version, read_versions

Records = Sequence[KeyedRecord]


class EntryFacts(Protocol):
    """What takes the records beside those of the entries."""

    def quarantines_read(
        self, present: tuple[str, ...], deleted: tuple[str, ...], *, is_snapshot: bool
    ) -> None:
        """Apply quarantines; a snapshot has all of them."""

    def records_lost(self) -> None:
        """Write records again: the store has come back from an older copy."""

    def crashes_read(
        self,
        present: dict[CrashRecordName, RecordedCrash],
        deleted: tuple[CrashRecordName, ...],
        *,
        is_snapshot: bool,
    ) -> None:
        """Apply crashes of upstreams; a snapshot has all of them."""

    def versions_read(
        self,
        present: dict[str, RecordedVersion],
        deleted: tuple[str, ...],
        *,
        is_snapshot: bool,
        epoch: int | None,
    ) -> None:
        """Apply the versions of services; a snapshot has all of them."""


@attrs.frozen(kw_only=True)
class RecordKind:
    """Records that `is_kind`, and what applies them.

    `apply(records, is_snapshot=...)` is called for each snapshot, also without any.
    """

    is_kind: Callable[[KeyedRecord], bool]
    apply: Callable[..., None]


def is_entry(record: KeyedRecord) -> bool:
    """Return whether a record of the entries' topic is an entry's own."""
    return not any(
        is_kind(record) for is_kind in (is_credit, is_crash, is_quarantine, is_version)
    )


def fact_kinds(facts: EntryFacts, epoch: int | None) -> list[RecordKind]:
    """Return the kinds that `facts` takes, of the store's copy `epoch`."""

    def apply_crashes(records: Records, is_snapshot: bool) -> None:
        crashes = read_crashes(records)
        facts.crashes_read(crashes.present, crashes.deleted, is_snapshot=is_snapshot)

    def apply_quarantines(records: Records, is_snapshot: bool) -> None:
        rows = read_quarantines(records)
        facts.quarantines_read(rows.present, rows.deleted, is_snapshot=is_snapshot)

    def apply_versions(records: Records, is_snapshot: bool) -> None:
        versions = read_versions(records)
        facts.versions_read(
            versions.present, versions.deleted, is_snapshot=is_snapshot, epoch=epoch
        )

    return [
        RecordKind(is_kind=is_crash, apply=apply_crashes),
        RecordKind(is_kind=is_quarantine, apply=apply_quarantines),
        RecordKind(is_kind=is_version, apply=apply_versions),
    ]


def apply_kinds(
    batch: RecordBatch,
    kinds: Iterable[RecordKind],
    guard: RecordGuard,
    *,
    is_snapshot: bool,
) -> None:
    """Apply each kind's records; raise what one raised once all had their turn."""
    failures: list[Exception] = []
    for kind in kinds:
        records = [each for each in batch.records if kind.is_kind(each)]
        if not records and not is_snapshot:
            continue
        try:
            guard.apply(
                records,
                functools.partial(kind.apply, is_snapshot=is_snapshot),
                apply_some=functools.partial(kind.apply, is_snapshot=False),
            )
        except Exception as error:
            failures.append(error)
    if failures:
        raise failures[0]
