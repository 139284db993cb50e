"""Upstreams over HTTP: model engines and plain services."""

import time
from collections.abc import Iterator
from typing import TypeVar
from urllib.parse import quote

import attrs
import urllib3
from result import Err, Ok, Result
from urllib3.exceptions import HTTPError

from lavenderspoke.eventstream import EventSplitter, EventTooLong
from lavenderspoke.httpclient import (
    READ_BYTES,
    AnswerLost,
    HttpClient,
    NotSent,
    Reply,
)
from lavenderspoke.jsoncodec import decode, encode
from lavenderspoke.model import Call
from lavenderspoke.upstream import (
    CacheEvents,
    LoadReport,
    Order,
    OrderFenced,
    OrderState,
    RunEvent,
    UpstreamBody,
    UpstreamBroken,
    UpstreamCorrupt,
    UpstreamEnd,
    UpstreamError,
    UpstreamHead,
    UpstreamUnknownRun,
    UpstreamUnreachable,
    UpstreamUnsupported,
)

T = TypeVar("T")

REQUEST_ID_HEADER = "X-Request-Id"
KEY_HEADER = "Idempotency-Key"
EVENT_STREAM = "text/event-stream"
REPORT_TIMEOUT_S = 2.0
GATHER_S = 0.01
HOP_BY_HOP = frozenset(
    (
        "connection",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    )
)
SET_BY_CLIENT = HOP_BY_HOP | {"host", "content-length"}


class PlainUpstream:
    """A plain service: it runs calls, and nothing else can be asked of it.

    Each run has a connection of its own. On a kept one, a service that closes it
    just then couldn't be told from one that dies with the request in its hands,
    and callers would be told "unknown" for payments that never ran.
    """

    def __init__(self, *, base_url: str):
        self._client = HttpClient(base_url=base_url)
        self._run_client = self._client
        self._gather_s = 0.0

    def run(self, call: Call, *, timeout_s: float) -> Iterator[RunEvent]:
        """Send the call once."""
        return self._stream(
            method=call.method,
            path=call.path,
            headers=_request_headers(call),
            body=call.body,
            timeout_s=timeout_s,
        )

    def resume(
        self, request_id: str, after_event_id: int | None, *, timeout_s: float
    ) -> Iterator[RunEvent]:
        """Plain services keep no runs."""
        yield UpstreamUnsupported()

    def cancel(self, request_id: str) -> Result[None, UpstreamError]:
        """Plain services can't be told to stop."""
        return Err(UpstreamUnsupported())

    def load(self) -> Result[LoadReport, UpstreamError]:
        """Plain services report no load."""
        return Err(UpstreamUnsupported())

    def cache_events(self, after_sequence: int) -> Result[CacheEvents, UpstreamError]:
        """Plain services have no prefix cache."""
        return Err(UpstreamUnsupported())

    def order(
        self, fencing_number: int, order: Order
    ) -> Result[OrderState, UpstreamError]:
        """Plain services take no orders."""
        return Err(UpstreamUnsupported())

    def order_state(self) -> Result[OrderState, UpstreamError]:
        """Plain services take no orders."""
        return Err(UpstreamUnsupported())

    def health(self) -> Result[None, UpstreamError]:
        """Ask `GET /health`."""
        return self._fetch("GET", "/health").and_then(_expect_ok)

    def _fetch(
        self, method: str, path: str, body: bytes | None = None
    ) -> Result[Reply, UpstreamError]:
        return self._client.fetch(
            method=method,
            path=path,
            body=body,
            headers={"Content-Type": "application/json"},
            timeout_s=REPORT_TIMEOUT_S,
        ).map_err(_run_error)

    def _stream(self, **request) -> Iterator[RunEvent]:
        opened = self._run_client.open(**request)
        if isinstance(opened, Err):
            yield _run_error(opened.err_value)
            return
        response = opened.ok_value
        try:
            yield UpstreamHead(
                status=response.status, headers=_response_headers(response)
            )
            if response.headers.get("Content-Type", "").startswith(EVENT_STREAM):
                ending = yield from _event_stream(response, self._gather_s)
            else:
                ending = yield from _body(response)
        finally:
            response.close()
        yield ending


class ModelUpstream(PlainUpstream):
    """A model engine, as in the stand-in's paths.

    `POST <call.path>` runs; `GET /v1/runs/<id>?after=<event id>` resumes;
    `POST /v1/runs/<id>/cancel`; `GET /load`; `GET /cache/events?after=<n>`;
    `POST /orders` and `GET /orders/state`.

    Runs ask for HTTP/1.0, since an engine writes a chunk for each token: without
    chunks, one read takes all tokens that came in `gather_s`. That delays a token
    by so much at most, and never the first.
    """

    def __init__(self, *, base_url: str, gather_s: float = GATHER_S):
        super().__init__(base_url=base_url)
        self._run_client = HttpClient(base_url=base_url, http10=True)
        self._gather_s = gather_s

    def resume(
        self, request_id: str, after_event_id: int | None, *, timeout_s: float
    ) -> Iterator[RunEvent]:
        """Ask for the rest of a run."""
        after = -1 if after_event_id is None else after_event_id
        events = self._stream(
            method="GET",
            path=f"{_run_path(request_id)}?after={after}",
            headers={},
            body=None,
            timeout_s=timeout_s,
        )
        for event in events:
            if isinstance(event, UpstreamHead) and event.status == 404:
                events.close()
                yield UpstreamUnknownRun()
                return
            yield event

    def cancel(self, request_id: str) -> Result[None, UpstreamError]:
        """Ask the engine to stop a run."""
        path = f"{_run_path(request_id)}/cancel"
        return self._fetch("POST", path).and_then(_cancelled)

    def load(self) -> Result[LoadReport, UpstreamError]:
        """Return the engine's lagging report."""
        return self._read("/load", LoadReport)

    def cache_events(self, after_sequence: int) -> Result[CacheEvents, UpstreamError]:
        """Return what the engine has published by now."""
        return self._read(f"/cache/events?after={after_sequence}", CacheEvents)

    def order(
        self, fencing_number: int, order: Order
    ) -> Result[OrderState, UpstreamError]:
        """Send an order once."""
        body = encode({"fencing": fencing_number, "order": attrs.asdict(order)})
        return self._fetch("POST", "/orders", body).and_then(_order_outcome)

    def order_state(self) -> Result[OrderState, UpstreamError]:
        """Read the orders in force."""
        return self._read("/orders/state", OrderState)

    def _read(self, path: str, cls: type[T]) -> Result[T, UpstreamError]:
        fetched = self._fetch("GET", path)
        return fetched.and_then(_expect_ok).and_then(
            lambda _: _decoded(fetched.ok_value, cls)
        )


def _run_path(request_id: str) -> str:
    return f"/v1/runs/{quote(request_id, safe='')}"


def _run_error(error: NotSent | AnswerLost) -> UpstreamUnreachable | UpstreamBroken:
    """Turn the HTTP layer's error into the upstream's."""
    if isinstance(error, NotSent):
        return UpstreamUnreachable(detail=error.detail)
    return UpstreamBroken(detail=error.detail)


def _request_headers(call: Call) -> dict[str, str]:
    headers = urllib3.HTTPHeaderDict()
    for name, value in call.headers:
        if name.lower() not in SET_BY_CLIENT:
            headers.add(name, value)
    if call.stream:
        # A compressed event stream couldn't be split into its events.
        headers["Accept-Encoding"] = "identity"
    headers["Connection"] = "close"
    headers[REQUEST_ID_HEADER] = call.request_id
    # The caller's own key, where it is passed on, is the one that an upstream
    # knows from elsewhere; `call.key` is scoped to the customer.
    if call.key is not None and KEY_HEADER not in headers:
        headers[KEY_HEADER] = call.key
    return headers


def _response_headers(
    response: urllib3.BaseHTTPResponse,
) -> tuple[tuple[str, str], ...]:
    listed = response.headers.get("Connection", "").lower().split(",")
    dropped = HOP_BY_HOP.union(name.strip() for name in listed)
    return tuple(
        (name, value)
        for name, value in response.headers.iteritems()
        if name.lower() not in dropped
    )


def _event_stream(
    response: urllib3.BaseHTTPResponse, gather_s: float
) -> Iterator[UpstreamBody]:
    """Yield whole events and return how the stream ended.

    After its first events, reads are at least `gather_s` apart.
    """
    splitter = EventSplitter()
    next_read_s = 0.0
    try:
        while data := _read_some(response):
            if events := splitter.feed(data):
                yield UpstreamBody(body=events.body, event_id=events.event_id)
                if events.last:
                    return UpstreamEnd()
            time.sleep(max(0.0, next_read_s - time.monotonic()))
            next_read_s = time.monotonic() + gather_s
    except (HTTPError, OSError, ValueError) as error:
        return _broken(error)
    except EventTooLong:
        return UpstreamBroken(detail="event too long")
    # An engine that gives up early ends its HTTP answer properly; only its
    # missing last event shows the caller's answer to be cut short.
    return UpstreamBroken(detail="event stream ended early")


def _body(response: urllib3.BaseHTTPResponse) -> Iterator[UpstreamBody]:
    """Yield the body and return how it ended."""
    try:
        while data := _read_some(response):
            yield UpstreamBody(body=data)
    except (HTTPError, OSError, ValueError) as error:
        return _broken(error)
    if not _delimited(response):
        return UpstreamBroken(detail="answer has neither length nor chunks")
    return UpstreamEnd()


def _read_some(response: urllib3.BaseHTTPResponse) -> bytes:
    """Return what has come, b"" at the end; blocks for the first byte only."""
    return response.read1(READ_BYTES)


def _broken(error: Exception) -> UpstreamBroken:
    return UpstreamBroken(detail=f"{type(error).__name__}: {error}")


def _delimited(response: urllib3.BaseHTTPResponse) -> bool:
    """Return whether the answer's end can be told from a crash of its sender.

    A body that ends with its connection looks the same when the upstream dies
    in the middle of it.
    """
    bodiless = response.status in (204, 304)
    length = response.headers.get("Content-Length", "")
    return bodiless or response.chunked or length.isdecimal()


def _expect_ok(reply: Reply) -> Result[None, UpstreamError]:
    if reply.status != 200:
        return Err(UpstreamCorrupt(detail=f"status {reply.status}"))
    return Ok(None)


def _cancelled(reply: Reply) -> Result[None, UpstreamError]:
    return Err(UpstreamUnknownRun()) if reply.status == 404 else _expect_ok(reply)


def _decoded(reply: Reply, cls: type[T]) -> Result[T, UpstreamError]:
    return decode(reply.body, cls).map_err(
        lambda error: UpstreamCorrupt(detail=error.detail)
    )


def _order_outcome(reply: Reply) -> Result[OrderState, UpstreamError]:
    decoded = _decoded(reply, OrderState)
    if reply.status == 409:
        return decoded.and_then(lambda state: Err(_fenced(state)))
    return _expect_ok(reply).and_then(lambda _: decoded)


def _fenced(state: OrderState) -> OrderFenced:
    return OrderFenced(fencing_number=state.fencing)
