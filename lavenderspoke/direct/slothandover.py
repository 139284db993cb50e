"""Slots that an entry leaves to requests of other entries."""

from lavenderspoke.direct.tickets import Rank

# How long an entry leaves a free slot to requests that wait elsewhere and go before its
# own, in seconds. They learn of the slot with this entry's next state, which takes some
# 0.1 s between groups. A slot that nobody took by then isn't left empty any longer: the
# other requests may have been answered, or can't be sent to this upstream.
HANDOVER_MAX_S = 0.2


class SlotHandover:
    """Since when free slots are left to other entries, by rank. Times are in seconds.

    >>> handover, rank = SlotHandover(), (0, 0)
    >>> [handover.leaves_slot(rank, at_s) for at_s in (5.0, 5.1, 5.3)]
    [True, True, False]
    """

    def __init__(self):
        self._since_s: dict[Rank, float] = {}

    def leaves_slot(self, rank: Rank, now_s: float) -> bool:
        """Return whether a slot that others should get is still left to them."""
        since_s = self._since_s.setdefault(rank, now_s)
        return since_s <= now_s < since_s + HANDOVER_MAX_S

    def end(self, rank: Rank) -> None:
        """Record that no slot is free for a rank, or that this entry has taken one."""
        self._since_s.pop(rank, None)

    def end_all(self) -> None:
        """Record that no slot is free."""
        self._since_s.clear()
