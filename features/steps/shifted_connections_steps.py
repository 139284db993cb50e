"""Steps about entries that get most new connections."""

import socket
import threading
import time
from collections import Counter
from random import Random

import urllib3
from behave import given, then, when

from features.platformstage import deploy
from lavenderspoke.http.server import HttpServer
from standins.processes import HOST

REQUEST = b"GET / HTTP/1.1\r\nHost: x\r\n\r\n"
ANSWER_S = 5.0
# Share of the new connections that one entry gets.
SHIFTED = 0.9
PAUSE_S = 0.05
ENTRIES = ("entry-1", "entry-2", "entry-3")


@given("a server for callers with 2 threads, both at work for {work_s:g} s")
def step_busy_server(context, work_s):
    context.problems = []
    working = threading.Semaphore(0)

    def app(environ, start_response):
        working.release()
        time.sleep(work_s)
        start_response("200 OK", [("Content-Length", "2")])
        return [b"ok"]

    server = HttpServer(
        host=HOST,
        port=0,
        app=app,
        threads=2,
        on_problem=context.problems.append,
        refuses_unread=True,
    )
    server.prepare()
    threading.Thread(target=server.serve, daemon=True).start()
    context.add_cleanup(server.stop)
    context.address = server.bind_addr
    context.others = []
    for _ in range(2):
        context.others.append(connect(context))
        working.acquire(timeout=ANSWER_S)


def connect(context) -> socket.socket:
    sock = socket.create_connection(context.address, timeout=ANSWER_S)
    context.add_cleanup(sock.close)
    sock.sendall(REQUEST)
    return sock


@when("a further request is sent")
def step_further(context):
    context.sent_s = time.monotonic()
    context.further = connect(context)


def received(context) -> bytes:
    try:
        return context.further.recv(1024)
    except ConnectionResetError:
        return b""


@then("its connection is closed unread within {seconds:g} s")
def step_closed(context, seconds):
    assert received(context) == b""
    assert time.monotonic() - context.sent_s < seconds


@then("it is answered")
def step_answered(context):
    assert received(context).startswith(b"HTTP/1.1 200")


@then('the server has counted "{reason}" once')
def step_counted(context, reason):
    assert [each.reason.value for each in context.problems] == [reason]


@given("3 entries, {models:d} model upstreams and {desks:d} plain ones")
def step_entries(context, models, desks):
    platform = deploy(context)
    for number in range(models):
        platform.upstream(f"model-{number}", "model")
    for number in range(desks):
        platform.upstream(f"desk-{number}", "desk")
    for name in ENTRIES:
        platform.entry(name)


class Crowd:
    """Callers who open a connection for each request."""

    def __init__(self, context, count: int):
        self._platform = context.platform
        self._count = count
        self.served: Counter[str] = Counter()
        self.sent: Counter[str] = Counter()

    def run(self, phase: str, favourite: str | None, seconds_s: float) -> None:
        """Send for so long; afterwards `served` tells the first attempts served."""
        until_s = time.monotonic() + seconds_s
        threads = [
            threading.Thread(target=self._send, args=(phase, favourite, until_s, n))
            for n in range(self._count)
        ]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()

    def _send(self, phase: str, favourite, until_s: float, number: int) -> None:
        random = Random(f"{phase}/{number}")
        while time.monotonic() < until_s:
            entry = random.choice(ENTRIES)
            if favourite is not None and random.random() < SHIFTED:
                entry = favourite
            path = random.choice(("/stream/1", "/look/1"))
            self.sent[phase] += 1
            try:
                answer = self._platform.send(
                    entry, path, method="GET" if "look" in path else "POST"
                )
                self.served[phase] += answer.status in (200, 429) and answer.whole
            except urllib3.exceptions.HTTPError:
                pass
            time.sleep(random.uniform(0.0, PAUSE_S))


@when(
    "{count:d} callers use all entries for {seconds:d} s, and then mostly entry-1 and "
    "entry-2 for {shifted:d} s each"
)
def step_shift(context, count, seconds, shifted):
    context.crowd = Crowd(context, count)
    context.crowd.run("before", None, seconds)
    for name in ("entry-1", "entry-2"):
        context.crowd.run(name, name, shifted)


@then(
    "at each of both at least {share:g} times as many first attempts are served as "
    "before"
)
def step_served(context, share):
    crowd = context.crowd
    before = crowd.served["before"] / crowd.sent["before"]
    for name in ("entry-1", "entry-2"):
        now = crowd.served[name] / crowd.sent[name]
        assert now >= share * before, (crowd.served, crowd.sent)
