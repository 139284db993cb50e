"""Notices callers that hang up while their answer is awaited.

A thread that waits for an answer doesn't read its caller's socket, so it would
learn of a caller that has gone only when it writes. One thread watches all
those sockets with epoll instead. A caller that shuts down only its sending
side counts as gone too, as with most proxies.
"""

import select
import threading
from collections.abc import Callable

import attrs
import logbook

GONE = select.EPOLLRDHUP | select.EPOLLHUP | select.EPOLLERR
POLL_S = 0.5

log = logbook.Logger(__name__)


@attrs.frozen(kw_only=True)
class _Watched:
    on_gone: Callable[[], None]


def has_left(fd: int) -> bool:
    """Return whether the caller at an open socket has hung up."""
    poll = select.poll()
    poll.register(fd, select.POLLRDHUP)
    return bool(poll.poll(0))


class CallerWatch:
    """A watch over the sockets of callers whose answers are awaited."""

    def __init__(self):
        self._epoll: select.epoll | None = None
        self._watched: dict[int, _Watched] = {}
        self._lock = threading.Lock()
        self._stopping = threading.Event()
        self._thread: threading.Thread | None = None

    def start(self) -> None:
        """Start watching."""
        self._epoll = select.epoll()
        self._stopping.clear()
        self._thread = threading.Thread(
            target=self._run, name="caller watch", daemon=True
        )
        self._thread.start()

    def stop(self) -> None:
        """Stop watching."""
        self._stopping.set()
        if self._thread is not None:
            self._thread.join()
            self._epoll.close()
            self._thread = None

    def alive(self) -> bool:
        """Return whether callers are being watched."""
        return self._thread is not None and self._thread.is_alive()

    def add(self, fd: int, on_gone: Callable[[], None]) -> None:
        """Call `on_gone` once, on the watching thread, when that caller goes."""
        with self._lock:
            self._watched[fd] = _Watched(on_gone=on_gone)
            self._epoll.register(fd, GONE | select.EPOLLONESHOT)

    def remove(self, fd: int) -> None:
        """Stop watching a socket; must come before the socket is closed."""
        with self._lock:
            if self._watched.pop(fd, None) is not None and not self._epoll.closed:
                self._epoll.unregister(fd)

    def _run(self) -> None:
        while not self._stopping.is_set():
            for fd, _ in self._epoll.poll(POLL_S):
                watched = self._gone(fd)
                if watched is not None:
                    self._tell(watched)

    @staticmethod
    def _tell(watched: _Watched) -> None:
        try:
            watched.on_gone()
        except Exception:
            # A fault in giving up one request would end this thread, and the
            # work of every caller that leaves later would go on for nobody.
            log.exception("giving up a request failed")

    def _gone(self, fd: int) -> _Watched | None:
        """Return what to do about a socket, if it is still the one that went.

        Between the event and here the descriptor may have been closed and
        given to another caller, whose answer would then be dropped. Under the
        lock a watched descriptor is open, so asking it again is conclusive.
        """
        with self._lock:
            watched = self._watched.get(fd)
            if watched is None:
                return None
            if has_left(fd):
                return watched
            self._epoll.modify(fd, GONE | select.EPOLLONESHOT)
            return None
