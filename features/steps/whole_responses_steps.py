"""Steps about what proves a response whole, on its way through several entries."""

from behave import given, then, when

from features.platformstage import deploy, expected_stream, set_all, start_upstreams
from features.rawhttp import exchange, request_bytes
from standins.platformdeployment import HOST_HEADER, KEY

ENTRIES = ("entry-1", "entry-2")


@given("two entries before two model and two desk upstreams")
def step_two_entries(context):
    platform = deploy(context)
    start_upstreams(platform)
    for name in ENTRIES:
        platform.entry(name)


@given('every model upstream ends its responses by "{framing}"')
def step_model_framing(context, framing):
    set_all(context, "model", framing=framing)


@given('every upstream ends its responses by "{framing}"')
def step_framing(context, framing):
    set_all(context, "", framing=framing)


@given("every model upstream ends its first stream properly within event {number:d}")
def step_ends_properly(context, number):
    set_all(context, "model", cut_after_events=number, ends_properly=True)


@given("every desk upstream resets the connections of its truncated responses")
def step_resets(context):
    set_all(context, "desk", truncate=True, resets=True)


def request_each(context, path: str, method: str = "POST") -> None:
    earlier = len(context.platform.runs())
    body = b"" if method == "GET" else b"content"
    context.answers = [
        context.platform.send(entry, path, method=method, body=body)
        for entry in ENTRIES
    ]
    context.new_runs = len(context.platform.runs()) - earlier


@when("a stream is requested through each entry")
def step_streams(context):
    request_each(context, "/stream/1")


@when("a stream that must run at most once is requested through each entry")
def step_streams_once(context):
    request_each(context, "/stream-once/1")


@when("a plain response is requested through each entry")
def step_plains(context):
    request_each(context, "/look/1", method="GET")


@when("a payment is requested through each entry")
def step_payments(context):
    request_each(context, "/pay/1")


@then("each is complete and in order, resumed after event {last:d}")
def step_resumed(context, last):
    for answer in context.answers:
        assert answer.whole and answer.body == expected_stream(), answer
    assert context.new_runs == 2 * len(ENTRIES), context.platform.runs()
    resumed_after = [
        run["headers"].get("last-event-id") for run in context.platform.runs()
    ]
    assert resumed_after.count(str(last)) == len(ENTRIES), resumed_after


@then("each is visibly truncated after {count:d} events and ran once")
def step_truncated(context, count):
    for answer in context.answers:
        assert not answer.whole, answer
        assert answer.body == expected_stream(count), answer
    assert context.new_runs == len(ENTRIES), context.platform.runs()


@then("each is complete and in order, and ran once")
def step_whole_once(context):
    for answer in context.answers:
        assert answer.whole and answer.body == expected_stream(), answer
    assert context.new_runs == len(ENTRIES), context.platform.runs()


@then("each is complete with the upstream's signature, and ran once")
def step_plain_once(context):
    for answer in context.answers:
        assert answer.status == 200 and answer.whole, answer
        attempt_id = answer.headers["x-attempt-id"]
        assert answer.headers["x-response-signature"] == f"signed.{attempt_id}", answer
        assert answer.body == f"answer to {attempt_id}".encode(), answer
    assert context.new_runs == len(ENTRIES), context.platform.runs()


@then("each is refused as incomplete, after {count:d} run")
@then("each is refused as incomplete, after {count:d} runs")
def step_refused(context, count):
    for answer in context.answers:
        assert answer.status == 502, answer
        assert "x-response-signature" not in answer.headers, answer
    assert context.new_runs == count * len(ENTRIES), context.platform.runs()


def request_raw(context, method: str, path: str, version: str) -> None:
    """Send a request whose connection the server closes after the response."""
    headers = {
        "Host": HOST_HEADER,
        "X-Attempt-Id": f"raw-{len(context.platform.runs())}",
        "X-Deadline-Ms": "5000",
        "Authorization": f"Bearer {KEY}",
        "Connection": "close",
    }
    data = request_bytes(
        method=method, path=path, headers=headers.items(), version=version
    ).replace(b"Host: test\r\n", b"", 1)
    port = context.platform.entries[ENTRIES[0]].callers
    try:
        context.response = exchange(port, data)
    except ConnectionResetError:
        context.response = None


@when("a stream is requested by HTTP/1.0")
def step_http10(context):
    request_raw(context, "POST", "/stream/1", "1.0")


@when("a stream that must run at most once is requested by HTTP/1.0")
def step_http10_once(context):
    request_raw(context, "POST", "/stream-once/1", "1.0")


@when("the head of a plain response is requested by a raw caller")
def step_head(context):
    request_raw(context, "HEAD", "/look/1", "1.1")


@when("the head of a stream is requested by a raw caller")
def step_stream_head(context):
    request_raw(context, "HEAD", "/stream/1", "1.1")


@then("no whole response reaches its caller")
def step_not_whole(context):
    response = context.response
    assert response is None or response.status == 502, response


@then("its caller has the whole stream, with its length")
def step_has_whole(context):
    response = context.response
    assert response.status == 200 and response.body == expected_stream(), response
    assert response.header("Content-Length") == str(len(response.body)), response


@then('it is complete, without a body, and its length is "{length}"')
def step_head_only(context, length):
    response = context.response
    assert response.status == 200 and response.body == b"", response
    assert response.header("X-Response-Signature"), response
    found = response.header("Content-Length")
    if length == "none":
        assert found is None, response
    else:
        assert int(found) > 0, response


@when("the head of an unknown route is requested by a raw caller")
def step_unknown_head(context):
    request_raw(context, "HEAD", "/nowhere/1", "1.1")


@then("it is refused without a body")
def step_refused_head(context):
    assert context.response.status == 404, context.response
    assert context.response.body == b"", context.response
