import json
from concurrent.futures import ThreadPoolExecutor

from behave import given, then, when
from hypothesis import strategies

from features.helper import fuzz, stage_of
from features.upstreamcalls import (
    PROMPT,
    TIMEOUT_S,
    Babbler,
    model_call,
    stream_text,
)
from lavenderspoke.http.eventstream import EventSplitter
from lavenderspoke.model import Call
from lavenderspoke.upstreams.httpupstream import ModelUpstream, PlainUpstream
from lavenderspoke.upstreams.upstream import (
    Order,
    OrderAction,
    UpstreamBody,
    UpstreamEnd,
    UpstreamHead,
    UpstreamUnsupported,
)
from standins.batcher import answer_text
from standins.processes import wait_until

ENDINGS = ("UpstreamEnd", "UpstreamBroken", "UpstreamUnknownRun", "UpstreamUnreachable")


def run(context, call, timeout_s=TIMEOUT_S):
    context.events = list(context.upstream.run(call, timeout_s=timeout_s))
    context.bodies = [each for each in context.events if type(each) is UpstreamBody]
    context.call = call


def start_engine(context, *options):
    context.engine = stage_of(context).engine("engine", *options)
    context.upstream = ModelUpstream(base_url=context.engine.url)


@given("a model engine stand-in")
def step_engine(context):
    start_engine(context)


@given('a model engine stand-in that crashes on "{marker}"')
def step_engine_crashes(context, marker):
    start_engine(context, "--faults", json.dumps({"crash_marker": marker}))


@given("a model engine stand-in that ignores fencing")
def step_engine_ignores(context):
    start_engine(context, "--faults", '{"checks_fencing": false}')


@given("a model engine stand-in with slow steps")
def step_engine_slow(context):
    start_engine(context, "--step-ms", "50")


@given("a model engine stand-in with slow steps and {slots:d} slots")
def step_engine_slow_slots(context, slots):
    start_engine(context, "--step-ms", "50", "--slots", str(slots))


@given("a model engine stand-in with {slots:d} slots")
def step_engine_slots(context, slots):
    start_engine(context, "--slots", str(slots))


@given("a model engine stand-in with {blocks:d} cache blocks")
def step_engine_cache(context, blocks):
    start_engine(context, "--cache-blocks", str(blocks))


@given('the engine\'s fault "{name}" is {value:d}')
@when('the engine\'s fault "{name}" becomes {value:d}')
def step_engine_fault(context, name, value):
    context.engine.set_faults(**{name: value})


@given('a plain service stand-in with the fault "{mode}"')
def step_plain(context, mode):
    context.plain = stage_of(context).plain("plain")
    context.upstream = PlainUpstream(base_url=context.plain.url)
    if mode == "killed":
        context.plain.process.kill()
    else:
        context.plain.set_faults(mode=mode)


@when('the run "{request_id}" of {tokens:d} tokens is streamed')
def step_stream(context, request_id, tokens):
    run(context, model_call(request_id, PROMPT, tokens))
    context.tokens = tokens


@when(
    'the run "{request_id}" of {tokens:d} tokens is streamed '
    "with {silence_s:g} seconds of silence allowed"
)
def step_stream_impatiently(context, request_id, tokens, silence_s):
    run(context, model_call(request_id, PROMPT, tokens), timeout_s=silence_s)
    context.tokens = tokens


@when('the chat "{request_id}" of {tokens:d} tokens is run')
def step_chat(context, request_id, tokens):
    messages = [{"role": "user", "content": word} for word in PROMPT.split()]
    body = json.dumps({"messages": messages, "max_tokens": tokens}).encode()
    call = Call(
        request_id=request_id,
        service="narrative",
        method="POST",
        path="/v1/chat/completions",
        body=body,
        customer="senderos",
        tier=1,
    )
    run(context, call)
    context.tokens = tokens


@when('the prompt "{prompt}" is run as "{request_id}"')
def step_prompt(context, prompt, request_id):
    run(context, model_call(request_id, prompt, 1))


@when('the prompt of {words:d} words is run as "{request_id}"')
def step_prompt_words(context, words, request_id):
    run(context, model_call(request_id, " ".join(map(str, range(words))), 1))


@when('another prompt of {words:d} words is run as "{request_id}"')
def step_other_prompt_words(context, words, request_id):
    run(context, model_call(request_id, " ".join("x" * words), 1))


@when('the run "{request_id}" of {tokens:d} tokens is cancelled after its head')
def step_stream_cancelled(context, request_id, tokens):
    call = model_call(request_id, PROMPT, tokens)
    context.events = []
    for event in context.upstream.run(call, timeout_s=TIMEOUT_S):
        context.events.append(event)
        if isinstance(event, UpstreamHead):
            # The engine may answer the head before it knows the run.
            wait_until(
                lambda: context.upstream.cancel(request_id).is_ok(), TIMEOUT_S, "cancel"
            )


@when("it is resumed after its last event")
def step_resume(context):
    last = context.bodies[-1].event_id if context.bodies else None
    context.events = list(
        context.upstream.resume(context.call.request_id, last, timeout_s=TIMEOUT_S)
    )
    context.bodies += [each for each in context.events if type(each) is UpstreamBody]


@when("the engine is killed")
def step_engine_killed(context):
    context.engine.process.kill()


@when("the engine is started again")
def step_engine_restarted(context):
    context.engine = stage_of(context).restart(context.engine)


@when("the engine is killed and started again")
def step_engine_killed_restarted(context):
    step_engine_killed(context)
    step_engine_restarted(context)


@when("{count:d} runs are started")
def step_runs_started(context, count):
    pool = ThreadPoolExecutor(count)
    for number in range(count):
        call = model_call(f"r{number}", PROMPT, 1000)
        pool.submit(lambda call: list(context.upstream.run(call, timeout_s=9)), call)
    pool.shutdown(wait=False)


@when("{count:d} runs of {tokens:d} tokens are streamed at once")
def step_runs_at_once(context, count, tokens):
    def stream(number):
        call = model_call(f"r{number}", f"{PROMPT} {number}", tokens)
        return list(context.upstream.run(call, timeout_s=TIMEOUT_S))

    with ThreadPoolExecutor(count) as pool:
        context.runs = list(pool.map(stream, range(count)))
    context.tokens = tokens


@when('order "{name}" is given with fencing number {number:d}')
def step_order(context, name, number):
    order = Order(action=OrderAction.LOAD_MODEL, name=name)
    context.ordered = context.upstream.order(number, order)


@when('the payment "{request_id}" is sent')
def step_payment(context, request_id):
    call = Call(
        request_id=request_id,
        service="ticketing",
        method="POST",
        path="/tours/../payments?pass=7",
        headers=(("X-Guide", "nizwa"), ("Host", "elsewhere")),
        body=b"two adults",
        customer="guides",
        tier=1,
        key="k1",
        idempotent=False,
    )
    run(context, call)


@when('the head "{request_id}" is asked for')
def step_head(context, request_id):
    call = Call(
        request_id=request_id,
        service="ticketing",
        method="HEAD",
        path="/passes",
        customer="guides",
        tier=1,
    )
    run(context, call)


@then("it has no body")
def step_no_body(context):
    assert context.bodies == [], context.bodies


@then("it ends with {name:w}")
def step_ends_with(context, name):
    endings = [
        type(each).__name__
        for each in context.events
        if type(each) not in (UpstreamHead, UpstreamBody)
    ]
    assert endings == [name], context.events
    assert type(context.events[-1]).__name__ == name


@then("its text is the engine's whole answer")
def step_text(context):
    assert stream_text(context.bodies) == answer_text(PROMPT, context.tokens)


@then("its message is the engine's whole answer")
def step_message(context):
    answer = json.loads(b"".join(each.body for each in context.bodies))
    text = answer["choices"][0]["message"]["content"]
    assert text == answer_text("\n".join(PROMPT.split()), context.tokens), text


@then("its events are numbered from 0 to {last:d}")
def step_numbered(context, last):
    lines = b"".join(each.body for each in context.bodies).splitlines()
    ids = [int(line[4:]) for line in lines if line.startswith(b"id: ")]
    assert ids == list(range(last + 1)), ids


@then('the engine has run "{request_id}" once')
def step_engine_ran_once(context, request_id):
    assert context.engine.counts()["runs"] == {request_id: 1}


@then('the engine has run "{request_id}" {times:d} times')
def step_engine_ran(context, request_id, times):
    assert context.engine.counts()["runs"].get(request_id, 0) == times


@then("the engine has run each of them once")
def step_engine_ran_each(context):
    runs = {f"r{number}": 1 for number in range(len(context.runs))}
    assert context.engine.counts()["runs"] == runs


@then("every one has its own whole answer")
def step_all_whole(context):
    for number, events in enumerate(context.runs):
        assert isinstance(events[-1], UpstreamEnd), events[-1]
        expected = answer_text(f"{PROMPT} {number}", context.tokens)
        assert stream_text(events[1:-1]) == expected


@then("the engine's process has ended")
def step_engine_ended(context):
    wait_until(lambda: not context.engine.process.alive(), TIMEOUT_S, "crash")


@then("the engine has cancelled {count:d} run")
def step_engine_cancelled(context, count):
    assert context.engine.counts()["runs_cancelled"] == count


@then("the engine has computed {computed:d} prompt tokens and reused {reused:d}")
def step_prefill(context, computed, reused):
    counts = context.engine.counts()
    found = counts["prefill_computed"], counts["prefill_reused"]
    assert found == (computed, reused), found


@then("the cache events name its {count:d} blocks")
def step_cache_events(context, count):
    events = context.upstream.cache_events(-1).unwrap()
    assert [event.added for event in events.events] == [True] * count, events
    assert not events.has_gap(-1)


@then("the cache events show a gap")
def step_cache_gap(context):
    assert context.upstream.cache_events(-1).unwrap().has_gap(-1)


@then("the load report comes to say {running:d} running and {waiting:d} waiting")
def step_load(context, running, waiting):
    def reported():
        load = context.upstream.load().unwrap()
        return (load.running, load.waiting) == (running, waiting)

    wait_until(reported, TIMEOUT_S, "load report")


@then("the order's error is {name}")
def step_order_error(context, name):
    assert type(context.ordered.unwrap_err()).__name__ == name, context.ordered


@then('the order in force is "{name}"')
def step_order_state(context, name):
    orders = context.upstream.order_state().unwrap().orders
    assert [order.name for order in orders] == [name], orders


@then('the service has run "{request_id}" {times:d} times')
def step_plain_ran(context, request_id, times):
    if not context.plain.process.alive():
        context.plain = stage_of(context).restart(context.plain)
    counts = context.plain.counts()
    assert counts["runs"].get(request_id, 0) == times, counts
    assert counts["keys"].get("k1", 0) == times, counts


@then("resume, cancel, load, cache events and orders are unsupported")
def step_unsupported(context):
    upstream = context.upstream
    order = Order(action=OrderAction.LOAD_MODEL, name="m")
    assert list(upstream.resume("r", 0, timeout_s=1)) == [UpstreamUnsupported()]
    for result in (
        upstream.cancel("r"),
        upstream.load(),
        upstream.cache_events(-1),
        upstream.order(1, order),
        upstream.order_state(),
    ):
        assert result.unwrap_err() == UpstreamUnsupported()


@then("the service saw its method, path, query, headers, body, id and key")
def step_plain_saw(context):
    seen = json.loads(b"".join(each.body for each in context.bodies))
    headers = seen.pop("headers")
    assert seen == {
        "method": "POST",
        "path": "/tours/../payments",
        "query": {"pass": "7"},
        "body": "two adults",
    }
    assert headers["x-guide"] == "nizwa"
    assert headers["host"] == context.plain.address
    assert (headers["x-request-id"], headers["idempotency-key"]) == ("r1", "k1")


STATUS_LINES = strategies.sampled_from(
    [b"HTTP/1.1 200 OK\r\n", b"HTTP/1.1 9 \r\n", b""]
)
HEADERS = strategies.sampled_from(
    [
        b"",
        b"Content-Length: 3\r\n",
        b"Content-Length: -1\r\n",
        b"Content-Length: x\r\n",
        b"Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n",
        b"Transfer-Encoding: chunked\r\n",
        b"Content-Type: text/event-stream\r\n",
    ]
)
BODIES = strategies.binary(max_size=20) | strategies.sampled_from(
    [b"3\r\nabc\r\n0\r\n\r\n", b"3\r\nabc\r\n", b"zz\r\n", b"abc", b"data: [DONE]\n\n"]
)


def is_proved_whole(answer: bytes, headers: bytes) -> bool:
    """Return whether an answer has its length, last chunk, last event or proper end.

    The last of these holds for what has no length and no chunks and is no stream.
    """
    proofs = (b"chunked", b"Length: 3", b"data: [DONE]")
    has_proper_end = b"Length" not in headers and b"event-stream" not in headers
    return has_proper_end or any(each in answer for each in proofs)


@then("no random answer of an upstream raises")
def step_fuzz_answers(context):
    babbler = Babbler()
    upstream = ModelUpstream(base_url=babbler.url)

    def check(status_line, headers, body):
        babbler.answer = status_line + headers + b"\r\n" + body
        events = list(upstream.run(model_call("r", "a", 1), timeout_s=5))
        assert type(events[-1]).__name__ in ENDINGS, babbler.answer
        if isinstance(events[-1], UpstreamEnd):
            given = b"".join(each.body for each in events[1:-1])
            assert given in body
            assert is_proved_whole(babbler.answer, headers), babbler.answer
        for result in (upstream.load(), upstream.cache_events(0)):
            assert result.is_err()

    parts = strategies.tuples(STATUS_LINES, HEADERS, BODIES)
    fuzz(parts, lambda part: check(*part), examples=150)


@then("events split at random places come out whole and in order")
def step_fuzz_split(context):
    def check(events, cuts):
        stream = b"".join(b"id: %d\n%s\n\n" % pair for pair in enumerate(events))
        splitter = EventSplitter()
        places = sorted(min(cut, len(stream)) for cut in cuts)
        bounds = [0, *places, len(stream)]
        found = [
            splitter.feed(stream[low:high]) for low, high in zip(bounds, bounds[1:])
        ]
        whole = [each for each in found if each]
        assert b"".join(each.body for each in whole) == stream
        ids = [each.event_id for each in whole]
        assert ids == sorted(set(ids)) and (not ids or ids[-1] == len(events) - 1)

    lines = strategies.sampled_from([b"data: a", b"data: {}\ndata: b", b"event: x"])
    parts = strategies.tuples(
        strategies.lists(lines, max_size=6),
        strategies.lists(strategies.integers(0, 120), max_size=6),
    )
    fuzz(parts, lambda part: check(*part))
