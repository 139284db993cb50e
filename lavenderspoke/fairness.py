"""Shares a tier fairly between customers, and orders a customer's requests.

Customers share a tier by start-time fair queueing. Each has a virtual start
time, which advances by the cost of each request served divided by the
customer's weight; the customer with the smallest is served next. A customer
that becomes active again starts at the tier's virtual time or later, so being
idle earns no credit.

A customer's requests are sorted by a time fixed on arrival: the arrival time
plus the request's cost divided by `AGEING_TOKENS_PER_S`, bounded by
`OVERTAKE_SHARE_MAX`. Shorter requests go first, and a long one is overtaken only
by requests that arrive within that time, so it can't starve. A request's sort key
never changes while it waits, so every operation is a search in a sorted list.

A request is warm at the upstreams that probably have a prefix of its prompt
cached. Warm requests may be served out of turn, within the bounds below.
"""

from collections.abc import Callable, Iterator
from itertools import islice

import attrs
from sortedcontainers import SortedKeyList, SortedList

from lavenderspoke.documents.service import Prefixes

# A request of this many tokens may be overtaken by requests that arrive up to
# one second after it.
AGEING_TOKENS_PER_S = 2000.0
# Later requests may overtake a request only in this first share of the time from
# its arrival to its deadline.
OVERTAKE_SHARE_MAX = 0.5
# Longest time, also bounded by OVERTAKE_SHARE_MAX, for which warm requests of a
# customer may overtake the request at the head of its queue.
WARM_OVERTAKE_MAX_S = 5.0
# Requests examined in each pass of a choice (warm ones, then in turn), and of these
# per customer in turn.
SCANNED_MAX = 32
SCANNED_PER_CUSTOMER_MAX = 8
# A customer's warm requests are served out of turn only while its virtual start
# (tokens over weight) is at most this far ahead of the smallest. They are charged
# as usual, so the customer's next turn comes later.
WARM_LEAD_MAX_TOKENS = 20_000


@attrs.define(kw_only=True, eq=False)
class QueueItem:
    """The scheduling data of a waiting request.

    `sort_time_s` sorts it among its customer's requests, then `tie_breaker`.
    `cached_tokens` maps an upstream to the prompt tokens it probably has cached.
    """

    request_id: str
    rank: int
    customer: str
    cost_tokens: int
    arrived_s: float
    deadline_s: float
    sort_time_s: float
    tie_breaker: int
    cached_tokens: dict[str, int] = attrs.field(factory=dict)

    @property
    def warm_overtake_until_s(self) -> float:
        """The time until which its customer's warm requests may overtake it."""
        overtake_max_s = (self.deadline_s - self.arrived_s) * OVERTAKE_SHARE_MAX
        return self.arrived_s + min(WARM_OVERTAKE_MAX_S, overtake_max_s)

    def waits_for_warmer(
        self, *, upstream: str, now_s: float, prefixes: Prefixes
    ) -> bool:
        """Return whether it should still wait for an upstream with more cached tokens.

        The wait since arrival is bounded by the prefill time that these tokens
        would save and by the document's `wait_max_s`.
        """
        if not self.cached_tokens:
            return False
        saved_tokens = max(self.cached_tokens.values()) - self.cached_tokens.get(
            upstream, 0
        )
        wait_s = min(prefixes.wait_max_s, saved_tokens / prefixes.prefill_tokens_per_s)
        return now_s < self.arrived_s + wait_s


def compute_sort_time_s(
    *, arrived_s: float, deadline_s: float, cost_tokens: int
) -> float:
    """Return the time by which a request is sorted among its customer's requests.

    >>> compute_sort_time_s(arrived_s=10.0, deadline_s=40.0, cost_tokens=200)
    10.1
    >>> compute_sort_time_s(arrived_s=10.0, deadline_s=40.0, cost_tokens=2_000_000)
    25.0
    """
    ageing_s = cost_tokens / AGEING_TOKENS_PER_S
    overtake_max_s = max(0.0, deadline_s - arrived_s) * OVERTAKE_SHARE_MAX
    return arrived_s + min(ageing_s, overtake_max_s)


def _sort_key(item: QueueItem) -> tuple[float, int]:
    return item.sort_time_s, item.tie_breaker


@attrs.define(kw_only=True, eq=False)
class CustomerQueue:
    """One customer's waiting requests in a tier, and its virtual start time."""

    name: str
    weight: float
    virtual_start: float
    backlog_tokens: int = 0
    items: SortedKeyList = attrs.field(factory=lambda: SortedKeyList(key=_sort_key))

    @property
    def turn_key(self) -> tuple[float, str]:
        """Sort key of customers; the smallest is served next."""
        return self.virtual_start, self.name

    @property
    def backlog_key(self) -> tuple[float, str]:
        """Sort key of customers; the largest has the most backlog for its weight."""
        return self.backlog_tokens / self.weight, self.name


class TierQueue:
    """The waiting requests of one tier.

    `weight_of` returns a customer's weight, which must be positive.
    """

    def __init__(self, *, weight_of: Callable[[str], float]):
        self._weight_of = weight_of
        self._customer_queues: dict[str, CustomerQueue] = {}
        self._idle_virtual_starts: dict[str, float] = {}
        self._turn_keys: SortedList = SortedList()
        self._backlog_keys: SortedList = SortedList()
        self._warm_items: dict[str, SortedKeyList] = {}
        self._virtual_time = 0.0
        self._count = 0
        self.backlog_tokens = 0

    def __len__(self) -> int:
        return self._count

    def add(self, item: QueueItem) -> None:
        """Add a request at its sorted position."""
        queue = self._customer_queues.get(item.customer) or self._activate(
            item.customer
        )
        self._backlog_keys.remove(queue.backlog_key)
        queue.items.add(item)
        queue.backlog_tokens += item.cost_tokens
        self._backlog_keys.add(queue.backlog_key)
        for upstream in item.cached_tokens:
            self._warm_items.setdefault(upstream, SortedKeyList(key=_sort_key)).add(
                item
            )
        self._count += 1
        self.backlog_tokens += item.cost_tokens

    def discard(self, item: QueueItem) -> None:
        """Remove a request without charging its customer."""
        queue = self._customer_queues[item.customer]
        self._backlog_keys.remove(queue.backlog_key)
        queue.items.remove(item)
        queue.backlog_tokens -= item.cost_tokens
        self._backlog_keys.add(queue.backlog_key)
        for upstream in item.cached_tokens:
            self._warm_items[upstream].remove(item)
            if not self._warm_items[upstream]:
                del self._warm_items[upstream]
        self._count -= 1
        self.backlog_tokens -= item.cost_tokens
        if not queue.items:
            self._deactivate(queue)

    def charge(self, item: QueueItem) -> None:
        """Charge a customer for a request; call it before `discard`."""
        self._virtual_time = max(self._virtual_time, self._turn_keys[0][0])
        self._advance_virtual_start(
            self._customer_queues[item.customer], item.cost_tokens
        )

    def refund(self, item: QueueItem) -> None:
        """Credit the cost of a charged request that has been added again."""
        self._advance_virtual_start(
            self._customer_queues[item.customer], -item.cost_tokens
        )

    def choose(
        self,
        *,
        upstream: str,
        now_s: float,
        prefixes: Prefixes | None = None,
    ) -> QueueItem | None:
        """Return the next request for an upstream, without removing it, or None.

        A request warm at the upstream goes first, within the bounds above; then
        customers in turn. One that waits for a warmer upstream is passed over, but
        if all examined requests do, the first is returned: the alternatives are
        to leave the upstream idle or to serve a lower tier first. Without
        `prefixes` cached prefixes are ignored.
        """
        if prefixes is not None:
            warm = self._choose_warm(upstream=upstream, now_s=now_s, prefixes=prefixes)
            if warm is not None:
                return warm
        fallback = None
        for item in islice(self._candidates_in_turn(now_s), SCANNED_MAX):
            if prefixes is None or not item.waits_for_warmer(
                upstream=upstream, now_s=now_s, prefixes=prefixes
            ):
                return item
            fallback = fallback or item
        return fallback

    def victim(self) -> QueueItem | None:
        """Return the last request of the customer with the most backlog per weight."""
        if not self._backlog_keys:
            return None
        return self._customer_queues[self._backlog_keys[-1][1]].items[-1]

    def _choose_warm(
        self, *, upstream: str, now_s: float, prefixes: Prefixes
    ) -> QueueItem | None:
        for item in islice(self._warm_items.get(upstream, ()), SCANNED_MAX):
            queue = self._customer_queues[item.customer]
            if item.deadline_s <= now_s:
                continue
            if queue.virtual_start - self._turn_keys[0][0] > WARM_LEAD_MAX_TOKENS:
                continue
            # Without this bound a stream of warm requests would starve a cold
            # one at the head of the same customer's queue.
            head = queue.items[0]
            if item is not head and head.warm_overtake_until_s <= now_s:
                continue
            if not item.waits_for_warmer(
                upstream=upstream, now_s=now_s, prefixes=prefixes
            ):
                return item
        return None

    def _candidates_in_turn(self, now_s: float) -> Iterator[QueueItem]:
        for _, name in self._turn_keys:
            unexpired = (
                item
                for item in self._customer_queues[name].items
                if item.deadline_s > now_s
            )
            yield from islice(unexpired, SCANNED_PER_CUSTOMER_MAX)

    def _activate(self, name: str) -> CustomerQueue:
        start = max(self._virtual_time, self._idle_virtual_starts.pop(name, 0.0))
        queue = CustomerQueue(
            name=name, weight=self._weight_of(name), virtual_start=start
        )
        self._customer_queues[name] = queue
        self._turn_keys.add(queue.turn_key)
        self._backlog_keys.add(queue.backlog_key)
        return queue

    def _deactivate(self, queue: CustomerQueue) -> None:
        self._turn_keys.remove(queue.turn_key)
        self._backlog_keys.remove(queue.backlog_key)
        del self._customer_queues[queue.name]
        if queue.virtual_start > self._virtual_time:
            self._idle_virtual_starts[queue.name] = queue.virtual_start

    def _advance_virtual_start(self, queue: CustomerQueue, tokens: int) -> None:
        self._turn_keys.remove(queue.turn_key)
        queue.virtual_start += tokens / queue.weight
        self._turn_keys.add(queue.turn_key)
