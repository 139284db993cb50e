"""The records of services with several software versions in the platform's store.

An entry that starts reads from them which versions may have begun a stream that its
caller takes up. Without a record, only one has served for some time.
"""

from collections.abc import Iterable

import attrs
import logbook

from lavenderspoke.direct.records import KeyedRecord
from lavenderspoke.platform.decoding import parse

KEY_PREFIX = "versions/"

log = logbook.Logger(__name__)


@attrs.frozen(kw_only=True)
class VersionRows:
    """The versions by service among records, and the services without a record now."""

    present: dict[str, tuple[str, ...]]
    deleted: tuple[str, ...]


def is_versions(record: KeyedRecord) -> bool:
    """Return whether a record of the entries' topic names versions."""
    return record.key.startswith(KEY_PREFIX)


def read_versions(records: Iterable[KeyedRecord]) -> VersionRows:
    """Return the versions among records; malformed ones are logged and left out.

    >>> record = KeyedRecord(key="versions/model", value=b'["v1", "v2"]', offset=3)
    >>> read_versions([record]).present
    {'model': ('v1', 'v2')}
    """
    present, deleted = {}, []
    for record in records:
        if not is_versions(record):
            continue
        service = record.key.removeprefix(KEY_PREFIX)
        if record.value is None:
            deleted.append(service)
            continue
        versions = parse(record.value).unwrap_or(None)
        is_valid = isinstance(versions, list) and all(
            isinstance(each, str) for each in versions
        )
        if is_valid:
            present[service] = tuple(versions)
        else:
            log.warning("versions of a service skipped", key=record.key)
    return VersionRows(present=present, deleted=tuple(deleted))
