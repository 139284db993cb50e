"""One run's answer over HTTP, read as it comes."""

from collections import deque
from collections.abc import Callable

import urllib3
from result import Err, Result
from urllib3.exceptions import HTTPError

from lavenderspoke.http.client import READ_BYTES, AnswerLost, NotSent
from lavenderspoke.http.eventstream import EventSplitter, EventTooLong, is_event_stream
from lavenderspoke.http.framing import INVALID_DETAIL, Framing, framing_of
from lavenderspoke.http.hopbyhop import end_to_end
from lavenderspoke.upstreams.upstream import (
    RunEvent,
    UpstreamBody,
    UpstreamBroken,
    UpstreamEnd,
    UpstreamHead,
    UpstreamUnknownRun,
    UpstreamUnreachable,
)

Opened = Result[urllib3.BaseHTTPResponse, NotSent | AnswerLost]


class HttpRun:
    """A run that is sent when its first event is asked for.

    `is_ended` is set with the last event. `is_resumed` takes a 404 as the
    upstream's word that it doesn't know the run. `marks_last_event` says that its
    streams are whole only with their last event, whatever their framing.
    """

    def __init__(
        self,
        *,
        send: Callable[[], Opened],
        method: str = "GET",
        is_resumed: bool = False,
        marks_last_event: bool = False,
    ):
        self._send = send
        self._method = method
        self._marks_last_event = marks_last_event
        self._is_resumed = is_resumed
        self._response: urllib3.BaseHTTPResponse | None = None
        self._splitter: EventSplitter | None = None
        self._events: deque[RunEvent] = deque()
        self._has_body = False
        self.is_ended = False

    def __iter__(self) -> "HttpRun":
        return self

    def __next__(self) -> RunEvent:
        while not self._events:
            if self.is_ended:
                raise StopIteration
            if self._response is None:
                self._open()
            else:
                self._events.extend(self.take())
        return self._events.popleft()

    @property
    def is_selectable(self) -> bool:
        """Whether all that came has been given, so that a selector may wait.

        Only so for an event stream that ends with its connection: of a chunked
        answer, chunks may be held where no selector sees them, and one with a
        length has no socket any more once that is read. The first part of a body
        may have come with the head; it is read by then.
        """
        if not self._has_body or self._events or self.is_ended:
            return False
        is_open = not self._response.chunked and self._response.length_remaining is None
        return is_open and self._splitter is not None

    def fileno(self) -> int:
        """Return the socket's number; ValueError once the run has ended."""
        if self.is_ended:
            raise ValueError("the run has ended")
        return self._response.fileno()

    def take(self) -> list[RunEvent]:
        """Return what has come; blocks while that is nothing."""
        try:
            data = self._response.read1(READ_BYTES)
            events = self._split(data) if data else self._ending()
        except (HTTPError, OSError, ValueError) as error:
            events = [UpstreamBroken(detail=f"{type(error).__name__}: {error}")]
        except EventTooLong:
            events = [UpstreamBroken(detail="event too long")]
        self._has_body = True
        if events and not isinstance(events[-1], UpstreamBody):
            self.close()
        return events

    def close(self) -> None:
        """Drop the connection; the run itself may go on."""
        self.is_ended = True
        if self._response is not None:
            self._response.close()

    def _open(self) -> None:
        opened = self._send()
        if isinstance(opened, Err):
            self._end(run_error(opened.err_value))
            return
        self._response = opened.ok_value
        if self._is_resumed and self._response.status == 404:
            self._end(UpstreamUnknownRun())
            return
        if is_event_stream(self._response.headers.get("Content-Type", "")):
            self._splitter = EventSplitter()
        headers = end_to_end(tuple(self._response.headers.iteritems()))
        self._events.append(UpstreamHead(status=self._response.status, headers=headers))

    def _end(self, ending: RunEvent) -> None:
        self._events.append(ending)
        self.close()

    def _split(self, data: bytes) -> list[RunEvent]:
        if self._splitter is None:
            return [UpstreamBody(body=data)]
        events = self._splitter.feed(data)
        if events is None:
            return []
        body = UpstreamBody(body=events.body, event_id=events.event_id)
        return [body, UpstreamEnd()] if events.last else [body]

    def _ending(self) -> list[RunEvent]:
        framing = framing_of(self._response, method=self._method)
        if framing is Framing.INVALID:
            return [UpstreamBroken(detail=INVALID_DETAIL)]
        if self._splitter is None or framing is Framing.NO_BODY:
            return [UpstreamEnd()]
        # An engine that gives up early ends its HTTP answer properly; only its
        # missing last event shows the caller's answer to be cut short.
        if self._marks_last_event:
            return [UpstreamBroken(detail="event stream ended early")]
        if missing := self._splitter.missing(framing):
            return [UpstreamBroken(detail=missing)]
        rest = self._splitter.rest()
        return [UpstreamBody(body=rest), UpstreamEnd()] if rest else [UpstreamEnd()]


def run_error(error: NotSent | AnswerLost) -> UpstreamUnreachable | UpstreamBroken:
    """Turn the HTTP layer's error into the upstream's."""
    if isinstance(error, NotSent):
        return UpstreamUnreachable(detail=error.detail, is_refused=error.is_refused)
    return UpstreamBroken(detail=error.detail)
