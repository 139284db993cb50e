"""Customers' limits, shared by all entries without a call for each request.

A limit counts over a sliding window: in any `window_s`, a customer may use what
its rate gives in that time and its burst. Every entry counts its own requests
at once, and those of the other entries when they tell of them, several times a
second.

An entry that doesn't hear some peers can't know what they let through. Each
side then keeps to its part of the limit, so that the sum over all entries stays
within it, however they are cut off from each other.

An entry that has just started knows nothing of the window before, in which a
customer may have used all of its limit, burst included. It takes the limit as
used evenly and gives out the part that has come free since its start, or most of
what the platform tolerates beyond the limit, if that is more. Giving out the whole
burst at once, after a restart of all entries, let a customer have 1.3 times its
limit in one window; giving out nothing at first refuses customers that are well
within it.
"""

from collections import deque

import attrs

from lavenderspoke.direct.catalog import Customer

# The part of what the platform tolerates that an entry gives out after its start;
# the rest is for what peers let through before they tell of it.
TOLERATED_PART = 0.8


@attrs.frozen(kw_only=True)
class Tolerance:
    """How far a window may exceed a limit: a part of it and a number of tokens."""

    part: float = 0.0
    tokens: float = 0.0

    def of(self, customer: Customer, limit: float) -> float:
        """Return what is tolerated beyond a customer's limit."""
        return limit * self.part + (self.tokens if customer.counts_tokens else 0.0)


@attrs.define(kw_only=True)
class _Window:
    """What a customer used lately: rows of time and amount, and their sum."""

    since_s: float
    spent: float = 0.0
    used: float = 0.0
    rows: deque = attrs.field(factory=deque)

    def add(self, amount: float, now_s: float) -> None:
        self.rows.append((now_s, amount))
        self.used += amount

    def forget(self, before_s: float) -> None:
        while self.rows and self.rows[0][0] <= before_s:
            self.used -= self.rows.popleft()[1]


class SharedQuota:
    """The limits as one entry counts them; times are seconds.

    >>> quota = SharedQuota(window_s=1.0)
    >>> customer = Customer(name="c", keys=(), rank=0, per_s=2.0, burst=3.0,
    ...     counts_tokens=False, plain_tokens=0)
    >>> quota.reconfigure((customer,), now_s=0.0)
    >>> [quota.spend(customer, 1.0, now_s=5.0) for _ in range(6)][-2:]
    [True, False]
    >>> quota.spend(customer, 1.0, now_s=6.5)
    True
    """

    def __init__(self, *, window_s: float, tolerance: Tolerance = Tolerance()):
        self._window_s = window_s
        self._tolerance = tolerance
        self._windows: dict[str, _Window] = {}
        self._part = 1.0
        self._heard: dict[tuple[str, str], dict[str, float]] = {}

    def reconfigure(self, customers: tuple[Customer, ...], *, now_s: float) -> None:
        """Count for each customer, also for those not seen here yet.

        Without that, what peers let through before a customer's first request
        here would be forgotten.
        """
        for customer in customers:
            if customer.per_s > 0.0:
                self._window(customer, now_s)

    def count_over(self, window_s: float, tolerance: Tolerance) -> None:
        """Count limits over windows of another length from now on."""
        self._window_s = window_s
        self._tolerance = tolerance

    def share(self, *, heard: int, known: int) -> None:
        """Set how many of the known entries, this one included, are heard."""
        self._part = heard / max(1, known)

    def spend(self, customer: Customer, cost: float, *, now_s: float) -> bool:
        """Count a request, or return False when it exceeds the limit."""
        if customer.per_s <= 0.0:
            return True
        window = self._window(customer, now_s)
        if window.used + cost > self._limit(customer, window, now_s):
            return False
        window.add(cost, now_s)
        window.spent += cost
        return True

    def refund(self, customer: Customer, cost: float, *, now_s: float) -> None:
        """Give back the cost of a request that never ran."""
        if customer.per_s > 0.0 and customer.name in self._windows:
            window = self._windows[customer.name]
            window.add(-cost, now_s)
            window.spent -= cost

    def wait_s(self, customer: Customer, cost: float, *, now_s: float) -> float:
        """Return in how many seconds a request of that cost could pass."""
        if customer.per_s <= 0.0:
            return 0.0
        window = self._window(customer, now_s)
        over = window.used + cost - self._limit(customer, window, now_s)
        if over <= 0.0:
            return 0.0
        for at_s, amount in window.rows:
            over -= amount
            if over <= 0.0:
                return max(0.0, at_s + self._window_s - now_s)
        return self._window_s

    def explain(self, customer: Customer, cost: float, *, now_s: float) -> str:
        """Return why a request exceeds the limit, for the log."""
        window = self._window(customer, now_s)
        limit = self._limit(customer, window, now_s)
        return (
            f"{window.used:.0f} used in {self._window_s:g} s and {cost:.0f} asked, "
            f"of {limit:.0f}; {self._part:.2f} of the entries are heard"
        )

    def spent(self) -> dict[str, float]:
        """Return what this entry has let through since it started."""
        return {name: window.spent for name, window in self._windows.items()}

    def peer_spent(
        self, name: str, incarnation: str, spent: dict[str, float], *, now_s: float
    ) -> None:
        """Take in what a peer has let through since its incarnation started.

        Customers that a message leaves out have used nothing since the one before.
        """
        before = self._heard.get((name, incarnation))
        for customer, total in spent.items():
            window = self._windows.get(customer)
            if window is None:
                continue
            if before is None and not self._is_full(window, now_s):
                # What a peer let through before this entry knew of it is in the
                # part of the window that counts as used. Added up as if all of it
                # had just passed, hours of use would close the limit for a window
                # at every entry that starts.
                continue
            added = total - (before or {}).get(customer, 0.0)
            if added:
                window.add(added, now_s)
        for key in [each for each in self._heard if each[0] == name]:
            del self._heard[key]
        self._heard[name, incarnation] = (before or {}) | spent

    def _window(self, customer: Customer, now_s: float) -> _Window:
        window = self._windows.get(customer.name)
        if window is None:
            window = self._windows[customer.name] = _Window(since_s=now_s)
        window.forget(now_s - self._window_s)
        return window

    def _is_full(self, window: _Window, now_s: float) -> bool:
        return now_s - window.since_s >= self._window_s

    def _limit(self, customer: Customer, window: _Window, now_s: float) -> float:
        limit = customer.per_s * self._window_s + customer.burst
        if not self._is_full(window, now_s):
            free = limit * (now_s - window.since_s) / self._window_s
            tolerated = self._tolerance.of(customer, limit) * TOLERATED_PART
            limit = min(limit, max(free, tolerated))
        return limit * self._part
