"""Which of the waiting requests go behind others because of their customer's share."""

from collections import Counter, defaultdict

from lavenderspoke.direct.customershares import NOBODY, CustomerShares
from lavenderspoke.direct.tickets import Rank, Ticket


class ShareOrder:
    """The customers with waiting requests by rank, and who of them goes behind.

    Without `shares`, or while only one customer's requests wait in a rank, nobody.
    """

    def __init__(self, shares: CustomerShares | None):
        self._shares = shares
        self._waiting: defaultdict[Rank, Counter[str]] = defaultdict(Counter)

    def add(self, ticket: Ticket) -> None:
        """Count a request that waits."""
        if self._shares is not None:
            self._waiting[ticket.rank][ticket.customer] += 1

    def remove(self, ticket: Ticket) -> None:
        """Count a request that no longer waits."""
        if self._shares is None:
            return
        counts = self._waiting[ticket.rank]
        counts[ticket.customer] -= 1
        if counts[ticket.customer] <= 0:
            del counts[ticket.customer]

    def deferred(self, rank: Rank, now_s: float) -> frozenset[str]:
        """Return the customers whose requests go behind the others of a rank."""
        counts = self._waiting.get(rank)
        if counts is None or len(counts) < 2:
            return NOBODY
        return self._shares.over_share(counts, now_s)

    def deferred_beside(self, ticket: Ticket, now_s: float) -> frozenset[str]:
        """Return them as if a request that arrives waited already."""
        counts = self._waiting.get(ticket.rank)
        if not counts or (len(counts) == 1 and ticket.customer in counts):
            return NOBODY
        return self._shares.over_share({**counts, ticket.customer: 1}, now_s)

    def part_ahead(self, ticket: Ticket, now_s: float) -> float:
        """Estimate which part of the other entries' requests of its rank goes before.

        They report how many wait, not whose. Callers are spread over all entries, so
        the part is taken from the requests that wait here.
        """
        deferred = self.deferred_beside(ticket, now_s)
        if not deferred or ticket.customer in deferred:
            return 1.0
        counts = self._waiting[ticket.rank]
        behind = sum(counts[each] for each in deferred)
        # The request itself counts too: one that waits here says little about all.
        return 1.0 - behind / (counts.total() + 1)

    def customers(self, rank: Rank) -> list[str]:
        """Return the customers whose requests of that rank wait."""
        return list(self._waiting.get(rank, ()))
