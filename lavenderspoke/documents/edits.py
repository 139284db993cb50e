"""The records of the `services` stream, and their encoding as JSON.

There are two kinds: an edit, by which an operator replaces a service's document,
and a snapshot, by which a daemon keeps the documents in force from ageing out
of the log. JSON lets an operator read the stream with any HTTP client.
"""

from datetime import datetime

import attrs
from result import Err, Ok, Result

from lavenderspoke.documents.service import Service, parse_service
from lavenderspoke.jsoncodec import decode, encode

DOCUMENT_BYTES_MAX = 256 * 1024
NO_VERSION = 0
# Records asked for at once. A snapshot of 500 services takes about 0.6 MB, and an
# answer that is longer than the HTTP client takes would be lost each time: a
# daemon could never read past it.
READ_LIMIT = 16


@attrs.frozen(kw_only=True)
class DocumentRecord:
    """An edit: the whole new text, and the version that it was edited from.

    `base` is 0 when the service had no document. `at` is the author's wall
    time in ISO 8601, for people only.
    """

    service: str
    base: int
    text: str
    author: str
    at: str


@attrs.frozen(kw_only=True)
class AcceptedDocument:
    """An edit that was accepted; its version is the offset it was appended at."""

    version: int
    record: DocumentRecord


@attrs.frozen(kw_only=True)
class DocumentSnapshot:
    """Every document in force after all records up to `read_to` were folded.

    A service that isn't named had no document then.
    """

    read_to: int
    documents: tuple[AcceptedDocument, ...]

    def versions(self) -> dict[str, int]:
        """Return the version in force by service."""
        return {each.record.service: each.version for each in self.documents}

    def sound(self, offset: int) -> bool:
        """Return whether a snapshot found at that offset can be true."""
        versions = [each.version for each in self.documents]
        within = all(NO_VERSION < version <= self.read_to for version in versions)
        return within and self.read_to < offset


@attrs.frozen(kw_only=True)
class CorruptRecord:
    """A payload that is neither an edit nor a snapshot."""

    detail: str


@attrs.frozen(kw_only=True)
class _Payload:
    """What a record holds; exactly one of the two."""

    edit: DocumentRecord | None = None
    snapshot: DocumentSnapshot | None = None


def new_edit(
    *, service: str, base: int, text: str, author: str, now: datetime
) -> DocumentRecord:
    """Return an edit made now."""
    at = now.isoformat(timespec="seconds")
    return DocumentRecord(service=service, base=base, text=text, author=author, at=at)


def encode_edit(edit: DocumentRecord) -> bytes:
    """Return the payload of an edit."""
    return encode({"edit": attrs.asdict(edit)})


def encode_snapshot(snapshot: DocumentSnapshot) -> bytes:
    """Return the payload of a snapshot."""
    return encode({"snapshot": attrs.asdict(snapshot)})


def decode_record(
    payload: bytes,
) -> Result[DocumentRecord | DocumentSnapshot, CorruptRecord]:
    """Return the edit or the snapshot in a payload."""
    decoded = decode(payload, _Payload)
    if isinstance(decoded, Err):
        return Err(CorruptRecord(detail=decoded.err_value.detail))
    found = [decoded.ok_value.edit, decoded.ok_value.snapshot]
    if found.count(None) != 1:
        return Err(CorruptRecord(detail="neither one edit nor one snapshot"))
    return Ok(found[0] or found[1])


def read_document(record: DocumentRecord) -> Service | None:
    """Return the service that an edit describes, or None where it is in error.

    Publishers check before they append, so an error means another writer, or
    a document written for a newer version of this software.
    """
    if len(record.text.encode()) > DOCUMENT_BYTES_MAX:
        return None
    parsed = parse_service(record.text, record.service)
    if parsed.is_err() or parsed.ok_value.name != record.service:
        return None
    return parsed.ok_value
