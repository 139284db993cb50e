"""Splitting a server-sent event stream into whole events."""

import itertools

import attrs

from lavenderspoke.http.framing import Framing

MEDIA_TYPE = "text/event-stream"
EVENT_BYTES_MAX = 1024 * 1024
LAST_DATA = b"[DONE]"
# Ids of more digits don't fit 64 bits and are no numbers of events.
ID_DIGITS_MAX = 19
ENDS = (b"\n\n", b"\r\n\r\n")
END_BYTES_MAX = max(map(len, ENDS))
# What lines of an event, or a comment, begin with.
FIELDS = (b"data", b"id", b"event", b"retry", b":")


def is_event_stream(content_type: str) -> bool:
    """Return whether a Content-Type is that of an event stream.

    >>> is_event_stream("Text/Event-Stream; charset=utf-8")
    True
    """
    return content_type.strip().lower().startswith(MEDIA_TYPE)


class EventTooLong(Exception):
    """An event grew past `EVENT_BYTES_MAX`; reading on would fill the memory."""


@attrs.frozen(kw_only=True)
class Events:
    """Whole events as they came; `last` when the stream's last one is in there.

    `event_id` is that of the last event that has one, or None, and `first_id` that
    of the first. `rising` says whether their ids only grow. If they are `malformed`,
    bytes between two of them are neither an event nor a comment.
    """

    body: bytes
    event_id: int | None = None
    last: bool = False
    first_id: int | None = attrs.field(default=None, repr=False)
    rising: bool = attrs.field(default=True, repr=False)
    malformed: bool = attrs.field(default=False, repr=False)


class EventSplitter:
    r"""Gathers bytes and gives back only whole events.

    An event cut in two by a lost connection is thus never passed on: resuming
    after the last event id gives it whole.

    >>> splitter = EventSplitter()
    >>> splitter.feed(b"id: 0\ndata: a\n\nid: 1\nda")
    Events(body=b'id: 0\ndata: a\n\n', event_id=0, last=False)
    """

    def __init__(self):
        self._held = bytearray()
        self._has_events = False

    def rest(self) -> bytes:
        """Return what came behind the last whole event."""
        return bytes(self._held)

    def missing(self, framing: Framing) -> str:
        r"""Return what a stream lacks that has ended here, "" if it may be whole.

        A connection that ends before any event says no more than a crash does.

        >>> splitter = EventSplitter()
        >>> splitter.feed(b"data: a\n\ndata:") is None
        False
        >>> splitter.missing(Framing.LENGTH)
        'the stream ended within an event'
        """
        lines = self._held.splitlines()
        unfinished = itertools.takewhile(bool, reversed(lines))
        if any(not line.startswith(b":") for line in unfinished):
            return "the stream ended within an event"
        has_events = self._has_events or any(lines)
        if framing is Framing.CONNECTION_END and not has_events:
            return "the connection ended before the stream's first event"
        return ""

    def feed(self, data: bytes) -> Events | None:
        """Return the events that these bytes complete, if any."""
        # An end may begin in what came before.
        search_from = max(0, len(self._held) - END_BYTES_MAX + 1)
        self._held += data
        end = max(_end_after(self._held, mark, search_from) for mark in ENDS)
        if len(self._held) - end > EVENT_BYTES_MAX:
            raise EventTooLong
        if not end:
            return None
        self._has_events = True
        body = bytes(self._held[:end])
        del self._held[:end]
        lines = body.splitlines()
        ids = _ids(lines)
        return Events(
            body=body,
            event_id=ids[-1] if ids else None,
            rising=all(a < b for a, b in zip(ids, ids[1:])),
            first_id=ids[0] if ids else None,
            last=any(_value(line, b"data:") == LAST_DATA for line in lines),
            malformed=_has_malformed(lines),
        )


def _end_after(data: bytearray, mark: bytes, start: int) -> int:
    found = data.rfind(mark, start)
    return found + len(mark) if found >= 0 else 0


def _has_malformed(lines: list[bytes]) -> bool:
    """Return whether lines between two empty ones have no field of an event.

    >>> _has_malformed([b"x-more: 1", b"data: a", b"", b": a comment", b""])
    False
    >>> _has_malformed([b"data: a", b"", b"noise", b""])
    True
    """
    for is_filled, block in itertools.groupby(lines, bool):
        if is_filled and not any(line.startswith(FIELDS) for line in block):
            return True
    return False


def _value(line: bytes, field: bytes) -> bytes | None:
    return line[len(field) :].strip() if line.startswith(field) else None


def _ids(lines: list[bytes]) -> list[int]:
    values = (_value(line, b"id:") for line in lines)
    return [
        int(value)
        for value in values
        if value and value.isdigit() and len(value) < ID_DIGITS_MAX
    ]
