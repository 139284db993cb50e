"""Settings of an entry that uses direct dispatch."""

import attrs

from lavenderspoke.direct.policies import Policies
from lavenderspoke.direct.quota import Tolerance
from lavenderspoke.resources.processlimits import ProcessLimits, process_limits
from lavenderspoke.rollouts.transitions import Bounds as RolloutBounds

# Share of the platform's retry budget that entries use. The platform counts retries in
# a sliding window, within which entries can spend both a full balance and the retries
# added to it meanwhile, so the share is below one half.
RETRY_BUDGET_SHARE = 0.45
# Time allowed between the freshness check of a key and the dispatch, in seconds.
KEY_MARGIN_S = 0.4


@attrs.frozen(kw_only=True)
class Address:
    """Host and port of a TCP endpoint."""

    host: str
    port: int


@attrs.frozen(kw_only=True)
class Bounds:
    """Guarantees that the platform's operators give their users; times in seconds.

    - `grace_s`: time between the stop signal and the kill.
    - `revoke_s`: how long a key may still work after it was revoked.
    - `retry_ratio`, `retry_slack`: limit on retries in any `retry_window_s`, over all
      entries: a ratio to first attempts, plus a fixed number.
    - `quota_tolerance`: how far a customer may exceed its limit, counted in any
      `quota_window_s`.
    - `drain_s`: how long requests may be sent to an upstream after it announces that it
      is leaving.
    - `apply_s`: time until a configuration is in force after the store accepted it.
    - `rollout`: limits on the requests sent to a bad version.
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
    """Settings of one entry; `threads` serve its callers.

    `limits` are those of the process.
    """

    name: str
    data_centre: str
    callers: Address
    readiness: Address
    peers: Address
    bounds: Bounds = Bounds()
    policies: Policies = Policies()
    threads: int = 120
    limits: ProcessLimits = attrs.field(factory=process_limits)
