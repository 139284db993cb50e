"""What an upstream's response proves about the request that was sent to it.

A refusal promises that its request has not run and never will, and callers then send
it again. What proves that is decided here alone, for plain requests, streams and second
attempts.
"""

import enum

import attrs

from lavenderspoke.direct.dialect import Dialect, RequestHead
from lavenderspoke.direct.dispatcher import AttemptOutcome
from lavenderspoke.direct.exchange import UpstreamResponse
from lavenderspoke.direct.instances import Upstream

# Counts attempts by what was found of them.
FINDINGS_METRIC = "direct_findings"


class Finding(enum.StrEnum):
    """What is known of an attempt at an upstream from its response.

    - `NOT_SENT`: nothing was sent: no connection opened, or too late.
    - `NO_RESPONSE`: it was sent, and no whole response head came.
    - `NOT_EXECUTED`, `MISDIRECTED`: the upstream, or another one at its address, says
      that it did not run this request.
    - `ANSWER`: the upstream's own response to this request.
    - `UNMARKED_REFUSAL`: it has a status that promises that the request did not run,
      and the upstream doesn't say so.
    - `OTHER_REQUEST`, `UNNAMED_REFUSAL`: the response names another request, or it
      refuses one that it doesn't name, which may be another one.
    - `INVALID`: it isn't an upstream's whole and signed response.
    """

    NOT_SENT = "not_sent"
    NO_RESPONSE = "no_response"
    NOT_EXECUTED = "not_executed"
    MISDIRECTED = "misdirected"
    ANSWER = "answer"
    UNMARKED_REFUSAL = "unmarked_refusal"
    OTHER_REQUEST = "other_request"
    UNNAMED_REFUSAL = "unnamed_refusal"
    INVALID = "invalid"

    @property
    def is_of_upstream(self) -> bool:
        """Whether the upstream itself has responded to this request."""
        return self in _OF_UPSTREAM

    @property
    def outcome(self) -> AttemptOutcome | None:
        """How a response's head alone ends its attempt, None if it doesn't."""
        return _OUTCOMES.get(self)


_OF_UPSTREAM = (Finding.NOT_EXECUTED, Finding.ANSWER, Finding.UNMARKED_REFUSAL)
_OUTCOMES = {
    Finding.NOT_EXECUTED: AttemptOutcome.NOT_RUN,
    Finding.MISDIRECTED: AttemptOutcome.MISDIRECTED,
    Finding.UNMARKED_REFUSAL: AttemptOutcome.FAILED,
    Finding.OTHER_REQUEST: AttemptOutcome.FAILED,
    Finding.UNNAMED_REFUSAL: AttemptOutcome.FAILED,
    Finding.INVALID: AttemptOutcome.FAILED,
}


@attrs.frozen(kw_only=True)
class AttemptFinding:
    """The finding of one attempt, as logs show it; `status` is 0 without a response.

    >>> str(AttemptFinding(upstream_id="m", finding=Finding.NOT_EXECUTED, status=503))
    'm: not_executed, 503'
    """

    upstream_id: str
    finding: Finding
    status: int = 0

    @classmethod
    def of(
        cls, upstream: Upstream, finding: Finding, response: UpstreamResponse | None
    ) -> "AttemptFinding":
        """Return the finding of an attempt at that upstream."""
        return cls(
            upstream_id=upstream.upstream_id,
            finding=finding,
            status=response.status if response is not None else 0,
        )

    def __str__(self) -> str:
        status = f", {self.status}" if self.status else ""
        return f"{self.upstream_id}: {self.finding}{status}"


def finding_of(
    response: UpstreamResponse, head: RequestHead, dialect: Dialect
) -> Finding:
    """Return what the head of a response proves about the request with `head`."""
    if dialect.names_another(response, head):
        return Finding.OTHER_REQUEST
    if dialect.is_not_run(response):
        if not dialect.names(response, head):
            return Finding.UNNAMED_REFUSAL
        is_misdirected = dialect.is_misdirected(response)
        return Finding.MISDIRECTED if is_misdirected else Finding.NOT_EXECUTED
    if not dialect.is_valid_response(response, head):
        return Finding.INVALID
    if dialect.promises_not_run(response.status):
        return Finding.UNMARKED_REFUSAL
    return Finding.ANSWER
