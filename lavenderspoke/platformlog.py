"""The platform's append-only log: its interface and its HTTP adapter.

The log has named streams but one sequence of offsets, so that offsets order
records across streams. Offsets begin at 1 and have holes within a stream.
Records are kept for a limited time. An append whose answer was lost may be sent
again under the same record id; the log then holds it twice, and readers drop the
later one by its id.
"""

import base64
import binascii
from typing import Protocol
from urllib.parse import quote

import attrs
from result import Err, Ok, Result

from lavenderspoke.http.client import AnswerLost, HttpClient, NotSent, Reply
from lavenderspoke.jsoncodec import decode

SERVICES_STREAM = "services"
ROSTER_STREAM = "roster"
ORDERS_STREAM = "orders"
FIRST_OFFSET = 1
RECORDS_LIMIT = 500


@attrs.frozen(kw_only=True)
class LogRecord:
    """One record; the payload is opaque to the log."""

    offset: int
    record_id: str
    payload: bytes


@attrs.frozen(kw_only=True)
class LogPage:
    """Records of one stream in the order of their offsets.

    Reading goes on at `next_offset`; the page reaches the present end when that
    equals `end_offset`, the offset that the log's next record of any stream will
    get. What lies below `oldest_offset` is no longer kept. `corrupt_offsets`
    names records that the log gave but that can't be read: they are skipped.
    """

    records: tuple[LogRecord, ...]
    next_offset: int
    end_offset: int
    oldest_offset: int
    corrupt_offsets: tuple[int, ...] = ()


@attrs.frozen(kw_only=True)
class LogUnavailable:
    """The log couldn't be read, or the record was definitely not appended."""

    detail: str


@attrs.frozen(kw_only=True)
class LogOutcomeUnknown:
    """The record may or may not have been appended: read back to know."""

    detail: str


@attrs.frozen(kw_only=True)
class LogCorrupt:
    """The log answered something that isn't a page."""

    detail: str


LogError = LogUnavailable | LogOutcomeUnknown | LogCorrupt


class Log(Protocol):
    """An append-only log of named streams; safe to use from many threads."""

    def append(
        self, *, stream: str, record_id: str, payload: bytes
    ) -> Result[int, LogError]:
        """Append a record and return its offset."""

    def read(
        self, *, stream: str, offset: int, limit: int = RECORDS_LIMIT
    ) -> Result[LogPage, LogError]:
        """Return the stream's records from that offset on, at most `limit`."""


@attrs.frozen(kw_only=True)
class _Appended:
    offset: int


@attrs.frozen(kw_only=True)
class _NotAppended:
    appended: bool


@attrs.frozen(kw_only=True)
class _WireRecord:
    offset: int
    record_id: str
    payload: str


@attrs.frozen(kw_only=True)
class _WirePage:
    records: tuple[_WireRecord, ...]
    next_offset: int
    end_offset: int
    oldest_offset: int


class HttpLog:
    """The log over HTTP.

    An append is `POST /streams/<stream>/records` with the payload as body and
    the record id in `X-Record-Id`; 201 answers `{"offset": n}`, and an answer
    with `"appended": false` says that it was definitely refused. A read is
    `GET /streams/<stream>/records?offset=<n>&limit=<n>`; payloads are base64, and
    the log may give fewer records than asked for, so that a page stays small.
    """

    def __init__(self, *, base_url: str, timeout_s: float = 2.0):
        self._timeout_s = timeout_s
        self._client = HttpClient(base_url=base_url)

    def append(
        self, *, stream: str, record_id: str, payload: bytes
    ) -> Result[int, LogError]:
        """Append once; never retried here, since the first may have happened."""
        fetched = self._client.fetch(
            method="POST",
            path=_records_path(stream),
            timeout_s=self._timeout_s,
            headers={"X-Record-Id": record_id},
            body=payload,
        )
        match fetched:
            case Err(NotSent(detail=detail)):
                return Err(LogUnavailable(detail=detail))
            case Err(AnswerLost(detail=detail)):
                return Err(LogOutcomeUnknown(detail=detail))
            case Ok(reply):
                return _append_outcome(reply)

    def read(
        self, *, stream: str, offset: int, limit: int = RECORDS_LIMIT
    ) -> Result[LogPage, LogError]:
        """Return one page; an answer lost on the way is just unavailable."""
        fetched = self._client.fetch(
            method="GET",
            path=f"{_records_path(stream)}?offset={offset}&limit={limit}",
            timeout_s=self._timeout_s,
        )
        match fetched:
            case Err(error):
                return Err(LogUnavailable(detail=error.detail))
            case Ok(reply) if reply.status != 200:
                return Err(LogUnavailable(detail=f"status {reply.status}"))
            case Ok(reply):
                return decode_page(reply.body, offset)


def _records_path(stream: str) -> str:
    return f"/streams/{quote(stream, safe='')}/records"


def _append_outcome(reply: Reply) -> Result[int, LogError]:
    """Tell a definite refusal from an answer that proves nothing.

    A gateway in front of the log may answer 5xx after the log has taken the
    record, so only the log's own word counts as "not appended".
    """
    detail = f"status {reply.status}"
    if reply.status == 201:
        return (
            decode(reply.body, _Appended)
            .map(lambda appended: appended.offset)
            .map_err(lambda error: LogOutcomeUnknown(detail=error.detail))
        )
    match decode(reply.body, _NotAppended):
        case Ok(_NotAppended(appended=False)):
            return Err(LogUnavailable(detail=detail))
    return Err(LogOutcomeUnknown(detail=detail))


def decode_page(body: bytes, offset: int) -> Result[LogPage, LogCorrupt]:
    """Decode a page that was read from `offset` on.

    A page whose offsets don't rise, or that leads backwards, would make a reader
    fold records twice or read for ever; it is corrupt as a whole.
    """
    decoded = decode(body, _WirePage)
    if isinstance(decoded, Err):
        return Err(LogCorrupt(detail=decoded.err_value.detail))
    page = decoded.ok_value
    bounds = [offset - 1, *(record.offset for record in page.records)]
    rising = all(low < high for low, high in zip(bounds, bounds[1:]))
    if not rising or not bounds[-1] < page.next_offset <= page.end_offset:
        # A reader past the end, as of a log that lost its tail, goes nowhere.
        return Err(LogCorrupt(detail=f"offsets out of order from {offset}"))
    return Ok(_readable(page))


def _readable(page: _WirePage) -> LogPage:
    records = []
    corrupt_offsets = []
    for wire in page.records:
        try:
            payload = base64.b64decode(wire.payload, validate=True)
        except (binascii.Error, ValueError):
            corrupt_offsets.append(wire.offset)
            continue
        records.append(
            LogRecord(offset=wire.offset, record_id=wire.record_id, payload=payload)
        )
    return LogPage(
        records=tuple(records),
        next_offset=page.next_offset,
        end_offset=page.end_offset,
        oldest_offset=page.oldest_offset,
        corrupt_offsets=tuple(corrupt_offsets),
    )
