"""A part that does one thing again and again on a thread of its own."""

import threading
from collections.abc import Callable

import logbook

log = logbook.Logger(__name__)


class Periodic:
    """A periodic part calls `work()` every `period_s`, and at once when woken."""

    def __init__(self, *, name: str, period_s: float, work: Callable[[], None]):
        self._name = name
        self._period_s = period_s
        self._work = work
        self._wake = threading.Event()
        self._stopping = threading.Event()
        self._thread: threading.Thread | None = None

    def start(self) -> None:
        """Begin with the first call."""
        self._stopping.clear()
        self._thread = threading.Thread(target=self._run, name=self._name, daemon=True)
        self._thread.start()

    def wake(self) -> None:
        """Call `work` now; a call under way is followed by another."""
        self._wake.set()

    def stop(self) -> None:
        """Stop after the call under way."""
        self._stopping.set()
        self._wake.set()
        if self._thread not in (None, threading.current_thread()):
            self._thread.join()

    def alive(self) -> bool:
        """Return whether the thread runs."""
        return self._thread is not None and self._thread.is_alive()

    def _run(self) -> None:
        while not self._stopping.is_set():
            self._wake.clear()
            try:
                self._work()
            except Exception:
                log.exception("periodic work failed", part=self._name)
            self._wake.wait(self._period_s)
