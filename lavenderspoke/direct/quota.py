"""Customers' limits, shared by all entries without a call for each request.

Every entry holds a bucket for each customer that fills at the customer's whole
rate. Its own requests are taken out at once, those of the other entries when
they tell of them, several times a second. What is told late is bounded by that
period, and the burst of the bucket bounds what any window can hold.

An entry that doesn't hear some peers can't know what they let through. Each
side then fills its buckets only with its part of the rate, so that the sum over
all entries stays within it, however they are cut off from each other.
"""

import attrs

from lavenderspoke.direct.catalog import Customer


@attrs.define(kw_only=True)
class _Bucket:
    level: float
    at_s: float
    spent: float = 0.0


class SharedQuota:
    """The buckets of one entry.

    >>> quota = SharedQuota()
    >>> customer = Customer(name="c", keys=(), rank=0, per_s=10.0, burst=5.0,
    ...     counts_tokens=False, plain_tokens=0)
    >>> quota.reconfigure((customer,), now_s=0.0)
    >>> [quota.spend(customer, 1.0, now_s=0.0) for _ in range(6)][-2:]
    [True, False]
    >>> quota.spend(customer, 1.0, now_s=0.5)
    True
    """

    def __init__(self):
        self._buckets: dict[str, _Bucket] = {}
        self._part = 1.0
        self._heard: dict[tuple[str, str], dict[str, float]] = {}

    def reconfigure(self, customers: tuple[Customer, ...], *, now_s: float) -> None:
        """Keep a bucket for each customer, also for those not seen here yet.

        Without one, what peers let through before a customer's first request
        here would be forgotten, and each entry would add a burst of its own.
        """
        for customer in customers:
            if customer.per_s > 0.0:
                self._filled(customer, now_s)

    def share(self, *, heard: int, known: int) -> None:
        """Set how many of the known entries, this one included, are heard."""
        self._part = heard / max(1, known)

    def spend(self, customer: Customer, cost: float, *, now_s: float) -> bool:
        """Take a request's cost out, or return False when it exceeds the limit.

        One that costs more than the whole burst passes from a full bucket, and
        what it overdrew has to fill again first.
        """
        if customer.per_s <= 0.0:
            return True
        bucket = self._filled(customer, now_s)
        if bucket.level < min(cost, customer.burst):
            return False
        bucket.level -= cost
        bucket.spent += cost
        return True

    def refund(self, customer: Customer, cost: float) -> None:
        """Give back the cost of a request that never ran."""
        bucket = self._buckets.get(customer.name)
        if customer.per_s > 0.0 and bucket is not None:
            bucket.level += cost
            bucket.spent -= cost

    def wait_s(self, customer: Customer, cost: float, *, now_s: float) -> float:
        """Return in how many seconds a request of that cost could pass."""
        if customer.per_s <= 0.0:
            return 0.0
        missing = min(cost, customer.burst) - self._filled(customer, now_s).level
        return max(0.0, missing / (customer.per_s * self._part))

    def spent(self) -> dict[str, float]:
        """Return what this entry has let through since it started."""
        return {name: bucket.spent for name, bucket in self._buckets.items()}

    def peer_spent(self, name: str, incarnation: str, spent: dict[str, float]) -> None:
        """Take in what a peer has let through since its incarnation started."""
        before = self._heard.setdefault((name, incarnation), {})
        for customer, total in spent.items():
            added = total - before.get(customer, 0.0)
            bucket = self._buckets.get(customer)
            if bucket is not None:
                bucket.level -= added
        self._heard[name, incarnation] = dict(spent)

    def _filled(self, customer: Customer, now_s: float) -> _Bucket:
        bucket = self._buckets.get(customer.name)
        if bucket is None:
            bucket = _Bucket(level=customer.burst, at_s=now_s)
            self._buckets[customer.name] = bucket
        elapsed_s = max(0.0, now_s - bucket.at_s)
        filled = bucket.level + elapsed_s * customer.per_s * self._part
        bucket.level = min(filled, customer.burst)
        bucket.at_s = now_s
        return bucket
