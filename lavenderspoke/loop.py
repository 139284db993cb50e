"""The thread that drives a state machine: one event at a time, in order."""

import queue
import threading
from collections.abc import Callable
from concurrent.futures import Future
from typing import Protocol, TypeVar

import logbook

from lavenderspoke.clock import Clock
from lavenderspoke.core import Tick

log = logbook.Logger(__name__)


class Core(Protocol):
    """What a state machine offers its loop."""

    def handle(self, event: object, now_s: float) -> list:
        """Take one event; return what is to be done."""

    def next_due_s(self) -> float:
        """Return when a tick is due at the latest."""


T = TypeVar("T")

# A core that doesn't answer for so long is stuck.
ASK_TIMEOUT_S = 2.0


class _Question:
    """A question about the core, to be answered on its own thread."""

    def __init__(self, answer: Callable[[], object]):
        self.answer = answer
        self.future: Future = Future()


class CoreLoop:
    """The loop gives a core its events and carries out what it returns.

    `perform(action)` must not block. `post` may be called from any thread.
    """

    def __init__(self, *, core: Core, clock: Clock, perform: Callable[[object], None]):
        self._core = core
        self._clock = clock
        self._perform = perform
        self._events: queue.SimpleQueue = queue.SimpleQueue()
        self._thread: threading.Thread | None = None
        self._stopping = threading.Event()
        self.failed = 0

    def post(self, event: object) -> None:
        """Queue an event."""
        self._events.put(event)

    def ask(self, question: Callable[[], T]) -> T:
        """Return what `question()` returns on the core's thread.

        Raises TimeoutError when the core is stuck. For pages that show the
        core's state, which no other thread may read while it changes.
        """
        asked = _Question(question)
        self.post(asked)
        return asked.future.result(timeout=ASK_TIMEOUT_S)

    def start(self) -> None:
        """Drive the core on a thread."""
        self._stopping.clear()
        self._thread = threading.Thread(target=self._run, name="core", daemon=True)
        self._thread.start()

    def stop(self) -> None:
        """Handle what is queued, then stop."""
        self._stopping.set()
        self.post(Tick())
        if self._thread not in (None, threading.current_thread()):
            self._thread.join()

    def alive(self) -> bool:
        """Return whether the thread runs."""
        return self._thread is not None and self._thread.is_alive()

    def _run(self) -> None:
        while not (self._stopping.is_set() and self._events.empty()):
            self._step(self._next())

    def _next(self) -> object:
        wait_s = self._core.next_due_s() - self._clock.monotonic_s()
        try:
            if wait_s <= 0:
                return self._events.get_nowait()
            return self._events.get(timeout=wait_s)
        except queue.Empty:
            return Tick()

    def _step(self, event: object) -> None:
        if isinstance(event, _Question):
            event.future.set_result(event.answer())
            return
        try:
            for action in self._core.handle(event, self._clock.monotonic_s()):
                self._perform(action)
        except Exception:
            # The core holds every waiting request; ending it over one event
            # that it can't take would lose them all.
            self.failed += 1
            log.exception("an event failed", event=type(event).__name__)
