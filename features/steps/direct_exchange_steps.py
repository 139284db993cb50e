"""Steps about responses of upstreams that send faulty bytes."""

import socket
import struct
import threading
import time

from behave import given, then, when
from result import Err

from features.rawhttp import unescaped
from lavenderspoke.clock import SystemClock
from lavenderspoke.direct.exchange import (
    CancelHandle,
    ConnectionPool,
    IncompleteResponse,
    NotSent,
)
from standins.processes import HOST, free_port

HEAD_TIMEOUT_S = 0.6
# Time for the bytes of an upstream, and the end of its connection, to arrive.
RESPONSE_PAUSE_S = 0.1
# More than the socket buffers hold if the upstream reads nothing.
STALLED_BODY_BYTES = 100_000
STALLED_BUFFER_BYTES = 2048
LONG_BODY_BYTES = 8_000_000
# Longer than the kernel takes to time out a connection.
CONNECTION_TIMEOUT_MAX_S = 10.0


class RawUpstream:
    """Sends the same bytes for each request that it reads."""

    def __init__(self, *, answer: bytes, then: str, buffer_bytes: int | None = None):
        self.connections = 0
        self.requests = 0
        self._answer = answer
        self._then = then
        self._listener = socket.create_server((HOST, 0))
        if buffer_bytes is not None:
            self._listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, buffer_bytes)
        self.port = self._listener.getsockname()[1]
        threading.Thread(target=self._accept, daemon=True).start()

    def close(self) -> None:
        self._listener.close()

    def _accept(self) -> None:
        while True:
            try:
                connection, _ = self._listener.accept()
            except OSError:
                return
            self.connections += 1
            threading.Thread(target=self._serve, args=[connection], daemon=True).start()

    def _serve(self, connection: socket.socket) -> None:
        with connection:
            while data := connection.recv(65536):
                assert data.startswith(b"GET ")
                self.requests += 1
                connection.sendall(self._answer)
                if self._then == "reset":
                    time.sleep(0.05)
                    linger = struct.pack("ii", 1, 0)
                    connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
                    return
                if self._then == "ends":
                    return


class TricklingUpstream(RawUpstream):
    """Pauses after each byte that it sends."""

    def __init__(self, *, answer: bytes, pause_s: float):
        self._pause_s = pause_s
        super().__init__(answer=answer, then="keeps")

    def _serve(self, connection: socket.socket) -> None:
        with connection:
            connection.recv(65536)
            for byte in self._answer:
                try:
                    connection.sendall(bytes([byte]))
                except OSError:
                    return
                time.sleep(self._pause_s)


class StalledUpstream(RawUpstream):
    """Responds after reading the start of a request, and reads no more."""

    def __init__(self, *, answer: bytes):
        self._over = threading.Event()
        super().__init__(answer=answer, then="keeps", buffer_bytes=STALLED_BUFFER_BYTES)

    def close(self) -> None:
        self._over.set()
        super().close()

    def _serve(self, connection: socket.socket) -> None:
        with connection:
            connection.recv(16)
            connection.sendall(self._answer)
            self._over.wait()


class ResettingUpstream(RawUpstream):
    """Responds after reading the start of a request, and resets the connection."""

    def __init__(self, *, answer: bytes):
        super().__init__(answer=answer, then="reset", buffer_bytes=STALLED_BUFFER_BYTES)

    def _serve(self, connection: socket.socket) -> None:
        with connection:
            connection.recv(16)
            connection.sendall(self._answer)
            time.sleep(RESPONSE_PAUSE_S)
            linger = struct.pack("ii", 1, 0)
            connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)


def send(context, cancel_handle: CancelHandle | None = None):
    sent = context.connection_pool.send(
        cancel_handle=cancel_handle or CancelHandle(),
        method="GET",
        target="/a/../b?c=%2f",
        headers={"Host": "test"},
        body=b"",
        head_timeout_s=HEAD_TIMEOUT_S,
        ends_s=time.monotonic() + CONNECTION_TIMEOUT_MAX_S,
    )
    return sent


def outcome(sent, within_s: float = HEAD_TIMEOUT_S) -> str:
    if isinstance(sent, Err):
        error = sent.err_value
        if isinstance(error, NotSent):
            return "not sent"
        return "timed out" if error.timed_out else "no response"
    response = sent.ok_value
    try:
        body = response.read_all(time.monotonic() + within_s, SystemClock())
    except IncompleteResponse as error:
        response.close(keep=False)
        return "incomplete, timed out" if error.timed_out else "incomplete"
    response.close(keep=True)
    assert body == b"whole", body
    return "complete"


def use_upstream(context, raw: RawUpstream) -> None:
    context.raw = raw
    context.add_cleanup(raw.close)
    context.connection_pool = ConnectionPool(
        host=HOST, port=raw.port, clock=SystemClock()
    )
    context.add_cleanup(context.connection_pool.close_idle)


@given('an upstream that sends "{text}" and then "{then}"')
def step_upstream(context, text, then):
    use_upstream(context, RawUpstream(answer=unescaped(text), then=then))


@given('an upstream that sends "" and then "{then}"')
def step_silent_upstream(context, then):
    step_upstream(context, "", then)


@given('an upstream that sends "{text}" at {ms:d} ms a byte')
def step_trickling(context, text, ms):
    raw = TricklingUpstream(answer=unescaped(text), pause_s=ms / 1000)
    use_upstream(context, raw)


@when("a request is sent to it, with {seconds:g} s for its response")
def step_send_within(context, seconds):
    began_s = time.monotonic()
    sent = context.connection_pool.send(
        cancel_handle=CancelHandle(),
        method="GET",
        target="/",
        headers={"Host": "test"},
        body=b"",
        head_timeout_s=seconds,
        ends_s=began_s + seconds,
    )
    context.outcomes = [outcome(sent, seconds)]
    context.took_s = time.monotonic() - began_s


@given("a port on which nothing listens")
def step_no_listener(context):
    context.connection_pool = ConnectionPool(
        host=HOST, port=free_port(), clock=SystemClock()
    )


@when("a request is sent to it")
def step_send(context):
    context.outcomes = [outcome(send(context))]


@when("a request is sent to it, twice")
def step_send_twice(context):
    context.outcomes = [outcome(send(context)), outcome(send(context))]


@when("a request is sent to it and cancelled after {ms:d} ms")
def step_cancelled(context, ms):
    cancel_handle = CancelHandle()
    timer = threading.Timer(ms / 1000, cancel_handle.cancel)
    timer.start()
    began_s = time.monotonic()
    context.outcomes = [outcome(send(context, cancel_handle))]
    context.took_s = time.monotonic() - began_s
    timer.join()


@when("a request is completed and cancelled afterwards")
def step_cancelled_late(context):
    cancel_handle = CancelHandle()
    assert outcome(send(context, cancel_handle)) == "complete"
    cancel_handle.detach()
    second = send(context)
    cancel_handle.cancel()
    context.outcomes = [outcome(second)]


@when('a request is sent to it, and "{who}" aborts it after its head')
def step_aborted(context, who):
    cancel_handle = CancelHandle()
    sent = send(context, cancel_handle)
    time.sleep(RESPONSE_PAUSE_S)
    if who == "its caller":
        cancel_handle.cancel()
    else:
        context.connection_pool.abort()
    context.outcomes = [outcome(sent)]


@given('an upstream that sends "{text}" and resets unread requests')
def step_resets_unread(context, text):
    use_upstream(context, ResettingUpstream(answer=unescaped(text)))


@when("a request too long for the socket's buffers is sent to it")
def step_send_long(context):
    sent = context.connection_pool.send(
        cancel_handle=CancelHandle(),
        method="POST",
        target="/",
        headers={"Host": "test"},
        body=bytes(LONG_BODY_BYTES),
        head_timeout_s=CONNECTION_TIMEOUT_MAX_S,
        ends_s=time.monotonic() + CONNECTION_TIMEOUT_MAX_S,
    )
    context.outcomes = [outcome(sent)]


@then('its outcome is not "{outcome}"')
def step_other_outcome(context, outcome):
    assert outcome not in context.outcomes, context.outcomes


@given('an upstream that sends "{text}" and reads nothing more')
def step_stalled(context, text):
    use_upstream(context, StalledUpstream(answer=unescaped(text)))


@given('an upstream that sends "" and reads nothing more')
def step_silent_stalled(context):
    step_stalled(context, "")


@when("a long request with extensible read timeouts is sent to it")
def step_send_extensible(context):
    context.read_timeouts = 0

    def on_read_timeout() -> float:
        context.read_timeouts += 1
        return CONNECTION_TIMEOUT_MAX_S

    sent = context.connection_pool.send(
        cancel_handle=CancelHandle(),
        method="POST",
        target="/",
        headers={"Host": "test"},
        body=bytes(STALLED_BODY_BYTES),
        head_timeout_s=CONNECTION_TIMEOUT_MAX_S,
        ends_s=time.monotonic() + CONNECTION_TIMEOUT_MAX_S,
        on_read_timeout=on_read_timeout,
    )
    context.outcomes = [outcome(sent, CONNECTION_TIMEOUT_MAX_S)]


@then('its outcome is "{wanted}", and no read timed out before')
def step_outcome_without_timeout(context, wanted):
    assert (context.outcomes, context.read_timeouts) == ([wanted], 0), (
        context.outcomes,
        context.read_timeouts,
    )


@then('its outcome is "{wanted}"')
def step_outcome(context, wanted):
    assert context.outcomes == [wanted], context.outcomes


@then('its outcome is "{wanted}" within {ms:d} ms')
def step_outcome_within(context, wanted, ms):
    assert context.outcomes == [wanted], context.outcomes
    assert context.took_s < ms / 1000, context.took_s


@then('both outcomes are "{wanted}" and the upstream saw {count:d} connections')
def step_both(context, wanted, count):
    assert context.outcomes == [wanted, wanted], context.outcomes
    assert context.raw.connections == count, context.raw.connections


@then('both outcomes are "complete" over {count:d} connection')
@then('both outcomes are "complete" over {count:d} connections')
def step_connections(context, count):
    assert context.outcomes == ["complete", "complete"], context.outcomes
    assert context.raw.connections == count, context.raw.connections


@then("the next request on its connection is complete")
def step_next_complete(context):
    assert context.outcomes == ["complete"], context.outcomes
    assert context.raw.connections == 1


@when("a request is sent to it after its time, and another one in time")
def step_send_late(context):
    late = context.connection_pool.send(
        cancel_handle=CancelHandle(),
        method="GET",
        target="/",
        headers={"Host": "test"},
        body=b"",
        head_timeout_s=HEAD_TIMEOUT_S,
        ends_s=time.monotonic() - 0.001,
    )
    context.outcomes = [outcome(late), outcome(send(context))]


@then('their outcomes are "{first}" and "{second}", and one request arrived')
def step_outcomes(context, first, second):
    assert context.outcomes == [first, second], context.outcomes
    assert context.raw.requests == 1, context.raw.requests
