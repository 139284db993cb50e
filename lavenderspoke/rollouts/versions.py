"""Tracks which versions of a service's upstreams may receive requests.

Upstreams of a new version may be listed before the order that names it is read. Until
an order would have been read, they receive nothing: with an equal share, a bad version
would get far more requests than a canary.
"""

from collections import Counter
from collections.abc import Iterable

import attrs

# Time in seconds after a version is first listed from which on a read of the orders
# would include its order: orders and upstreams are read at different times.
ORDER_READ_DELAY_S = 1.0


@attrs.define(kw_only=True)
class ServiceVersions:
    """The versions of one service: in use, closed, or listed but held back.

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
    _first_listed_s: dict[str, float] = attrs.field(factory=dict)

    def update_listed(
        self, versions: Iterable[str], now_s: float, *, target: str | None = None
    ) -> None:
        """Update the listed versions, given the version of each upstream.

        If no version is in use yet, the most frequent one that is neither closed nor an
        order's target is put into use.
        """
        counts = Counter(versions)
        self._first_listed_s = {
            each: self._first_listed_s.get(each, now_s) for each in counts
        }
        if not self._in_use:
            candidates = sorted(counts.keys() - {target} - self._closed)
            if candidates:
                self._in_use.add(max(candidates, key=counts.get))

    def release_held(self, read_s: float, *, target: str | None = None) -> list[str]:
        """Put versions into use that no order named by `read_s`; return them."""
        released = [
            version
            for version, first_listed_s in self._first_listed_s.items()
            if version not in self._in_use | self._closed | {target}
            and read_s >= first_listed_s + ORDER_READ_DELAY_S
        ]
        self._in_use.update(released)
        return released

    def complete(self, target: str) -> None:
        """Put the target into use and close all other versions."""
        self._closed |= (self._in_use | self._first_listed_s.keys()) - {target}
        self._closed.discard(target)
        self._in_use = {target}

    def roll_back(self, target: str) -> None:
        """Take the target out of use; only another order can bring it back."""
        self._in_use.discard(target)
        self._closed.add(target)

    def is_in_use(self, version: str) -> bool:
        """Return whether a version is in use."""
        return version in self._in_use

    def is_only_listed(self, version: str) -> bool:
        """Return whether a version is in use and no other version is listed."""
        return version in self._in_use and self._first_listed_s.keys() == {version}
