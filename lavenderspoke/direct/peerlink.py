"""The link to the other entries, loaded while callers are served already."""

import threading
from collections.abc import Callable
from typing import Protocol

import logbook

from lavenderspoke.direct.messages import RecordsMessage

log = logbook.Logger(__name__)


class PeerLink(Protocol):
    """What is loaded: a part that can also send one entry a message."""

    def start(self) -> None:
        """Listen, and begin to tell."""

    def stop(self) -> None:
        """Tell the others that this entry leaves, and hang up."""

    def alive(self) -> bool:
        """Return whether the others are being heard and told."""

    def send_to_peer(self, name: str, message: RecordsMessage) -> None:
        """Send one entry a message; it is dropped if that can't be reached."""


class PeerLinkLoader:
    """The part of an entry that loads its link to the others and runs it.

    The link's libraries are a good part of all that is loaded at a start, and callers
    that wait at the port after a fault of all entries wait for that too. An entry that
    doesn't hear the others yet keeps to its own part of limits, so it may serve before
    it has the link. `load` imports and returns it.
    """

    def __init__(self, *, load: Callable[[], PeerLink]):
        self._load = load
        self._link: PeerLink | None = None
        self._stopped = False
        self._lock = threading.Lock()
        self._loader: threading.Thread | None = None
        # Why the link doesn't run; empty when it does.
        self._cause = ""

    def start(self) -> None:
        """Begin to load the link, or start it again."""
        with self._lock:
            self._stopped = False
        self._loader = threading.Thread(target=self._run, name="peers", daemon=True)
        self._loader.start()

    def stop(self) -> None:
        """Stop the link; one that is being loaded is never started."""
        with self._lock:
            self._stopped = True
            link = self._link
        if link is not None:
            link.stop()

    def alive(self) -> bool:
        """Return whether the link runs, or is on its way."""
        loading = self._loader is not None and self._loader.is_alive()
        return loading or (self._link is not None and self._link.alive())

    def send_to_peer(self, name: str, message: RecordsMessage) -> None:
        """Send one entry a message; it is dropped if that can't be reached."""
        if self._link is not None:
            self._link.send_to_peer(name, message)

    def wait_loaded(self, timeout_s: float) -> None:
        """Wait until the link was loaded and started, or could not be."""
        if self._loader is not None:
            self._loader.join(timeout_s)

    def _run(self) -> None:
        try:
            link = self._link or self._load()
            with self._lock:
                if self._stopped:
                    return
                link.start()
                self._link = link
        except Exception as error:
            self._failed(error)
            return
        if self._cause:
            log.info("the link to the other entries started")
        self._cause = ""

    def _failed(self, error: Exception) -> None:
        """Say why, once for each cause.

        The part isn't alive from here on, and the supervisor starts it once more,
        every few seconds for as long as the cause lasts.
        """
        cause = repr(error)
        if cause != self._cause:
            log.exception("the link to the other entries didn't start")
        self._cause = cause
