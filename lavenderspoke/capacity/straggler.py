"""Whether the engine beside an agent has become a straggler.

The load that an engine reports lags, so it isn't used. What counts is how the
measured step time stands to the engine's own history and, where other agents'
step times are known, to how it stood to theirs: engines are unlike, and on a
busy day all of them slow down together.
"""

from statistics import median

import attrs

# A straggler at or above this ratio, and no longer one below the other.
SLOW_RATIO = 2.5
RECOVERED_RATIO = 1.5
# A stream in flight without a token for this many usual steps.
STALLED_STEPS = 50.0
STALLED_MIN_S = 1.0
# Weights of the newest step in the recent and in the usual step time.
RECENT_WEIGHT = 0.2
USUAL_WEIGHT = 0.002
STEPS_MIN = 20
PEER_KEPT_S = 10.0
# How long the highest tier must have waited before a straggler helps with it.
YIELD_S = 1.0


@attrs.frozen(kw_only=True)
class _PeerStep:
    step_s: float
    at_s: float


class StragglerDetector:
    """The agent's judgement of its own engine.

    >>> detector = StragglerDetector()
    >>> for number in range(100):
    ...     detector.record_step(0.004 if number < 50 else 0.02, now_s=number * 0.02)
    >>> detector.is_straggling(now_s=2.0)
    True
    """

    def __init__(self):
        self._recent_s: float | None = None
        self._usual_s = 0.0
        self._usual_to_peers: float | None = None
        self._steps = 0
        self._last_s = 0.0
        self._running = 0
        self._straggling = False
        self._peers: dict[str, _PeerStep] = {}

    @property
    def step_s(self) -> float:
        """The recent step time, to be announced."""
        return self._recent_s or 0.0

    def set_running(self, running: int, now_s: float) -> None:
        """Note how many requests run now, after one began or ended."""
        if self._running == 0:
            self._last_s = now_s
        self._running = running

    def record_step(self, step_s: float, *, now_s: float) -> None:
        """Take in one measured step time."""
        self._last_s = now_s
        self._steps += 1
        if self._recent_s is None:
            self._recent_s = self._usual_s = step_s
        self._recent_s += (step_s - self._recent_s) * RECENT_WEIGHT
        weight = max(USUAL_WEIGHT, 1.0 / self._steps)
        # A straggler's steps must not become what is usual.
        if not self._slow(now_s):
            self._usual_s += (step_s - self._usual_s) * weight
            self._learn_peers(weight, now_s)

    def record_peer_step(self, name: str, step_s: float, now_s: float) -> None:
        """Take in another agent's announced step time."""
        if step_s > 0.0:
            self._peers[name] = _PeerStep(step_s=step_s, at_s=now_s)

    def is_straggling(self, now_s: float) -> bool:
        """Return whether the engine is a straggler now."""
        if self._steps < STEPS_MIN:
            return False
        bound = RECOVERED_RATIO if self._straggling else SLOW_RATIO
        self._straggling = self._stalled(now_s) or self._ratio(now_s) >= bound
        return self._straggling

    def _slow(self, now_s: float) -> bool:
        return self._steps >= STEPS_MIN and self._ratio(now_s) >= RECOVERED_RATIO

    def _stalled(self, now_s: float) -> bool:
        bound_s = max(STALLED_MIN_S, STALLED_STEPS * self._usual_s)
        return self._running > 0 and now_s - self._last_s > bound_s

    def _ratio(self, now_s: float) -> float:
        own = self._recent_s / self._usual_s if self._usual_s else 1.0
        peers_s = self._peers_step_s(now_s)
        if peers_s is None or self._usual_to_peers is None:
            return own
        return min(own, self._recent_s / peers_s / self._usual_to_peers)

    def _learn_peers(self, weight: float, now_s: float) -> None:
        peers_s = self._peers_step_s(now_s)
        if peers_s is None:
            return
        to_peers = self._recent_s / peers_s
        if self._usual_to_peers is None:
            self._usual_to_peers = to_peers
        self._usual_to_peers += (to_peers - self._usual_to_peers) * weight

    def _peers_step_s(self, now_s: float) -> float | None:
        known = [p.step_s for p in self._peers.values() if now_s < p.at_s + PEER_KEPT_S]
        return median(known) if known else None


class StragglerPullPolicy:
    """Keeps a straggler from work that others would answer sooner.

    Tiers are served strictly, so a straggler can't be offered just the lower
    ones of what waits. It lets the others pull first instead: while the
    service's highest tier waits it doesn't pull, unless that tier has waited
    all along for `YIELD_S`, which means that the others can't carry it.
    """

    def __init__(self):
        self._since_s: float | None = None

    def allows_pull(
        self,
        *,
        straggling: bool,
        waiting: dict[int, int],
        highest_rank: int,
        now_s: float,
    ) -> bool:
        """Return whether to pull, given what waits by rank."""
        if not waiting.get(highest_rank):
            self._since_s = None
            return True
        if self._since_s is None:
            self._since_s = now_s
        return not straggling or now_s - self._since_s >= YIELD_S
