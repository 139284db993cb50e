"""The HTTP servers: one for callers, one for the platform and operators."""

import json
import threading
import time
from collections.abc import Callable, Iterable

import attrs

from lavenderspoke import arrivals, problempage
from lavenderspoke.answerstream import AnswerStream, StartResponse
from lavenderspoke.arrivals import Admission, ArrivalBuilder, CallerRequest, refusal
from lavenderspoke.callerwatch import CallerWatch
from lavenderspoke.clock import Clock
from lavenderspoke.gateway import Answer, Arrival, Gateway
from lavenderspoke.httpserver import (
    REQUEST_KEY,
    REQUEST_READ_S,
    BodyBroken,
    BodyTooLarge,
    CallerHttpRequest,
    HttpServer,
    Tls,
    read_body,
)
from lavenderspoke.metrics import Metrics
from lavenderspoke.model import Ran
from lavenderspoke.problems import Problem, Reason

CALLER_THREADS = 256
STATUS_THREADS = 4
DRAIN_S = 60.0
DRAIN_POLL_S = 0.05
DRAIN_RETRY_S = 1.0
CALLER_ANSWERS = "caller_answers"
ANSWER_LATENCY = "answer"
FIRST_BYTE_LATENCY = "first_byte"


class CallerApp:
    """The WSGI application that turns callers' requests into answers."""

    def __init__(
        self,
        *,
        gateway: Gateway,
        metrics: Metrics,
        clock: Clock,
        builder: ArrivalBuilder,
        watch: CallerWatch,
    ):
        self.draining = False
        self._gateway = gateway
        self._metrics = metrics
        self._clock = clock
        self._builder = builder
        self._watch = watch
        self._in_flight: dict[AnswerStream, Answer] = {}
        self._lock = threading.Lock()

    def in_flight(self) -> int:
        """Return the number of answers that are awaited or being written."""
        with self._lock:
            return len(self._in_flight)

    def abandon_all(self) -> None:
        """Cut off the answers that are left when draining has taken too long."""
        with self._lock:
            answers = list(self._in_flight.values())
        for answer in answers:
            answer.abandon()

    def count_problem(self, problem: Problem) -> None:
        """Count an answer that is a problem."""
        self._metrics.count(CALLER_ANSWERS, problem.reason.value)

    def __call__(self, environ: dict, start_response: StartResponse) -> Iterable[bytes]:
        http_request = environ[REQUEST_KEY]
        if self.draining:
            http_request.close_connection = True
            problem = refusal(Reason.DRAINING, "try another instance", DRAIN_RETRY_S)
            return self._refuse(http_request, start_response, problem)
        request = caller_request(http_request)
        admitted = arrivals.admit(request, self._gateway)
        if admitted.is_err():
            return self._refuse(http_request, start_response, admitted.unwrap_err())
        admission = admitted.unwrap()
        received = self._receive(http_request, admission)
        if isinstance(received, Problem):
            return self._refuse(http_request, start_response, received)
        return self._submit(http_request, start_response, admission, received)

    def _receive(
        self, http_request: CallerHttpRequest, admission: Admission
    ) -> Arrival | Problem:
        """Read the body and build the arrival, or say why that can't be."""
        bytes_max = admission.service.waiting.body_bytes_max
        try:
            body = read_body(http_request, bytes_max)
        except BodyTooLarge:
            return refusal(Reason.BODY_TOO_LARGE, f"at most {bytes_max} bytes")
        except TimeoutError:
            return refusal(Reason.BODY_TIMEOUT, "the body came too slowly")
        except BodyBroken as error:
            return refusal(Reason.BAD_REQUEST, f"body: {error}")
        built = self._builder.build(admission, body)
        return built.unwrap() if built.is_ok() else built.unwrap_err()

    def _refuse(
        self,
        http_request: CallerHttpRequest,
        start_response: StartResponse,
        problem: Problem,
    ) -> list[bytes]:
        """Answer at once; a body that is still to come is not waited for."""
        self.count_problem(problem)
        if has_unread_body(http_request):
            http_request.close_connection = True
            http_request.conn.linger_on_close = True
        page = problempage.render(problem)
        start_response(page.status, list(page.headers))
        return [] if http_request.method == b"HEAD" else [page.body]

    def _submit(
        self,
        http_request: CallerHttpRequest,
        start_response: StartResponse,
        admission: Admission,
        arrival: Arrival,
    ) -> AnswerStream:
        answer = self._gateway.submit(arrival)
        started_s = self._clock.monotonic_s()
        labels = (admission.service.name, admission.tier.name)
        fd = http_request.conn.socket.fileno()

        def on_first_byte() -> None:
            elapsed_s = self._clock.monotonic_s() - started_s
            self._metrics.observe(FIRST_BYTE_LATENCY, *labels, elapsed_s)

        def on_close(stream: AnswerStream) -> None:
            self._watch.remove(fd)
            with self._lock:
                self._in_flight.pop(stream, None)
            elapsed_s = self._clock.monotonic_s() - started_s
            self._metrics.observe(ANSWER_LATENCY, *labels, elapsed_s)
            self._metrics.count(CALLER_ANSWERS, stream.outcome)

        stream = AnswerStream(
            answer=answer,
            start_response=start_response,
            method=arrival.call.method,
            whole_only=http_request.response_protocol != "HTTP/1.1",
            on_first_byte=on_first_byte,
            on_close=on_close,
            abandoned=self._abandoned,
        )
        with self._lock:
            self._in_flight[stream] = answer
        self._watch.add(fd, answer.abandon)
        return stream

    def _abandoned(self) -> Problem:
        """Return what became of an answer that was abandoned."""
        if self.draining:
            detail = "this instance stopped before the answer was whole"
            return Problem(
                reason=Reason.OUTCOME_UNKNOWN, ran=Ran.UNKNOWN, detail=detail
            )
        return Problem(reason=Reason.CALLER_GONE, ran=Ran.UNKNOWN)


def caller_request(http_request: CallerHttpRequest) -> CallerRequest:
    """Return the request as sent, with its path and query untouched."""
    return CallerRequest(
        method=http_request.method.decode("latin-1"),
        target=http_request.uri.decode("latin-1"),
        headers=tuple(
            (name.decode("latin-1"), value.decode("latin-1"))
            for name, value in http_request.inheaders.items()
        ),
    )


def has_unread_body(http_request: CallerHttpRequest) -> bool:
    """Return whether some of the request's body is still to be read."""
    if http_request.chunked_read:
        return not http_request.rfile.closed
    return http_request.rfile.remaining > 0


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
        drain_s: float = DRAIN_S,
        builder: ArrivalBuilder = ArrivalBuilder(),
    ):
        self._watch = CallerWatch()
        self._app = CallerApp(
            gateway=gateway,
            metrics=metrics,
            clock=clock,
            builder=builder,
            watch=self._watch,
        )
        self._drain_s = drain_s
        self._make_server = lambda: HttpServer(
            host=host,
            port=port,
            app=self._app,
            threads=threads,
            tls=tls,
            request_read_s=request_read_s,
            on_problem=self._app.count_problem,
        )
        self._running: _RunningServer | None = None

    @property
    def port(self) -> int:
        """The port listened on, also where the settings left it to the system."""
        return self._running.server.bind_addr[1]

    def start(self) -> None:
        """Listen; raises OSError when the address is in use."""
        self._app.draining = False
        running = _RunningServer.start(self._make_server(), "callers")
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
