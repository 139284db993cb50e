"""What a response says about the upstream itself, beyond its request."""

import enum
import math
from collections.abc import Callable
from http import HTTPStatus

import attrs

# No upstream in need names a larger limit, in requests per second.
LIMIT_PER_S_MAX = 100_000.0
# Limits below this, in requests per second, are kept as this: without any request,
# nobody would notice that a limit of zero has ended.
LIMIT_PER_S_MIN = 0.2

# The longest pause that is believed, in seconds.
PAUSE_MAX_S = 600.0
RETRY_AFTER = "Retry-After"
LEAVING = "1"
NOT_LEAVING = "0"


class Signal(enum.Enum):
    """What an upstream can say about itself."""

    LIMIT = "limit"
    LEAVING = "leaving"
    PAUSE = "pause"


@attrs.frozen(kw_only=True)
class SignalHeaders:
    """The names of the headers that carry signals; empty for those not in use."""

    limit: str = ""
    leaving: str = ""


@attrs.frozen(kw_only=True)
class UpstreamSignals:
    """The signals of one response.

    `limit_per_s` is the number of requests per second that the upstream accepts from
    all instances together, or None if it names no limit. An upstream that `is_leaving`
    wants no new requests. For `pause_s` it wants none from this instance. `invalid` has
    the signals whose value can't be used, with the value; such a signal says nothing.
    """

    limit_per_s: float | None = None
    is_leaving: bool = False
    pause_s: float | None = None
    invalid: dict[Signal, str] = attrs.field(factory=dict)

    def leaves_unchanged(self, signal: Signal) -> bool:
        """Return whether what the upstream said earlier with that signal still holds.

        An unusable value must neither set nor end anything.
        """
        return signal in self.invalid


def read_signals(
    status: int, header: Callable[[str], str | None], names: SignalHeaders
) -> UpstreamSignals:
    """Return the signals of a response; `header(name)` returns a value of it or None.

    Only a refusal's Retry-After asks for a pause.

    >>> names = SignalHeaders(limit="Limit")
    >>> read_signals(200, {"Limit": "2.5"}.get, names).limit_per_s
    2.5
    >>> read_signals(200, {"Limit": "-1"}.get, names).invalid
    {<Signal.LIMIT: 'limit'>: '-1'}
    >>> read_signals(503, {"Retry-After": "3"}.get, names).pause_s
    3.0
    """
    invalid: dict[Signal, str] = {}
    limit_per_s = None
    if text := names.limit and header(names.limit):
        limit_per_s = parse_decimal(text, LIMIT_PER_S_MAX)
        if limit_per_s is None:
            invalid[Signal.LIMIT] = text
    leaving = (names.leaving and header(names.leaving)) or NOT_LEAVING
    if leaving not in (LEAVING, NOT_LEAVING):
        invalid[Signal.LEAVING] = leaving
    pause_s = None
    if status == HTTPStatus.SERVICE_UNAVAILABLE and (text := header(RETRY_AFTER)):
        pause_s = parse_decimal(text, PAUSE_MAX_S)
        if pause_s is None:
            invalid[Signal.PAUSE] = text
    return UpstreamSignals(
        limit_per_s=limit_per_s,
        is_leaving=leaving == LEAVING,
        pause_s=pause_s,
        invalid=invalid,
    )


def parse_decimal(text: str, value_max: float) -> float | None:
    """Return a number from 0 to `value_max`, or None for anything else.

    `float` alone would accept "nan", "1_0" and digits of other scripts.

    >>> [parse_decimal(text, 100.0) for text in ("2.5", "-1", "nan", "1e9", "1_0", "")]
    [2.5, None, None, None, None, None]
    """
    if not text.isascii() or "_" in text:
        return None
    try:
        value = float(text)
    except ValueError:
        return None
    return value if math.isfinite(value) and 0.0 <= value <= value_max else None
