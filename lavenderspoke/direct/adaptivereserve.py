"""How much of the slots reserved for higher ranks is needed at the moment."""

from collections.abc import Iterable

import attrs

# Share of the reserve that is kept while no higher rank waits.
SHARE_MIN = 0.3
# Change of the share per second while a higher rank waits, and while none does: a burst
# restores the whole reserve within half a second, and it is given to lower ranks only
# after seconds without a wait.
GROWTH_PER_S = 2.0
DECAY_PER_S = 0.1


@attrs.define(kw_only=True)
class _Share:
    value: float = 1.0
    at_s: float = 0.0


class AdaptiveReserve:
    """The share of the reserve for higher ranks that each rank has to leave free.

    How many slots the highest ranks need depends on how unevenly their requests arrive
    and how soon a slot becomes free, which takes milliseconds with a hundred slots and
    much longer with twenty. So it is derived from whether they have to wait.

    >>> reserve = AdaptiveReserve()
    >>> reserve.update({}, [0, 1], 0.0)
    >>> reserve.update({}, [0, 1], 5.0)
    >>> reserve.share(1)
    0.5
    >>> reserve.update({0: 3}, [0, 1], 5.25)
    >>> reserve.share(1)
    1.0
    """

    def __init__(self):
        self._shares: dict = {}

    def update(self, waiting: Iterable, active_ranks: Iterable, now_s: float) -> None:
        """Update the shares from the ranks that wait; the smallest is the highest."""
        highest_waiting = min(waiting, default=None)
        for rank in active_ranks:
            share = self._shares.setdefault(rank, _Share(at_s=now_s))
            is_higher_waiting = highest_waiting is not None and highest_waiting < rank
            per_s = GROWTH_PER_S if is_higher_waiting else -DECAY_PER_S
            value = share.value + per_s * (now_s - share.at_s)
            share.value = min(1.0, max(SHARE_MIN, value))
            share.at_s = now_s

    def share(self, rank) -> float:
        """Return the share that a rank has to leave free, from 0 to 1."""
        share = self._shares.get(rank)
        return 1.0 if share is None else share.value
