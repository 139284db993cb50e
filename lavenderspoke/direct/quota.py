"""Customers' rate limits, shared by all entries without a call for each request.

A limit counts over a sliding window: within any `window_s`, a customer may use at most
its rate times the window plus its burst, and a share of the platform's tolerance. An
entry counts its own requests at once, and those of the other entries when they report
them, several times a second.

Two rules are added to the window. A leaky bucket, which empties at the window's mean
rate, spreads the use. Otherwise a customer could use a window of 8 s in its first
second and get nothing for the other seven, and an entry that starts can't know whether
that has just happened. And what is left of a limit goes to the highest ranks first, as
slots at upstreams do: in order of arrival, cheap requests of low ranks would use it up,
and the highest rank would be refused.

An entry that hears nothing from some peers can't know what they admit. Each side of a
partition then keeps to its share of the limit, so that the sum over all entries stays
within it, whatever the partition.

An entry that has just started doesn't know the use in the window before. Because of
the bucket, it was at most the bucket's capacity plus the mean rate times that time. So
the entry may admit what has become free since its start, and a share of the tolerance,
less what customers may have used on a credit (`burstcredits`).
"""

from collections.abc import Iterator

import attrs

from lavenderspoke.direct.burstcredits import BucketState, BurstCredits
from lavenderspoke.direct.catalog import Customer
from lavenderspoke.direct.usage import Usage, UsageRows

# What the platform tolerates beyond a limit is divided so that all entries may be
# killed at any moment. The rest covers what entries admit before they hear of each
# other's use.
# Share that may be admitted at all times:
STEADY_SHARE = 0.2
# Share for the bucket's capacity, which may have been admitted just before the kill:
CAPACITY_SHARE = 0.3
# Share that may be admitted in the window after the start:
START_SHARE = 0.35
# Entries report to each other less often the more there are. Per this many known
# entries, unreported use grows by its initial amount, and `STEADY_SHARE` is divided
# accordingly.
STEADY_ENTRIES = 6
# The least capacity of the bucket, in seconds of the customer's rate.
CAPACITY_MIN_S = 0.5
# Share of a limit that lower ranks may use whatever the higher ones have requested, so
# that none starves.
LOWER_RANK_SHARE = 0.1
# Share of the bucket that lower ranks may fill while their customer is near its limit:
# the highest rank must find capacity left.
LOWER_RANK_CAPACITY_SHARE = 0.5
# Share of its limit from which on a customer counts as near it. Further away, a full
# bucket costs the highest rank nothing, since it is soon empty again. When lower ranks
# were always kept out of half of it, their callers were refused for a second after
# every burst of long prompts, at a fifth of their customer's limit.
NEAR_LIMIT_SHARE = 0.6
# Largest burst credit, as a share of the window's limit. After a failure of all
# entries, a customer with that credit is refused until as much has become free, which
# takes half a window.
CREDIT_MAX_SHARE = 0.5
# How steeply a credit shrinks towards the limit: from half of the limit on, to
# nothing at the limit. In messages up to 0.3 s old, a customer at five times its rate
# has used up to a sixth of its limit more than an entry knows.
CREDIT_TAPER = 2.0
# Share of the tolerated tokens by which the last request before the limit may exceed
# it. Otherwise small requests would use up what becomes free before it suffices for a
# large one.
OVERSHOOT_SHARE = 0.2


@attrs.frozen(kw_only=True)
class Tolerance:
    """How far a window may exceed a limit: by a part of it and a number of tokens."""

    part: float = 0.0
    tokens: float = 0.0

    def of(self, customer: Customer, limit: float) -> float:
        """Return what is tolerated beyond a customer's limit."""
        return limit * self.part + self.of_tokens(customer)

    def of_tokens(self, customer: Customer) -> float:
        """Return the tolerated tokens, or 0 where the limit counts requests."""
        return self.tokens if customer.counts_tokens else 0.0


class SharedQuota:
    """The limits as one entry counts them.

    Times are in seconds, and `rank` is the route's rank.

    >>> quota = SharedQuota(window_s=1.0)
    >>> customer = Customer(name="c", keys=(), rank=0, per_s=2.0, burst=3.0,
    ...     counts_tokens=False, default_tokens=0)
    >>> quota.reconfigure((customer,), now_s=0.0)
    >>> [quota.spend(customer, 1.0, rank=0, now_s=5.0) for _ in range(4)]
    [True, True, True, False]
    >>> quota.spend(customer, 1.0, rank=0, now_s=6.5)
    True
    """

    def __init__(
        self,
        *,
        window_s: float,
        tolerance: Tolerance = Tolerance(),
        credits: BurstCredits | None = None,
    ):
        self._window_s = window_s
        self._credits = credits
        self._customers: tuple[Customer, ...] = ()
        self._tolerance = tolerance
        self._usages: dict[str, Usage] = {}
        self._live_share = 1.0
        self._known_entries = 1
        self._peer_totals: dict[tuple[str, str], dict[str, UsageRows]] = {}

    def reconfigure(self, customers: tuple[Customer, ...], *, now_s: float) -> None:
        """Start counting for each limited customer, even before its first request here.

        Otherwise, what peers admit before that would be lost.
        """
        self._customers = tuple(each for each in customers if each.per_s > 0.0)
        for customer in self._customers:
            self._advanced_usage(customer, now_s)

    def set_window(self, window_s: float, tolerance: Tolerance) -> None:
        """Change the length of the window and the tolerance."""
        self._window_s = window_s
        self._tolerance = tolerance
        if self._credits is not None:
            self._credits.window_s = window_s

    def set_entry_counts(self, *, live: int, known: int) -> None:
        """Set how many entries are known and live, this one included."""
        self._known_entries = max(1, known)
        self._live_share = live / self._known_entries

    def spend(
        self,
        customer: Customer,
        cost: float,
        *,
        rank: int,
        now_s: float,
        resubmitted: bool = False,
    ) -> bool:
        """Count a request's cost if limit and bucket allow it; return whether they do.

        A `resubmitted` request was refused before and counts as requested already.
        """
        if customer.per_s <= 0.0:
            return True
        usage = self._advanced_usage(customer, now_s)
        if not resubmitted:
            usage.record_request(rank, cost, now_s)
        if self._excess(customer, usage, cost, rank, now_s) > 0.0:
            return False
        if self._is_bucket_full(customer, usage, rank):
            return False
        usage.spend(rank, cost, now_s)
        return True

    def refund(
        self, customer: Customer, cost: float, *, rank: int, now_s: float
    ) -> None:
        """Take back the cost of a request that never ran."""
        if customer.per_s > 0.0 and customer.name in self._usages:
            self._advanced_usage(customer, now_s).refund(rank, cost)

    def wait_s(
        self, customer: Customer, cost: float, *, rank: int, now_s: float
    ) -> float:
        """Estimate in how many seconds a request of that cost could be admitted."""
        if customer.per_s <= 0.0:
            return 0.0
        usage = self._advanced_usage(customer, now_s)
        excess = self._excess(customer, usage, cost, rank, now_s)
        wait_s = usage.wait_to_free_s(excess, now_s, self._window_s)
        if self._is_bucket_full(customer, usage, rank):
            overflow = usage.bucket_level - self._bucket_capacity(customer, usage, rank)
            wait_s = max(wait_s, overflow / self._steady_per_s(customer))
        return min(wait_s, self._window_s)

    def explain(
        self, customer: Customer, cost: float, *, rank: int, now_s: float
    ) -> str:
        """Return why a request exceeds the limit, for the log."""
        usage = self._advanced_usage(customer, now_s)
        limit = self._current_limit(customer, usage, now_s)
        return (
            f"{usage.used():.0f} used in {self._window_s:g} s, {cost:.0f} requested, "
            f"limit {limit:.0f}, {usage.requested_above(rank):.0f} requested by higher "
            f"ranks; bucket at {usage.bucket_level:.0f} "
            f"of {self._bucket_capacity(customer, usage, rank):.0f}, "
            f"{self._credit(customer, usage):.0f} of it on credit; "
            f"{self._live_share:.2f} of the entries count as live"
        )

    def bucket_states(self, now_s: float) -> Iterator[BucketState]:
        """Return the limited customers' buckets as this entry sees them."""
        for customer in self._customers:
            usage = self._advanced_usage(customer, now_s)
            yield BucketState(
                customer=customer.name,
                level=usage.bucket_level,
                base_capacity=self._total_capacity(customer) * self._live_share,
                credit_max=self._credit_max(customer),
            )

    def spent(self) -> dict[str, UsageRows]:
        """Return what this entry has admitted since it started, by customer."""
        return {name: usage.totals() for name, usage in self._usages.items()}

    def merge_peer_spent(
        self, name: str, incarnation: str, spent: dict[str, UsageRows], *, now_s: float
    ) -> None:
        """Add what a peer has admitted since its last message.

        `spent` holds totals since the incarnation started. Customers that a message
        omits have used nothing since the previous one.
        """
        before = self._peer_totals.get((name, incarnation))
        for customer, rows in spent.items():
            usage = self._usages.get(customer)
            if usage is None:
                continue
            usage.advance(now_s, self._window_s)
            if before is None and not usage.covers_window(now_s, self._window_s):
                # The limit of a new entry already allows for use before its start.
                # If a peer's total since its own start were added now, hours of use
                # would exhaust the limit for a window.
                continue
            usage.merge_peer((before or {}).get(customer, ()), rows, now_s)
        for key in [each for each in self._peer_totals if each[0] == name]:
            del self._peer_totals[key]
        self._peer_totals[name, incarnation] = (before or {}) | spent

    def _advanced_usage(self, customer: Customer, now_s: float) -> Usage:
        usage = self._usages.get(customer.name)
        if usage is None:
            usage = self._usages[customer.name] = Usage(since_s=now_s, advanced_s=now_s)
        usage.leak_per_s = self._steady_per_s(customer) * self._live_share
        usage.advance(now_s, self._window_s)
        return usage

    def _excess(
        self, customer: Customer, usage: Usage, cost: float, rank: int, now_s: float
    ) -> float:
        """Return by how much a request exceeds what its rank may use."""
        limit = self._current_limit(customer, usage, now_s)
        allowed = max(limit - usage.requested_above(rank), limit * LOWER_RANK_SHARE)
        excess = (
            max(usage.used() - limit, usage.used_at_or_below(rank) - allowed) + cost
        )
        return excess - min(cost, self._tolerance.of_tokens(customer) * OVERSHOOT_SHARE)

    def _is_bucket_full(self, customer: Customer, usage: Usage, rank: int) -> bool:
        # Without capacity, an empty bucket isn't full.
        return usage.bucket_level >= max(
            1e-9, self._bucket_capacity(customer, usage, rank)
        )

    def _bucket_capacity(self, customer: Customer, usage: Usage, rank: int) -> float:
        credit = self._credit(customer, usage)
        capacity = (self._total_capacity(customer) + credit) * self._live_share
        own_limit = self._window_limit(customer) * self._live_share
        is_near = usage.used() > own_limit * NEAR_LIMIT_SHARE
        uses_its_share = usage.used_at_or_below(rank) > own_limit * LOWER_RANK_SHARE
        if is_near and uses_its_share and usage.requested_above(rank) > 0.0:
            return capacity * LOWER_RANK_CAPACITY_SHARE
        return capacity

    def _total_capacity(self, customer: Customer) -> float:
        tolerated = self._tolerance.of(customer, self._window_limit(customer))
        capacity = max(tolerated * CAPACITY_SHARE, customer.per_s * CAPACITY_MIN_S)
        # Where requests are counted, hardly anything is tolerated, and a bucket sized
        # by that would refuse the burst that the operators allow at once.
        return capacity if customer.counts_tokens else max(capacity, customer.burst)

    def _current_limit(self, customer: Customer, usage: Usage, now_s: float) -> float:
        limit = self._steady_limit(customer)
        if not usage.covers_window(now_s, self._window_s):
            freed = limit * (now_s - usage.since_s) / self._window_s
            tolerated = self._tolerance.of(customer, self._window_limit(customer))
            on_credit = self._used_before_start(customer)
            limit = min(limit, freed + tolerated * START_SHARE - on_credit)
            limit = max(0.0, limit)
        return limit * self._live_share

    def _credit(self, customer: Customer, usage: Usage) -> float:
        """Return the credit that a customer may use now, less the nearer its limit.

        What other entries admit is known late. If a customer came to its limit at the
        rate of a burst, all entries together would exceed it by what isn't reported.
        """
        if self._credits is None:
            return 0.0
        credit = self._credits.credit_of(customer.name, usage.advanced_s)
        used_share = usage.used() / max(1e-9, self._window_limit(customer))
        taper = min(1.0, CREDIT_TAPER * max(0.0, 1.0 - used_share))
        return min(credit, self._credit_max(customer)) * taper

    def _used_before_start(self, customer: Customer) -> float:
        if self._credits is None:
            return 0.0
        credit_max = self._credit_max(customer)
        return self._credits.used_before_start(customer.name, credit_max)

    def _credit_max(self, customer: Customer) -> float:
        return self._window_limit(customer) * CREDIT_MAX_SHARE

    def _window_limit(self, customer: Customer) -> float:
        return customer.per_s * self._window_s + customer.burst

    def _steady_limit(self, customer: Customer) -> float:
        """Return the window's limit plus the tolerance that may always be used."""
        window_limit = self._window_limit(customer)
        tolerated = self._tolerance.of(customer, window_limit)
        share = STEADY_SHARE / (1 + self._known_entries // STEADY_ENTRIES)
        return window_limit + tolerated * share

    def _steady_per_s(self, customer: Customer) -> float:
        return self._steady_limit(customer) / self._window_s
