"""Answers of an upstream that never end, written straight to the caller's socket."""

import select
import socket
import time

import attrs

from standins.server import Request

# What a signed head is followed by.
CHUNKED = b"Transfer-Encoding: chunked\r\n\r\n"
LONG = b"Content-Length: 1000000000000\r\n\r\n"
EVENT_STREAM = b"Content-Type: text/event-stream\r\n"
GONE = select.POLLRDHUP | select.POLLHUP | select.POLLERR
POLL_MS = 5
# Written at once where there is no pause between two writes.
FLOOD_BYTES = 64 * 1024


@attrs.frozen(kw_only=True)
class Endless:
    """What an answer begins with, and what then is repeated until its caller closes.

    Where it `is_signed`, the status line and the headers of the upstream come first.
    """

    begins: bytes = b""
    repeats: bytes
    is_signed: bool = True
    status: int = 200


PLACES = {
    "noise": Endless(repeats=b"\x93\x1f", is_signed=False),
    "status line": Endless(begins=b"HTTP/1.1 200 ", repeats=b"O", is_signed=False),
    "informational answers": Endless(
        repeats=b"HTTP/1.1 100 Continue\r\n\r\n", is_signed=False
    ),
    "headers": Endless(repeats=b"X-More: a\r\n"),
    "one header": Endless(begins=b"X-More: ", repeats=b"a"),
    "chunk size": Endless(begins=CHUNKED, repeats=b"0"),
    "chunk extension": Endless(begins=CHUNKED + b"5;", repeats=b"a"),
    "chunks": Endless(begins=CHUNKED, repeats=b"1\r\na\r\n"),
    "length": Endless(begins=LONG, repeats=b"a"),
    "connection": Endless(begins=b"\r\n", repeats=b"a"),
    "noise in a stream": Endless(
        begins=EVENT_STREAM + CHUNKED, repeats=b"3\r\n\x93\n\n\r\n"
    ),
    "events": Endless(
        begins=EVENT_STREAM + CHUNKED,
        repeats=b"1000\r\ndata: " + b"a" * (0x1000 - 8) + b"\n\n\r\n",
    ),
    "one event": Endless(
        begins=EVENT_STREAM + CHUNKED + b"6\r\ndata: \r\n", repeats=b"1\r\na\r\n"
    ),
    "trailers": Endless(
        begins=CHUNKED + b"5\r\nwhole\r\n0\r\n", repeats=b"X-More: a\r\n"
    ),
    "bytes behind": Endless(begins=b"Content-Length: 5\r\n\r\nwhole", repeats=b"a"),
    "refusal": Endless(begins=CHUNKED, repeats=b"1\r\na\r\n", status=503),
}
"""Where answers are repeated without end, by name."""


def answer(
    request: Request,
    place: Endless,
    *,
    headers: list[tuple[str, str]],
    gap_s: float,
) -> None:
    """Answer until the caller closes.

    It pauses for `gap_s` between two repetitions; without a pause it writes as much as
    the connection takes.
    """
    sock = request.http.conn.socket
    begins = place.begins
    if place.is_signed:
        lines = [f"HTTP/1.1 {place.status} Said"]
        lines += [f"{name}: {value}" for name, value in headers]
        begins = "\r\n".join([*lines, ""]).encode() + begins
    repeats = place.repeats
    if gap_s <= 0.0:
        repeats *= FLOOD_BYTES // len(repeats)
    unsent = begins
    next_s = time.monotonic()
    while not _is_gone(sock):
        if not unsent and time.monotonic() >= next_s:
            unsent, next_s = repeats, time.monotonic() + gap_s
        try:
            unsent = unsent[_send(sock, unsent) :]
        except OSError:
            return


def _is_gone(sock: socket.socket) -> bool:
    poll = select.poll()
    poll.register(sock, GONE)
    return bool(poll.poll(0))


def _send(sock: socket.socket, data: bytes) -> int:
    """Send what the connection takes, and wait a little if it takes nothing."""
    poll = select.poll()
    poll.register(sock, select.POLLOUT)
    if not data:
        time.sleep(POLL_MS / 1000)
        return 0
    if not poll.poll(POLL_MS):
        return 0
    return sock.send(data, socket.MSG_DONTWAIT)
