"""Steps about the life of one request, with the scheduler's part played here."""

import time

from behave import given, then, when

from features.steps.direct_exchange_steps import RawUpstream
from lavenderspoke.clock import SystemClock
from lavenderspoke.direct.catalog import Repeat, Route, Share
from lavenderspoke.direct.desk import Accepted, Outcome
from lavenderspoke.direct.dialect import CallerHead
from lavenderspoke.direct.exchange import AnswerCut, ConnectionPool
from lavenderspoke.direct.handling import Handling
from lavenderspoke.direct.instances import Upstream
from lavenderspoke.direct.scheduler import Dispatch
from lavenderspoke.model import Ran
from lavenderspoke.problems import Reason
from standins.processes import HOST

TIMEOUT_S = 5.0


class OneUpstreamDesk:
    """Sends every request to the same upstream and notes how attempts end."""

    def __init__(self, *, upstream: Upstream):
        self.outcomes: list[Outcome] = []
        self._upstream = upstream
        self._connections = ConnectionPool(
            host=upstream.host, port=upstream.port, clock=SystemClock()
        )

    def submit(self, ticket) -> None:
        ticket.decided(Dispatch(upstream=self._upstream))

    def withdraw(self, ticket) -> bool:
        return False

    def began(self, ticket, upstream) -> None:
        pass

    def ended(self, ticket, upstream, accepted, outcome) -> None:
        self.outcomes.append(outcome)

    def connections(self, upstream) -> ConnectionPool:
        return self._connections

    def may_retry(self, service) -> bool:
        return False

    def stepped(self, upstream, step_s) -> None:
        pass


class PlainDialect:
    """Takes every answer for the right one."""

    def upstream_headers(self, **said) -> dict[str, str]:
        return {"Host": "test"}

    def never_ran(self, exchange) -> bool:
        return False

    def answers(self, exchange, head) -> bool:
        return True


@given('a request at an upstream that streams "{events}" and waits')
def step_request(context, events):
    body = events.encode().decode("unicode_escape").encode("latin-1")
    answer = b"HTTP/1.1 200 OK\r\nContent-Length: 1000\r\n\r\n" + body
    raw = RawUpstream(answer=answer, then="keeps")
    context.add_cleanup(raw.close)
    upstream = Upstream(
        upstream_id="u",
        service="s",
        host=HOST,
        port=raw.port,
        data_centre="here",
        slots=1,
    )
    route = Route(
        name="r",
        host="h",
        path_prefix="/",
        repeat=Repeat.ONCE,
        stream=True,
        resumable=False,
        timeout_s=TIMEOUT_S,
        target_s=1.0,
        patience_s=TIMEOUT_S,
        rank=0,
        shares=(Share(service="s", weight=1.0),),
        attempts_max=1,
    )
    now_s = time.monotonic()
    head = CallerHead(request_id="a", method="GET", target="/", host="h", headers=())
    accepted = Accepted(
        head=head,
        body=b"",
        route=route,
        service="s",
        customer=None,
        rank=(0, 0),
        fingerprint="f",
        returned=False,
        first_s=now_s,
        arrived_s=now_s,
        until_s=now_s + TIMEOUT_S,
        version=1,
    )
    context.desk = OneUpstreamDesk(upstream=upstream)
    context.handling = Handling(
        accepted=accepted,
        desk=context.desk,
        dialect=PlainDialect(),
        clock=SystemClock(),
    )


@when("its first event has come and the request is closed unread")
def step_closed(context):
    context.handling.first()
    context.handling.close()


@when("its first event has come and its caller leaves")
def step_leaves(context):
    context.answer = context.handling.first()
    assert next(context.answer.bodies).startswith(b"id: 0")
    context.handling.abandon()


@when("its stream is read")
def step_read(context):
    context.answer = context.handling.first()


@then('its place was given back once, as "{outcome}"')
def step_given_back(context, outcome):
    assert context.desk.outcomes == [Outcome(outcome)], context.desk.outcomes


@then('its stream breaks off, and its place was given back once, as "{outcome}"')
def step_breaks_off(context, outcome):
    try:
        for _ in context.answer.bodies:
            pass
    except AnswerCut:
        step_given_back(context, outcome)
        return
    raise AssertionError("the stream ended as if it were whole")


@then(
    "its caller is told that it can't be completed, and its place was given back once"
)
def step_told(context):
    assert context.answer.reason is Reason.ANSWER_INCOMPLETE, context.answer
    assert context.answer.ran is Ran.UNKNOWN, context.answer
    assert context.desk.outcomes == [Outcome.BROKEN], context.desk.outcomes
