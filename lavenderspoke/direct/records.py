"""Records of a platform's log whose topics hold a value for each key."""

from typing import Protocol

import attrs
from result import Result


@attrs.frozen(kw_only=True)
class StoreError:
    """A call without a good answer: it may have been carried out all the same."""

    detail: str


@attrs.frozen(kw_only=True)
class OffsetExpired:
    """The records asked for are gone; reading goes on at `first_offset`."""

    first_offset: int


@attrs.frozen(kw_only=True)
class KeyedRecord:
    """The record of a key; `value` is None where the key was dropped."""

    key: str
    value: bytes | None
    offset: int


@attrs.frozen(kw_only=True)
class RecordBatch:
    """Records in order and the offset at which to read on.

    `skipped` counts those that could not be decoded.
    """

    records: tuple[KeyedRecord, ...]
    next_offset: int
    skipped: int = 0


class RecordStore(Protocol):
    """A client of the log, for one thread."""

    def newest(self, topic: str) -> Result[RecordBatch, StoreError]:
        """Return the newest record of each key of a topic."""

    def read(
        self, topic: str, from_offset: int, *, wait_s: float
    ) -> Result[RecordBatch | OffsetExpired, StoreError]:
        """Return the records from an offset on, waiting for one up to `wait_s`."""
