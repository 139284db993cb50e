"""The headers with which callers say what they want, and those passed on."""

import math

import attrs
from result import Err, Ok, Result

from lavenderspoke.gateway import Sending
from lavenderspoke.http.hopbyhop import Headers, end_to_end

PREFIX = "lavenderspoke-"
AUTHORIZATION = "authorization"
TIER = "lavenderspoke-tier"
DEADLINE = "lavenderspoke-deadline-s"
SENDING = "lavenderspoke-sending"
IDEMPOTENT = "lavenderspoke-idempotent"
KEY = "idempotency-key"
REQUEST_ID = "Lavenderspoke-Request-Id"
KEY_CHARACTERS_MAX = 255
# The agent sets the length and the upstream's name itself, and the server has
# answered the expectation already.
SET_BY_SENDER = frozenset(("content-length", "host", "expect", AUTHORIZATION))


@attrs.frozen(kw_only=True)
class HeaderError:
    """A request header that can't be understood."""

    header: str
    detail: str


@attrs.frozen(kw_only=True)
class CallerHeaders:
    """What a caller says of its request; None is for what it doesn't say."""

    credential: str | None = None
    tier: str | None = None
    deadline_s: float | None = None
    key: str | None = None
    sending: Sending = Sending.FIRST
    idempotent: bool = True


def parse(headers: Headers) -> Result[CallerHeaders, HeaderError]:
    """Return what the headers say, or the first one that is wrong.

    >>> parse((("Lavenderspoke-Tier", "alerts"),)).unwrap().tier
    'alerts'
    """
    values = {name.lower(): value.strip() for name, value in headers}
    deadline = _deadline_s(values.get(DEADLINE))
    key = _key(values.get(KEY))
    idempotent = _idempotent(values.get(IDEMPOTENT))
    sending = _sending(values.get(SENDING), keyed=KEY in values)
    for each in (deadline, key, idempotent, sending):
        if each.is_err():
            return each
    return Ok(
        CallerHeaders(
            credential=_credential(values.get(AUTHORIZATION, "")),
            tier=values.get(TIER),
            deadline_s=deadline.unwrap(),
            key=key.unwrap(),
            sending=sending.unwrap(),
            idempotent=idempotent.unwrap(),
        )
    )


def passed_on(headers: Headers) -> Headers:
    """Return the request headers that go to the upstream."""
    return _without(headers, SET_BY_SENDER)


def returned(headers: Headers) -> Headers:
    """Return the upstream's response headers that go to the caller.

    A header that would not survive on the wire is left out: a line break in a
    value would let an upstream write the rest of the response itself.
    """
    kept = _without(headers, frozenset(("content-length",)))
    return tuple((name, value) for name, value in kept if _is_sound(name, value))


def _without(headers: Headers, dropped: frozenset[str]) -> Headers:
    return tuple(
        (name, value)
        for name, value in end_to_end(headers, dropped)
        if not name.lower().startswith(PREFIX)
    )


def _is_sound(name: str, value: str) -> bool:
    printable = all(" " <= each <= "\xff" or each == "\t" for each in value)
    return printable and name.isascii() and name.replace("-", "").isalnum()


def _credential(authorization: str) -> str | None:
    scheme, _, credential = authorization.partition(" ")
    if scheme.lower() != "bearer":
        return None
    return credential.strip() or None


def _deadline_s(value: str | None) -> Result[float | None, HeaderError]:
    if value is None:
        return Ok(None)
    try:
        deadline_s = float(value)
    except ValueError:
        deadline_s = math.nan
    if not 0 < deadline_s < math.inf:
        return Err(HeaderError(header=DEADLINE, detail="must be seconds above zero"))
    return Ok(deadline_s)


def _key(value: str | None) -> Result[str | None, HeaderError]:
    if value is None:
        return Ok(None)
    if not value or len(value) > KEY_CHARACTERS_MAX or not value.isprintable():
        detail = f"must be 1 to {KEY_CHARACTERS_MAX} printable characters"
        return Err(HeaderError(header=KEY, detail=detail))
    return Ok(value)


def _idempotent(value: str | None) -> Result[bool, HeaderError]:
    allowed = {None: True, "true": True, "false": False}
    if value not in allowed:
        return Err(HeaderError(header=IDEMPOTENT, detail="must be true or false"))
    return Ok(allowed[value])


def _sending(value: str | None, *, keyed: bool) -> Result[Sending, HeaderError]:
    if value is None:
        # A caller that re-sends without saying so would run twice if this
        # were taken for a first send; the other mistake costs a round trip.
        return Ok(Sending.RESEND if keyed else Sending.FIRST)
    if value not in {each.value for each in Sending}:
        return Err(HeaderError(header=SENDING, detail="must be first or resend"))
    if value == Sending.RESEND.value and not keyed:
        detail = "a re-send needs the Idempotency-Key of the first send"
        return Err(HeaderError(header=SENDING, detail=detail))
    return Ok(Sending(value))
