"""Decides when a roll-out advances, stops or completes, and the target's share.

A version may be bad from the start, later, or only under load. So the target receives a
small share for as long as the duration of the roll-out allows, then briefly as much as
the bound on a bad version's requests allows, then everything. The upstreams of the old
versions may be shut down as soon as the roll-out completes, so all requests in flight
there have to finish first, and the move begins early enough for the longest answers. No
answer is lost to keep to the duration: while requests are in flight there, or a silent
entry may have some, the roll-out completes late.
"""

import attrs

from lavenderspoke.rollouts.evidence import CanaryJudgement, CanaryVerdict
from lavenderspoke.rollouts.orders import Stage

# Fraction of the operators' bound on a bad version's share that the canary receives;
# the rest is left for the load test.
CANARY_SHARE_FRACTION = 0.7
# Fraction of the tolerance (requests beyond that share) that the canary may use at
# first, so that a service with few requests gathers evidence in time. It is small since
# entries that all restart don't know how much they have used.
CANARY_TOLERANCE_FRACTION = 0.2
# Time in seconds over which that part of the tolerance is spread.
CANARY_TOLERANCE_S = 2.0
# Fraction of the tolerance for the canary and the load test together.
TOLERANCE_FRACTION = 0.7
# Duration of the load test in seconds: answers of one second, and the time until all
# entries know of them.
LOAD_TEST_S = 1.2
# Maximum share of the requests that the target receives before the move.
LOAD_TEST_SHARE_MAX = 0.5
# Time in seconds for all entries to learn that the move has begun and has completed.
SETTLE_S = 1.5
# Minimum fraction of the roll-out's duration for the canary stage.
CANARY_TIME_FRACTION = 0.4


@attrs.frozen(kw_only=True)
class Bounds:
    """The operators' bound on requests to a bad version.

    It is `share` of the requests plus `tolerance` requests.
    """

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
    """The stage to enter and the reason for it."""

    stage: Stage
    reason: str


def next_transition(progress: Progress) -> Transition | None:
    """Return the next transition, or None if the stage doesn't change."""
    stage = progress.stage
    if stage >= Stage.STOPPED or stage is Stage.ORDERED:
        return None
    if progress.judgement.verdict is CanaryVerdict.BAD:
        route = progress.judgement.route or "all routes"
        return Transition(stage=Stage.STOPPED, reason=f"bad answers on {route}")
    if stage is Stage.CANARY:
        return _after_canary(progress)
    if stage is Stage.LOADED and progress.stage_age_s >= LOAD_TEST_S:
        return Transition(stage=Stage.MOVING, reason="sound under load")
    if (
        stage is Stage.MOVING
        and progress.other_in_flight == 0
        and progress.all_peers_live
    ):
        if progress.stage_age_s >= SETTLE_S / 2:
            return Transition(
                stage=Stage.COMPLETED, reason="no requests in flight elsewhere"
            )
    return None


def _after_canary(progress: Progress) -> Transition | None:
    if progress.target_slots == 0:
        return None
    if progress.other_slots == 0:
        return Transition(stage=Stage.MOVING, reason="no other version is left")
    if progress.elapsed_s < canary_duration_s(progress):
        return None
    if progress.target_slots < progress.other_in_flight:
        return None
    if progress.judgement.verdict in (CanaryVerdict.SOUND, CanaryVerdict.LIKELY_SOUND):
        return Transition(stage=Stage.LOADED, reason="sound as a canary")
    if progress.requests <= progress.bounds.tolerance:
        return Transition(stage=Stage.LOADED, reason="too few requests to judge")
    if progress.elapsed_s < progress.duration_s:
        return None
    if progress.judgement.log_odds > 0.0:
        return Transition(stage=Stage.STOPPED, reason="out of time, more bad than good")
    return Transition(stage=Stage.LOADED, reason="out of time, nothing bad seen")


def canary_duration_s(progress: Progress) -> float:
    """Return how long after the order the canary stage may end, in seconds."""
    moving_s = progress.longest_answer_s + LOAD_TEST_S + SETTLE_S
    duration_s = progress.duration_s
    return max(duration_s * CANARY_TIME_FRACTION, duration_s - moving_s)


def target_share(progress: Progress) -> float:
    """Return the share of requests to send to the target as a canary, from 0 to 1."""
    bounds = progress.bounds
    allowed = bounds.share * progress.requests + bounds.tolerance * TOLERANCE_FRACTION
    remaining = allowed - progress.to_target
    if remaining <= 0.0:
        return 0.0
    if progress.stage is Stage.CANARY:
        share = bounds.share * CANARY_SHARE_FRACTION
        extra_requests = bounds.tolerance * CANARY_TOLERANCE_FRACTION
        extra_requests -= max(0.0, progress.to_target - share * progress.requests)
        expected_requests = max(1.0, progress.requests_per_s * CANARY_TOLERANCE_S)
        return min(
            LOAD_TEST_SHARE_MAX, share + max(0.0, extra_requests) / expected_requests
        )
    if progress.stage is Stage.LOADED:
        expected_requests = max(1.0, progress.requests_per_s * LOAD_TEST_S)
        return min(LOAD_TEST_SHARE_MAX, remaining / expected_requests)
    return 0.0
