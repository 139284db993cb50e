"""An upstream of the users' platform whose answers are written byte by byte."""

import socket
import threading
from collections import Counter
from collections.abc import Callable

import attrs

from standins.platformdeployment import PlatformDeployment
from standins.processes import HOST

ID = b"x-attempt-id"
HEAD_END = b"\r\n\r\n"
# What an answer's text says in the place of its request's id.
ID_PLACE = b"{id}"


@attrs.frozen(kw_only=True)
class Arrived:
    """A request as it was read; `earlier` are those before it on its connection."""

    attempt_id: bytes
    path: bytes
    earlier: tuple[bytes, ...]


class RawUpstream:
    """Counts each request as run, and answers it with the bytes of `answer`.

    `greeting` is sent on each connection before any request, and no answer closes its
    connection unless `closes`.
    """

    def __init__(
        self,
        *,
        answer: Callable[[Arrived], bytes],
        greeting: bytes = b"",
        closes: bool = False,
    ):
        self.runs: Counter[str] = Counter()
        self._answer = answer
        self._greeting = greeting
        self._closes = closes
        self._lock = threading.Lock()
        self._listener = socket.create_server((HOST, 0), backlog=64)
        self.port = self._listener.getsockname()[1]
        threading.Thread(target=self._accept, daemon=True).start()

    def close(self) -> None:
        self._listener.close()

    def register(self, platform: PlatformDeployment, name: str, service: str) -> None:
        """Write its record into the platform's store."""
        record = {
            "service": service,
            "address": f"{HOST}:{self.port}",
            "zone": "here",
            "slots": 4,
            "version": "v1",
            "state": "ready",
        }
        platform.put("keyed.servers", name, record)

    def _accept(self) -> None:
        while True:
            try:
                connection, _ = self._listener.accept()
            except OSError:
                return
            threading.Thread(target=self._serve, args=[connection], daemon=True).start()

    def _serve(self, connection: socket.socket) -> None:
        earlier: tuple[bytes, ...] = ()
        with connection:
            try:
                connection.sendall(self._greeting)
                while request := read_request(connection, earlier):
                    with self._lock:
                        self.runs[request.attempt_id.decode()] += 1
                    connection.sendall(self._answer(request))
                    if self._closes:
                        return
                    earlier += (request.attempt_id,)
            except OSError:
                # Its caller has closed the connection.
                return


def read_request(
    connection: socket.socket, earlier: tuple[bytes, ...]
) -> Arrived | None:
    """Read a request with its body, None at the end of the connection."""
    data = b""
    while HEAD_END not in data:
        received = connection.recv(65536)
        if not received:
            return None
        data += received
    head, _, body = data.partition(HEAD_END)
    lines = head.split(b"\r\n")
    fields = {}
    for line in lines[1:]:
        name, _, value = line.partition(b":")
        fields[name.lower()] = value.strip()
    missing = int(fields.get(b"content-length", b"0")) - len(body)
    while missing > 0:
        missing -= len(connection.recv(missing) or b" " * missing)
    return Arrived(
        attempt_id=fields.get(ID, b""), path=lines[0].split(b" ")[1], earlier=earlier
    )


def templated(template: bytes) -> Callable[[Arrived], bytes]:
    """Return what answers each request with the same text and its own id."""
    return lambda request: template.replace(ID_PLACE, request.attempt_id)
