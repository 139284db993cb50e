"""Operators' roll-out orders, and the status records of roll-outs.

An order is a record in the configuration's topic. The status that operators read is a
record in another topic, which any entry may write. A write is conditional on the topic
being unchanged since it was read, so that a delayed entry can't replace a newer state.
"""

import datetime
import json
import math
from collections.abc import Callable

import attrs
import logbook
from result import Err, Ok, Result

from lavenderspoke.clock import Clock
from lavenderspoke.direct.records import KeyedRecord, RecordBatch, StoreError
from lavenderspoke.direct.rolling import StatusUpdate
from lavenderspoke.observing.metrics import Metrics
from lavenderspoke.periodic import Periodic
from lavenderspoke.platform.decoding import parse_as
from lavenderspoke.platform.store import Conflict, Store
from lavenderspoke.rollouts.orders import Order, Stage

KEY_PREFIX = "rollout/"
STATUS_TOPIC = "keyed.status"
# Maximum duration in an order, in seconds; longer than any roll-out lasts.
DURATION_MAX_S = 30 * 86_400.0
# Time between two checks for status records to write, in seconds.
STATUS_PERIOD_S = 0.2
# Offsets of the orders of one epoch are below this.
OFFSETS_PER_EPOCH = 1_000_000_000
ORDERS_METRIC = "rollout_orders"
RECORDS_METRIC = "rollout_records"

# States in status records, and the stages that they mean.
STAGE_BY_STATE = {
    "in_progress": Stage.CANARY,
    "completed": Stage.COMPLETED,
    "rolled_back": Stage.ROLLED_BACK,
}
# State to write when a roll-out has reached a stage.
STATE_TO_WRITE = {
    Stage.ORDERED: "in_progress",
    Stage.MOVING: "completed",
    Stage.STOPPED: "rolled_back",
    # Written again, since the store has lost the record.
    Stage.COMPLETED: "completed",
    Stage.ROLLED_BACK: "rolled_back",
}

log = logbook.Logger(__name__)


@attrs.frozen(kw_only=True)
class _Order:
    """An order as operators write it; `target` is a version."""

    service: str
    target: str
    duration_s: float


@attrs.frozen(kw_only=True)
class Status:
    """The status record of a roll-out; `order` is the number of its order.

    `ordered_unix_s` is when the entry that wrote the first record saw the order.
    """

    service: str
    target: str
    state: str
    order: int = -1
    ordered_unix_s: float = 0.0

    @property
    def stage(self) -> Stage | None:
        """The stage that the state means, or None for an unknown state."""
        return STAGE_BY_STATE.get(self.state)


def is_order(record: KeyedRecord) -> bool:
    """Return whether a record in the configuration's topic is an order."""
    return record.key.startswith(KEY_PREFIX)


def order_number(epoch: int, offset: int) -> int:
    """Return a number that grows with the store's copies, and with offsets in one.

    >>> order_number(2, 7)
    2000000007
    """
    return epoch * OFFSETS_PER_EPOCH + offset


def decode_order(record: KeyedRecord, epoch: int = 0) -> Result[Order, str]:
    """Return the order in a record of the store's copy `epoch`, or an error message.

    >>> value = b'{"service": "s", "target": "v2", "duration-s": 12}'
    >>> record = KeyedRecord(key="rollout/s", value=value, offset=3)
    >>> decode_order(record).ok_value.duration_s
    12.0
    >>> decode_order(attrs.evolve(record, key="rollout/t")).err_value
    "for 's' under the name of 't'"
    """
    parsed = parse_as(record.value or b"", _Order)
    if isinstance(parsed, Err):
        return parsed
    content = parsed.ok_value
    named = record.key.removeprefix(KEY_PREFIX)
    if content.service != named:
        return Err(f"for {content.service!r} under the name of {named!r}")
    if not content.target:
        return Err("target: empty")
    duration_s = content.duration_s
    if not (math.isfinite(duration_s) and 0.0 < duration_s <= DURATION_MAX_S):
        return Err(f"duration: {duration_s} s")
    return Ok(
        Order(
            service=content.service,
            target=content.target,
            duration_s=float(duration_s),
            number=order_number(epoch, record.offset),
        )
    )


class OrderTracker:
    """Detects new and withdrawn orders; each record is applied once.

    `on_order(order)` is called for each new order, and `on_withdrawn(service, number)`
    for each withdrawn one, with the record number of the withdrawal.

    When the store comes back from an older copy, orders come again under other numbers,
    all higher than those before, and `on_records_lost()` is called for the status
    records. An order that the copy lacks isn't withdrawn: the operator writes it again.
    """

    def __init__(
        self,
        *,
        on_order: Callable[[Order], None],
        on_withdrawn: Callable[[str, int], None],
        metrics: Metrics,
        on_records_lost: Callable[[], None] = lambda: None,
    ):
        self._on_records_lost = on_records_lost
        self._on_order = on_order
        self._on_withdrawn = on_withdrawn
        self._metrics = metrics
        self._seen_offsets: dict[str, int] = {}
        self._epoch = 0

    def on_new_copy(self) -> None:
        """Forget offsets: the next snapshot is from an older copy of the store."""
        self._seen_offsets.clear()
        self._on_records_lost()

    def apply(self, batch: RecordBatch, *, is_snapshot: bool, epoch: int = 0) -> None:
        """Apply records of the store's copy `epoch`; a snapshot has every key."""
        self._epoch = epoch
        orders = [each for each in batch.records if is_order(each)]
        for record in orders:
            if record.offset > self._seen_offsets.get(record.key, -1):
                self._seen_offsets[record.key] = record.offset
                self._apply_record(record)
        if is_snapshot:
            self._drop_missing({each.key for each in orders}, batch.next_offset)

    def _apply_record(self, record: KeyedRecord) -> None:
        if record.value is None:
            self._withdraw(record.key, record.offset)
            return
        decoded = decode_order(record, self._epoch)
        if isinstance(decoded, Err):
            self._metrics.count(ORDERS_METRIC, "malformed")
            error = decoded.err_value
            log.error("invalid roll-out order ignored", key=record.key, error=error)
            return
        self._metrics.count(ORDERS_METRIC, "taken")
        self._on_order(decoded.ok_value)

    def _drop_missing(self, present: set[str], next_offset: int) -> None:
        for key, offset in list(self._seen_offsets.items()):
            if key not in present and offset < next_offset:
                del self._seen_offsets[key]
                self._withdraw(key, next_offset)

    def _withdraw(self, key: str, number: int) -> None:
        self._metrics.count(ORDERS_METRIC, "withdrawn")
        service = key.removeprefix(KEY_PREFIX)
        log.warning("roll-out order withdrawn", service=service, record=number)
        self._on_withdrawn(service, order_number(self._epoch, number))


class StatusWriter:
    """Writes the status records of roll-outs.

    `updates_due()` returns the records that this entry should write, and
    `on_stored(order, stage, elapsed_s)` gets what the store says.
    """

    def __init__(
        self,
        *,
        store: Store,
        clock: Clock,
        metrics: Metrics,
        updates_due: Callable[[], list[StatusUpdate]],
        on_stored: Callable[[Order, Stage, float], None],
    ):
        self._store = store
        self._clock = clock
        self._metrics = metrics
        self._updates_due = updates_due
        self._on_stored = on_stored
        self.part = Periodic(
            name="rollouts", period_s=STATUS_PERIOD_S, work=self.write_due
        )

    def write_due(self) -> None:
        """Write the status records that are due."""
        for update in self._updates_due():
            self._process(update)

    def _process(self, update: StatusUpdate) -> None:
        read = self._store.newest(STATUS_TOPIC)
        if isinstance(read, Err):
            self._record_failure("read", read.err_value)
            return
        known = _find_status(update.order, read.ok_value)
        if known is not None and known.stage is not None:
            since_s = self._clock.now().timestamp() - known.ordered_unix_s
            elapsed_s = min(max(0.0, since_s), update.order.duration_s)
            self._on_stored(update.order, known.stage, elapsed_s)
            if (
                known.stage.is_final
                or STAGE_BY_STATE[STATE_TO_WRITE[update.stage]] is known.stage
            ):
                return
        self._write(update, known, read.ok_value)

    def _write(
        self, update: StatusUpdate, known: Status | None, read: RecordBatch
    ) -> None:
        order = update.order
        now_s = self._clock.now().timestamp()
        status = Status(
            service=order.service,
            target=order.target,
            state=STATE_TO_WRITE[update.stage],
            order=order.number,
            ordered_unix_s=known.ordered_unix_s if known else now_s - update.elapsed_s,
        )
        fields = attrs.asdict(status).items()
        value = json.dumps({name.replace("_", "-"): each for name, each in fields})
        key = KEY_PREFIX + order.service
        written = self._store.append(
            STATUS_TOPIC, key, value.encode(), unchanged_since=read
        )
        if isinstance(written, Ok):
            self._metrics.count(RECORDS_METRIC, status.state)
            at = datetime.datetime.fromtimestamp(status.ordered_unix_s, datetime.UTC)
            log.info(
                "roll-out record written",
                service=order.service,
                order=order.number,
                state=status.state,
                ordered=at.isoformat(),
            )
            self._on_stored(order, status.stage, update.elapsed_s)
        elif isinstance(written.err_value, Conflict):
            # Another entry wrote first; the next round reads its record.
            self._metrics.count(RECORDS_METRIC, "conflict")
        else:
            self._record_failure("write", written.err_value)

    def _record_failure(self, call: str, error: StoreError) -> None:
        self._metrics.count(RECORDS_METRIC, f"{call}_failed")
        log.warning("roll-out record call failed", call=call, error=error.detail)


def _find_status(order: Order, batch: RecordBatch) -> Status | None:
    """Return the status record of an order, or None without a valid one."""
    key = KEY_PREFIX + order.service
    values = [each.value for each in batch.records if each.key == key]
    if not values or values[-1] is None:
        return None
    parsed = parse_as(values[-1], Status)
    if isinstance(parsed, Err):
        log.error("invalid roll-out record ignored", key=key, error=parsed.err_value)
        return None
    status = parsed.ok_value
    is_same = status.order == order.number and status.target == order.target
    return status if is_same else None
