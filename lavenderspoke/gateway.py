"""The interface between the callers' HTTP server and the entry's state machine."""

import enum
from typing import Protocol

import attrs

from lavenderspoke.documents.service import Service
from lavenderspoke.model import Call, Head
from lavenderspoke.problems import Problem


class Sending(enum.Enum):
    """Whether the caller sends this key for the first time.

    A keyed request that doesn't state it is treated as a re-send, to be safe.
    """

    FIRST = "first"
    RESEND = "resend"


@attrs.frozen(kw_only=True)
class Arrival:
    """A validated request, ready for admission."""

    call: Call
    sending: Sending = Sending.FIRST
    deadline_in_s: float


@attrs.frozen(kw_only=True)
class AnswerBody:
    """A part of the answer's body."""

    body: bytes


@attrs.frozen(kw_only=True)
class AnswerEnd:
    """The end of a complete answer."""


@attrs.frozen(kw_only=True)
class AnswerBroken:
    """An answer that has begun can't be completed; the caller must notice.

    The server sends an error event if the body is an event stream, then closes the
    connection without the last chunk.
    """

    problem: Problem


AnswerPart = Head | AnswerBody | AnswerEnd | AnswerBroken | Problem


class BodyWriter(Protocol):
    """Writes an answer's bodies to its caller with the required framing."""

    def write_now(self, body: bytes) -> bytes:
        """Write without blocking; return the framed bytes not yet written."""

    def write(self, framed: bytes) -> None:
        """Write framed bytes; blocks on the caller and may raise OSError."""


class Answer(Protocol):
    """The parts of one answer, in order.

    The first part is a Head or a Problem. A Head is followed by bodies and
    then exactly one AnswerEnd or AnswerBroken; a Problem stands alone.
    `lavenderspoke.answering.answers.AnswerQueue` is an implementation that another
    thread can fill.
    """

    request_id: str

    def take(self) -> list[AnswerPart]:
        """Return the parts received so far; blocks until there is one.

        Empty only when the answer was abandoned.
        """

    def write_through(self, writer: BodyWriter) -> None:
        """Set a writer for the bodies after those returned by `take`."""

    def abandon(self) -> None:
        """Report that the caller has gone; idempotent, allowed at any time."""


class Gateway(Protocol):
    """The entry as seen by the callers' server, which uses many threads."""

    def service(self, name: str) -> Service | None:
        """Return the current document of a service, or None."""

    def ready(self) -> bool:
        """Return whether the entry has documents and is not draining."""

    def submit(self, arrival: Arrival) -> Answer:
        """Submit a request; a refusal is the only part of its answer."""

    def status(self) -> dict:
        """Return the entry's report for the status page, as plain JSON data."""
