"""The records of quarantined content in the platform's store.

They lie in the topic of the entries' own records, under keys of their own.
"""

import json
from collections.abc import Iterable
from typing import Protocol

import attrs
import logbook
from result import Err

from lavenderspoke.clock import Clock
from lavenderspoke.direct.records import KeyedRecord
from lavenderspoke.direct.verdicts import QUARANTINES
from lavenderspoke.observing.metrics import Metrics
from lavenderspoke.periodic import Periodic
from lavenderspoke.platform.burstcredits import TOPIC
from lavenderspoke.platform.store import Store

KEY_PREFIX = "quarantine/"
# Number of characters of a content's hash, in hexadecimal.
FINGERPRINT_LENGTH = 24
# Time between two checks for records to write or delete, in seconds.
PERIOD_S = 0.1
# Pause after a failed call, in seconds.
RETRY_PAUSE_S = 1.0

log = logbook.Logger(__name__)


class QuarantineDecisions(Protocol):
    """What the writer needs of the dispatcher."""

    def quarantines_due(self) -> tuple[dict[str, tuple[str, ...]], list[str]]:
        """Return the records to write, with the crashed upstreams, and to delete."""

    def quarantine_written(self, fingerprint: str) -> None:
        """Record that the store has a quarantine."""

    def quarantine_deleted(self, fingerprint: str) -> None:
        """Record that the store no longer has a quarantine."""


@attrs.frozen(kw_only=True)
class QuarantineRows:
    """The quarantines among records: content that has one, or whose is deleted."""

    present: tuple[str, ...]
    deleted: tuple[str, ...]


def is_quarantine(record: KeyedRecord) -> bool:
    """Return whether a record of the topic is a quarantine."""
    return record.key.startswith(KEY_PREFIX)


def read_quarantines(records: Iterable[KeyedRecord]) -> QuarantineRows:
    """Return the quarantines among records; malformed ones are logged and left out.

    >>> key = "quarantine/0123456789abcdef01234567"
    >>> record = KeyedRecord(key=key, value=b"{}", offset=3)
    >>> read_quarantines([record]).present
    ('0123456789abcdef01234567',)
    """
    present, deleted = [], []
    for record in records:
        if not is_quarantine(record):
            continue
        fingerprint = record.key.removeprefix(KEY_PREFIX)
        is_hash = set(fingerprint) <= set("0123456789abcdef")
        if len(fingerprint) != FINGERPRINT_LENGTH or not is_hash:
            log.warning("quarantine record skipped", key=record.key)
        elif record.value is None:
            deleted.append(fingerprint)
        else:
            present.append(fingerprint)
    return QuarantineRows(present=tuple(present), deleted=tuple(deleted))


class QuarantineWriter:
    """Writes and deletes the records of quarantines as an entry decides."""

    def __init__(
        self,
        *,
        store: Store,
        clock: Clock,
        metrics: Metrics,
        dispatcher: QuarantineDecisions,
    ):
        self._store = store
        self._clock = clock
        self._metrics = metrics
        self._dispatcher = dispatcher
        self._paused_until_s = 0.0
        self.part = Periodic(name="quarantines", period_s=PERIOD_S, work=self.write_due)

    def write_due(self) -> None:
        """Write and delete the records that are due."""
        if self._clock.monotonic_s() < self._paused_until_s:
            return
        writes, deletions = self._dispatcher.quarantines_due()
        for fingerprint, upstreams in writes.items():
            value = json.dumps({"upstreams": upstreams}).encode()
            if self._append(fingerprint, value, "written"):
                self._dispatcher.quarantine_written(fingerprint)
        for fingerprint in deletions:
            if self._append(fingerprint, None, "deleted"):
                self._dispatcher.quarantine_deleted(fingerprint)

    def _append(self, fingerprint: str, value: bytes | None, done: str) -> bool:
        appended = self._store.append(TOPIC, KEY_PREFIX + fingerprint, value)
        if isinstance(appended, Err):
            self._paused_until_s = self._clock.monotonic_s() + RETRY_PAUSE_S
            self._metrics.count(QUARANTINES, f"not_{done}")
            log.warning(
                "quarantine record failed",
                content=fingerprint,
                error=appended.err_value.detail,
            )
            return False
        self._metrics.count(QUARANTINES, done)
        return True
