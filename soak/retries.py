"""When a caller sends a request again, and how."""

from random import Random

import attrs
from urllib3.exceptions import HTTPError, NewConnectionError, ProtocolError

# How an attempt ended for its caller, where no answer's head came.
UNCONNECTED = "unconnected"
RESET = "reset"
CLOSED = "closed"
HUNG = "hung"
ANSWERED = "answered"

# Statuses that promise that the request has not run and never will.
NOT_RUN = (408, 421, 429, 503)
# Statuses after which no request is sent again.
FINAL = (400, 401, 404, 413, 431)
RETRIES_MAX = 2
RETRY_AFTER_MAX_SHARE = 1 / 3
# The least time that is worth another attempt, in seconds.
LEFT_MIN_S = 0.2
# The part of the requests that nobody read which are sent again as they were, under
# their own id.
SAME_ID_PART = 1 / 2


@attrs.frozen(kw_only=True)
class Retry:
    """An attempt that follows another one, after a wait, in seconds."""

    wait_s: float
    left_s: float
    keeps_id: bool


def seen_of(error: HTTPError) -> str:
    """Return what a caller saw of its connection, whose attempt failed so."""
    if isinstance(error, NewConnectionError):
        return UNCONNECTED
    if not isinstance(error, ProtocolError):
        return HUNG
    cause = error.args[-1]
    # An orderly close is reported as a kind of reset too.
    is_reset = isinstance(cause, OSError) and not _is_closed(cause)
    return RESET if is_reset else CLOSED


def _is_closed(cause: Exception) -> bool:
    return type(cause).__name__ == "RemoteDisconnected"


def retry(sent, random: Random) -> Retry | None:
    """Return how an attempt is followed by another one, None if it isn't.

    A request that may run once is sent again only after a promise, or if its entry
    closed the connection before it sent a byte, which tells that nobody read it.
    """
    left_s = sent.deadline_s - (sent.ended_s - sent.sent_s)
    keeps_id = sent.kind.runs_max == 1 and random.random() < SAME_ID_PART
    wait_s = 0.0
    if sent.answer is not None:
        keeps_id = False
        if not _is_failed(sent):
            return None
        retry_after_s = float(sent.answer.headers.get("retry-after", 0.0))
        wait_s = min(retry_after_s, left_s * RETRY_AFTER_MAX_SHARE)
    elif sent.seen not in (UNCONNECTED, RESET, CLOSED) and sent.kind.runs_max == 1:
        return None
    if left_s - wait_s < LEFT_MIN_S:
        return None
    return Retry(wait_s=wait_s, left_s=left_s - wait_s, keeps_id=keeps_id)


def _is_failed(sent) -> bool:
    """Return whether an answer is one after which its caller tries again."""
    answer = sent.answer
    if answer.status in NOT_RUN:
        return True
    if sent.kind.runs_max == 1 or answer.status in FINAL or sent.last_event >= 0:
        return False
    return not answer.whole or answer.status >= 500
