"""The page that tells the platform's balancer whether to send callers here."""

import threading
from collections.abc import Callable, Iterable

from lavenderspoke.answerstream import StartResponse
from lavenderspoke.direct.settings import Address
from lavenderspoke.httpserver import HttpServer
from lavenderspoke.metrics import Metrics

THREADS = 2
SHUTDOWN_S = 0.3
METRICS_PATH = "/metrics"


class ReadinessServer:
    """Answers 200 while callers may come and 503 otherwise, on any path.

    `/metrics` on the same address shows counters and latencies as text.
    """

    def __init__(
        self, *, address: Address, ready: Callable[[], bool], metrics: Metrics
    ):
        self._address = address
        self._ready = ready
        self._metrics = metrics
        self._server: HttpServer | None = None
        self._thread: threading.Thread | None = None

    def start(self) -> None:
        """Listen; raises OSError when the address is taken."""
        self._server = HttpServer(
            host=self._address.host,
            port=self._address.port,
            app=self._answer,
            threads=THREADS,
        )
        self._server.shutdown_timeout = SHUTDOWN_S
        self._server.prepare()
        self._thread = threading.Thread(
            target=self._server.serve, name="readiness", daemon=True
        )
        self._thread.start()

    def stop(self) -> None:
        """Stop listening."""
        if self._server is not None:
            self._server.stop()

    def alive(self) -> bool:
        """Return whether the server runs."""
        return self._thread is not None and self._thread.is_alive()

    def _answer(self, environ: dict, start_response: StartResponse) -> Iterable[bytes]:
        if environ["PATH_INFO"] == METRICS_PATH:
            body = self._metrics.render().encode()
            status = "200 OK"
        else:
            ready = self._ready()
            status = "200 OK" if ready else "503 Service Unavailable"
            body = b"ready\n" if ready else b"not ready\n"
        headers = [("Content-Type", "text/plain"), ("Content-Length", str(len(body)))]
        start_response(status, headers)
        return [body]
