"""One request to an upstream and its answer, over pooled connections.

A connection is kept for another request only after an answer that came whole,
that was meant for the request, and behind which nothing more was sent. Bytes
left behind one answer would be read as the start of the next.
"""

import errno
import functools
import http.client
import io
import select
import socket
import threading
from collections.abc import Callable, Mapping

import attrs
import logbook
from result import Err, Ok, Result
from urllib3.connection import HTTPConnection
from urllib3.exceptions import HTTPError
from urllib3.util.connection import is_connection_dropped

from lavenderspoke.clock import Clock
from lavenderspoke.http.hopbyhop import Headers

# A handshake takes a few milliseconds inside a data centre and some ten between
# them; in seconds, short enough that another upstream can still be tried.
CONNECT_TIMEOUT_S = 0.4
# Data that stays unacknowledged so long means that the other side is away: in
# milliseconds, as TCP_USER_TIMEOUT takes it.
UNACKNOWLEDGED_MS = 1500
# Probes on silent connections, in seconds and in number: a machine that lost
# power is noticed after three seconds although it never resets anything.
KEEPALIVE_IDLE_S = 1
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_PROBES = 2
# A connection is not used within this time, in seconds, of its idle limit: the
# request would cross the upstream's close.
IDLE_MARGIN_S = 1.0
# Idle limit in seconds where the upstream states none.
IDLE_DEFAULT_S = 4.0
READ_BYTES = 64 * 1024

SOCKET_OPTIONS = [
    (socket.IPPROTO_TCP, socket.TCP_NODELAY, 1),
    (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, UNACKNOWLEDGED_MS),
    (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S),
    (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S),
    (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES),
]

OnReadTimeout = Callable[[], float]
"""Returns for how many seconds more a silent upstream is waited for; 0 gives it up.

Asked on the reading thread, each time that the upstream has said nothing for as
long as it was given.
"""

log = logbook.Logger(__name__)


def give_up() -> float:
    """Give a silent upstream up at once."""
    return 0.0


@attrs.frozen(kw_only=True)
class NotSent:
    """No connection was made, so the request has not run."""

    detail: str


@attrs.frozen(kw_only=True)
class NoResponse:
    """The request may have run; no head of an answer came."""

    detail: str
    timed_out: bool = False


class IncompleteResponse(Exception):
    """An answer ended before it was whole, or was silent for too long."""

    def __init__(self, detail: str, *, timed_out: bool = False):
        super().__init__(detail)
        self.timed_out = timed_out


class _Raw(socket.SocketIO):
    """A socket's reader that stops reading once the answer has ended.

    Waiting on after a silence has to happen down here: a timeout that reaches the
    buffered reader above loses what that has taken of an unfinished line.
    """

    ended = False

    def __init__(self, sock: socket.socket, on_read_timeout: OnReadTimeout):
        super().__init__(sock, "rb")
        self.on_read_timeout = on_read_timeout

    def readinto(self, buffer):
        if self.ended:
            return None
        self._checkClosed()
        while True:
            try:
                return self._sock.recv_into(buffer)
            except TimeoutError as error:
                if _given_up(error):
                    raise
                more_s = self.on_read_timeout()
                if more_s <= 0.0:
                    raise
                self._sock.settimeout(more_s)


class _Response(http.client.HTTPResponse):
    """A response that notices bytes behind its end."""

    def __init__(self, sock, *args, on_read_timeout: OnReadTimeout = give_up, **kwargs):
        super().__init__(sock, *args, **kwargs)
        self.fp.close()
        self._raw = _Raw(sock, on_read_timeout)
        sock._io_refs += 1
        self.fp = io.BufferedReader(self._raw)
        self.followed = False

    def _close_conn(self):
        # What the reader has buffered beyond this answer would be lost with it,
        # and the rest would be read as the start of the next answer.
        self._raw.ended = True
        self.followed = bool(self.fp.peek(1))
        super()._close_conn()


@attrs.define(kw_only=True, eq=False)
class _Idle:
    connection: HTTPConnection
    until_s: float


class UpstreamResponse:
    """An answer whose head has come.

    `read` returns the next bytes as they come and nothing at its whole end. A silence
    that is longer than its timeout lasts as long as `on_read_timeout` says.
    """

    def __init__(self, *, connection: HTTPConnection, response, pool: "ConnectionPool"):
        self.status: int = response.status
        self.headers: Headers = tuple(response.headers.items())
        self._connection = connection
        self._response = response
        # Kept, since the connection gives it up when its answer is the last.
        self._socket = self._raw_response()._raw._sock
        self._pool = pool
        self._whole = False

    def header(self, name: str) -> str:
        """Return a header's value, or an empty string."""
        return self._response.headers.get(name, "")

    def read(self, timeout_s: float) -> bytes:
        """Return the next bytes within `timeout_s`; raises IncompleteResponse."""
        if self._whole:
            return b""
        try:
            self._socket.settimeout(max(0.001, timeout_s))
            data = self._raw_response().read1(READ_BYTES)
        except TimeoutError as error:
            detail = str(error) if _given_up(error) else "silent for too long"
            raise IncompleteResponse(detail, timed_out=True) from error
        except (http.client.HTTPException, OSError, ValueError) as error:
            raise IncompleteResponse(f"{type(error).__name__}: {error}") from error
        if not data:
            self._check_whole()
        return data

    def read_all(self, until_s: float, clock: Clock) -> bytes:
        """Return the rest of the answer; raises IncompleteResponse."""
        parts = []
        while data := self.read(until_s - clock.monotonic_s()):
            parts.append(data)
        return b"".join(parts)

    def has_unread_data(self) -> bool:
        """Return whether anything has come that wasn't read, also an end."""
        return _has_unread_data(self._socket)

    def enforce_read_timeouts(self) -> None:
        """Have silences from now on last no longer than their reads' timeouts."""
        self._raw_response()._raw.on_read_timeout = give_up

    def cancel(self) -> None:
        """Break it off, from any thread; its reader gets IncompleteResponse."""
        _shut(self._socket)

    def close(self, *, keep: bool) -> None:
        """Give the connection back, or close it unless the answer came whole."""
        reusable = (
            keep
            and self._whole
            and not self._raw_response().followed
            and self._connection.sock is not None
            and self.header("Connection").lower() != "close"
        )
        if reusable:
            self._pool.release(self._connection, self.header("Keep-Alive"))
            return
        self._response.close()
        self._pool.discard(self._connection)

    def _check_whole(self) -> None:
        response = self._raw_response()
        if response.length not in (None, 0):
            raise IncompleteResponse(f"{response.length} bytes are missing")
        response._close_conn() if response.fp is not None else None
        self._whole = True

    def _raw_response(self) -> _Response:
        return self._response._original_response


class RequestHandle:
    """A request on its way, so that another thread can break it off."""

    def __init__(self):
        self._lock = threading.Lock()
        self._connection: HTTPConnection | None = None
        self._exchange: UpstreamResponse | None = None
        self.cancelled = False

    def cancel(self) -> None:
        """Break off whatever is under way, now or soon; from any thread."""
        with self._lock:
            self.cancelled = True
            if self._exchange is not None:
                self._exchange.cancel()
            elif self._connection is not None and self._connection.sock is not None:
                _shut(self._connection.sock)

    def has_unread_data(self) -> bool:
        """Return whether anything of the answer has come that wasn't read."""
        with self._lock:
            if self._exchange is not None:
                return self._exchange.has_unread_data()
            sock = self._connection.sock if self._connection is not None else None
            return sock is not None and _has_unread_data(sock)

    def detach(self) -> None:
        """Let go: the connection may be another request's from now on.

        Without this, a caller that leaves just after its answer would cut off
        the next request on the same connection.
        """
        self.attach(None, None)

    def attach(
        self, connection: HTTPConnection | None, exchange: UpstreamResponse | None
    ) -> bool:
        """Note what is under way; return False if it was broken off before."""
        with self._lock:
            self._connection = connection
            self._exchange = exchange
            return not self.cancelled


class ConnectionPool:
    """The connections of one upstream incarnation; used by many threads."""

    def __init__(self, *, host: str, port: int, clock: Clock):
        self._host = host
        self._port = port
        self._clock = clock
        self._idle: list[_Idle] = []
        self._busy: set[HTTPConnection] = set()
        self._lock = threading.Lock()

    def send(
        self,
        *,
        handle: RequestHandle,
        method: str,
        target: str,
        headers: Mapping[str, str],
        body: bytes,
        head_timeout_s: float,
        on_read_timeout: OnReadTimeout = give_up,
    ) -> Result[UpstreamResponse, NotSent | NoResponse]:
        """Send a request and wait for the head of its answer.

        `on_read_timeout` is also asked in the silences of the answer's body.
        """
        connection = self._idle_connection()
        if connection is None:
            opened = self._open()
            if opened.is_err():
                return opened
            connection = opened.ok_value
        with self._lock:
            self._busy.add(connection)
        if not handle.attach(connection, None):
            self.discard(connection)
            return Err(NotSent(detail="the caller has gone"))
        connection.response_class = functools.partial(
            _Response, on_read_timeout=on_read_timeout
        )
        sent = self._exchange(connection, method, target, headers, body, head_timeout_s)
        if sent.is_err():
            self.discard(connection)
            handle.attach(None, None)
            return sent
        exchange = sent.ok_value
        if not handle.attach(connection, exchange):
            exchange.cancel()
        return sent

    def release(self, connection: HTTPConnection, keep_alive: str) -> None:
        """Keep a connection whose last answer came whole."""
        idle_s = _keep_alive_s(keep_alive) - IDLE_MARGIN_S
        if idle_s <= 0.0:
            self.discard(connection)
            return
        until_s = self._clock.monotonic_s() + idle_s
        with self._lock:
            self._busy.discard(connection)
            self._idle.append(_Idle(connection=connection, until_s=until_s))

    def discard(self, connection: HTTPConnection) -> None:
        """Close a connection."""
        with self._lock:
            self._busy.discard(connection)
        connection.close()

    def close_idle(self) -> None:
        """Close the connections that nobody uses."""
        with self._lock:
            idle, self._idle = self._idle, []
        for each in idle:
            each.connection.close()

    def abort(self) -> None:
        """Break off all requests on their way; what has come can still be read."""
        with self._lock:
            sockets = [each.sock for each in self._busy if each.sock is not None]
        for sock in sockets:
            _shut(sock)

    def _idle_connection(self) -> HTTPConnection | None:
        now_s = self._clock.monotonic_s()
        while True:
            with self._lock:
                if not self._idle:
                    return None
                # The newest first: the others reach their idle limit and go.
                idle = self._idle.pop()
            connection = idle.connection
            if now_s < idle.until_s and not is_connection_dropped(connection):
                return connection
            connection.close()

    def _open(self) -> Result[HTTPConnection, NotSent]:
        connection = HTTPConnection(
            self._host,
            self._port,
            timeout=CONNECT_TIMEOUT_S,
            socket_options=SOCKET_OPTIONS,
        )
        try:
            connection.connect()
        except (HTTPError, OSError) as error:
            connection.close()
            return Err(NotSent(detail=f"{type(error).__name__}: {error}"))
        return Ok(connection)

    def _exchange(
        self, connection, method, target, headers, body, head_timeout_s
    ) -> Result[UpstreamResponse, NoResponse]:
        connection.timeout = max(0.001, head_timeout_s)
        try:
            self._write(connection, method, target, headers, body)
            response = connection.getresponse()
        except TimeoutError as error:
            return Err(NoResponse(detail=str(error), timed_out=True))
        except (HTTPError, http.client.HTTPException, OSError, ValueError) as error:
            return Err(NoResponse(detail=f"{type(error).__name__}: {error}"))
        return Ok(UpstreamResponse(connection=connection, response=response, pool=self))

    @staticmethod
    def _write(connection, method, target, headers, body) -> None:
        try:
            connection.request(
                method,
                target,
                body=body or None,
                headers=headers,
                preload_content=False,
                decode_content=False,
            )
        except OSError as error:
            # The upstream answered before it had read the body and closed: the
            # answer may still be there.
            if error.errno not in (errno.EPIPE, errno.ECONNRESET):
                raise
            log.info("body was not taken", error=str(error))


def _keep_alive_s(header: str) -> float:
    """Return the idle limit in seconds that a Keep-Alive header states.

    >>> _keep_alive_s("timeout=5, max=100")
    5.0
    """
    for part in header.split(","):
        name, _, value = part.strip().partition("=")
        if name.lower() == "timeout" and value.isdigit():
            return float(value)
    return IDLE_DEFAULT_S


def _has_unread_data(sock: socket.socket) -> bool:
    poll = select.poll()
    poll.register(sock, select.POLLIN)
    return bool(poll.poll(0))


def _given_up(error: TimeoutError) -> bool:
    """Return whether the kernel gave the connection up, and not just this wait.

    The socket says so once. Read again, it seems to have come to the end of what was
    sent, and half an answer of unknown length would pass for a whole one.
    """
    return error.errno == errno.ETIMEDOUT


def _shut(sock: socket.socket) -> None:
    try:
        sock.shutdown(socket.SHUT_RDWR)
    except OSError as error:
        # It has been closed or reset already, which is what was wanted.
        log.debug("shutdown of a closed socket", error=str(error))
