"""The WSGI application of an entry that dispatches directly.

It decides what can be decided on arrival (route, key, limit), hands the rest to
`RequestHandler`, and writes what comes of it: whole, or visibly broken.
"""

import hashlib
from collections.abc import Iterable, Iterator

import attrs
import logbook
from result import Err, Ok, Result

from lavenderspoke.clock import Clock
from lavenderspoke.direct.catalog import Catalog, Customer, Route
from lavenderspoke.direct.dialect import Dialect, RequestHead
from lavenderspoke.direct.dispatcher import (
    AcceptedRequest,
    FullResponse,
    StreamResponse,
)
from lavenderspoke.direct.exchange import IncompleteResponse
from lavenderspoke.direct.handling import RequestHandler
from lavenderspoke.direct.inforce import CatalogInForce
from lavenderspoke.direct.office import DirectDispatcher
from lavenderspoke.direct.refusals import not_run
from lavenderspoke.direct.startuphold import StartupHold
from lavenderspoke.http import problempage
from lavenderspoke.http.callerrequest import StartResponse, caller_request
from lavenderspoke.http.callerwatch import CallerWatch
from lavenderspoke.http.hopbyhop import Headers, end_to_end
from lavenderspoke.http.requestbody import BodyBroken, BodyTooLarge, read_body
from lavenderspoke.http.server import REQUEST_KEY, CallerHttpRequest, CutOff
from lavenderspoke.observing.metrics import Metrics
from lavenderspoke.problems import Problem, Reason

# What callers are told to wait, in seconds, for what ends within a second or two.
SOON_S = 0.5
# The end of a request lies this much before the route's timeout, in seconds, so
# that its answer is out in time.
TIMEOUT_MARGIN_S = 0.05
SET_HERE = frozenset(("content-length", "date", "server"))

ANSWERS = "direct_answers"
FIRST_BYTE = "direct_first_byte_s"
WHOLE = "direct_answer_s"
WHOLE_ANSWER = "whole"
BROKEN = "broken"

log = logbook.Logger(__name__)


@attrs.define(kw_only=True)
class _Journey:
    """What the log line of a request says at its end."""

    request_id: str
    arrived_s: float
    route: str = ""
    customer: str = ""
    version: int = 0
    returned: bool = False
    outcome: str = ""
    status: int = 0
    retry_after_s: float | None = None
    detail: str = ""
    handling: RequestHandler | None = None
    first_s: float | None = None


class DirectApp:
    """The application; cheroot calls it on many threads.

    While `draining` it tells callers to connect elsewhere next time; once
    `refusing` it takes no more requests, since a long one could not be finished.
    """

    def __init__(
        self,
        *,
        opening: StartupHold,
        in_force: CatalogInForce,
        dispatcher: DirectDispatcher,
        dialect: Dialect,
        watch: CallerWatch,
        metrics: Metrics,
        clock: Clock,
    ):
        self.draining = False
        self.refusing = False
        self._opening = opening
        self._in_force = in_force
        self._dispatcher = dispatcher
        self._dialect = dialect
        self._watch = watch
        self._metrics = metrics
        self._clock = clock

    def count_problem(self, problem: Problem) -> None:
        """Count a refusal that the server made itself."""
        self._metrics.count(ANSWERS, problem.reason.value)

    def __call__(self, environ: dict, start_response: StartResponse) -> Iterable[bytes]:
        return self._answer(environ[REQUEST_KEY], start_response)

    def _answer(
        self, http_request: CallerHttpRequest, start_response: StartResponse
    ) -> Iterator[bytes]:
        journey = _Journey(request_id="", arrived_s=self._clock.monotonic_s())
        try:
            yield from self._handle(http_request, start_response, journey)
        finally:
            self._record(journey)

    def _handle(
        self,
        http_request: CallerHttpRequest,
        start_response: StartResponse,
        journey: _Journey,
    ) -> Iterator[bytes]:
        # Callers on connections that stay open must learn to go elsewhere.
        http_request.close_connection |= self.draining
        accepted = self._accept(http_request, journey)
        if isinstance(accepted, Err):
            http_request.close_connection |= _unread(http_request)
            yield self._refuse(start_response, accepted.err_value, journey)
            return
        handling = RequestHandler(
            accepted=accepted.ok_value,
            dispatcher=self._dispatcher,
            dialect=self._dialect,
            clock=self._clock,
        )
        journey.handling = handling
        fd = http_request.conn.socket.fileno()
        self._watch.add(fd, handling.cancel)
        try:
            yield from self._pass_on(handling, start_response, journey)
        finally:
            handling.close()
            self._watch.remove(fd)

    def _pass_on(
        self, handling: RequestHandler, start_response: StartResponse, journey: _Journey
    ) -> Iterator[bytes]:
        answer = handling.handle()
        journey.first_s = self._clock.monotonic_s()
        accepted = handling.accepted
        if isinstance(answer, Problem):
            self._dispatcher.note_refusal(accepted, ran=answer.ran)
            if handling.caller_gone:
                answer = attrs.evolve(answer, reason=Reason.CALLER_GONE)
            yield self._refuse(start_response, answer, journey)
            return
        journey.status = answer.status
        if isinstance(answer, FullResponse):
            journey.outcome = WHOLE_ANSWER
            start_response(
                problempage.status_line(answer.status),
                _returned(answer.headers, len(answer.body)),
            )
            yield answer.body
            return
        yield from self._stream(answer, handling, start_response, journey)

    def _stream(
        self,
        answer: StreamResponse,
        handling: RequestHandler,
        start_response: StartResponse,
        journey: _Journey,
    ) -> Iterator[bytes]:
        start_response(
            problempage.status_line(answer.status), _returned(answer.headers, None)
        )
        journey.outcome = Reason.CALLER_GONE.value
        try:
            yield from answer.chunks
        except IncompleteResponse as error:
            if not handling.caller_gone:
                journey.outcome = BROKEN
            journey.detail = str(error)
            # Returning would end the answer as if it were whole.
            raise CutOff from error
        finally:
            answer.chunks.close()
        journey.outcome = WHOLE_ANSWER

    # Decisions on arrival

    def _accept(
        self, http_request: CallerHttpRequest, journey: _Journey
    ) -> Result[AcceptedRequest, Problem]:
        if self.refusing:
            return Err(not_run(Reason.DRAINING, "try another instance", SOON_S))
        request = caller_request(http_request)
        read = self._dialect.parse_request(
            request.method, request.target, request.headers
        )
        if isinstance(read, Err):
            return Err(not_run(Reason.BAD_REQUEST, read.err_value.detail))
        head = read.ok_value
        journey.request_id = head.request_id
        self._opening.wait()
        catalog = self._in_force.catalog
        if catalog is None:
            detail = "no configuration has been read yet"
            return Err(not_run(Reason.NO_DOCUMENT, detail, SOON_S))
        journey.version = catalog.version
        route = catalog.route_for(head.host, head.path)
        if route is None:
            return Err(not_run(Reason.NO_ROUTE, "no route leads there"))
        journey.route = route.name
        customer = self._customer(catalog, route, head)
        if isinstance(customer, Err):
            return customer
        journey.customer = customer.ok_value.name if customer.ok_value else ""
        body = self._body(http_request, catalog)
        if isinstance(body, Err):
            return body
        accepted = self._weigh(
            catalog, route, customer.ok_value, head, body.ok_value, journey.arrived_s
        )
        if isinstance(accepted, Ok):
            journey.returned = accepted.ok_value.resubmitted
        return accepted

    def _customer(
        self, catalog: Catalog, route: Route, head: RequestHead
    ) -> Result[Customer | None, Problem]:
        if route.anonymous or not catalog.needs_key:
            return Ok(None)
        if not self._in_force.is_fresh():
            detail = "the keys were read too long ago"
            return Err(not_run(Reason.KEYS_STALE, detail, SOON_S))
        customer = catalog.customer_for(head.api_key) if head.api_key else None
        if customer is None:
            return Err(not_run(Reason.UNAUTHORIZED, "the key is missing or unknown"))
        return Ok(customer)

    @staticmethod
    def _body(
        http_request: CallerHttpRequest, catalog: Catalog
    ) -> Result[bytes, Problem]:
        try:
            return Ok(read_body(http_request, catalog.limits.body_bytes_max))
        except BodyTooLarge:
            return Err(not_run(Reason.BODY_TOO_LARGE, "the body is too long"))
        except TimeoutError:
            return Err(not_run(Reason.BODY_TIMEOUT, "the body came too slowly"))
        except BodyBroken as error:
            return Err(not_run(Reason.BAD_REQUEST, str(error)))

    def _weigh(
        self,
        catalog: Catalog,
        route: Route,
        customer: Customer | None,
        head: RequestHead,
        body: bytes,
        arrived_s: float,
    ) -> Result[AcceptedRequest, Problem]:
        allowed_s = route.timeout_s - TIMEOUT_MARGIN_S
        if head.deadline_in_s is not None:
            allowed_s = min(allowed_s, head.deadline_in_s)
        accepted = AcceptedRequest(
            head=head,
            body=body,
            route=route,
            service=self._dispatcher.choose_service(route),
            customer=customer,
            rank=(catalog.rank_of(customer), route.rank),
            fingerprint=_fingerprint(head, customer, body),
            resubmitted=False,
            first_arrived_s=arrived_s,
            arrived_s=arrived_s,
            deadline_s=arrived_s + allowed_s,
            version=catalog.version,
        )
        return self._dispatcher.admit(accepted)

    # Writing

    def _refuse(
        self, start_response: StartResponse, problem: Problem, journey: _Journey
    ) -> bytes:
        journey.outcome = problem.reason.value
        journey.status = problem.status
        journey.detail = problem.detail
        journey.retry_after_s = problem.retry_after_s
        page = problempage.render(problem, retry_after=problempage.retry_after_exact)
        start_response(page.status, list(page.headers))
        return page.body

    def _record(self, journey: _Journey) -> None:
        now_s = self._clock.monotonic_s()
        self._metrics.count(ANSWERS, journey.outcome or BROKEN)
        handling = journey.handling
        if handling is not None and journey.first_s is not None:
            accepted = handling.accepted
            tier = str(accepted.route.rank)
            waited_s = journey.first_s - journey.arrived_s
            self._metrics.observe(FIRST_BYTE, accepted.service, tier, waited_s)
            whole_s = now_s - journey.arrived_s
            self._metrics.observe(WHOLE, accepted.service, tier, whole_s)
        log.info(
            "request",
            request=journey.request_id,
            route=journey.route,
            customer=journey.customer,
            version=journey.version,
            outcome=journey.outcome or BROKEN,
            status=journey.status,
            returned=journey.returned,
            trail=handling.trail if handling else [],
            retry_after_s=journey.retry_after_s,
            detail=journey.detail,
            silence_looks=dict(handling.relocation.results) if handling else {},
            waited_s=round(handling.waited_s, 4) if handling else None,
            first_s=_since(journey.first_s, journey.arrived_s),
            whole_s=_since(now_s, journey.arrived_s),
        )


def _since(at_s: float | None, start_s: float) -> float | None:
    return None if at_s is None else round(at_s - start_s, 4)


def _unread(http_request: CallerHttpRequest) -> bool:
    if http_request.chunked_read:
        return not http_request.rfile.closed
    return getattr(http_request.rfile, "remaining", 0) > 0


def _returned(headers: Headers, length: int | None) -> list[tuple[str, str]]:
    """Return the headers for the caller; an unknown length is sent in chunks."""
    returned = list(end_to_end(headers, SET_HERE))
    if length is not None:
        returned.append(("Content-Length", str(length)))
    return returned


def _fingerprint(head: RequestHead, customer: Customer | None, body: bytes) -> str:
    """Return what a caller's repeat of a request has in common with it."""
    name = customer.name if customer else ""
    text = f"{name}\0{head.method}\0{head.host}\0{head.target}\0".encode()
    return hashlib.blake2b(text + body, digest_size=12).hexdigest()
