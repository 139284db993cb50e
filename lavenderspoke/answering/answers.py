"""Answers on their way from the entry's state machine to a caller's thread."""

import threading
from collections.abc import Callable, Iterator

from lavenderspoke.gateway import (
    AnswerBody,
    AnswerBroken,
    AnswerEnd,
    AnswerPart,
    BodyWriter,
)
from lavenderspoke.model import Ran
from lavenderspoke.problems import Problem, Reason
from lavenderspoke.resources.clientmemory import (
    CLIENT_MEMORY,
    SMALL_BYTES,
    Hold,
    Holding,
)

ANSWER_BYTES_MAX = 32 * 1024 * 1024


class AnswerQueue:
    """An answer filled by one thread and taken by another.

    `on_abandon(request_id)` is called once, on whatever thread abandons it,
    unless the answer had already ended.

    Waking the taking thread for each token costs ten times what writing the
    token does. So once there is a writer, and the taking thread has nothing to
    write, the putting thread writes through it, as far as that goes without
    waiting; the taking thread is woken only for the rest, and for the end.

    >>> queue = AnswerQueue(request_id="r1")
    >>> queue.put(AnswerBody(body=b"a"))
    >>> queue.put(AnswerEnd())
    >>> [type(part).__name__ for part in queue.take()]
    ['AnswerBody', 'AnswerEnd']
    """

    def __init__(
        self,
        *,
        request_id: str,
        on_abandon: Callable[[str], None] = lambda request_id: None,
        bytes_max: int = ANSWER_BYTES_MAX,
    ):
        self.request_id = request_id
        self._on_abandon = on_abandon
        self._bytes_max = bytes_max
        self._changed = threading.Condition()
        self._parts: list[AnswerPart] = []
        self._bytes = 0
        self._hold = Hold(memory=CLIENT_MEMORY, kind=Holding.ANSWERS)
        self._ended = False
        self._abandoned = False
        self._writer: BodyWriter | None = None
        self._taking = False
        self._rest = b""

    def put(self, part: AnswerPart) -> None:
        """Add a part; what comes after the end or an abandonment is dropped."""
        with self._changed:
            if self._ended or self._abandoned:
                return
            if self._can_write_through(part):
                self._rest = self._writer.write_now(part.body)
                if self._rest:
                    self._changed.notify()
                return
            overflow = self._overflows(part)
            self._parts.append(_TOO_SLOW if overflow else part)
            self._ended = overflow or isinstance(
                part, (AnswerEnd, AnswerBroken, Problem)
            )
            self._changed.notify()
        if overflow:
            self._on_abandon(self.request_id)

    def take(self) -> list[AnswerPart]:
        """Return what has gathered; blocks until there is something.

        Empty only when the answer was abandoned.
        """
        while rest := self._wait():
            # This thread may wait for the caller; the one that puts may not.
            self._writer.write(rest)
        with self._changed:
            if self._abandoned:
                return []
            parts, self._parts = self._parts, []
            self._bytes = 0
            self._hold.release()
            return parts

    def write_through(self, writer: BodyWriter) -> None:
        """Let bodies be written by the thread that puts them, from now on."""
        with self._changed:
            self._writer = writer

    def __iter__(self) -> Iterator[AnswerPart]:
        """Yield the parts until the answer ends or is abandoned."""
        while parts := self.take():
            yield from parts
            if isinstance(parts[-1], (AnswerEnd, AnswerBroken, Problem)):
                return

    def abandon(self) -> None:
        """Say that the caller has gone; may be called at any time, also twice."""
        with self._changed:
            if self._abandoned:
                return
            self._abandoned = True
            ended = self._ended
            self._changed.notify()
        if not ended:
            self._on_abandon(self.request_id)

    def _wait(self) -> bytes:
        """Wait for a change; return what is left to write, if that is the change."""
        with self._changed:
            self._taking = True
            self._changed.wait_for(lambda: self._parts or self._abandoned or self._rest)
            self._taking = False
            rest, self._rest = self._rest, b""
            return rest

    def _can_write_through(self, part: AnswerPart) -> bool:
        """Return whether a part may overtake nothing by being written at once."""
        idle = self._taking and not self._parts and not self._rest
        return self._writer is not None and idle and isinstance(part, AnswerBody)

    def _overflows(self, part: AnswerPart) -> bool:
        # A caller that reads slowly would otherwise hold a whole long answer
        # in memory, and a few of them the daemon's whole allowance.
        if isinstance(part, AnswerBody):
            self._bytes += len(part.body)
        is_held = self._bytes <= SMALL_BYTES or self._hold.grow(self._bytes)
        return self._bytes > self._bytes_max or not is_held


_TOO_SLOW = AnswerBroken(
    problem=Problem(
        reason=Reason.ANSWER_INCOMPLETE,
        ran=Ran.YES,
        detail="the answer was read too slowly",
    )
)
