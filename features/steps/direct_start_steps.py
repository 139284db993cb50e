"""Steps about the startup of an entry that uses direct dispatch."""

import pathlib
import socket
import subprocess
import sys
import sysconfig
import tempfile
import threading
import time
import tomllib
from random import Random

from behave import given, then, when

from lavenderspoke.clock import ManualClock
from lavenderspoke.direct.catalog import Catalog, Customer
from lavenderspoke.direct.messages import SharedState
from lavenderspoke.direct.office import DirectDispatcher
from lavenderspoke.direct.peerlink import PeerLinkLoader
from lavenderspoke.direct.quota import Tolerance
from lavenderspoke.direct.settings import Bounds
from lavenderspoke.direct.sharing import EntryLocation
from lavenderspoke.direct.startuphold import StartupHold
from lavenderspoke.http.server import HttpServer
from lavenderspoke.model import InstanceId
from lavenderspoke.observing.metrics import Metrics
from lavenderspoke.platform import early
from standins.processes import HOST, free_port

WAIT_S = 5.0
ROOT = pathlib.Path(__file__).resolve().parents[2]
# Prints the number of garbage collections during the load, whether collection is
# enabled afterwards, and whether the loaded objects are frozen.
LOAD = """
import gc
from lavenderspoke.platform import __main__ as main
before = sum(each["collections"] for each in gc.get_stats())
main._load_daemon()
after = sum(each["collections"] for each in gc.get_stats())
print(after - before, gc.isenabled(), gc.get_freeze_count() > 0)
"""


def settings_file(context, text: str) -> str:
    directory = tempfile.TemporaryDirectory()
    context.add_cleanup(directory.cleanup)
    path = pathlib.Path(directory.name) / "node.conf"
    path.write_text(text)
    return str(path)


class FakeLink:
    """A link that loads once `may_load` is set, and records calls.

    Its first `failures` starts fail.
    """

    def __init__(self, *, failures: int = 0):
        self.may_load = threading.Event()
        self.starts = 0
        self.sent_to: list[str] = []
        self._failures = failures
        self._running = False

    def load(self) -> "FakeLink":
        assert self.may_load.wait(WAIT_S)
        return self

    def start(self) -> None:
        if self._failures:
            self._failures -= 1
            raise OSError("the address is taken")
        self.starts += 1
        self._running = True

    def stop(self) -> None:
        self._running = False

    def alive(self) -> bool:
        return self._running

    def send_to_peer(self, name, message) -> None:
        self.sent_to.append(name)


@given("a link to the other entries that takes a while to load")
def step_slow_link(context):
    context.link = FakeLink()
    context.part = PeerLinkLoader(load=context.link.load)


@given("a link to the other entries that fails at first")
def step_failing_link(context):
    context.link = FakeLink(failures=1)
    context.part = PeerLinkLoader(load=context.link.load)


@when("its part is started")
def step_start_link(context):
    context.part.start()


@when("the link has been loaded")
def step_link_loaded(context):
    context.link.may_load.set()
    context.part.wait_started(WAIT_S)


@when("its part is stopped, and the link has been loaded")
def step_stop_link(context):
    context.part.stop()
    step_link_loaded(context)


@then("the part is alive at once, and messages sent before the load are dropped")
def step_alive_at_once(context):
    assert context.part.alive()
    context.part.send_to_peer("entry-2", None)
    assert context.link.sent_to == []


@then("it was started once, and later messages are sent")
def step_started_once(context):
    context.part.send_to_peer("entry-2", None)
    assert context.link.starts == 1 and context.link.sent_to == ["entry-2"]
    context.part.stop()
    assert not context.part.alive()


@then("the link was never started")
def step_never_started(context):
    assert context.link.starts == 0 and not context.part.alive()


@then("the part isn't alive until it is started again")
def step_once_more(context):
    assert not context.part.alive()
    context.part.start()
    context.part.wait_started(WAIT_S)
    assert context.part.alive() and context.link.starts == 1


@when("the daemon is loaded without a search of site-packages (-S)")
def step_load(context):
    libraries = sysconfig.get_path("platlib")
    done = subprocess.run(
        [sys.executable, "-S", "-c", LOAD],
        cwd=ROOT,
        env={"PYTHONPATH": f"{ROOT}:{libraries}"},
        capture_output=True,
        text=True,
        timeout=60.0,
    )
    assert done.returncode == 0, done.stderr
    context.loaded = done.stdout.split()


@then(
    "no garbage collection ran during the load, and later ones skip the loaded objects"
)
def step_garbage(context):
    assert context.loaded == ["0", "True", "True"], context.loaded


@then("the deployed command loads it that way")
def step_deployed(context):
    deployed = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
    command = deployed["roles"]["entry"]["run"].split()
    assert command == ["python3", "-S", "-m", "lavenderspoke.platform"]


@given("a port with a listening socket and no server yet")
def step_port(context):
    context.port = free_port()
    path = settings_file(context, f"listen.frontend={HOST}:{context.port}\n")
    context.listener = early.listen(path)
    assert context.listener is not None


def respond_hello(environ, start_response):
    start_response("200 OK", [("Content-Length", "5")])
    return [b"hello"]


@when(
    "a caller sends a request, and a server takes over the socket {seconds:g} s later"
)
def step_take_over(context, seconds):
    caller = socket.create_connection((HOST, context.port), timeout=WAIT_S)
    context.add_cleanup(caller.close)
    caller.sendall(b"GET / HTTP/1.1\r\nHost: h\r\n\r\n")
    time.sleep(seconds)
    server = HttpServer(
        host=HOST,
        port=context.port,
        app=respond_hello,
        threads=2,
        listener=context.listener,
    )
    server.prepare()
    context.add_cleanup(server.stop)
    threading.Thread(target=server.serve, daemon=True).start()
    context.response = b""
    while not context.response.endswith(b"hello"):
        data = caller.recv(4096)
        assert data, context.response
        context.response += data


@then("the caller gets its response")
def step_got(context):
    assert context.response.startswith(b"HTTP/1.1 200 OK"), context.response


@then("no socket is opened")
def step_unreadable(context):
    assert early.listen("/nonexistent") is None
    for text in ("", "listen.frontend=here\n", f"listen.frontend={HOST}:x\n"):
        assert early.listen(settings_file(context, text)) is None, text


class StepClock(ManualClock):
    """A clock that advances by a millisecond at each reading."""

    def monotonic_s(self) -> float:
        self.advance(0.001)
        return super().monotonic_s()


@given("an entry that has just started")
def step_started(context):
    context.clock = StepClock()
    context.complete_from_s = float("inf")
    context.startup_hold = StartupHold(
        is_ready=lambda: context.clock.monotonic_s() >= context.complete_from_s,
        clock=context.clock,
    )


def measure_hold_s(context) -> float:
    before_s = context.clock.monotonic_s()
    context.startup_hold.wait()
    return context.clock.monotonic_s() - before_s


@then("it isn't ready until its initial state is complete or {seconds:g} s have passed")
def step_not_ready_before(context, seconds):
    assert not context.startup_hold.is_over()
    context.complete_from_s = context.clock.monotonic_s()
    assert context.startup_hold.is_over()
    context.complete_from_s = float("inf")
    assert not context.startup_hold.is_over()
    context.clock.advance(seconds)
    assert context.startup_hold.is_over()


@when("a request arrives and the entry's initial state is complete {seconds:g} s later")
def step_complete_later(context, seconds):
    context.complete_from_s = context.clock.monotonic_s() + seconds
    context.held_s = measure_hold_s(context)


@when("a request arrives and the entry's initial state is never complete")
def step_never_complete(context):
    context.held_s = measure_hold_s(context)


@then("the request was held for {seconds:g} s, and the next one isn't held")
def step_held(context, seconds):
    assert abs(context.held_s - seconds) < 0.02, context.held_s
    assert measure_hold_s(context) < 0.02


@given(
    "{count:d} entries that start together, a limit of {per_s:d} a second "
    "and {tolerated:d} tolerated"
)
def step_dispatchers(context, count, per_s, tolerated):
    context.clock = ManualClock(start_s=100.0)
    context.customer = Customer(
        name="tours",
        keys=(),
        rank=0,
        per_s=float(per_s),
        burst=0.0,
        counts_tokens=True,
        default_tokens=1,
    )
    tolerance = Tolerance(tokens=float(tolerated))
    context.dispatchers = {
        f"entry-{number}": DirectDispatcher(
            name=f"entry-{number}",
            location=EntryLocation(address=f"tcp://10.0.0.{number}:1"),
            bounds=Bounds(quota_tolerance=tolerance),
            clock=context.clock,
            random=Random(number),
            metrics=Metrics(),
        )
        for number in range(count)
    }
    catalog = Catalog(version=1, routes=(), services={}, customers=(context.customer,))
    entries = {
        name: EntryLocation(address=f"tcp://{name}") for name in context.dispatchers
    }
    for dispatcher in context.dispatchers.values():
        dispatcher.catalog_changed(catalog)
        dispatcher.peers_listed(entries)
    exchange_states(context)


def exchange_states(context) -> None:
    """Let each entry receive a state without usage from every other, and tick."""
    context.number = getattr(context, "number", 0) + 1
    for name, dispatcher in context.dispatchers.items():
        for peer in context.dispatchers:
            if peer != name:
                sender = InstanceId(name=peer, incarnation="1")
                state = SharedState(address=f"tcp://{peer}", number=context.number)
                dispatcher.receive_state(sender, state)
        dispatcher.tick()


def try_spend(context, dispatcher: DirectDispatcher, cost: float) -> bool:
    now_s = context.clock.monotonic_s()
    return dispatcher._quota.spend(context.customer, cost, rank=0, now_s=now_s)


@when("{count:d} requests of {cost:d} tokens arrive at each entry at the same time")
def step_requests_arrive(context, count, cost):
    context.passed = sum(
        cost
        for dispatcher in context.dispatchers.values()
        for _ in range(count)
        if try_spend(context, dispatcher, float(cost))
    )


@then("at most {most:d} tokens pass in total, and at least {least:d}")
def step_passed(context, most, least):
    assert least <= context.passed <= most, context.passed


@then("after {seconds:g} s a single entry may admit at least 500 tokens")
def step_admits(context, seconds):
    context.clock.advance(seconds)
    exchange_states(context)
    dispatcher = context.dispatchers["entry-0"]
    admitted = 0
    while try_spend(context, dispatcher, 50.0):
        admitted += 50
    assert admitted >= 500, admitted
