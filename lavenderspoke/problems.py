"""Why a request gets no answer from an upstream, as its caller is told."""

import enum

import attrs

from lavenderspoke.model import Ran


class Reason(enum.Enum):
    """A stable, machine-readable reason; also the label of its counter."""

    BAD_REQUEST = "bad_request"
    BODY_TOO_LARGE = "body_too_large"
    BODY_TIMEOUT = "body_timeout"
    UNAUTHORIZED = "unauthorized"
    TIER_FORBIDDEN = "tier_forbidden"
    UNKNOWN_SERVICE = "unknown_service"
    NO_DOCUMENT = "no_document"
    DRAINING = "draining"
    CUSTOMER_LIMIT = "customer_limit"
    SHED = "shed"
    DEADLINE_UNREACHABLE = "deadline_unreachable"
    DEADLINE_EXPIRED = "deadline_expired"
    RETRY_BUDGET = "retry_budget"
    QUARANTINED = "quarantined"
    IN_PROGRESS = "in_progress"
    SUPERSEDED = "superseded"
    OUTCOME_UNKNOWN = "outcome_unknown"
    ANSWER_INCOMPLETE = "answer_incomplete"
    CALLER_GONE = "caller_gone"
    KEYS_STALE = "keys_stale"
    NO_ROUTE = "no_route"
    NO_ROOM = "no_room"
    NO_UPSTREAM = "no_upstream"
    CRASHES_UPSTREAMS = "crashes_upstreams"
    STREAM_VERSION_GONE = "stream_version_gone"
    STREAM_VERSION_UNKNOWN = "stream_version_unknown"
    HEADERS_TOO_LARGE = "headers_too_large"
    SERVER_BUSY = "server_busy"
    NO_MEMORY = "no_memory"
    INTERNAL_ERROR = "internal_error"


STATUS = {
    Reason.BAD_REQUEST: 400,
    Reason.BODY_TOO_LARGE: 413,
    Reason.BODY_TIMEOUT: 408,
    Reason.UNAUTHORIZED: 401,
    Reason.TIER_FORBIDDEN: 403,
    Reason.UNKNOWN_SERVICE: 404,
    Reason.NO_DOCUMENT: 503,
    Reason.DRAINING: 503,
    Reason.CUSTOMER_LIMIT: 429,
    Reason.SHED: 503,
    Reason.DEADLINE_UNREACHABLE: 503,
    Reason.DEADLINE_EXPIRED: 504,
    Reason.RETRY_BUDGET: 503,
    Reason.QUARANTINED: 422,
    Reason.IN_PROGRESS: 409,
    Reason.SUPERSEDED: 409,
    Reason.OUTCOME_UNKNOWN: 504,
    Reason.ANSWER_INCOMPLETE: 502,
    Reason.CALLER_GONE: 499,
    Reason.KEYS_STALE: 503,
    Reason.NO_ROUTE: 404,
    Reason.NO_ROOM: 503,
    Reason.NO_UPSTREAM: 503,
    Reason.CRASHES_UPSTREAMS: 503,
    Reason.STREAM_VERSION_GONE: 503,
    Reason.STREAM_VERSION_UNKNOWN: 503,
    Reason.HEADERS_TOO_LARGE: 431,
    Reason.SERVER_BUSY: 503,
    Reason.NO_MEMORY: 503,
    Reason.INTERNAL_ERROR: 500,
}


@attrs.frozen(kw_only=True)
class Problem:
    """A final answer that is not an upstream's.

    `retry_after_s` is None where coming back makes no sense.

    >>> Problem(reason=Reason.SHED, ran=Ran.NO, retry_after_s=2.0).status
    503
    """

    reason: Reason
    ran: Ran
    detail: str = ""
    retry_after_s: float | None = None

    @property
    def status(self) -> int:
        """The HTTP status that goes with the reason."""
        return STATUS[self.reason]
