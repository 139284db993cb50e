"""What the stand-ins share: an HTTP server on cheroot with a control endpoint.

A stand-in gives a function from Request to Reply. Control requests (any path
below /control) are also served on the control port, which no fault closes.
"""

import argparse
import json
import os
import select
import socket
import struct
import sys
import threading
import time
from collections.abc import Callable
from http import HTTPStatus
from urllib.parse import parse_qs

import attrs
import cattrs
from cheroot.server import Gateway, HTTPServer

BACKLOG = 1024
POLL_S = 0.01
RESET_PAUSE_S = 0.05


class Cut(Exception):
    """Cut the caller's connection, answering nothing more."""


@attrs.frozen(kw_only=True)
class Request:
    """A request as a stand-in sees it; `http` is cheroot's own."""

    method: str
    path: str
    query: dict[str, str]
    headers: dict[str, str]
    body: bytes
    http: object

    def json(self) -> dict:
        """Return the body read as JSON."""
        return json.loads(self.body)

    def number(self, name: str, default: int) -> int:
        """Return a query parameter as a number."""
        return int(self.query.get(name, default))


@attrs.frozen(kw_only=True)
class Reply:
    """A whole answer."""

    status: int = 200
    body: bytes = b""
    content_type: str = "application/json"
    headers: tuple[tuple[str, str], ...] = ()


Handler = Callable[[Request], Reply | None]


def json_reply(value: object, status: int = 200) -> Reply:
    """Return an answer with a JSON body."""
    return Reply(status=status, body=json.dumps(value).encode())


def start_answer(request: Request, reply: Reply, length: int | None = None) -> None:
    """Send the status line and headers, chunked when there is no length."""
    http = request.http
    http.status = f"{reply.status} {HTTPStatus(reply.status).phrase}".encode()
    http.outheaders = [(b"Content-Type", reply.content_type.encode())]
    http.outheaders += [(n.encode(), v.encode()) for n, v in reply.headers]
    if length is not None:
        http.outheaders.append((b"Content-Length", str(length).encode()))
    http.ensure_headers_sent()


def start_unframed(request: Request, reply: Reply) -> None:
    """Send the status line and headers of an answer that ends with its connection."""
    # For HTTP/1.0 the server adds no chunks, and closes the connection.
    request.http.response_protocol = "HTTP/1.0"
    start_answer(request, reply)


def cut(request: Request) -> None:
    """Close the connection without ending the answer."""
    http = request.http
    http.close_connection = True
    http.chunked_write = False
    http.ready = False


def reset(request: Request) -> None:
    """Reset the connection, so that its caller sees no orderly end."""
    raw = request.http.conn.socket
    # Time for the caller to read what was written: a reset drops the rest.
    time.sleep(RESET_PAUSE_S)
    raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    with socket.socket() as unconnected:
        # The server shuts a connection down before it closes it, which isn't a reset.
        os.dup2(unconnected.fileno(), raw.fileno())


def set_reset_on_exit(request: Request, is_reset: bool) -> None:
    """Have the connection reset, or not, if the process exits or closes it.

    The end of an answer that ends with its connection would otherwise look whole.
    """
    linger = struct.pack("ii", is_reset, 0)
    request.http.conn.socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)


def caller_gone(request: Request) -> bool:
    """Return whether the caller has closed its side."""
    raw = request.http.conn.socket
    try:
        readable = select.select([raw], [], [], 0)[0]
        return bool(readable) and raw.recv(1, socket.MSG_PEEK) == b""
    except OSError:
        return True


class StandInGateway(Gateway):
    """Turns cheroot's requests into calls of the stand-in's handler."""

    def respond(self):
        http = self.req
        request = Request(
            method=http.method.decode(),
            path=http.path.decode(),
            query={
                key: values[-1] for key, values in parse_qs(http.qs.decode()).items()
            },
            headers={
                key.decode().lower(): value.decode("latin-1")
                for key, value in http.inheaders.items()
            },
            body=http.rfile.read(),
            http=http,
        )
        try:
            reply = http.server.handler(request)
        except Cut:
            cut(request)
            return
        if reply is not None:
            start_answer(request, reply, length=len(reply.body))
            http.write(reply.body)


def new_server(host: str, port: int, handler: Handler, threads: int) -> HTTPServer:
    """Return a server that calls the handler, ready to be started."""
    server = HTTPServer((host, port), StandInGateway, minthreads=threads)
    server.handler = handler
    server.request_queue_size = BACKLOG
    server.timeout = 600
    server.keep_alive_conn_limit = BACKLOG
    return server


class Faults:
    """The stand-in's faults, an attrs instance that control requests change.

    `POST /control` with some fields sets these and answers all of them.
    """

    def __init__(self, *, kind: type, initial: str = "{}"):
        self._lock = threading.Lock()
        self.now = cattrs.structure(json.loads(initial), kind)

    def handle(self, request: Request) -> Reply:
        """Answer `GET` or `POST /control`."""
        if request.method == "POST":
            with self._lock:
                self.now = cattrs.structure(
                    attrs.asdict(self.now) | request.json(), type(self.now)
                )
        return json_reply(cattrs.unstructure(self.now))


def parser(description: str) -> argparse.ArgumentParser:
    """Return a parser with the options that every stand-in has."""
    options = argparse.ArgumentParser(description=description)
    options.add_argument("--host", default="127.0.0.1")
    options.add_argument("--port", type=int, required=True)
    options.add_argument("--threads", type=int, default=64)
    options.add_argument("--faults", default="{}", help="first faults, as JSON")
    return options


def serve(options: argparse.Namespace, handler: Handler) -> None:
    """Serve until the process is ended."""
    threading.stack_size(256 * 1024)
    server = new_server(options.host, options.port, handler, options.threads)
    try:
        server.start()
    except KeyboardInterrupt:
        sys.exit(0)


def wait_while(condition: Callable[[], bool]) -> None:
    """Hold the calling thread while a fault lasts."""
    while condition():
        time.sleep(POLL_S)
