"""Reading a request's body, whole or not at all, in memory that is accounted for."""

import io
import string
from collections.abc import Callable

from lavenderspoke.http.connectiontable import CloseReason, Phase
from lavenderspoke.http.server import CallerHttpRequest
from lavenderspoke.problems import Reason
from lavenderspoke.resources.clientmemory import Holding
from lavenderspoke.resources.heldbody import HeldBody

READ_BYTES = 64 * 1024
# The longest line before a chunk, in bytes, with the chunk's extensions.
CHUNK_LINE_BYTES_MAX = 4 * 1024
# More digits are no size that any body may have.
CHUNK_SIZE_DIGITS_MAX = 16
CRLF = b"\r\n"
HEX_DIGITS = string.hexdigits.encode()
# How long a body waits unread for room, in seconds.
ROOM_WAIT_S = 1.0


class BodyTooLarge(Exception):
    """A body exceeds its limit."""


class BodyBroken(Exception):
    """A body ended early or is malformed."""


class BodyNotHeld(Exception):
    """There is no room for a body, or others needed what its client held."""

    def __init__(self, reason: CloseReason):
        super().__init__(f"no room for the body ({reason})")
        self.reason = reason

    @property
    def refusal(self) -> Reason:
        """What the client is told."""
        is_memory = self.reason is CloseReason.MEMORY
        return Reason.NO_MEMORY if is_memory else Reason.SERVER_BUSY


def read_body(request: CallerHttpRequest, bytes_max: int, *, owner: str = "") -> bytes:
    """Return a request's whole body, once the request has been read to its last byte.

    The `owner` is the customer on whose account it is held, as long as something refers
    to it. Raises BodyTooLarge, BodyBroken, BodyNotHeld, and TimeoutError when it came
    too slowly. The rest of such a request would be taken for the next one, so its
    connection closes.
    """
    progress = request.conn.progress
    progress.enter(Phase.READING)
    try:
        return _read(request, bytes_max, owner)
    except TimeoutError:
        request.close_connection = True
        raise
    except OSError as error:
        request.close_connection = True
        raise _broken(request, "the connection broke") from error
    except (BodyTooLarge, BodyBroken, BodyNotHeld):
        request.close_connection = True
        raise
    finally:
        progress.enter(Phase.HANDLED)


def _read(request: CallerHttpRequest, bytes_max: int, owner: str) -> bytes:
    with HeldBody(
        kind=Holding.REQUESTS,
        bytes_max=bytes_max,
        memory=request.server.memory,
        owner=owner,
    ) as body:
        reader = _ChunkedReader if request.chunked_read else _SizedReader
        reader(request, body).read(bytes_max)
        request.body_was_read()
        return body.value()


class _SizedReader:
    """Reads a body whose length is stated."""

    def __init__(self, request: CallerHttpRequest, body: HeldBody):
        self._request = request
        self._body = body

    def read(self, bytes_max: int) -> None:
        left = int(self._request.inheaders.get(b"Content-Length", 0))
        if left > bytes_max:
            raise BodyTooLarge
        if not self._body.expect(left):
            _wait(self._request, lambda wait_s: self._body.expect(left, wait_s=wait_s))
        while left > 0:
            data = self._request.conn.rfile.read_some(min(left, READ_BYTES))
            if not data:
                raise _broken(self._request, f"{left} bytes are missing")
            self._body.append(data)
            left -= len(data)


class _ChunkedReader:
    """Reads a body that comes in chunks, and what follows it."""

    def __init__(self, request: CallerHttpRequest, body: HeldBody):
        self._request = request
        self._body = body
        self._data = b""
        self._at = 0

    def read(self, bytes_max: int) -> None:
        # Framing counts too; small chunks can't make it larger than the body.
        framing_left = 2 * bytes_max + io.DEFAULT_BUFFER_SIZE
        while size := self._size():
            framing_left -= self._line_bytes + len(CRLF)
            if self._body.size + size > min(bytes_max, framing_left):
                raise BodyTooLarge
            self._read_content(size)
            self._read_chunk_end()
        # If the system closes a socket with a byte unread, as it does when a process
        # is killed, it resets the connection, which tells the caller that nobody has
        # read the request.
        trailer_left = self._request.server.max_request_header_size
        while (line := self._line(trailer_left)) != CRLF:
            trailer_left -= len(line)
        self._request.conn.rfile.put_back(self._data[self._at :])

    def _size(self) -> int:
        line = self._line(CHUNK_LINE_BYTES_MAX)
        self._line_bytes = len(line)
        digits = line.partition(b";")[0].strip()
        if not digits or digits.strip(HEX_DIGITS):
            raise BodyBroken("malformed chunk size")
        if len(digits.lstrip(b"0")) > CHUNK_SIZE_DIGITS_MAX:
            raise BodyTooLarge
        return int(digits, 16)

    def _read_content(self, size: int) -> None:
        while size > 0:
            if self._at == len(self._data):
                self._receive()
            part = self._data[self._at : self._at + size]
            if not self._body.append(part):
                size_held = self._body.size + len(part)
                _wait(
                    self._request,
                    lambda wait_s: self._body.expect(size_held, wait_s=wait_s),
                )
                self._body.append(part)
            self._at += len(part)
            size -= len(part)

    def _read_chunk_end(self) -> None:
        while len(self._data) - self._at < len(CRLF):
            self._receive()
        if not self._data.startswith(CRLF, self._at):
            raise BodyBroken("malformed chunk")
        self._at += len(CRLF)

    def _line(self, bytes_max: int) -> bytes:
        """Return the next line with its end; raises BodyTooLarge if it is too long."""
        while (end := self._data.find(b"\n", self._at, self._at + bytes_max)) < 0:
            if len(self._data) - self._at >= bytes_max:
                raise BodyTooLarge
            self._receive()
        line, self._at = self._data[self._at : end + 1], end + 1
        if not line.endswith(CRLF):
            raise BodyBroken("malformed chunks")
        return line

    def _receive(self) -> None:
        data = self._request.conn.rfile.read_some(READ_BYTES)
        if not data:
            raise _broken(self._request, "incomplete chunks")
        self._data, self._at = self._data[self._at :] + data, 0


def _wait(request: CallerHttpRequest, take: Callable[[float], bool]) -> None:
    """Wait for room for a body; raises BodyNotHeld if there is none in time."""
    progress = request.conn.progress
    # It isn't the client that is slow now.
    progress.enter(Phase.HANDLED)
    if not take(ROOM_WAIT_S):
        raise BodyNotHeld(CloseReason.MEMORY)
    progress.enter(Phase.READING)


def _broken(request: CallerHttpRequest, detail: str) -> Exception:
    """Return the error of a body that ended early, by its client or for others."""
    closed_for = request.conn.progress.closed_for
    return BodyBroken(detail) if closed_for is None else BodyNotHeld(closed_for)
