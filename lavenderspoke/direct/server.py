"""The callers' server of an entry that dispatches directly, as a part."""

import threading

from lavenderspoke.direct.app import DirectApp
from lavenderspoke.direct.catalog import Limits
from lavenderspoke.direct.settings import DirectSettings
from lavenderspoke.httpserver import HttpServer

# Connections may idle for this much longer, in seconds, than callers are told:
# a request that crosses a close is lost to its caller.
IDLE_MARGIN_S = 2.0
# How long a request may take to arrive, in times of what headers may take: a
# body follows them.
BODY_TIMES = 3.0
# How long the threads of a stopped server are waited for, in seconds.
SHUTDOWN_S = 0.3


class CallerPart:
    """Runs cheroot's server on a thread of its own, under changing limits."""

    def __init__(self, *, settings: DirectSettings, app: DirectApp):
        self._settings = settings
        self._app = app
        self._limits = Limits()
        self._server: HttpServer | None = None
        self._thread: threading.Thread | None = None

    def start(self) -> None:
        """Listen; raises OSError when the address is taken."""
        address = self._settings.callers
        self._server = HttpServer(
            host=address.host,
            port=address.port,
            app=self._app,
            threads=self._settings.threads,
            on_problem=self._app.count_problem,
        )
        self._server.shutdown_timeout = SHUTDOWN_S
        self.limit(self._limits)
        self._server.prepare()
        self._thread = threading.Thread(
            target=self._server.serve, name="callers", daemon=True
        )
        self._thread.start()

    def stop(self) -> None:
        """Stop listening and close what is open."""
        if self._server is not None:
            self._server.stop()

    def alive(self) -> bool:
        """Return whether the server runs."""
        return self._thread is not None and self._thread.is_alive()

    def limit(self, limits: Limits) -> None:
        """Put other limits in force, for requests and connections from now on."""
        self._limits = limits
        if self._server is None:
            return
        self._server.timeout = limits.idle_timeout_s + IDLE_MARGIN_S
        self._server.request_read_s = limits.read_timeout_s * BODY_TIMES
        self._server.max_request_header_size = limits.header_bytes_max
