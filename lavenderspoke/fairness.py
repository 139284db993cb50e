"""The waiting requests of one tier, and how its customers share it.

Customers share a tier by start-time fair queueing: each has a virtual start
time that grows by the cost of what it was served over its weight, and the
customer with the smallest goes next. One that was idle starts at the tier's
virtual time, so it can't save up turns.

Inside a customer the order is by a time that is fixed on arrival: the arrival
plus the time that its cost stands for at `AGEING_TOKENS_PER_S`. Shorter ones
go first, and a long one is overtaken only by what arrives within that time, so
it can't starve. Since the order never changes, every operation is a search in
a sorted list.
"""

from collections.abc import Callable, Iterator
from itertools import islice

import attrs
from sortedcontainers import SortedKeyList, SortedList

from lavenderspoke.documents.service import Prefixes

# A request of this many tokens may be overtaken by those that arrive up to a
# second after it.
AGEING_TOKENS_PER_S = 2000.0
# No request is overtaken for longer than this part of the time it may wait.
AGEING_PATIENCE = 0.5
# For so long, and no longer than the same part of its time, may warm requests
# of its customer go before the one whose turn it is.
WARM_PASSES_S = 5.0
# How many requests one choice looks at, in all and of one customer.
LOOKED_AT_MAX = 32
LOOKED_AT_PER_CUSTOMER = 8
# How far, in tokens over weight, a warm request may go before its customer's
# turn. It is charged as usual, so the customer's next turn comes later.
WARM_AHEAD_TOKENS = 20_000


@attrs.define(kw_only=True, eq=False)
class Item:
    """A waiting request as the order sees it.

    `order_s` is the fixed place inside its customer, `number` breaks ties.
    """

    request_id: str
    tier: int
    customer: str
    cost_tokens: int
    arrived_s: float
    deadline_s: float
    order_s: float
    number: int
    warm: dict[str, int] = attrs.field(factory=dict)

    @property
    def patient_until_s(self) -> float:
        """Until when warm requests may go before it."""
        patience_s = (self.deadline_s - self.arrived_s) * AGEING_PATIENCE
        return self.arrived_s + min(WARM_PASSES_S, patience_s)

    def holds_out(self, *, upstream: str, now_s: float, prefixes: Prefixes) -> bool:
        """Return whether it is still cheaper to wait for a warmer upstream.

        The wait is bounded by the time that the saved prefill would take and
        by the document's `wait_max_s`.
        """
        if not self.warm:
            return False
        saved_tokens = max(self.warm.values()) - self.warm.get(upstream, 0)
        wait_s = min(prefixes.wait_max_s, saved_tokens / prefixes.prefill_tokens_per_s)
        return now_s < self.arrived_s + wait_s


def order_s(*, arrived_s: float, deadline_s: float, cost_tokens: int) -> float:
    """Return the place of a request inside its customer.

    >>> order_s(arrived_s=10.0, deadline_s=40.0, cost_tokens=200)
    10.1
    >>> order_s(arrived_s=10.0, deadline_s=40.0, cost_tokens=2_000_000)
    25.0
    """
    overtaken_s = cost_tokens / AGEING_TOKENS_PER_S
    patience_s = max(0.0, deadline_s - arrived_s) * AGEING_PATIENCE
    return arrived_s + min(overtaken_s, patience_s)


def _place(item: Item) -> tuple[float, int]:
    return item.order_s, item.number


@attrs.define(kw_only=True, eq=False)
class Share:
    """One customer's waiting requests in a tier and its virtual start time."""

    name: str
    weight: float
    start: float
    backlog_tokens: int = 0
    items: SortedKeyList = attrs.field(factory=lambda: SortedKeyList(key=_place))

    @property
    def turn(self) -> tuple[float, str]:
        """The key by which the customers take turns."""
        return self.start, self.name

    @property
    def load(self) -> tuple[float, str]:
        """The key by which the most loaded customer is found."""
        return self.backlog_tokens / self.weight, self.name


class TierQueue:
    """The waiting requests of one tier.

    `weight_of` returns a customer's weight, which is above zero.
    """

    def __init__(self, *, weight_of: Callable[[str], float]):
        self._weight_of = weight_of
        self._shares: dict[str, Share] = {}
        self._finishes: dict[str, float] = {}
        self._turns: SortedList = SortedList()
        self._loads: SortedList = SortedList()
        self._warm: dict[str, SortedKeyList] = {}
        self._virtual = 0.0
        self._count = 0
        self.cost_tokens = 0

    def __len__(self) -> int:
        return self._count

    def add(self, item: Item) -> None:
        """Take a request in at its place."""
        share = self._shares.get(item.customer) or self._activate(item.customer)
        self._loads.remove(share.load)
        share.items.add(item)
        share.backlog_tokens += item.cost_tokens
        self._loads.add(share.load)
        for upstream in item.warm:
            self._warm.setdefault(upstream, SortedKeyList(key=_place)).add(item)
        self._count += 1
        self.cost_tokens += item.cost_tokens

    def discard(self, item: Item) -> None:
        """Take a request out without charging its customer."""
        share = self._shares[item.customer]
        self._loads.remove(share.load)
        share.items.remove(item)
        share.backlog_tokens -= item.cost_tokens
        self._loads.add(share.load)
        for upstream in item.warm:
            self._warm[upstream].remove(item)
            if not self._warm[upstream]:
                del self._warm[upstream]
        self._count -= 1
        self.cost_tokens -= item.cost_tokens
        if not share.items:
            self._deactivate(share)

    def charge(self, item: Item) -> None:
        """Charge a customer for a request that is about to be discarded."""
        self._virtual = max(self._virtual, self._turns[0][0])
        self._move(self._shares[item.customer], item.cost_tokens)

    def refund(self, item: Item) -> None:
        """Give back the charge of a request that is in again."""
        self._move(self._shares[item.customer], -item.cost_tokens)

    def choose(
        self,
        *,
        upstream: str,
        now_s: float,
        prefixes: Prefixes | None = None,
    ) -> Item | None:
        """Return the request to go next to an upstream, or None.

        Without `prefixes` nothing is believed warm. A request that holds out
        for a warmer upstream lets others of its tier go first; when every one
        looked at holds out, the first goes cold, since the only alternatives
        are an idle upstream and a lower tier in front of it.
        """
        if prefixes is not None:
            warm = self._choose_warm(upstream=upstream, now_s=now_s, prefixes=prefixes)
            if warm is not None:
                return warm
        first = None
        for item in islice(self._in_turn(now_s), LOOKED_AT_MAX):
            if prefixes is None or not item.holds_out(
                upstream=upstream, now_s=now_s, prefixes=prefixes
            ):
                return item
            first = first or item
        return first

    def victim(self) -> Item | None:
        """Return the last request of the customer with most cost for its weight."""
        if not self._loads:
            return None
        return self._shares[self._loads[-1][1]].items[-1]

    def _choose_warm(
        self, *, upstream: str, now_s: float, prefixes: Prefixes
    ) -> Item | None:
        for item in islice(self._warm.get(upstream, ()), LOOKED_AT_MAX):
            share = self._shares[item.customer]
            if item.deadline_s <= now_s:
                continue
            if share.start - self._turns[0][0] > WARM_AHEAD_TOKENS:
                continue
            # Without this bound a stream of warm requests would starve the
            # cold one at the head of their customer.
            head = share.items[0]
            if item is not head and head.patient_until_s <= now_s:
                continue
            if not item.holds_out(upstream=upstream, now_s=now_s, prefixes=prefixes):
                return item
        return None

    def _in_turn(self, now_s: float) -> Iterator[Item]:
        for _, name in self._turns:
            alive = (
                item for item in self._shares[name].items if item.deadline_s > now_s
            )
            yield from islice(alive, LOOKED_AT_PER_CUSTOMER)

    def _activate(self, name: str) -> Share:
        start = max(self._virtual, self._finishes.pop(name, 0.0))
        share = Share(name=name, weight=self._weight_of(name), start=start)
        self._shares[name] = share
        self._turns.add(share.turn)
        self._loads.add(share.load)
        return share

    def _deactivate(self, share: Share) -> None:
        self._turns.remove(share.turn)
        self._loads.remove(share.load)
        del self._shares[share.name]
        if share.start > self._virtual:
            self._finishes[share.name] = share.start

    def _move(self, share: Share, tokens: int) -> None:
        self._turns.remove(share.turn)
        share.start += tokens / share.weight
        self._turns.add(share.turn)
