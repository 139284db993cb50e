"""Reads the answers of many runs on one thread.

With a thread for each stream, an engine step wakes them all for a token each,
and the agent spends most of its processor time on changing threads.
"""

import selectors
import socket
import threading
import time
from collections import deque
from collections.abc import Callable

import attrs

from lavenderspoke.upstreams.upstream import Run, RunEvent, UpstreamBroken

LOOK_S = 0.5
WAKE_BYTES = 4096

OnEvent = Callable[[RunEvent], None]


@attrs.define(kw_only=True, eq=False)
class _Watched:
    """A run, who takes its events, and when its silence has been too long."""

    run: Run
    on_event: OnEvent
    timeout_s: float
    fd: int = -1
    due_s: float = 0.0


class RunSelector:
    """Gives each run's events to its taker, in order, on the selector's thread.

    The taker must not block: it would hold up all other streams.
    """

    def __init__(self):
        self._selector = selectors.DefaultSelector()
        self._added: deque[_Watched] = deque()
        self._wake_reader, self._wake_writer = socket.socketpair()
        self._wake_reader.setblocking(False)
        self._selector.register(self._wake_reader, selectors.EVENT_READ)
        self._watched: set[_Watched] = set()
        self._stopping = False
        self._thread = threading.Thread(target=self._loop, name="streams", daemon=True)
        self._thread.start()

    def add(self, run: Run, on_event: OnEvent, *, timeout_s: float) -> None:
        """Read a selectable run from here on; `timeout_s` bounds its silences."""
        watched = _Watched(run=run, on_event=on_event, timeout_s=timeout_s)
        self._added.append(watched)
        self._wake()

    def stop(self) -> None:
        """Drop all runs."""
        self._stopping = True
        self._wake()
        self._thread.join()

    def _wake(self) -> None:
        self._wake_writer.send(b"-")

    def _loop(self) -> None:
        look_s = time.monotonic() + LOOK_S
        while not self._stopping:
            self._round()
            self._register_added()
            if time.monotonic() >= look_s:
                self._drop_silent()
                look_s = time.monotonic() + LOOK_S
        for watched in self._watched:
            watched.run.close()
        self._selector.close()

    def _round(self) -> None:
        """Read all that is ready, and only then give it to the takers.

        Given one by one, each event would wake the taker's thread, which then
        contends with the reading of the rest.
        """
        taken = []
        for key, _ in self._selector.select(LOOK_S):
            if key.data is None:
                self._wake_reader.recv(WAKE_BYTES)
            else:
                taken.append((key.data, self._take(key.data)))
        for watched, events in taken:
            for event in events:
                watched.on_event(event)

    def _register_added(self) -> None:
        while self._added:
            watched = self._added.popleft()
            watched.due_s = time.monotonic() + watched.timeout_s
            try:
                watched.fd = watched.run.fileno()
                self._selector.register(watched.fd, selectors.EVENT_READ, watched)
            except (OSError, ValueError, KeyError) as error:
                # Raised further, it would end the thread and hang every stream.
                watched.run.close()
                watched.on_event(UpstreamBroken(detail=f"not readable: {error}"))
                continue
            self._watched.add(watched)

    def _take(self, watched: _Watched) -> list[RunEvent]:
        events = watched.run.take()
        watched.due_s = time.monotonic() + watched.timeout_s
        if watched.run.is_ended:
            self._forget(watched)
        return events

    def _drop_silent(self) -> None:
        now_s = time.monotonic()
        for watched in [each for each in self._watched if each.due_s <= now_s]:
            self._forget(watched)
            watched.run.close()
            watched.on_event(UpstreamBroken(detail="silent for too long"))

    def _forget(self, watched: _Watched) -> None:
        self._selector.unregister(watched.fd)
        self._watched.discard(watched)
