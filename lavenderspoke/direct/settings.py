"""The settings of an entry that dispatches directly."""

import attrs

from lavenderspoke.direct.quota import Tolerance
from lavenderspoke.rollouts.transitions import Bounds as RolloutBounds

# The part of the platform's retry budget that entries use: the platform counts
# over a sliding window, in which a full balance and what is added meanwhile can
# both be spent.
RETRY_BUDGET_SHARE = 0.45
# Time in seconds that the fresh read of a key may take to become a dispatch.
KEY_MARGIN_S = 0.4


@attrs.frozen(kw_only=True)
class Address:
    """Where something listens."""

    host: str
    port: int


@attrs.frozen(kw_only=True)
class Bounds:
    """What the platform's operators promise their users, in seconds and parts.

    `grace_s` is the time between a stop's signal and the kill; `revoke_s` how
    long a key may work after it was taken away; `retry_ratio` and `retry_slack`
    bound retries in any `retry_window_s`, over all entries; customers' limits
    count in any `quota_window_s`, which may exceed them by `quota_tolerance`; an
    upstream that leaves gets its last request within `drain_s` of saying so; a
    configuration is in force `apply_s` after the store has taken it; `rollout` bounds
    what a bad version may get.
    """

    grace_s: float = 8.0
    revoke_s: float = 5.0
    retry_ratio: float = 0.2
    retry_slack: float = 50.0
    retry_window_s: float = 10.0
    quota_window_s: float = 8.0
    quota_tolerance: Tolerance = Tolerance()
    drain_s: float = 2.0
    apply_s: float = 2.0
    rollout: RolloutBounds = RolloutBounds()


@attrs.frozen(kw_only=True)
class DirectSettings:
    """What one entry needs to know."""

    name: str
    data_centre: str
    callers: Address
    readiness: Address
    peers: Address
    bounds: Bounds = Bounds()
    threads: int = 120
