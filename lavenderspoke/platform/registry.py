"""Tracks the upstreams that register in the platform's store."""

import enum
import ipaddress
import re
from collections.abc import Callable

import attrs
import logbook
from result import Err, Ok, Result

from lavenderspoke.direct.instances import Upstream
from lavenderspoke.direct.records import KeyedRecord
from lavenderspoke.platform.decoding import parse_as

# After a store outage, records that expired in it are renewed within about two
# seconds of its end; upstreams whose record is still missing are then removed. In
# seconds, and below two, since the end is noticed up to one read late.
RECOVERY_GRACE_S = 1.7
# Above the number of requests that any engine runs at once.
SLOTS_MAX = 4096
PORT_MAX = 65_535
# Characters of a service, data centre or version.
TEXT_LENGTH_MAX = 200
# Names of upstreams are sent to them in a header.
HEADER_VALUE = re.compile(r"[!-~]([ -~]{0,253}[!-~])?")
# Number of skipped records remembered as logged: each is logged once, since a writer
# that repeats its record every second would fill the log.
SKIPPED_LOGGED_MAX = 256
READY = "ready"

log = logbook.Logger(__name__)


class SkipReason(enum.Enum):
    """Why a record is skipped."""

    MALFORMED = "malformed"
    BAD_TEXT = "bad_text"
    BAD_ADDRESS = "bad_address"
    BAD_SLOTS = "bad_slots"
    OLDER_START = "older_start"
    SAME_ID = "same_id"
    # For a reason that no check above knows.
    FAILED = "failed"


@attrs.frozen(kw_only=True)
class SkippedRecord:
    """A record without a usable upstream; `detail` is for the log."""

    reason: SkipReason
    detail: str


@attrs.frozen(kw_only=True)
class _Record:
    """An upstream's record of itself, with the platform's field names.

    `address` is an IPv4 address and a port; `zone` is a data centre; `version` is that
    of its software. `warmup_left_ms` is the remaining warm-up time after its start.
    `born` is the Unix time of its start in milliseconds: an upstream may restart under
    the same name.
    """

    service: str
    address: str
    zone: str
    slots: int
    state: str
    version: str = ""
    warmup_left_ms: float = 0.0
    born: int | None = None


@attrs.frozen(kw_only=True)
class Registration:
    """An upstream and its start time in Unix milliseconds, if its record has one."""

    upstream: Upstream
    start_unix_ms: int | None


def decode(name: str, value: bytes) -> Result[Registration, SkippedRecord]:
    """Return the upstream in a record, or why the record is skipped.

    Other programs write to the topic too. Their records must not lead to requests to
    other addresses or to slots that don't exist.
    """
    parsed = parse_as(value, _Record)
    if isinstance(parsed, Err):
        return _skip(SkipReason.MALFORMED, parsed.err_value)
    record = parsed.ok_value
    if not record.service:
        return _skip(SkipReason.MALFORMED, "no service")
    if not HEADER_VALUE.fullmatch(name):
        return _skip(SkipReason.BAD_TEXT, "key")
    for text in (record.service, record.zone, record.version):
        if len(text) > TEXT_LENGTH_MAX or not text.isprintable():
            return _skip(SkipReason.BAD_TEXT, f"{text[:40]!r}")
    if not 1 <= record.slots <= SLOTS_MAX:
        return _skip(SkipReason.BAD_SLOTS, f"{record.slots} slots")
    host, _, port = record.address.rpartition(":")
    if not _is_host(host) or not _is_port(port):
        return _skip(SkipReason.BAD_ADDRESS, record.address)
    upstream = Upstream(
        upstream_id=name if record.born is None else f"{name}@{record.born}",
        name=name,
        service=record.service,
        host=host,
        port=int(port),
        data_centre=record.zone,
        slots=record.slots,
        version=record.version,
        is_warm=record.warmup_left_ms <= 0.0,
        leaving=record.state != READY,
    )
    return Ok(Registration(upstream=upstream, start_unix_ms=record.born))


def _is_host(text: str) -> bool:
    try:
        address = ipaddress.IPv4Address(text)
    except ValueError:
        return False
    return not (address.is_unspecified or address.is_multicast)


def _is_port(text: str) -> bool:
    is_number = text.isascii() and text.isdigit() and len(text) <= len(str(PORT_MAX))
    return is_number and 1 <= int(text) <= PORT_MAX


def _skip(reason: SkipReason, detail: str) -> Err[SkippedRecord]:
    return Err(SkippedRecord(reason=reason, detail=detail[:200]))


def _still_leaving(known: Registration, received: Registration) -> Registration:
    """Return a registration that is leaving if its upstream was before."""
    is_same = received.upstream.upstream_id == known.upstream.upstream_id
    if not is_same or not known.upstream.leaving:
        return received
    return attrs.evolve(
        received, upstream=attrs.evolve(received.upstream, leaving=True)
    )


@attrs.define(kw_only=True)
class _KnownUpstream:
    offset: int
    registration: Registration


class Registry:
    """Applies the store's records in order and keeps the registered upstreams.

    A record that was applied before changes nothing. Times are seconds on the
    caller's clock.

    When the store comes back from an older copy, upstreams write their records again.
    Until one has, the copy can't bring back what was known to leave or to be gone, and
    one that it lacks has as long as after an outage.
    """

    def __init__(
        self, *, on_skipped: Callable[[SkipReason], None] = lambda reason: None
    ):
        self._on_skipped = on_skipped
        self._skipped_logged: set[tuple[str, SkipReason]] = set()
        self._earlier_start_ids: dict[str, str] = {}
        self._known_upstreams: dict[str, _KnownUpstream] = {}
        self._dropped_offsets: dict[str, int] = {}
        # Keys that were dropped before the store came back from an older copy, and the
        # end of that copy, None if its first snapshot is still to come.
        self._dropped_before: set[str] = set()
        self._copy_end_offset: int | None = 0
        self._pending_removal: set[str] = set()
        self._end_offset = 0
        self._store_unavailable = False
        self._store_recovered_s: float | None = None

    def on_store_failed(self) -> None:
        """Mark the store as unavailable."""
        self._store_unavailable = True

    def on_store_answered(self, now_s: float) -> None:
        """Mark the store as available, and start the grace period after an outage."""
        if self._store_unavailable:
            self._store_unavailable = False
            self._store_recovered_s = now_s

    def on_new_copy(self, now_s: float) -> None:
        """Forget offsets: the next snapshot is from an older copy of the store."""
        self._dropped_before |= {
            key for key in self._dropped_offsets if key not in self._known_upstreams
        }
        self._dropped_offsets.clear()
        self._end_offset = 0
        self._copy_end_offset = None
        for known in self._known_upstreams.values():
            known.offset = -1
        self._store_unavailable = False
        self._store_recovered_s = now_s

    def apply(self, records: tuple[KeyedRecord, ...], now_s: float) -> None:
        """Apply records in the order in which they were read."""
        self.on_store_answered(now_s)
        for record in records:
            self._end_offset = max(self._end_offset, record.offset + 1)
            try:
                self._apply(record, now_s)
            except Exception as error:
                # It must cost itself, and not those behind it.
                detail = f"{type(error).__name__}: {error}"[:200]
                self._skip(
                    record.key, SkippedRecord(reason=SkipReason.FAILED, detail=detail)
                )

    def replace(
        self, records: tuple[KeyedRecord, ...], end_offset: int, now_s: float
    ) -> None:
        """Apply a snapshot: the newest record of each key, after a gap in the reads.

        Keys that aren't in it have been deleted. A snapshot older than the records
        applied so far is ignored.
        """
        if end_offset < self._end_offset:
            return
        if self._copy_end_offset is None:
            self._copy_end_offset = end_offset
        self.apply(records, now_s)
        self._end_offset = max(self._end_offset, end_offset)
        present = {record.key for record in records}
        for key in [each for each in self._known_upstreams if each not in present]:
            self._drop(key, end_offset - 1, now_s)

    def upstreams(self, now_s: float) -> tuple[Upstream, ...]:
        """Return the registered upstreams; remove those whose grace period is over."""
        if self._pending_removal and not self._in_recovery_grace(now_s):
            for key in list(self._pending_removal):
                self._remove(key)
        by_id: dict[str, Upstream] = {}
        for key, known in self._known_upstreams.items():
            upstream = known.registration.upstream
            if by_id.setdefault(upstream.upstream_id, upstream) is not upstream:
                skipped = SkippedRecord(
                    reason=SkipReason.SAME_ID, detail=upstream.upstream_id
                )
                self._skip(key, skipped)
        return tuple(by_id.values())

    def _apply(self, record: KeyedRecord, now_s: float) -> None:
        known = self._known_upstreams.get(record.key)
        if known is not None and record.offset <= known.offset:
            return
        if record.offset <= self._dropped_offsets.get(record.key, -1):
            return
        is_of_copy = record.offset < (self._copy_end_offset or 0)
        if record.key in self._dropped_before:
            if is_of_copy:
                return
            self._dropped_before.discard(record.key)
        if record.value is None:
            self._drop(record.key, record.offset, now_s)
            return
        decoded = decode(record.key, record.value)
        if isinstance(decoded, Err):
            self._skip(record.key, decoded.err_value)
            return
        registration = decoded.ok_value
        if known is not None and self._is_earlier_start(
            known.registration, registration
        ):
            detail = (
                f"{registration.start_unix_ms} after {known.registration.start_unix_ms}"
            )
            skipped = SkippedRecord(reason=SkipReason.OLDER_START, detail=detail)
            self._skip(record.key, skipped)
            return
        if is_of_copy and known is not None:
            registration = _still_leaving(known.registration, registration)
        self._pending_removal.discard(record.key)
        self._known_upstreams[record.key] = _KnownUpstream(
            offset=record.offset, registration=registration
        )

    def _is_earlier_start(self, known: Registration, received: Registration) -> bool:
        """Return whether a record was written late by an earlier start of the upstream.

        Taken for a new start, it would abort the requests that run at the upstream, and
        so would the next record of the live process. The clock may have been set back
        between two starts, though: a start that writes a second time is live.
        """
        name = known.upstream.name
        if (received.start_unix_ms or 0) >= (known.start_unix_ms or 0):
            self._earlier_start_ids.pop(name, None)
            return False
        repeated = self._earlier_start_ids.get(name) == received.upstream.upstream_id
        self._earlier_start_ids[name] = received.upstream.upstream_id
        return not repeated

    def _skip(self, key: str, skipped: SkippedRecord) -> None:
        self._on_skipped(skipped.reason)
        seen = (key, skipped.reason)
        if seen in self._skipped_logged:
            return
        if len(self._skipped_logged) < SKIPPED_LOGGED_MAX:
            self._skipped_logged.add(seen)
            log.warning(
                "upstream's record skipped",
                upstream=key,
                reason=skipped.reason.value,
                error=skipped.detail,
            )

    def _drop(self, key: str, offset: int, now_s: float) -> None:
        if key not in self._known_upstreams:
            return
        self._dropped_offsets[key] = offset
        # Upstreams can't renew their records while the store is unavailable; without
        # the grace period, all live ones would be removed when it recovers.
        if self._in_recovery_grace(now_s):
            self._pending_removal.add(key)
        else:
            self._remove(key)

    def _in_recovery_grace(self, now_s: float) -> bool:
        if self._store_unavailable:
            return True
        return (
            self._store_recovered_s is not None
            and now_s < self._store_recovered_s + RECOVERY_GRACE_S
        )

    def _remove(self, key: str) -> None:
        self._pending_removal.discard(key)
        self._known_upstreams.pop(key, None)
