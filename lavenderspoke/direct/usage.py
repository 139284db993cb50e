"""What one customer used and asked for lately, by rank."""

from collections import defaultdict, deque

import attrs

UsageRows = tuple[tuple[int, float, float], ...]
"""Rank, what an entry let through of it and what was asked for, since its start."""


@attrs.define(kw_only=True)
class _Window:
    """Amounts of a sliding window: rows of time and amount, and their sum."""

    amount: float = 0.0
    rows: deque = attrs.field(factory=deque)

    def add(self, amount: float, now_s: float) -> None:
        self.rows.append((now_s, amount))
        self.amount += amount

    def take_back(self, amount: float) -> None:
        """Take an amount off the newest rows.

        Subtracted as a row of its own, it would still count when the row that it
        belongs to has left the window, and as much too much would pass.
        """
        while amount > 0.0 and self.rows:
            at_s, newest = self.rows.pop()
            taken = min(amount, newest)
            amount -= taken
            self.amount -= taken
            if newest > taken:
                self.rows.append((at_s, newest - taken))

    def forget(self, before_s: float) -> None:
        while self.rows and self.rows[0][0] <= before_s:
            self.amount -= self.rows.popleft()[1]


def _windows() -> defaultdict[int, _Window]:
    return defaultdict(_Window)


@attrs.define(kw_only=True)
class Usage:
    """One customer's use at all entries, and the totals of this one.

    `level` is what a bucket holds that empties at `empties_per_s`. Times are seconds
    on the clock that the caller passes in; `pass_time` comes before what is asked.
    """

    since_s: float
    at_s: float
    leak_per_s: float = 0.0
    bucket_level: float = 0.0
    _used: defaultdict[int, _Window] = attrs.field(factory=_windows)
    _asked: defaultdict[int, _Window] = attrs.field(factory=_windows)
    _own_used: defaultdict[int, float] = attrs.field(factory=lambda: defaultdict(float))
    _own_asked: defaultdict[int, float] = attrs.field(
        factory=lambda: defaultdict(float)
    )

    def advance(self, now_s: float, window_s: float) -> None:
        """Forget what has left the window, and empty the bucket a little."""
        for window in (*self._used.values(), *self._asked.values()):
            window.forget(now_s - window_s)
        emptied = max(0.0, now_s - self.at_s) * self.leak_per_s
        self.bucket_level = max(0.0, self.bucket_level - emptied)
        self.at_s = now_s

    def covers_window(self, now_s: float, window_s: float) -> bool:
        """Return whether all of a window is known."""
        return now_s - self.since_s >= window_s

    def used(self) -> float:
        """Return what was used in the window."""
        return sum(window.amount for window in self._used.values())

    def used_at_or_below(self, rank: int) -> float:
        """Return what that rank and those below it used in the window."""
        return sum(w.amount for each, w in self._used.items() if each >= rank)

    def requested_above(self, rank: int) -> float:
        """Return what ranks above that one asked for in the window."""
        return sum(w.amount for each, w in self._asked.items() if each < rank)

    def record_request(self, rank: int, cost: float, now_s: float) -> None:
        """Count what was asked for at this entry."""
        self._asked[rank].add(cost, now_s)
        self._own_asked[rank] += cost

    def spend(self, rank: int, cost: float, now_s: float) -> None:
        """Count what this entry let through."""
        self._used[rank].add(cost, now_s)
        self._own_used[rank] += cost
        self.bucket_level += cost

    def refund(self, rank: int, cost: float) -> None:
        """Take back what this entry let through and what never ran."""
        self._used[rank].take_back(cost)
        self._own_used[rank] -= cost
        self.bucket_level = max(0.0, self.bucket_level - cost)

    def totals(self) -> UsageRows:
        """Return rank, used and asked for of this entry, since its start."""
        ranks = sorted({*self._own_used, *self._own_asked})
        return tuple((r, self._own_used[r], self._own_asked[r]) for r in ranks)

    def merge_peer(self, before: UsageRows, after: UsageRows, now_s: float) -> None:
        """Add what a peer's totals have grown by."""
        known = {rank: (used, asked) for rank, used, asked in before}
        for rank, used, asked in after:
            used_before, asked_before = known.get(rank, (0.0, 0.0))
            if asked > asked_before:
                self._asked[rank].add(asked - asked_before, now_s)
            added = used - used_before
            if added > 0.0:
                self._used[rank].add(added, now_s)
            else:
                self._used[rank].take_back(-added)
            self.bucket_level = max(0.0, self.bucket_level + added)

    def wait_to_free_s(self, amount: float, now_s: float, window_s: float) -> float:
        """Return in how many seconds so much will have left the window."""
        if amount <= 0.0:
            return 0.0
        rows = sorted(row for window in self._used.values() for row in window.rows)
        for at_s, used in rows:
            amount -= used
            if amount <= 0.0:
                return max(0.0, at_s + window_s - now_s)
        return window_s
