"""Cheroot's server, with the limits and refusals that callers are promised.

Cheroot answers what it refuses itself in plain text, bounds each read but not
a whole request, and shakes hands for TLS on its only accepting thread. The
classes here change just that.
"""

import errno
import os
import select
import socket
import ssl
import threading
import time
from collections.abc import Callable
from contextlib import suppress

import attrs
import logbook
from cheroot import errors, wsgi
from cheroot.server import HeaderReader, HTTPConnection, HTTPRequest
from cheroot.ssl.builtin import BuiltinSSLAdapter

from lavenderspoke.http import problempage
from lavenderspoke.http.callerreader import CallerReader
from lavenderspoke.http.callerwriter import CallerWriter
from lavenderspoke.http.connectiontable import (
    MOVING,
    CloseReason,
    ConnectionTable,
    Phase,
    Progress,
)
from lavenderspoke.http.receiving import ReceivedHead, Receiver
from lavenderspoke.http.repeatedlines import RepeatedLines
from lavenderspoke.http.workers import WorkerPool
from lavenderspoke.model import Ran
from lavenderspoke.problems import Problem, Reason
from lavenderspoke.resources.clientmemory import ClientMemory, Hold, Holding

HEADER_BYTES_MAX = 32 * 1024
BACKLOG_CONNECTIONS = 512
ACCEPTED_QUEUE_CONNECTIONS = 64
REFUSING_QUEUE_CONNECTIONS = 256
THREAD_WAIT_S = 1.0
THREAD_POLL_S = 0.005
SOCKET_TIMEOUT_S = 10.0
REQUEST_READ_S = 15.0
BUSY_RETRY_S = 1.0
REQUEST_KEY = "lavenderspoke.request"
# What an open connection costs, in bytes.
CONNECTION_BYTES = 8 * 1024
# Open connections of a server that is told no limit, and what they may hold in all.
CONNECTIONS_MAX = 64
MEMORY_BYTES_MAX = 4 * 1024 * 1024
# The most that the system receives for a connection before it is read, in bytes.
RECEIVE_BUFFER_BYTES = 64 * 1024

log = logbook.Logger(__name__)

_PROBLEMS = {
    408: (Reason.BODY_TIMEOUT, Ran.NO, None),
    413: (Reason.HEADERS_TOO_LARGE, Ran.NO, None),
    414: (Reason.HEADERS_TOO_LARGE, Ran.NO, None),
    500: (Reason.INTERNAL_ERROR, Ran.UNKNOWN, None),
    503: (Reason.SERVER_BUSY, Ran.NO, BUSY_RETRY_S),
}


@attrs.frozen(kw_only=True)
class Tls:
    """The files, in PEM, with which a server proves who it is."""

    certificate_file: str
    key_file: str


class CutOff(ConnectionResetError):
    """Closes a connection in the middle of an answer, without the last chunk."""

    def __init__(self):
        super().__init__(errno.ECONNRESET, "the answer was cut off")


class _StrictHeaderReader(HeaderReader):
    """A header reader that leaves out names with an underscore.

    WSGI and many upstreams take X_Y for X-Y, so such a name would pass by the
    check of the header that it stands for.
    """

    def _allow_header(self, key_name: bytes) -> bool:
        return b"_" not in key_name


class _FramingHeaders(dict):
    """Headers of which those that frame a request come only once.

    Of two lengths, cheroot takes the last and another program the first: what one
    of them reads as a body the other reads as the next request.
    """

    ONCE = frozenset((b"Content-Length", b"Transfer-Encoding", b"Host"))

    def __setitem__(self, name: bytes, value: bytes) -> None:
        if name in self.ONCE and name in self:
            raise ValueError(f"two {name.decode()} headers")
        super().__setitem__(name, value)


class CallerHttpRequest(HTTPRequest):
    """A request whose early refusals are problems."""

    header_reader = _StrictHeaderReader()
    # Whether the application has been given the request, which may run from then on.
    is_handed_over = False
    # Whether the application has read the request to its last byte.
    is_body_read = False

    def __init__(self, *args, **kwargs):
        super().__init__(*args, **kwargs)
        self.inheaders = _FramingHeaders()

    def read_request_line(self) -> bool:
        self.conn.asked = super().read_request_line()
        return self.conn.asked

    def read_request_headers(self) -> bool:
        if not super().read_request_headers():
            return False
        length = self.inheaders.get(b"Content-Length")
        if length is not None and not length.isdigit():
            self.simple_response("400 Bad Request", "malformed Content-Length")
            return False
        if length is not None and b"Transfer-Encoding" in self.inheaders:
            self.simple_response("400 Bad Request", "two lengths for one body")
            return False
        return True

    def respond(self) -> None:
        self.is_handed_over = True
        # Until the application reads the body, it isn't the client that is waited for.
        self.conn.progress.enter(Phase.HANDLED)
        super().respond()

    def body_was_read(self) -> None:
        """Note that the application has read the request to its last byte."""
        self.is_body_read = True
        if not self.chunked_read:
            self.rfile.remaining = 0

    def close_if_unread(self) -> None:
        """Close the connection after the response if some of the request is unread.

        The rest would be taken for the next request, and waiting for it, as cheroot
        does, would hold whatever its client states as its length.
        """
        has_body = self.chunked_read or int(self.inheaders.get(b"Content-Length", 0))
        if has_body and not self.is_body_read:
            self.close_connection = True
            self.conn.linger_on_close = True

    def send_headers(self) -> None:
        self.close_if_unread()
        super().send_headers()

    def ensure_headers_sent(self) -> None:
        # Cheroot calls this also if the application failed before its response began.
        if not self.status and not self.sent_headers:
            self.sent_headers = True
            self.simple_response("500", "the request failed")
            return
        super().ensure_headers_sent()

    def simple_response(self, status, msg="") -> None:
        code = int(str(status)[:3])
        if self.is_handed_over:
            # An error such as a timeout may come from the application's own work.
            code = 500
        fallback = (Reason.BAD_REQUEST, Ran.NO, None)
        reason, ran, retry_after_s = _PROBLEMS.get(code, fallback)
        problem = Problem(
            reason=reason, ran=ran, detail=str(msg), retry_after_s=retry_after_s
        )
        self.server.on_problem(problem)
        self._log_refusal(problem)
        self.close_connection = True
        self.conn.linger_on_close = True
        self._write_page(problempage.render(problem))

    def _log_refusal(self, problem: Problem) -> None:
        left_out = self.server.repeated_lines.admit(problem.reason.value)
        if left_out is None:
            return
        log.warning(
            "refused by the server",
            reason=problem.reason.value,
            status=problem.status,
            ran=problem.ran.value,
            detail=problem.detail,
            left_out=left_out or None,
            # How much of the request had been read: a line, the head, or the
            # application had it.
            line_read=self.conn.asked,
            head_read=self.ready,
            handed_over=self.is_handed_over,
        )

    def _write_page(self, page: problempage.Page) -> None:
        lines = [f"HTTP/1.1 {page.status}"]
        lines += [f"{name}: {value}" for name, value in page.headers]
        lines += ["Connection: close", "", ""]
        try:
            self.conn.wfile.write("\r\n".join(lines).encode("latin-1") + page.body)
        except OSError as error:
            if error.args[0] not in errors.socket_errors_to_ignore:
                raise


class CallerConnection(HTTPConnection):
    """A connection with a limit on how long each request takes to arrive.

    Only `close_now`, or `close` where nothing lingers, closes its socket.
    """

    RequestHandlerClass = CallerHttpRequest
    linger_on_close = False
    # Whether the first line of a request was read that isn't answered whole.
    asked = False
    thread_wanted_until_s = 0.0
    # What has come of a head, until a thread has the connection.
    head: ReceivedHead | None = None
    linger_until_s = 0.0
    linger_bytes = 0
    is_closed = False

    def __init__(self, server, sock, makefile):
        self.progress = Progress()
        super().__init__(server, sock, self._make_file)
        self.fd = sock.fileno()
        self._hold = Hold(memory=server.memory, kind=Holding.CONNECTIONS)

    def _make_file(self, sock: socket.socket, mode: str, size: int):
        if "r" in mode:
            return CallerReader(sock, self.server.timeout, self.progress.moved)
        return CallerWriter(sock, self.progress)

    def take_memory(self) -> bool:
        """Account for this connection; return False if there is no room for it."""
        return self._hold.grow(CONNECTION_BYTES)

    def has_request(self) -> bool:
        """Return whether a request has come that isn't answered whole; any thread."""
        if self.asked or self.head is not None or self.rfile.has_data():
            return True
        poll = select.poll()
        try:
            poll.register(self.socket, select.POLLIN)
        except ValueError:
            # It has just been closed.
            return False
        return bool(poll.poll(0))

    def communicate(self) -> bool:
        try:
            self.progress.enter(Phase.READING)
            if not self._shake_hands():
                return False
            self._begin_request()
            return super().communicate()
        finally:
            self.asked = False
            self.progress.enter(Phase.HANDLED)
            self.server.handed_back(self)

    def _begin_request(self) -> None:
        head, self.head = self.head, None
        began_s = head.began_s if head is not None else time.monotonic()
        self.rfile.allow(began_s + self.server.request_read_s)
        if head is not None:
            self.rfile.put_back(head.data)

    def _shake_hands(self) -> bool:
        """Finish the TLS handshake, if there is one; return whether it went well."""
        if not isinstance(self.socket, ssl.SSLSocket) or self.socket.version():
            return True
        try:
            self.socket.do_handshake()
        except OSError as error:
            if (left_out := self.server.repeated_lines.admit("TLS")) is not None:
                left_out = left_out or None
                log.info("TLS handshake failed", error=str(error), left_out=left_out)
            return False
        return True

    def refuse_late(self) -> None:
        """Refuse a request whose head hasn't come in its time."""
        self.refuse("408 Request Timeout", "the head came too slowly")

    def refuse(self, status: str, detail: str) -> None:
        """Refuse a request as far as that goes without waiting for the client."""
        self.head = None
        with suppress(OSError, ValueError):
            self.socket.settimeout(0.0)
            CallerHttpRequest(self.server, self).simple_response(status, detail)
        with suppress(OSError):
            self.close()

    def begin_lingering(self, until_s: float, bytes_max: int) -> None:
        """Note how long, and for how much, a refused client may go on sending."""
        self.linger_until_s, self.linger_bytes = until_s, bytes_max
        self.progress.enter(Phase.LINGERING)

    def cut(self) -> None:
        """End the reads and writes of this connection's thread.

        While it reads, a refusal can still be written.
        """
        is_reading = self.progress.phase is Phase.READING
        with suppress(OSError):
            self.socket.shutdown(socket.SHUT_RD if is_reading else socket.SHUT_RDWR)

    def close(self) -> None:
        # Closing with unread bytes resets the connection, and the reset can
        # overtake the refusal: the caller would see no reason at all.
        if self.linger_on_close and self.server.ready:
            self.linger_on_close = False
            self.server.linger(self)
            return
        self.close_now()

    def close_now(self) -> None:
        """Close the socket, and give back what is accounted for."""
        self.head = None
        self.is_closed = True
        self.server.connections.remove(self)
        self._hold.release()
        super().close()


class ChunkWriter:
    """Writes chunks straight to a connection, from any thread."""

    def __init__(self, conn: CallerConnection):
        self._conn = conn
        self._fd = conn.fd

    def write_now(self, body: bytes) -> bytes:
        """Write a chunk as far as the socket takes it; return the rest.

        An error is left to `write`, on the thread that owns the connection.
        """
        framed = b"%x\r\n%b\r\n" % (len(body), body)
        try:
            # `socket.send` would wait out the socket's timeout; the descriptor
            # is non-blocking, since a timeout is set.
            return framed[os.write(self._fd, framed) :]
        except OSError:
            return framed

    def write(self, framed: bytes) -> None:
        """Write the rest, as long as the caller takes some within the timeout."""
        self._conn.wfile.write(framed)


def chunk_writer(request: CallerHttpRequest) -> ChunkWriter | None:
    """Return a writer for a response whose head is out, if it comes in chunks.

    None under TLS, whose sockets can't be written without waiting.
    """
    sock = request.conn.socket
    if not request.chunked_write or isinstance(sock, ssl.SSLSocket):
        return None
    return ChunkWriter(request.conn)


class LazyTlsAdapter(BuiltinSSLAdapter):
    """A TLS adapter that leaves the handshake to the connection's own thread.

    Done on the accepting thread, one caller that connects and says nothing
    would keep every other caller out until its timeout.
    """

    def wrap(self, sock):
        wrapped = self.context.wrap_socket(
            sock, server_side=True, do_handshake_on_connect=False
        )
        return wrapped, {}


class _WsgiGateway(wsgi.Gateway_10):
    """A WSGI gateway that shows the application cheroot's own request."""

    def get_environ(self) -> dict:
        return super().get_environ() | {REQUEST_KEY: self.req}


class HttpServer(wsgi.Server):
    """A WSGI server that soon refuses what it has no thread for.

    With a `listener`, it serves the connections that come there. If it
    `refuses_unread`, it closes those that it has no thread for after a short wait
    without reading anything, so that their callers may send the same elsewhere at once.
    It has `connections_max` connections at most, which hold what `memory` has room for;
    `on_closed` is called as one is closed for others.
    """

    ConnectionClass = CallerConnection

    def __init__(
        self,
        *,
        host: str,
        port: int,
        app,
        threads: int,
        tls: Tls | None = None,
        request_read_s: float = REQUEST_READ_S,
        header_bytes_max: int = HEADER_BYTES_MAX,
        on_problem=lambda problem: None,
        listener: socket.socket | None = None,
        refuses_unread: bool = False,
        memory: ClientMemory | None = None,
        connections_max: int = CONNECTIONS_MAX,
        on_closed: Callable[[CloseReason], None] = lambda reason: None,
    ):
        self.repeated_lines = RepeatedLines()
        self.memory = memory or ClientMemory(bytes_max=MEMORY_BYTES_MAX)
        self.connections_max = self.keep_alive_conn_limit = connections_max
        self.connections = ConnectionTable(on_closed=self.count_closed)
        self._on_closed = on_closed
        self._listener = listener
        self._refuses_unread = refuses_unread
        # Connections that have a thread or wait for one.
        self._handed: set[CallerConnection] = set()
        self._handed_lock = threading.Lock()
        super().__init__(
            (host, port),
            app,
            server_name="lavenderspoke",
            request_queue_size=BACKLOG_CONNECTIONS,
            timeout=SOCKET_TIMEOUT_S,
        )
        self.requests = WorkerPool(
            self,
            min=threads,
            max=threads,
            accepted_queue_size=ACCEPTED_QUEUE_CONNECTIONS,
            accepted_queue_timeout=0,
        )
        self.gateway = _WsgiGateway
        self.request_read_s = request_read_s
        self.max_request_header_size = header_bytes_max
        self.on_problem = on_problem
        if tls is not None:
            self.ssl_adapter = LazyTlsAdapter(tls.certificate_file, tls.key_file)

    def bind(self, family, type, proto=0) -> socket.socket:
        if self._listener is None:
            return super().bind(family, type, proto)
        self.socket = self._listener
        self.bind_addr = self.resolve_real_bind_addr(self.socket)
        return self.socket

    def prepare(self) -> None:
        super().prepare()
        self.socket.setsockopt(
            socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES
        )
        self._connections.close()
        self._connections = Receiver(self)

    def linger(self, conn: CallerConnection) -> None:
        """Let a refused client read its refusal before its connection closes."""
        self._connections.linger(conn)

    def make_room(self, kind: Holding) -> None:
        """Cut the slowest connection that may hold memory of that kind."""
        phase = Phase.WRITING if kind is Holding.ANSWERS else Phase.READING
        self.connections.cut_slowest({phase}, CloseReason.MEMORY)

    def count_closed(self, reason: CloseReason) -> None:
        """Count a connection that was closed for others."""
        self._on_closed(reason)
        if (left_out := self.repeated_lines.admit(f"closed for {reason}")) is not None:
            log.warning(
                "connection closed for others",
                reason=reason.value,
                connections=len(self.connections),
                held_bytes=self.memory.held_bytes,
                left_out=left_out or None,
            )

    def in_flight(self) -> int:
        """Return the number of requests that have come and aren't answered whole.

        An application ends before the last chunk of its answer is written, and begins
        after a thread was waited for: a process that ended by its count would cut
        answers off. A caller that has said nothing isn't counted.
        """
        with self._handed_lock:
            handed = list(self._handed)
        return sum(conn.has_request() for conn in handed)

    def handed_back(self, conn: CallerConnection) -> None:
        """Note that a connection's request was answered, or won't be."""
        with self._handed_lock:
            self._handed.discard(conn)

    def process_conn(self, conn) -> None:
        with self._handed_lock:
            self._handed.add(conn)
        if self._has_thread():
            super().process_conn(conn)
        elif self._unservicable_conns.qsize() < REFUSING_QUEUE_CONNECTIONS:
            conn.thread_wanted_until_s = time.monotonic() + THREAD_WAIT_S
            self._unservicable_conns.put(conn)
        else:
            self._close_unread(conn)

    def _has_thread(self) -> bool:
        return self.requests.idle > self.requests.qsize

    def _serve_unservicable(self) -> None:
        while self.ready:
            conn = self._unservicable_conns.get()
            if not isinstance(conn, HTTPConnection):
                continue
            if self._waited_for_thread(conn):
                super().process_conn(conn)
            else:
                self._refuse(conn)
        # Stopped: those that still wait for a thread are told so, not dropped.
        while not self._unservicable_conns.empty():
            conn = self._unservicable_conns.get_nowait()
            if isinstance(conn, HTTPConnection):
                self._refuse(conn)

    def _waited_for_thread(self, conn: CallerConnection) -> bool:
        # Its tier isn't known yet. While it waits, the entry sheds the lowest
        # tier that it holds, whose threads then come free; refused at once, an
        # alert could be turned away while reports are kept. Behind long streams
        # it would wait for minutes without a word, so the wait is short.
        while not self._has_thread():
            if not self.ready or time.monotonic() >= conn.thread_wanted_until_s:
                return False
            self.connections.cut_slowest(MOVING, CloseReason.THREADS)
            self.requests.grow_back()
            time.sleep(THREAD_POLL_S)
        return True

    def _refuse(self, conn) -> None:
        """Answer busy, or only close the connection where requests are refused unread.

        What has come in parts has been read, and what is encrypted can't be answered
        without a handshake.
        """
        is_unread = conn.head is None
        if is_unread and (
            self._refuses_unread or isinstance(conn.socket, ssl.SSLSocket)
        ):
            self._close_unread(conn)
            return
        conn.refuse("503", "try another")
        self.handed_back(conn)

    def _close_unread(self, conn: CallerConnection) -> None:
        self.on_problem(Problem(reason=Reason.SERVER_BUSY, ran=Ran.NO))
        if (left_out := self.repeated_lines.admit("closed unread")) is not None:
            reason = Reason.SERVER_BUSY.value
            log.info("closed unread", reason=reason, left_out=left_out or None)
        with suppress(OSError):
            # Resets the connection if a request has come, whose caller sees at once
            # that nobody has read it.
            conn.close_now()
        self.handed_back(conn)

    def error_log(self, msg="", level=20, traceback=False) -> None:
        if traceback:
            log.exception("http server", detail=str(msg))
        elif level >= 30:
            log.warning("http server", detail=str(msg))
        else:
            log.debug("http server", detail=str(msg))
