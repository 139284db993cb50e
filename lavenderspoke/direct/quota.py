"""Customers' limits, shared by all entries without a call for each request.

A limit counts over a sliding window: in any `window_s`, a customer may use what
its rate gives in that time and its burst, and a part of what the platform tolerates
beyond that. Every entry counts its own requests at once, and those of the other
entries when they tell of them, several times a second.

Two things are added to the window. Use is spread: beside the window there is a bucket
that empties at the window's mean rate. A customer that uses its whole window in the
first second gets nothing for the seven after it; and an entry that starts can't know
whether that second lies just behind it. And what is left of a limit goes to the highest
ranks first, as places at upstreams do: spent in order of arrival, cheap requests of low
ranks use up what the highest is then refused.

An entry that doesn't hear some peers can't know what they let through. Each
side then keeps to its part of the limit, so that the sum over all entries stays
within it, however they are cut off from each other.

An entry that has just started knows nothing of the window before. Since use is
spread, at most the bucket and the mean rate's part of it lie behind the start, so
what comes free may be given out, and beyond it a part of what the platform tolerates.
"""

import attrs

from lavenderspoke.direct.catalog import Customer
from lavenderspoke.direct.usage import Usage, UsageRows

# What the platform tolerates beyond a limit is shared out so that all entries may be
# killed at any moment: what they give out all the time, what the bucket's depth may
# have let through just before, and what they give out after the start. The rest is for
# what they let through before they hear of each other's.
STEADY_PART = 0.2
DEPTH_PART = 0.3
START_PART = 0.35
# Entries tell each other less often the more they are: with so many more, what they
# let through unknown to each other doubles, and the part above halves.
STEADY_ENTRIES = 6
# The least depth of the bucket, in seconds of the customer's rate.
DEPTH_MIN_S = 0.5
# The part of a limit that ranks below others have in any case, so that none starves.
LOWER_PART = 0.1
# How far ranks below others may fill the bucket of a customer that is near its limit:
# the highest must find room in it.
LOWER_DEPTH = 0.5
# The part of its limit from which on a customer counts as near it. Further away the
# highest rank loses nothing by a full bucket, which is soon empty again; kept out of
# half of it, callers of the lower ranks were refused for a second after every clump of
# long prompts, at a fifth of their customer's limit.
NEAR_LIMIT_PART = 0.6
# The part of the tolerated tokens by which the last request before the limit may pass
# it: without that, requests near a limit that is used up pass by their size, and the
# largest of them never.
LAST_PART = 0.2


@attrs.frozen(kw_only=True)
class Tolerance:
    """How far a window may exceed a limit: a part of it and a number of tokens."""

    part: float = 0.0
    tokens: float = 0.0

    def of(self, customer: Customer, limit: float) -> float:
        """Return what is tolerated beyond a customer's limit."""
        return limit * self.part + self.of_tokens(customer)

    def of_tokens(self, customer: Customer) -> float:
        """Return the tokens tolerated, 0 where the limit counts requests."""
        return self.tokens if customer.counts_tokens else 0.0


class SharedQuota:
    """The limits as one entry counts them; times are seconds.

    >>> quota = SharedQuota(window_s=1.0)
    >>> customer = Customer(name="c", keys=(), rank=0, per_s=2.0, burst=3.0,
    ...     counts_tokens=False, default_tokens=0)
    >>> quota.reconfigure((customer,), now_s=0.0)
    >>> [quota.spend(customer, 1.0, rank=0, now_s=5.0) for _ in range(4)]
    [True, True, True, False]
    >>> quota.spend(customer, 1.0, rank=0, now_s=6.5)
    True
    """

    def __init__(self, *, window_s: float, tolerance: Tolerance = Tolerance()):
        self._window_s = window_s
        self._tolerance = tolerance
        self._usages: dict[str, Usage] = {}
        self._part = 1.0
        self._entries = 1
        self._heard: dict[tuple[str, str], dict[str, UsageRows]] = {}

    def reconfigure(self, customers: tuple[Customer, ...], *, now_s: float) -> None:
        """Count for each customer, also for those not seen here yet.

        Without that, what peers let through before a customer's first request
        here would be forgotten.
        """
        for customer in customers:
            if customer.per_s > 0.0:
                self._usage(customer, now_s)

    def set_window(self, window_s: float, tolerance: Tolerance) -> None:
        """Count limits over windows of another length from now on."""
        self._window_s = window_s
        self._tolerance = tolerance

    def set_entry_counts(self, *, live: int, known: int) -> None:
        """Set how many of the known entries, this one included, are heard."""
        self._entries = max(1, known)
        self._part = live / self._entries

    def spend(
        self,
        customer: Customer,
        cost: float,
        *,
        rank: int,
        now_s: float,
        resubmitted: bool = False,
    ) -> bool:
        """Count a request, or return False when it exceeds the limit.

        One that was refused and has `resubmitted` asks for what it asked for before.
        """
        if customer.per_s <= 0.0:
            return True
        usage = self._usage(customer, now_s)
        if not resubmitted:
            usage.record_request(rank, cost, now_s)
        if self._over(customer, usage, cost, rank, now_s) > 0.0:
            return False
        if self._is_full_up(customer, usage, rank):
            return False
        usage.spend(rank, cost, now_s)
        return True

    def refund(
        self, customer: Customer, cost: float, *, rank: int, now_s: float
    ) -> None:
        """Give back the cost of a request that never ran."""
        if customer.per_s > 0.0 and customer.name in self._usages:
            self._usage(customer, now_s).refund(rank, cost)

    def wait_s(
        self, customer: Customer, cost: float, *, rank: int, now_s: float
    ) -> float:
        """Return in how many seconds a request of that cost could pass."""
        if customer.per_s <= 0.0:
            return 0.0
        usage = self._usage(customer, now_s)
        over = self._over(customer, usage, cost, rank, now_s)
        wait_s = usage.wait_to_free_s(over, now_s, self._window_s)
        if self._is_full_up(customer, usage, rank):
            excess = usage.bucket_level - self._depth(customer, usage, rank)
            wait_s = max(wait_s, excess / self._mean_per_s(customer))
        return min(wait_s, self._window_s)

    def explain(
        self, customer: Customer, cost: float, *, rank: int, now_s: float
    ) -> str:
        """Return why a request exceeds the limit, for the log."""
        usage = self._usage(customer, now_s)
        limit = self._limit(customer, usage, now_s)
        return (
            f"{usage.used():.0f} used in {self._window_s:g} s and {cost:.0f} asked, "
            f"of {limit:.0f}, {usage.requested_above(rank):.0f} by ranks above; "
            f"{usage.bucket_level:.0f} at once "
            f"of {self._depth(customer, usage, rank):.0f}; "
            f"{self._part:.2f} of the entries are heard"
        )

    def spent(self) -> dict[str, UsageRows]:
        """Return what this entry has let through since it started, by customer."""
        return {name: usage.totals() for name, usage in self._usages.items()}

    def merge_peer_spent(
        self, name: str, incarnation: str, spent: dict[str, UsageRows], *, now_s: float
    ) -> None:
        """Take in what a peer has let through since its incarnation started.

        Customers that a message leaves out have used nothing since the one before.
        """
        before = self._heard.get((name, incarnation))
        for customer, rows in spent.items():
            usage = self._usages.get(customer)
            if usage is None:
                continue
            usage.advance(now_s, self._window_s)
            if before is None and not usage.covers_window(now_s, self._window_s):
                # What a peer let through before this entry knew of it is in the
                # part of the window that counts as used. Added up as if all of it
                # had just passed, hours of use would close the limit for a window
                # at every entry that starts.
                continue
            usage.merge_peer((before or {}).get(customer, ()), rows, now_s)
        for key in [each for each in self._heard if each[0] == name]:
            del self._heard[key]
        self._heard[name, incarnation] = (before or {}) | spent

    def _usage(self, customer: Customer, now_s: float) -> Usage:
        usage = self._usages.get(customer.name)
        if usage is None:
            usage = self._usages[customer.name] = Usage(since_s=now_s, at_s=now_s)
        usage.leak_per_s = self._mean_per_s(customer) * self._part
        usage.advance(now_s, self._window_s)
        return usage

    def _over(
        self, customer: Customer, usage: Usage, cost: float, rank: int, now_s: float
    ) -> float:
        """Return by how much a request exceeds what its rank may use."""
        limit = self._limit(customer, usage, now_s)
        allowed = max(limit - usage.requested_above(rank), limit * LOWER_PART)
        over = max(usage.used() - limit, usage.used_at_or_below(rank) - allowed) + cost
        return over - min(cost, self._tolerance.of_tokens(customer) * LAST_PART)

    def _is_full_up(self, customer: Customer, usage: Usage, rank: int) -> bool:
        return usage.bucket_level >= max(1e-9, self._depth(customer, usage, rank))

    def _depth(self, customer: Customer, usage: Usage, rank: int) -> float:
        depth = self._whole_depth(customer) * self._part
        own_limit = self._whole(customer) * self._part
        is_near = usage.used() > own_limit * NEAR_LIMIT_PART
        has_its_part = usage.used_at_or_below(rank) > own_limit * LOWER_PART
        if is_near and has_its_part and usage.requested_above(rank) > 0.0:
            return depth * LOWER_DEPTH
        return depth

    def _whole_depth(self, customer: Customer) -> float:
        tolerated = self._tolerance.of(customer, self._whole(customer))
        depth = max(tolerated * DEPTH_PART, customer.per_s * DEPTH_MIN_S)
        # Where requests are counted next to nothing is tolerated, and a bucket that
        # follows from it would refuse the burst which the operators allow at once.
        return depth if customer.counts_tokens else max(depth, customer.burst)

    def _limit(self, customer: Customer, usage: Usage, now_s: float) -> float:
        limit = self._steady(customer)
        if not usage.covers_window(now_s, self._window_s):
            free = limit * (now_s - usage.since_s) / self._window_s
            tolerated = self._tolerance.of(customer, self._whole(customer))
            limit = min(limit, free + tolerated * START_PART)
        return limit * self._part

    def _whole(self, customer: Customer) -> float:
        return customer.per_s * self._window_s + customer.burst

    def _steady(self, customer: Customer) -> float:
        """Return what a window may hold with a part of what is tolerated."""
        whole = self._whole(customer)
        tolerated = self._tolerance.of(customer, whole)
        part = STEADY_PART / (1 + self._entries // STEADY_ENTRIES)
        return whole + tolerated * part

    def _mean_per_s(self, customer: Customer) -> float:
        return self._steady(customer) / self._window_s
