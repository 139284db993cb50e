"""Steps about the body of an upstream's refusal."""

from behave import given, then, when

from features.steps.direct_handling_steps import (
    STREAM_END,
    STREAM_HEAD,
    FewSlotsDispatcher,
    accepted_request,
    chunk,
    handler_for,
    start_upstream,
    upstream_at,
)
from lavenderspoke.direct.dispatcher import AttemptOutcome, StreamResponse


@given(
    "a request at an upstream whose refusal stalls, and another one with a free slot"
)
def step_stalls(context):
    refusal = b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 9\r\n\r\nhalf"
    stream = STREAM_HEAD + chunk(0) + STREAM_END
    upstreams = [
        upstream_at(start_upstream(context, [part], 0.0, "keeps").port, name=name)
        for name, part in (("refusing", refusal), ("other", stream))
    ]
    context.dispatcher = FewSlotsDispatcher(upstreams=upstreams)
    # It must not run twice, so an upstream that runs it is awaited to the end.
    accepted = accepted_request(resumable=False, attempts_max=2)
    context.handler = handler_for(accepted, context.dispatcher)


@when("it gets its response")
def step_first(context):
    context.answer = context.handler.handle()


@then('it is the other upstream\'s stream, and the first attempt ended as "{outcome}"')
def step_other_stream(context, outcome):
    assert isinstance(context.answer, StreamResponse), context.answer
    assert b"".join(context.answer.chunks) == b"id: 0\ndata: a\n\n"
    assert context.dispatcher.outcomes[0] is AttemptOutcome(
        outcome
    ), context.dispatcher.outcomes
    context.handler.close()
