"""What one customer used and requested lately, by rank."""

from collections import defaultdict, deque

import attrs

UsageRows = tuple[tuple[int, float, float], ...]
"""Route rank, and the costs that an entry admitted and that were requested there."""


@attrs.define(kw_only=True)
class _Window:
    """Amounts within a sliding window: rows of time and amount, and their sum."""

    amount: float = 0.0
    rows: deque = attrs.field(factory=deque)

    def add(self, amount: float, now_s: float) -> None:
        self.rows.append((now_s, amount))
        self.amount += amount

    def subtract(self, amount: float) -> None:
        """Subtract an amount from the newest rows.

        As a negative row of its own, it would still count after the row that it belongs
        to has left the window, and too much would be admitted.
        """
        while amount > 0.0 and self.rows:
            at_s, newest = self.rows.pop()
            taken = min(amount, newest)
            amount -= taken
            self.amount -= taken
            if newest > taken:
                self.rows.append((at_s, newest - taken))

    def expire(self, before_s: float) -> None:
        while self.rows and self.rows[0][0] <= before_s:
            self.amount -= self.rows.popleft()[1]


def _windows() -> defaultdict[int, _Window]:
    return defaultdict(_Window)


@attrs.define(kw_only=True)
class Usage:
    """One customer's use at all entries, and the totals of this one.

    Use is known from `since_s` on. `bucket_level` is that of a leaky bucket, which
    empties at `leak_per_s`. Times are in seconds on the caller's clock; call `advance`
    before reading values.
    """

    since_s: float
    advanced_s: float
    leak_per_s: float = 0.0
    bucket_level: float = 0.0
    _used: defaultdict[int, _Window] = attrs.field(factory=_windows)
    _requested: defaultdict[int, _Window] = attrs.field(factory=_windows)
    _own_used: defaultdict[int, float] = attrs.field(factory=lambda: defaultdict(float))
    _own_requested: defaultdict[int, float] = attrs.field(
        factory=lambda: defaultdict(float)
    )

    def advance(self, now_s: float, window_s: float) -> None:
        """Drop what has left the window, and let the bucket leak up to now."""
        for window in (*self._used.values(), *self._requested.values()):
            window.expire(now_s - window_s)
        leaked = max(0.0, now_s - self.advanced_s) * self.leak_per_s
        # What left the window needn't leak any more. Otherwise, after a limit was
        # lowered, a level from before would refuse everything for longer than that.
        level = min(self.bucket_level - leaked, self.used())
        self.bucket_level = max(0.0, level)
        self.advanced_s = now_s

    def covers_window(self, now_s: float, window_s: float) -> bool:
        """Return whether the use in the whole window is known."""
        return now_s - self.since_s >= window_s

    def used(self) -> float:
        """Return what was used in the window."""
        return sum(window.amount for window in self._used.values())

    def used_at_or_below(self, rank: int) -> float:
        """Return what that rank and those below it used in the window."""
        return sum(w.amount for each, w in self._used.items() if each >= rank)

    def requested_above(self, rank: int) -> float:
        """Return what ranks above that one requested in the window."""
        return sum(w.amount for each, w in self._requested.items() if each < rank)

    def record_request(self, rank: int, cost: float, now_s: float) -> None:
        """Count what was requested at this entry."""
        self._requested[rank].add(cost, now_s)
        self._own_requested[rank] += cost

    def spend(self, rank: int, cost: float, now_s: float) -> None:
        """Count what this entry admitted."""
        self._used[rank].add(cost, now_s)
        self._own_used[rank] += cost
        self.bucket_level += cost

    def refund(self, rank: int, cost: float) -> None:
        """Take back the cost of an admitted request that never ran."""
        self._used[rank].subtract(cost)
        self._own_used[rank] -= cost
        self.bucket_level = max(0.0, self.bucket_level - cost)

    def totals(self) -> UsageRows:
        """Return this entry's totals by rank since its start."""
        ranks = sorted({*self._own_used, *self._own_requested})
        return tuple((r, self._own_used[r], self._own_requested[r]) for r in ranks)

    def merge_peer(self, before: UsageRows, after: UsageRows, now_s: float) -> None:
        """Add the change of a peer's totals between two messages."""
        known = {rank: (used, requested) for rank, used, requested in before}
        for rank, used, requested in after:
            used_before, requested_before = known.get(rank, (0.0, 0.0))
            if requested > requested_before:
                self._requested[rank].add(requested - requested_before, now_s)
            delta = used - used_before
            if delta > 0.0:
                self._used[rank].add(delta, now_s)
            else:
                self._used[rank].subtract(-delta)
            self.bucket_level = max(0.0, self.bucket_level + delta)

    def wait_to_free_s(self, amount: float, now_s: float, window_s: float) -> float:
        """Return in how many seconds that amount will have left the window."""
        if amount <= 0.0:
            return 0.0
        rows = sorted(row for window in self._used.values() for row in window.rows)
        for at_s, used in rows:
            amount -= used
            if amount <= 0.0:
                return max(0.0, at_s + window_s - now_s)
        return window_s
