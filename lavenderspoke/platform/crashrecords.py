"""The records of crashes in the platform's store."""

from collections.abc import Iterable

import attrs
import logbook
from result import Ok

from lavenderspoke.direct.crashrecords import CrashRecordName, RecordedCrash
from lavenderspoke.direct.records import KeyedRecord
from lavenderspoke.platform.decoding import parse_as

KEY_PREFIX = "crash/"

log = logbook.Logger(__name__)


@attrs.frozen(kw_only=True)
class CrashRows:
    """The crashes among records: those that have one, and those whose is deleted."""

    present: dict[CrashRecordName, RecordedCrash]
    deleted: tuple[CrashRecordName, ...]


def is_crash(record: KeyedRecord) -> bool:
    """Return whether a record of the entries' topic is a crash."""
    return record.key.startswith(KEY_PREFIX)


def record_key(name: CrashRecordName) -> str:
    """Return the key of a record, without its prefix."""
    return f"{name.upstream}/{name.entry}"


def record_name(key: str) -> CrashRecordName:
    """Return the name of the record with this key, without its prefix.

    >>> record_name("i-1@7/entry-2")
    CrashRecordName(upstream='i-1@7', entry='entry-2')
    """
    upstream, _, entry = key.rpartition("/")
    return CrashRecordName(upstream=upstream, entry=entry)


def read_crashes(records: Iterable[KeyedRecord]) -> CrashRows:
    """Return the crashes among records; malformed ones are logged and left out.

    >>> value = b'{"service": "model", "contents": ["0123"]}'
    >>> record = KeyedRecord(key="crash/i-1/entry-2", value=value, offset=3)
    >>> [each.contents for each in read_crashes([record]).present.values()]
    [('0123',)]
    """
    present, deleted = {}, []
    for record in records:
        if not is_crash(record):
            continue
        name = record_name(record.key.removeprefix(KEY_PREFIX))
        if record.value is None:
            deleted.append(name)
            continue
        decoded = parse_as(record.value, RecordedCrash)
        if isinstance(decoded, Ok) and name.upstream:
            present[name] = decoded.ok_value
        else:
            log.warning("crash record skipped", key=record.key)
    return CrashRows(present=present, deleted=tuple(deleted))
