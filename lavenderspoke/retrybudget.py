"""Retry budgets: limit retries to a ratio of first attempts.

Without a limit, callers that retry after a refusal, and retries inside the
system, add load exactly when there is already too much.
"""

import math

import attrs

from lavenderspoke.checking import fieldrules

# Decay time constant: first attempts count towards the budget for about this long.
TIME_CONSTANT_S = 10.0


@attrs.frozen(kw_only=True)
class RetryBudget:
    """Allowed retries as a ratio of first attempts, plus `per_s_min` per second."""

    ratio: float = attrs.field(default=0.1, metadata=fieldrules.between(0, 10))
    per_s_min: float = attrs.field(default=1.0, metadata=fieldrules.between(0, 10_000))


class RetryAllowance:
    """The retries that one daemon may still send or accept for one service.

    Each first attempt adds the budget's ratio, each second its `per_s_min`.
    Unspent retries decay, so an idle hour doesn't allow a retry storm.

    >>> allowance = RetryAllowance(budget=RetryBudget(ratio=0.5, per_s_min=0.0))
    >>> for _ in range(4):
    ...     allowance.record_first_attempt(0.0)
    >>> [allowance.try_spend(0.0) for _ in range(3)]
    [True, True, False]
    """

    def __init__(self, *, budget: RetryBudget, now_s: float = 0.0):
        self._budget = budget
        self._balance = budget.per_s_min * TIME_CONSTANT_S
        self._updated_s = now_s

    def reconfigure(self, budget: RetryBudget) -> None:
        """Apply another budget.

        A changed `per_s_min` adjusts the balance at once. Its owner may lower it on
        learning of other daemons that share it; what was credited too much must
        not be spent.
        """
        added_per_s = budget.per_s_min - self._budget.per_s_min
        self._balance += added_per_s * TIME_CONSTANT_S
        self._budget = budget

    def record_first_attempt(self, now_s: float) -> None:
        """Credit the budget's ratio for a first attempt."""
        self._update_balance(now_s)
        self._balance += self._budget.ratio

    def try_spend(self, now_s: float) -> bool:
        """Spend one retry, or return False if the balance is below one."""
        self._update_balance(now_s)
        if self._balance < 1.0:
            return False
        self._balance -= 1.0
        return True

    def refund(self) -> None:
        """Return a spent retry that wasn't sent."""
        self._balance += 1.0

    def _update_balance(self, now_s: float) -> None:
        elapsed_s = max(0.0, now_s - self._updated_s)
        kept_share = math.exp(-elapsed_s / TIME_CONSTANT_S)
        idle_balance = self._budget.per_s_min * TIME_CONSTANT_S
        self._balance = self._balance * kept_share + idle_balance * (1.0 - kept_share)
        self._updated_s = now_s
