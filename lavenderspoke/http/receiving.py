"""Connections that wait for a request, none of which holds a thread meanwhile.

One thread reads the heads of requests as they come, and hands a connection over once
its head is whole. What is refused lingers here too, so that its client can read why.
"""

import errno
import os
import re
import selectors
import socket
import ssl
import threading
import time
from contextlib import suppress

import logbook
from cheroot.connections import ConnectionManager

from lavenderspoke.http.connectiontable import CloseReason, Phase
from lavenderspoke.resources.clientmemory import ClientMemory, Hold, Holding

READ_BYTES = 8 * 1024
# The end of a head, or of a line that makes it malformed.
HEAD_END = re.compile(rb"\r\n\r\n|(?<!\r)\n")
# How long a refused client may go on sending, in seconds, and how much.
LINGER_S = 1.0
LINGER_BYTES_MAX = 4 * 1024 * 1024
LINGER_READ_BYTES = 64 * 1024
NO_DESCRIPTORS = frozenset((errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM))
# Pause after an accept for which the system had no descriptors left, in seconds.
NO_DESCRIPTORS_PAUSE_S = 0.01

log = logbook.Logger(__name__)


def is_head_whole(data: bytes, bytes_max: int) -> bool:
    r"""Return whether the rest can be left to the request's own thread.

    That is also so if the head is malformed or too long.

    >>> is_head_whole(b"GET / HTTP/1.1\r\nHost: a\r\n", 100)
    False
    >>> is_head_whole(b"GET / HTTP/1.1\r\nHost: a\r\n", 10)
    True
    """
    return len(data) > bytes_max or HEAD_END.search(data) is not None


class ReceivedHead:
    """What has come of a head that came in several parts; accounted for."""

    __slots__ = ("data", "began_s", "_hold")

    def __init__(self, memory: ClientMemory):
        self.data = bytearray()
        self.began_s = time.monotonic()
        self._hold = Hold(memory=memory, kind=Holding.CONNECTIONS)

    def add(self, data: bytes) -> bool:
        """Add bytes; return False if there is no room for them."""
        if not self._hold.grow(len(self.data) + len(data)):
            return False
        self.data += data
        return True


class Receiver(ConnectionManager):
    """Accepts connections, receives heads, and closes who takes too much for that."""

    def __init__(self, server):
        super().__init__(server)
        # Held while a connection is parked: until it is registered, the thread that
        # receives mustn't close it for others.
        self._parking = threading.Lock()

    def put(self, conn) -> None:
        """Wait for the next request of a connection; from any thread."""
        conn.last_used = time.monotonic()
        if conn.rfile.has_data():
            self.server.process_conn(conn)
            return
        with self._parking:
            conn.progress.enter(Phase.IDLE)
            self._register(conn)

    def linger(self, conn) -> None:
        """Discard what a refused client still sends, then close; from any thread."""
        try:
            conn.socket.shutdown(socket.SHUT_WR)
            with self._parking:
                conn.begin_lingering(time.monotonic() + LINGER_S, LINGER_BYTES_MAX)
                self._register(conn)
        except (OSError, ValueError):
            conn.close_now()

    def _register(self, conn) -> None:
        self._selector.register(conn.fd, selectors.EVENT_READ, data=conn)

    def _run(self, expiration_interval) -> None:
        last_check_s = time.monotonic()
        while not self._stop_requested:
            try:
                active = list(self._selector.select(timeout=expiration_interval))
            except OSError:
                self._remove_invalid_sockets()
                continue
            for fd, conn in active:
                if conn is self.server:
                    self._accept()
                elif not conn.is_closed:
                    self._on_readable(conn)
            now_s = time.monotonic()
            if now_s - last_check_s > expiration_interval:
                self._expire(threshold=now_s - self.server.timeout)
                last_check_s = now_s

    # New connections

    def _accept(self) -> None:
        try:
            conn = self._from_server_socket(self.server.socket)
        except OSError as error:
            if error.errno not in NO_DESCRIPTORS:
                raise
            self._close_first(CloseReason.DESCRIPTORS)
            time.sleep(NO_DESCRIPTORS_PAUSE_S)
            return
        if conn is None:
            return
        if not self._make_room_for(conn):
            self.server.count_closed(CloseReason.CONNECTIONS)
            conn.close_now()
            return
        conn.last_used = time.monotonic()
        self.server.connections.add(conn)
        self._register(conn)

    def _make_room_for(self, conn) -> bool:
        """Account for a connection; close the slowest one if there are too many."""
        if len(self.server.connections) >= self.server.connections_max:
            if not self._close_first(CloseReason.CONNECTIONS):
                return False
        while not conn.take_memory():
            if not self._close_first(CloseReason.MEMORY):
                return False
        return True

    def _close_first(self, reason: CloseReason) -> bool:
        with self._parking:
            conn = self.server.connections.first_to_close()
            if conn is None:
                return False
            self._close(conn)
        self.server.count_closed(reason)
        return True

    def _close(self, conn) -> None:
        """Close a parked connection, unless it was closed before.

        Its descriptor may be another connection's since.
        """
        if conn.is_closed:
            return
        with suppress(KeyError, ValueError):
            self._selector.unregister(conn.fd)
        with suppress(OSError):
            conn.close_now()

    # Heads

    def _on_readable(self, conn) -> None:
        try:
            if conn.progress.phase is Phase.LINGERING:
                self._discard(conn)
            elif isinstance(conn.socket, ssl.SSLSocket) or self._has_whole_head(conn):
                # Until it is put back, the connection is its thread's.
                self._selector.unregister(conn.fd)
                conn.progress.enter(Phase.HANDLED)
                self.server.process_conn(conn)
        except OSError:
            self._close(conn)

    def _has_whole_head(self, conn) -> bool:
        """Return whether a head is whole; close the connection if it has ended.

        One that came in one piece isn't read: if there is no thread for it, its client
        sees by a reset that nobody has read its request. Nor is the end of a connection
        in the middle of a head, which the thread refuses.
        """
        bytes_max = self.server.max_request_header_size
        if conn.head is None:
            data = conn.socket.recv(READ_BYTES, socket.MSG_PEEK)
            if not data:
                self._close(conn)
                return False
            if is_head_whole(data, bytes_max):
                return True
        data = os.read(conn.fd, READ_BYTES)
        if not data:
            return True
        if not self._keep(conn, data):
            self.server.count_closed(CloseReason.MEMORY)
            self._close(conn)
            return False
        return is_head_whole(conn.head.data, bytes_max)

    def _keep(self, conn, data: bytes) -> bool:
        """Keep bytes of a head; return False if there is no room for them."""
        if conn.head is None:
            conn.head = ReceivedHead(self.server.memory)
            conn.progress.enter(Phase.HEAD)
        conn.progress.moved(len(data))
        while not conn.head.add(data):
            if not self._close_first(CloseReason.MEMORY) or conn.is_closed:
                return False
        return True

    # What takes too long

    def _expire(self, threshold) -> None:
        now_s = time.monotonic()
        for fd, conn in list(self._selector.connections):
            if conn is self.server:
                continue
            if conn.progress.phase is Phase.LINGERING:
                if now_s >= conn.linger_until_s:
                    self._close(conn)
            elif conn.head is not None:
                if now_s - conn.head.began_s >= self.server.request_read_s:
                    self._selector.unregister(fd)
                    conn.refuse_late()
            elif conn.last_used < threshold:
                self._close(conn)

    def _discard(self, conn) -> None:
        data = os.read(conn.fd, LINGER_READ_BYTES)
        conn.linger_bytes -= len(data)
        if not data or conn.linger_bytes <= 0:
            self._close(conn)

    def close(self) -> None:
        """Close all connections that wait here."""
        for _, conn in list(self._selector.connections):
            if conn is not self.server:
                conn.close_now()
        self._selector.close()
