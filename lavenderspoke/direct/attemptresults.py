"""What became of an attempt, as a roll-out counts it."""

from lavenderspoke.direct.catalog import Route
from lavenderspoke.direct.dispatcher import AttemptOutcome
from lavenderspoke.direct.rolling import Answer
from lavenderspoke.direct.tickets import Ticket
from lavenderspoke.rollouts.typical import Measure

BAD = (AttemptOutcome.FAILED, AttemptOutcome.BROKEN, AttemptOutcome.SILENT)
# The upstream didn't run these, so that they say nothing of its version.
NOT_ANSWERED = (
    AttemptOutcome.UNREACHABLE,
    AttemptOutcome.NOT_RUN,
    AttemptOutcome.MISDIRECTED,
)


def attempt_result(
    ticket: Ticket, route: Route, outcome: AttemptOutcome, now_s: float
) -> Answer | None:
    """Return what an attempt says of its upstream's version, if anything.

    One that was given up before its first event took at least as long as that: it may
    be slow, but it isn't counted as one of the usual length.
    """
    if outcome in NOT_ANSWERED:
        return None
    if outcome is AttemptOutcome.LEFT:
        waited = _until_first(ticket, now_s) if ticket.first_event_s is None else {}
        return Answer(route=route.name, durations_s=waited, is_given_up=True)
    return Answer(
        route=route.name,
        is_bad=outcome in BAD,
        durations_s=_durations(ticket, route, outcome, now_s),
        whole_s=now_s - ticket.sent_s,
    )


def _durations(
    ticket: Ticket, route: Route, outcome: AttemptOutcome, now_s: float
) -> dict[Measure, float]:
    if outcome is not AttemptOutcome.ANSWERED:
        return {}
    if not route.stream:
        return {Measure.WHOLE: now_s - ticket.sent_s}
    if ticket.first_event_s is None:
        return {}
    durations = _until_first(ticket, ticket.first_event_s)
    if ticket.events > 1:
        durations[Measure.EVENT] = (now_s - ticket.first_event_s) / (ticket.events - 1)
    return durations


def _until_first(ticket: Ticket, at_s: float) -> dict[Measure, float]:
    if ticket.expected_first_byte_steps <= 0.0:
        return {}
    first_s = at_s - ticket.sent_s
    step_s = first_s / ticket.expected_first_byte_steps
    return {Measure.FIRST: first_s, Measure.STEP: step_s}
