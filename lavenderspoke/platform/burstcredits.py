"""The records of customers' burst credits in the platform's store.

They lie in the topic of the entries' own records, under keys of their own.
"""

import json
from collections.abc import Iterable
from typing import Protocol

import logbook
from result import Err, Ok

from lavenderspoke.clock import Clock
from lavenderspoke.direct.burstcredits import BURST_CREDITS_METRIC
from lavenderspoke.direct.records import KeyedRecord
from lavenderspoke.observing.metrics import Metrics
from lavenderspoke.periodic import Periodic
from lavenderspoke.platform.decoding import parse_value
from lavenderspoke.platform.entryrecords import TOPIC
from lavenderspoke.platform.store import Conflict, Store

KEY_PREFIX = "burst-credit/"
# Time between two checks for records to write or delete, in seconds. A customer at
# twice its rate fills half of its bucket in about twice this time.
PERIOD_S = 0.1
# Pause after a failed call, in seconds: without credit the bucket alone applies.
RETRY_PAUSE_S = 1.0

log = logbook.Logger(__name__)


class CreditDecisions(Protocol):
    """What the writer needs of the dispatcher."""

    def burst_credits_due(self) -> tuple[dict[str, float], list[str]]:
        """Return the credits to record and the customers whose record to delete."""

    def burst_credit_written(self, customer: str, tokens: float) -> None:
        """Put a credit in force that the store has acknowledged."""

    def burst_credit_deleted(self, customer: str) -> None:
        """Forget a credit whose record is deleted."""


def is_credit(record: KeyedRecord) -> bool:
    """Return whether a record of the topic is a burst credit."""
    return record.key.startswith(KEY_PREFIX)


def read_credits(records: Iterable[KeyedRecord]) -> dict[str, float]:
    """Return the credits among records, in tokens by customer.

    A malformed record counts as none and is logged.

    >>> record = KeyedRecord(key="burst-credit/tours", value=b"120.5", offset=3)
    >>> read_credits([record])
    {'tours': 120.5}
    """
    credits = {}
    for record in records:
        if not is_credit(record) or record.value is None:
            continue
        tokens = parse_value(record.value, float).unwrap_or(0.0)
        if tokens > 0.0:
            credits[record.key.removeprefix(KEY_PREFIX)] = tokens
        else:
            log.warning("burst credit skipped", key=record.key)
    return credits


class CreditWriter:
    """Records and deletes burst credits as an entry decides."""

    def __init__(
        self,
        *,
        store: Store,
        clock: Clock,
        metrics: Metrics,
        dispatcher: CreditDecisions,
    ):
        self._store = store
        self._clock = clock
        self._paused_until_s = 0.0
        self._metrics = metrics
        self._dispatcher = dispatcher
        self.part = Periodic(name="credits", period_s=PERIOD_S, work=self.write_due)

    def write_due(self) -> None:
        """Write and delete the records that are due."""
        if self._clock.monotonic_s() < self._paused_until_s:
            return
        writes, deletions = self._dispatcher.burst_credits_due()
        for customer, tokens in writes.items():
            self._write(customer, tokens)
        for customer in deletions:
            self._delete(customer)

    def _write(self, customer: str, tokens: float) -> None:
        value = json.dumps(tokens).encode()
        written = self._store.append(TOPIC, KEY_PREFIX + customer, value)
        if isinstance(written, Ok):
            self._metrics.count(BURST_CREDITS_METRIC, "written")
            self._dispatcher.burst_credit_written(customer, tokens)
        else:
            self._record_failure("write", customer, written.err_value.detail)

    def _delete(self, customer: str) -> None:
        """Delete a record, unless the topic changes between its read and the deletion.

        A deletion that the store carries out late could otherwise remove the record of
        a credit that another entry has just put in force.
        """
        read = self._store.newest(TOPIC)
        if isinstance(read, Err):
            self._record_failure("read", customer, read.err_value.detail)
            return
        deleted = self._store.append(
            TOPIC,
            KEY_PREFIX + customer,
            None,
            unchanged_since=read.ok_value,
        )
        if isinstance(deleted, Ok):
            self._metrics.count(BURST_CREDITS_METRIC, "deleted")
            self._dispatcher.burst_credit_deleted(customer)
        elif isinstance(deleted.err_value, Conflict):
            self._metrics.count(BURST_CREDITS_METRIC, "conflict")
        else:
            self._record_failure("delete", customer, deleted.err_value.detail)

    def _record_failure(self, call: str, customer: str, detail: str) -> None:
        self._paused_until_s = self._clock.monotonic_s() + RETRY_PAUSE_S
        self._metrics.count(BURST_CREDITS_METRIC, f"{call}_failed")
        log.warning(
            "burst credit call failed", call=call, customer=customer, error=detail
        )
