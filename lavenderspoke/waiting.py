"""The queue of requests that wait in an entry for one service.

Tiers are served in strict priority order. Customers share a tier by weight, and
a customer's shorter requests go first, with ageing (`lavenderspoke.fairness`).
Prefix affinity and size never reorder tiers: a request is chosen from the
highest tier that has one whose deadline hasn't passed.
"""

from collections import Counter

import attrs
from sortedcontainers import SortedList

from lavenderspoke.documents.service import Service
from lavenderspoke.fairness import QueueItem, TierQueue, compute_sort_time_s
from lavenderspoke.model import Call

# Replace every customer and rank when the policy turns `fair` or `tiers` off.
SHARED_CUSTOMER = ""
SHARED_TIER_RANK = 0
# Smaller than any other tie-breaker, so that a requeued request wins ties.
REQUEUED_TIE_BREAKER = 0


@attrs.define(kw_only=True)
class WaitingRequest:
    """A request that waits in this entry and in no other queue.

    Times are on the entry's monotonic clock. `stamp` is the roster offset of its
    arrival, or of its last round of claims. `cached_tokens` maps an upstream's
    name to the prompt tokens it probably has cached; it is a hint, read only when
    the request is added.
    """

    call: Call
    arrived_s: float
    deadline_s: float
    stamp: int = 0
    cached_tokens: dict[str, int] = attrs.field(factory=dict)


@attrs.frozen(kw_only=True)
class QueuePolicy:
    """The rules that order a queue; benchmarks turn some or all off."""

    tiers: bool = True
    fair: bool = True
    size_aware: bool = True
    affinity: bool = True


DEFAULT_QUEUE_POLICY = QueuePolicy()
WITHOUT_AFFINITY = QueuePolicy(affinity=False)
FIFO = QueuePolicy(tiers=False, fair=False, size_aware=False, affinity=False)


def cost_tokens(call: Call) -> int:
    """Return a request's cost: its prompt plus its longest possible answer, at least 1.

    >>> cost_tokens(Call(request_id="r", service="s", method="POST", path="/",
    ...     customer="c", tier=1, prompt_tokens=30, max_output_tokens=12))
    42
    """
    return max(1, call.prompt_tokens + call.max_output_tokens)


class WaitingQueue:
    """The requests of one service that wait in one entry.

    Operations search sorted lists, except `drop_below`, `reconfigure` and, without
    tiers, `lowest_victim`, whose cost grows with the number of waiting requests.
    """

    def __init__(self, *, service: Service, policy: QueuePolicy = DEFAULT_QUEUE_POLICY):
        self._service = service
        self._policy = policy
        self._last_tie_breaker = 0
        self._requests: dict[str, WaitingRequest] = {}
        self._items: dict[str, QueueItem] = {}
        self._reset_indexes()

    def __len__(self) -> int:
        return len(self._requests)

    @property
    def bytes(self) -> int:
        """The total size of the waiting requests' bodies, in bytes."""
        return self._bytes

    def add(self, request: WaitingRequest, now_s: float) -> None:
        """Add a request."""
        self._insert(request)

    def requeue(self, request: WaitingRequest, now_s: float) -> None:
        """Add a taken request again, since it was granted in vain or not at all.

        Its sort time still comes from its arrival and its customer's charge is
        refunded, so it regains its position.
        """
        item = self._insert(request, tie_breaker=REQUEUED_TIE_BREAKER)
        self._tier_queue_of(item).refund(item)

    def get(self, request_id: str) -> WaitingRequest | None:
        """Return a waiting request without removing it."""
        return self._requests.get(request_id)

    def remove(self, request_id: str) -> WaitingRequest | None:
        """Remove a request without charging its customer; return it, or None."""
        if request_id not in self._requests:
            return None
        return self._extract(self._items[request_id])

    def take(self, now_s: float, *, upstream: str) -> WaitingRequest | None:
        """Remove and return the next request for an upstream, or None.

        Requests past their deadline are left for `pop_expired`.
        """
        prefixes = self._service.prefixes if self._policy.affinity else None
        for rank in sorted(self._tier_queues, reverse=True):
            tier_queue = self._tier_queues[rank]
            item = tier_queue.choose(upstream=upstream, now_s=now_s, prefixes=prefixes)
            if item is not None:
                tier_queue.charge(item)
                return self._extract(item)
        return None

    def counts(self) -> dict[int, int]:
        """Return the number of waiting requests by tier rank."""
        return {rank: count for rank, count in self._counts_by_rank.items() if count}

    def count_of_customer(self, customer: str) -> int:
        """Return the number of a customer's waiting requests."""
        return self._counts_by_customer[customer]

    def lowest_rank(self) -> int | None:
        """Return the lowest rank with a waiting request, or None."""
        return min(self.counts(), default=None)

    def backlog_tokens(self, rank: int) -> int:
        """Return the total cost of the requests waiting at a rank or above."""
        return sum(
            cost for each, cost in self._cost_tokens_by_rank.items() if each >= rank
        )

    def next_deadline_s(self) -> float | None:
        """Return the earliest deadline of a waiting request, or None."""
        return self._deadlines[0][0] if self._deadlines else None

    def pop_expired(self, now_s: float) -> list[WaitingRequest]:
        """Remove and return the requests whose deadline has passed."""
        expired = []
        while self._deadlines and self._deadlines[0][0] <= now_s:
            expired.append(self.remove(self._deadlines[0][1]))
        return expired

    def lowest_victim(self, below_rank: int) -> WaitingRequest | None:
        """Return the request to shed first of those below a rank, or None.

        It is in the lowest waiting tier, from the customer there with the most
        backlog per weight; without tiers it is the first one added. It isn't removed.
        """
        lowest = self.lowest_rank()
        if lowest is None or lowest >= below_rank:
            return None
        if self._policy.tiers:
            return self._requests[self._tier_queues[lowest].victim().request_id]
        return next(r for r in self._requests.values() if r.call.tier == lowest)

    def drop_below(self, rank: int) -> list[WaitingRequest]:
        """Remove and return every request of a tier below `rank`."""
        if not any(each < rank for each in self.counts()):
            return []
        below = [item for item in self._items.values() if item.rank < rank]
        return [self._extract(item) for item in below]

    def reconfigure(self, service: Service, now_s: float) -> None:
        """Apply a new service document; each customer's requests keep their order.

        All customers' virtual start times begin again at 0.
        """
        requests = list(self._requests.values())
        tie_breakers = {key: item.tie_breaker for key, item in self._items.items()}
        self._service = service
        self._requests, self._items = {}, {}
        self._reset_indexes()
        for request in requests:
            self._insert(request, tie_breaker=tie_breakers[request.call.request_id])

    def _reset_indexes(self) -> None:
        self._tier_queues: dict[int, TierQueue] = {}
        self._deadlines: SortedList = SortedList()
        self._counts_by_rank: Counter[int] = Counter()
        self._cost_tokens_by_rank: Counter[int] = Counter()
        self._counts_by_customer: Counter[str] = Counter()
        self._bytes = 0

    def _insert(
        self, request: WaitingRequest, tie_breaker: int | None = None
    ) -> QueueItem:
        if tie_breaker is None:
            self._last_tie_breaker += 1
            tie_breaker = self._last_tie_breaker
        item = self._make_item(request, tie_breaker)
        call = request.call
        self._requests[call.request_id] = request
        self._items[call.request_id] = item
        self._tier_queue_of(item).add(item)
        self._deadlines.add((request.deadline_s, call.request_id))
        self._counts_by_rank[call.tier] += 1
        self._cost_tokens_by_rank[call.tier] += item.cost_tokens
        self._counts_by_customer[call.customer] += 1
        self._bytes += len(call.body)
        return item

    def _extract(self, item: QueueItem) -> WaitingRequest:
        request = self._requests.pop(item.request_id)
        del self._items[item.request_id]
        self._tier_queue_of(item).discard(item)
        self._deadlines.remove((request.deadline_s, item.request_id))
        self._counts_by_rank[item.rank] -= 1
        self._cost_tokens_by_rank[item.rank] -= item.cost_tokens
        self._counts_by_customer[request.call.customer] -= 1
        if not self._counts_by_customer[request.call.customer]:
            del self._counts_by_customer[request.call.customer]
        self._bytes -= len(request.call.body)
        return request

    def _make_item(self, request: WaitingRequest, tie_breaker: int) -> QueueItem:
        call = request.call
        cost = cost_tokens(call)
        sort_time_s = request.arrived_s
        if self._policy.size_aware:
            sort_time_s = compute_sort_time_s(
                arrived_s=request.arrived_s,
                deadline_s=request.deadline_s,
                cost_tokens=cost,
            )
        return QueueItem(
            request_id=call.request_id,
            rank=call.tier,
            customer=call.customer if self._policy.fair else SHARED_CUSTOMER,
            cost_tokens=cost,
            arrived_s=request.arrived_s,
            deadline_s=request.deadline_s,
            sort_time_s=sort_time_s,
            tie_breaker=tie_breaker,
            cached_tokens=dict(request.cached_tokens) if self._policy.affinity else {},
        )

    def _tier_queue_of(self, item: QueueItem) -> TierQueue:
        rank = item.rank if self._policy.tiers else SHARED_TIER_RANK
        if rank not in self._tier_queues:
            self._tier_queues[rank] = TierQueue(weight_of=self._weight_of)
        return self._tier_queues[rank]

    def _weight_of(self, name: str) -> float:
        customer = self._service.customer(name)
        if customer is None or customer.weight <= 0:
            return 1.0
        return customer.weight
