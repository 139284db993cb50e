"""The readiness page for the platform's load balancer, and the metrics page."""

from collections.abc import Callable, Iterable

from lavenderspoke.direct.server import SupervisedServer
from lavenderspoke.direct.settings import Address
from lavenderspoke.http.callerrequest import StartResponse
from lavenderspoke.http.server import HttpServer
from lavenderspoke.observing.metrics import Metrics

THREADS = 2
METRICS_PATH = "/metrics"


class ReadinessServer(SupervisedServer):
    """Responds 200 while callers may be sent here and 503 otherwise.

    It does so on any path but `/metrics`, which shows counters and latencies as text.
    """

    name = "readiness"

    def __init__(
        self, *, address: Address, ready: Callable[[], bool], metrics: Metrics
    ):
        super().__init__()
        self._address = address
        self._ready = ready
        self._metrics = metrics

    def create_server(self) -> HttpServer:
        return HttpServer(
            host=self._address.host,
            port=self._address.port,
            app=self._respond,
            threads=THREADS,
        )

    def _respond(self, environ: dict, start_response: StartResponse) -> Iterable[bytes]:
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
