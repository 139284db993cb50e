"""What an entry knows of its peers and of the platform, as roll-outs need it."""

import attrs

from lavenderspoke.rollouts.transitions import Bounds

# An entry whose read of the orders is older than this, in seconds, sends a target
# nothing: the roll-out may have been withdrawn.
ORDERS_AGE_MAX_S = 2.5
# So many of the known entries must be heard by one that sends a target anything, or
# that takes a step: it learns of a bad target when the others do.
HEARD_PART = 0.5


@attrs.frozen(kw_only=True)
class ClusterView:
    """What an entry knows of its peers and of the platform at one moment.

    `orders_age_s` is how old its last read of the orders is.
    """

    name: str
    live_peers: tuple[str, ...]
    known_entries: int
    orders_age_s: float
    bounds: Bounds

    @property
    def is_connected(self) -> bool:
        """Whether this entry would learn in time of what the others find."""
        hears_most = 1 + len(self.live_peers) >= self.known_entries * HEARD_PART
        return hears_most and self.orders_are_fresh

    @property
    def all_peers_live(self) -> bool:
        """Whether no entry is silent that may have something running."""
        return 1 + len(self.live_peers) >= self.known_entries

    @property
    def orders_are_fresh(self) -> bool:
        """Whether no order can have been given or withdrawn long ago unnoticed."""
        return self.orders_age_s <= ORDERS_AGE_MAX_S

    @property
    def is_coordinator(self) -> bool:
        """Whether it is for this entry to act first of those that hear each other."""
        return self.is_connected and self.name <= min(
            self.live_peers, default=self.name
        )
