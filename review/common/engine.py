"""A stand-in for an engine, as PROTOCOL.md describes it, in threads of the test.

It works on `slots` requests at once and queues `queue` more, refuses the rest with 503
and `X-Not-Executed`, refuses what names another engine with 421, echoes
`X-Attempt-Id`, signs its answers, and drops a request whose connection closes.
"""

import select
import socket
import threading
import time

HOST = "127.0.0.1"


class Request:
    """One request as it came."""

    def __init__(self, method, target, headers, body):
        self.method, self.target = method, target
        self.headers, self.body = headers, body

    @property
    def attempt_id(self):
        return self.headers.get("x-attempt-id", "")


def read_head(sock, buffered: bytes):
    """Return a message's first line, headers and the bytes behind its head."""
    while b"\r\n\r\n" not in buffered:
        data = sock.recv(65536)
        if not data:
            return None
        buffered += data
    head, _, rest = buffered.partition(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    return lines[0], headers, rest


class Engine:
    """One engine; `runs` has each request that it began to work on."""

    def __init__(self, name: str, *, record, slots=2, queue=2, work_s=0.02):
        self.name, self.slots, self.queue = name, slots, queue
        self.work_s = work_s
        self.record = record
        self.runs: list[Request] = []
        self.answers = 0
        self._lock = threading.Lock()
        self._waiting = 0
        self._free = threading.Semaphore(slots)
        self._listener = socket.create_server((HOST, 0), backlog=128)
        self.port = self._listener.getsockname()[1]
        threading.Thread(target=self._accept, daemon=True).start()

    @property
    def address(self) -> str:
        return f"{HOST}:{self.port}"

    def entry(self, service: str, state: str = "ready", **changes) -> dict:
        """Return what the engine writes of itself into the store."""
        return {
            "service": service,
            "address": self.address,
            "zone": "here",
            "version": "v1",
            "slots": self.slots,
            "state": state,
            "warmup-left-ms": 0,
            "sequence": 1,
        } | changes

    def work_time_s(self, request: Request) -> float:
        return float(request.headers.get("x-work-s", self.work_s))

    def _accept(self):
        while True:
            sock, _ = self._listener.accept()
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            threading.Thread(target=self._serve, args=(sock,), daemon=True).start()

    def _serve(self, sock):
        try:
            self.serve(sock)
        except OSError:
            pass
        finally:
            sock.close()

    def serve(self, sock):
        """Serve one connection until it ends."""
        buffered = b""
        while (came := self.read(sock, buffered)) is not None:
            request, buffered = came
            if not self.handle(sock, request):
                return

    def read(self, sock, buffered):
        head = read_head(sock, buffered)
        if head is None:
            return None
        line, headers, rest = head
        method, target, _ = line.split(" ", 2)
        length = int(headers.get("content-length", 0))
        while len(rest) < length:
            data = sock.recv(65536)
            if not data:
                return None
            rest += data
        return Request(method, target, headers, rest[:length]), rest[length:]

    def handle(self, sock, request) -> bool:
        """Answer a request; return whether the connection goes on."""
        if request.headers.get("x-expect-instance", self.name) != self.name:
            return self.answer(sock, request, 421, b"", ran=False)
        with self._lock:
            is_full = self._waiting >= self.slots + self.queue
            if not is_full:
                self._waiting += 1
        if is_full:
            self.record(f"{self.name}: refuses {request.attempt_id}, full")
            return self.answer(sock, request, 503, b"", ran=False)
        try:
            with self._free:
                return self.run(sock, request)
        finally:
            with self._lock:
                self._waiting -= 1

    def run(self, sock, request) -> bool:
        self.runs.append(request)
        self.record(
            f"{self.name}: runs {request.attempt_id}, "
            f"{request.method} {request.target}"
        )
        if not self.work(sock, self.work_time_s(request)):
            return False
        body = f"answer of {self.name} to {request.attempt_id}".encode()
        return self.answer(sock, request, 200, body, ran=True)

    def work(self, sock, work_s: float) -> bool:
        """Work for so long; return False if the caller has closed the connection."""
        until_s = time.monotonic() + work_s
        while (left_s := until_s - time.monotonic()) > 0:
            poll = select.poll()
            poll.register(sock, select.POLLRDHUP)
            if poll.poll(min(left_s, 0.02) * 1000):
                return False
        return True

    def head(self, request, status, length, ran: bool) -> bytes:
        lines = [
            f"HTTP/1.1 {status} Said",
            f"Content-Length: {length}",
            f"X-Attempt-Id: {request.attempt_id}",
            f"X-Instance-Id: {self.name}",
            "Keep-Alive: timeout=20",
        ]
        if ran:
            lines.append(f"X-Response-Signature: signed.{request.attempt_id}")
        else:
            lines.append("X-Not-Executed: 1")
        return "\r\n".join([*lines, "", ""]).encode()

    def answer(self, sock, request, status, body: bytes, *, ran: bool) -> bool:
        self.answers += 1
        sock.sendall(self.head(request, status, len(body), ran) + body)
        return True
