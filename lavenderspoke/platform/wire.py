"""The headers that callers and upstreams of the platform send and expect."""

import json
import math

import attrs
import logbook
from result import Err, Ok, Result

from lavenderspoke.direct.dialect import BadRequestHead, ControlRequest, RequestHead
from lavenderspoke.direct.exchange import UpstreamResponse
from lavenderspoke.direct.instances import Upstream
from lavenderspoke.http.hopbyhop import Headers, end_to_end
from lavenderspoke.platform.decoding import parse_as

# Names the caller's one try, and not the request over all its tries.
ATTEMPT_ID = "X-Attempt-Id"
DEADLINE = "X-Deadline-Ms"
# Prompt tokens and the most output tokens, though the name speaks of use.
TOKENS = "X-Token-Usage"
# What the caller expects of the output tokens: right at the median, often far off.
EXPECTED_TOKENS = "X-Length-Hint"
LAST_EVENT = "Last-Event-Id"
AUTHORIZATION = "Authorization"
CUSTOMER = "X-Tenant"
# Names an upstream: another one at the same address refuses.
EXPECTED_UPSTREAM = "X-Expect-Instance"
# Says that the upstream did not run the request.
NOT_EXECUTED = "X-Not-Executed"
# Reserves a place, for so long in milliseconds: the request follows at once.
RESERVE_PATH = "/v1/hold-take"
RESERVATION_TTL_MS = 500
# Names the reserved place.
RESERVATION = "X-Kv-Retention"
# Marks an answer as the upstream's own.
SIGNATURE = "X-Response-Signature"
CONTENT_ENCODING = "Content-Encoding"
MISDIRECTED_STATUS = 421
MS_PER_S = 1000.0
# No number of tokens has more digits; longer ones are taken for no number.
COUNT_DIGITS_MAX = 12
# Events of streams have ids of up to so many digits, as `EventSplitter` reads them.
EVENT_DIGITS_MAX = 18

# What only the system may tell an upstream, and what concerns one connection.
STRIPPED_HEADERS = frozenset(
    name.lower()
    for name in (
        AUTHORIZATION,
        CUSTOMER,
        DEADLINE,
        EXPECTED_UPSTREAM,
        LAST_EVENT,
        "X-Expect-Version",
        RESERVATION,
        "X-Pin-Ms",
        "X-Kv-Backup",
        "Kv-From",
        "Kv-Fetch",
        "Content-Length",
        "Expect",
    )
)

log = logbook.Logger(__name__)


@attrs.frozen(kw_only=True)
class _ReservationReply:
    """What an upstream answers that has reserved a place."""

    retention: str


class PlatformDialect:
    """The platform's way of speaking HTTP."""

    def parse_request(
        self, method: str, target: str, headers: Headers
    ) -> Result[RequestHead, BadRequestHead]:
        """Decode a caller's request; the names of headers are case-blind."""
        values = {name.lower(): value for name, value in headers}
        request_id = values.get(ATTEMPT_ID.lower(), "")
        if not request_id:
            return Err(BadRequestHead(detail=f"{ATTEMPT_ID} is missing"))
        deadline = values.get(DEADLINE.lower())
        deadline_in_s = None
        if deadline is not None:
            deadline_in_s = _parse_seconds(deadline)
            if deadline_in_s is None:
                return Err(BadRequestHead(detail=f"{DEADLINE} is no time"))
        tokens = _parse_tokens(values.get(TOKENS.lower()))
        after_event = values.get(LAST_EVENT.lower())
        if after_event is not None and not _is_event_id(after_event):
            return Err(BadRequestHead(detail=f"{LAST_EVENT} is no number"))
        return Ok(
            RequestHead(
                request_id=request_id,
                method=method,
                target=target,
                host=values.get("host", ""),
                headers=end_to_end(headers, STRIPPED_HEADERS),
                api_key=_parse_bearer(values.get(AUTHORIZATION.lower())),
                deadline_in_s=deadline_in_s,
                prompt_tokens=tokens[0] if tokens else None,
                max_output_tokens=tokens[1] if tokens else None,
                expected_output_tokens=_parse_count(
                    values.get(EXPECTED_TOKENS.lower(), "")
                ),
                last_event_id=after_event,
            )
        )

    def upstream_headers(
        self,
        *,
        head: RequestHead,
        upstream: Upstream,
        customer: str | None,
        remaining_s: float,
        last_event_id: str | None,
        reservation: str | None = None,
    ) -> dict[str, str]:
        """Return the headers for an upstream, with the time that is left."""
        headers = dict(head.headers)
        headers[DEADLINE] = str(max(1, math.floor(remaining_s * MS_PER_S)))
        headers[EXPECTED_UPSTREAM] = upstream.name
        if customer is not None:
            headers[CUSTOMER] = customer
        if last_event_id is not None:
            headers[LAST_EVENT] = last_event_id
        if reservation is not None:
            headers[RESERVATION] = reservation
        return headers

    def supports_reservation(self, head: RequestHead) -> bool:
        """Return whether it goes to a model engine, which plain services aren't."""
        return head.total_tokens is not None

    def reservation_request(
        self, *, head: RequestHead, upstream: Upstream
    ) -> ControlRequest:
        """Return the call that reserves a place with room for the longest answer."""
        payload = {"token-count": head.total_tokens, "ttl-ms": RESERVATION_TTL_MS}
        return ControlRequest(
            method="POST",
            target=RESERVE_PATH,
            headers={
                "Host": head.host,
                "Content-Type": "application/json",
                EXPECTED_UPSTREAM: upstream.name,
            },
            body=json.dumps(payload).encode(),
        )

    def parse_reservation(self, response: UpstreamResponse, body: bytes) -> str | None:
        """Return what names the reserved place, or None where there is no room."""
        if response.status != 200:
            return None
        parsed = parse_as(body, _ReservationReply)
        if isinstance(parsed, Err):
            log.warning("reservation not understood", error=parsed.err_value)
            return None
        name = parsed.ok_value.retention
        return name if name.isascii() and name.isalnum() else None

    def is_not_run(self, response: UpstreamResponse) -> bool:
        """Return whether the upstream says that it did not run the request."""
        return response.status == MISDIRECTED_STATUS or bool(
            response.header(NOT_EXECUTED)
        )

    def is_misdirected(self, response: UpstreamResponse) -> bool:
        """Return whether another upstream answers there than was asked."""
        return response.status == MISDIRECTED_STATUS

    def is_valid_response(self, response: UpstreamResponse, head: RequestHead) -> bool:
        """Return whether this is the upstream's own answer to that request.

        An answer to another request may come late on a kept connection, and a
        faulty upstream may send one that is encoded or not signed.
        """
        return (
            response.header(ATTEMPT_ID) == head.request_id
            and bool(response.header(SIGNATURE))
            and not response.header(CONTENT_ENCODING)
        )


def _parse_seconds(value: str) -> float | None:
    try:
        value_ms = float(value)
    except ValueError:
        return None
    return value_ms / MS_PER_S if math.isfinite(value_ms) else None


def _parse_tokens(value: str | None) -> tuple[int, int] | None:
    """Return prompt and output tokens.

    >>> _parse_tokens("1460,80")
    (1460, 80)
    """
    if value is None:
        return None
    first, _, second = value.partition(",")
    prompt_tokens, output_tokens = _parse_count(first), _parse_count(second)
    if prompt_tokens is None or output_tokens is None:
        return None
    return prompt_tokens, output_tokens


def _is_event_id(value: str) -> bool:
    """Return whether a stream's event may have that id, with nothing around it."""
    return _parse_count(value, EVENT_DIGITS_MAX) is not None and value == value.strip()


def _parse_count(value: str, digits_max: int = COUNT_DIGITS_MAX) -> int | None:
    """Return a whole number, or None for anything else.

    Python counts digits of other scripts and raised ones as digits too, which `int`
    may refuse; such a header would otherwise end its request with an error.

    >>> _parse_count(" 80 "), _parse_count("-1"), _parse_count("\u00b2")
    (80, None, None)
    """
    digits = value.strip()
    if not digits.isascii() or not digits.isdigit() or len(digits) > digits_max:
        return None
    return int(digits)


def _parse_bearer(value: str | None) -> str | None:
    scheme, _, key = (value or "").partition(" ")
    return key.strip() if scheme.lower() == "bearer" and key.strip() else None
