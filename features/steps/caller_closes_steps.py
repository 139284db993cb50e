"""Steps about connections of callers that are closed, and what that tells them."""

import io
import json
import socket
import threading
import time

from behave import given, then, when

from features.platformstage import set_all
from features.rawhttp import WAIT_S, RawResponse, exchange, read_all, request_bytes
from lavenderspoke.http.server import HttpServer
from lavenderspoke.observing.logs import JsonLinesHandler
from standins.platformdeployment import HOST_HEADER, KEY
from standins.processes import HOST, wait_until

ENTRY, OTHER_ENTRY = "entry-1", "entry-2"
ATTEMPT_ID = "pay-once"
FINAL_LINE = b"\r\n"
LAST_CHUNK = b"0\r\n"
TRAILERS = b"X-Checksum: 1\r\n"
# Bytes that the server reads at once.
READ_BYTES = 8192
SEPARATE_S = 0.2
SETTLE_S = 0.2


def payment(attempt_id: str, *, size=7, end: bytes = b"") -> bytes:
    """Return a chunked request without what follows its last chunk but `end`."""
    lines = (
        "POST /pay/1 HTTP/1.1",
        f"Host: {HOST_HEADER}",
        f"X-Attempt-Id: {attempt_id}",
        "X-Deadline-Ms: 4000",
        f"Authorization: Bearer {KEY}",
        "Transfer-Encoding: chunked",
    )
    head = "\r\n".join([*lines, "", ""]).encode()
    return head + b"%x\r\n%b\r\n" % (size, b"x" * size) + LAST_CHUNK + end


def payment_of_length(attempt_id: str, length: int) -> bytes:
    """Return a whole chunked request of that many bytes."""
    size = length - len(payment(attempt_id, size=length, end=FINAL_LINE)) + length
    data = payment(attempt_id, size=size, end=FINAL_LINE)
    assert len(data) == length, len(data)
    return data


def connect(context, entry: str) -> socket.socket:
    port = context.platform.entries[entry].callers
    sock = socket.create_connection((HOST, port), timeout=WAIT_S)
    context.add_cleanup(sock.close)
    return sock


def runs_of(context, attempt_id: str) -> int:
    return sum(run["attempt_id"] == attempt_id for run in context.platform.runs())


@given("plain upstreams work for {work_s:g} s")
def step_work(context, work_s):
    set_all(context, "desk", work_s=work_s)


def under_way(context, *parts: bytes) -> None:
    context.connection = connect(context, ENTRY)
    for part in parts:
        context.connection.sendall(part)
        time.sleep(SEPARATE_S)
    wait_until(lambda: runs_of(context, ATTEMPT_ID), WAIT_S, "the request runs")


@when(
    "a caller's request, whose last chunk and its final line come separately, is under "
    "way at an upstream"
)
def step_separate(context):
    under_way(context, payment(ATTEMPT_ID), FINAL_LINE)


@when(
    "a caller's request, whose last line lies beyond what is read at once, is under "
    "way at an upstream"
)
def step_beyond(context):
    length = READ_BYTES + len(FINAL_LINE)
    under_way(context, payment_of_length(ATTEMPT_ID, length))


@when(
    "a caller's request, whose body is followed by trailers, is under way at an "
    "upstream"
)
def step_trailers(context):
    under_way(context, payment(ATTEMPT_ID), TRAILERS + FINAL_LINE)


@when(
    "its entry is killed, and the caller repeats the attempt elsewhere if it was reset"
)
def step_killed(context):
    context.platform.entries[ENTRY].process.kill()
    try:
        context.was_reset = False
        context.connection.recv(1)
    except ConnectionResetError:
        context.was_reset = True
        repeat = connect(context, OTHER_ENTRY)
        repeat.sendall(payment(ATTEMPT_ID, end=FINAL_LINE))
        repeat.recv(1)


@then("its connection wasn't reset")
def step_not_reset(context):
    ran = runs_of(context, ATTEMPT_ID)
    assert not context.was_reset, f"reset, and repeated: it ran {ran} times"


def answer(sock: socket.socket) -> RawResponse:
    """Return the answer on a kept connection; its length is given."""
    data = b""
    while True:
        received = sock.recv(65536)
        assert received, f"closed after {data!r}"
        data += received
        response = RawResponse(data=data)
        if b"\r\n\r\n" not in data:
            continue
        if len(response.body) >= int(response.header("Content-Length")):
            return response


@when("a caller sends a request with trailers, and another one on its connection")
def step_follows(context):
    sock = connect(context, ENTRY)
    context.answers = []
    for number, end in enumerate((TRAILERS + FINAL_LINE, FINAL_LINE)):
        sock.sendall(payment(f"pay-{number}", end=end))
        context.answers.append(answer(sock))
        time.sleep(SETTLE_S)


@then("both are answered whole")
def step_both(context):
    for number, each in enumerate(context.answers):
        assert each.status == 200, each
        assert each.body == f"answer to pay-{number}".encode(), each


@when(
    "{count:d} callers have had the answer to a chunked request, and keep their "
    "connections"
)
def step_idle(context, count):
    for number in range(count):
        sock = connect(context, ENTRY)
        sock.sendall(payment(f"pay-{number}", end=FINAL_LINE))
        assert answer(sock).status == 200


@then("the next caller is answered within {limit_s:g} s")
def step_next(context, limit_s):
    sock = connect(context, ENTRY)
    began_s = time.monotonic()
    sock.sendall(payment(ATTEMPT_ID, end=FINAL_LINE))
    assert sock.recv(1), "closed unread"
    assert time.monotonic() - began_s < limit_s


@when("a caller ends its connection before the final line of its request")
def step_lacks(context):
    context.connection = connect(context, ENTRY)
    context.connection.sendall(payment(ATTEMPT_ID))
    time.sleep(SEPARATE_S)
    context.ran_early = runs_of(context, ATTEMPT_ID)
    context.connection.shutdown(socket.SHUT_WR)
    context.response = read_all(context.connection)


@then("its request is refused with 400, and hasn't run")
def step_refused(context):
    assert not context.ran_early
    assert context.response.status == 400, context.response
    assert not runs_of(context, ATTEMPT_ID)


ERRORS = {
    "TimeoutError": TimeoutError("timed out"),
    "OSError": OSError(5, "an error of the system"),
    "ValueError": ValueError("an error of the application"),
}


def start_server(context, app) -> None:
    context.log_stream = io.StringIO()
    handler = JsonLinesHandler(daemon="test", stream=context.log_stream)
    handler.push_application()
    context.add_cleanup(handler.pop_application)
    server = HttpServer(host=HOST, port=0, app=app, threads=2)
    server.prepare()
    context.add_cleanup(server.stop)
    context.port = server.bind_addr[1]
    threading.Thread(target=server.serve, daemon=True).start()


@given("a server for callers whose application raises {error} as it is called")
def step_raises_called(context, error):
    def app(environ, start_response):
        raise ERRORS[error]

    start_server(context, app)


@given("a server for callers whose application raises {error} before its response")
def step_raises_before(context, error):
    def app(environ, start_response):
        yield b""
        raise ERRORS[error]

    start_server(context, app)


@when("a payment is sent to that server")
def step_sent(context):
    context.response = exchange(context.port, request_bytes(body=b"payment"))


@then("it gets 500, which says that nobody knows whether it ran")
def step_unknown(context):
    assert context.response.data, "closed without an answer"
    assert context.response.status == 500, context.response
    assert context.response.problem()["ran"] == "unknown", context.response


@then("the server's log tells that the application had it")
def step_log_tells(context):
    lines = [json.loads(line) for line in context.log_stream.getvalue().splitlines()]
    assert any(each.get("handed_over") for each in lines), lines
