"""The link to the other entries, loaded while the entry already serves callers."""

import threading
from collections.abc import Callable
from typing import Protocol

import logbook

from lavenderspoke.direct.messages import RecordsMessage, StreamMessage

log = logbook.Logger(__name__)


class PeerLink(Protocol):
    """A supervised part that exchanges messages with the other entries."""

    def start(self) -> None:
        """Start listening and sending."""

    def stop(self) -> None:
        """Announce that this entry is leaving, and close all connections."""

    def alive(self) -> bool:
        """Return whether messages are being sent and received."""

    def send_to_peer(self, name: str, message: RecordsMessage | StreamMessage) -> None:
        """Send a message to one entry; drop it if that is unknown or unreachable."""


class PeerLinkLoader:
    """Loads the link to the other entries in the background, and runs it.

    The link's libraries take a sixth of the startup time, and after a failure of all
    entries, callers at the port would also wait until they are loaded. An entry
    without the link keeps to its own share of the limits, so it may serve before the
    link is loaded, though nothing ticks its dispatcher until then. `load` imports and
    returns the link, usually `Gossip`.
    """

    def __init__(self, *, load: Callable[[], PeerLink]):
        self._load = load
        self._link: PeerLink | None = None
        self._stopped = False
        self._lock = threading.Lock()
        self._start_thread: threading.Thread | None = None
        # Why the link failed to start; empty after a successful start.
        self._start_error = ""

    def start(self) -> None:
        """Load and start the link, or restart one that was loaded before."""
        with self._lock:
            self._stopped = False
        self._start_thread = threading.Thread(
            target=self._load_and_start, name="peers", daemon=True
        )
        self._start_thread.start()

    def stop(self) -> None:
        """Stop the link; if it is still loading, it is not started afterwards."""
        with self._lock:
            self._stopped = True
            link = self._link
        if link is not None:
            link.stop()

    def alive(self) -> bool:
        """Return whether the link is running or being loaded."""
        loading = self._start_thread is not None and self._start_thread.is_alive()
        return loading or (self._link is not None and self._link.alive())

    def send_to_peer(self, name: str, message: RecordsMessage | StreamMessage) -> None:
        """Send a message to one entry; drop it if that is unknown or unreachable."""
        if self._link is not None:
            self._link.send_to_peer(name, message)

    def wait_started(self, timeout_s: float) -> None:
        """Wait until the link has started or failed to, at most `timeout_s` seconds."""
        if self._start_thread is not None:
            self._start_thread.join(timeout_s)

    def _load_and_start(self) -> None:
        try:
            link = self._link or self._load()
            with self._lock:
                if self._stopped:
                    return
                link.start()
                self._link = link
        except Exception as error:
            self._log_start_error(error)
            return
        if self._start_error:
            log.info("link to the other entries started")
        self._start_error = ""

    def _log_start_error(self, error: Exception) -> None:
        """Log the error, unless it is the same as at the last attempt.

        The part isn't alive then; the supervisor retries every few seconds, and each
        attempt would log the same error.
        """
        error_text = repr(error)
        if error_text != self._start_error:
            log.exception("link to the other entries failed to start")
        self._start_error = error_text
