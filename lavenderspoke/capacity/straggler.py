"""Detects whether an agent's engine has become a straggler.

The load that an engine reports lags, so it isn't used. The measured step time
is compared with the engine's own history and, if other agents' step times are
known, with its usual ratio to theirs: engines differ in speed, and under high
load all of them slow down together.
"""

from statistics import median

import attrs

# Ratio to the usual step time from which on an engine is a straggler, and below which
# it stops being one.
STRAGGLER_RATIO = 2.5
RECOVERED_RATIO = 1.5
# An engine with requests in flight is stalled if no token arrives for this many usual
# steps, and for at least the time below, in seconds.
STALLED_STEPS = 50.0
STALLED_MIN_S = 1.0
# Weights of the newest step in the moving averages of recent and usual step times.
RECENT_WEIGHT = 0.2
USUAL_WEIGHT = 0.002
KNOWN_STEPS_MIN = 20
PEER_STEP_MAX_AGE_S = 10.0
# Time in seconds that the highest tier must have waited before a straggler pulls.
HIGHEST_TIER_WAIT_S = 1.0


@attrs.frozen(kw_only=True)
class _PeerStep:
    step_s: float
    at_s: float


class StragglerDetector:
    """Detects from step times whether the agent's own engine is a straggler.

    >>> detector = StragglerDetector()
    >>> for number in range(100):
    ...     detector.record_step(0.004 if number < 50 else 0.02, now_s=number * 0.02)
    >>> detector.is_straggling(now_s=2.0)
    True
    """

    def __init__(self):
        self._recent_s: float | None = None
        self._usual_s = 0.0
        self._usual_peer_ratio: float | None = None
        self._steps = 0
        self._last_step_s = 0.0
        self._running = 0
        self._straggling = False
        self._peer_steps: dict[str, _PeerStep] = {}

    @property
    def step_s(self) -> float:
        """The recent average step time in seconds, announced to the entries."""
        return self._recent_s or 0.0

    def set_running(self, running: int, now_s: float) -> None:
        """Set the number of running requests, after one started or finished."""
        if self._running == 0:
            self._last_step_s = now_s
        self._running = running

    def record_step(self, step_s: float, *, now_s: float) -> None:
        """Record one measured step time."""
        self._last_step_s = now_s
        self._steps += 1
        if self._recent_s is None:
            self._recent_s = self._usual_s = step_s
        self._recent_s += (step_s - self._recent_s) * RECENT_WEIGHT
        weight = max(USUAL_WEIGHT, 1.0 / self._steps)
        # A straggler's steps must not raise the usual step time.
        if not self._is_slow(now_s):
            self._usual_s += (step_s - self._usual_s) * weight
            self._update_peer_ratio(weight, now_s)

    def record_peer_step(self, name: str, step_s: float, now_s: float) -> None:
        """Record another agent's announced step time."""
        if step_s > 0.0:
            self._peer_steps[name] = _PeerStep(step_s=step_s, at_s=now_s)

    def is_straggling(self, now_s: float) -> bool:
        """Return whether the engine is currently a straggler."""
        if self._steps < KNOWN_STEPS_MIN:
            return False
        bound = RECOVERED_RATIO if self._straggling else STRAGGLER_RATIO
        self._straggling = self._is_stalled(now_s) or self._slowdown(now_s) >= bound
        return self._straggling

    def _is_slow(self, now_s: float) -> bool:
        return (
            self._steps >= KNOWN_STEPS_MIN and self._slowdown(now_s) >= RECOVERED_RATIO
        )

    def _is_stalled(self, now_s: float) -> bool:
        bound_s = max(STALLED_MIN_S, STALLED_STEPS * self._usual_s)
        return self._running > 0 and now_s - self._last_step_s > bound_s

    def _slowdown(self, now_s: float) -> float:
        own_ratio = self._recent_s / self._usual_s if self._usual_s else 1.0
        peers_s = self._median_peer_step_s(now_s)
        if peers_s is None or self._usual_peer_ratio is None:
            return own_ratio
        return min(own_ratio, self._recent_s / peers_s / self._usual_peer_ratio)

    def _update_peer_ratio(self, weight: float, now_s: float) -> None:
        peers_s = self._median_peer_step_s(now_s)
        if peers_s is None:
            return
        peer_ratio = self._recent_s / peers_s
        if self._usual_peer_ratio is None:
            self._usual_peer_ratio = peer_ratio
        self._usual_peer_ratio += (peer_ratio - self._usual_peer_ratio) * weight

    def _median_peer_step_s(self, now_s: float) -> float | None:
        known = [
            p.step_s
            for p in self._peer_steps.values()
            if now_s < p.at_s + PEER_STEP_MAX_AGE_S
        ]
        return median(known) if known else None


class StragglerPullPolicy:
    """Keeps a straggler from pulling requests that others would answer sooner.

    Tiers are served in strict priority, so a straggler can't pull lower tiers
    only. Instead it doesn't pull while requests of the service's highest tier
    wait, unless that tier has had waiting requests for all of
    `HIGHEST_TIER_WAIT_S`, which means that the other agents lack the capacity.
    """

    def __init__(self):
        self._waiting_since_s: float | None = None

    def allows_pull(
        self,
        *,
        straggling: bool,
        waiting: dict[int, int],
        highest_rank: int,
        now_s: float,
    ) -> bool:
        """Return whether to pull, given the number of waiting requests by rank."""
        if not waiting.get(highest_rank):
            self._waiting_since_s = None
            return True
        if self._waiting_since_s is None:
            self._waiting_since_s = now_s
        return not straggling or now_s - self._waiting_since_s >= HIGHEST_TIER_WAIT_S
