"""Which of the waiting requests go behind others because of their customer's share."""

from collections import Counter, defaultdict
from collections.abc import Mapping

import attrs

from lavenderspoke.direct.customershares import NOBODY
from lavenderspoke.direct.rankshares import RankShares
from lavenderspoke.direct.tickets import Rank, Ticket


@attrs.frozen(kw_only=True)
class Rivals:
    """The other entries' waiting requests of a request's rank.

    Those `before` go before it because its customer is over its share, and none of
    those `behind` does.
    """

    before: int = 0
    behind: int = 0


NO_RIVALS = Rivals()


class ShareOrder:
    """The customers with waiting requests by rank, and who of them goes behind.

    Without `shares`, or while the requests of only one customer wait in a rank, no
    request goes behind others.
    """

    def __init__(self, shares: RankShares | None):
        self._shares = shares
        self._peers: Mapping[Rank, Mapping[str, int]] = {}
        self._waiting: defaultdict[Rank, Counter[str]] = defaultdict(Counter)
        # Decided once for all that asks within a submission or a tick.
        self._deferred: dict[tuple[Rank, str | None], frozenset[str]] = {}

    def set_peers(self, peers: Mapping[Rank, Mapping[str, int]]) -> None:
        """Apply what the other entries report; due at each tick."""
        self._peers = peers
        self._deferred.clear()

    def use_changed(self) -> None:
        """Decide anew who is over its share, since a request was sent or has ended."""
        self._deferred.clear()

    def add(self, ticket: Ticket) -> None:
        """Count a request that waits."""
        if self._shares is not None:
            counts = self._waiting[ticket.rank]
            if ticket.customer not in counts:
                self._asking_changed(ticket)
            counts[ticket.customer] += 1

    def remove(self, ticket: Ticket) -> None:
        """Count a request that no longer waits."""
        if self._shares is None:
            return
        counts = self._waiting[ticket.rank]
        counts[ticket.customer] -= 1
        if counts[ticket.customer] <= 0:
            del counts[ticket.customer]
            self._asking_changed(ticket)

    def _asking_changed(self, ticket: Ticket) -> None:
        """Decide anew, unless requests of the customer wait elsewhere."""
        if ticket.customer not in self._peers.get(ticket.rank, ()):
            self._deferred.clear()

    def own_waiting(self) -> dict[Rank, dict[str, int]]:
        """Return the numbers of requests that wait here, by rank and customer."""
        return {rank: dict(counts) for rank, counts in self._waiting.items() if counts}

    def asking(self, rank: Rank) -> Mapping[str, int]:
        """Return the customers with requests of a rank that wait at any entry."""
        own, peers = self._waiting.get(rank), self._peers.get(rank)
        if own and peers:
            return {**own, **peers}
        return own or peers or {}

    def deferred(self, rank: Rank, now_s: float) -> frozenset[str]:
        """Return the customers whose requests go behind the others of a rank."""
        if self._shares is None:
            return NOBODY
        key = rank, None
        if key not in self._deferred:
            asking = self.asking(rank)
            self._deferred[key] = self._shares.of(rank).over_share(asking, now_s)
        return self._deferred[key]

    def deferred_beside(self, ticket: Ticket, now_s: float) -> frozenset[str]:
        """Return them as if a request that arrives waited already."""
        if self._shares is None:
            return NOBODY
        rank, customer = ticket.rank, ticket.customer
        asking = self.asking(rank)
        if not asking or customer in asking:
            return self.deferred(rank, now_s)
        key = rank, customer
        if key not in self._deferred:
            asking = {**asking, customer: 1}
            self._deferred[key] = self._shares.of(rank).over_share(asking, now_s)
        return self._deferred[key]

    def rivals(self, ticket: Ticket, now_s: float) -> Rivals:
        """Return the requests at other entries that shares put before or behind it."""
        peers = self._peers.get(ticket.rank)
        if not peers:
            return NO_RIVALS
        deferred = self.deferred_beside(ticket, now_s)
        if not deferred:
            return NO_RIVALS
        behind = sum(peers.get(each, 0) for each in deferred)
        if ticket.customer in deferred:
            return Rivals(before=sum(peers.values()) - behind)
        return Rivals(behind=behind)
