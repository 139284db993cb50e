"""A stand-in for the platform's store: a log with keyed topics, in memory.

It serves the calls of PROTOCOL.md that the daemon makes: `log-append` (also with
`timestamp`), `log-read` with `wait-ms`, `log-newest`, `log-trim`. The operator and the
engines write through `put`. It runs in threads of the test's own process.
"""

import base64
import json
import struct
import threading
import time
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from urllib.parse import parse_qs, urlsplit

HOST = "127.0.0.1"
PROTECTED = ("keyed.op", "keyed.servers")


class Store:
    """The topics, each with one partition."""

    def __init__(self):
        self.lock = threading.Condition()
        self.topics: dict[str, list[bytes]] = {}
        self.era = 1
        self._copy: dict[str, list[bytes]] = {}
        # Called with the path and query of each call; returns None to go on, "reset"
        # to end the connection without an answer, or a status to answer with.
        self.fault = lambda path, query: None
        store = self

        class Handler(BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"
            disable_nagle_algorithm = True

            def log_message(self, *args):
                pass

            def do_GET(self):
                self.answer(b"")

            def do_POST(self):
                length = int(self.headers.get("Content-Length") or 0)
                self.answer(self.rfile.read(length))

            def answer(self, body):
                parts = urlsplit(self.path)
                query = {k: v[0] for k, v in parse_qs(parts.query).items()}
                fault = store.fault(parts.path, query)
                if fault == "reset":
                    self.close_connection = True
                    return
                if fault is not None:
                    status, content = fault, b"{}"
                else:
                    status, content = store.call(parts.path, query, body)
                self.send_response(status)
                self.send_header("Content-Length", str(len(content)))
                self.send_header("Store-Era", str(store.era))
                self.end_headers()
                self.wfile.write(content)

        class Server(ThreadingHTTPServer):
            daemon_threads = True
            request_queue_size = 128

            def handle_error(self, request, client_address):
                pass

        self.server = Server((HOST, 0), Handler)
        self.port = self.server.server_address[1]
        threading.Thread(target=self.server.serve_forever, daemon=True).start()

    def put(self, topic: str, key: str, value) -> float:
        """Write a record as the operator or an engine; return when it was stored."""
        content = b"" if value is None else json.dumps(value).encode()
        name = key.encode()
        with self.lock:
            self.topics.setdefault(topic, []).append(
                bytes([len(name)]) + name + content
            )
            self.lock.notify_all()
            return time.monotonic()

    def copy(self) -> None:
        """Keep a copy of all topics, to which the store may go back."""
        with self.lock:
            self._copy = {name: list(held) for name, held in self.topics.items()}

    def go_back(self) -> None:
        """Come back from the copy; all that was written since is lost."""
        with self.lock:
            self.topics = {name: list(held) for name, held in self._copy.items()}
            self.era += 1
            self.lock.notify_all()

    def call(self, path: str, query: dict, body: bytes) -> tuple[int, bytes]:
        topic = query.get("topic", "")
        if path == "/v1/log-append":
            if topic in PROTECTED:
                return 403, b"{}"
            return self.append(topic, query, body)
        if path == "/v1/log-read":
            return self.read(topic, query)
        if path == "/v1/log-newest":
            return self.newest(topic)
        if path == "/v1/log-trim":
            return 200, b"{}"
        return 404, b"{}"

    def append(self, topic, query, body):
        records, at = [], 0
        while at < len(body):
            (length,) = struct.unpack_from(">I", body, at)
            records.append(body[at + 4 : at + 4 + length])
            at += 4 + length
        with self.lock:
            held = self.topics.setdefault(topic, [])
            offset = len(held)
            if int(query.get("timestamp", offset)) != offset:
                return 412, json.dumps({"end-offset": offset}).encode()
            held += records
            self.lock.notify_all()
            answer = {"offset": offset, "end-offset": len(held)}
            return 200, json.dumps(answer).encode()

    def read(self, topic, query):
        start = int(query.get("from", 0))
        until_s = time.monotonic() + int(query.get("wait-ms", 0)) / 1000
        with self.lock:
            while True:
                held = self.topics.get(topic, [])
                left_s = until_s - time.monotonic()
                if len(held) > start or left_s <= 0:
                    break
                self.lock.wait(left_s)
            if start > len(held):
                return 410, json.dumps({"first-offset": 0}).encode()
            records = held[start:]
            head = struct.pack(">QQ", len(held), 0)
        return 200, head + b"".join(struct.pack(">I", len(r)) + r for r in records)

    def newest(self, topic):
        newest = {}
        with self.lock:
            held = list(self.topics.get(topic, []))
        for offset, record in enumerate(held):
            key, value = record[1 : 1 + record[0]], record[1 + record[0] :]
            newest.pop(key, None)
            if value:
                newest[key] = (offset, value)
        items = [
            {
                "key": key.decode(),
                "value": base64.b64encode(value).decode(),
                "offset": offset,
            }
            for key, (offset, value) in newest.items()
        ]
        page = {"items": items, "has-more": False, "end-offset": len(held)}
        return 200, json.dumps(page).encode()
