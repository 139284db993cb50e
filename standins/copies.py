"""Answers that an upstream sends twice, the second time where another is expected."""

import threading
import weakref

from standins.server import Request


class Copies:
    """Sends copies of answers later on, each between two answers of its connection."""

    def __init__(self):
        self._lock = threading.Lock()
        self._writing: weakref.WeakKeyDictionary[object, threading.Lock] = (
            weakref.WeakKeyDictionary()
        )

    def writing(self, request: Request) -> threading.Lock:
        """Return the lock to hold while an answer is written."""
        with self._lock:
            return self._writing.setdefault(request.http.conn, threading.Lock())

    def send_later(self, request: Request, data: bytes, after_s: float) -> None:
        """Send these bytes on the request's connection, unless that is closed."""
        lock = self.writing(request)
        send = request.http.conn.socket.sendall

        def run() -> None:
            try:
                with lock:
                    send(data)
            except OSError:
                # Its caller has closed the connection.
                pass

        timer = threading.Timer(after_s, run)
        timer.daemon = True
        timer.start()


def whole(
    status: int, headers: list[tuple[str, str]], body: bytes = b"", reason: str = "Said"
) -> bytes:
    """Return an answer with a length, as it is sent."""
    lines = [f"HTTP/1.1 {status} {reason}", f"Content-Length: {len(body)}"]
    lines += [f"{name}: {value}" for name, value in headers]
    return "\r\n".join([*lines, "", ""]).encode() + body
