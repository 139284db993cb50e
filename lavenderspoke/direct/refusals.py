"""What callers are told of requests that get no answer.

A refusal says "not run" only where that is known: callers repeat a payment on that
word.
"""

from lavenderspoke.direct.tickets import Refusal, Refuse
from lavenderspoke.model import Ran
from lavenderspoke.problems import Problem, Reason

# What callers are told to wait, in seconds, where the cause passes soon.
SOON_S = 0.4

REASONS = {
    Refusal.CROWDED: Reason.NO_ROOM,
    Refusal.WAITED_TOO_LONG: Reason.NO_ROOM,
    Refusal.NO_UPSTREAM: Reason.NO_UPSTREAM,
}


def not_run(
    reason: Reason, detail: str = "", retry_after_s: float | None = None
) -> Problem:
    """Return a refusal of a request that has not run and never will."""
    return Problem(
        reason=reason, ran=Ran.NO, detail=detail, retry_after_s=retry_after_s
    )


def no_slot_available(decision: Refuse | None, *, may_have_run: bool) -> Problem:
    """Return what to say of a request that got no place; None is one out of time."""
    if decision is None:
        return deadline_exceeded("time ran out in line", may_have_run=may_have_run)
    reason = REASONS[decision.reason]
    if may_have_run:
        return _unknown(Reason.ANSWER_INCOMPLETE, "try again later")
    return not_run(reason, "try again later", decision.retry_after_s)


def deadline_exceeded(detail: str, *, may_have_run: bool) -> Problem:
    """Return what to say of a request whose time is up."""
    if may_have_run:
        return _unknown(Reason.DEADLINE_EXPIRED, detail)
    return not_run(Reason.DEADLINE_UNREACHABLE, detail, SOON_S)


def no_complete_response(detail: str, *, may_have_run: bool) -> Problem:
    """Return what to say of a request that no upstream answered whole."""
    if may_have_run:
        return _unknown(Reason.ANSWER_INCOMPLETE, detail)
    return not_run(Reason.NO_ROOM, detail, SOON_S)


def _unknown(reason: Reason, detail: str) -> Problem:
    return Problem(reason=reason, ran=Ran.UNKNOWN, detail=detail)
