"""What the log still holds of the services' documents, for operators' tools."""

import difflib
import random
from collections import defaultdict

import attrs
from result import Err, Ok, Result

from lavenderspoke.documents.edits import READ_LIMIT
from lavenderspoke.documents.fold import Conflict, DocumentFold, InForce
from lavenderspoke.platformlog import SERVICES_STREAM, Log, LogError


@attrs.frozen(kw_only=True)
class HistoryUnavailable:
    """The log couldn't be read to its end."""

    detail: str


class DocumentHistory:
    """Every version that the log still holds, read as the daemons read it.

    history = DocumentHistory(log=HttpLog(base_url=url))
    history.refresh().unwrap()
    history.version("narrative", 12).author
    """

    def __init__(self, *, log: Log):
        self._log = log
        # Tools never write snapshots, so neither the period nor the draws matter.
        self.fold = DocumentFold(random=random.Random(0), carry_every_s=1.0)
        self._versions: dict[str, list[InForce]] = defaultdict(list)
        self._offsets: dict[str, set[int]] = defaultdict(set)

    def refresh(self) -> Result[None, HistoryUnavailable]:
        """Read on to the log's present end."""
        self.fold.caught_up = False
        while not self.fold.caught_up:
            read = self._log.read(
                stream=SERVICES_STREAM,
                offset=self.fold.next_offset,
                limit=READ_LIMIT,
            ).map_err(_unavailable)
            if isinstance(read, Err):
                return read
            for record in read.ok_value.records:
                self._offsets[record.record_id].add(record.offset)
            for change in self.fold.apply_page(read.ok_value):
                document = change.document
                self._versions[document.service.name].append(document)
        return Ok(None)

    def versions(self, name: str) -> list[InForce]:
        """Return the versions of a service that the log still holds, in order."""
        return list(self._versions.get(name, ()))

    def version(self, name: str, version: int) -> InForce | None:
        """Return one version of a service, if the log still holds it."""
        found = [each for each in self.versions(name) if each.version == version]
        return found[0] if found else None

    def conflicts(self, name: str) -> list[Conflict]:
        """Return the edits of a service that lost against another."""
        return [each for each in self.fold.conflicts if each.record.service == name]

    def holds(self, record_id: str) -> bool:
        """Return whether a record was appended, be it accepted or not."""
        return record_id in self._offsets

    def accepted_as(self, name: str, record_id: str) -> int | None:
        """Return the version that a record became, if it was accepted."""
        offsets = self._offsets.get(record_id, set())
        found = [each.version for each in self.versions(name)]
        return next((version for version in found if version in offsets), None)

    def diff(self, name: str, old: int, new: int) -> str:
        """Return what changed from one version to another, as a unified diff."""
        texts = [self.version(name, version) for version in (old, new)]
        lines = [each.text.splitlines() if each else [] for each in texts]
        labels = [f"{name} version {version}" for version in (old, new)]
        return "\n".join(difflib.unified_diff(*lines, *labels, lineterm=""))


def _unavailable(error: LogError) -> HistoryUnavailable:
    return HistoryUnavailable(detail=error.detail)
