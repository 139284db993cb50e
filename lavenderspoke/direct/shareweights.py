"""Customers' weights in the sharing of engine time, from their configured limits."""

import math
import statistics
from collections.abc import Iterable

from lavenderspoke.direct.catalog import Customer

# Largest ratio of a weight to the usual one, either way. A customer with a tiny limit
# still gets a share that a request fits into, and one with a huge limit doesn't get
# everything.
WEIGHT_RATIO_MAX = 10.0


def share_weights(customers: Iterable[Customer]) -> dict[str, float]:
    """Return the weight of each customer; 1.0 is the usual one.

    A customer's share is in proportion to its limit, against the median of those whose
    limits count the same. A limit of zero means none, and gives the usual weight.

    >>> limits = {"small": 100.0, "usual": 200.0, "large": 800.0, "unlimited": 0.0}
    >>> share_weights(
    ...     Customer(name=name, keys=(), rank=0, per_s=per_s, burst=0.0,
    ...              counts_tokens=True, default_tokens=0)
    ...     for name, per_s in limits.items()
    ... )
    {'small': 0.5, 'usual': 1.0, 'large': 4.0, 'unlimited': 1.0}
    """
    customers = tuple(customers)
    medians = {
        counts_tokens: statistics.median_low(limits)
        for counts_tokens in (False, True)
        if (limits := _limits(customers, counts_tokens))
    }
    return {
        each.name: (
            _clamp(each.per_s / medians[each.counts_tokens])
            if _is_limited(each)
            else 1.0
        )
        for each in customers
    }


def _limits(customers: tuple[Customer, ...], counts_tokens: bool) -> list[float]:
    return [
        each.per_s
        for each in customers
        if each.counts_tokens == counts_tokens and _is_limited(each)
    ]


def _is_limited(customer: Customer) -> bool:
    return 0.0 < customer.per_s < math.inf


def _clamp(ratio: float) -> float:
    return min(WEIGHT_RATIO_MAX, max(1.0 / WEIGHT_RATIO_MAX, ratio))
