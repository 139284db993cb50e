"""Requests to an upstream and their responses, over pooled connections.

A connection is reused only after a response that was complete, belonged to the request
and was not followed by more bytes. Bytes left over from one response would be parsed as
the start of the next.
"""

import enum
import errno
import functools
import http.client
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
from lavenderspoke.http.boundedresponse import (
    BoundedResponse,
    OnReadTimeout,
    ReadBounds,
    has_kernel_timed_out,
    no_caller_check,
    no_extension,
)
from lavenderspoke.http.framing import INVALID_DETAIL, Framing, framing_of
from lavenderspoke.http.hopbyhop import Headers
from lavenderspoke.http.keepalive import idle_limit_s
from lavenderspoke.http.lateresponses import NameOf, SentRequests, unnamed
from lavenderspoke.observing.metrics import Metrics
from lavenderspoke.resources.clientmemory import Holding
from lavenderspoke.resources.heldbody import HeldBody

# Timeout of a TCP connect, in seconds; short enough that another upstream can still be
# tried. A handshake takes a few milliseconds within a data centre and some ten between.
CONNECT_TIMEOUT_S = 0.4
# The same to find out whether an upstream still listens, in seconds. A process that has
# ended refuses at once; a caller waits meanwhile.
CHECK_TIMEOUT_S = 0.1
MS_PER_S = 1000.0
# How long data may stay unacknowledged before the connection is given up, in
# milliseconds, the unit of TCP_USER_TIMEOUT.
TCP_USER_TIMEOUT_MS = 1500
# TCP keep-alive probes, in seconds and in number: a machine that lost power is detected
# after three seconds although it sends no reset.
KEEPALIVE_IDLE_S = 1
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_PROBES = 2
# A connection is not reused during this time, in seconds, before its idle limit, since
# the upstream might close it while the request is on its way.
REUSE_MARGIN_S = 1.0
READ_BYTES_MAX = 64 * 1024
# The longest body that is held until its end, in bytes.
BODY_BYTES_MAX = 16 * 1024 * 1024
WRITE_WAIT_MIN_S = 0.001
CONNECTIONS_METRIC = "direct_connections"
FRAMING_METRIC = "direct_response_framing"
LATE_METRIC = "direct_late_responses"

SOCKET_OPTIONS = [
    (socket.IPPROTO_TCP, socket.TCP_NODELAY, 1),
    (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, TCP_USER_TIMEOUT_MS),
    (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S),
    (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S),
    (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES),
]

log = logbook.Logger(__name__)


@attrs.frozen(kw_only=True)
class NotSent:
    """Nothing was sent, so the request has not run.

    If the connection was `refused`, nothing listens at the address. If it was `late`,
    the connection opened after the request's end.
    """

    detail: str
    refused: bool = False
    late: bool = False


@attrs.frozen(kw_only=True)
class NoResponse:
    """No whole response head arrived; the request may have run."""

    detail: str
    timed_out: bool = False
    received_bytes: int = 0


class IncompleteResponse(Exception):
    """A response can't be used to its end: it broke off, timed out or is invalid."""

    def __init__(self, detail: str, *, timed_out: bool = False):
        super().__init__(detail)
        self.timed_out = timed_out


class _UpstreamConnection(HTTPConnection):
    """A connection that can be aborted from any thread.

    The socket of an aborted or failed connection reads as ended, which says nothing
    about the response: `is_end_genuine` then is False.
    """

    def __init__(self, *args, **kwargs):
        super().__init__(*args, **kwargs)
        self.is_end_genuine = True
        self.opened_socket: socket.socket | None = None
        self.bounds: ReadBounds | None = None
        self.sent_requests = SentRequests()

    def send(self, data) -> None:
        # Each of several parts would otherwise have the whole timeout.
        left_s = self.bounds.left_s(self.bounds.clock.monotonic_s())
        self.sock.settimeout(max(WRITE_WAIT_MIN_S, left_s))
        super().send(data)

    def connect(self) -> None:
        super().connect()
        # Kept because `sock` is dropped once the upstream says that it closes.
        self.opened_socket = self.sock

    def cancel(self) -> None:
        """End what is in flight, and read nothing more."""
        if self.bounds is not None:
            self.bounds.stop()
        self.abort()

    def abort(self) -> None:
        """End what is in flight; data that has arrived can still be read."""
        sock = self.opened_socket
        if sock is None:
            return
        if not _has_peer_ended(sock):
            self.is_end_genuine = False
        _shut_down(sock)


class ConnectionUse(enum.StrEnum):
    """Where a request's connection came from, or why one was not kept.

    - `NEW`, `REUSED`: a request was sent over it.
    - `CLOSED_BY_UPSTREAM`: the response said that the upstream closes it.
    - `NOT_READ_TO_END`: the response was incomplete, broken off or cancelled.
    - `EXTRA_BYTES`: bytes followed the response.
    - `REFUSED_KEEPING`: the response isn't that of the upstream asked for.
    - `IDLE_LIMIT_SHORT`: the upstream closes idle ones too soon for any reuse.
    - `IDLE_EXPIRED`: no request came before its idle limit.
    - `CLOSED_WHILE_IDLE`: the upstream closed it, or sent on it, before its idle limit.
    - `NO_RESPONSE`: no response came over it, or the caller left before.
    """

    NEW = "new"
    REUSED = "reused"
    CLOSED_BY_UPSTREAM = "closed_by_upstream"
    NOT_READ_TO_END = "not_read_to_end"
    EXTRA_BYTES = "extra_bytes"
    REFUSED_KEEPING = "refused_keeping"
    IDLE_LIMIT_SHORT = "idle_limit_short"
    IDLE_EXPIRED = "idle_expired"
    CLOSED_WHILE_IDLE = "closed_while_idle"
    NO_RESPONSE = "no_response"


@attrs.define(kw_only=True, eq=False)
class _IdleConnection:
    connection: _UpstreamConnection
    usable_until_s: float


class UpstreamResponse:
    """A response whose head has arrived.

    `read` returns the next bytes, and b"" after a complete response. When a read times
    out, `on_read_timeout` may grant more time, but none after the request's end.
    """

    def __init__(
        self,
        *,
        connection: _UpstreamConnection,
        method: str,
        response,
        pool: "ConnectionPool",
    ):
        self.status: int = response.status
        self.headers: Headers = tuple(response.headers.items())
        self.framing = framing_of(response, method=method)
        self._connection = connection
        self._response = response
        self._bounds = connection.bounds
        self._socket = connection.opened_socket
        self._pool = pool
        self._is_complete = False
        self.has_body_bytes = False

    def header(self, name: str) -> str:
        """Return a header's value, or an empty string."""
        return self._response.headers.get(name, "")

    @property
    def received_bytes(self) -> int:
        """The bytes received since the request was sent, its framing included."""
        return self._bounds.received_bytes

    def read(self, timeout_s: float | None) -> bytes:
        """Return the next bytes; raises IncompleteResponse.

        It waits at most `timeout_s`, and for as long as `on_read_timeout` adds. None
        continues the wait of the read before.
        """
        if self._is_complete:
            return b""
        try:
            if timeout_s is not None:
                self._bounds.expect_within(timeout_s)
            data = self._http_response().read1(READ_BYTES_MAX)
        except TimeoutError as error:
            detail = str(error) if has_kernel_timed_out(error) else "read timed out"
            raise IncompleteResponse(detail, timed_out=True) from error
        except (http.client.HTTPException, OSError, ValueError) as error:
            raise IncompleteResponse(f"{type(error).__name__}: {error}") from error
        if not data:
            self._check_complete()
        self.has_body_bytes |= bool(data)
        return data

    def end_if_arrived(self) -> bool:
        """Return whether the response is complete, without waiting for data.

        After the last event of a stream its caller may leave at once; the connection
        can be kept if the end of the response has been read before.
        """
        try:
            if not self._is_complete and self._http_response().is_end_next():
                self.read(0.0)
        except OSError as error:
            # The next read reports it.
            log.debug("end of response not read", error=str(error))
        return self._is_complete

    def read_all(
        self, deadline_s: float, clock: Clock, *, bytes_max: int = BODY_BYTES_MAX
    ) -> bytes:
        """Return the rest of the body; raises IncompleteResponse.

        A longer body than `bytes_max`, or than the entry has memory for, counts as
        incomplete. Nothing is awaited after `deadline_s`.
        """
        self._bounds.end_by(deadline_s)
        with HeldBody(kind=Holding.ANSWERS, bytes_max=bytes_max) as body:
            while data := self.read(deadline_s - clock.monotonic_s()):
                if not body.append(data, wait_s=deadline_s - clock.monotonic_s()):
                    raise IncompleteResponse("too long to be held until its end")
            return body.value()

    def is_readable(self) -> bool:
        """Return whether a read would return at once: data, the end or an error."""
        return _is_readable(self._socket)

    def enforce_read_timeouts(self) -> None:
        """Stop extending reads that time out."""
        self._bounds.on_read_timeout = no_extension

    def cancel(self) -> None:
        """Abort the response, from any thread; `read` raises once data runs out."""
        self._connection.abort()

    def close(self, *, keep: bool) -> None:
        """Release the connection if `keep` is set and it is reusable, else close it."""
        obstacle = self._obstacle_to_reuse(keep)
        if obstacle is None:
            self._pool.release(self._connection, self.header("Keep-Alive"))
            return
        self._response.close()
        self._pool.discard(self._connection, obstacle)

    def _obstacle_to_reuse(self, keep: bool) -> ConnectionUse | None:
        if not self._is_complete or self._http_response().trailer_lost:
            return ConnectionUse.NOT_READ_TO_END
        if self._http_response().has_extra_bytes:
            return ConnectionUse.EXTRA_BYTES
        if self._connection.sock is None or (
            self.header("Connection").lower() == "close"
        ):
            return ConnectionUse.CLOSED_BY_UPSTREAM
        return None if keep else ConnectionUse.REFUSED_KEEPING

    def _check_complete(self) -> None:
        response = self._http_response()
        if response.length not in (None, 0):
            raise IncompleteResponse(f"{response.length} bytes are missing")
        if self.framing is Framing.INVALID:
            raise IncompleteResponse(INVALID_DETAIL)
        is_proved = self._connection.is_end_genuine
        if self.framing is Framing.CONNECTION_END and not is_proved:
            raise IncompleteResponse("the connection was aborted or reset")
        response._close_conn() if response.fp is not None else None
        self._is_complete = True

    def _http_response(self) -> BoundedResponse:
        return self._response._original_response


class CancelHandle:
    """Lets another thread cancel a request in flight.

    `check_caller` is called on the reading thread now and then, and may call `cancel`.
    """

    def __init__(self, *, check_caller: Callable[[], None] = no_caller_check):
        self.check_caller = check_caller
        self._lock = threading.Lock()
        self._connection: _UpstreamConnection | None = None
        self._response: UpstreamResponse | None = None
        self.cancelled = False

    def cancel(self) -> None:
        """Abort what is attached, from any thread; a later `attach` returns False."""
        with self._lock:
            self.cancelled = True
            if self._connection is not None:
                self._connection.cancel()

    def is_readable(self) -> bool:
        """Return whether a read would return at once: data, the end or an error."""
        with self._lock:
            if self._response is not None:
                return self._response.is_readable()
            sock = self._connection.sock if self._connection is not None else None
            return sock is not None and _is_readable(sock)

    def detach(self) -> None:
        """Let go of the connection, which may serve another request from now on.

        Otherwise a caller that leaves just after its response would abort the next
        request on the same connection.
        """
        self.attach(None, None)

    def attach(
        self, connection: _UpstreamConnection | None, response: UpstreamResponse | None
    ) -> bool:
        """Set what `cancel` aborts; return False if `cancel` was called before."""
        with self._lock:
            self._connection = connection
            self._response = response
            return not self.cancelled


class ConnectionPool:
    """Connections to one upstream incarnation; thread-safe."""

    def __init__(
        self,
        *,
        host: str,
        port: int,
        clock: Clock,
        metrics: Metrics | None = None,
        name_of: NameOf = unnamed,
    ):
        self._host = host
        self._port = port
        self._clock = clock
        self._metrics = metrics or Metrics()
        self._name_of = name_of
        self._idle: list[_IdleConnection] = []
        self._busy: set[_UpstreamConnection] = set()
        self._lock = threading.Lock()

    def send(
        self,
        *,
        cancel_handle: CancelHandle,
        method: str,
        target: str,
        headers: Mapping[str, str],
        body: bytes,
        head_timeout_s: float,
        ends_s: float,
        on_read_timeout: OnReadTimeout = no_extension,
    ) -> Result[UpstreamResponse, NotSent | NoResponse]:
        """Send a request and wait for the response head.

        `on_read_timeout` is called when the head takes longer than `head_timeout_s`,
        and when a read of the body times out. Nothing is awaited after `ends_s`.
        """
        connection = self._take_idle_connection()
        if connection is None:
            opened = self._open()
            if opened.is_err():
                return opened
            connection = opened.ok_value
            self._count(ConnectionUse.NEW)
        else:
            self._count(ConnectionUse.REUSED)
        with self._lock:
            self._busy.add(connection)
        if not cancel_handle.attach(connection, None):
            self.discard(connection, ConnectionUse.NO_RESPONSE)
            return Err(NotSent(detail="the caller has gone"))
        if self._clock.monotonic_s() >= ends_s:
            cancel_handle.detach()
            self.discard(connection, ConnectionUse.NO_RESPONSE)
            return Err(NotSent(detail="no time left to send", late=True))
        connection.bounds = ReadBounds(
            clock=self._clock,
            ends_s=ends_s,
            on_read_timeout=on_read_timeout,
            check_caller=cancel_handle.check_caller,
        )
        connection.bounds.expect_within(head_timeout_s)
        connection.response_class = functools.partial(
            connection.sent_requests.expect(
                method=method,
                headers=headers,
                name_of=self._name_of,
                on_late=functools.partial(self._metrics.count, LATE_METRIC),
            ),
            bounds=connection.bounds,
        )
        sent = self._send_and_receive(connection, method, target, headers, body)
        if sent.is_err():
            self.discard(connection, ConnectionUse.NO_RESPONSE)
            cancel_handle.attach(None, None)
            return sent
        response = sent.ok_value
        if not cancel_handle.attach(connection, response):
            response.cancel()
        return sent

    def is_refused(self, *, settle_s: float = 0.0) -> bool | None:
        """Return whether nothing listens at the upstream's address, None if unknown.

        A process that is ending may close its listener last, so a connection that it
        ends within `settle_s` is opened once more. One that stays open is kept for the
        next request.
        """
        opened = self._open(CHECK_TIMEOUT_S)
        if isinstance(opened, Ok) and settle_s > 0.0:
            if _has_event(opened.ok_value.sock, select.POLLIN, settle_s):
                opened.ok_value.close()
                opened = self._open(CHECK_TIMEOUT_S)
        if isinstance(opened, Err):
            return True if opened.err_value.refused else None
        self._count(ConnectionUse.NEW)
        self.release(opened.ok_value, "")
        return False

    def release(self, connection: _UpstreamConnection, keep_alive: str) -> None:
        """Keep a connection for reuse until shortly before its idle limit."""
        idle_s = idle_limit_s(keep_alive) - REUSE_MARGIN_S
        if idle_s <= 0.0:
            self.discard(connection, ConnectionUse.IDLE_LIMIT_SHORT)
            return
        usable_until_s = self._clock.monotonic_s() + idle_s
        if connection.bounds is not None:
            connection.bounds.let_go()
        with self._lock:
            self._busy.discard(connection)
            self._idle.append(
                _IdleConnection(connection=connection, usable_until_s=usable_until_s)
            )

    def has_idle(self) -> bool:
        """Return whether a connection could be reused now, as far as known.

        It takes no lock and does not look at the socket, so that it costs little in the
        choice of an upstream. Another request may take the connection first.
        """
        newest = self._idle[-1:]
        return bool(newest) and self._clock.monotonic_s() < newest[0].usable_until_s

    def discard(self, connection: _UpstreamConnection, why: ConnectionUse) -> None:
        """Close a connection."""
        self._count(why)
        with self._lock:
            self._busy.discard(connection)
        connection.close()

    def close_used_up(self) -> None:
        """Close the idle connections that the upstream has closed or sends on."""
        with self._lock:
            if not self._idle:
                return
            poll = select.poll()
            for each in self._idle:
                poll.register(each.connection.sock, select.POLLIN)
            readable = {fd for fd, _ in poll.poll(0)}
            used_up = [e for e in self._idle if e.connection.sock.fileno() in readable]
            self._idle = [each for each in self._idle if each not in used_up]
        for each in used_up:
            self._count(ConnectionUse.CLOSED_WHILE_IDLE)
            each.connection.close()

    def close_idle(self) -> None:
        """Close the idle connections."""
        with self._lock:
            idle, self._idle = self._idle, []
        for each in idle:
            each.connection.close()

    def abort(self) -> None:
        """Abort all requests in flight; data that has arrived can still be read."""
        with self._lock:
            busy = list(self._busy)
        for connection in busy:
            connection.abort()

    def _take_idle_connection(self) -> _UpstreamConnection | None:
        now_s = self._clock.monotonic_s()
        while True:
            with self._lock:
                if not self._idle:
                    return None
                # Newest first, so that the others reach their idle limit.
                idle = self._idle.pop()
            connection = idle.connection
            if now_s >= idle.usable_until_s:
                self._count(ConnectionUse.IDLE_EXPIRED)
            elif is_connection_dropped(connection):
                self._count(ConnectionUse.CLOSED_WHILE_IDLE)
            else:
                return connection
            connection.close()

    def _count(self, use: ConnectionUse) -> None:
        self._metrics.count(CONNECTIONS_METRIC, use.value)

    def _open(
        self, timeout_s: float = CONNECT_TIMEOUT_S
    ) -> Result[_UpstreamConnection, NotSent]:
        connection = _UpstreamConnection(
            self._host,
            self._port,
            timeout=timeout_s,
            socket_options=SOCKET_OPTIONS,
        )
        try:
            connection.connect()
        except (HTTPError, OSError) as error:
            connection.close()
            return Err(
                NotSent(
                    detail=f"{type(error).__name__}: {error}",
                    refused=isinstance(error.__cause__, ConnectionRefusedError),
                )
            )
        return Ok(connection)

    def _send_and_receive(
        self, connection, method, target, headers, body
    ) -> Result[UpstreamResponse, NoResponse]:
        try:
            self._write(connection, method, target, headers, body)
            response = connection.getresponse()
        except (HTTPError, http.client.HTTPException, OSError, ValueError) as error:
            timed_out = isinstance(error, TimeoutError)
            return Err(
                NoResponse(
                    detail=str(error) if timed_out else _described(error),
                    timed_out=timed_out,
                    received_bytes=connection.bounds.received_bytes,
                )
            )
        received = UpstreamResponse(
            connection=connection, method=method, response=response, pool=self
        )
        self._metrics.count(FRAMING_METRIC, received.framing.value)
        return Ok(received)

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
            # The upstream responded and closed before it had read the body; its
            # response may still be readable.
            if error.errno not in (errno.EPIPE, errno.ECONNRESET):
                raise
            # The socket reports a reset once, so that no read will.
            connection.is_end_genuine = False
            log.info("upstream did not read the whole body", error=str(error))


def _is_readable(sock: socket.socket) -> bool:
    return _has_event(sock, select.POLLIN)


def _has_peer_ended(sock: socket.socket) -> bool:
    """Return whether the other side has ended the connection, by a close or a reset."""
    try:
        return _has_event(sock, select.POLLRDHUP)
    except (OSError, ValueError):
        # It has just been closed here.
        return False


def _has_event(sock: socket.socket, event: int, timeout_s: float = 0.0) -> bool:
    poll = select.poll()
    poll.register(sock, event)
    return bool(poll.poll(timeout_s * MS_PER_S))


def _described(error: Exception) -> str:
    return f"{type(error).__name__}: {error}"


def _shut_down(sock: socket.socket) -> None:
    try:
        sock.shutdown(socket.SHUT_RDWR)
    except OSError as error:
        # Closed or reset already, so nothing is left to do.
        log.debug("socket not shut down", error=str(error))
