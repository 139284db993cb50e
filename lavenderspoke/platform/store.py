"""The only client of the platform's store, a log whose topics may have keys."""

import base64
import struct
from typing import TypeVar
from urllib.parse import urlencode

import attrs
import urllib3
from result import Err, Ok, Result
from urllib3.exceptions import HTTPError

from lavenderspoke.direct.records import (
    KeyedRecord,
    OffsetExpired,
    RecordBatch,
    StoreError,
)
from lavenderspoke.direct.settings import Address
from lavenderspoke.http.boundedconnection import BoundedConnection
from lavenderspoke.observing.metrics import Metrics
from lavenderspoke.platform.decoding import parse, structured
from lavenderspoke.platform.storeepoch import STORE_EPOCH, EpochReader

# Read timeout beyond the requested wait, in seconds: the store responds within
# milliseconds, and takes much longer only if it is faulty.
RESPONSE_MARGIN_S = 0.8
CONNECT_TIMEOUT_S = 0.5
LENGTH_PREFIX = struct.Struct(">I")
OFFSETS_HEADER = struct.Struct(">QQ")
PAGES_MAX = 1000
OFFSET_MAX = 2**63 - 1
KEY_BYTES_MAX = 255

ReadT = TypeVar("ReadT", RecordBatch, OffsetExpired)


@attrs.frozen(kw_only=True)
class Unwritable:
    """A record that no store can hold, however often it is written."""

    detail: str


@attrs.frozen(kw_only=True)
class Conflict:
    """A conditional write that was rejected, since the topic has changed."""


class Store:
    """A client with one persistent connection, for use by a single thread."""

    def __init__(self, *, address: Address, metrics: Metrics):
        self._epochs = EpochReader(metrics=metrics)
        # Of the last response, None if it named no valid one.
        self._epoch: int | None = None
        self._address = address
        self._pool = self._new_pool()

    def newest(self, topic: str) -> Result[RecordBatch, StoreError]:
        """Return the newest record of each key of a topic.

        The pages are not a consistent snapshot: reading on from the first page's end
        offset returns changes made between them again.
        """
        items: list[dict] = []
        next_offset = None
        query: dict[str, object] = {"topic": topic, "part": 0}
        for _ in range(PAGES_MAX):
            page = self._get("/v1/log-newest", query, wait_s=0.0)
            if isinstance(page, Err):
                return page
            if next_offset is None:
                epoch = self._epoch
            elif self._epoch != epoch:
                return Err(StoreError(detail="went back to a copy between two pages"))
            decoded = decode_page(page.ok_value.data)
            if isinstance(decoded, Err):
                return decoded
            content = decoded.ok_value
            if next_offset is None:
                next_offset = content.end_offset
            items += content.items
            if content.after is None:
                break
            query["after"] = content.after
        return decode_newest(items, next_offset).map(self._with_epoch)

    def read(
        self, topic: str, from_offset: int, *, wait_s: float
    ) -> Result[RecordBatch | OffsetExpired, StoreError]:
        """Return the records from an offset on; wait up to `wait_s` for the first."""
        query: dict[str, object] = {"topic": topic, "part": 0, "from": from_offset}
        if wait_s > 0.0:
            query["wait-ms"] = round(wait_s * 1000)
        response = self._get("/v1/log-read", query, wait_s=wait_s, allow_gone=True)
        if isinstance(response, Err):
            return response
        reply = response.ok_value
        if reply.status == 410:
            return decode_offset_expired(reply.data).map(self._with_epoch)
        return decode_records(reply.data, from_offset).map(self._with_epoch)

    def append(
        self,
        topic: str,
        key: str,
        value: bytes | None,
        *,
        unchanged_since: RecordBatch | None = None,
    ) -> Result[None, StoreError | Conflict | Unwritable]:
        """Write a key's value, or delete the key if `value` is None.

        With `unchanged_since`, only if the topic still ends where that read did. If the
        store came back from a copy meanwhile, the topic may end there by chance: the
        write then is a conflict although it was carried out, and is decided on again.
        """
        name = _encode_key(key)
        if isinstance(name, Err):
            return name
        content = bytes([len(name.ok_value)]) + name.ok_value + (value or b"")
        query: dict[str, object] = {"topic": topic, "part": 0}
        if unchanged_since is not None:
            # The platform calls the expected end offset `timestamp`.
            query["timestamp"] = unchanged_since.next_offset
        sent = self._call(
            "POST",
            f"/v1/log-append?{urlencode(query)}",
            body=LENGTH_PREFIX.pack(len(content)) + content,
            wait_s=0.0,
        )
        if isinstance(sent, Ok) and sent.ok_value.status == 412:
            return Err(Conflict())
        written = sent.and_then(_expect_ok)
        if isinstance(written, Ok) and self._spans_copies(unchanged_since):
            return Err(Conflict())
        return written

    def _spans_copies(self, earlier: RecordBatch | None) -> bool:
        """Return whether the last response is from another copy than a read's."""
        if earlier is None or None in (earlier.epoch, self._epoch):
            return False
        return earlier.epoch != self._epoch

    def _with_epoch(self, read: ReadT) -> ReadT:
        return attrs.evolve(read, epoch=self._epoch)

    def _get(
        self, path: str, query: dict, *, wait_s: float, allow_gone: bool = False
    ) -> Result[urllib3.BaseHTTPResponse, StoreError]:
        # A page's last key may have half a surrogate pair.
        encoded = urlencode(query, errors="surrogatepass")
        called = self._call("GET", f"{path}?{encoded}", wait_s=wait_s)
        if isinstance(called, Err):
            return called
        if allow_gone and called.ok_value.status == 410:
            return called
        return called.and_then(lambda reply: _expect_ok(reply).map(lambda _: reply))

    def _new_pool(self) -> urllib3.HTTPConnectionPool:
        pool = urllib3.HTTPConnectionPool(
            self._address.host, self._address.port, maxsize=1, block=False
        )
        pool.ConnectionCls = BoundedConnection
        return pool

    def _call(
        self, method: str, target: str, *, wait_s: float, body: bytes | None = None
    ) -> Result[urllib3.BaseHTTPResponse, StoreError]:
        timeout = urllib3.Timeout(
            connect=CONNECT_TIMEOUT_S, read=wait_s + RESPONSE_MARGIN_S
        )
        try:
            reply = self._pool.urlopen(
                method, target, body=body, timeout=timeout, retries=False
            )
        except (HTTPError, OSError, ValueError) as error:
            # A connection that missed a response can't be reused.
            self._pool.close()
            self._pool = self._new_pool()
            return Err(StoreError(detail=f"{type(error).__name__}: {error}"))
        self._epoch = self._epochs.read(reply.headers.getlist(STORE_EPOCH))
        return Ok(reply)


def _encode_key(key: str) -> Result[bytes, Unwritable]:
    try:
        name = key.encode()
    except UnicodeEncodeError:
        return Err(Unwritable(detail="the key can't be encoded"))
    if not 0 < len(name) <= KEY_BYTES_MAX:
        return Err(Unwritable(detail=f"a key of {len(name)} bytes"))
    return Ok(name)


def _expect_ok(reply: urllib3.BaseHTTPResponse) -> Result[None, StoreError]:
    if reply.status != 200:
        return Err(StoreError(detail=f"status {reply.status}"))
    return Ok(None)


@attrs.frozen(kw_only=True)
class Page:
    """One page of the newest records; `after` is the key to continue after, if any."""

    items: list
    end_offset: int
    after: str | None


def decode_page(data: bytes) -> Result[Page, StoreError]:
    """Decode a page, without validating its items."""
    parsed = parse(data)
    if isinstance(parsed, Err):
        return Err(StoreError(detail=f"malformed page: {parsed.err_value}"))
    try:
        content = parsed.ok_value
        items, end_offset = content["items"], content["end-offset"]
        after = items[-1]["key"] if items and content.get("has-more") else None
    except (AttributeError, LookupError, TypeError) as error:
        return Err(StoreError(detail=f"malformed page: {error}"))
    if type(items) is not list or type(end_offset) is not int:
        return Err(StoreError(detail="malformed page"))
    if after is not None and type(after) is not str:
        return Err(StoreError(detail="malformed page: last key"))
    if not 0 <= end_offset <= OFFSET_MAX:
        return Err(StoreError(detail="malformed page: end offset"))
    return Ok(Page(items=items, end_offset=end_offset, after=after))


@attrs.frozen(kw_only=True)
class _Item:
    """A record on a page, with its value in base64."""

    key: str
    value: str
    offset: int


def decode_newest(items: list, next_offset: int) -> Result[RecordBatch, StoreError]:
    records, skipped = [], 0
    for item in items:
        decoded = structured(item, _Item)
        value = decoded.and_then(lambda each: _decode_base64(each.value))
        if isinstance(value, Err):
            skipped += 1
            continue
        found = decoded.ok_value
        records.append(
            KeyedRecord(key=found.key, value=value.ok_value, offset=found.offset)
        )
    return Ok(
        RecordBatch(records=tuple(records), next_offset=next_offset, skipped=skipped)
    )


def _decode_base64(text: str) -> Result[bytes, str]:
    try:
        return Ok(base64.b64decode(text, validate=True))
    except ValueError as error:
        return Err(str(error))


def decode_offset_expired(data: bytes) -> Result[OffsetExpired, StoreError]:
    parsed = parse(data)
    if isinstance(parsed, Ok) and isinstance(parsed.ok_value, dict):
        first_offset = parsed.ok_value.get("first-offset")
        if type(first_offset) is int and 0 <= first_offset <= OFFSET_MAX:
            return Ok(OffsetExpired(first_offset=first_offset))
    return Err(StoreError(detail="malformed offset-expired response"))


def decode_records(data: bytes, from_offset: int) -> Result[RecordBatch, StoreError]:
    """Decode a response: the end and first offsets, then length-prefixed records.

    A record with malformed content is skipped and counted; a length beyond the end of
    the response makes all of it invalid.
    """
    if len(data) < OFFSETS_HEADER.size:
        return Err(StoreError(detail="response without offsets"))
    records, skipped = [], 0
    at, offset = OFFSETS_HEADER.size, from_offset
    while at < len(data):
        if at + LENGTH_PREFIX.size > len(data):
            return Err(StoreError(detail="truncated record"))
        (length,) = LENGTH_PREFIX.unpack_from(data, at)
        at += LENGTH_PREFIX.size
        content = data[at : at + length]
        if len(content) != length:
            return Err(StoreError(detail="truncated record"))
        record = _decode_keyed(content, offset)
        if record is None:
            skipped += 1
        else:
            records.append(record)
        at += length
        offset += 1
    return Ok(RecordBatch(records=tuple(records), next_offset=offset, skipped=skipped))


def _decode_keyed(content: bytes, offset: int) -> KeyedRecord | None:
    if not content or len(content) < 1 + content[0]:
        return None
    end = 1 + content[0]
    try:
        key = content[1:end].decode()
    except UnicodeDecodeError:
        return None
    return KeyedRecord(key=key, value=content[end:] or None, offset=offset)
