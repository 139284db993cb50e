"""Refusals for requests that get no response from an upstream.

A refusal says "not run" only if that is certain, since callers then repeat the request,
which may be a payment.
"""

from lavenderspoke.direct.tickets import Refusal, Refuse
from lavenderspoke.model import Ran
from lavenderspoke.problems import Problem, Reason

# Retry-After, in seconds, for causes that pass soon.
RETRY_AFTER_S = 0.4

QUARANTINED_DETAIL = "upstreams that ran this content have crashed"

DETAILS = {
    Refusal.QUARANTINED: QUARANTINED_DETAIL,
    Refusal.VERSION_GONE: "no upstream of the version that began the stream is left",
}
REASONS = {
    Refusal.CROWDED: Reason.NO_ROOM,
    Refusal.WAITED_TOO_LONG: Reason.NO_ROOM,
    Refusal.NO_UPSTREAM: Reason.NO_UPSTREAM,
    Refusal.QUARANTINED: Reason.CRASHES_UPSTREAMS,
    Refusal.VERSION_GONE: Reason.STREAM_VERSION_GONE,
}


def not_run(
    reason: Reason, detail: str = "", retry_after_s: float | None = None
) -> Problem:
    """Return a refusal for a request that has not run and never will."""
    return Problem(
        reason=reason, ran=Ran.NO, detail=detail, retry_after_s=retry_after_s
    )


def no_slot_available(decision: Refuse | None, *, may_have_run: bool) -> Problem:
    """Return a refusal for a request without a slot.

    There is no decision if the deadline expired or the caller has gone.
    """
    if decision is None:
        return deadline_exceeded("no slot in time", may_have_run=may_have_run)
    reason = REASONS[decision.reason]
    if may_have_run:
        detail = DETAILS.get(decision.reason, "no slot for another attempt")
        return _outcome_unknown(Reason.ANSWER_INCOMPLETE, detail)
    detail = DETAILS.get(decision.reason, "try again later")
    return not_run(reason, detail, decision.retry_after_s)


def version_unknown(attempt_id: str | None) -> Problem:
    """Return a refusal for a stream of which nobody knows the version."""
    detail = f"no entry knows the stream that {attempt_id or 'no attempt'} began"
    return not_run(Reason.STREAM_VERSION_UNKNOWN, detail, RETRY_AFTER_S)


def version_gone() -> Problem:
    """Return a refusal for a stream whose version the route no longer leads to."""
    return not_run(Reason.STREAM_VERSION_GONE, DETAILS[Refusal.VERSION_GONE])


def deadline_exceeded(detail: str, *, may_have_run: bool) -> Problem:
    """Return a refusal for a request whose deadline has expired or can't be met."""
    if may_have_run:
        return _outcome_unknown(Reason.DEADLINE_EXPIRED, detail)
    return not_run(Reason.DEADLINE_UNREACHABLE, detail, RETRY_AFTER_S)


def no_complete_response(
    detail: str, *, may_have_run: bool, blocked_s: float
) -> Problem:
    """Return a refusal for a request without a complete response.

    `blocked_s` is the time until any upstream takes a request again.
    """
    if may_have_run:
        return _outcome_unknown(Reason.ANSWER_INCOMPLETE, detail)
    return not_run(Reason.NO_ROOM, detail, max(RETRY_AFTER_S, blocked_s))


def _outcome_unknown(reason: Reason, detail: str) -> Problem:
    return Problem(reason=reason, ran=Ran.UNKNOWN, detail=detail)
