"""Steps about the account of what is held for clients, and the readers that use it."""

import io
import socket
import threading
import time
from collections import Counter
from concurrent.futures import ThreadPoolExecutor

import logbook
import urllib3
from behave import given, then, when
from hypothesis import strategies

from features.helper import fuzz
from features.rawhttp import connect, exchange, read_all, request_bytes, wait_for
from features.steps.client_crowds_steps import (
    BODY_BYTES_MAX as CROWD_BODY_BYTES_MAX,
    ENTRY,
    head,
)
from lavenderspoke.clock import ManualClock
from lavenderspoke.direct.streamversions import StreamVersions
from lavenderspoke.http.callerwatch import has_left
from lavenderspoke.http.requestbody import (
    BodyBroken,
    BodyNotHeld,
    BodyTooLarge,
    read_body,
)
from lavenderspoke.http.server import REQUEST_KEY, HttpServer
from lavenderspoke.observing.logs import BoundedStream, JsonLinesHandler
from lavenderspoke.problems import Reason
from lavenderspoke.resources.clientmemory import (
    OWNER_SHARE,
    SHARES,
    ClientMemory,
    Holding,
)
from standins.platformdeployment import KEY, configuration
from standins.processes import HOST

METRIC = "lavenderspoke_direct_client_bytes"
BODY_BYTES_MAX = 200_000
WAIT_S = 10.0
OTHER_KEY = "key-of-others"
ACCOUNT_BYTES = 1000


def client_bytes(context) -> float:
    port = context.platform.entries[ENTRY].readiness
    text = urllib3.request("GET", f"http://{HOST}:{port}/metrics").data.decode()
    line = next(each for each in text.splitlines() if each.startswith(METRIC + " "))
    return float(line.split()[1])


@then("the entry's account is empty")
def step_empty(context):
    wait_for(lambda: client_bytes(context) == 0.0, "nothing is held")


@when("any bytes are taken and given back in any order")
def step_any_order(context):
    context.mistakes = []
    change = strategies.tuples(
        strategies.sampled_from(list(Holding)),
        strategies.sampled_from(["", "a", "b"]),
        strategies.integers(1, ACCOUNT_BYTES),
        strategies.booleans(),
    )
    fuzz(strategies.lists(change, max_size=60), lambda steps: play(context, steps))


def play(context, steps) -> None:
    memory = ClientMemory(bytes_max=ACCOUNT_BYTES)
    taken: list[tuple[Holding, str, int]] = []
    for kind, owner, size, is_take in steps:
        if is_take and memory.take(kind, size, owner=owner):
            taken.append((kind, owner, size))
        elif not is_take and taken:
            before = taken.pop(size % len(taken))
            memory.give_back(before[0], before[2], owner=before[1])
        context.mistakes += mistakes_of(taken)
    for kind, owner, size in taken:
        memory.give_back(kind, size, owner=owner)
    if memory.held_bytes:
        context.mistakes.append(f"{memory.held_bytes} bytes are left")


def mistakes_of(taken) -> list[str]:
    """Return where more is held than its part, of more than one body."""
    by_kind, by_owner, counts = Counter(), Counter(), Counter()
    for kind, owner, size in taken:
        for key, sizes in (((kind,), by_kind), ((kind, owner), by_owner)):
            sizes[key] += size
            counts[key] += 1
    part = {kind: int(ACCOUNT_BYTES * share) for kind, share in SHARES.items()}
    wrong = [k for k, size in by_kind.items() if size > part[k[0]] and counts[k] > 1]
    wrong += [
        key
        for key, size in by_owner.items()
        if key[1] and size > part[key[0]] * OWNER_SHARE and counts[key] > 1
    ]
    return [str(each) for each in wrong]


@then("no kind and no owner ever has more than its part")
def step_parts(context):
    assert not context.mistakes, context.mistakes[:5]


@then("nothing is left in the account")
def step_nothing_left(context):
    assert not [each for each in context.mistakes if "left" in each]


class Reading:
    """A server whose application reads bodies, and what came of each."""

    def __init__(self, context):
        self.bodies: list[int] = []
        self.refused = 0
        self.unexpected: list[str] = []
        self.server = HttpServer(
            host=HOST, port=0, app=self.app, threads=4, request_read_s=1.0
        )
        self.server.prepare()
        threading.Thread(target=self.server.serve, daemon=True).start()
        context.add_cleanup(self.server.stop)

    def app(self, environ, start_response):
        try:
            body = read_body(environ[REQUEST_KEY], BODY_BYTES_MAX)
            self.bodies.append(len(body))
            status = "200 OK"
        except (BodyBroken, BodyNotHeld, BodyTooLarge, TimeoutError):
            self.refused += 1
            status = "400 Bad Request"
        except Exception as error:
            self.unexpected.append(repr(error))
            raise
        start_response(status, [("Content-Length", "0")])
        return []

    def send(self, parts) -> bytes:
        """Send the parts one by one and close the sending side; return what comes."""
        with socket.create_connection(self.server.bind_addr, timeout=WAIT_S) as sock:
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            received = b""
            try:
                for part in parts:
                    sock.sendall(part)
                sock.shutdown(socket.SHUT_WR)
                while data := sock.recv(65536):
                    received += data
            except ConnectionError:
                pass
            return received


def cut(data: bytes, places) -> list[bytes]:
    ends = sorted({place % (len(data) + 1) for place in places} | {len(data)})
    parts, begin = [], 0
    for end in ends:
        parts.append(data[begin:end])
        begin = end
    return [part for part in parts if part]


LINES = strategies.sampled_from(
    [
        b"5\r\nhello\r\n",
        b"0\r\n\r\n",
        b"0\r\n",
        b"1000000000000000000\r\n",
        b"-1\r\n",
        b"5;x=y\r\nhello\r\n",
        b"5;" + b"x" * 5000,
        b"X-Trailer: 1\r\n",
        b"X: " + b"y" * 40_000,
        b"\r\n",
        b"\n",
        b"f" * 20_000,
    ]
)
PIECES = strategies.lists(LINES | strategies.binary(max_size=40), max_size=12)
HEADS = {
    "a sized body": b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 30\r\n\r\n",
    "a chunked body": b"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n",
    "a head and its body": b"",
}


@when("a server reads any bytes as {what}, cut anywhere")
def step_any_bytes(context, what):
    reading = context.reading = Reading(context)
    places = strategies.lists(strategies.integers(0, 100_000), max_size=4)

    def check(drawn) -> None:
        pieces, cuts = drawn
        data = HEADS[what] + b"".join(pieces)
        received = reading.send(cut(data, cuts))
        for line in io.BytesIO(received).read().split(b"\r\n"):
            if line.startswith(b"HTTP/1.1 500"):
                reading.unexpected.append(f"{line!r} for {data[:200]!r}")

    fuzz(strategies.tuples(PIECES, places), check, examples=120)


@then("it returns or refuses each, within its bound")
def step_within(context):
    reading = context.reading
    assert not reading.unexpected, reading.unexpected[:3]
    assert all(size <= BODY_BYTES_MAX for size in reading.bodies)
    wait_for(lambda: not len(reading.server.connections), "connections are closed")
    assert not reading.server.memory.held_bytes, reading.server.memory.held_bytes


@when("{count:d} streams begin whose attempts have ids of 10 kB")
def step_long_ids(context, count):
    context.versions = StreamVersions(clock=ManualClock())
    context.ids = [f"{number:05d}" * 2000 for number in range(count)]
    for attempt_id in context.ids:
        context.versions.record((attempt_id, "model", "v1"))


@then("less than 1 MB of ids is kept")
def step_kept(context):
    rows = context.versions.rows(context.ids) + context.versions.take_unsent()
    assert sum(len(row[0]) for row in rows) < 1_000_000


class _StalledStream(io.StringIO):
    def __init__(self):
        super().__init__()
        self.is_read = threading.Event()

    def write(self, text: str) -> int:
        self.is_read.wait(WAIT_S)
        return len(text)


@given("a log whose reader has stalled")
def step_stalled(context):
    stalled = _StalledStream()
    context.add_cleanup(stalled.is_read.set)
    context.stream = BoundedStream(stalled)


@when("{count:d} lines are logged, each with 100 kB that a client chose")
def step_long_lines(context, count):
    handler = JsonLinesHandler(daemon="test", stream=context.stream)
    log = logbook.Logger("test")
    with handler.applicationbound():
        for number in range(count):
            log.info("request", request=f"{number}" + "x" * 100_000)


@then("less than 8 MB of them wait")
def step_lines_wait(context):
    waiting = list(context.stream._lines.queue)
    assert 0 < sum(map(len, waiting)) < 8_000_000, sum(map(len, waiting))


@when("a server refuses {count:d} malformed requests")
def step_refuses(context, count):
    context.refused = Counter()
    context.log_stream = io.StringIO()
    handler = JsonLinesHandler(daemon="test", stream=context.log_stream)
    handler.push_application()
    context.add_cleanup(handler.pop_application)
    reading = Reading(context)
    reading.server.on_problem = lambda each: context.refused.update([each.reason])
    for _ in range(count):
        reading.send([b"no request at all\r\n\r\n"])
    context.count = count


@then("its log has at most 20 lines of them, and each is counted")
def step_few_lines(context):
    lines = context.log_stream.getvalue().splitlines()
    assert 0 < len(lines) <= 20, len(lines)
    assert context.refused[Reason.BAD_REQUEST] == context.count, context.refused


@when("a caller sends a body of 256 kB, 8 kB every 0.1 s")
def step_slowly(context):
    size, piece = 256_000, 8_000
    fields = (f"Content-Length: {size}", "Connection: close")
    data = head(0, *fields).replace(b"X-Deadline-Ms: 4000", b"X-Deadline-Ms: 9000")
    with connect(context.platform.entries[ENTRY].callers) as sock:
        sock.sendall(data)
        for _ in range(size // piece):
            sock.sendall(b"x" * piece)
            time.sleep(0.1)
        context.answer = read_all(sock)


@then("that caller is answered")
def step_slow_answered(context):
    assert context.answer.status == 200, context.answer.data[:500]


@given("a server with {count:d} threads whose application works for {work_s:g} s")
def step_works(context, count, work_s):
    context.cut = []

    def app(environ, start_response):
        request = environ[REQUEST_KEY]
        time.sleep(work_s)
        context.cut.append(has_left(request.conn.socket.fileno()))
        read_body(request, BODY_BYTES_MAX)
        start_response("200 OK", [("Content-Length", "0")])
        return []

    server = context.server = HttpServer(host=HOST, port=0, app=app, threads=count)
    server.prepare()
    threading.Thread(target=server.serve, daemon=True).start()
    context.add_cleanup(server.stop)


@when("{count:d} requests come at once")
def step_at_once(context, count):
    data = request_bytes(body=b"payment", headers=[("Connection", "close")])
    port = context.server.bind_addr[1]
    with ThreadPoolExecutor(count) as pool:
        list(pool.map(lambda number: exchange(port, data), range(count)))


@then("none of their connections was cut while it worked")
def step_not_cut(context):
    assert len(context.cut) >= 2, context.cut
    assert not any(context.cut), context.cut


@given("another customer has a key")
def step_another_customer(context):
    customers = [
        {"name": name, "api-keys": [key], "priority": 1}
        for name, key in (("tours", KEY), ("others", OTHER_KEY))
    ]
    limits = {"max-body-bytes": CROWD_BODY_BYTES_MAX, "idle-timeout-ms": 15000}
    context.platform.configure(configuration(3, tenants=customers, limits=limits))
    wait_for(
        lambda: context.platform.send(ENTRY, "/look/1", key=OTHER_KEY).status == 200,
        "the other customer's key is in force",
    )


@then("a body of 2 MiB of the other customer is answered")
def step_other_answered(context):
    # The runs that have begun go on.
    for upstream in context.platform.upstreams.values():
        upstream.set_faults(work_s=0.01)
    body = b"x" * CROWD_BODY_BYTES_MAX
    answer = context.platform.send(ENTRY, "/look/1", key=OTHER_KEY, body=body)
    assert answer.status == 200, answer
