"""Steps about responses to earlier requests on a connection."""

from behave import given, then, when

from features.rawhttp import unescaped
from features.rawupstream import ID_PLACE, Arrived, RawUpstream
from features.steps.refusal_proofs_steps import ENTRIES, pay
from features.steps.response_heads_steps import UNKNOWN_STATUSES, use_raw_upstream

OWN_ANSWER = (
    b"HTTP/1.1 200 OK\r\nX-Attempt-Id: {id}\r\nX-Response-Signature: s\r\n"
    b"Content-Length: 16\r\nKeep-Alive: timeout=9\r\n\r\nmine "
)
BODY_BYTES = 16
REFUSAL = (
    r"503 Full\r\nX-Attempt-Id: {id}\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"
)
REQUESTS = 6


def own_body(attempt_id: str) -> bytes:
    return (b"mine " + attempt_id.encode()).ljust(BODY_BYTES)[:BODY_BYTES]


@given(
    'three entries before an upstream that first sends "{late}" for the request before'
)
def step_late(context, late, copies=1):
    template = unescaped("HTTP/1.1 " + late) * copies
    context.alone = []

    def answer(request: Arrived) -> bytes:
        own = OWN_ANSWER.replace(b"mine ", own_body(request.attempt_id.decode()))
        own = own.replace(ID_PLACE, request.attempt_id)
        if not request.earlier:
            context.alone.append(request.attempt_id)
            return own
        return template.replace(ID_PLACE, request.earlier[-1]) + own

    use_raw_upstream(context, RawUpstream(answer=answer))


@given(
    "three entries before an upstream that first sends {copies:d} refusals for the "
    "request before"
)
def step_late_refusals(context, copies):
    step_late(context, REFUSAL, copies)


@when("requests that must run at most once are sent through each entry, one by one")
def step_pay_in_turn(context, count=REQUESTS):
    context.told = [
        pay(context, entry, f"{entry[-1]}-{number}")
        for number in range(count)
        for entry in ENTRIES
    ]


@when("two requests that must run at most once are sent through each entry")
def step_pay_twice(context):
    step_pay_in_turn(context, 2)


@then("each caller gets the answer to its own request")
def step_own(context):
    for each in context.told:
        assert each.status == 200, [told.status for told in context.told]
        assert each.answer.body == own_body(each.attempt_id), each


@then("it was sent at most {count:d} request of each entry on a connection of its own")
def step_connections(context, count):
    assert len(context.alone) <= count * len(ENTRIES), context.alone


@then(
    "the second callers are told within {limit_s:g} s that their requests may have run"
)
def step_second_unknown(context, limit_s):
    first, second = context.told[: len(ENTRIES)], context.told[len(ENTRIES) :]
    assert {each.status for each in first} == {200}, first
    for each in second:
        assert each.status in UNKNOWN_STATUSES, each
        assert each.answer.took_s < limit_s, each
