"""Reads a caller's request, which must come whole within its time."""

import socket
import time
from collections.abc import Callable

from cheroot.makefile import StreamReader


class CallerReader(StreamReader):
    """A connection's reader that gives up when the whole request is late.

    `on_read` gets the size of each part that came.
    """

    def __init__(
        self, sock: socket.socket, timeout_s: float, on_read: Callable[[int], None]
    ):
        super().__init__(sock, "rb")
        self.raw.readinto = self._readinto
        self._sock = sock
        self._timeout_s = timeout_s
        self._on_read = on_read
        self._deadline_s = None

    def allow(self, until_s: float) -> None:
        """Give the request that begins now until then to arrive."""
        self._deadline_s = until_s

    def put_back(self, data: bytes) -> None:
        """Let what was read from the socket already be read first."""
        self._read_buf = bytes(data)
        self._read_pos = 0

    def read_some(self, size: int) -> bytes:
        """Return some bytes, b"" at the connection's end; raises OSError."""
        if self.has_data():
            return self.read1(size)
        buffer = bytearray(size)
        received = self._readinto(buffer)
        with memoryview(buffer) as view, view[:received] as data:
            return bytes(data)

    def _readinto(self, buffer) -> int:
        # A caller that sends a byte now and then never exceeds the timeout of
        # one read, so a few hundred of them would hold every thread for good.
        left_s = self._deadline_s - time.monotonic()
        if left_s <= 0:
            raise TimeoutError("timed out")
        self._sock.settimeout(min(left_s, self._timeout_s))
        try:
            received = self._sock.recv_into(buffer)
        finally:
            self._sock.settimeout(self._timeout_s)
        self._on_read(received)
        return received
