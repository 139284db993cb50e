"""When a roll-out goes on, is stopped or has ended: the decision of one moment.

A version may be bad from the start, later, or only under load. So the target gets a
small share for as long as the time for the roll-out allows, then for a moment as much
as the bound on a bad version's requests allows, then everything. The versions in use
end at once when the roll-out is completed; all that runs there has to end before, so
the move begins early enough for the longest answers. No answer is lost for the sake of
the time: while something runs at them, or an entry is silent that may have something
running there, the roll-out is completed late.
"""

import attrs

from lavenderspoke.rollouts.evidence import CanaryJudgement, CanaryVerdict
from lavenderspoke.rollouts.orders import Stage

# The part of the operators' bound on a bad version's share that a canary gets; the rest
# is for the test under load.
CANARY_PART = 0.7
# The part of the requests tolerated beyond that share which a canary uses at first, so
# that few requests show something in time; small, since entries that all start anew
# don't know what they used.
CANARY_TOLERANCE_PART = 0.2
# The time in seconds over which it is used.
CANARY_TOLERANCE_S = 2.0
# The same part for the canary and the test under load together.
TOLERANCE_PART = 0.7
# How long the test under load lasts, in seconds: answers of a second, and the time in
# which all entries learn of them.
LOADED_S = 1.2
# The most of the requests that the test under load takes.
LOADED_SHARE_MAX = 0.5
# Time in seconds for entries to learn that the move has begun and that it is completed.
SETTLE_S = 1.5
# The part of the time that is for the canary in any case.
CANARY_TIME_PART = 0.4


@attrs.frozen(kw_only=True)
class Bounds:
    """The operators' bound on a bad version: a part of the requests, and a number."""

    share: float = 0.1
    tolerance: float = 50.0


@attrs.frozen(kw_only=True)
class Progress:
    """The state of a roll-out, added up over all entries.

    `elapsed_s` and `stage_age_s` are the times since the order and since the stage
    began. `requests` were sent to the service since the order, `to_target` of them to
    the target; `requests_per_s` is the current rate. `longest_answer_s` is how long the
    longest answers take. `other_in_flight` requests run on other versions than the
    target; unless `all_peers_live`, silent entries may have more in flight there.
    `target_slots` and `other_slots` are the slots of the target and of the others.
    """

    stage: Stage
    elapsed_s: float
    stage_age_s: float
    duration_s: float
    judgement: CanaryJudgement
    requests: int
    to_target: int
    requests_per_s: float
    longest_answer_s: float
    other_in_flight: int
    all_peers_live: bool
    target_slots: int
    other_slots: int
    bounds: Bounds


@attrs.frozen(kw_only=True)
class Transition:
    """The stage that a roll-out goes to, and why."""

    stage: Stage
    reason: str


def next_transition(progress: Progress) -> Transition | None:
    """Return the next step, or None while the roll-out stays where it is."""
    stage = progress.stage
    if stage >= Stage.STOPPED or stage is Stage.ORDERED:
        return None
    if progress.judgement.verdict is CanaryVerdict.BAD:
        route = progress.judgement.route or "all routes"
        return Transition(stage=Stage.STOPPED, reason=f"bad answers on {route}")
    if stage is Stage.CANARY:
        return _after_canary(progress)
    if stage is Stage.LOADED and progress.stage_age_s >= LOADED_S:
        return Transition(stage=Stage.MOVING, reason="sound under load")
    if (
        stage is Stage.MOVING
        and progress.other_in_flight == 0
        and progress.all_peers_live
    ):
        if progress.stage_age_s >= SETTLE_S / 2:
            return Transition(stage=Stage.COMPLETED, reason="nothing runs elsewhere")
    return None


def _after_canary(progress: Progress) -> Transition | None:
    if progress.target_slots == 0:
        return None
    if progress.other_slots == 0:
        return Transition(stage=Stage.MOVING, reason="no other version is left")
    if progress.elapsed_s < move_after_s(progress):
        return None
    if progress.target_slots < progress.other_in_flight:
        return None
    if progress.judgement.verdict in (CanaryVerdict.SOUND, CanaryVerdict.LIKELY_SOUND):
        return Transition(stage=Stage.LOADED, reason="sound as a canary")
    if progress.requests <= progress.bounds.tolerance:
        return Transition(stage=Stage.LOADED, reason="hardly any requests")
    if progress.elapsed_s < progress.duration_s:
        return None
    if progress.judgement.log_odds > 0.0:
        return Transition(stage=Stage.STOPPED, reason="out of time, more bad than good")
    return Transition(stage=Stage.LOADED, reason="out of time, nothing bad seen")


def move_after_s(progress: Progress) -> float:
    """Return how long after the order the target is a canary, in seconds."""
    moving_s = progress.longest_answer_s + LOADED_S + SETTLE_S
    duration_s = progress.duration_s
    return max(duration_s * CANARY_TIME_PART, duration_s - moving_s)


def target_share(progress: Progress) -> float:
    """Return the share of requests that the target gets, from 0 to 1."""
    bounds = progress.bounds
    allowed = bounds.share * progress.requests + bounds.tolerance * TOLERANCE_PART
    left = allowed - progress.to_target
    if left <= 0.0:
        return 0.0
    if progress.stage is Stage.CANARY:
        share = bounds.share * CANARY_PART
        extra = bounds.tolerance * CANARY_TOLERANCE_PART
        extra -= max(0.0, progress.to_target - share * progress.requests)
        expected = max(1.0, progress.requests_per_s * CANARY_TOLERANCE_S)
        return min(LOADED_SHARE_MAX, share + max(0.0, extra) / expected)
    if progress.stage is Stage.LOADED:
        expected = max(1.0, progress.requests_per_s * LOADED_S)
        return min(LOADED_SHARE_MAX, left / expected)
    return 0.0
