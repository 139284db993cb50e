"""The WSGI application that turns callers' requests into answers."""

import threading
from collections.abc import Iterable

from lavenderspoke import arrivals
from lavenderspoke.answering.answerstream import AnswerStream
from lavenderspoke.arrivals import Admission, ArrivalBuilder, refusal
from lavenderspoke.clock import Clock
from lavenderspoke.gateway import Answer, Arrival, Gateway
from lavenderspoke.http import problempage
from lavenderspoke.http.callerrequest import StartResponse, caller_request
from lavenderspoke.http.callerwatch import CallerWatch
from lavenderspoke.http.connectiontable import CloseReason
from lavenderspoke.http.requestbody import (
    BodyBroken,
    BodyNotHeld,
    BodyTooLarge,
    read_body,
)
from lavenderspoke.http.server import REQUEST_KEY, CallerHttpRequest, chunk_writer
from lavenderspoke.model import Ran
from lavenderspoke.observing.metrics import Metrics
from lavenderspoke.problems import Problem, Reason

BODY_BYTES_MAX = 8 * 1024 * 1024
DRAIN_RETRY_S = 1.0
CALLER_ANSWERS = "caller_answers"
CLOSED_CONNECTIONS = "caller_closed_connections"
ANSWER_LATENCY = "caller_answer_s"
FIRST_BYTE_LATENCY = "caller_first_byte_s"


class CallerApp:
    """The application; cheroot calls it on many threads."""

    def __init__(
        self,
        *,
        gateway: Gateway,
        metrics: Metrics,
        clock: Clock,
        builder: ArrivalBuilder,
        watch: CallerWatch,
        body_bytes_max: int = BODY_BYTES_MAX,
    ):
        self.draining = False
        self._gateway = gateway
        self._metrics = metrics
        self._clock = clock
        self._builder = builder
        self._watch = watch
        self._body_bytes_max = body_bytes_max
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

    def count_closed(self, reason: CloseReason) -> None:
        """Count a connection that the HTTP server closed for others."""
        self._metrics.count(CLOSED_CONNECTIONS, reason.value)

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
        of_service = admission.service.waiting.body_bytes_max
        bytes_max = min(of_service, self._body_bytes_max)
        try:
            body = read_body(http_request, bytes_max, owner=admission.customer.name)
        except BodyTooLarge:
            return refusal(Reason.BODY_TOO_LARGE, f"at most {bytes_max} bytes")
        except TimeoutError:
            return refusal(Reason.BODY_TIMEOUT, "the body came too slowly")
        except BodyNotHeld as error:
            return refusal(error.refusal, str(error), DRAIN_RETRY_S)
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
        http_request.close_if_unread()
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
            writer=lambda: chunk_writer(http_request),
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
