"""What direct dispatch needs to know of a platform's way of speaking HTTP."""

from collections.abc import Mapping
from typing import Protocol

import attrs
from result import Result

from lavenderspoke.direct.exchange import Exchange
from lavenderspoke.direct.instances import Upstream
from lavenderspoke.http.hopbyhop import Headers


@attrs.frozen(kw_only=True)
class CallerHead:
    """What a caller's request says before its body.

    `target` is the path with its query, untouched. `headers` are those that go
    on to an upstream. Tokens are None where the request states none, and
    `deadline_in_s` where it sets no deadline. `output_tokens` is the longest that
    the answer may become, `expected_tokens` what the caller expects of it.
    `after_event` is the id of the last event that the caller has, as it sent it.
    """

    request_id: str
    method: str
    target: str
    host: str
    headers: Headers
    key: str | None = None
    deadline_in_s: float | None = None
    prompt_tokens: int | None = None
    output_tokens: int | None = None
    expected_tokens: int | None = None
    after_event: str | None = None

    @property
    def path(self) -> str:
        """The path without its query."""
        return self.target.partition("?")[0]

    @property
    def tokens(self) -> int | None:
        """Prompt and longest answer together, or None where not stated."""
        if self.prompt_tokens is None:
            return None
        return self.prompt_tokens + (self.output_tokens or 0)

    @property
    def answer_tokens(self) -> int:
        """The likely length of the answer: what is expected, within what is allowed.

        0 where nothing is said of it.
        """
        if self.expected_tokens is None:
            return self.output_tokens or 0
        if self.output_tokens is None:
            return self.expected_tokens
        return min(self.expected_tokens, self.output_tokens)


@attrs.frozen(kw_only=True)
class BadHead:
    """A request that can't be handled; `detail` is for its caller."""

    detail: str


@attrs.frozen(kw_only=True)
class UpstreamCall:
    """A call to an upstream that isn't a caller's request."""

    method: str
    target: str
    headers: Mapping[str, str]
    body: bytes = b""


class Dialect(Protocol):
    """How callers and upstreams of a platform spell things."""

    def read(
        self, method: str, target: str, headers: Headers
    ) -> Result[CallerHead, BadHead]:
        """Decode a caller's request."""

    def upstream_headers(
        self,
        *,
        head: CallerHead,
        upstream: Upstream,
        customer: str | None,
        left_s: float,
        after_event: str | None,
        reservation: str | None = None,
    ) -> dict[str, str]:
        """Return the headers for an upstream, where a place may be reserved."""

    def reserves(self, head: CallerHead) -> bool:
        """Return whether upstreams reserve places for such a request."""

    def reservation_call(self, *, head: CallerHead, upstream: Upstream) -> UpstreamCall:
        """Return the call that reserves a place for a request that follows at once."""

    def reservation(self, exchange: Exchange, body: bytes) -> str | None:
        """Return what names the reserved place, or None where there is no room."""

    def never_ran(self, exchange: Exchange) -> bool:
        """Return whether the upstream says that it did not run the request."""

    def misdirected(self, exchange: Exchange) -> bool:
        """Return whether another upstream answers there than was asked.

        It did not run the request; the one that was asked is no longer there.
        """

    def answers(self, exchange: Exchange, head: CallerHead) -> bool:
        """Return whether this is the upstream's own answer to that request."""
