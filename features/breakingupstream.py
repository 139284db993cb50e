"""An upstream that breaks its answers off at any byte."""

import re
import socket
import struct
import threading
import time

import attrs

from features.rawupstream import Arrived, read_request
from standins.processes import HOST

RESET = struct.pack("ii", 1, 0)
# Time between two segments, and before a reset, which may overtake what was sent.
PAUSE_S = 0.002
# A path names the byte at which its answer breaks off.
BROKEN_PATH = re.compile(rb"/broken/(\d+)")
HEALTHY = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}"


@attrs.frozen(kw_only=True)
class Breaking:
    """How answers break off.

    What comes before the break is sent in `segments`. The connection is then closed, or
    reset if it `resets`.
    """

    answer: bytes
    segments: int = 1
    resets: bool = False


class BreakingUpstream:
    """Breaks answers to `/broken/AT` off at the byte AT; others are whole."""

    def __init__(self, breaking: Breaking):
        self.breaking = breaking
        self._listener = socket.create_server((HOST, 0), backlog=64)
        self.port = self._listener.getsockname()[1]
        threading.Thread(target=self._accept, daemon=True).start()

    @property
    def url(self) -> str:
        return f"http://{HOST}:{self.port}"

    def close(self) -> None:
        self._listener.close()

    def _accept(self) -> None:
        while True:
            try:
                connection, _ = self._listener.accept()
            except OSError:
                return
            threading.Thread(target=self._serve, args=[connection], daemon=True).start()

    def _serve(self, connection: socket.socket) -> None:
        connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        with connection:
            try:
                while request := read_request(connection, ()):
                    if not self._answer(connection, request):
                        return
            except OSError:
                # Its caller has closed the connection.
                return

    def _answer(self, connection: socket.socket, request: Arrived) -> bool:
        """Answer a request; return whether another one may follow."""
        if request.path.startswith(b"/health"):
            connection.sendall(HEALTHY)
            return True
        answer = self.breaking.answer.replace(b"{id}", request.attempt_id)
        at = BROKEN_PATH.search(request.path)
        if at is None:
            connection.sendall(answer)
            return True
        data = answer[: int(at.group(1))]
        size = max(1, -(-len(data) // self.breaking.segments))
        for start in range(0, len(data), size):
            connection.sendall(data[start : start + size])
            if self.breaking.segments > 1:
                time.sleep(PAUSE_S)
        if self.breaking.resets:
            time.sleep(PAUSE_S)
            connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
        return False
