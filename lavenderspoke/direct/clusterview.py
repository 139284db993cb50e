"""An entry's view of its peers and of the platform, as roll-outs need it."""

import attrs

from lavenderspoke.rollouts.transitions import Bounds

# An entry whose last read of the orders is older than this, in seconds, sends nothing
# to a target, since the roll-out may have been withdrawn.
ORDERS_AGE_MAX_S = 2.5
# The share of the known entries that an entry must hear to send anything to a target or
# to advance a roll-out, so that it learns of a bad target when the others do.
LIVE_SHARE_MIN = 0.5


@attrs.frozen(kw_only=True)
class ClusterView:
    """An entry's view of its peers and of the platform at one moment.

    `live_peers` names the other entries heard from recently; `known_entries` counts all
    that may be alive, this one included. `orders_age_s` is the age of its last read of
    the orders.
    """

    name: str
    live_peers: tuple[str, ...]
    known_entries: int
    orders_age_s: float
    bounds: Bounds

    @property
    def is_connected(self) -> bool:
        """Whether this entry learns in time of what the others find."""
        hears_enough = 1 + len(self.live_peers) >= self.known_entries * LIVE_SHARE_MIN
        return hears_enough and self.orders_are_fresh

    @property
    def all_peers_live(self) -> bool:
        """Whether all entries that may have requests running are heard."""
        return 1 + len(self.live_peers) >= self.known_entries

    @property
    def orders_are_fresh(self) -> bool:
        """Whether the last read of the orders is recent enough to act on."""
        return self.orders_age_s <= ORDERS_AGE_MAX_S

    @property
    def is_coordinator(self) -> bool:
        """Whether this entry acts first: it has the lowest name of those it hears."""
        return self.is_connected and self.name <= min(
            self.live_peers, default=self.name
        )
