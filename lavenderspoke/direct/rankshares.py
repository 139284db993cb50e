"""The shares of engine time in each rank of one service.

Each rank is shared by itself: over all ranks together, a customer with many requests of
the highest rank would get nothing in a lower one while it is short of slots.
"""

from collections.abc import Mapping

from result import Err, Ok, Result

from lavenderspoke.direct.customershares import CustomerShares
from lavenderspoke.direct.enginetimenews import EngineRows, Totals
from lavenderspoke.direct.tickets import Rank

# The most ranks that are counted: customer ranks times route ranks. A peer's message
# may name any.
RANKS_MAX = 256


class RankShares:
    """Recent engine time by customer in each rank; see `CustomerShares`.

    >>> shares = RankShares()
    >>> shares.of((0, 2)).record_use("a", 1.5, now_s=0.0)
    >>> shares.own_totals()
    {(0, 2, 'a'): 1.5}
    """

    def __init__(self):
        self._by_rank: dict[Rank, CustomerShares] = {}
        self._weights: Mapping[str, float] = {}
        self._slots = 1

    def of(self, rank: Rank) -> CustomerShares:
        """Return the shares in one rank."""
        shares = self._by_rank.get(rank)
        if shares is None:
            shares = self._by_rank[rank] = CustomerShares()
            shares.set_weights(self._weights)
            shares.set_slots(self._slots)
        return shares

    def set_weights(self, weights: Mapping[str, float]) -> None:
        """Apply the configured customers' weights."""
        self._weights = weights
        for shares in self._by_rank.values():
            shares.set_weights(weights)

    def update(self, slots: int, now_s: float) -> None:
        """Set the number of slots, and forget peers that are gone."""
        self._slots = slots
        for shares in self._by_rank.values():
            shares.set_slots(slots)
            shares.forget_silent_peers(now_s)

    def own_totals(self) -> Totals:
        """Return this entry's engine time since its start, by rank and customer."""
        return {
            (*rank, customer): total_s
            for rank, shares in self._by_rank.items()
            for customer, total_s in shares.own_totals().items()
        }

    def merge_peer(
        self, sender: str, incarnation: str, rows: EngineRows, now_s: float
    ) -> Result[None, str]:
        """Add what a peer has used; a rank with malformed rows stays as it is."""
        by_rank: dict[Rank, dict[str, float]] = {}
        for customer_rank, route_rank, customer, total_s in rows:
            by_rank.setdefault((customer_rank, route_rank), {})[customer] = total_s
        if len(by_rank.keys() | self._by_rank.keys()) > RANKS_MAX:
            return Err("too_many")
        result: Result[None, str] = Ok(None)
        for rank, totals in by_rank.items():
            merged = self.of(rank).merge_peer(sender, incarnation, totals, now_s)
            result = merged if isinstance(merged, Err) else result
        return result
