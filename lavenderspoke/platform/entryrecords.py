"""Writes records beside those of the entries in the platform's store.

They hold what must outlive all entries, under keys with a prefix of their own. One read
of the topic gives them all to an entry that starts.
"""

import json
from collections.abc import Callable, Iterable
from typing import Protocol

import attrs
import logbook
from result import Ok

from lavenderspoke.clock import Clock
from lavenderspoke.observing.metrics import Metrics
from lavenderspoke.periodic import Periodic
from lavenderspoke.platform.store import Store, Unwritable

TOPIC = "keyed.lavenderspoke-entries"
# Time between two checks for records to write or delete, in seconds: they serve entries
# that start later.
PERIOD_S = 0.25
# Pause after a failed call, in seconds.
RETRY_PAUSE_S = 1.0
# Names that are remembered as unwritable, at most.
UNWRITABLE_MAX = 1_000

log = logbook.Logger(__name__)


@attrs.frozen(kw_only=True)
class DueRecords:
    """Records to write, by name, and the names of those to delete."""

    writes: dict[str, object]
    deletions: list[str]


class RecordWriter:
    """Writes and deletes the records of one prefix as an entry decides.

    `due()` returns the records that are due. `on_written` is called with the name and
    value of each that the store has taken, `on_deleted` with the name of each that it
    has deleted. They are counted in `metric`. `encode` returns what is written of a
    value.
    """

    def __init__(
        self,
        *,
        prefix: str,
        store: Store,
        clock: Clock,
        metrics: Metrics,
        metric: str,
        due: Callable[[], DueRecords],
        on_written: Callable[[str, object], None],
        on_deleted: Callable[[str], None],
        encode: Callable[[object], object] = lambda value: value,
    ):
        self._prefix = prefix
        self._store = store
        self._clock = clock
        self._metrics = metrics
        self._metric = metric
        self._due = due
        self._on_written = on_written
        self._on_deleted = on_deleted
        self._encode = encode
        self._paused_until_s = 0.0
        # Names of records that can't be written.
        self._unwritable: set[str] = set()

    def write_due(self) -> None:
        """Write and delete the records that are due."""
        if self._clock.monotonic_s() < self._paused_until_s:
            return
        due = self._due()
        for name, value in due.writes.items():
            if self._write(name, value):
                self._on_written(name, value)
        for name in due.deletions:
            if self._append(name, None, "deleted"):
                self._on_deleted(name)

    def _write(self, name: str, value: object) -> bool:
        if name in self._unwritable:
            return False
        try:
            encoded = json.dumps(self._encode(value)).encode()
        except (TypeError, ValueError, RecursionError) as error:
            self._refuse(name, f"{type(error).__name__}: {error}")
            return False
        return self._append(name, encoded, "written")

    def _append(self, name: str, value: bytes | None, done: str) -> bool:
        appended = self._store.append(TOPIC, self._prefix + name, value)
        if isinstance(appended, Ok):
            self._metrics.count(self._metric, done)
            return True
        if isinstance(appended.err_value, Unwritable):
            self._refuse(name, appended.err_value.detail)
            return False
        self._paused_until_s = self._clock.monotonic_s() + RETRY_PAUSE_S
        self._metrics.count(self._metric, f"not_{done}")
        log.warning(
            "record beside the entries' failed",
            key=self._prefix + name,
            error=appended.err_value.detail,
        )
        return False

    def _refuse(self, name: str, detail: str) -> None:
        """Never try again: those behind it would wait for it."""
        if len(self._unwritable) < UNWRITABLE_MAX:
            self._unwritable.add(name)
        self._metrics.count(self._metric, "unwritable")
        log.error(
            "record can't be written", key=self._prefix + name[:80], error=detail[:200]
        )


class DueWriter(Protocol):
    """A writer of one kind of record."""

    def write_due(self) -> None:
        """Write what is due."""


def part_of(writers: Iterable[DueWriter]) -> Periodic:
    """Return the part that writes and deletes the records of all kinds.

    What one writer raises is raised once all have had their turn.
    """

    def write_due() -> None:
        failures: list[Exception] = []
        for writer in writers:
            try:
                writer.write_due()
            except Exception as error:
                failures.append(error)
        if failures:
            raise failures[0]

    return Periodic(name="facts", period_s=PERIOD_S, work=write_due)
