"""A small engine of the users' platform, for the review's scripts; standard library only.

It follows PROTOCOL.md: it answers 421 to a request that names another instance, echoes
`X-Attempt-Id`, signs its answers, serves one request at a time on a connection, reserves
slots by `hold-take`, and notes each request that it begins to run, and how that ended, in
a file of JSON lines. The framing of its answers is one of the three that the pages allow:
`chunks`, `length` or `connection` (no length, ended with the connection).
"""

import argparse
import json
import os
import socket
import threading
import time

OPTIONS = None
LOCK = threading.Lock()
RESERVED = [0]


def note(**fields):
    line = json.dumps({"at": round(time.monotonic(), 4), "engine": OPTIONS.id} | fields)
    with LOCK:
        with open(OPTIONS.runs, "a", encoding="utf-8") as file:
            file.write(line + "\n")


def read_line(reader):
    line = reader.readline(65536)
    if not line.endswith(b"\n"):
        raise ConnectionError("the connection ended")
    return line.rstrip(b"\r\n")


def read_request(reader):
    first = read_line(reader).decode("latin-1")
    method, target, _ = first.split(" ", 2)
    headers = {}
    while line := read_line(reader).decode("latin-1"):
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    body = reader.read(int(headers.get("content-length", 0)))
    return method, target, headers, body


def head(status, headers, length):
    lines = [f"HTTP/1.1 {status} Said"]
    lines += [f"{name}: {value}" for name, value in headers]
    if length is not None:
        lines.append(f"Content-Length: {length}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1")


def own_headers(attempt_id):
    return [
        ("X-Attempt-Id", attempt_id),
        ("X-Instance-Id", OPTIONS.id),
        ("X-Response-Signature", f"signed.{OPTIONS.id}.{attempt_id}"),
    ]


def event(number):
    data = f"piece {number} {OPTIONS.software}".rstrip()
    return f"id: {number}\ndata: {data}\n\n".encode()


class Writer:
    """Writes an answer's body in the framing that was asked for."""

    def __init__(self, sock, headers, length):
        self._sock = sock
        self._framing = OPTIONS.framing
        if self._framing == "chunks":
            headers = [*headers, ("Transfer-Encoding", "chunked")]
        if self._framing == "connection":
            headers = [*headers, ("Connection", "close")]
        stated = length if self._framing == "length" else None
        sock.sendall(head(200, headers, stated))

    def write(self, data):
        if self._framing == "chunks":
            data = b"%x\r\n%b\r\n" % (len(data), data)
        self._sock.sendall(data)

    def end(self):
        if self._framing == "chunks":
            self._sock.sendall(b"0\r\n\r\n")
        return self._framing != "connection"


def run(sock, method, target, headers, body):
    """Run a request; return whether its connection stays open."""
    attempt_id = headers.get("x-attempt-id", "")
    kept = {
        name: headers[name]
        for name in ("x-tenant", "x-model", "x-token-usage", "last-event-id")
        if name in headers
    }
    note(
        what="run",
        attempt=attempt_id,
        method=method,
        target=target,
        body=len(body),
        **kept,
    )
    stays = True
    if target.startswith("/stream"):
        after = int(headers.get("last-event-id", -1))
        events = [event(number) for number in range(after + 1, OPTIONS.events)]
        writer = Writer(
            sock,
            [*own_headers(attempt_id), ("Content-Type", "text/event-stream")],
            sum(map(len, events)),
        )
        for each in events:
            time.sleep(OPTIONS.event_s)
            writer.write(each)
        stays = writer.end()
    else:
        time.sleep(OPTIONS.work_s)
        parts = [b"part %04d;" % number for number in range(OPTIONS.parts)]
        writer = Writer(sock, own_headers(attempt_id), sum(map(len, parts)))
        for each in parts:
            writer.write(each)
            time.sleep(OPTIONS.part_s)
        stays = writer.end()
    note(what="whole", attempt=attempt_id)
    return stays


def answer(sock, method, target, headers, body):
    attempt_id = headers.get("x-attempt-id", "")
    if headers.get("x-expect-instance", OPTIONS.id) != OPTIONS.id:
        said = [("X-Attempt-Id", attempt_id), ("X-Not-Executed", "1")]
        sock.sendall(head(421, said, 0))
        return True
    if target == "/v1/hold-take":
        RESERVED[0] += 1
        content = json.dumps({"retention": f"r{RESERVED[0]}"}).encode()
        sock.sendall(head(200, [("Content-Type", "application/json")], len(content)))
        sock.sendall(content)
        return True
    if not attempt_id:
        sock.sendall(head(400, [("X-Not-Executed", "1")], 0))
        return True
    return run(sock, method, target, headers, body)


def serve(sock):
    reader = sock.makefile("rb")
    try:
        while answer(sock, *read_request(reader)):
            pass
    except (OSError, ValueError):
        pass
    finally:
        reader.close()
        sock.close()


def main():
    global OPTIONS
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--id", required=True)
    parser.add_argument("--port", type=int, required=True)
    parser.add_argument("--runs", required=True)
    parser.add_argument("--framing", default="chunks")
    parser.add_argument("--software", default="", help="named in each event")
    parser.add_argument("--events", type=int, default=5)
    parser.add_argument("--event-s", type=float, default=0.01)
    parser.add_argument("--work-s", type=float, default=0.01)
    parser.add_argument("--parts", type=int, default=4)
    parser.add_argument("--part-s", type=float, default=0.0)
    OPTIONS = parser.parse_args()
    threading.stack_size(256 * 1024)
    listener = socket.create_server(("127.0.0.1", OPTIONS.port), backlog=512)
    while True:
        sock, _ = listener.accept()
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        threading.Thread(target=serve, args=[sock], daemon=True).start()


if __name__ == "__main__":
    main()
