"""Decides which quarantines of content an entry records in the platform's store.

Entries that start later learn of quarantines from there, also if no entry is left that
knows the crashes. A record is written by an entry that saw one of them itself; the
others do so if it is still missing some time later. Its deletion, by the operator or by
the first entry whose quarantine is over, lifts the quarantine at entries that only read
it.
"""

from collections.abc import Iterable

import attrs

# Time after which an entry records a quarantine that it only heard of, in seconds. It
# reads the records more often.
OTHERS_RECORD_AFTER_S = 12.0


@attrs.frozen(kw_only=True)
class QuarantineChanges:
    """What became of quarantines in the store: content that is new, or lifted."""

    began: tuple[str, ...]
    lifted: tuple[str, ...]


class QuarantineRecords:
    """The quarantines that the store has, as far as this entry knows.

    Times are in seconds on the caller's clock.
    """

    def __init__(self):
        self._stored: set[str] = set()
        # Content proved here, and when its record is due.
        self._due_s: dict[str, float] = {}
        # Content whose record was written or read before: not written again once it is
        # gone.
        self._known: set[str] = set()

    def note_proved(self, fingerprint: str, *, is_own: bool, now_s: float) -> None:
        """Record that content is quarantined by evidence, part of it `is_own`."""
        due_s = now_s if is_own else now_s + OTHERS_RECORD_AFTER_S
        self._due_s[fingerprint] = due_s

    def read(
        self, present: Iterable[str], deleted: Iterable[str], *, is_snapshot: bool
    ) -> QuarantineChanges:
        """Apply records from the store; a snapshot has all of them."""
        present = set(present)
        gone = (self._stored - present if is_snapshot else set(deleted)) & self._stored
        began = present - self._stored
        self._stored = (self._stored | present) - gone
        self._known |= present
        return QuarantineChanges(began=tuple(sorted(began)), lifted=tuple(sorted(gone)))

    def on_records_lost(self) -> None:
        """Forget what the store had: it has come back from an older copy."""
        self._stored.clear()
        self._known.clear()

    def writes_due(self, quarantined: set[str], now_s: float) -> list[str]:
        """Return the content whose record is to be written."""
        for fingerprint in self._due_s.keys() - quarantined:
            del self._due_s[fingerprint]
        return sorted(
            fingerprint
            for fingerprint, due_s in self._due_s.items()
            if now_s >= due_s and fingerprint not in self._known
        )

    def deletions_due(self, quarantined: set[str]) -> list[str]:
        """Return the content whose record is to be deleted."""
        return sorted(self._stored - quarantined)

    def record_written(self, fingerprint: str) -> None:
        """Record that the store has taken a record."""
        self._stored.add(fingerprint)
        self._known.add(fingerprint)

    def record_deleted(self, fingerprint: str) -> None:
        """Record that the store has deleted a record."""
        self._stored.discard(fingerprint)
        self._known.discard(fingerprint)
