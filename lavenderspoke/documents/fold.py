"""Folds the `services` stream into the documents that are in force.

The rule is one compare-and-set: an edit is accepted exactly when its base is
the version then in force for its service (0 for none), and its offset becomes
the new version. Readers fold in the order of offsets, so all agree on one winner
of a race.

The log keeps records for a limited time only, so a reader may start in the
middle. An edit alone doesn't tell it whether the base was in force: that may
have been decided by a record that is gone. Snapshots settle it. A snapshot says
what was in force after every record up to its `read_to` offset. A reader that
has read everything since an offset up to `read_to + 1` thereby knows what a
reader from the beginning knew at `read_to`, and decides the edits after it as
that reader did. It is then called complete; until then it accepts no edit and
holds them back. Only complete readers write snapshots. Once complete, a reader
ignores what snapshots say, so any number of them, at any time, also late ones
that an edit has overtaken, change nothing.

The invariant: any version that a reader holds in force is one that the reader
from the beginning accepts; it never goes down; and two complete readers that
have read equally far hold the same. Documents passed on by another daemon in a
log outage, and those in snapshots that prove nothing, were accepted by their
sender: holding the highest version seen keeps the invariant.
"""

import random
from collections import Counter, deque

import attrs

from lavenderspoke.documents.carrying import CarryTimer
from lavenderspoke.documents.edits import (
    NO_VERSION,
    AcceptedDocument,
    DocumentRecord,
    DocumentSnapshot,
    decode_record,
    encode_edit,
    encode_snapshot,
    read_document,
)
from lavenderspoke.documents.service import Service
from lavenderspoke.platformlog import FIRST_OFFSET, LogPage, LogRecord

CONFLICTS_KEPT = 100
RECORD_IDS_KEPT = 1000


@attrs.frozen(kw_only=True)
class InForce:
    """The document in force for one service."""

    version: int
    service: Service
    record: DocumentRecord

    @property
    def text(self) -> str:
        """The text as its author wrote it."""
        return self.record.text

    @property
    def author(self) -> str:
        """Who published it."""
        return self.record.author


@attrs.frozen(kw_only=True)
class DocumentChange:
    """A document came into force; `previous` is the version before, or 0."""

    previous: int
    document: InForce


@attrs.frozen(kw_only=True)
class Conflict:
    """An edit that lost: `version` was in force, not the base it named."""

    offset: int
    record_id: str
    version: int
    record: DocumentRecord


@attrs.frozen(kw_only=True)
class _Edit:
    """An edit where it lies in the log."""

    offset: int
    record_id: str
    record: DocumentRecord


class DocumentFold:
    """The documents in force, as far as the stream has been read.

    `skipped` counts records passed over by reason: `corrupt` (can't be
    decoded), `invalid` (the document has mistakes), `doubled` (an edit appended
    twice), `conflict` (its base was no longer in force).

        fold = DocumentFold(random=random.Random(), carry_every_s=600.0)
        page = log.read(stream="services", offset=fold.next_offset)
        changes = fold.apply_page(page.unwrap())
        fold.in_force("narrative").version
    """

    def __init__(self, *, random: random.Random, carry_every_s: float):
        self._carry_timer = CarryTimer(random=random, period_s=carry_every_s)
        self.next_offset = FIRST_OFFSET
        self.complete = True
        self.caught_up = False
        self.skipped: Counter[str] = Counter()
        self.conflicts: deque[Conflict] = deque(maxlen=CONFLICTS_KEPT)
        self._start = FIRST_OFFSET
        self._accepted: dict[str, int] = {}
        self._held: dict[str, InForce] = {}
        self._unproven: list[_Edit] = []
        self._record_ids: deque[str] = deque(maxlen=RECORD_IDS_KEPT)
        self._corrupt_offset: int | None = None

    def in_force(self, name: str) -> InForce | None:
        """Return the document in force for a service, if there is one."""
        return self._held.get(name)

    def services(self) -> list[Service]:
        """Return every service that has a document in force."""
        return [each.service for each in self._held.values()]

    def versions(self) -> dict[str, int]:
        """Return the version in force by service."""
        return {name: each.version for name, each in self._held.items()}

    def apply_page(self, page: LogPage) -> list[DocumentChange]:
        """Fold a page that was read from `next_offset` on."""
        self._begin(page.oldest_offset)
        retry_at = self._corrupt_to_retry(page)
        changes = []
        for record in page.records:
            if retry_at is None or record.offset < retry_at:
                changes += self.apply(record)
        self.next_offset = max(self.next_offset, retry_at or page.next_offset)
        self.caught_up = self.next_offset >= page.end_offset
        return changes

    def _begin(self, oldest_offset: int) -> None:
        """Start anew at the oldest offset if records were missed before it.

        A reader that was paused past the log's retention would otherwise judge
        edits by a version that records now gone may have replaced.
        """
        if oldest_offset <= self.next_offset:
            return
        self.next_offset = self._start = oldest_offset
        self.complete = False
        self._accepted = {}
        self._unproven = []

    def _corrupt_to_retry(self, page: LogPage) -> int | None:
        """Return the offset to read again, where a record came corrupt.

        A record that only one reader saw corrupt would set it apart from all
        others, so it is read once more before it is taken as corrupt for all.
        """
        for offset in page.corrupt_offsets:
            if self._corrupt_offset is None or offset > self._corrupt_offset:
                self._corrupt_offset = offset
                return offset
            self.skipped["corrupt"] += 1
        return None

    def apply(self, record: LogRecord) -> list[DocumentChange]:
        """Fold one record; one that was folded before changes nothing."""
        if record.offset < self.next_offset:
            return []
        self.next_offset = record.offset + 1
        decoded = decode_record(record.payload)
        if decoded.is_err():
            self.skipped["corrupt"] += 1
            return []
        if isinstance(decoded.ok_value, DocumentSnapshot):
            return self._apply_snapshot(record.offset, decoded.ok_value)
        edit = _Edit(
            offset=record.offset, record_id=record.record_id, record=decoded.ok_value
        )
        if self.complete:
            return self._decide(edit)
        self._unproven.append(edit)
        return []

    def _decide(self, edit: _Edit) -> list[DocumentChange]:
        """Accept an edit or not; only a complete reader may."""
        name = edit.record.service
        version = self._accepted.get(name, NO_VERSION)
        if edit.record.base != version:
            self._reject(edit, version)
            return []
        service = read_document(edit.record)
        if service is None:
            self.skipped["invalid"] += 1
            return []
        self._record_ids.append(edit.record_id)
        self._accepted[name] = edit.offset
        return self._hold(edit.offset, service, edit.record)

    def _reject(self, edit: _Edit, version: int) -> None:
        # Ids only tell a double from a conflict. They must not decide, since a
        # reader that started later hasn't seen the first of the two; the base
        # alone rejects the second, for versions only grow.
        if edit.record_id in self._record_ids:
            self.skipped["doubled"] += 1
            return
        self._record_ids.append(edit.record_id)
        self.skipped["conflict"] += 1
        self.conflicts.append(
            Conflict(
                offset=edit.offset,
                record_id=edit.record_id,
                version=version,
                record=edit.record,
            )
        )

    def _apply_snapshot(
        self, offset: int, snapshot: DocumentSnapshot
    ) -> list[DocumentChange]:
        if not snapshot.sound(offset):
            self.skipped["corrupt"] += 1
            return []
        self._carry_timer.seen(snapshot.read_to, self.caught_up)
        changes = []
        for document in snapshot.documents:
            changes += self._hold_passed_on(document)
        if not self.complete and snapshot.read_to + 1 >= self._start:
            changes += self._complete_from(snapshot)
        return changes

    def _complete_from(self, snapshot: DocumentSnapshot) -> list[DocumentChange]:
        self.complete = True
        self._accepted = snapshot.versions()
        unproven, self._unproven = self._unproven, []
        changes = []
        for edit in unproven:
            if edit.offset > snapshot.read_to:
                changes += self._decide(edit)
        return changes

    def relay(self, offset: int, payload: bytes) -> list[DocumentChange]:
        """Take a document that another daemon has in force, as it passed it on.

        The log decides as before when it is back; this only keeps a daemon that
        can't read it from working without documents, or with old ones.
        """
        decoded = decode_record(payload)
        if decoded.is_err() or not isinstance(decoded.ok_value, DocumentRecord):
            self.skipped["corrupt"] += 1
            return []
        document = AcceptedDocument(version=offset, record=decoded.ok_value)
        return self._hold_passed_on(document)

    def relay_payload(self, name: str) -> bytes | None:
        """Return what `relay` takes, for the service's document in force."""
        held = self._held.get(name)
        return None if held is None else encode_edit(held.record)

    def _hold_passed_on(self, document: AcceptedDocument) -> list[DocumentChange]:
        held = self._held.get(document.record.service)
        if held is not None and held.version >= document.version:
            return []
        service = read_document(document.record)
        if service is None:
            self.skipped["invalid"] += 1
            return []
        return self._hold(document.version, service, document.record)

    def _hold(
        self, version: int, service: Service, record: DocumentRecord
    ) -> list[DocumentChange]:
        held = self._held.get(service.name)
        previous = NO_VERSION if held is None else held.version
        if version <= previous:
            return []
        document = InForce(version=version, service=service, record=record)
        self._held[service.name] = document
        return [DocumentChange(previous=previous, document=document)]

    def due_to_carry(self, oldest_offset: int, now_s: float) -> bool:
        """Return whether to append `snapshot()` now, see CarryTimer."""
        due = self._carry_timer.due(oldest_offset, now_s)
        if not due or not self._can_carry():
            return False
        self._carry_timer.tried(now_s)
        return True

    def _can_carry(self) -> bool:
        # A held version that this reader hasn't accepted itself shows that the
        # log is ahead of it, or that it can't read a document that others can.
        # Its snapshot would be out of date or wrong.
        return self.complete and self.caught_up and self.versions() == self._accepted

    def snapshot(self) -> bytes:
        """Return the payload of a snapshot of what is in force."""
        documents = tuple(
            AcceptedDocument(version=each.version, record=each.record)
            for each in self._held.values()
        )
        return encode_snapshot(
            DocumentSnapshot(read_to=self.next_offset - 1, documents=documents)
        )
