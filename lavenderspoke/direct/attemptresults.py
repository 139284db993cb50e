"""What became of an attempt, as a roll-out counts it."""

from lavenderspoke.direct.catalog import Route
from lavenderspoke.direct.dispatcher import AttemptOutcome
from lavenderspoke.direct.rolling import AttemptResult
from lavenderspoke.direct.tickets import Ticket
from lavenderspoke.rollouts.baseline import DurationKind

BAD = (AttemptOutcome.FAILED, AttemptOutcome.BROKEN, AttemptOutcome.SILENT)
# The upstream didn't run these, so that they say nothing of its version.
NOT_ANSWERED = (
    AttemptOutcome.UNREACHABLE,
    AttemptOutcome.NOT_RUN,
    AttemptOutcome.MISDIRECTED,
)


def attempt_result(
    ticket: Ticket, route: Route, outcome: AttemptOutcome, now_s: float
) -> AttemptResult | None:
    """Return what an attempt says of its upstream's version, if anything.

    One that was given up before its first event took at least as long as that: it may
    be slow, but it isn't counted as one of the usual length.
    """
    if outcome in NOT_ANSWERED:
        return None
    if outcome is AttemptOutcome.LEFT:
        waited = _until_first(ticket, now_s) if ticket.first_event_s is None else {}
        return AttemptResult(route=route.name, durations_s=waited, is_abandoned=True)
    return AttemptResult(
        route=route.name,
        is_bad=outcome in BAD,
        durations_s=_durations(ticket, route, outcome, now_s),
        total_s=now_s - ticket.sent_s,
    )


def _durations(
    ticket: Ticket, route: Route, outcome: AttemptOutcome, now_s: float
) -> dict[DurationKind, float]:
    if outcome is not AttemptOutcome.ANSWERED:
        return {}
    if not route.stream:
        return {DurationKind.UNSTREAMED: now_s - ticket.sent_s}
    if ticket.first_event_s is None:
        return {}
    durations = _until_first(ticket, ticket.first_event_s)
    if ticket.events > 1:
        durations[DurationKind.BETWEEN_EVENTS] = (now_s - ticket.first_event_s) / (
            ticket.events - 1
        )
    return durations


def _until_first(ticket: Ticket, at_s: float) -> dict[DurationKind, float]:
    if ticket.expected_first_byte_steps <= 0.0:
        return {}
    first_s = at_s - ticket.sent_s
    step_s = first_s / ticket.expected_first_byte_steps
    return {
        DurationKind.FIRST_EVENT: first_s,
        DurationKind.FIRST_EVENT_PER_STEP: step_s,
    }
