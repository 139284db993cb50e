"""Keeps a daemon's documents in force: from the log, or from other daemons."""

import threading
import uuid
from collections.abc import Callable

import logbook
from result import Err

from lavenderspoke.agentevents import DocumentInForce
from lavenderspoke.clock import Clock
from lavenderspoke.documents.edits import READ_LIMIT
from lavenderspoke.documents.fold import DocumentChange, DocumentFold, InForce
from lavenderspoke.documents.service import Service
from lavenderspoke.messages import DocumentRelay
from lavenderspoke.platformlog import SERVICES_STREAM, Log

log = logbook.Logger(__name__)


class DocumentFeed:
    """The documents of one daemon; safe to use from many threads.

    `post` takes a DocumentInForce for each document that comes into force.
    """

    def __init__(
        self,
        *,
        log: Log,
        fold: DocumentFold,
        clock: Clock,
        post: Callable[[object], None],
    ):
        self._log = log
        self._fold = fold
        self._clock = clock
        self._post = post
        self._lock = threading.Lock()
        self.read_failures = 0
        self.reading = False

    def poll(self) -> None:
        """Read the stream to its end, and carry documents forward when due."""
        while True:
            page = self._log.read(
                stream=SERVICES_STREAM, offset=self._next_offset(), limit=READ_LIMIT
            )
            if isinstance(page, Err):
                self.read_failures += 1
                self.reading = False
                return
            self.reading = True
            with self._lock:
                self._in_force(self._fold.apply_page(page.ok_value))
                done = self._fold.caught_up
            if done:
                self._carry(page.ok_value.oldest_offset)
                return

    def _next_offset(self) -> int:
        with self._lock:
            return self._fold.next_offset

    def _in_force(self, changes: list[DocumentChange]) -> None:
        for change in changes:
            document = change.document
            log.info(
                "document in force",
                service=document.service.name,
                version=document.version,
                author=document.author,
            )
            event = DocumentInForce(service=document.service, version=document.version)
            self._post(event)

    def _carry(self, oldest_offset: int) -> None:
        with self._lock:
            now_s = self._clock.monotonic_s()
            if not self._fold.due_to_carry(oldest_offset, now_s):
                return
            payload = self._fold.snapshot()
        # Whatever becomes of it: a snapshot that is lost is due again, and one
        # that is written twice changes nothing.
        self._log.append(
            stream=SERVICES_STREAM, record_id=uuid.uuid4().hex, payload=payload
        )

    def relay(self, message: DocumentRelay) -> None:
        """Take a document that another daemon passed on."""
        with self._lock:
            self._in_force(self._fold.relay(message.offset, message.record))

    def to_relay(self, service: str) -> DocumentRelay | None:
        """Return what is passed on to a daemon that lacks this service."""
        with self._lock:
            held = self._fold.in_force(service)
            if held is None:
                return None
            payload = self._fold.relay_payload(service)
        return DocumentRelay(offset=held.version, record=payload)

    def newer(self, versions: dict[str, int]) -> list[str]:
        """Return the services of which another daemon has a newer version."""
        own = self.versions()
        return [
            name for name, version in versions.items() if version > own.get(name, 0)
        ]

    def versions(self) -> dict[str, int]:
        """Return the version in force by service."""
        with self._lock:
            return self._fold.versions()

    def in_force(self, name: str) -> InForce | None:
        """Return the document in force for a service, with its version."""
        with self._lock:
            return self._fold.in_force(name)

    def service(self, name: str) -> Service | None:
        """Return the service that the document in force describes."""
        held = self.in_force(name)
        return None if held is None else held.service

    def skipped(self) -> dict[str, int]:
        """Return the records passed over, by reason."""
        with self._lock:
            return dict(self._fold.skipped)
