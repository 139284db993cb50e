"""Steps about responses of which bytes are lost, or sent twice, on their way."""

import re
import socket
import struct
import threading
import time

import attrs
from behave import given, then, when
from hypothesis import strategies

from features.helper import fuzz
from lavenderspoke.clock import SystemClock
from lavenderspoke.direct.exchange import (
    CancelHandle,
    ConnectionPool,
    IncompleteResponse,
)
from lavenderspoke.direct.runproof import Finding, finding_of
from lavenderspoke.http.framing import Framing
from lavenderspoke.platform.wire import PlatformDialect
from standins.processes import HOST

EXAMPLES = 600
FAULTS_MAX = 3
TIMEOUT_S = 0.5
# Time before a reset, in seconds: it may overtake what was sent before it.
RESET_AFTER_S = 0.002
PROMISES = (Finding.NOT_EXECUTED, Finding.MISDIRECTED)
FRAMING_FIELD = re.compile(rb"Transfer-Encoding:|Content-Length: \d+")
RESET = struct.pack("ii", 1, 0)
HEAD = b"X-Attempt-Id: mine\r\nX-Response-Signature: s1\r\n"
NEXT_BODY = b"the next"
NEXT = (
    b"HTTP/1.1 200 OK\r\nX-Attempt-Id: next\r\nX-Response-Signature: s2\r\n"
    b"Content-Length: 8\r\n\r\n" + NEXT_BODY
)


@attrs.frozen(kw_only=True)
class Sample:
    """A response and its body.

    A head with another length, or without the field that frames its body, is sound and
    means something else (RFC 9112, section 6.3). So are a byte more or less in a body
    with a length, or with none, and a line feed before it.
    """

    data: bytes
    body: bytes
    is_refusal: bool = False
    has_free_body: bool = False

    @property
    def faulty_bytes(self) -> list[int]:
        """The bytes at which a fault can be told from another response."""
        end = len(self.data) - (len(self.body) if self.has_free_body else 0)
        frames = FRAMING_FIELD.search(self.data)
        means_another = range(*frames.span()) if frames else ()
        head_end = self.data.index(b"\r\n\r\n") + 3
        return [at for at in range(end) if at not in (*means_another, head_end)]


def event(number: int) -> bytes:
    return b"id: %d\ndata: piece %d\n\n" % (number, number)


def chunk(content: bytes, extension: bytes = b"") -> bytes:
    return b"%x%b\r\n%b\r\n" % (len(content), extension, content)


EVENTS = [event(number) for number in range(3)]
SHORT = [b"".join(EVENTS)[at : at + 7] for at in range(0, len(b"".join(EVENTS)), 7)]
SAMPLES = {
    "an answer with a length": Sample(
        data=b"HTTP/1.1 200 OK\r\n" + HEAD + b"Content-Length: 11\r\n\r\nthe content",
        body=b"the content",
        has_free_body=True,
    ),
    "an answer in chunks": Sample(
        data=b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n"
        + HEAD
        + b"\r\n"
        + chunk(b"the content ", b";n=1")
        + chunk(b"is here, in chunks")
        + b"0\r\nX-Trailer: t\r\n\r\n",
        body=b"the content is here, in chunks",
    ),
    "a stream in short chunks": Sample(
        data=b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n"
        + HEAD
        + b"\r\n"
        + b"".join(map(chunk, SHORT))
        + b"0\r\n\r\n",
        body=b"".join(EVENTS),
    ),
    "an answer that ends by closing": Sample(
        data=b"HTTP/1.1 200 OK\r\n" + HEAD + b"X-Note: n\r\n\r\nthe content",
        body=b"the content",
        has_free_body=True,
    ),
    "a refusal": Sample(
        data=b"HTTP/1.1 503 Full\r\nX-Not-Executed: 1\r\n"
        + HEAD
        + b"Content-Length: 4\r\n\r\nfull",
        body=b"full",
        is_refusal=True,
        has_free_body=True,
    ),
}
CHANGES = {
    "cut off and closed": lambda data, at: data[:at],
    "cut off and reset": lambda data, at: data[:at],
    "with the byte twice": lambda data, at: data[: at + 1] + data[at:],
    "without the byte": lambda data, at: data[:at] + data[at + 1 :],
    "up to the byte, and then once more": lambda data, at: data[:at] + data,
}


@attrs.frozen(kw_only=True)
class Got:
    """What a request got: what its head proves, and its body if that is whole."""

    finding: Finding | None
    body: bytes | None = None


class Upstream:
    """Sends what it is told on each connection, and closes it then."""

    def __init__(self):
        self._dialect = PlatformDialect()
        self._listener = socket.create_server((HOST, 0), backlog=16)
        self._responses: list[bytes] = []
        self._resets = False
        self._thread = threading.Thread(target=self._serve, daemon=True)
        self._thread.start()

    def close(self) -> None:
        self._listener.close()

    def exchange(self, *responses: bytes, resets: bool = False) -> list[Got]:
        """Send a request for each of these responses on one connection, if it lasts."""
        self._responses, self._resets = list(responses), resets
        pool = ConnectionPool(
            host=HOST, port=self._listener.getsockname()[1], clock=SystemClock()
        )
        names = ("mine", "next")[: len(responses)]
        got = [self._request(pool, name) for name in names]
        pool.close_idle()
        return got

    def _request(self, pool: ConnectionPool, name: str) -> Got:
        headers = (("X-Attempt-Id", name), ("Host", "test"))
        head = self._dialect.parse_request("POST", "/", headers).unwrap()
        sent = pool.send(
            cancel_handle=CancelHandle(),
            method="POST",
            target="/",
            headers=dict(headers),
            body=b"",
            head_timeout_s=TIMEOUT_S,
            ends_s=time.monotonic() + TIMEOUT_S,
        )
        if sent.is_err():
            return Got(finding=None)
        response = sent.ok_value
        finding = finding_of(response, head, self._dialect)
        try:
            body = b""
            while data := response.read(TIMEOUT_S):
                body += data
        except IncompleteResponse:
            body = None
        is_whole = body is not None and response.framing is not Framing.INVALID
        response.close(keep=is_whole and finding.is_of_upstream)
        return Got(finding=finding, body=body if is_whole else None)

    def _serve(self) -> None:
        while True:
            try:
                connection, _ = self._listener.accept()
            except OSError:
                return
            with connection:
                self._answer(connection)

    def _answer(self, connection: socket.socket) -> None:
        connection.settimeout(TIMEOUT_S)
        while self._responses:
            try:
                if not connection.recv(65536):
                    return
                connection.sendall(self._responses.pop(0))
            except OSError:
                return
        if self._resets:
            time.sleep(RESET_AFTER_S)
            connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)


def start_upstream(context) -> Upstream:
    context.upstream = Upstream()
    context.add_cleanup(context.upstream.close)
    return context.upstream


def is_wrong(sample: Sample, got: Got) -> bool:
    """Return whether an answer would pass for whole that isn't what was sent."""
    return got.finding is Finding.ANSWER and got.body not in (None, sample.body)


@given("a response that is {kind}")
def step_response(context, kind):
    context.sample = SAMPLES[kind]
    start_upstream(context)


@when("it comes {change}, at each of its bytes in turn")
def step_each_byte(context, change):
    context.got = {}
    for at in context.sample.faulty_bytes:
        data = CHANGES[change](context.sample.data, at)
        [context.got[at]] = context.upstream.exchange(
            data, resets=change == "cut off and reset"
        )


@then("it counts as whole only with the body that was sent")
def step_whole(context):
    sample = context.sample
    wrong = {
        at: (sample.data[:at][-30:], each)
        for at, each in context.got.items()
        if is_wrong(sample, each)
    }
    assert not wrong, wrong


@then('it promises "not run" only if it was a refusal')
def step_promises(context):
    promised = [at for at, got in context.got.items() if got.finding in PROMISES]
    assert context.sample.is_refusal or not promised, promised


@when("it comes {change}, at each of its bytes in turn, before the next response")
def step_before_next(context, change):
    context.got = {}
    for at in context.sample.faulty_bytes:
        data = CHANGES[change](context.sample.data, at)
        _, context.got[at] = context.upstream.exchange(data, NEXT)


@then("no next request gets anything but its own response, or an error")
def step_next(context):
    wrong = {
        at: got
        for at, got in context.got.items()
        if got.finding is Finding.ANSWER and got.body not in (None, NEXT_BODY)
    }
    promised = [at for at, got in context.got.items() if got.finding in PROMISES]
    assert not wrong and not promised, (wrong, promised)


faults = strategies.lists(
    strategies.tuples(
        strategies.sampled_from(sorted(CHANGES)),
        strategies.floats(0.0, 1.0, exclude_max=True),
    ),
    min_size=1,
    max_size=FAULTS_MAX,
)


@when("responses of all kinds come with up to three such faults at any bytes")
def step_several(context):
    upstream = start_upstream(context)
    context.wrong, context.promised = [], []

    def check(drawn) -> None:
        kind, changes = drawn
        sample = SAMPLES[kind]
        data = sample.data
        # From the last byte to the first, so that each fault is where it was drawn.
        for change, share in sorted(changes, key=lambda each: each[1], reverse=True):
            at = sample.faulty_bytes[int(share * len(sample.faulty_bytes))]
            data = CHANGES[change](data, at)
        [got] = upstream.exchange(data)
        if is_wrong(sample, got):
            context.wrong.append((kind, changes, data, got))
        if got.finding in PROMISES and not sample.is_refusal:
            context.promised.append((kind, changes, data, got))

    kinds = strategies.sampled_from(sorted(SAMPLES))
    fuzz(strategies.tuples(kinds, faults), check, EXAMPLES)


@then("each counts as whole only with the body that was sent")
def step_each_whole(context):
    assert not context.wrong, (len(context.wrong), context.wrong[:3])


@then('no answer among them promises "not run"')
def step_none_promises(context):
    assert not context.promised, context.promised[:3]
