"""Upstreams over HTTP: model engines and plain services."""

import functools
from typing import TypeVar
from urllib.parse import quote

import attrs
import urllib3
from result import Err, Ok, Result

from lavenderspoke.http.client import HttpClient, Reply
from lavenderspoke.http.hopbyhop import HOP_BY_HOP
from lavenderspoke.jsoncodec import decode, encode
from lavenderspoke.model import Call
from lavenderspoke.upstreams.httprun import HttpRun, run_error
from lavenderspoke.upstreams.upstream import (
    CacheEvents,
    LoadReport,
    Order,
    OrderFenced,
    OrderState,
    Run,
    UpstreamCorrupt,
    UpstreamError,
    UpstreamUnknownRun,
    UpstreamUnsupported,
)

T = TypeVar("T")

REQUEST_ID_HEADER = "X-Request-Id"
KEY_HEADER = "Idempotency-Key"
REPORT_TIMEOUT_S = 2.0
SET_BY_CLIENT = HOP_BY_HOP | {"host", "content-length"}


class UnsupportedRun(HttpRun):
    """What a plain service gives of a run to be resumed."""

    def __init__(self):
        super().__init__(send=None)
        self._end(UpstreamUnsupported())


class PlainUpstream:
    """A plain service: it runs calls, and nothing else can be asked of it.

    Each run has a connection of its own. On a kept one, a service that closes it
    just then couldn't be told from one that dies with the request in its hands,
    and callers would be told "unknown" for payments that never ran.
    """

    marks_last_event = False

    def __init__(self, *, base_url: str):
        self._client = HttpClient(base_url=base_url)
        self._run_client = self._client

    def run(self, call: Call, *, timeout_s: float) -> Run:
        """Send the call once."""
        send = functools.partial(
            self._run_client.open,
            method=call.method,
            path=call.path,
            headers=_request_headers(call),
            body=call.body,
            timeout_s=timeout_s,
        )
        return HttpRun(
            send=send, method=call.method, marks_last_event=self.marks_last_event
        )

    def resume(
        self, request_id: str, after_event_id: int | None, *, timeout_s: float
    ) -> Run:
        """Plain services keep no runs."""
        return UnsupportedRun()

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
        ).map_err(run_error)


class ModelUpstream(PlainUpstream):
    """A model engine, as in the stand-in's paths.

    `POST <call.path>` runs; `GET /v1/runs/<id>?after=<event id>` resumes;
    `POST /v1/runs/<id>/cancel`; `GET /load`; `GET /cache/events?after=<n>`;
    `POST /orders` and `GET /orders/state`.

    Runs ask for HTTP/1.0, since an engine writes a chunk for each token: without
    chunks, one read takes all that came, and a selector may wait for more.
    """

    marks_last_event = True

    def __init__(self, *, base_url: str):
        super().__init__(base_url=base_url)
        self._run_client = HttpClient(base_url=base_url, http10=True)

    def resume(
        self, request_id: str, after_event_id: int | None, *, timeout_s: float
    ) -> Run:
        """Ask for the rest of a run."""
        after = -1 if after_event_id is None else after_event_id
        send = functools.partial(
            self._run_client.open,
            method="GET",
            path=f"{_run_path(request_id)}?after={after}",
            timeout_s=timeout_s,
        )
        return HttpRun(
            send=send, is_resumed=True, marks_last_event=self.marks_last_event
        )

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
