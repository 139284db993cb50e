"""Reads the roster stream for an entry, and answers its fresh reads."""

import threading
from collections.abc import Callable

from result import Err

from lavenderspoke.entryevents import RosterReached, RosterReadFailed, RosterRecord
from lavenderspoke.platformlog import FIRST_OFFSET, ROSTER_STREAM, Log


class RosterFeed:
    """The roster feed reads on from where it was, and to the end when asked."""

    def __init__(self, *, log: Log, post: Callable[[object], None]):
        self._log = log
        self._post = post
        self._lock = threading.Lock()
        self._wanted: list[str] = []
        self._next_offset = FIRST_OFFSET
        self.corrupt_offsets: set[int] = set()

    def request_read(self, read_id: str) -> None:
        """Ask for a read that begins after now."""
        with self._lock:
            self._wanted.append(read_id)

    def poll(self) -> None:
        """Read the stream to its present end."""
        # Taken before the read begins: one asked for during it must see an end
        # that is later than its request, so it waits for the next read.
        with self._lock:
            read_ids, self._wanted = tuple(self._wanted), []
        if self._read():
            reached = RosterReached(offset=self._next_offset - 1, read_ids=read_ids)
            self._post(reached)
        elif read_ids:
            self._post(RosterReadFailed(read_ids=read_ids))

    def _newly_corrupt(self, offsets: tuple[int, ...]) -> bool:
        # A record that only this reader got corrupt may be a join, without
        # which it would not ask that agent: it is read again. One that is
        # corrupt for all is no join that counts, since an agent reads its own
        # back before it accepts keyed work.
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
