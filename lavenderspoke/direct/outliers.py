"""Which upstreams answer so much worse than the others that they are left alone.

An upstream that fails at once is never busy, and while the others are full it would
draw all that waits. It is judged against the others of its service: on a day on which
all of them fail, each still gets its part.
"""

import math
from collections.abc import Sequence

from lavenderspoke.direct.health import Health

# Failures in a row from which on an upstream may count as failing.
IN_ROW_MIN = 5
# The same for the share of failures, where some answers in between are sound.
SHARE_MIN = 0.7
# By how much its share of failures is above the mean of the others.
EXCESS_MIN = 0.2
# The part of a service's upstreams that may be left alone at once, rounded up.
LEFT_ALONE_PART = 1 / 3


def is_outlier(health: Health, others: Sequence[Health]) -> bool:
    """Return whether an upstream fails clearly more often than the others.

    >>> sound, failing = Health(), Health()
    >>> for _ in range(5):
    ...     failing.record_failure()
    >>> is_outlier(failing, [sound, sound])
    True
    >>> is_outlier(failing, [failing, failing])
    False
    >>> is_outlier(failing, [])
    False
    """
    if not others:
        return False
    if health.consecutive_failures < IN_ROW_MIN and health.failure_share < SHARE_MIN:
        return False
    usual = sum(each.failure_share for each in others) / len(others)
    return health.failure_share >= usual + EXCESS_MIN


def may_eject(others: Sequence[Health]) -> bool:
    """Return whether one more may be left alone, so that enough of them stay."""
    allowed = math.ceil((len(others) + 1) * LEFT_ALONE_PART)
    alone = sum(1 for each in others if each.is_ejected)
    return bool(others) and alone < allowed
