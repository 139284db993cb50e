"""The records of quarantined content in the platform's store."""

import re
from collections.abc import Iterable

import attrs
import logbook

from lavenderspoke.direct.records import KeyedRecord

KEY_PREFIX = "quarantine/"
# The hash of a content, or the ids of parts of prompts.
CAUSE = re.compile(r"[0-9a-f]{24}|part:[0-9a-f]{1,64}(\+[0-9a-f]{1,64})*")

log = logbook.Logger(__name__)


@attrs.frozen(kw_only=True)
class QuarantineRows:
    """The quarantines among records: content that has one, or whose is deleted."""

    present: tuple[str, ...]
    deleted: tuple[str, ...]


def is_quarantine(record: KeyedRecord) -> bool:
    """Return whether a record of the entries' topic is a quarantine."""
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
        if not CAUSE.fullmatch(fingerprint):
            log.warning("quarantine record skipped", key=record.key)
        elif record.value is None:
            deleted.append(fingerprint)
        else:
            present.append(fingerprint)
    return QuarantineRows(present=tuple(present), deleted=tuple(deleted))
