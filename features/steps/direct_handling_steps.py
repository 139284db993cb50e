"""Steps about the handling of one request, with fakes of the dispatcher."""

import socket
import threading
import time
from collections.abc import Callable, Sequence
from random import Random

from behave import given, then, when

from features.rawhttp import unescaped
from features.steps.direct_exchange_steps import RawUpstream
from lavenderspoke.clock import SystemClock
from lavenderspoke.direct.catalog import Repeatability, Route, TrafficShare
from lavenderspoke.direct.dialect import ControlRequest, RequestHead
from lavenderspoke.direct.dispatcher import (
    AcceptedRequest,
    AttemptOutcome,
    StreamResponse,
)
from lavenderspoke.direct.exchange import ConnectionPool, IncompleteResponse
from lavenderspoke.direct.handling import RequestHandler
from lavenderspoke.direct.instances import Upstream
from lavenderspoke.direct.office import DirectDispatcher
from lavenderspoke.direct.settings import Bounds
from lavenderspoke.direct.sharing import EntryLocation
from lavenderspoke.direct.tickets import Dispatch, Refusal, Refuse
from lavenderspoke.http.upstreamsignals import UpstreamSignals
from lavenderspoke.model import Ran
from lavenderspoke.observing.metrics import Metrics
from lavenderspoke.problems import Problem, Reason
from standins.processes import HOST, free_port

TIMEOUT_S = 5.0


class OneUpstreamDispatcher:
    """Sends every request to the same upstream and records how attempts end."""

    def __init__(self, *, upstream: Upstream):
        self.outcomes: list[AttemptOutcome] = []
        self.signals: list[tuple[str, UpstreamSignals]] = []
        self._upstream = upstream
        self._connections = ConnectionPool(
            host=upstream.host, port=upstream.port, clock=SystemClock()
        )

    def submit(self, ticket) -> None:
        ticket.on_decision(Dispatch(upstream=self._upstream))

    def withdraw(self, ticket) -> bool:
        return False

    def first_event_received(self, ticket, upstream) -> None:
        pass

    def attempt_ended(self, ticket, upstream, accepted, outcome) -> None:
        self.outcomes.append(outcome)

    def response_received(self, upstream, signals, *, sent_s) -> None:
        self.signals.append((upstream.upstream_id, signals))

    def takes_requests(self, upstream) -> bool:
        return not any(
            upstream_id == upstream.upstream_id and signals.is_leaving
            for upstream_id, signals in self.signals
        )

    def blocked_s(self, service) -> float:
        return 0.0

    def reserved_slot_used(self, upstream) -> None:
        pass

    def stream_began(self, attempt_id, upstream) -> None:
        pass

    def stream_goes_on(self, attempt_id, upstream, *, told_s) -> float:
        return told_s

    def is_quarantined(self, accepted) -> bool:
        return False

    def connection_refused(self, upstream) -> None:
        pass

    def check_ended(self, upstream) -> None:
        pass

    def has_ended(self, upstream) -> bool:
        return False

    def connection_pool(self, upstream) -> ConnectionPool:
        return self._connections

    def take_retry(self, service) -> bool:
        return False

    def event_interval_measured(self, ticket, upstream, step_s) -> None:
        pass

    def relocation_checked(self, result) -> None:
        pass


RESERVE = b"POST /reserve"
RESERVED = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nr1"


class FakeDialect:
    """Accepts every response as valid, and each 200 as a reservation."""

    def upstream_headers(self, *, reservation, **_ignored) -> dict[str, str]:
        return {"Host": "test", "Reserved": reservation or "nothing"}

    def names(self, response, head) -> bool:
        return not self.names_another(response, head)

    def names_another(self, response, head) -> bool:
        return response.header("X-Attempt-Id") == "another"

    def named_request(self, headers) -> str:
        return dict(headers).get("X-Attempt-Id", "")

    def is_not_run(self, response) -> bool:
        return response.status in (421, 503)

    def promises_not_run(self, status) -> bool:
        return status in (429, 503)

    def is_misdirected(self, response) -> bool:
        return response.status == 421

    def is_valid_response(self, response, head) -> bool:
        return True

    def __init__(self):
        self.signals = UpstreamSignals()

    def upstream_signals(self, response) -> UpstreamSignals:
        return self.signals

    def supports_reservation(self, head) -> bool:
        return True

    def reservation_request(self, *, head, upstream) -> ControlRequest:
        return ControlRequest(
            method="POST", target="/reserve", headers={"Host": "test"}
        )

    def parse_reservation(self, response, body) -> str | None:
        return body.decode() if response.status == 200 else None


class StepwiseUpstream(RawUpstream):
    """Sends its parts one after the other, with a pause before each but the first.

    If it `reserves`, it grants a reservation after `before_reserving` has returned.
    `end_pause` ends a pause, and returns once all parts are sent.
    """

    def __init__(
        self,
        *,
        parts: list[bytes],
        pause_s: float,
        then: str,
        reserves: bool = True,
        before_reserving: Callable[[], object] = lambda: None,
    ):
        self.heads: list[bytes] = []
        self._parts = parts
        self._pause_s = pause_s
        self._reserves = reserves
        self._before_reserving = before_reserving
        self._pause_ended = threading.Event()
        self._parts_sent = threading.Event()
        super().__init__(answer=b"", then=then)

    def end_pause(self) -> None:
        self._pause_ended.set()
        assert self._parts_sent.wait(TIMEOUT_S)

    def _serve(self, connection: socket.socket) -> None:
        with connection:
            while head := connection.recv(65536):
                self.heads.append(head)
                if not self._reserves or not head.startswith(RESERVE):
                    self._send_parts(connection)
                    return
                self._before_reserving()
                connection.sendall(RESERVED)

    def _send_parts(self, connection: socket.socket) -> None:
        for number, part in enumerate(self._parts):
            if number and self._pause_unless_closed(connection):
                return
            connection.sendall(part)
        self._parts_sent.set()
        if self._then == "keeps":
            self._closes_within(connection, TIMEOUT_S)

    def _pause_unless_closed(self, connection: socket.socket) -> bool:
        until_s = time.monotonic() + self._pause_s
        while time.monotonic() < until_s and not self._pause_ended.is_set():
            if self._closes_within(connection, 0.01):
                return True
        return False

    def _closes_within(self, connection: socket.socket, pause_s: float) -> bool:
        connection.settimeout(pause_s)
        try:
            connection.recv(1)
        except TimeoutError:
            return False
        return True


class FewSlotsDispatcher(OneUpstreamDispatcher):
    """Has one slot at each upstream, and hands them out in order."""

    def __init__(self, *, upstreams: list[Upstream]):
        super().__init__(upstream=upstreams[0])
        self.retries = 1
        self.held: list[Upstream] = []
        # The outcomes known before each request to an upstream.
        self.outcomes_at_sends: list[tuple[AttemptOutcome, ...]] = []
        self._free = upstreams

    def submit(self, ticket) -> None:
        if not self._free:
            refuse = Refuse(reason=Refusal.CROWDED, retry_after_s=1.0)
            ticket.on_decision(refuse)
            return
        upstream = self._free.pop(0)
        self.held.append(upstream)
        ticket.on_decision(Dispatch(upstream=upstream))

    def attempt_ended(self, ticket, upstream, accepted, outcome) -> None:
        super().attempt_ended(ticket, upstream, accepted, outcome)
        self.held.remove(upstream)

    def release_slot(self, ticket, upstream) -> None:
        self.held.remove(upstream)
        self._free.insert(0, upstream)

    def connection_pool(self, upstream) -> ConnectionPool:
        self.outcomes_at_sends.append(tuple(self.outcomes))
        return ConnectionPool(
            host=upstream.host, port=upstream.port, clock=SystemClock()
        )

    def take_retry(self, service) -> bool:
        self.retries -= 1
        return self.retries >= 0

    def return_retry(self, service) -> None:
        self.retries += 1

    def stream_completed(self, ticket, steps) -> None:
        pass


STREAM_HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
STREAM_END = b"0\r\n\r\n"


def chunk(number: int) -> bytes:
    """Return one event of a stream, as a chunk."""
    event = f"id: {number}\ndata: a\n\n".encode()
    return b"%x\r\n%s\r\n" % (len(event), event)


def upstream_at(port: int, *, name: str = "u") -> Upstream:
    return Upstream(
        upstream_id=name,
        service="s",
        host=HOST,
        port=port,
        data_centre="here",
        slots=1,
    )


def accepted_request(
    *, resumable: bool, attempts_max: int, patience_s: float = TIMEOUT_S
) -> AcceptedRequest:
    route = Route(
        name="r",
        host="h",
        path_prefix="/",
        repeatability=Repeatability.ONCE,
        stream=True,
        resumable=resumable,
        timeout_s=TIMEOUT_S,
        target_s=1.0,
        patience_s=patience_s,
        rank=0,
        traffic_split=(TrafficShare(service="s", weight=1.0),),
        attempts_max=attempts_max,
    )
    now_s = time.monotonic()
    head = RequestHead(request_id="a", method="GET", target="/", host="h", headers=())
    return AcceptedRequest(
        head=head,
        body=b"",
        route=route,
        service="s",
        customer=None,
        rank=(0, 0),
        fingerprint="f",
        resubmitted=False,
        first_arrived_s=now_s,
        arrived_s=now_s,
        deadline_s=now_s + TIMEOUT_S,
        version=1,
    )


def handler_for(
    accepted: AcceptedRequest, dispatcher: OneUpstreamDispatcher
) -> RequestHandler:
    return RequestHandler(
        accepted=accepted,
        dispatcher=dispatcher,
        dialect=FakeDialect(),
        clock=SystemClock(),
    )


@given('a request at an upstream that streams "{events}" and waits')
def step_request(context, events):
    body = unescaped(events)
    answer = b"HTTP/1.1 200 OK\r\nContent-Length: 1000\r\n\r\n" + body
    raw = RawUpstream(answer=answer, then="keeps")
    context.add_cleanup(raw.close)
    context.dispatcher = OneUpstreamDispatcher(upstream=upstream_at(raw.port))
    accepted = accepted_request(resumable=False, attempts_max=1)
    context.handler = handler_for(accepted, context.dispatcher)


def start_upstream(context, parts: list[bytes], pause_s: float, then: str, **more):
    raw = StepwiseUpstream(parts=parts, pause_s=pause_s, then=then, **more)
    context.add_cleanup(raw.close)
    return raw


@given(
    "a resumable request at an upstream that pauses for {pause_s:g} s after its "
    "first event"
)
def step_pausing(context, pause_s):
    parts = [STREAM_HEAD + chunk(0), chunk(1) + STREAM_END]
    context.first = start_upstream(context, parts, pause_s, "keeps")


@given("a resumable request whose first upstream breaks off after its first event")
def step_breaking(context):
    context.first = start_upstream(context, [STREAM_HEAD + chunk(0)], 0.0, "ends")


def create_handler(
    context,
    others: list[StepwiseUpstream],
    *,
    retries: int = 1,
    more: Sequence[Upstream] = (),
) -> None:
    upstreams = [
        upstream_at(raw.port, name=f"u{number}")
        for number, raw in enumerate([context.first, *others])
    ]
    upstreams += more
    context.dispatcher = FewSlotsDispatcher(upstreams=upstreams)
    context.dispatcher.retries = retries
    accepted = accepted_request(resumable=True, attempts_max=2)
    context.handler = handler_for(accepted, context.dispatcher)


@given("no other upstream has a free slot")
def step_no_other(context):
    create_handler(context, [])


@given("another upstream has a free slot")
def step_other(context):
    rest = [STREAM_HEAD + chunk(1) + STREAM_END]
    context.other = start_upstream(context, rest, 0.0, "keeps")
    create_handler(context, [context.other])


@given("its content is quarantined while it waits")
def step_quarantined_waiting(context):
    # Its first check is before it waits.
    checks = iter([False])
    context.dispatcher.is_quarantined = lambda accepted: next(checks, True)


@given("its content is quarantined as its first attempt ended")
def step_quarantined_ended(context):
    dispatcher = context.dispatcher
    dispatcher.is_quarantined = lambda accepted: bool(dispatcher.outcomes)


@when("its stream is read as far as it goes")
def step_read_far(context):
    result = context.handler.handle()
    if isinstance(result, StreamResponse):
        try:
            list(result.chunks)
        except IncompleteResponse:
            pass
    else:
        assert (result.reason, result.ran) == (Reason.CRASHES_UPSTREAMS, Ran.NO)


@then("it was sent to {count:d} upstreams, and no slot is held")
def step_sent_to(context, count):
    assert len(context.first.heads) + len(context.other.heads) == count
    assert context.dispatcher.held == []


@given("another upstream that reserves a slot and says that it leaves")
def step_reserves_leaving(context):
    rest = [STREAM_HEAD + chunk(1) + STREAM_END]
    create_handler(context, [start_upstream(context, rest, 0.0, "keeps")])
    context.handler._dialect.signals = UpstreamSignals(is_leaving=True)


@given("another upstream that answers a reservation with the 421 of another request")
def step_foreign_reservation(context):
    head = (
        b"HTTP/1.1 421 Misdirected Request\r\nX-Attempt-Id: another\r\n"
        b"Content-Length: 0\r\n\r\n"
    )
    create_handler(
        context, [start_upstream(context, [head], 0.0, "keeps", reserves=False)]
    )


@then("no upstream counts as replaced, and nothing that it said of itself")
def step_none_replaced(context):
    outcomes, signals = context.dispatcher.outcomes, context.dispatcher.signals
    assert AttemptOutcome.MISDIRECTED not in outcomes, outcomes
    assert len(signals) == 1, signals


@given("another upstream that rejects requests")
def step_rejecting(context):
    head = b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n"
    create_handler(
        context, [start_upstream(context, [head], 0.0, "keeps", reserves=False)]
    )


@given("another upstream that reserves a slot once the first has continued")
def step_reserves_after_pause(context):
    rest = [STREAM_HEAD + chunk(1) + STREAM_END]
    other = start_upstream(
        context, rest, 0.0, "keeps", before_reserving=context.first.end_pause
    )
    create_handler(context, [other])


@given("another upstream that doesn't respond to a reservation")
def step_no_answer(context):
    rest = [STREAM_HEAD + chunk(1) + STREAM_END]
    stopped = threading.Event()
    context.add_cleanup(stopped.set)
    other = start_upstream(context, rest, 0.0, "keeps", before_reserving=stopped.wait)
    create_handler(context, [other])


@given("a resumable request at an upstream that responds after {pause_s:g} s")
def step_begins_late(context, pause_s):
    parts = [b"", STREAM_HEAD + chunk(0) + chunk(1) + STREAM_END]
    context.first = start_upstream(context, parts, pause_s, "keeps")


@given('another upstream that sends "{rest}" with neither length nor chunks, and ends')
def step_other_unframed(context, rest):
    data = unescaped(rest)
    head = b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n"
    create_handler(context, [start_upstream(context, [head + data], 0.0, "ends")])
    context.body = b"id: 0\ndata: a\n\n" + data


@given('another upstream that sends "" with neither length nor chunks, and ends')
def step_other_unframed_empty(context):
    step_other_unframed(context, "")


@given("another upstream that can't be reached")
def step_other_unreachable(context):
    create_handler(context, [], more=[upstream_at(free_port(), name="x")])


@given("a resumable request at an upstream that is silent after its first event")
def step_silent(context):
    context.first = start_upstream(context, [STREAM_HEAD + chunk(0)], 0.0, "keeps")


@given("a resumable request at an upstream that breaks off after 1.5 s of events")
def step_ending(context):
    parts = [STREAM_HEAD + chunk(0), chunk(1), chunk(2), b""]
    context.first = start_upstream(context, parts, 0.5, "ends")
    context.next_event = 3


@given("callers that wait {patience_s:g} s for the next event")
def step_patience(context, patience_s):
    context.patience_s = patience_s


@given("the entry's real dispatcher, and another upstream that is idle")
def step_own_dispatcher(context):
    rest = [STREAM_HEAD + chunk(getattr(context, "next_event", 1)) + STREAM_END]
    other = start_upstream(context, rest, 0.0, "keeps")
    first = upstream_at(context.first.port, name="first")
    dispatcher = DirectDispatcher(
        name="entry-1",
        location=EntryLocation(address="tcp://127.0.0.1:1"),
        bounds=Bounds(),
        clock=SystemClock(),
        random=Random(1),
        metrics=Metrics(),
    )
    dispatcher.upstreams_changed((first,))
    patience_s = getattr(context, "patience_s", TIMEOUT_S)
    accepted = accepted_request(resumable=True, attempts_max=2, patience_s=patience_s)
    context.handler = handler_for(accepted, dispatcher)
    context.begun = context.handler.handle()
    dispatcher.upstreams_changed((first, upstream_at(other.port, name="other")))


@given("another upstream has a free slot, and no retry is left")
def step_no_retry(context):
    rest = [STREAM_HEAD + chunk(1) + STREAM_END]
    create_handler(context, [start_upstream(context, rest, 0.0, "keeps")], retries=0)


@given("another upstream has a free slot, and sends nothing for {pause_s:g} s")
def step_silent_other(context, pause_s):
    parts = [b"", STREAM_HEAD + chunk(1) + STREAM_END]
    create_handler(context, [start_upstream(context, parts, pause_s, "keeps")])


@when("its stream is read to the end")
def step_read_to_the_end(context):
    began_s = time.monotonic()
    answer = getattr(context, "begun", None) or context.handler.handle()
    context.events = b"".join(answer.chunks)
    context.handler.close()
    context.took_s = time.monotonic() - began_s


@when("its stream is read until it breaks off")
def step_read_until_error(context):
    answer = context.handler.handle()
    try:
        for _ in answer.chunks:
            pass
    except IncompleteResponse as error:
        context.error = str(error)
    context.handler.close()


@then('the error is "{text}", after relocations that ended as "{result}"')
def step_error_after_relocations(context, text, result):
    assert context.error == text, context.error
    assert set(context.handler.relocation.results) == {
        result
    }, context.handler.relocation.results


@then("its caller has events 0 and 1, and it ran at {count:d} upstream")
@then("its caller has events 0 and 1, and it ran at {count:d} upstreams")
def step_events(context, count):
    step_events_to(context, 1, count)


@then("its caller has events 0 to {last:d}, and it ran at {count:d} upstreams")
def step_events_to(context, last, count):
    events = b"".join(b"id: %d\ndata: a\n\n" % n for n in range(last + 1))
    assert context.events == events, context.events
    assert context.handler.possible_runs == count, context.handler.trail


@then("the first attempt ended before the other upstream got the request")
def step_ended_first(context):
    # Each got the request once, and the other a reservation before that.
    outcomes_at_sends = context.dispatcher.outcomes_at_sends
    assert outcomes_at_sends == [(), (), (AttemptOutcome.SILENT,)], outcomes_at_sends


@then("the other got the request with the slot that it had reserved")
def step_with_reservation(context):
    reservation_head, request_head = context.other.heads
    assert reservation_head.startswith(RESERVE), reservation_head
    assert b"\r\nReserved: r1\r\n" in request_head, request_head


@given("a request at an upstream that another one has replaced")
def step_misdirected(context):
    head = b"HTTP/1.1 421 Misdirected Request\r\nContent-Length: 0\r\n\r\n"
    context.first = start_upstream(context, [head], 0.0, "keeps")


@given("a request at {count:d} upstreams that can't be reached")
def step_unreachable(context, count):
    context.unreachable = [upstream_at(free_port(), name=f"x{n}") for n in range(count)]


@given("another upstream streams its response, and no retry is left")
def step_streams_without_retry(context):
    stream = [STREAM_HEAD + chunk(0) + chunk(1) + STREAM_END]
    other = start_upstream(context, stream, 0.0, "keeps")
    upstreams = [*context.unreachable, upstream_at(other.port)]
    context.dispatcher = FewSlotsDispatcher(upstreams=upstreams)
    context.dispatcher.retries = 0
    accepted = accepted_request(resumable=True, attempts_max=2)
    context.handler = handler_for(accepted, context.dispatcher)


@given("another upstream streams its response")
def step_streams(context):
    stream = [STREAM_HEAD + chunk(0) + chunk(1) + STREAM_END]
    create_handler(context, [start_upstream(context, stream, 0.0, "keeps")])


@when("its caller leaves while a connection is made")
def step_leaves_early(context):
    connections = context.dispatcher.connection_pool

    def leave_then_connect(upstream):
        context.handler.cancel()
        return connections(upstream)

    context.dispatcher.connection_pool = leave_then_connect
    context.handler.handle()
    context.handler.close()


@then('the first attempt ended as "{outcome}"')
def step_first_ended(context, outcome):
    assert context.dispatcher.outcomes[0] is AttemptOutcome(
        outcome
    ), context.dispatcher.outcomes


@then("no slot is held")
def step_none_held(context):
    assert context.dispatcher.held == [], context.dispatcher.held


@then("it took less than {limit_s:g} s")
def step_took(context, limit_s):
    assert context.took_s < limit_s, context.took_s


@then("its retry was returned")
def step_retry_left(context):
    assert context.dispatcher.retries == 1, context.dispatcher.retries


@then('a relocation ended as "{result}"')
def step_relocation_result(context, result):
    assert (
        result in context.handler.relocation.results
    ), context.handler.relocation.results


@when("its first event has arrived and the request is closed unread")
def step_closed(context):
    context.handler.handle()
    context.handler.close()


@when("its first event has arrived and its caller leaves")
def step_leaves(context):
    context.answer = context.handler.handle()
    assert next(context.answer.chunks).startswith(b"id: 0")
    context.handler.cancel()


@when("its stream is read")
def step_read(context):
    context.answer = context.handler.handle()


@then('its slot was released once, as "{outcome}"')
def step_slot_released(context, outcome):
    assert context.dispatcher.outcomes == [
        AttemptOutcome(outcome)
    ], context.dispatcher.outcomes


@then('its stream breaks off, and its slot was released once, as "{outcome}"')
def step_breaks_off(context, outcome):
    try:
        for _ in context.answer.chunks:
            pass
    except IncompleteResponse:
        step_slot_released(context, outcome)
        return
    raise AssertionError("the stream ended as if it were whole")


@then("it is refused as incomplete, and its slot was released once")
def step_refused_incomplete(context):
    assert context.answer.reason is Reason.ANSWER_INCOMPLETE, context.answer
    assert context.answer.ran is Ran.UNKNOWN, context.answer
    assert context.dispatcher.outcomes == [
        AttemptOutcome.BROKEN
    ], context.dispatcher.outcomes


@given('a request at an upstream that sends the head "{head}" and "{body}", and ends')
def step_framed(context, head, body):
    text = f"HTTP/1.1 200 OK\\r\\n{head}\\r\\n\\r\\n{body}"
    answer = unescaped(text)
    raw = RawUpstream(answer=answer, then="ends")
    context.add_cleanup(raw.close)
    context.body = unescaped(body)
    context.dispatcher = FewSlotsDispatcher(upstreams=[upstream_at(raw.port)])
    accepted = accepted_request(resumable=False, attempts_max=1)
    context.handler = handler_for(accepted, context.dispatcher)


@given('a request at an upstream that sends the head "{head}" and "", and ends')
def step_framed_empty(context, head):
    step_framed(context, head, "")


@when("its stream is read until its end")
def step_read_until_end(context):
    answer = context.handler.handle()
    if isinstance(answer, Problem):
        context.end = answer.detail
    else:
        context.end = read_stream(answer, context.body)
    context.handler.close()


def read_stream(answer: StreamResponse, body: bytes) -> str:
    """Return how a stream ended; check that it had no other bytes."""
    parts = []
    try:
        parts.extend(answer.chunks)
    except IncompleteResponse as error:
        return str(error)
    assert b"".join(parts) == body, parts
    return "whole"


@then('it ends as "{end}"')
def step_ends_as(context, end):
    assert context.end == end, context.end
