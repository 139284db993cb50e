"""How many of the places that are kept free for the ranks above are needed now."""

from collections.abc import Iterable

import attrs

# The least part of them that is kept while nobody above waits.
SHARE_MIN = 0.3
# By how much the part grows in a second in which somebody above waits, and shrinks in
# one in which nobody does: a burst finds all of them kept within half a second, and
# they are given to lower ranks again only after seconds without a wait.
GROWS_PER_S = 2.0
SHRINKS_PER_S = 0.1


@attrs.define(kw_only=True)
class _Part:
    value: float = 1.0
    at_s: float = 0.0


class AdaptiveReserve:
    """The part that is needed of the places kept free for the ranks above each rank.

    How many the highest ranks need follows from how unevenly they come and how soon a
    place comes free, which with a hundred places takes milliseconds and with twenty
    much longer. That is seen from whether they wait.

    >>> kept = AdaptiveReserve()
    >>> kept.update({}, [0, 1], 0.0)
    >>> kept.update({}, [0, 1], 5.0)
    >>> kept.share(1)
    0.5
    >>> kept.update({0: 3}, [0, 1], 5.25)
    >>> kept.share(1)
    1.0
    """

    def __init__(self):
        self._parts: dict = {}

    def update(self, waiting: Iterable, present: Iterable, now_s: float) -> None:
        """Follow who waits; ranks are given as they compare, the smallest first."""
        highest = min(waiting, default=None)
        for rank in present:
            part = self._parts.setdefault(rank, _Part(at_s=now_s))
            is_short = highest is not None and highest < rank
            per_s = GROWS_PER_S if is_short else -SHRINKS_PER_S
            value = part.value + per_s * (now_s - part.at_s)
            part.value = min(1.0, max(SHARE_MIN, value))
            part.at_s = now_s

    def share(self, rank) -> float:
        """Return the part to keep towards requests of a rank, from 0 to 1."""
        part = self._parts.get(rank)
        return 1.0 if part is None else part.value
