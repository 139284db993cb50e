"""Asks an upstream for a place before a request is taken away from another one.

What an entry knows of the places at upstreams is what it and the others have sent. The
upstream may be full, gone or out of reach all the same, and then a stream that is moved
there breaks off although the one before would have gone on.
"""

import attrs
import logbook
from result import Err, Ok, Result

from lavenderspoke.clock import Clock
from lavenderspoke.direct.dialect import ControlRequest, Dialect
from lavenderspoke.direct.dispatcher import AttemptOutcome
from lavenderspoke.direct.exchange import (
    ConnectionPool,
    IncompleteResponse,
    NotSent,
    RequestHandle,
)

# How long an upstream may take to answer, in seconds. Its caller waits meanwhile for a
# stream that is late already.
ANSWER_S = 0.2

log = logbook.Logger(__name__)


@attrs.frozen(kw_only=True)
class NotReserved:
    """No place was reserved; `outcome` is what this says of the upstream."""

    outcome: AttemptOutcome
    detail: str


def reserve_slot(
    *, call: ControlRequest, connections: ConnectionPool, dialect: Dialect, clock: Clock
) -> Result[str, NotReserved]:
    """Reserve a place at an upstream; return what names it there."""
    sent = connections.send(
        handle=RequestHandle(),
        method=call.method,
        target=call.target,
        headers=call.headers,
        body=call.body,
        head_timeout_s=ANSWER_S,
    )
    if isinstance(sent, Err):
        # A kept connection that breaks or an answer that is late says nothing of the
        # requests that run there.
        is_away = isinstance(sent.err_value, NotSent)
        outcome = AttemptOutcome.UNREACHABLE if is_away else AttemptOutcome.NOT_RUN
        return _not_reserved(outcome, sent.err_value.detail)
    exchange = sent.ok_value
    try:
        body = exchange.read_all(clock.monotonic_s() + ANSWER_S, clock)
    except IncompleteResponse as error:
        exchange.close(keep=False)
        return _not_reserved(AttemptOutcome.NOT_RUN, str(error))
    is_misdirected = dialect.is_misdirected(exchange)
    exchange.close(keep=not is_misdirected)
    if is_misdirected:
        return _not_reserved(
            AttemptOutcome.MISDIRECTED, "another upstream answers there"
        )
    name = dialect.parse_reservation(exchange, body)
    if name is None:
        return _not_reserved(AttemptOutcome.NOT_RUN, f"status {exchange.status}")
    return Ok(name)


def _not_reserved(outcome: AttemptOutcome, detail: str) -> Err[NotReserved]:
    log.debug("no place reserved", outcome=outcome.value, detail=detail)
    return Err(NotReserved(outcome=outcome, detail=detail))
