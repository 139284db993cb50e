"""Requests that wait in an entry, and which of them goes next.

Tiers are served in strict order. Customers share a tier by weight, and inside
a customer shorter requests go first with ageing (`lavenderspoke.fairness`).
Prefix affinity and size never reorder tiers: a choice looks only at the
highest tier that has a request which can still be answered in time.
"""

from collections import Counter

import attrs
from sortedcontainers import SortedList

from lavenderspoke.documents.service import Service
from lavenderspoke.fairness import Item, TierQueue, order_s
from lavenderspoke.model import Call

ANYONE = ""
ANY_TIER = 0
# Breaks ties in favour of a request that was taken before.
PUT_BACK = 0


@attrs.define(kw_only=True)
class WaitingRequest:
    """A request that waits in this entry, its only copy.

    Times are on the entry's monotonic clock. `stamp` is the roster offset
    folded when it arrived. `cached_tokens` maps upstream name to the prompt tokens
    whose prefix it is believed to hold; it is a hint, read when the request is added.
    """

    call: Call
    arrived_s: float
    deadline_s: float
    stamp: int = 0
    cached_tokens: dict[str, int] = attrs.field(factory=dict)


@attrs.frozen(kw_only=True)
class QueuePolicy:
    """Which rules order a queue; measurements turn them off one at a time."""

    tiers: bool = True
    fair: bool = True
    size_aware: bool = True
    affinity: bool = True


DEFAULT_QUEUE_POLICY = QueuePolicy()
WITHOUT_AFFINITY = QueuePolicy(affinity=False)
FIFO = QueuePolicy(tiers=False, fair=False, size_aware=False, affinity=False)


def cost_tokens(call: Call) -> int:
    """Return what a request counts for: its prompt and its longest answer.

    >>> cost_tokens(Call(request_id="r", service="s", method="POST", path="/",
    ...     customer="c", tier=1, prompt_tokens=30, max_output_tokens=12))
    42
    """
    return max(1, call.prompt_tokens + call.max_output_tokens)


class WaitingQueue:
    """The requests of one service that wait in one entry.

    Operations cost a search in sorted lists, except `drop_below` and
    `reconfigure`, which touch each request that they move.
    """

    def __init__(self, *, service: Service, policy: QueuePolicy = DEFAULT_QUEUE_POLICY):
        self._service = service
        self._policy = policy
        self._number = 0
        self._requests: dict[str, WaitingRequest] = {}
        self._items: dict[str, Item] = {}
        self._clear()

    def __len__(self) -> int:
        return len(self._requests)

    @property
    def bytes(self) -> int:
        """The bytes of all waiting bodies."""
        return self._bytes

    def add(self, request: WaitingRequest, now_s: float) -> None:
        """Take a request in."""
        self._insert(request)

    def requeue(self, request: WaitingRequest, now_s: float) -> None:
        """Take a request in again whose grant was refused or revoked.

        Its place comes from its arrival, and its customer's charge is given
        back, so it stands where it stood.
        """
        item = self._insert(request, number=PUT_BACK)
        self._tier_of(item).refund(item)

    def get(self, request_id: str) -> WaitingRequest | None:
        """Return a waiting request without taking it."""
        return self._requests.get(request_id)

    def remove(self, request_id: str) -> WaitingRequest | None:
        """Take a request out that won't go to an upstream."""
        if request_id not in self._requests:
            return None
        return self._extract(self._items[request_id])

    def take(self, now_s: float, *, upstream: str) -> WaitingRequest | None:
        """Take out the request that goes next to an upstream.

        Those past their deadline stay for `pop_expired`.
        """
        prefixes = self._service.prefixes if self._policy.affinity else None
        for rank in sorted(self._tiers, reverse=True):
            tier = self._tiers[rank]
            item = tier.choose(upstream=upstream, now_s=now_s, prefixes=prefixes)
            if item is not None:
                tier.charge(item)
                return self._extract(item)
        return None

    def counts(self) -> dict[int, int]:
        """Return the number waiting by tier rank."""
        return {rank: count for rank, count in self._counts.items() if count}

    def customer_count(self, customer: str) -> int:
        """Return how many requests of a customer wait."""
        return self._customers[customer]

    def lowest_tier(self) -> int | None:
        """Return the lowest rank that waits here."""
        return min(self.counts(), default=None)

    def backlog_tokens(self, rank: int) -> int:
        """Return the cost that waits at a rank and above."""
        return sum(cost for each, cost in self._costs.items() if each >= rank)

    def next_deadline_s(self) -> float | None:
        """Return the earliest deadline."""
        return self._deadlines[0][0] if self._deadlines else None

    def pop_expired(self, now_s: float) -> list[WaitingRequest]:
        """Take out those whose deadline has come."""
        gone = []
        while self._deadlines and self._deadlines[0][0] <= now_s:
            gone.append(self.remove(self._deadlines[0][1]))
        return gone

    def lowest_victim(self, below_rank: int) -> WaitingRequest | None:
        """Return, without taking it, the request to drop first for `below_rank`.

        It is of the lowest tier that waits, and of the customer there with the
        most waiting cost for its weight. None when nothing lower waits.
        """
        lowest = self.lowest_tier()
        if lowest is None or lowest >= below_rank:
            return None
        if self._policy.tiers:
            return self._requests[self._tiers[lowest].victim().request_id]
        return next(r for r in self._requests.values() if r.call.tier == lowest)

    def drop_below(self, rank: int) -> list[WaitingRequest]:
        """Take out every request of a lower tier."""
        if not any(each < rank for each in self.counts()):
            return []
        below = [item for item in self._items.values() if item.tier < rank]
        return [self._extract(item) for item in below]

    def reconfigure(self, service: Service, now_s: float) -> None:
        """Put another document in force; requests keep their places."""
        requests = list(self._requests.values())
        numbers = {key: item.number for key, item in self._items.items()}
        self._service = service
        self._requests, self._items = {}, {}
        self._clear()
        for request in requests:
            self._insert(request, number=numbers[request.call.request_id])

    def _clear(self) -> None:
        self._tiers: dict[int, TierQueue] = {}
        self._deadlines: SortedList = SortedList()
        self._counts: Counter[int] = Counter()
        self._costs: Counter[int] = Counter()
        self._customers: Counter[str] = Counter()
        self._bytes = 0

    def _insert(self, request: WaitingRequest, number: int | None = None) -> Item:
        if number is None:
            self._number += 1
            number = self._number
        item = self._item(request, number)
        call = request.call
        self._requests[call.request_id] = request
        self._items[call.request_id] = item
        self._tier_of(item).add(item)
        self._deadlines.add((request.deadline_s, call.request_id))
        self._counts[call.tier] += 1
        self._costs[call.tier] += item.cost_tokens
        self._customers[call.customer] += 1
        self._bytes += len(call.body)
        return item

    def _extract(self, item: Item) -> WaitingRequest:
        request = self._requests.pop(item.request_id)
        del self._items[item.request_id]
        self._tier_of(item).discard(item)
        self._deadlines.remove((request.deadline_s, item.request_id))
        self._counts[item.tier] -= 1
        self._costs[item.tier] -= item.cost_tokens
        self._customers[request.call.customer] -= 1
        if not self._customers[request.call.customer]:
            del self._customers[request.call.customer]
        self._bytes -= len(request.call.body)
        return request

    def _item(self, request: WaitingRequest, number: int) -> Item:
        call = request.call
        cost = cost_tokens(call)
        place_s = request.arrived_s
        if self._policy.size_aware:
            place_s = order_s(
                arrived_s=request.arrived_s,
                deadline_s=request.deadline_s,
                cost_tokens=cost,
            )
        return Item(
            request_id=call.request_id,
            tier=call.tier,
            customer=call.customer if self._policy.fair else ANYONE,
            cost_tokens=cost,
            arrived_s=request.arrived_s,
            deadline_s=request.deadline_s,
            order_s=place_s,
            number=number,
            warm=dict(request.cached_tokens) if self._policy.affinity else {},
        )

    def _tier_of(self, item: Item) -> TierQueue:
        rank = item.tier if self._policy.tiers else ANY_TIER
        if rank not in self._tiers:
            self._tiers[rank] = TierQueue(weight_of=self._weight)
        return self._tiers[rank]

    def _weight(self, name: str) -> float:
        customer = self._service.customer(name)
        if customer is None or customer.weight <= 0:
            return 1.0
        return customer.weight
