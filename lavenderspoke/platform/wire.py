"""The HTTP headers used by the platform's callers and upstreams."""

import json
import math
import string

import attrs
import logbook
from result import Err, Ok, Result

from lavenderspoke.direct.dialect import BadRequestHead, ControlRequest, RequestHead
from lavenderspoke.direct.exchange import UpstreamResponse
from lavenderspoke.direct.instances import Upstream
from lavenderspoke.http.hopbyhop import Headers, end_to_end
from lavenderspoke.http.upstreamsignals import (
    SignalHeaders,
    UpstreamSignals,
    read_signals,
)
from lavenderspoke.platform.decoding import parse_as
from lavenderspoke.platform.marks import is_marked

# Identifies one attempt of the caller, not the request across its retries.
ATTEMPT_ID = "X-Attempt-Id"
DEADLINE = "X-Deadline-Ms"
# Prompt tokens and maximum output tokens, despite its name.
TOKENS = "X-Token-Usage"
# Output tokens that the caller expects: right at the median, often far off.
EXPECTED_TOKENS = "X-Length-Hint"
# Ids of the parts of the prompt with their tokens, in order; the last one is the
# request's own.
PROMPT_PARTS = "X-Prefix-Hash"
LAST_EVENT = "Last-Event-Id"
# Names the caller's attempt that brought the first event of a stream.
RESUMES = "Resumes"
AUTHORIZATION = "Authorization"
CUSTOMER = "X-Tenant"
# Expected upstream: another one at the same address rejects the request.
EXPECTED_UPSTREAM = "X-Expect-Instance"
# Set by an upstream that did not run the request.
NOT_EXECUTED = "X-Not-Executed"
# Path to reserve a slot, and how long the reservation lasts in milliseconds: the
# request follows at once.
RESERVE_PATH = "/v1/hold-take"
RESERVATION_TTL_MS = 500
# Identifies the reservation.
RESERVATION = "X-Kv-Retention"
# Marks a response as the upstream's own.
SIGNATURE = "X-Response-Signature"
CONTENT_ENCODING = "Content-Encoding"
SIGNAL_HEADERS = SignalHeaders(limit="Server-Limit", leaving="Server-Leaving")
MISDIRECTED_STATUS = 421
ERROR_STATUS_MIN = 400
# Statuses by which callers are told that the request has not run and never will.
NOT_RUN_STATUSES = frozenset((408, MISDIRECTED_STATUS, 429, 503))
MS_PER_S = 1000.0
# Maximum digits of a token count; longer values are invalid.
COUNT_DIGITS_MAX = 12
# Most parts of a prompt that are looked at, and most characters of a part's id. More
# are ignored.
PARTS_MAX = 64
PART_ID_LENGTH_MAX = 64
# Maximum digits of a stream event's id, as in `EventSplitter`.
EVENT_DIGITS_MAX = 18

# Headers that only this system may send to upstreams, or that apply to one connection.
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
class ReservationReply:
    """An upstream's response to a successful reservation."""

    retention: str


class PlatformDialect:
    """The platform's HTTP dialect."""

    def parse_request(
        self, method: str, target: str, headers: Headers
    ) -> Result[RequestHead, BadRequestHead]:
        """Decode a caller's request; header names are case-insensitive."""
        values = {name.lower(): value for name, value in headers}
        request_id = values.get(ATTEMPT_ID.lower(), "")
        if not request_id:
            return Err(BadRequestHead(detail=f"{ATTEMPT_ID} is missing"))
        deadline = values.get(DEADLINE.lower())
        deadline_in_s = None
        if deadline is not None:
            deadline_in_s = _parse_seconds(deadline)
            if deadline_in_s is None:
                return Err(BadRequestHead(detail=f"{DEADLINE} is not a time"))
        tokens = _parse_tokens(values.get(TOKENS.lower()))
        after_event = values.get(LAST_EVENT.lower())
        if after_event is not None and not _is_event_id(after_event):
            return Err(BadRequestHead(detail=f"{LAST_EVENT} is not a number"))
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
                resumed_id=values.get(RESUMES.lower(), "").strip() or None,
                shared_parts=_parse_shared_parts(values.get(PROMPT_PARTS.lower(), "")),
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
        """Return the headers for an upstream, with the remaining time as deadline."""
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
        """Return whether the request has token counts, as those to model engines do."""
        return head.total_tokens is not None

    def reservation_request(
        self, *, head: RequestHead, upstream: Upstream
    ) -> ControlRequest:
        """Return the request to reserve a slot for the longest possible response."""
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
        """Return the id of the reservation, or None if there is none."""
        if response.status != 200:
            return None
        parsed = parse_as(body, ReservationReply)
        if isinstance(parsed, Err):
            log.warning("malformed reservation", error=parsed.err_value)
            return None
        name = parsed.ok_value.retention
        return name if name.isascii() and name.isalnum() else None

    def names(self, response: UpstreamResponse, head: RequestHead) -> bool:
        """Return whether the response is that to this request."""
        return response.header(ATTEMPT_ID) == head.request_id

    def names_another(self, response: UpstreamResponse, head: RequestHead) -> bool:
        """Return whether the response is that to another request."""
        return response.header(ATTEMPT_ID) not in ("", head.request_id)

    def is_not_run(self, response: UpstreamResponse) -> bool:
        """Return whether the response says that the request was not run.

        A success can't say so: one that does contradicts itself.
        """
        says_so = is_marked(response.header(NOT_EXECUTED))
        return response.status == MISDIRECTED_STATUS or (
            says_so and response.status >= ERROR_STATUS_MIN
        )

    def promises_not_run(self, status: int) -> bool:
        """Return whether callers take the status for a promise."""
        return status in NOT_RUN_STATUSES

    def is_misdirected(self, response: UpstreamResponse) -> bool:
        """Return whether another upstream than the expected one responded."""
        return response.status == MISDIRECTED_STATUS

    def is_valid_response(self, response: UpstreamResponse, head: RequestHead) -> bool:
        """Return whether this is the upstream's own response to that request.

        A response to an earlier request may arrive late on a persistent connection, and
        a faulty upstream may send one that is encoded, not signed, or both a success
        and marked as not executed.
        """
        return (
            self.names(response, head)
            and bool(response.header(SIGNATURE))
            and not is_marked(response.header(NOT_EXECUTED))
            and not response.header(CONTENT_ENCODING)
        )

    def upstream_signals(self, response: UpstreamResponse) -> UpstreamSignals:
        """Return what the response's headers say about the upstream itself."""
        return read_signals(response.status, response.header, SIGNAL_HEADERS)

    def named_request(self, headers: Headers) -> str:
        """Return the id that headers name, empty if they name none or several."""
        ids = {value for name, value in headers if name.lower() == ATTEMPT_ID.lower()}
        return ids.pop() if len(ids) == 1 else ""


def _parse_seconds(value: str) -> float | None:
    try:
        value_ms = float(value)
    except ValueError:
        return None
    return value_ms / MS_PER_S if math.isfinite(value_ms) else None


def _parse_tokens(value: str | None) -> tuple[int, int] | None:
    """Return prompt and output tokens, or None if the value is invalid.

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


def _parse_shared_parts(value: str) -> tuple[str, ...]:
    """Return the ids of all parts but the last, in lower case; none if any is invalid.

    >>> _parse_shared_parts("5C1e07a2:800, 91bd3f06:410,e4402b7d:250")
    ('5c1e07a2', '91bd3f06')
    """
    ids = []
    for part in value.split(",")[: PARTS_MAX + 1]:
        part_id, _, tokens = part.strip().partition(":")
        is_hex = part_id and set(part_id) <= set(string.hexdigits)
        if not is_hex or len(part_id) > PART_ID_LENGTH_MAX or not tokens:
            return ()
        ids.append(part_id.lower())
    return tuple(dict.fromkeys(ids[:-1]))


def _is_event_id(value: str) -> bool:
    """Return whether the value is a valid event id without surrounding spaces."""
    return _parse_count(value, EVENT_DIGITS_MAX) is not None and value == value.strip()


def _parse_count(value: str, digits_max: int = COUNT_DIGITS_MAX) -> int | None:
    """Return a non-negative integer, or None for anything else.

    `str.isdigit` accepts superscripts and digits of other scripts, which `int` may
    reject; such a header would otherwise fail its request with an error.

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
