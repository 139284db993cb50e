"""The engine time of a request: of the tokens that it reads and generates."""

from lavenderspoke.direct.customershares import REQUEST_ENGINE_S_MAX
from lavenderspoke.direct.tickets import Ticket


def expected_engine_s(
    ticket: Ticket, *, read_tokens_per_step: float, written_tokens_per_step: float
) -> float:
    """Return the engine time that a dispatched request is expected to take.

    Without the queue at its engine: only its own tokens count. A plain request has
    none, and counts once it has ended.
    """
    steps = (
        ticket.prompt_tokens / read_tokens_per_step
        + ticket.answer_tokens / written_tokens_per_step
    )
    remaining_s = max(0.0, ticket.deadline_s - ticket.sent_s)
    return min(steps * ticket.estimate.step_s, remaining_s, REQUEST_ENGINE_S_MAX)


def used_engine_s(
    ticket: Ticket, now_s: float, *, read_tokens_per_step: float
) -> float:
    """Return the engine time of a request that ends now.

    The time until the first event includes that of other prompts, so the time to read
    its own is computed. A response without events counts for as long as it took.
    """
    if ticket.first_event_s is None:
        return min(max(0.0, now_s - ticket.sent_s), REQUEST_ENGINE_S_MAX)
    reading_s = ticket.prompt_tokens / read_tokens_per_step * ticket.estimate.step_s
    until_first_s = max(0.0, ticket.first_event_s - ticket.sent_s)
    writing_s = max(0.0, now_s - ticket.first_event_s)
    return min(min(reading_s, until_first_s) + writing_s, REQUEST_ENGINE_S_MAX)
