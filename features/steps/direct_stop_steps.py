"""Steps about the shutdown of an entry whose server is paused at a chosen point."""

import signal
import socket
import threading
from unittest import mock

from behave import given, then, when

from features.rawhttp import WAIT_S, wait_for
from lavenderspoke.clock import ManualClock
from lavenderspoke.direct.daemon import DRAIN_ACCEPT_S, DirectEntry
from lavenderspoke.direct.settings import Address, DirectSettings
from lavenderspoke.platform.wire import PlatformDialect
from standins.processes import HOST, free_port

# The drain reads the clock once for each check for requests in flight. After this many
# more checks it counts as still waiting for one.
READINGS = 4
REQUEST = b"GET / HTTP/1.1\r\nHost: h\r\n\r\n"
LAST_CHUNK = b"0\r\n\r\n"


class CountedClock(ManualClock):
    """A clock that counts how often it is read."""

    readings = 0

    def monotonic_s(self) -> float:
        self.readings += 1
        return super().monotonic_s()


class StoppingEntry:
    """An entry that responds with a short stream, and whose exit only sets `exited`."""

    def __init__(self, context):
        self.clock = CountedClock(start_s=100.0)
        self.paused = threading.Event()
        self.may_continue = threading.Event()
        self.exited = threading.Event()
        settings = DirectSettings(
            name="entry-1",
            data_centre="here",
            callers=Address(host=HOST, port=free_port()),
            readiness=Address(host=HOST, port=free_port()),
            peers=Address(host=HOST, port=free_port()),
            threads=2,
        )
        self.entry = DirectEntry(
            settings=settings, dialect=PlatformDialect(), clock=self.clock
        )
        self.entry._feeds = mock.Mock()
        self.entry._app._handle = self._stream
        exits = mock.patch(
            "lavenderspoke.direct.daemon.os._exit", lambda status: self.exited.set()
        )
        exits.start()
        context.add_cleanup(exits.stop)
        self.entry._caller_server.start()
        context.add_cleanup(self.entry._caller_server.stop)
        context.add_cleanup(self.may_continue.set)
        self.server = self.entry._caller_server.server
        wait_for(lambda: self.server.ready, "the server serves")

    def connect(self, context) -> None:
        """Connect a caller that sends nothing yet."""
        address = (HOST, self.entry.settings.callers.port)
        self.caller = socket.create_connection(address, timeout=WAIT_S)
        context.add_cleanup(self.caller.close)

    def pause_last_chunk(self) -> None:
        """Pause each request after its application has finished."""
        stopping_entry = self

        class PausedGateway(self.server.gateway):
            def respond(self):
                super().respond()
                stopping_entry.paused.set()
                stopping_entry.may_continue.wait()

        self.server.gateway = PausedGateway

    def occupy_threads(self) -> None:
        """Make all threads seem busy."""

        def waited(connection) -> bool:
            self.paused.set()
            return self.may_continue.wait()

        self.server._has_thread = lambda: False
        self.server._waited_for_thread = waited

    def stop(self) -> None:
        """Call the signal handler, and advance past the time of accepting requests."""
        threading.Thread(target=self.entry._drain, daemon=True).start()
        self.entry._on_stop(signal.SIGTERM, None)
        readings = self.clock.readings
        wait_for(lambda: self.clock.readings > readings + 1, "the drain has begun")
        self.clock.advance(DRAIN_ACCEPT_S)

    def keeps_running(self) -> bool:
        """Return whether it keeps running for some more checks of the drain."""
        wait_for(lambda: self.exited.is_set() or self.entry._app.refusing, "refusing")
        readings = self.clock.readings
        wait_for(
            lambda: self.exited.is_set() or self.clock.readings > readings + READINGS,
            "the drain goes on",
        )
        return not self.exited.is_set()

    @staticmethod
    def _stream(http_request, start_response, journey):
        start_response("200 OK", [])
        yield b"whole"


@given("an entry whose server is paused before the last chunk of a stream")
def step_paused_chunk(context):
    context.stopping = StoppingEntry(context)
    context.stopping.pause_last_chunk()
    context.stopping.connect(context)


@given("an entry whose server has no free thread")
def step_no_free_thread(context):
    context.stopping = StoppingEntry(context)
    context.stopping.occupy_threads()
    context.stopping.connect(context)


@given("an entry with a caller that has sent nothing")
def step_nothing_sent(context):
    context.stopping = StoppingEntry(context)
    context.stopping.connect(context)
    wait_for(
        lambda: len(context.stopping.server.connections),
        "the caller's connection is accepted",
    )


@when("a caller sends a request, and the entry gets the stop signal")
def step_stop(context):
    context.stopping.caller.sendall(REQUEST)
    assert context.stopping.paused.wait(WAIT_S)
    context.stopping.stop()


@when("the entry gets the stop signal, and stops accepting requests")
def step_stop_idle(context):
    context.stopping.stop()


@then("the entry is still running after it stopped accepting requests")
def step_keeps_running(context):
    assert context.stopping.keeps_running(), "it has exited"


@when("its server continues")
def step_continue(context):
    context.stopping.may_continue.set()


@then("the caller gets its complete stream, and the entry exits")
def step_complete_and_exited(context):
    answer = b""
    while not answer.endswith(LAST_CHUNK):
        data = context.stopping.caller.recv(4096)
        assert data, answer
        answer += data
    assert b"\r\n5\r\nwhole\r\n" in answer, answer
    assert context.stopping.exited.wait(WAIT_S)


@then("the entry exits")
def step_exits(context):
    assert context.stopping.exited.wait(WAIT_S)
