"""HTTP servers as parts of an entry that dispatches directly."""

import socket
import threading

from lavenderspoke.direct.app import DirectApp
from lavenderspoke.direct.catalog import Limits
from lavenderspoke.direct.settings import DirectSettings
from lavenderspoke.http.server import HttpServer

# Connections may idle for this much longer, in seconds, than callers are told:
# a request that crosses a close is lost to its caller.
IDLE_MARGIN_S = 2.0
# How long a request may take to arrive, in times of what headers may take: a
# body follows them.
BODY_TIMES = 3.0
# How long the threads of a stopped server are waited for, in seconds.
SHUTDOWN_S = 0.3


class SupervisedServer:
    """Runs cheroot's server on a thread of its own."""

    name = ""

    def __init__(self):
        self.server: HttpServer | None = None
        self._thread: threading.Thread | None = None

    def create_server(self) -> HttpServer:
        """Return a new server, ready to be prepared."""
        raise NotImplementedError

    def start(self) -> None:
        """Listen; raises OSError when the address is taken."""
        self.server = self.create_server()
        self.server.shutdown_timeout = SHUTDOWN_S
        self.server.prepare()
        self._thread = threading.Thread(
            target=self.server.serve, name=self.name, daemon=True
        )
        self._thread.start()

    def stop(self) -> None:
        """Stop listening and close what is open."""
        if self.server is not None:
            self.server.stop()

    def alive(self) -> bool:
        """Return whether the server runs."""
        return self._thread is not None and self._thread.is_alive()


class DirectServer(SupervisedServer):
    """The callers' server, under limits that change."""

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
        # Used once: a server that is made again after a fault opens its own.
        listener, self._listener = self._listener, None
        server = HttpServer(
            listener=listener,
            host=address.host,
            port=address.port,
            app=self._app,
            threads=self._settings.threads,
            on_problem=self._app.count_problem,
        )
        _limit(server, self._limits)
        return server

    def in_flight(self) -> int:
        """Return the number of requests that have come and aren't answered whole."""
        return self.server.in_flight() if self.server is not None else 0

    def set_limits(self, limits: Limits) -> None:
        """Put other limits in force, for requests and connections from now on."""
        self._limits = limits
        if self.server is not None:
            _limit(self.server, limits)


def _limit(server: HttpServer, limits: Limits) -> None:
    server.timeout = limits.idle_timeout_s + IDLE_MARGIN_S
    server.request_read_s = limits.read_timeout_s * BODY_TIMES
    server.max_request_header_size = limits.header_bytes_max
