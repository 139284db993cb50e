"""Reads the roster stream for an entry and serves the reads it requests."""

import threading
from collections.abc import Callable

from result import Err

from lavenderspoke.entryevents import RosterReached, RosterReadFailed, RosterRecord
from lavenderspoke.platformlog import FIRST_OFFSET, ROSTER_STREAM, Log


class RosterFeed:
    """Reads the stream from its last offset to its end at each poll."""

    def __init__(self, *, log: Log, post: Callable[[object], None]):
        self._log = log
        self._post = post
        self._lock = threading.Lock()
        self._requested_reads: list[str] = []
        self._next_offset = FIRST_OFFSET
        self.corrupt_offsets: set[int] = set()

    def request_read(self, read_id: str) -> None:
        """Request a read that begins after this call."""
        with self._lock:
            self._requested_reads.append(read_id)

    def poll(self) -> None:
        """Read the stream to its current end and post the result."""
        # Taken before the read begins: a request made during it needs an end of the
        # stream that is later than the request, so it waits for the next read.
        with self._lock:
            read_ids, self._requested_reads = tuple(self._requested_reads), []
        if self._read():
            reached = RosterReached(offset=self._next_offset - 1, read_ids=read_ids)
            self._post(reached)
        elif read_ids:
            self._post(RosterReadFailed(read_ids=read_ids))

    def _newly_corrupt(self, offsets: tuple[int, ...]) -> bool:
        # A record that only this read got corrupt may be a join, and without it
        # that agent would not be asked: it is read again. One that is corrupt for
        # every reader is not a valid join, since an agent reads its own join back
        # before it accepts keyed work.
        new = set(offsets) - self.corrupt_offsets
        self.corrupt_offsets |= new
        return bool(new)

    def _read(self) -> bool:
        while True:
            page = self._log.read(stream=ROSTER_STREAM, offset=self._next_offset)
            if isinstance(page, Err):
                return False
            found = page.ok_value
            if self._newly_corrupt(found.corrupt_offsets):
                return False
            for record in found.records:
                self._post(RosterRecord(offset=record.offset, payload=record.payload))
            self._next_offset = found.next_offset
            if found.next_offset >= found.end_offset:
                return True
