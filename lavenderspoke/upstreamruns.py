"""Runs requests at the upstream and reports what comes.

A thread sends each request and waits for the first part of its answer; from then
on one thread reads all the streams.
"""

import contextlib
import functools
import re
import threading
from collections.abc import Callable, Iterator
from concurrent.futures import ThreadPoolExecutor

import attrs
from result import Err

from lavenderspoke import agentevents as events
from lavenderspoke.clock import Clock
from lavenderspoke.documents.service import Kind
from lavenderspoke.http.eventstream import is_event_stream
from lavenderspoke.http.upstreamsignals import SignalHeaders, read_signals
from lavenderspoke.model import Call, Head
from lavenderspoke.upstreams.runselector import RunSelector
from lavenderspoke.upstreams.upstream import (
    Run,
    RunEvent,
    Upstream,
    UpstreamBody,
    UpstreamBroken,
    UpstreamEnd,
    UpstreamHead,
    UpstreamUnknownRun,
    UpstreamUnreachable,
    UpstreamUnsupported,
)

EVENT_END = re.compile(rb"(?<=\n\n)|(?<=\r\n\r\n)")
# Threads beside those of the slots: resumed runs and cancellations.
SPARE_THREADS = 16


@attrs.define(kw_only=True)
class _Relay:
    """What one run's thread knows of the answer it relays."""

    request_id: str
    whole_body: bool
    is_resumed: bool
    sent_s: float = 0.0
    is_events: bool = False
    gathered: list[bytes] = attrs.field(factory=list)


class UpstreamRuns:
    """The runs at one upstream; `post` takes the events of each.

    Pieces of an answer are the same on every run of its relay: a stream gives
    one for each event, a model's other answers come as one, so that an entry
    can go on with an answer that a second agent resumes from the start.
    """

    def __init__(
        self,
        *,
        upstream: Upstream,
        kind: Kind,
        post: Callable[[object], None],
        read_timeout_s: float,
        threads: int,
        signal_headers: SignalHeaders,
        clock: Clock,
    ):
        self._upstream = upstream
        self._kind = kind
        self._post = post
        self._read_timeout_s = read_timeout_s
        self._signal_headers = signal_headers
        self._clock = clock
        self._stopping = threading.Event()
        self._selector = RunSelector()
        self._pool = ThreadPoolExecutor(
            max_workers=threads + SPARE_THREADS, thread_name_prefix="run"
        )

    def dispatch(self, call: Call) -> None:
        """Send a request to the upstream, once."""
        relay = self._new_relay(call.request_id, is_resumed=False)
        begin = functools.partial(
            self._upstream.run, call, timeout_s=self._read_timeout_s
        )
        self._pool.submit(self._relay, relay, begin)

    def resume(
        self, request_id: str, after_event_id: int | None, delay_s: float
    ) -> None:
        """Take up a run by its id after an event, a moment from now."""
        relay = self._new_relay(request_id, is_resumed=True)

        def begin() -> Run:
            self._stopping.wait(delay_s)
            return self._upstream.resume(
                request_id, after_event_id, timeout_s=self._read_timeout_s
            )

        self._pool.submit(self._relay, relay, begin)

    def cancel(self, request_id: str) -> None:
        """Tell the upstream to stop a run."""
        self._pool.submit(self._upstream.cancel, request_id)

    def stop(self) -> None:
        """Take no new runs; those under way are not waited for."""
        self._stopping.set()
        self._selector.stop()
        self._pool.shutdown(wait=False, cancel_futures=True)

    def _new_relay(self, request_id: str, *, is_resumed: bool) -> _Relay:
        whole_body = self._kind is Kind.MODEL
        return _Relay(
            request_id=request_id, whole_body=whole_body, is_resumed=is_resumed
        )

    def _relay(self, relay: _Relay, begin: Callable[[], Run]) -> None:
        with self._telling_errors(relay):
            run = begin()
            relay.sent_s = self._clock.monotonic_s()
            for event in run:
                self._on(event, relay)
                if run.is_selectable:
                    self._read_on(relay, run)
                    return

    def _read_on(self, relay: _Relay, run: Run) -> None:
        """Leave the rest of an answer to the thread that reads all streams."""

        def on_event(event: RunEvent) -> None:
            if isinstance(event, UpstreamBody):
                on_event_safely(event)
            else:
                # Its end may take a request to the upstream, for its health.
                self._pool.submit(on_event_safely, event)

        def on_event_safely(event: RunEvent) -> None:
            with self._telling_errors(relay):
                self._on(event, relay)

        self._selector.add(run, on_event, timeout_s=self._read_timeout_s)

    @contextlib.contextmanager
    def _telling_errors(self, relay: _Relay) -> Iterator[None]:
        """Tell the caller even of an error of our own: its run may have begun."""
        try:
            yield
        except Exception as error:
            self._broken(relay, f"{type(error).__name__}: {error}", crashed=False)

    def _broken(self, relay: _Relay, detail: str, *, crashed: bool) -> None:
        self._post(
            events.RunBroken(
                request_id=relay.request_id, detail=detail, crashed=crashed
            )
        )

    @functools.singledispatchmethod
    def _on(self, event: RunEvent, relay: _Relay) -> None:
        raise TypeError(f"no such event: {event!r}")

    @_on.register
    def _(self, event: UpstreamHead, relay: _Relay) -> None:
        relay.is_events = any(
            name.lower() == "content-type" and is_event_stream(value)
            for name, value in event.headers
        )
        headers = {name.lower(): value for name, value in event.headers}
        signals = read_signals(
            event.status, lambda name: headers.get(name.lower()), self._signal_headers
        )
        self._post(events.UpstreamSignalled(signals=signals, sent_s=relay.sent_s))
        head = Head(status=event.status, headers=event.headers)
        self._post(events.RunHead(request_id=relay.request_id, head=head))

    @_on.register
    def _(self, event: UpstreamBody, relay: _Relay) -> None:
        if relay.is_events:
            for each in split_events(event):
                self._body(relay, each.body, each.event_id)
        elif relay.whole_body:
            relay.gathered.append(event.body)
        else:
            self._body(relay, event.body, None)

    def _body(self, relay: _Relay, body: bytes, event_id: int | None) -> None:
        self._post(
            events.RunBody(request_id=relay.request_id, body=body, event_id=event_id)
        )

    @_on.register
    def _(self, event: UpstreamEnd, relay: _Relay) -> None:
        if relay.gathered:
            self._body(relay, b"".join(relay.gathered), None)
        self._post(events.RunEnded(request_id=relay.request_id))

    @_on.register
    def _(self, event: UpstreamUnreachable, relay: _Relay) -> None:
        # Refused when resuming, it only says that the upstream is down now; the
        # run itself had begun. Called "not started", it would be run again.
        if relay.is_resumed:
            self._broken(relay, event.detail, crashed=True)
            return
        self._post(
            events.RunNotStarted(
                request_id=relay.request_id,
                detail=event.detail,
                is_refused=event.is_refused,
            )
        )

    @_on.register
    def _(self, event: UpstreamBroken, relay: _Relay) -> None:
        crashed = isinstance(self._upstream.health(), Err)
        self._broken(relay, event.detail, crashed=crashed)

    @_on.register(UpstreamUnknownRun)
    @_on.register(UpstreamUnsupported)
    def _(self, event, relay: _Relay) -> None:
        detail = "the upstream can't resume it"
        self._post(events.RunUnknown(request_id=relay.request_id, detail=detail))


def split_events(body: UpstreamBody) -> list[UpstreamBody]:
    r"""Split a body of whole events into one body for each.

    Only the last has the id, after which the stream is resumed.

    >>> [each.body for each in split_events(UpstreamBody(body=b"a\n\nb\n\n"))]
    [b'a\n\n', b'b\n\n']
    """
    parts = [part for part in EVENT_END.split(body.body) if part]
    bodies = [UpstreamBody(body=part) for part in parts[:-1]]
    return [*bodies, UpstreamBody(body=parts[-1], event_id=body.event_id)]
