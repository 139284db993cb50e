from collections import defaultdict

from behave import given, then, when

from features.upstreamcalls import (
    PROMPT,
    TIMEOUT_S,
    Babbler,
    model_call,
    stream_text,
)
from lavenderspoke.upstreams.httpupstream import ModelUpstream
from lavenderspoke.upstreams.runselector import RunSelector
from lavenderspoke.upstreams.upstream import UpstreamBody, UpstreamBroken, UpstreamEnd
from standins.batcher import answer_text
from standins.processes import wait_until

CHUNKED = (
    b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
    b"Transfer-Encoding: chunked\r\n\r\n"
    b"e\r\nid: 0\ndata:a\n\n\r\n14\r\nid: 1\ndata: [DONE]\n\n\r\n0\r\n\r\n"
)


def hand_over(context, count, tokens, timeout_s=TIMEOUT_S):
    """Start runs and hand each to the selector once it is selectable."""
    if not hasattr(context, "selector"):
        context.selector = RunSelector()
        context.add_cleanup(context.selector.stop)
        context.events_by_run = defaultdict(list)
        context.tokens = tokens
    for number in range(len(context.events_by_run), len(context.events_by_run) + count):
        events = context.events_by_run[number]
        call = model_call(f"r{number}", f"{PROMPT} {number}", tokens)
        run = context.upstream.run(call, timeout_s=TIMEOUT_S)
        for event in run:
            events.append(event)
            if run.is_selectable:
                context.selector.add(run, events.append, timeout_s=timeout_s)
                break


def ended(events):
    return events and type(events[-1]) in (UpstreamEnd, UpstreamBroken)


def wait_ended(context):
    def all_ended():
        return all(ended(events) for events in context.events_by_run.values())

    wait_until(all_ended, TIMEOUT_S, "every run has ended")


def check_complete(context, number):
    events = context.events_by_run[number]
    assert [type(each) for each in events].count(UpstreamEnd) == 1, events
    bodies = [each for each in events if isinstance(each, UpstreamBody)]
    assert stream_text(bodies) == answer_text(f"{PROMPT} {number}", context.tokens)


@given("an upstream that answers two chunks in one packet")
def step_two_chunks(context):
    babbler = Babbler()
    babbler.answer = CHUNKED
    context.upstream = ModelUpstream(base_url=babbler.url)


@given("an upstream that answers {content_type} with a length")
def step_length(context, content_type):
    babbler = Babbler()
    babbler.answer = (
        f"HTTP/1.1 200 OK\r\nContent-Type: {content_type}\r\n"
        "Content-Length: 20\r\n\r\nid: 1\ndata: [DONE]\n\n"
    ).encode()
    context.upstream = ModelUpstream(base_url=babbler.url)


@when("a run that is closed already is handed to a selector")
def step_closed(context):
    hand_over(context, 0, 20)
    run = context.upstream.run(model_call("closed", PROMPT, 1), timeout_s=TIMEOUT_S)
    list(run)
    context.selector.add(run, context.events_by_run[0].append, timeout_s=TIMEOUT_S)


@when("{count:d} run of {tokens:d} tokens is handed to a selector")
@when("{count:d} runs of {tokens:d} tokens are handed to a selector")
@when("{count:d} more runs of {tokens:d} tokens are handed to it")
def step_handed_over(context, count, tokens):
    hand_over(context, count, tokens)


@when(
    "{count:d} runs of {tokens:d} tokens are handed to a selector"
    " with a timeout of {timeout_s:g} seconds"
)
def step_handed_over_timeout(context, count, tokens, timeout_s):
    hand_over(context, count, tokens, timeout_s)


@then("each run has its complete answer and ends once")
def step_each_complete(context):
    wait_ended(context)
    for number in context.events_by_run:
        check_complete(context, number)


@then("the first is broken and the others have complete answers")
def step_first_broken(context):
    wait_ended(context)
    assert isinstance(context.events_by_run[0][-1], UpstreamBroken)
    for number in range(1, len(context.events_by_run)):
        check_complete(context, number)


@then("each run is reported as silent once")
def step_silence(context):
    wait_ended(context)
    for events in context.events_by_run.values():
        endings = [each for each in events if isinstance(each, UpstreamBroken)]
        assert [each.detail for each in endings] == ["silent for too long"], endings


@then("the selector stops, and the engine sees the streams close")
def step_stops(context):
    context.selector.stop()

    def unread():
        return context.engine.counts()["tokens_unread"] > len(context.events_by_run)

    wait_until(unread, TIMEOUT_S, "the engine sees the streams close")
    assert not any(ended(events) for events in context.events_by_run.values())


def iterated(context):
    run = context.upstream.run(model_call("r", "a", 1), timeout_s=TIMEOUT_S)
    bodies = []
    for event in run:
        assert not run.is_selectable
        if isinstance(event, UpstreamBody):
            bodies.append(event)
    assert isinstance(event, UpstreamEnd), event
    return bodies


@then("the run isn't selectable, and iterating returns both")
def step_not_selectable(context):
    assert [body.event_id for body in iterated(context)] == [0, 1]


@then("the run isn't selectable, and iterating returns it completely")
def step_length_complete(context):
    assert b"".join(body.body for body in iterated(context))[-8:] == b"[DONE]\n\n"
