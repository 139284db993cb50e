"""The waiting requests of one service, in the order in which they are dispatched."""

from collections import Counter, defaultdict
from collections.abc import Iterator

from sortedcontainers import SortedKeyList

from lavenderspoke.direct.lengths import AnswerLengths
from lavenderspoke.direct.rankshares import RankShares
from lavenderspoke.direct.shareorder import ShareOrder
from lavenderspoke.direct.tickets import Rank, Ticket


def priority_key(ticket: Ticket) -> tuple:
    """Return the key by which waiting requests are sorted, first to be sent first."""
    return (
        ticket.rank,
        ticket.is_late,
        not ticket.resubmitted,
        ticket.answer_tokens,
        ticket.number,
    )


class WaitingTickets:
    """The requests that wait at this entry for one service.

    Within a rank, requests that can still be answered on time, counted from the
    caller's first attempt, go first: under sustained overload, serving the oldest first
    would make every answer late. Then requests that were refused before and resubmitted
    go ahead of new ones, and then short expected answers ahead of long ones: a tenth of
    the answers take half of all engine time, and one of them holds the slot in which
    ten others could be answered on time. A long answer goes next only while long ones
    are dispatched far less often than the answers of their rank on average.

    Before all that, within a rank, requests of customers who are over their share go
    behind those of the others, if `shares` are given.
    """

    def __init__(self, shares: RankShares | None = None):
        self.share_order = ShareOrder(shares)
        self._tickets: SortedKeyList = SortedKeyList(key=priority_key)
        self._counts: Counter[Rank] = Counter()
        self._answer_lengths: defaultdict[Rank, AnswerLengths] = defaultdict(
            AnswerLengths
        )

    def __contains__(self, ticket: Ticket) -> bool:
        return ticket in self._tickets

    def __iter__(self) -> Iterator[Ticket]:
        return iter(list(self._tickets))

    def counts(self) -> dict[Rank, int]:
        """Return the number of waiting requests by rank."""
        return {rank: count for rank, count in self._counts.items() if count}

    def count(self, rank: Rank) -> int:
        """Return the number of waiting requests of one rank."""
        return self._counts[rank]

    def add(self, ticket: Ticket) -> None:
        """Add a request."""
        self._tickets.add(ticket)
        self._counts[ticket.rank] += 1
        self.share_order.add(ticket)

    def remove(self, ticket: Ticket) -> None:
        """Remove a request that waits."""
        self._tickets.remove(ticket)
        self._counts[ticket.rank] -= 1
        self.share_order.remove(ticket)

    def mark_late(self, ticket: Ticket) -> None:
        """Reorder a request that can no longer be answered on time."""
        self._tickets.remove(ticket)
        ticket.is_late = True
        self._tickets.add(ticket)

    def count_ahead(self, ticket: Ticket, now_s: float) -> int:
        """Return how many of the waiting requests go before this one."""
        deferred = self.share_order.deferred_beside(ticket, now_s)
        if deferred:
            return self._count_ahead_by_share(ticket, deferred)
        if self._is_underserved(ticket):
            return 0
        own_key = priority_key(ticket)
        return sum(1 for each in self._tickets if priority_key(each) < own_key)

    def _count_ahead_by_share(self, ticket: Ticket, deferred: frozenset[str]) -> int:
        own_key, is_deferred = priority_key(ticket), ticket.customer in deferred
        is_underserved = self._is_underserved(ticket)
        count = 0
        for each in self._tickets:
            if each.rank != ticket.rank:
                count += each.rank < ticket.rank
            elif (each.customer in deferred) != is_deferred:
                count += is_deferred
            else:
                count += not is_underserved and priority_key(each) < own_key
        return count

    def first_by_rank(self, skipped: set[int], now_s: float) -> dict[Rank, Ticket]:
        """Return the next request of each rank, without those numbered in `skipped`."""
        firsts: dict[Rank, Ticket] = {}
        long_firsts: dict[Rank, Ticket] = {}
        deferred_firsts: dict[Rank, Ticket] = {}
        deferred = {
            rank: self.share_order.deferred(rank, now_s) for rank in self.counts()
        }
        for ticket in self._tickets:
            if ticket.number in skipped:
                continue
            if ticket.customer in deferred[ticket.rank]:
                deferred_firsts.setdefault(ticket.rank, ticket)
                continue
            firsts.setdefault(ticket.rank, ticket)
            if self._is_underserved(ticket):
                long_firsts.setdefault(ticket.rank, ticket)
        return deferred_firsts | firsts | long_firsts

    def deferred_for(self, ticket: Ticket, now_s: float) -> list[Ticket]:
        """Return the waiting requests that a request overtakes because of shares."""
        deferred = self.share_order.deferred(ticket.rank, now_s)
        if not deferred or ticket.customer in deferred:
            return []
        own_key = priority_key(ticket)
        return [
            each
            for each in self._tickets
            if each.rank == ticket.rank
            and each.customer in deferred
            and priority_key(each) < own_key
        ]

    def record_arrival(self, ticket: Ticket) -> None:
        """Count a request that its caller sends for the first time."""
        self._answer_lengths[ticket.rank].record_arrival(ticket.answer_tokens)

    def record_dispatch(self, ticket: Ticket) -> None:
        """Count a request that was sent to an upstream."""
        self._answer_lengths[ticket.rank].record_dispatch(ticket.answer_tokens)

    def _is_underserved(self, ticket: Ticket) -> bool:
        """Return whether a request is long, and long ones of its rank underserved."""
        lengths = self._answer_lengths[ticket.rank]
        return lengths.is_long(ticket.answer_tokens) and lengths.are_long_underserved()
