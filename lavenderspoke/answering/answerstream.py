"""One answer as a WSGI response: whole, or visibly broken."""

from collections.abc import Callable, Iterator

import attrs

from lavenderspoke import callerheaders
from lavenderspoke.callerheaders import REQUEST_ID
from lavenderspoke.gateway import (
    Answer,
    AnswerBody,
    AnswerBroken,
    AnswerEnd,
    BodyWriter,
)
from lavenderspoke.http import problempage
from lavenderspoke.http.callerrequest import StartResponse
from lavenderspoke.http.eventstream import is_event_stream
from lavenderspoke.http.server import CutOff
from lavenderspoke.model import Head, Ran
from lavenderspoke.problems import Problem, Reason
from lavenderspoke.resources.clientmemory import (
    CLIENT_MEMORY,
    SMALL_BYTES,
    Hold,
    Holding,
)

HELD_BYTES_MAX = 64 * 1024
NO_BODY_STATUSES = frozenset((204, 205, 304))
BROKEN = "broken"
WHOLE = "whole"


@attrs.define(kw_only=True)
class Gathered:
    """The parts of an answer that have come and not been written."""

    head: Head | None = None
    bodies: list[bytes] = attrs.field(factory=list)
    size_bytes: int = 0
    end: AnswerEnd | AnswerBroken | Problem | None = None
    hold: Hold = attrs.field(
        factory=lambda: Hold(memory=CLIENT_MEMORY, kind=Holding.ANSWERS)
    )

    def add(self, part) -> None:
        """Add the next part; nothing follows the end."""
        if self.end is not None:
            return
        if isinstance(part, Head):
            self.head = part
        elif isinstance(part, AnswerBody):
            self.bodies.append(part.body)
            self.size_bytes += len(part.body)
            if self.size_bytes > SMALL_BYTES and not self.hold.grow(self.size_bytes):
                self.end = _NO_MEMORY
        else:
            self.end = part

    def body(self) -> bytes:
        """Return the bodies that have gathered, and forget them."""
        body = b"".join(self.bodies)
        self.bodies = []
        self.size_bytes = 0
        return body


class AnswerStream:
    """A WSGI response that writes what has gathered in one go.

    `outcome` says how it ended: "whole", "broken" or a problem's reason.
    `whole_only` holds everything until the end, for callers that couldn't
    tell a broken answer from a whole one (HTTP/1.0). `writer` is asked, once
    the head is out, for a way to write the bodies that follow.
    """

    def __init__(
        self,
        *,
        answer: Answer,
        start_response: StartResponse,
        method: str,
        whole_only: bool,
        on_first_byte: Callable[[], None] = lambda: None,
        on_close: Callable[["AnswerStream"], None] = lambda stream: None,
        abandoned: Callable[[], Problem],
        writer: Callable[[], BodyWriter | None] = lambda: None,
    ):
        self.outcome = Reason.CALLER_GONE.value
        self.ended = False
        self._answer = answer
        self._start_response = start_response
        self._method = method
        self._whole_only = whole_only
        self._on_first_byte = on_first_byte
        self._on_close = on_close
        self._abandoned = abandoned
        self._writer = writer
        self._gathered = Gathered()

    def __iter__(self) -> Iterator[bytes]:
        gathered = self._gathered
        self._gather()
        while not gathered.end and self._holds():
            self._gather()
        if isinstance(gathered.end, AnswerBroken):
            # Nothing has been sent yet, so the caller can have a plain refusal.
            gathered.end = gathered.end.problem
        if isinstance(gathered.end, Problem) or gathered.head is None:
            yield self._problem(gathered.end)
            return
        self._start(gathered.head)
        self._on_first_byte()
        yield from self._bodies()

    def close(self) -> None:
        """Called by the server in every case, also after a failed write."""
        if not self.ended:
            self._answer.abandon()
        self._on_close(self)

    def _gather(self) -> None:
        parts = self._answer.take()
        for part in parts:
            self._gathered.add(part)
        if self._gathered.end is _NO_MEMORY:
            # Its work would go on for nobody.
            self._answer.abandon()
        if not parts:
            self._gathered.end = AnswerBroken(problem=self._abandoned())

    def _holds(self) -> bool:
        """Return whether to wait for more before the first byte goes out.

        A short answer of known length is worth holding: it goes out in one
        write, and if it breaks its caller gets a refusal, not half an answer.
        """
        if self._whole_only or self._gathered.head is None:
            return True
        length = _header(self._gathered.head, "content-length")
        return length.isdigit() and int(length) <= HELD_BYTES_MAX

    def _start(self, head: Head) -> None:
        headers = list(callerheaders.returned(head.headers))
        length = _header(head, "content-length")
        if self._method == "HEAD":
            headers += [("Content-Length", length)] if length.isdigit() else []
        elif head.status not in NO_BODY_STATUSES and self._gathered.end:
            headers.append(("Content-Length", str(self._gathered.size_bytes)))
        headers.append((REQUEST_ID, self._answer.request_id))
        self._start_response(problempage.status_line(head.status), headers)

    def _bodies(self) -> Iterator[bytes]:
        gathered = self._gathered
        silent = self._method == "HEAD" or gathered.head.status in NO_BODY_STATUSES
        while True:
            body = gathered.body()
            if body and not silent:
                yield body
                self._offer_writer()
            gathered.hold.release()
            if gathered.end:
                break
            self._gather()
        if isinstance(gathered.end, AnswerEnd):
            self._end(WHOLE)
            return
        gone = gathered.end.problem.reason is Reason.CALLER_GONE
        self._end(Reason.CALLER_GONE.value if gone else BROKEN)
        if is_event_stream(_header(gathered.head, "content-type")):
            yield problempage.error_event(gathered.end.problem)
        # Returning here would write the last chunk, and half an answer would
        # look whole; the raised error makes the server close without it.
        raise CutOff

    def _offer_writer(self) -> None:
        """Offer the writer after the first body, when the head is out."""
        writer, self._writer = self._writer(), lambda: None
        if writer is not None:
            self._answer.write_through(writer)

    def _problem(self, problem: Problem | None) -> bytes:
        problem = problem or _NO_HEAD
        self._end(problem.reason.value)
        page = problempage.render(problem, self._answer.request_id)
        self._start_response(page.status, list(page.headers))
        return b"" if self._method == "HEAD" else page.body

    def _end(self, outcome: str) -> None:
        self.outcome = outcome
        self.ended = True


_NO_MEMORY = AnswerBroken(
    problem=Problem(
        reason=Reason.ANSWER_INCOMPLETE,
        ran=Ran.YES,
        detail="no memory left for the answer",
    )
)
_NO_HEAD = Problem(
    reason=Reason.INTERNAL_ERROR, ran=Ran.UNKNOWN, detail="the answer has no head"
)


def _header(head: Head, name: str) -> str:
    """Return a header's value in lower case, or an empty string."""
    values = (value for each, value in head.headers if each.lower() == name)
    return next(values, "").strip().lower()
