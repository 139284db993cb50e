"""Converts the outcome of an attempt to the result that a roll-out counts."""

from lavenderspoke.direct.catalog import Route
from lavenderspoke.direct.dispatcher import AttemptOutcome
from lavenderspoke.direct.rolling import AttemptResult
from lavenderspoke.direct.tickets import Ticket
from lavenderspoke.rollouts.baseline import DurationKind

FAILED_OUTCOMES = (AttemptOutcome.FAILED, AttemptOutcome.BROKEN, AttemptOutcome.SILENT)
# Not run by the upstream, so they say nothing about its version.
NOT_RUN_OUTCOMES = (
    AttemptOutcome.UNREACHABLE,
    AttemptOutcome.NOT_RUN,
    AttemptOutcome.MISDIRECTED,
)


def attempt_result(
    ticket: Ticket, route: Route, outcome: AttemptOutcome, now_s: float
) -> AttemptResult | None:
    """Return what an attempt says about its upstream's version, or None.

    An attempt abandoned before its first event took at least that long: it may count as
    slow, but its duration isn't learned.
    """
    if outcome in NOT_RUN_OUTCOMES:
        return None
    if outcome is AttemptOutcome.LEFT:
        waited = (
            _first_event_durations(ticket, now_s)
            if ticket.first_event_s is None
            else {}
        )
        return AttemptResult(route=route.name, durations_s=waited, is_abandoned=True)
    return AttemptResult(
        route=route.name,
        is_bad=outcome in FAILED_OUTCOMES,
        durations_s=_durations(ticket, route, outcome, now_s),
        total_s=now_s - ticket.sent_s,
    )


def _durations(
    ticket: Ticket, route: Route, outcome: AttemptOutcome, now_s: float
) -> dict[DurationKind, float]:
    if not outcome.is_answer:
        return {}
    if not route.stream:
        return {DurationKind.UNSTREAMED: now_s - ticket.sent_s}
    if ticket.first_event_s is None:
        return {}
    durations = _first_event_durations(ticket, ticket.first_event_s)
    if ticket.events > 1:
        durations[DurationKind.BETWEEN_EVENTS] = (now_s - ticket.first_event_s) / (
            ticket.events - 1
        )
    return durations


def _first_event_durations(ticket: Ticket, at_s: float) -> dict[DurationKind, float]:
    if ticket.expected_first_byte_steps <= 0.0:
        return {}
    first_s = at_s - ticket.sent_s
    step_s = first_s / ticket.expected_first_byte_steps
    return {
        DurationKind.FIRST_EVENT: first_s,
        DurationKind.FIRST_EVENT_PER_STEP: step_s,
    }
