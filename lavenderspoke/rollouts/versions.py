"""Which versions of a service's upstreams are in use where nothing was ordered.

Upstreams of a new version may be listed before the order that explains them is known.
Until an order would have been read, they get nothing: given an equal part, a bad
version would get far more than a canary's share.
"""

from collections import Counter
from collections.abc import Iterable

import attrs

# Time in seconds between the first sight of a version and the read that would have
# shown its order: orders and lists of upstreams are read at different moments.
SETTLE_S = 1.0


@attrs.define(kw_only=True)
class ServiceVersions:
    """The versions of one service: those in use, and since when others are known.

    >>> versions = ServiceVersions()
    >>> versions.update_listed(["v1", "v1", "v2"], 0.0)
    >>> versions.is_in_use("v1"), versions.is_in_use("v2")
    (True, False)
    >>> versions.release_held(1.5)
    ['v2']
    >>> versions.is_in_use("v2")
    True
    """

    _in_use: set[str] = attrs.field(factory=set)
    _closed: set[str] = attrs.field(factory=set)
    _seen_s: dict[str, float] = attrs.field(factory=dict)

    def update_listed(
        self, versions: Iterable[str], now_s: float, *, target: str | None = None
    ) -> None:
        """Take over the versions of the listed upstreams, each as often as it is there.

        Of a service that is seen for the first time the most frequent one is in use,
        unless it is an order's target.
        """
        counts = Counter(versions)
        self._seen_s = {each: self._seen_s.get(each, now_s) for each in counts}
        if not self._in_use:
            candidates = sorted(counts.keys() - {target} - self._closed)
            if candidates:
                self._in_use.add(max(candidates, key=counts.get))

    def release_held(self, read_s: float, *, target: str | None = None) -> list[str]:
        """Take versions into use that no order named by then; return those."""
        settled = [
            version
            for version, seen_s in self._seen_s.items()
            if version not in self._in_use | self._closed | {target}
            and read_s >= seen_s + SETTLE_S
        ]
        self._in_use.update(settled)
        return settled

    def complete(self, target: str) -> None:
        """Use a target in place of all other versions."""
        self._closed |= (self._in_use | self._seen_s.keys()) - {target}
        self._closed.discard(target)
        self._in_use = {target}

    def roll_back(self, target: str) -> None:
        """Use a target no more, until another order names it."""
        self._in_use.discard(target)
        self._closed.add(target)

    def is_in_use(self, version: str) -> bool:
        """Return whether requests may go to upstreams of a version."""
        return version in self._in_use

    def is_only_listed(self, version: str) -> bool:
        """Return whether a version is in use and no other one is listed."""
        return version in self._in_use and self._seen_s.keys() == {version}
