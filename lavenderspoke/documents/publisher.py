"""Publishes a service document as a compare-and-set on the version it came from.

An answer of the log may be lost after the append took effect. The publisher then
appends the same record again and reads back. That is safe: once the first copy
is accepted, its base is no longer in force, so no later copy can be.
"""

import time
import uuid
from collections.abc import Callable

import attrs
from result import Err, Ok, Result

from lavenderspoke.clock import Clock
from lavenderspoke.documents.edits import (
    DOCUMENT_BYTES_MAX,
    NO_VERSION,
    DocumentRecord,
    DocumentSnapshot,
    encode_edit,
    encode_snapshot,
    new_edit,
)
from lavenderspoke.documents.fold import InForce
from lavenderspoke.documents.history import DocumentHistory
from lavenderspoke.documents.service import parse_service
from lavenderspoke.platformlog import (
    SERVICES_STREAM,
    Log,
    LogOutcomeUnknown,
    LogUnavailable,
)
from lavenderspoke.util import Mistake

ATTEMPTS_MAX = 4
RETRY_S = 0.5


@attrs.frozen(kw_only=True)
class Published:
    """The text is in force as `version`; `appended` is false if it was before."""

    version: int
    appended: bool


@attrs.frozen(kw_only=True)
class DocumentMistakes:
    """The text isn't a service document; nothing was appended."""

    mistakes: tuple[Mistake, ...]


@attrs.frozen(kw_only=True)
class PublishConflict:
    """Another document is in force than the one this was edited from.

    `winner` is in force now, None where nothing is; `changes` is what changed
    between the base and it, as far as the log still holds the base.
    """

    base: int
    winner: InForce | None
    changes: str


@attrs.frozen(kw_only=True)
class PublishUnavailable:
    """The platform's log can't be used; the document isn't published."""

    detail: str


@attrs.frozen(kw_only=True)
class PublishUnknown:
    """The document may or may not get published.

    Publishing again with the same base is safe: at most one copy is accepted.
    """

    record_id: str
    detail: str


@attrs.frozen(kw_only=True)
class HistoryIncomplete:
    """The log begins in the middle and holds no snapshot to go by."""


PublishError = (
    DocumentMistakes
    | PublishConflict
    | PublishUnavailable
    | PublishUnknown
    | HistoryIncomplete
)


@attrs.define(kw_only=True)
class Publisher:
    """Publishes documents to the log; `pause` waits between attempts.

    publisher = Publisher(log=log, clock=SystemClock(), author="ana")
    publisher.publish(text=text, file_name="narrative.yaml", base=12)
    """

    log: Log
    clock: Clock
    author: str
    pause: Callable[[float], None] = time.sleep
    new_record_id: Callable[[], str] = lambda: uuid.uuid4().hex

    def publish(
        self, *, text: str, file_name: str, base: int
    ) -> Result[Published, PublishError]:
        """Publish a text that was edited from version `base`, 0 for none."""
        parsed = parse_service(text, file_name)
        if isinstance(parsed, Err):
            return Err(DocumentMistakes(mistakes=tuple(parsed.err_value)))
        if len(text.encode()) > DOCUMENT_BYTES_MAX:
            return Err(DocumentMistakes(mistakes=(_too_long(text, file_name),)))
        history = DocumentHistory(log=self.log)
        read = history.refresh()
        if isinstance(read, Err):
            return Err(PublishUnavailable(detail=read.err_value.detail))
        if not history.fold.complete:
            return Err(HistoryIncomplete())
        name = parsed.ok_value.name
        present = history.fold.in_force(name)
        if present is not None and present.text == text:
            return Ok(Published(version=present.version, appended=False))
        if base != (present.version if present else NO_VERSION):
            return Err(_conflict(history, name, base))
        edit = new_edit(
            service=name,
            base=base,
            text=text,
            author=self.author,
            now=self.clock.now(),
        )
        return self._append(history, edit)

    def _append(
        self, history: DocumentHistory, edit: DocumentRecord
    ) -> Result[Published, PublishError]:
        record_id = self.new_record_id()
        payload = encode_edit(edit)
        detail, unknown = "", False
        for attempt in range(ATTEMPTS_MAX):
            if attempt:
                self.pause(RETRY_S * attempt)
            appended = self.log.append(
                stream=SERVICES_STREAM, record_id=record_id, payload=payload
            )
            if isinstance(appended, Err):
                detail = appended.err_value.detail
            unknown |= not isinstance(appended.err(), LogUnavailable)
            outcome = self._read_back(history, edit, record_id)
            if outcome is not None:
                return outcome
        if unknown:
            return Err(PublishUnknown(record_id=record_id, detail=detail))
        return Err(PublishUnavailable(detail=detail))

    def _read_back(
        self, history: DocumentHistory, edit: DocumentRecord, record_id: str
    ) -> Result[Published, PublishError] | None:
        """Return what became of the record, or None while that isn't known."""
        if history.refresh().is_err() or not history.fold.complete:
            return None
        version = history.accepted_as(edit.service, record_id)
        if version is not None:
            return Ok(Published(version=version, appended=True))
        present = history.fold.in_force(edit.service)
        if present is not None and present.record == edit:
            # Read from a snapshot: the record itself aged out while we paused.
            return Ok(Published(version=present.version, appended=True))
        if (present.version if present else NO_VERSION) != edit.base:
            # Whether or not a copy is still under way, it can't be accepted now.
            return Err(_conflict(history, edit.service, edit.base))
        return None


def _conflict(history: DocumentHistory, name: str, base: int) -> PublishConflict:
    winner = history.fold.in_force(name)
    known = winner is not None and history.version(name, base) is not None
    changes = history.diff(name, base, winner.version) if known else ""
    return PublishConflict(base=base, winner=winner, changes=changes)


def _too_long(text: str, file_name: str) -> Mistake:
    return Mistake(
        file=file_name,
        line=1,
        field="(file)",
        found=f"{len(text.encode()):,} bytes",
        allowed=f"up to {DOCUMENT_BYTES_MAX:,} bytes",
    )


@attrs.frozen(kw_only=True)
class AlreadyBegun:
    """Readers can go by the log as it is, so it mustn't be begun again."""


def begin(log: Log) -> Result[None, AlreadyBegun | PublishUnavailable | PublishUnknown]:
    """Say that no service has a document in a log whose beginning is gone.

    For a log that was in use for other things before, once, and for one whose
    snapshots have all aged out because no daemon ran. It must not be called
    while daemons run that have documents in force.
    """
    history = DocumentHistory(log=log)
    read = history.refresh()
    if isinstance(read, Err):
        return Err(PublishUnavailable(detail=read.err_value.detail))
    if history.fold.complete:
        return Err(AlreadyBegun())
    snapshot = DocumentSnapshot(read_to=history.fold.next_offset - 1, documents=())
    record_id = uuid.uuid4().hex
    appended = log.append(
        stream=SERVICES_STREAM, record_id=record_id, payload=encode_snapshot(snapshot)
    )
    match appended:
        case Err(LogOutcomeUnknown(detail=detail)):
            return Err(PublishUnknown(record_id=record_id, detail=detail))
        case Err(error):
            return Err(PublishUnavailable(detail=error.detail))
    return Ok(None)
