"""Records of the platform's store, whose topics are logs of keyed records."""

from typing import Protocol

import attrs
from result import Result


@attrs.frozen(kw_only=True)
class StoreError:
    """A call without a valid response; the store may still have executed it."""

    detail: str


@attrs.frozen(kw_only=True)
class OffsetExpired:
    """The store doesn't have the requested offset; `first_offset` is the first it has.

    The offset has expired, or lies beyond the end of a copy that the store has come
    back from; `epoch` is as in a batch.
    """

    first_offset: int
    epoch: int | None = None


@attrs.frozen(kw_only=True)
class KeyedRecord:
    """A record of a key; a `value` of None is a tombstone (the key was deleted)."""

    key: str
    value: bytes | None
    offset: int


@attrs.frozen(kw_only=True)
class RecordBatch:
    """Records in offset order, and the offset of the next read.

    `skipped` counts records that could not be decoded. `epoch` is the number of the
    store's copy that they come from, None if the store didn't tell; offsets compare
    only within one copy.
    """

    records: tuple[KeyedRecord, ...]
    next_offset: int
    skipped: int = 0
    epoch: int | None = None


class RecordStore(Protocol):
    """A client of the platform's store. Not thread-safe."""

    def newest(self, topic: str) -> Result[RecordBatch, StoreError]:
        """Return the newest record of each key of a topic."""

    def read(
        self, topic: str, from_offset: int, *, wait_s: float
    ) -> Result[RecordBatch | OffsetExpired, StoreError]:
        """Return records from an offset on, waiting up to `wait_s` seconds for one."""
