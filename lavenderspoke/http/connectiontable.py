"""The connections of a server, and which of them is the slowest.

A connection that moves too little for what it holds is closed when others need that:
never for its own sake, and not before it has been slow for a while.
"""

import enum
import threading
import time
from collections.abc import Callable, Iterable

# A connection makes progress when it has moved that many bytes.
PROGRESS_BYTES = 4 * 1024
# One that made no progress for so long may be closed for others, in seconds.
SLOW_S = 0.5


class Phase(enum.IntEnum):
    """What a connection does; of those that wait for bytes, the first are closed first.

    - `LINGERING`: refused, and what still comes is discarded.
    - `HEAD`: some of a request's head has come.
    - `SILENT`: nothing has ever come.
    - `IDLE`: its last request was answered.
    - `READING`: a thread reads the rest of a request.
    - `HANDLED`: a thread works on a request.
    - `WRITING`: a thread writes an answer.
    """

    LINGERING = 0
    HEAD = 1
    SILENT = 2
    IDLE = 3
    READING = 4
    HANDLED = 5
    WRITING = 6


PARKED = frozenset((Phase.LINGERING, Phase.HEAD, Phase.SILENT, Phase.IDLE))
"""Phases in which a connection has no thread."""
MOVING = frozenset((Phase.READING, Phase.WRITING))
"""Phases in which a thread waits for the client."""


class CloseReason(enum.StrEnum):
    """Why a connection was closed before its request was answered; a counter's label.

    - `CONNECTIONS`: others came, and there are as many as there may be.
    - `MEMORY`: others needed memory that it held.
    - `THREADS`: others needed a thread that it held.
    - `DESCRIPTORS`: the system has no descriptors left.
    """

    CONNECTIONS = "connections"
    MEMORY = "memory"
    THREADS = "threads"
    DESCRIPTORS = "descriptors"


class Progress:
    """What a connection does, and since when it has moved nothing to speak of."""

    __slots__ = ("phase", "progressed_s", "closed_for", "_moved_bytes")

    def __init__(self):
        self.phase = Phase.SILENT
        self.progressed_s = time.monotonic()
        self.closed_for: CloseReason | None = None
        self._moved_bytes = 0

    def enter(self, phase: Phase) -> None:
        """Begin to do something else."""
        self.phase = phase
        self.progressed_s = time.monotonic()
        self._moved_bytes = 0

    def moved(self, size: int) -> None:
        """Note that bytes came or went."""
        self._moved_bytes += size
        if self._moved_bytes >= PROGRESS_BYTES:
            self._moved_bytes = 0
            self.progressed_s = time.monotonic()


class ConnectionTable:
    """All open connections of a server; thread-safe.

    Each has a `progress`, and a `cut` that ends its reads and writes.
    """

    def __init__(self, *, on_closed: Callable[[CloseReason], None]):
        self._on_closed = on_closed
        self._lock = threading.Lock()
        self._connections: set = set()

    def __len__(self) -> int:
        return len(self._connections)

    def add(self, conn) -> None:
        """Add a connection that was accepted."""
        with self._lock:
            self._connections.add(conn)

    def remove(self, conn) -> None:
        """Remove a connection that was closed."""
        with self._lock:
            self._connections.discard(conn)

    def cut_slowest(self, phases: Iterable[Phase], reason: CloseReason) -> bool:
        """Cut the connection that has been slow for longest in one of the phases.

        Returns False if none has been slow for long.
        """
        slow_since_s = time.monotonic() - SLOW_S
        with self._lock:
            slow = [
                conn
                for conn in self._connections
                if conn.progress.phase in phases
                and conn.progress.closed_for is None
                and conn.progress.progressed_s < slow_since_s
            ]
            if not slow:
                return False
            slowest = min(slow, key=lambda conn: conn.progress.progressed_s)
            slowest.progress.closed_for = reason
            # Under the lock, since a closed one's descriptor may be another's.
            slowest.cut()
        self._on_closed(reason)
        return True

    def first_to_close(self):
        """Return the connection without a thread that is closed first, or None.

        Those that have been slow for a while come by their phase, the others by their
        last progress: a crowd that keeps coming would otherwise close each new one.
        """
        slow_since_s = time.monotonic() - SLOW_S

        def order(conn) -> tuple[bool, int, float]:
            progressed_s = conn.progress.progressed_s
            is_slow = progressed_s < slow_since_s
            return not is_slow, conn.progress.phase if is_slow else 0, progressed_s

        with self._lock:
            parked = [c for c in self._connections if c.progress.phase in PARKED]
        return min(parked, key=order, default=None)
