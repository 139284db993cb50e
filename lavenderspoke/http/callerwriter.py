"""Writes to a caller without copies of what its connection doesn't take yet."""

import socket

from lavenderspoke.http.connectiontable import Phase, Progress

# Bytes that are offered to a socket at once.
WRITE_BYTES = 64 * 1024


class CallerWriter:
    """The writing side of a connection, as cheroot uses it.

    The socket's timeout applies to each part that it takes.
    """

    def __init__(self, sock: socket.socket, progress: Progress):
        self.bytes_written = 0
        self._sock = sock
        self._progress = progress

    def write(self, data: bytes) -> int:
        """Write all of the data; raises OSError when the caller doesn't take it."""
        self._progress.enter(Phase.WRITING)
        with memoryview(data) as view:
            begin = 0
            while begin < len(data):
                with view[begin : begin + WRITE_BYTES] as part:
                    sent = self._sock.send(part)
                begin += sent
                self._progress.moved(sent)
        self._progress.enter(Phase.HANDLED)
        self.bytes_written += len(data)
        return len(data)
