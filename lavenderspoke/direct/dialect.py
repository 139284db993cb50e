"""What direct dispatch needs to know of a platform's way of speaking HTTP."""

from collections.abc import Mapping
from typing import Protocol

import attrs
from result import Result

from lavenderspoke.direct.exchange import UpstreamResponse
from lavenderspoke.direct.instances import Upstream
from lavenderspoke.http.hopbyhop import Headers


@attrs.frozen(kw_only=True)
class RequestHead:
    """What a caller's request says before its body.

    `target` is the path with its query, untouched. `headers` are those that go
    on to an upstream. Tokens are None where the request states none, and
    `deadline_in_s` where it sets no deadline. `max_output_tokens` is the longest that
    the answer may become, `expected_output_tokens` what the caller expects of it.
    `last_event_id` is the id of the last event that the caller has, as it sent it.
    """

    request_id: str
    method: str
    target: str
    host: str
    headers: Headers
    api_key: str | None = None
    deadline_in_s: float | None = None
    prompt_tokens: int | None = None
    max_output_tokens: int | None = None
    expected_output_tokens: int | None = None
    last_event_id: str | None = None

    @property
    def path(self) -> str:
        """The path without its query."""
        return self.target.partition("?")[0]

    @property
    def total_tokens(self) -> int | None:
        """Prompt and longest answer together, or None where not stated."""
        if self.prompt_tokens is None:
            return None
        return self.prompt_tokens + (self.max_output_tokens or 0)

    @property
    def answer_tokens(self) -> int:
        """The likely length of the answer: what is expected, within what is allowed.

        0 where nothing is said of it.
        """
        if self.expected_output_tokens is None:
            return self.max_output_tokens or 0
        if self.max_output_tokens is None:
            return self.expected_output_tokens
        return min(self.expected_output_tokens, self.max_output_tokens)


@attrs.frozen(kw_only=True)
class BadRequestHead:
    """A request that can't be handled; `detail` is for its caller."""

    detail: str


@attrs.frozen(kw_only=True)
class ControlRequest:
    """A call to an upstream that isn't a caller's request."""

    method: str
    target: str
    headers: Mapping[str, str]
    body: bytes = b""


class Dialect(Protocol):
    """How callers and upstreams of a platform spell things."""

    def parse_request(
        self, method: str, target: str, headers: Headers
    ) -> Result[RequestHead, BadRequestHead]:
        """Decode a caller's request."""

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
        """Return the headers for an upstream, where a place may be reserved."""

    def supports_reservation(self, head: RequestHead) -> bool:
        """Return whether upstreams reserve places for such a request."""

    def reservation_request(
        self, *, head: RequestHead, upstream: Upstream
    ) -> ControlRequest:
        """Return the call that reserves a place for a request that follows at once."""

    def parse_reservation(self, response: UpstreamResponse, body: bytes) -> str | None:
        """Return what names the reserved place, or None where there is no room."""

    def is_not_run(self, response: UpstreamResponse) -> bool:
        """Return whether the upstream says that it did not run the request."""

    def is_misdirected(self, response: UpstreamResponse) -> bool:
        """Return whether another upstream answers there than was asked.

        It did not run the request; the one that was asked is no longer there.
        """

    def is_valid_response(self, response: UpstreamResponse, head: RequestHead) -> bool:
        """Return whether this is the upstream's own answer to that request."""
