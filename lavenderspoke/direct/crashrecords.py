"""Decides which crashes an entry records in the platform's store.

Entries tell each other of crashes, and forget them when all of them end. So each entry
records the crashes in which requests of its own were running, and an entry that starts
reads the records of all. A record is deleted by its entry once all its content is
excused, and by any entry that has forgotten the crash.
"""

from collections import OrderedDict
from collections.abc import Iterable

import attrs

from lavenderspoke.quarantine.history import CrashHistory
from lavenderspoke.quarantine.messages import CrashEvidence

# Records of an entry; the oldest is deleted first.
RECORDS_MAX = 64


@attrs.frozen(kw_only=True)
class CrashRecordName:
    """The name of a record: the crashed upstream, and the entry that sent requests."""

    upstream: str
    entry: str


@attrs.frozen(kw_only=True)
class RecordedCrash:
    """What a record holds: the content that was running, as in `CrashEvidence`."""

    service: str
    contents: tuple[str, ...]

    def evidence(self, upstream: str) -> CrashEvidence:
        """Return the evidence that the record of an upstream's crash holds."""
        return CrashEvidence(
            service=self.service,
            upstream=upstream,
            crash_id=upstream,
            fingerprints=self.contents,
        )


class CrashRecords:
    """The records of crashes that the store has, as far as this entry knows."""

    def __init__(self, *, entry: str):
        self._entry = entry
        # This entry's own evidence by upstream, and what the store has of it.
        self._own: OrderedDict[str, RecordedCrash] = OrderedDict()
        self._stored: dict[str, RecordedCrash] = {}
        self._others: set[CrashRecordName] = set()

    def note_own(self, evidence: CrashEvidence) -> None:
        """Note a crash in which requests of this entry were running.

        Presumed ones, as of upstreams that leave, aren't recorded.
        """
        if not evidence.fingerprints or evidence.presumed:
            return
        contents, before = set(evidence.fingerprints), self._own.get(evidence.upstream)
        if before is not None:
            contents.update(before.contents)
        self._own[evidence.upstream] = RecordedCrash(
            service=evidence.service, contents=tuple(sorted(contents))
        )
        while len(self._own) > RECORDS_MAX:
            self._own.popitem(last=False)

    def read(
        self,
        present: dict[CrashRecordName, RecordedCrash],
        deleted: Iterable[CrashRecordName],
        *,
        is_snapshot: bool,
    ) -> list[CrashEvidence]:
        """Apply records from the store; return the crashes that are new to it."""
        if is_snapshot:
            self._others &= present.keys()
        new = [
            recorded.evidence(name.upstream)
            for name, recorded in present.items()
            if name not in self._others and name.upstream not in self._own
        ]
        self._others |= {
            name
            for name in present
            if name.entry != self._entry or name.upstream not in self._own
        }
        self._others -= set(deleted)
        return new

    def on_records_lost(self) -> None:
        """Forget what the store had: it has come back from an older copy."""
        self._stored.clear()
        self._others.clear()

    def writes_due(self, history: CrashHistory) -> dict[CrashRecordName, RecordedCrash]:
        """Return the records to write."""
        for upstream in [u for u in self._own if not history.is_suspicious(u)]:
            del self._own[upstream]
        return {
            self._name(upstream): recorded
            for upstream, recorded in self._own.items()
            if self._stored.get(upstream) != recorded
        }

    def deletions_due(self, history: CrashHistory) -> list[CrashRecordName]:
        """Return the names of the records to delete."""
        own = [self._name(each) for each in self._stored.keys() - self._own.keys()]
        forgotten = [each for each in self._others if not history.knows(each.upstream)]
        return sorted([*own, *forgotten], key=attrs.astuple)

    def record_written(self, name: CrashRecordName, recorded: RecordedCrash) -> None:
        """Record that the store has taken a record."""
        self._stored[name.upstream] = recorded

    def record_deleted(self, name: CrashRecordName) -> None:
        """Record that the store has deleted a record."""
        self._others.discard(name)
        if name.entry == self._entry:
            self._stored.pop(name.upstream, None)

    def _name(self, upstream: str) -> CrashRecordName:
        return CrashRecordName(upstream=upstream, entry=self._entry)
