import io
import json
import re
import select
import ssl
import tempfile
import threading

import trustme
from behave import given, then, when

from features.fakegateway import CREDENTIAL, FakeGateway, break_answer
from features.rawhttp import (
    RawResponse,
    connect,
    exchange,
    read_all,
    request_bytes,
    wait_for,
)
from lavenderspoke.arrivals import ArrivalBuilder
from lavenderspoke.callers import CallerServer, StatusServer
from lavenderspoke.clock import SystemClock
from lavenderspoke.gateway import AnswerBody, AnswerEnd, Sending
from lavenderspoke.http.server import Tls
from lavenderspoke.observing.logs import JsonLinesHandler
from lavenderspoke.observing.metrics import Metrics

THREADS = 4
AUTHORIZED = (("Authorization", f"Bearer {CREDENTIAL}"), ("Connection", "close"))
STREAM_JSON = '{"prompt": "broken", "stream": true}'


def start_callers(context, **more):
    context.gateway = FakeGateway()
    context.metrics = Metrics()
    server = CallerServer(
        host="127.0.0.1",
        port=0,
        gateway=context.gateway,
        metrics=context.metrics,
        clock=SystemClock(),
        threads=THREADS,
        builder=ArrivalBuilder(
            prefix_hashes=lambda text, tokens: (f"{text}/{tokens}",)
        ),
        **more,
    )
    server.start()
    context.add_cleanup(server.stop)
    context.add_cleanup(lambda: [each.abandon() for each in context.gateway.answers])
    context.server = server


def post(context, path, headers=(), body=b"hello", **more):
    """Post with the credential, unless the headers bring their own."""
    given_names = {name for name, _ in headers}
    kept = tuple(each for each in AUTHORIZED if each[0] not in given_names)
    data = request_bytes(path=path, headers=kept + tuple(headers), body=body, **more)
    context.response = exchange(context.server.port, data)


def begin(context, body=STREAM_JSON, **more):
    """Send a request and return its connection once the gateway has it."""
    count = len(context.gateway.arrivals)
    connection = connect(context.server.port)
    context.add_cleanup(connection.close)
    path = "/narrative/v1/completions"
    connection.sendall(
        request_bytes(path=path, headers=AUTHORIZED, body=body.encode(), **more)
    )
    wait_for(lambda: len(context.gateway.arrivals) > count, "the arrival")
    return connection


def receive_until(connection, wanted):
    data = b""
    while wanted not in data:
        data += connection.recv(65536)
    return data


def fill(text):
    """Put that many letters in the place of a number in braces."""
    return re.sub(r"\{(\d+)\}", lambda match: "x" * int(match[1]), text)


@given("a callers' server with limits of {body:d} body bytes and {head:d} header bytes")
def step_limits(context, body, head):
    start_callers(context, body_bytes_max=body, header_bytes_max=head)


@given("a callers' server over a fake gateway")
def step_server(context):
    start_callers(context)


@given("the gateway has no documents")
def step_no_documents(context):
    context.gateway.documents = {}
    context.gateway.is_ready = False


@given("every thread of the server waits for an answer")
def step_all_busy(context):
    for _ in range(THREADS):
        begin(context, '{"prompt": "silent"}')


@when('a caller posts to "{path}" the JSON {text}')
def step_posts_json(context, path, text):
    post(context, path, body=text.encode())


@when('a caller sends "{method}" to "{path}" with the headers')
def step_sends_headers(context, method, path):
    headers = [(row["header"], row["value"]) for row in context.table]
    post(context, path, headers, method=method)


@when('a caller posts to "{path}" with {first} "{one}" and {second} "{two}"')
def step_posts_two_headers(context, path, first, one, second, two):
    post(context, path, [(first, one), (second, two)])


@when('a caller posts to "{path}" with the header {header} and the body "{body}"')
def step_posts_header(context, path, header, body):
    name, _, value = fill(header).partition(":")
    body = fill(body)
    if name == "Content-Length":
        post(context, path, body=body.encode(), length=value.strip())
    else:
        post(context, path, [(name, value.strip())], body.encode())


@when('a caller sends the raw bytes "{text}"')
def step_sends_raw(context, text):
    text = fill(text).replace("\\r\\n", "\r\n")
    context.response = exchange(context.server.port, text.encode())


@when("a caller announces 100 bytes, sends 5 and shuts its side")
def step_cut_off(context):
    data = request_bytes(path="/tickets/x", headers=AUTHORIZED, body=b"12345")
    with connect(context.server.port) as connection:
        connection.sendall(data.replace(b"Content-Length: 5", b"Content-Length: 100"))
        connection.shutdown(1)
        context.response = read_all(connection)


@when("a caller sends {count:d} bytes with their length")
def step_sends_large(context, count):
    post(context, "/tickets/x", body=b"x" * count)


@when("a caller sends {count:d} bytes in chunks of {size:d} bytes")
def step_sends_chunks(context, count, size):
    chunk = f"{size:x}\r\n".encode() + b"x" * size + b"\r\n"
    chunked = AUTHORIZED + (("Transfer-Encoding", "chunked"),)
    head = request_bytes(path="/tickets/x", headers=chunked)
    data = head + chunk * (count // size) + b"0\r\n\r\n"
    context.response = exchange(context.server.port, data)


@when('a caller sends the chunk size "{text}"')
def step_sends_bad_chunk(context, text):
    chunked = AUTHORIZED + (("Transfer-Encoding", "chunked"),)
    head = request_bytes(path="/tickets/x", headers=chunked)
    context.response = exchange(context.server.port, head + text.encode() + b"\r\n")


@when("a caller's event stream breaks after its first event")
def step_breaks(context):
    connection = begin(context)
    context.received = receive_until(connection, b"data: one")
    break_answer(context.gateway.answers[-1])
    context.received += read_all(connection).data


@when("a caller of HTTP/1.0 has its event stream broken after its first event")
def step_breaks_old(context):
    connection = begin(context, version="1.0")
    break_answer(context.gateway.answers[-1])
    context.response = read_all(connection)


@when("a caller hangs up while its request waits")
def step_hangs_up(context):
    begin(context, '{"prompt": "silent"}').close()


@given("a caller that has stopped reading its event stream")
def step_slow_reader(context):
    context.connection = begin(context)
    context.received = receive_until(context.connection, b"data: one")


@when("{count:d} numbered events of {size:d} bytes are put for it")
def step_put_events(context, count, size):
    for number in range(count):
        event = f"data: {number} ".encode().ljust(size, b".") + b"\n\n"
        context.gateway.answers[0].put(AnswerBody(body=event))


@when("the slow caller reads on and its answer ends")
def step_reads_on(context):
    context.gateway.answers[0].put(AnswerEnd())
    context.received += read_all(context.connection).data


@then("it has all {count:d} events in order and the last chunk")
def step_all_events(context, count):
    numbers = re.findall(rb"data: (\d+) ", context.received)
    assert [int(each) for each in numbers] == list(range(count))
    assert context.received.endswith(b"\r\n0\r\n\r\n")


@when("the server is stopped while an event stream is half written")
def step_stopped(context):
    context.connection = begin(context)
    context.received = receive_until(context.connection, b"data: one")
    context.stopper = threading.Thread(target=context.server.stop)
    context.stopper.start()


@when("the upstream then ends the answer")
def step_then_ends(context):
    assert context.server.in_flight() == 1
    context.gateway.answers[-1].put(AnswerEnd())
    data = context.received + read_all(context.connection).data
    context.response = RawResponse(data=data)


@then("the server has stopped")
def step_has_stopped(context):
    context.stopper.join()
    assert not context.server.alive()


@then("the caller gets 200 and a whole event stream")
def step_whole_stream(context):
    assert context.response.status == 200
    assert context.response.header("Content-Type") == "text/event-stream"
    length = context.response.header("Content-Length")
    if length is None:
        assert context.response.body.endswith(b"\r\n0\r\n\r\n")
    else:
        assert int(length) == len(context.response.body)
    assert context.response.header("Lavenderspoke-Request-Id")


@then("the call has these fields")
def step_call_fields(context):
    call = context.gateway.arrivals[-1].call
    for row in context.table:
        expected = json.loads(row["value"])
        found = getattr(call, row["field"])
        found = list(found) if isinstance(found, tuple) else found
        assert found == expected, (row["field"], found)


@then('the caller gets 201 and the body "{body}"')
def step_plain_body(context, body):
    assert (context.response.status, context.response.body) == (201, body.encode())


@then('the call\'s path is "{path}" and its tier {tier:d}')
def step_call_path(context, path, tier):
    call = context.gateway.arrivals[-1].call
    assert (call.path, call.tier) == (path, tier)


@then('the upstream would get only the headers "{names}"')
def step_passed_on(context, names):
    call = context.gateway.arrivals[-1].call
    assert [name for name, _ in call.headers] == names.split(", "), call.headers


@then('the caller gets the header "{kept}" but not "{one}", "{two}" or "{three}"')
def step_returned(context, kept, one, two, three):
    assert context.response.header(kept)
    assert not any(map(context.response.header, (one, two, three)))


@then("the answer's length is given")
def step_length_given(context):
    length = int(context.response.header("Content-Length"))
    assert length == len(context.response.body)


@then('the call is keyed but not by "{key}", not idempotent, and a re-send')
def step_keyed(context, key):
    arrival = context.gateway.arrivals[-1]
    context.key = arrival.call.key
    assert context.key and key not in context.key
    assert not arrival.call.idempotent
    assert arrival.sending is Sending.RESEND


@then("the call has the same key and is a first send")
def step_same_key(context):
    arrival = context.gateway.arrivals[-1]
    assert arrival.call.key == context.key
    assert arrival.sending is Sending.FIRST


@then(
    'the caller is refused with {status:d} "{reason}", ran "{ran}" '
    'and Retry-After "{retry}"'
)
def step_refused(context, status, reason, ran, retry):
    problem = context.response.problem()
    assert context.response.status == problem["status"] == status, problem
    assert (problem["reason"], problem["ran"]) == (reason, ran), problem
    assert set(problem) == {"type", "title", "status", "detail", "reason", "ran"}
    assert (context.response.header("Retry-After") or "none") == retry
    assert context.metrics.counter_value("caller_answers", reason) == 1


@then("the gateway has {count:d} arrivals")
def step_arrivals(context, count):
    assert len(context.gateway.arrivals) == count, context.gateway.arrivals


@then("the arrival's deadline is in {seconds:g} seconds")
def step_deadline(context, seconds):
    assert context.gateway.arrivals[-1].deadline_in_s == seconds


@then("the call's body has {count:d} bytes")
def step_body_bytes(context, count):
    assert len(context.gateway.arrivals[-1].call.body) == count


@then('the caller sees the first event, an error event "{reason}" and no last chunk')
def step_visible_break(context, reason):
    assert b"data: one" in context.received
    _, _, event = context.received.partition(b"event: error\ndata: ")
    assert json.loads(event.partition(b"\n\n")[0])["reason"] == reason
    assert not context.received.endswith(b"0\r\n\r\n"), context.received
    assert context.metrics.counter_value("caller_answers", "broken") == 1


@then("the gateway is told that the caller has gone")
def step_told_gone(context):
    wait_for(lambda: context.gateway.abandoned, "the abandonment")
    request_id = context.gateway.arrivals[-1].call.request_id
    assert context.gateway.abandoned == [request_id]


@then('{count:d} "{reason}" answers are counted')
def step_answers_counted(context, count, reason):
    wait_for(
        lambda: context.metrics.counter_value("caller_answers", reason) == count,
        "the counter",
    )


@given("a callers' server that gives requests {seconds:g} seconds to arrive")
def step_impatient(context, seconds):
    start_callers(context, request_read_s=seconds)


def dribble(context, data):
    with connect(context.server.port) as connection:
        connection.sendall(data)
        connection.setblocking(False)
        received = b""
        # Stops when the answer is whole, or by the connection's reset.
        while b'"ran"' not in received:
            select.select([connection], [], [], 0.02)
            try:
                received += connection.recv(65536)
            except BlockingIOError:
                connection.send(b"x")
    context.response = RawResponse(data=received)


@when("a caller sends its body a byte at a time without end")
def step_dribbles_body(context):
    data = request_bytes(path="/tickets/x", headers=AUTHORIZED, length=9999)
    dribble(context, data)


@when("a caller sends its headers a byte at a time without end")
def step_dribbles_headers(context):
    dribble(context, b"POST /tickets/x HTTP/1.1\r\nX: ")


@given("a callers' server with TLS")
def step_tls(context):
    directory = tempfile.TemporaryDirectory()
    context.add_cleanup(directory.cleanup)
    authority = trustme.CA()
    certificate = authority.issue_cert("127.0.0.1")
    paths = {name: f"{directory.name}/{name}.pem" for name in ("certificate", "key")}
    certificate.cert_chain_pems[0].write_to_path(paths["certificate"])
    certificate.private_key_pem.write_to_path(paths["key"])
    tls = Tls(certificate_file=paths["certificate"], key_file=paths["key"])
    start_callers(context, tls=tls)
    context.tls = ssl.create_default_context()
    authority.configure_trust(context.tls)


@given("callers that connect and never shake hands")
def step_no_handshake(context):
    # One after the other they would hold up the next for longer than it waits.
    for _ in range(THREADS - 1):
        context.add_cleanup(connect(context.server.port).close)


@when('a caller posts over TLS to "{path}"')
def step_posts_tls(context, path):
    data = request_bytes(path=path, headers=AUTHORIZED, body=b"hello")
    plain = connect(context.server.port)
    with context.tls.wrap_socket(plain, server_hostname="127.0.0.1") as connection:
        connection.sendall(data)
        context.response = read_all(connection)


@when("a caller sends plain bytes and then another posts over TLS")
def step_plain_to_tls(context):
    exchange(context.server.port, request_bytes(path="/tickets/x"))
    step_posts_tls(context, "/tickets/x")


@given('the server\'s log is kept at the level "{level}"')
def step_log_kept(context, level):
    context.log_stream = io.StringIO()
    handler = JsonLinesHandler(daemon="test", stream=context.log_stream, level=level)
    handler.push_application()
    context.add_cleanup(handler.pop_application)


@when("callers use their credential in requests of every outcome")
def step_every_outcome(context):
    post(context, "/tickets/x")
    post(context, "/tickets/x", [("Lavenderspoke-Tier", "alerts")])
    post(context, "/tickets/x", [("Authorization", f"Digest {CREDENTIAL}")])
    post(context, "/narrative/v1/completions", body=b"{")
    post(context, f"/{CREDENTIAL}/x")
    step_breaks(context)
    context.gateway.submit = None  # a fault inside the server, with a traceback
    post(context, "/tickets/x")
    assert context.response.status == 500


@then("the kept log holds lines but not the credential")
def step_kept_log(context):
    text = context.log_stream.getvalue()
    assert "traceback" in text
    assert CREDENTIAL not in text, text


@given("a status server over the fake gateway")
def step_status_server(context):
    context.metrics.count("refusals", "shed")
    gateway = context.gateway
    context.status_server = StatusServer(
        host="127.0.0.1",
        port=0,
        ready=gateway.ready,
        status=gateway.status,
        metrics=context.metrics,
    )
    context.status_server.start()
    context.add_cleanup(context.status_server.stop)


@then("its pages answer")
def step_pages(context):
    for row in context.table:
        data = request_bytes(
            method="GET", path=row["page"], headers=[("Connection", "close")]
        )
        response = exchange(context.status_server.port, data)
        assert response.status == int(row["status"]), response
        assert row["holds"] in response.body.decode(), response
