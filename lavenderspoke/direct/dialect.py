"""A platform's conventions for HTTP, as far as direct dispatch depends on them."""

from collections.abc import Mapping
from typing import Protocol

import attrs
from result import Result

from lavenderspoke.direct.exchange import UpstreamResponse
from lavenderspoke.direct.instances import Upstream
from lavenderspoke.http.hopbyhop import Headers
from lavenderspoke.http.upstreamsignals import UpstreamSignals


@attrs.frozen(kw_only=True)
class RequestHead:
    """A caller's request without its body.

    `target` is the path with its query, unchanged. `headers` are those that are
    forwarded to an upstream. Token counts are None if the request states none, and
    `deadline_in_s` if it sets no deadline. `max_output_tokens` limits the length of the
    answer, `expected_output_tokens` is the caller's estimate of it. `last_event_id` is
    the id of the last event that the caller has received, as sent, and `resumed_id`
    that of the attempt which brought the first event of a stream that it takes up.
    `shared_parts` are the ids of the parts of its prompt that other requests may share.
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
    resumed_id: str | None = None
    shared_parts: tuple[str, ...] = ()

    @property
    def is_taken_up(self) -> bool:
        """Whether the caller has the beginning of a stream already."""
        return self.last_event_id is not None or self.resumed_id is not None

    @property
    def path(self) -> str:
        """The path without its query."""
        return self.target.partition("?")[0]

    @property
    def total_tokens(self) -> int | None:
        """The prompt and the longest answer that is stated; None without a prompt."""
        if self.prompt_tokens is None:
            return None
        return self.prompt_tokens + (self.max_output_tokens or 0)

    @property
    def answer_tokens(self) -> int:
        """The likely length of the answer: the expected one, at most the longest.

        0 if the request states neither.
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
    """A request that the entry itself makes to an upstream."""

    method: str
    target: str
    headers: Mapping[str, str]
    body: bytes = b""


class Dialect(Protocol):
    """How callers and upstreams of a platform encode requests and responses."""

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
        """Return the headers for an upstream, naming a reserved slot if any."""

    def supports_reservation(self, head: RequestHead) -> bool:
        """Return whether upstreams reserve slots for such a request."""

    def reservation_request(
        self, *, head: RequestHead, upstream: Upstream
    ) -> ControlRequest:
        """Return the request that reserves a slot for a request sent right after."""

    def parse_reservation(self, response: UpstreamResponse, body: bytes) -> str | None:
        """Return the id of the reserved slot, or None if none was reserved."""

    def names(self, response: UpstreamResponse, head: RequestHead) -> bool:
        """Return whether the response says that it belongs to this request."""

    def names_another(self, response: UpstreamResponse, head: RequestHead) -> bool:
        """Return whether the response says that it belongs to another request."""

    def is_not_run(self, response: UpstreamResponse) -> bool:
        """Return whether the upstream says that it did not run its request.

        It does so also where the response is misdirected.
        """

    def promises_not_run(self, status: int) -> bool:
        """Return whether callers take the status for "not run, and never will be"."""

    def is_misdirected(self, response: UpstreamResponse) -> bool:
        """Return whether an upstream other than the addressed one responded.

        It did not run the request; the addressed one is no longer there.
        """

    def is_valid_response(self, response: UpstreamResponse, head: RequestHead) -> bool:
        """Return whether this is the upstream's own response to that request."""

    def upstream_signals(self, response: UpstreamResponse) -> UpstreamSignals:
        """Return what the response says about the upstream itself."""
