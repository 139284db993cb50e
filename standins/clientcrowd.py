"""A crowd of clients that hold what a server has, over plain sockets.

Each client sends an opening, then `repeated` bytes until it has sent `bytes_max`, or a
piece of `dripped` every `drip_s`. It stays until the crowd is closed, and reads nothing
unless it `reads`. If it `returns`, it connects again once its server has closed.
"""

import itertools
import selectors
import socket
import threading
import time
from collections import Counter
from collections.abc import Callable

import attrs

HOST = "127.0.0.1"
CONNECT_TIMEOUT_S = 2.0
POLL_S = 0.02
WRITE_BYTES = 64 * 1024
READ_BYTES = 64 * 1024
KEPT_BYTES = 512


@attrs.frozen(kw_only=True)
class Behaviour:
    """What each client of a crowd does; `opening` gets the client's number."""

    opening: Callable[[int], bytes]
    repeated: bytes = b""
    bytes_max: int = 0
    dripped: bytes = b""
    drip_s: float = 0.0
    reads: bool = True
    returns: bool = False


class _Client:
    def __init__(self, *, number: int, port: int, behaviour: Behaviour):
        self.number = number
        self.received = b""
        self.is_closed = False
        self.sent_bytes = 0
        self._behaviour = behaviour
        self._unsent = memoryview(behaviour.opening(number))
        self._dripped = iter(
            behaviour.dripped[i : i + 1] for i in range(len(behaviour.dripped))
        )
        self._drip_at_s = time.monotonic() + behaviour.drip_s
        self.sock = socket.create_connection((HOST, port), timeout=CONNECT_TIMEOUT_S)
        self.sock.setblocking(False)

    @property
    def is_answered(self) -> bool:
        return self.is_closed or b"\r\n\r\n" in self.received

    @property
    def has_sent(self) -> bool:
        return self.is_closed or not self._due()

    def _due(self) -> bool:
        behaviour = self._behaviour
        if self._unsent:
            return True
        if behaviour.repeated and self.sent_bytes < behaviour.bytes_max:
            self._unsent = memoryview(behaviour.repeated)
            return True
        if behaviour.dripped and time.monotonic() >= self._drip_at_s:
            self._drip_at_s = time.monotonic() + behaviour.drip_s
            self._unsent = memoryview(next(self._dripped, b""))
        return bool(self._unsent)

    def events(self) -> int:
        """Return what to wait for at its socket."""
        reading = selectors.EVENT_READ if self._behaviour.reads else 0
        return reading | (selectors.EVENT_WRITE if self._due() else 0)

    def turn(self, events: int) -> None:
        """Send and read what goes without waiting."""
        try:
            if events & selectors.EVENT_WRITE and self._due():
                sent = self.sock.send(self._unsent[:WRITE_BYTES])
                self.sent_bytes += sent
                self._unsent = self._unsent[sent:]
            if events & selectors.EVENT_READ:
                data = self.sock.recv(READ_BYTES)
                self.is_closed = not data
                self.received = (self.received + data)[:KEPT_BYTES]
        except BlockingIOError:
            return
        except OSError:
            self.is_closed = True


class ClientCrowd:
    """Clients of one kind at a port, driven by one thread; a context manager."""

    def __init__(self, *, port: int, count: int, behaviour: Behaviour):
        self._port = port
        self._behaviour = behaviour
        self._numbers = itertools.count()
        self._lock = threading.Lock()
        self._clients: list[_Client] = []
        self._wanted = count
        self._stopping = threading.Event()
        self._thread = threading.Thread(target=self._run, name="crowd", daemon=True)
        self.statuses: Counter = Counter()
        self.closed = 0

    def __enter__(self) -> "ClientCrowd":
        self._thread.start()
        return self

    def __exit__(self, *error) -> None:
        self.close()

    def close(self) -> None:
        """Close all connections."""
        self._stopping.set()
        self._thread.join()
        for client in self._clients:
            client.sock.close()

    @property
    def is_sent(self) -> bool:
        """Whether each client has sent all that it sends at once, or was closed."""
        with self._lock:
            return not self._wanted and all(each.has_sent for each in self._clients)

    @property
    def is_answered(self) -> bool:
        """Whether each client has the head of an answer, or was closed."""
        with self._lock:
            return not self._wanted and all(each.is_answered for each in self._clients)

    def _run(self) -> None:
        while not self._stopping.is_set():
            self._connect_wanted()
            if not self._turn():
                time.sleep(POLL_S)

    def _connect_wanted(self) -> None:
        while self._wanted and not self._stopping.is_set():
            try:
                client = _Client(
                    number=next(self._numbers),
                    port=self._port,
                    behaviour=self._behaviour,
                )
            except OSError:
                # Its connection was refused, or its listener's queue is full.
                time.sleep(POLL_S)
                return
            with self._lock:
                self._clients.append(client)
                self._wanted -= 1

    def _turn(self) -> bool:
        poll = selectors.PollSelector()
        for client in self._clients:
            events = 0 if client.is_closed else client.events()
            if events:
                poll.register(client.sock, events, client)
        ready = poll.select(POLL_S) if poll.get_map() else []
        for key, events in ready:
            key.data.turn(events)
        self._drop_closed()
        return bool(ready)

    def _drop_closed(self) -> None:
        if not any(each.is_closed for each in self._clients):
            return
        with self._lock:
            gone = [each for each in self._clients if each.is_closed]
            self.closed += len(gone)
            for client in gone:
                client.sock.close()
                status = client.received.split(b" ", 2)[1:2]
                self.statuses[status[0].decode("latin-1") if status else ""] += 1
            self._clients = [each for each in self._clients if not each.is_closed]
            if self._behaviour.returns:
                self._wanted += len(gone)
