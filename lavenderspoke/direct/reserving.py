"""Reserves a slot at an upstream before a request is moved there.

An entry knows upstreams' free slots only from what it and the other entries have sent.
The upstream may still be full, gone or unreachable, and a stream moved there would
break off although the previous upstream would have continued.
"""

from collections.abc import Callable

import attrs
import logbook
from result import Err, Ok, Result

from lavenderspoke.clock import Clock
from lavenderspoke.direct.dialect import ControlRequest, Dialect
from lavenderspoke.direct.dispatcher import AttemptOutcome
from lavenderspoke.direct.exchange import (
    CancelHandle,
    ConnectionPool,
    IncompleteResponse,
    NotSent,
)
from lavenderspoke.http.upstreamsignals import UpstreamSignals

# Timeout for the head of the upstream's response, and again for its body, in seconds.
# Meanwhile the caller waits for a stream that is already late.
RESERVE_TIMEOUT_S = 0.2
BODY_BYTES_MAX = 64 * 1024

log = logbook.Logger(__name__)


@attrs.frozen(kw_only=True)
class NotReserved:
    """No slot was reserved; `outcome` is what this says about the upstream."""

    outcome: AttemptOutcome
    detail: str


def reserve_slot(
    *,
    request: ControlRequest,
    connection_pool: ConnectionPool,
    dialect: Dialect,
    clock: Clock,
    on_signals: Callable[[UpstreamSignals], None],
) -> Result[str, NotReserved]:
    """Reserve a slot at an upstream; return its id there.

    `on_signals` is called with what the response says about the upstream.
    """
    sent = connection_pool.send(
        cancel_handle=CancelHandle(),
        method=request.method,
        target=request.target,
        headers=request.headers,
        body=request.body,
        head_timeout_s=RESERVE_TIMEOUT_S,
        ends_s=clock.monotonic_s() + 2 * RESERVE_TIMEOUT_S,
    )
    if isinstance(sent, Err):
        # A reused connection that breaks, or a late response, says nothing about the
        # requests that run there.
        is_unreachable = isinstance(sent.err_value, NotSent)
        outcome = (
            AttemptOutcome.UNREACHABLE if is_unreachable else AttemptOutcome.NOT_RUN
        )
        return _not_reserved(outcome, sent.err_value.detail)
    response = sent.ok_value
    if dialect.named_request(response.headers):
        # A reservation has no id, so this is a late response to some request.
        response.close(keep=False)
        return _not_reserved(AttemptOutcome.NOT_RUN, "a request's response came")
    is_misdirected = dialect.is_misdirected(response)
    if not is_misdirected:
        on_signals(dialect.upstream_signals(response))
    try:
        body = response.read_all(
            clock.monotonic_s() + RESERVE_TIMEOUT_S, clock, bytes_max=BODY_BYTES_MAX
        )
    except IncompleteResponse as error:
        response.close(keep=False)
        return _not_reserved(AttemptOutcome.NOT_RUN, str(error))
    response.close(keep=not is_misdirected)
    if is_misdirected:
        return _not_reserved(AttemptOutcome.MISDIRECTED, "another upstream responded")
    reservation_id = dialect.parse_reservation(response, body)
    if reservation_id is None:
        return _not_reserved(AttemptOutcome.NOT_RUN, f"status {response.status}")
    return Ok(reservation_id)


def _not_reserved(outcome: AttemptOutcome, detail: str) -> Err[NotReserved]:
    log.debug("no slot reserved", outcome=outcome.value, detail=detail)
    return Err(NotReserved(outcome=outcome, detail=detail))
