"""Outlier detection: upstreams that fail so much more than the others are ejected.

An upstream that fails each request immediately is never busy, and while the others are
full it would attract all waiting requests. It is compared with the others of its
service: while all of them fail, each still gets its share of the requests.
"""

import math
from collections.abc import Sequence

from lavenderspoke.direct.health import Health

# Least number of consecutive failures of an outlier.
CONSECUTIVE_FAILURES_MIN = 5
# Its least share of failures instead, when successes occur in between.
FAILURE_SHARE_MIN = 0.7
# How much its share of failures must exceed the mean of the others.
FAILURE_SHARE_EXCESS_MIN = 0.2
# The largest share of a service's upstreams that may be ejected at once, rounded up.
EJECTED_SHARE_MAX = 1 / 3


def is_outlier(health: Health, others: Sequence[Health]) -> bool:
    """Return whether an upstream fails clearly more often than the others.

    >>> healthy, failing = Health(), Health()
    >>> for _ in range(5):
    ...     failing.record_failure()
    >>> is_outlier(failing, [healthy, healthy])
    True
    >>> is_outlier(failing, [failing, failing])
    False
    >>> is_outlier(failing, [])
    False
    """
    if not others:
        return False
    if (
        health.consecutive_failures < CONSECUTIVE_FAILURES_MIN
        and health.failure_share < FAILURE_SHARE_MIN
    ):
        return False
    mean_share = sum(each.failure_share for each in others) / len(others)
    return health.failure_share >= mean_share + FAILURE_SHARE_EXCESS_MIN


def may_eject(others: Sequence[Health]) -> bool:
    """Return whether one more upstream may be ejected, so that enough stay in use."""
    allowed = math.ceil((len(others) + 1) * EJECTED_SHARE_MAX)
    ejected = sum(1 for each in others if each.is_ejected)
    return bool(others) and ejected < allowed
