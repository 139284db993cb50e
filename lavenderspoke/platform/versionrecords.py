"""The records of software versions in the platform's store.

An entry that starts reads from them which versions may have begun a stream that its
caller takes up.
"""

from collections.abc import Iterable

import attrs
import logbook
from result import Err

from lavenderspoke.direct.records import KeyedRecord
from lavenderspoke.direct.versionrecords import RecordedVersion
from lavenderspoke.platform.decoding import parse_as

KEY_PREFIX = "versions/"

log = logbook.Logger(__name__)


@attrs.frozen(kw_only=True)
class VersionRows:
    """The versions among records, by key, and the keys that have been deleted."""

    present: dict[str, RecordedVersion]
    deleted: tuple[str, ...]


def is_version(record: KeyedRecord) -> bool:
    """Return whether a record of the entries' topic is a version's."""
    return record.key.startswith(KEY_PREFIX)


def read_versions(records: Iterable[KeyedRecord]) -> VersionRows:
    """Return the versions among records; malformed ones are logged and left out.

    >>> value = b'{"service": "model", "version": "v1", "copy": 1}'
    >>> record = KeyedRecord(key="versions/5f1a", value=value, offset=3)
    >>> read_versions([record]).present["5f1a"].pair
    ('model', 'v1')
    """
    present, deleted = {}, []
    for record in records:
        if not is_version(record):
            continue
        key = record.key.removeprefix(KEY_PREFIX)
        if record.value is None:
            deleted.append(key)
            continue
        decoded = parse_as(record.value, RecordedVersion)
        if isinstance(decoded, Err):
            log.warning("version's record skipped", key=key, error=decoded.err_value)
        else:
            present[key] = decoded.ok_value
    return VersionRows(present=present, deleted=tuple(deleted))
