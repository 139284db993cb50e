"""Problems as callers see them: problem+json pages and error events."""

import json
import math
from collections.abc import Callable
from http import HTTPStatus

import attrs

from lavenderspoke.problems import Problem, Reason

CONTENT_TYPE = "application/problem+json"
TYPE_PREFIX = "urn:lavenderspoke:problem:"
ERROR_EVENT_START = b"\n\nevent: error\ndata: "
TITLES = {
    Reason.BAD_REQUEST: "The request is malformed",
    Reason.BODY_TOO_LARGE: "The request body is too large",
    Reason.BODY_TIMEOUT: "The request came too slowly",
    Reason.UNAUTHORIZED: "The credential is missing or unknown",
    Reason.TIER_FORBIDDEN: "The customer may not use this tier",
    Reason.UNKNOWN_SERVICE: "There is no such service",
    Reason.NO_DOCUMENT: "No service document is in force yet",
    Reason.DRAINING: "This instance is stopping",
    Reason.CUSTOMER_LIMIT: "The customer's limit is reached",
    Reason.SHED: "Dropped in favour of higher tiers",
    Reason.DEADLINE_UNREACHABLE: "The deadline can't be met",
    Reason.DEADLINE_EXPIRED: "The deadline has passed",
    Reason.RETRY_BUDGET: "The retry budget is spent",
    Reason.QUARANTINED: "This request has crashed upstreams",
    Reason.IN_PROGRESS: "The same key is being settled elsewhere",
    Reason.SUPERSEDED: "A later send of the same key took over",
    Reason.OUTCOME_UNKNOWN: "Whether the request ran is not known",
    Reason.ANSWER_INCOMPLETE: "The answer can't be completed",
    Reason.CALLER_GONE: "The caller has gone",
    Reason.KEYS_STALE: "Keys can't be checked at this instance now",
    Reason.NO_ROUTE: "No route leads there",
    Reason.NO_ROOM: "All upstreams are busy with work that goes first",
    Reason.NO_UPSTREAM: "No upstream of the service is known",
    Reason.CRASHES_UPSTREAMS: "This request has crashed upstreams",
    Reason.STREAM_VERSION_GONE: "the version that began the stream is gone",
    Reason.STREAM_VERSION_UNKNOWN: "nobody knows which version began the stream",
    Reason.HEADERS_TOO_LARGE: "The request headers are too large",
    Reason.SERVER_BUSY: "All of this instance's connections are in use",
    Reason.NO_MEMORY: "This instance has no memory left for the request",
    Reason.INTERNAL_ERROR: "This instance failed",
}


@attrs.frozen(kw_only=True)
class Page:
    """An HTTP response that is known as a whole."""

    status: str
    headers: tuple[tuple[str, str], ...]
    body: bytes


def status_line(status: int) -> str:
    """Return a status with its phrase, such as "404 Not Found"."""
    try:
        return f"{status} {HTTPStatus(status).phrase}"
    except ValueError:
        return f"{status} Unassigned"


def document(problem: Problem) -> dict:
    """Return the problem as the members of its JSON object."""
    return {
        "type": TYPE_PREFIX + problem.reason.value,
        "title": TITLES[problem.reason],
        "status": problem.status,
        "detail": problem.detail,
        "reason": problem.reason.value,
        "ran": problem.ran.value,
    }


def retry_after(problem: Problem) -> str | None:
    """Return the whole seconds for Retry-After, rounded up and at least one."""
    if problem.retry_after_s is None:
        return None
    return str(max(1, math.ceil(problem.retry_after_s)))


def retry_after_exact(problem: Problem) -> str | None:
    """Return Retry-After in seconds with a fraction, for callers that take it.

    Whole seconds would double the wait of callers who have only a few left.
    """
    if problem.retry_after_s is None:
        return None
    return f"{problem.retry_after_s:.2f}"


def render(
    problem: Problem,
    request_id: str | None = None,
    *,
    retry_after: Callable[[Problem], str | None] = retry_after,
) -> Page:
    """Return the problem as a response."""
    body = json.dumps(document(problem)).encode()
    headers = [("Content-Type", CONTENT_TYPE), ("Content-Length", str(len(body)))]
    if (seconds := retry_after(problem)) is not None:
        headers.append(("Retry-After", seconds))
    if problem.reason is Reason.UNAUTHORIZED:
        headers.append(("WWW-Authenticate", "Bearer"))
    if request_id is not None:
        headers.append(("Lavenderspoke-Request-Id", request_id))
    return Page(status=status_line(problem.status), headers=tuple(headers), body=body)


def error_event(problem: Problem) -> bytes:
    """Return the problem as a server-sent event of type `error`.

    It opens with a blank line, since the event before may have been cut off.
    """
    return (
        b"\n\nevent: error\ndata: " + json.dumps(document(problem)).encode() + b"\n\n"
    )
