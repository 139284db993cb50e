"""Slots that stay free for higher ranks, and slots guaranteed to lower ones.

Higher ranks go first in strict order, with two exceptions. Some slots are reserved for
higher ranks, so that a request of the highest rank finds one free and needn't wait for
a long answer of a low rank to end. And each rank below the highest is guaranteed a
share of the slots, so that none starves.
"""

from collections.abc import Iterable

from lavenderspoke.direct.adaptivereserve import AdaptiveReserve
from lavenderspoke.direct.tickets import Rank

# Share of all slots that requests which hold a slot for `LONG_HOLD_S` or longer leave
# free for each active higher rank. Answers of the lowest rank last seconds; with one
# slot in eight free, the highest rank rarely waits for one to end. Shorter ones, which
# release their slot in time, leave less free.
RESERVED_SHARE = 0.12
# Upper bound of that share for any number of higher ranks. There are as many ranks as
# customer ranks times route ranks, and each slot reserved beyond the need of the
# highest ones in a burst could serve a request of the lowest.
RESERVED_SHARE_MAX = 0.24
# Mean hold time of a rank from which the whole reserve applies to it: a request of the
# highest rank that waits that long for a slot misses its target.
LONG_HOLD_S = 1.0
# Share of all slots that is guaranteed to the ranks below the highest, split evenly.
# Just enough that each is served: when slots are short, each further one would be
# missing for the highest rank.
GUARANTEED_SHARE = 0.1


class RankReserve:
    """How many slots each rank leaves free, and how many it is guaranteed."""

    def __init__(self):
        self._adaptive = AdaptiveReserve()

    def update(
        self, waiting: Iterable[Rank], active_ranks: list[Rank], now_s: float
    ) -> None:
        """Adapt the reserved slots to the ranks that wait at all entries."""
        self._adaptive.update(waiting, active_ranks, now_s)

    def reserved_slots(
        self, rank: Rank, active_ranks: list[Rank], *, mean_hold_s: float, slots: int
    ) -> float:
        """Return the number of slots reserved for the ranks above this one."""
        above = sum(1 for each in active_ranks if each < rank)
        hold_factor = min(1.0, mean_hold_s / LONG_HOLD_S)
        share = min(RESERVED_SHARE_MAX, above * RESERVED_SHARE) * self._adaptive.share(
            rank
        )
        return share * hold_factor * slots

    @staticmethod
    def guaranteed_slots(active_ranks: list[Rank], slots: float) -> float:
        """Return the slots guaranteed to each rank below the highest."""
        return GUARANTEED_SHARE / max(1, len(active_ranks) - 1) * slots

    def is_below_guarantee(
        self, rank: Rank, active_ranks: list[Rank], *, held: int, slots: int
    ) -> bool:
        """Return whether a rank that holds so many slots is owed one more."""
        if rank == active_ranks[0]:
            return False
        return held < self.guaranteed_slots(active_ranks, slots)
