"""HTTP servers as supervised parts of an entry that dispatches directly."""

import socket
import threading

from lavenderspoke.direct.app import DirectApp
from lavenderspoke.direct.catalog import Limits
from lavenderspoke.direct.settings import DirectSettings
from lavenderspoke.http.server import HttpServer
from lavenderspoke.resources.clientmemory import CLIENT_MEMORY
from lavenderspoke.resources.processlimits import client_connections

# Connections may idle this much longer, in seconds, than the configured idle timeout,
# since a request that is on its way when the server closes is lost.
CLOSE_DELAY_S = 2.0
# A request with its body may take this many times as long to arrive as its headers.
REQUEST_READ_FACTOR = 3.0
# Timeout for joining the threads of a stopped server, in seconds.
SHUTDOWN_TIMEOUT_S = 0.3


class SupervisedServer:
    """Runs a cheroot server on its own thread."""

    name = ""

    def __init__(self):
        self.server: HttpServer | None = None
        self._thread: threading.Thread | None = None

    def create_server(self) -> HttpServer:
        """Return a new server, which `start` prepares."""
        raise NotImplementedError

    def start(self) -> None:
        """Start listening; raises OSError when the address is in use."""
        self.server = self.create_server()
        self.server.shutdown_timeout = SHUTDOWN_TIMEOUT_S
        self.server.prepare()
        self._thread = threading.Thread(
            target=self.server.serve, name=self.name, daemon=True
        )
        self._thread.start()

    def stop(self) -> None:
        """Stop listening and close open connections."""
        if self.server is not None:
            self.server.stop()

    def alive(self) -> bool:
        """Return whether the server's thread is running."""
        return self._thread is not None and self._thread.is_alive()


class DirectServer(SupervisedServer):
    """The server for callers; its limits can change while it runs."""

    name = "callers"

    def __init__(
        self,
        *,
        settings: DirectSettings,
        app: DirectApp,
        listener: socket.socket | None = None,
    ):
        super().__init__()
        self._listener = listener
        self._settings = settings
        self._app = app
        self._limits = Limits()

    def create_server(self) -> HttpServer:
        address = self._settings.callers
        # Used once: a server that is created again after a failure opens its own.
        listener, self._listener = self._listener, None
        server = HttpServer(
            listener=listener,
            host=address.host,
            port=address.port,
            app=self._app,
            threads=self._settings.threads,
            on_problem=self._app.count_problem,
            refuses_unread=True,
            memory=CLIENT_MEMORY,
            connections_max=client_connections(self._settings.limits.descriptors),
            on_closed=self._app.count_closed,
        )
        CLIENT_MEMORY.make_room = server.make_room
        _apply_limits(server, self._limits)
        return server

    def in_flight(self) -> int:
        """Return how many requests have arrived and lack a complete response."""
        return self.server.in_flight() if self.server is not None else 0

    def set_limits(self, limits: Limits) -> None:
        """Apply new limits to later requests and connections, but for body sizes."""
        self._limits = limits
        if self.server is not None:
            _apply_limits(self.server, limits)


def _apply_limits(server: HttpServer, limits: Limits) -> None:
    server.timeout = limits.idle_timeout_s + CLOSE_DELAY_S
    server.request_read_s = limits.read_timeout_s * REQUEST_READ_FACTOR
    server.max_request_header_size = limits.header_bytes_max
