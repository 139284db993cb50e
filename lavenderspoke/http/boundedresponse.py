"""Responses whose reading ends in time, whatever the other side sends.

A socket's timeout begins anew with each byte, so a server that sends a byte now and
then, or never stops sending, could keep its reader for good. Here a read ends at a
time, and the head and the framing of a response end after a number of bytes.
"""

import errno
import http.client
import io
import math
import re
import select
import socket
import time
from collections.abc import Callable
from typing import Protocol

import attrs

from lavenderspoke.http.framing import StrictResponse
from lavenderspoke.http.headreader import HeadReader

# The longest head, with the informational responses before it, in bytes.
HEAD_BYTES_MAX = 64 * 1024
STATUS_LINE_BYTES_MAX = 8 * 1024
STATUS_LINE_PREFIX = b"HTTP/1."
FINAL_STATUSES = range(200, 600)
INFORMATIONAL_STATUSES = frozenset(range(100, 200)) - {
    http.HTTPStatus.SWITCHING_PROTOCOLS
}
# The most informational responses before the final one.
INFORMATIONAL_MAX = 16
# The longest trailers, in bytes, and the time that they may take, in seconds: the body
# is whole before them, and its reader waits.
TRAILER_BYTES_MAX = 16 * 1024
TRAILER_TIMEOUT_S = 0.05
# Time in which data that has arrived is still read after the end, in seconds: this
# process may have been suspended meanwhile.
LATE_READ_S = 0.05
WAIT_MIN_S = 0.001
# How often a reader checks whether its caller is still there, in seconds.
CALLER_CHECK_S = 0.05
# Chunks of a few bytes, each behind another one, and what comes before their content.
SHORT_CHUNK_HEAD_BYTES = 5
SHORT_CHUNK = re.compile(
    b"|".join(rb"\r\n[%x%X]\r\n.{%d}" % (size, size, size) for size in range(1, 16)),
    re.DOTALL,
)
SHORT_CHUNKS = re.compile(b"(?:%b)+" % SHORT_CHUNK.pattern, re.DOTALL)
# What ends a chunked body, after the last chunk's data.
CHUNKED_END = b"\r\n0\r\n\r\n"

OnReadTimeout = Callable[[], float]
"""Returns how many more seconds to wait for a silent upstream; 0 gives up.

Called on the reading thread each time that a read times out.
"""


class SteadyClock(Protocol):
    """A clock that is never set back."""

    def monotonic_s(self) -> float:
        """Return the time in seconds since any moment."""


class ProcessClock:
    """The steady clock of this machine."""

    def monotonic_s(self) -> float:
        """Return the time in seconds since any moment."""
        return time.monotonic()


class ResponseTooLong(http.client.HTTPException):
    """A part of a response exceeds its limit."""


def no_extension() -> float:
    """Give up at the first read timeout."""
    return 0.0


def no_caller_check() -> None:
    """Check nothing: there is no caller, or something else notices that it leaves."""


@attrs.define(kw_only=True, eq=False)
class ReadBounds:
    """When the reads of one response end; times are in seconds on the clock.

    Nothing is awaited after `ends_s`. Before it, `on_read_timeout` is asked when the
    part that was expected hasn't come in time. `silence_s` bounds the time between two
    bytes. `check_caller` is called on the reading thread now and then, and may call
    `stop`: the thread that watches all callers is late while many others read floods.

    >>> bounds = ReadBounds(clock=ProcessClock(), ends_s=math.inf)
    >>> bounds.expect_within(2.0)
    >>> 1.9 < bounds.wait_s() <= 2.0
    True
    """

    clock: SteadyClock
    ends_s: float
    on_read_timeout: OnReadTimeout = no_extension
    silence_s: float = math.inf
    check_caller: Callable[[], None] = no_caller_check
    received_bytes: int = 0
    _due_s: float = math.inf
    _check_due_s: float = attrs.field(init=False)
    _late_until_s: float | None = None
    _bytes_left: float = math.inf
    _is_stopped: bool = False

    def __attrs_post_init__(self):
        self._check_due_s = self.clock.monotonic_s() + CALLER_CHECK_S

    def expect_within(self, timeout_s: float) -> None:
        """Let the reads from now on, all together, time out after so long."""
        self._due_s = self.clock.monotonic_s() + max(WAIT_MIN_S, timeout_s)

    def end_by(self, ends_s: float) -> None:
        """End the reads earlier than planned."""
        self.ends_s = min(self.ends_s, ends_s)

    def limit_bytes(self, bytes_max: float) -> None:
        """Raise ResponseTooLong once more than that has been received from now on."""
        self._bytes_left = bytes_max

    def let_go(self) -> None:
        """Refer no more to whoever made the request: an idle connection keeps these."""
        self.on_read_timeout = no_extension
        self.check_caller = no_caller_check

    def stop(self) -> None:
        """End all reads at once, from any thread."""
        self._is_stopped = True

    def wait_s(self) -> float:
        """Return how long the next read may wait, 0 for what has arrived.

        Raises TimeoutError if there is no time left, and ConnectionAbortedError after
        `stop`.
        """
        now_s = self.clock.monotonic_s()
        if now_s >= self._check_due_s:
            self._check_due_s = now_s + CALLER_CHECK_S
            self.check_caller()
        if self._is_stopped:
            raise ConnectionAbortedError(errno.ECONNABORTED, "stopped reading")
        if now_s >= self.ends_s:
            return self._late_wait_s(now_s)
        if now_s >= self._due_s:
            extra_s = self.on_read_timeout()
            if extra_s <= 0.0:
                raise TimeoutError("read timed out")
            now_s = self.clock.monotonic_s()
            self._due_s = now_s + extra_s
        return max(WAIT_MIN_S, min(self.silence_s, self.left_s(now_s)))

    def left_s(self, now_s: float) -> float:
        """Return the time until the next timeout, negative if it is over."""
        return min(self._due_s, self.ends_s) - now_s

    def count(self, received: int) -> None:
        """Count received bytes; raises ResponseTooLong."""
        self.received_bytes += received
        self._bytes_left -= received
        if self._bytes_left < 0:
            raise ResponseTooLong("a part of the response is too long")

    def _late_wait_s(self, now_s: float) -> float:
        if self._late_until_s is None:
            self._late_until_s = now_s + LATE_READ_S
        if now_s >= self._late_until_s:
            raise TimeoutError("read timed out")
        return 0.0


class _SocketReader(socket.SocketIO):
    """Reads from a socket within bounds, and nothing while `is_socket_unused`.

    A timed-out read has to be continued here: a timeout that reaches the buffered
    reader above makes it lose what it has read of an unfinished line.
    """

    is_socket_unused = False

    def __init__(self, sock: socket.socket, bounds: ReadBounds):
        super().__init__(sock, "rb")
        self._bounds = bounds

    def readinto(self, buffer):
        if self.is_socket_unused:
            # "Would block", so that `peek` returns only what is buffered.
            return None
        self._checkClosed()
        while True:
            wait_s = self._bounds.wait_s()
            self._sock.settimeout(wait_s if wait_s < math.inf else None)
            try:
                received = self._sock.recv_into(buffer)
            except BlockingIOError as error:
                raise TimeoutError("read timed out") from error
            except TimeoutError as error:
                if has_kernel_timed_out(error) or wait_s >= self._bounds.silence_s:
                    raise
                continue
            self._bounds.count(received)
            return received


class BoundedResponse(StrictResponse):
    """An HTTP response that is read within bounds and detects bytes after its end."""

    def __init__(self, sock, *args, bounds: ReadBounds, **kwargs):
        super().__init__(sock, *args, **kwargs)
        # Replaces the reader that the base class opened. The socket counts its readers,
        # and closes only after the last of them.
        self.fp.close()
        self.bounds = bounds
        self._reader = _SocketReader(sock, bounds)
        sock._io_refs += 1
        self.fp = io.BufferedReader(self._reader)
        self.has_extra_bytes = False

    def begin(self) -> None:
        self.bounds.limit_bytes(HEAD_BYTES_MAX)
        fp = self.fp
        # The base class takes the end of the connection for that of the headers.
        self.fp = HeadReader(fp)
        try:
            super().begin()
        finally:
            self.fp = fp
        self.bounds.limit_bytes(math.inf)

    def read1(self, n: int = -1) -> bytes:
        data = super().read1(n)
        if data and self.chunked and self.chunk_left == 0:
            data += self._read_short_chunks()
        return data

    def _read_short_chunks(self) -> bytes:
        """Read the short chunks that are buffered, which are costly one by one."""
        chunks = SHORT_CHUNKS.match(self._buffered())
        if chunks is None:
            return b""
        found = SHORT_CHUNK.findall(self.fp.read(chunks.end()))
        content = b"".join([each[SHORT_CHUNK_HEAD_BYTES:] for each in found])
        self.check_framing(len(found) * SHORT_CHUNK_HEAD_BYTES, len(content))
        return content

    def is_end_next(self) -> bool:
        """Return whether the rest of the response has arrived and has no data."""
        if self.fp is None:
            return True
        if not self.chunked:
            return self.length == 0
        if self.chunk_left != 0:
            return False
        buffered = self._buffered()
        if not buffered and self._has_data():
            buffered = self.fp.peek(1)
        return buffered.startswith(CHUNKED_END)

    def _has_data(self) -> bool:
        poll = select.poll()
        poll.register(self._reader._sock, select.POLLIN)
        return bool(poll.poll(0))

    def _read_status(self) -> tuple[str, int, str]:
        """Return the final response's status line, after informational ones."""
        for _ in range(INFORMATIONAL_MAX + 1):
            version, status, reason = self._read_status_line()
            if status in FINAL_STATUSES:
                return version, status, reason
            # Nobody asks to switch protocols.
            if status not in INFORMATIONAL_STATUSES:
                raise http.client.BadStatusLine(f"{version} {status}")
            http.client.parse_headers(self.fp)
        raise ResponseTooLong("too many informational responses")

    def _read_status_line(self) -> tuple[str, int, str]:
        # Checked byte by byte, since what isn't HTTP may never have an end of line.
        line = b""
        while len(line) < len(STATUS_LINE_PREFIX):
            byte = self.fp.read(1)
            if not byte:
                raise http.client.RemoteDisconnected("closed without a response")
            line += byte
            if not STATUS_LINE_PREFIX.startswith(line):
                raise http.client.BadStatusLine(line.decode("latin-1"))
        line += self.fp.readline(STATUS_LINE_BYTES_MAX)
        version, _, rest = line.decode("latin-1").strip().partition(" ")
        code, _, reason = rest.strip().partition(" ")
        if not line.endswith(b"\n") or len(code) != 3 or not code.isdecimal():
            raise http.client.BadStatusLine(line.decode("latin-1"))
        return version, int(code), reason.strip()

    def _read_and_discard_trailer(self) -> None:
        self.bounds.limit_bytes(TRAILER_BYTES_MAX)
        self.bounds.on_read_timeout = no_extension
        self.bounds.expect_within(TRAILER_TIMEOUT_S)
        super()._read_and_discard_trailer()

    def _buffered(self) -> bytes:
        """Return what was read from the socket and not used so far."""
        before = self._reader.is_socket_unused
        self._reader.is_socket_unused = True
        try:
            return self.fp.peek(1)
        finally:
            self._reader.is_socket_unused = before

    def _close_conn(self):
        # With bytes after this response, the connection must not be reused: they would
        # be parsed as the start of the next response.
        self.has_extra_bytes = bool(self._buffered())
        self._reader.is_socket_unused = True
        super()._close_conn()


def has_kernel_timed_out(error: TimeoutError) -> bool:
    """Return whether TCP_USER_TIMEOUT or keep-alive probes ended the connection.

    The socket reports this once. Another read would return the end of the stream, and a
    truncated response of unknown length would pass for a complete one.
    """
    return error.errno == errno.ETIMEDOUT
