"""How many retries a service may have for its first tries.

Without a bound, callers that send again when they are refused, and grants that
are offered again inside the system, add load exactly when there is too much.
"""

import math

import attrs

from lavenderspoke.checking import fieldrules

# First tries count towards the budget for about this long.
TIME_CONSTANT_S = 10.0


@attrs.frozen(kw_only=True)
class RetryBudget:
    """Retries allowed as a ratio of first tries, and a floor a second."""

    ratio: float = attrs.field(default=0.1, metadata=fieldrules.between(0, 10))
    per_s_min: float = attrs.field(default=1.0, metadata=fieldrules.between(0, 10_000))


class RetryAllowance:
    """The retries that one daemon may still spend for one service.

    Each first try adds the document's ratio, each second adds its floor, and
    what isn't spent fades, so a quiet hour doesn't pay for a storm.

    >>> allowance = RetryAllowance(budget=RetryBudget(ratio=0.5, per_s_min=0.0))
    >>> for _ in range(4):
    ...     allowance.record_first_attempt(0.0)
    >>> [allowance.try_spend(0.0) for _ in range(3)]
    [True, True, False]
    """

    def __init__(self, *, budget: RetryBudget, now_s: float = 0.0):
        self._budget = budget
        self._balance = budget.per_s_min * TIME_CONSTANT_S
        self._at_s = now_s

    def reconfigure(self, budget: RetryBudget) -> None:
        """Put another budget in force.

        The floor counts at once: one that was too high at the start, before the
        other daemons were known, must not be spent any more.
        """
        added_per_s = budget.per_s_min - self._budget.per_s_min
        self._balance += added_per_s * TIME_CONSTANT_S
        self._budget = budget

    def record_first_attempt(self, now_s: float) -> None:
        """Count a first try."""
        self._fade(now_s)
        self._balance += self._budget.ratio

    def try_spend(self, now_s: float) -> bool:
        """Take one retry, or return False when there is none left."""
        self._fade(now_s)
        if self._balance < 1.0:
            return False
        self._balance -= 1.0
        return True

    def refund(self) -> None:
        """Count back one retry that was taken and not sent."""
        self._balance += 1.0

    def _fade(self, now_s: float) -> None:
        elapsed_s = max(0.0, now_s - self._at_s)
        kept = math.exp(-elapsed_s / TIME_CONSTANT_S)
        floor = self._budget.per_s_min * TIME_CONSTANT_S
        self._balance = self._balance * kept + floor * (1.0 - kept)
        self._at_s = now_s
