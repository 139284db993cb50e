"""The HTTP servers: one for callers, one for the platform and operators."""

import json
import threading
import time
from collections.abc import Callable

import attrs

from lavenderspoke.arrivals import ArrivalBuilder
from lavenderspoke.callerapp import BODY_BYTES_MAX, CallerApp
from lavenderspoke.clock import Clock
from lavenderspoke.gateway import Gateway
from lavenderspoke.http import problempage
from lavenderspoke.http.callerrequest import StartResponse
from lavenderspoke.http.callerwatch import CallerWatch
from lavenderspoke.http.server import (
    HEADER_BYTES_MAX,
    REQUEST_READ_S,
    HttpServer,
    Tls,
)
from lavenderspoke.observing.metrics import Metrics
from lavenderspoke.resources.clientmemory import CLIENT_MEMORY

CALLER_THREADS = 256
CALLER_CONNECTIONS = 1024
STATUS_THREADS = 4
DRAIN_S = 60.0
DRAIN_POLL_S = 0.05


@attrs.define(kw_only=True)
class _RunningServer:
    """Runs cheroot's server on a thread of its own."""

    server: HttpServer
    thread: threading.Thread

    @classmethod
    def start(cls, server: HttpServer, name: str) -> "_RunningServer":
        server.prepare()
        thread = threading.Thread(target=server.serve, name=name, daemon=True)
        thread.start()
        return cls(server=server, thread=thread)

    def stop(self) -> None:
        self.server.stop()
        self.thread.join()


class CallerServer:
    """The callers' HTTP server, a part of the entry.

    `stop` drains: it waits up to `drain_s` for the answers in flight while new
    requests are refused, then cuts off what is left, visibly.
    """

    def __init__(
        self,
        *,
        host: str,
        port: int,
        gateway: Gateway,
        metrics: Metrics,
        clock: Clock,
        threads: int = CALLER_THREADS,
        tls: Tls | None = None,
        request_read_s: float = REQUEST_READ_S,
        header_bytes_max: int = HEADER_BYTES_MAX,
        body_bytes_max: int = BODY_BYTES_MAX,
        drain_s: float = DRAIN_S,
        connections_max: int = CALLER_CONNECTIONS,
        builder: ArrivalBuilder = ArrivalBuilder(),
    ):
        self._watch = CallerWatch()
        self._app = CallerApp(
            gateway=gateway,
            metrics=metrics,
            clock=clock,
            builder=builder,
            watch=self._watch,
            body_bytes_max=body_bytes_max,
        )
        self._drain_s = drain_s
        self._make_server = lambda: HttpServer(
            host=host,
            port=port,
            app=self._app,
            threads=threads,
            tls=tls,
            request_read_s=request_read_s,
            header_bytes_max=header_bytes_max,
            on_problem=self._app.count_problem,
            memory=CLIENT_MEMORY,
            connections_max=connections_max,
            on_closed=self._app.count_closed,
        )
        self._running: _RunningServer | None = None

    @property
    def port(self) -> int:
        """The port listened on, also where the settings left it to the system."""
        return self._running.server.bind_addr[1]

    def start(self) -> None:
        """Listen; raises OSError when the address is in use."""
        self._app.draining = False
        server = self._make_server()
        running = _RunningServer.start(server, "callers")
        CLIENT_MEMORY.make_room = server.make_room
        self._watch.start()
        self._running = running

    def drain(self) -> None:
        """Close connections as their answers end, and wait for those answers."""
        self._app.draining = True
        until_s = time.monotonic() + self._drain_s
        while self._app.in_flight() and time.monotonic() < until_s:
            time.sleep(DRAIN_POLL_S)

    def stop(self) -> None:
        """Drain, cut off what is left, and close."""
        if self._running is None:
            return
        self.drain()
        self._app.abandon_all()
        self._running.stop()
        self._watch.stop()
        self._running = None

    def alive(self) -> bool:
        """Return whether callers are being served."""
        running = self._running
        serving = running is not None and running.thread.is_alive()
        return serving and self._watch.alive()

    def in_flight(self) -> int:
        """Return the number of answers that are awaited or being written."""
        return self._app.in_flight()


class StatusServer:
    """The pages by which the platform and operators see a daemon.

    `/-/health` says that the process answers, `/-/ready` whether it should get
    work, `/-/metrics` and `/-/status` what it has done and holds.
    """

    def __init__(
        self,
        *,
        host: str,
        port: int,
        ready: Callable[[], bool],
        status: Callable[[], dict],
        metrics: Metrics,
    ):
        self._address = (host, port)
        self._ready = ready
        self._status = status
        self._metrics = metrics
        self._running: _RunningServer | None = None

    @property
    def port(self) -> int:
        """The port listened on, also where the settings left it to the system."""
        return self._running.server.bind_addr[1]

    def start(self) -> None:
        """Listen; raises OSError when the address is in use."""
        host, port = self._address
        server = HttpServer(
            host=host, port=port, app=self._respond, threads=STATUS_THREADS
        )
        self._running = _RunningServer.start(server, "status")

    def stop(self) -> None:
        """Close."""
        if self._running is not None:
            self._running.stop()
            self._running = None

    def alive(self) -> bool:
        """Return whether the pages are being served."""
        running = self._running
        return running is not None and running.thread.is_alive()

    def _respond(self, environ: dict, start_response: StartResponse) -> list[bytes]:
        page = self._page(environ["PATH_INFO"])
        start_response(page.status, list(page.headers))
        return [page.body]

    def _page(self, path: str) -> problempage.Page:
        if path == "/-/health":
            return _page(200, "application/json", '{"healthy": true}\n')
        if path == "/-/ready":
            ready = self._ready()
            text = json.dumps({"ready": ready}) + "\n"
            return _page(200 if ready else 503, "application/json", text)
        if path == "/-/metrics":
            text = self._metrics.render()
            return _page(200, "text/plain; version=0.0.4; charset=utf-8", text)
        if path == "/-/status":
            text = json.dumps(self._status() | self._metrics.snapshot()) + "\n"
            return _page(200, "application/json", text)
        return _page(404, "application/json", '{"error": "no such page"}\n')


def _page(status: int, content_type: str, text: str) -> problempage.Page:
    body = text.encode()
    headers = (("Content-Type", content_type), ("Content-Length", str(len(body))))
    return problempage.Page(
        status=problempage.status_line(status), headers=headers, body=body
    )
