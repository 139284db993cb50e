"""A tree of supervisors that keep a daemon's parts running.

A part is anything with `start`, `stop` and `alive`. A supervisor starts its
parts in order, watches them, restarts the one that died after a delay that
doubles, and stops them in reverse order. A supervisor is itself a part, so
supervisors nest. One whose parts die too often stops them all and is no longer
alive; the one above restarts it, and at the top the daemon exits non-zero. Parts
that the rest can do without never count as dying too often.
"""

import threading
from collections import deque
from collections.abc import Callable
from typing import Protocol

import attrs
import logbook

from lavenderspoke.clock import Clock

# The longest delay is reached long before.
DOUBLINGS_MAX = 32

log = logbook.Logger(__name__)


class Part(Protocol):
    """A part of a daemon."""

    def start(self) -> None:
        """Start; raise when that is not possible."""

    def stop(self) -> None:
        """Stop and release everything; harmless when already dead."""

    def alive(self) -> bool:
        """Return whether the part does its work."""


@attrs.frozen(kw_only=True)
class RestartPolicy:
    """How often and how fast parts are restarted.

    More than `restarts_max` restarts within `window_s` mean that restarting
    doesn't help.
    """

    restarts_max: int = 5
    window_s: float = 60.0
    backoff_min_s: float = 0.1
    backoff_max_s: float = 5.0
    watch_s: float = 0.2


@attrs.define(kw_only=True)
class _Child:
    name: str
    part: Part
    failures: int = 0
    restart_at_s: float | None = None
    started_s: float = 0.0


class Supervisor:
    """A supervisor of named parts, in the order in which they start.

    The parts named in `dispensable` are restarted for as long as it takes.

    `wait(seconds)` waits until the time has passed or the supervisor stops,
    and is passed in so that a test needs no real time.
    """

    def __init__(
        self,
        *,
        name: str,
        parts: list[tuple[str, Part]],
        clock: Clock,
        policy: RestartPolicy = RestartPolicy(),
        dispensable: frozenset[str] = frozenset(),
        wait: Callable[[float], object] | None = None,
    ):
        self.name = name
        self.gave_up = False
        self._children = [_Child(name=each, part=part) for each, part in parts]
        self._clock = clock
        self._policy = policy
        self._dispensable = dispensable
        self._stopping = threading.Event()
        self._is_restarting = True
        self._wait = wait or self._stopping.wait
        self._restarts_s: deque[float] = deque()
        self._started: list[_Child] = []
        self._thread: threading.Thread | None = None
        self._lock = threading.RLock()

    def start(self) -> None:
        """Start the parts in order and watch them on a thread.

        When a part can't start, those before it are stopped and the error is
        raised.
        """
        self._stopping.clear()
        self.start_parts()
        self._thread = threading.Thread(
            target=self._watch, name=f"supervisor {self.name}", daemon=True
        )
        self._thread.start()

    def start_parts(self) -> None:
        """Start the parts in order without watching them."""
        with self._lock:
            self.gave_up = False
            self._is_restarting = True
            self._restarts_s.clear()
            for child in self._children:
                self._start_first(child)

    def stop(self) -> None:
        """Stop watching, then stop the parts in reverse order."""
        self._stopping.set()
        if self._thread not in (None, threading.current_thread()):
            self._thread.join()
        self._stop_parts()

    def alive(self) -> bool:
        """Return whether the parts are being kept running."""
        return not self.gave_up and not self._stopping.is_set()

    def run(self) -> int:
        """Start, watch on this thread until stopped, and return an exit status.

        Zero after `request_stop`, one when restarting was given up. Used at
        the top of the tree.
        """
        self.start_parts()
        self._watch()
        self._stop_parts()
        return 1 if self.gave_up else 0

    def request_stop(self) -> None:
        """Ask `run` to return; may be called from a signal handler."""
        self._stopping.set()

    def stop_restarting(self) -> None:
        """Restart nothing from now on; `run` goes on until it is asked to stop.

        For an owner that stops parts itself before it ends the process: a part stopped
        that way would count as dead.
        """
        with self._lock:
            self._is_restarting = False

    def check(self, now_s: float) -> None:
        """Restart what has died and is due; give up when that is too often."""
        with self._lock:
            if not self._is_restarting:
                return
            for child in self._children:
                self._check_child(child, now_s)
                if self.gave_up:
                    return

    def _watch(self) -> None:
        while not self._stopping.is_set() and not self.gave_up:
            self._wait(self._policy.watch_s)
            if not self._stopping.is_set():
                self.check(self._clock.monotonic_s())

    def _start_first(self, child: _Child) -> None:
        try:
            child.part.start()
        except Exception:
            self._stop_parts()
            raise
        child.failures = 0
        child.restart_at_s = None
        child.started_s = self._clock.monotonic_s()
        self._started.append(child)

    def _check_child(self, child: _Child, now_s: float) -> None:
        if child.restart_at_s is None:
            if child.part.alive():
                # A part that has lived for a window starts over at the
                # shortest delay; otherwise rare deaths would add up.
                if now_s - child.started_s > self._policy.window_s:
                    child.failures = 0
                return
            self._plan_restart(child, now_s)
        if not self.gave_up and now_s >= child.restart_at_s:
            self._restart(child, now_s)

    def _plan_restart(self, child: _Child, now_s: float) -> None:
        if child.name not in self._dispensable and self._died_too_often(now_s):
            log.error("giving up", supervisor=self.name, part=child.name)
            self.gave_up = True
            self._stop_parts()
            return
        child.restart_at_s = now_s + self._delay_s(child)
        child.failures += 1
        log.warning("part died", supervisor=self.name, part=child.name)

    def _died_too_often(self, now_s: float) -> bool:
        self._restarts_s.append(now_s)
        while self._restarts_s[0] < now_s - self._policy.window_s:
            self._restarts_s.popleft()
        return len(self._restarts_s) > self._policy.restarts_max

    def _delay_s(self, child: _Child) -> float:
        # A part that is restarted for days would double past what a float holds.
        doublings = min(child.failures, DOUBLINGS_MAX)
        return min(
            self._policy.backoff_min_s * 2**doublings, self._policy.backoff_max_s
        )

    def _restart(self, child: _Child, now_s: float) -> None:
        self._stop_one(child)
        try:
            child.part.start()
        except Exception:
            log.exception("restart failed", supervisor=self.name, part=child.name)
            self._plan_restart(child, now_s)
            return
        child.restart_at_s = None
        child.started_s = now_s

    def _stop_parts(self) -> None:
        with self._lock:
            while self._started:
                self._stop_one(self._started.pop())

    def _stop_one(self, child: _Child) -> None:
        try:
            child.part.stop()
        except Exception:
            # One part that can't stop cleanly mustn't leave the others running.
            log.exception("stop failed", supervisor=self.name, part=child.name)
