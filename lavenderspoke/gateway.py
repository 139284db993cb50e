"""What lies between the callers' HTTP server and the entry's state machine."""

import enum
from typing import Protocol

import attrs

from lavenderspoke.documents.service import Service
from lavenderspoke.model import Call, Head
from lavenderspoke.problems import Problem


class Sending(enum.Enum):
    """Whether the caller says that it sends this key for the first time.

    A keyed request that doesn't say is taken as a re-send: the safe reading.
    """

    FIRST = "first"
    RESEND = "resend"


@attrs.frozen(kw_only=True)
class Arrival:
    """A checked request, ready to be admitted."""

    call: Call
    sending: Sending = Sending.FIRST
    deadline_in_s: float


@attrs.frozen(kw_only=True)
class AnswerBody:
    """A part of the answer's body."""

    body: bytes


@attrs.frozen(kw_only=True)
class AnswerEnd:
    """The whole answer has been given."""


@attrs.frozen(kw_only=True)
class AnswerBroken:
    """An answer that has begun can't be completed; it must end visibly.

    The server closes the connection without the last chunk, and before that
    gives an error event where the body is an event stream.
    """

    problem: Problem


AnswerPart = Head | AnswerBody | AnswerEnd | AnswerBroken | Problem


class BodyWriter(Protocol):
    """Writes an answer's bodies to its caller, framed as they must be."""

    def write_now(self, body: bytes) -> bytes:
        """Write without waiting; return the framed bytes that are left."""

    def write(self, framed: bytes) -> None:
        """Write what was left; waits for the caller, and raises OSError."""


class Answer(Protocol):
    """The parts of one answer, as they come.

    The first part is a Head or a Problem. A Head is followed by bodies and
    then exactly one AnswerEnd or AnswerBroken; a Problem stands alone.
    `lavenderspoke.answers.AnswerQueue` is one that a state machine's shell can
    fill from another thread.
    """

    request_id: str

    def take(self) -> list[AnswerPart]:
        """Return what has gathered; blocks until there is something.

        Empty only when the answer was abandoned.
        """

    def write_through(self, writer: BodyWriter) -> None:
        """Offer a writer for the bodies after those that were taken."""

    def abandon(self) -> None:
        """Say that the caller has gone; may be called at any time, also twice."""


class Gateway(Protocol):
    """The entry's side that the callers' server speaks to, from many threads."""

    def service(self, name: str) -> Service | None:
        """Return the document in force for a service, if there is one."""

    def ready(self) -> bool:
        """Return whether the entry has documents and is not draining."""

    def submit(self, arrival: Arrival) -> Answer:
        """Admit a request; refusals come as the answer's only part."""

    def status(self) -> dict:
        """Return the entry's report for the status page, as plain JSON data."""
