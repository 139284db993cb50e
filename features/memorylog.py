"""A log in memory, and documents to put into it."""

from collections.abc import Callable
from functools import partial

import attrs
from result import Err, Ok, Result

from lavenderspoke.platformlog import (
    FIRST_OFFSET,
    LogError,
    LogOutcomeUnknown,
    LogPage,
    LogRecord,
    LogUnavailable,
)

DOCUMENT = """\
name: {name}
upstreams: {{kind: model, labels: [engine]}}
tiers: [{{name: high, rank: 2}}, {{name: low, rank: 1}}]
customers:
  - {{name: one, credential_sha256: "{digest}", tiers: [high, low], burst: {burst}}}
"""


def document(name: str = "alerts", burst: int = 100) -> str:
    """Return the text of a valid document; `burst` tells two of them apart."""
    return DOCUMENT.format(name=name, digest="ab" * 32, burst=burst)


@attrs.define(kw_only=True, slots=False)
class MemoryLog:
    """A log in memory, with faults that a test turns on.

    `faults` holds, for the next appends in turn, "lost" (appended, and the
    answer is lost), "vanished" (not appended, and the answer is lost) or
    "down" (refused). What vanished may still arrive: `vanished` holds the calls
    that make it.
    """

    records: list[tuple[str, LogRecord]] = attrs.field(factory=list)
    next_offset: int = FIRST_OFFSET
    oldest_offset: int = FIRST_OFFSET
    down: bool = False
    faults: list[str] = attrs.field(factory=list)
    vanished: list[Callable[[], object]] = attrs.field(factory=list)

    def append(
        self, *, stream: str, record_id: str, payload: bytes
    ) -> Result[int, LogError]:
        fault = self.faults.pop(0) if self.faults else None
        if self.down or fault == "down":
            return Err(LogUnavailable(detail="down"))
        if fault == "vanished":
            again = {"stream": stream, "record_id": record_id, "payload": payload}
            self.vanished.append(partial(self.append, **again))
            return Err(LogOutcomeUnknown(detail="vanished"))
        offset = self.next_offset
        record = LogRecord(offset=offset, record_id=record_id, payload=payload)
        self.records.append((stream, record))
        self.next_offset += 1
        if fault == "lost":
            return Err(LogOutcomeUnknown(detail="lost"))
        return Ok(offset)

    def read(
        self, *, stream: str, offset: int, limit: int = 500
    ) -> Result[LogPage, LogError]:
        if self.down:
            return Err(LogUnavailable(detail="down"))
        found = [
            record
            for name, record in self.records
            if name == stream and record.offset >= max(offset, self.oldest_offset)
        ]
        page = tuple(found[:limit])
        more = len(found) > limit
        next_offset = page[-1].offset + 1 if more else self.next_offset
        return Ok(
            LogPage(
                records=page,
                next_offset=next_offset,
                end_offset=self.next_offset,
                oldest_offset=self.oldest_offset,
            )
        )

    def trim(self, oldest_offset: int) -> None:
        """Forget what lies below an offset."""
        self.oldest_offset = max(self.oldest_offset, oldest_offset)
