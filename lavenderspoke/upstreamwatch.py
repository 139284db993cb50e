"""Watches an upstream: whether it serves, and what its prefix cache holds."""

from collections.abc import Callable

from result import Err

from lavenderspoke.agentevents import (
    CacheChanged,
    UpstreamHealth,
    UpstreamReplaced,
)
from lavenderspoke.upstreams.upstream import (
    CacheEvents,
    Upstream,
    UpstreamError,
    UpstreamUnreachable,
)


class UpstreamWatch:
    """Asks an upstream for its health and cache events, and posts what is new.

    Events come late and with gaps. After a gap, or when the engine restarted,
    what was told before is taken back: a request would wait for a cold cache. While
    `is_paused`, the upstream wants no requests, and isn't asked either.
    """

    def __init__(
        self,
        *,
        upstream: Upstream,
        post: Callable[[object], None],
        is_paused: Callable[[], bool] = lambda: False,
    ):
        self._is_paused = is_paused
        self._upstream = upstream
        self._post = post
        self._incarnation: str | None = None
        self._after = -1

    def poll(self) -> None:
        """Look once."""
        if self._is_paused():
            return
        health = self._upstream.health()
        is_refused = isinstance(health, Err) and _is_refused(health.err_value)
        self._post(UpstreamHealth(is_up=health.is_ok(), is_refused=is_refused))
        if health.is_ok():
            self._read_cache()

    def _read_cache(self) -> None:
        read = self._upstream.cache_events(self._after)
        if isinstance(read, Err):
            return
        events = read.ok_value
        restarted = events.incarnation != self._incarnation
        if restarted and self._incarnation is not None:
            self._after = -1
            self._post(UpstreamReplaced())
        reset = restarted or events.has_gap(self._after)
        self._incarnation = events.incarnation
        self._after = events.next_sequence - 1
        if reset or events.events:
            self._post(changed(events, reset))


def _is_refused(error: UpstreamError) -> bool:
    return isinstance(error, UpstreamUnreachable) and error.is_refused


def changed(events: CacheEvents, reset: bool) -> CacheChanged:
    """Return the net change of a batch of events.

    A block that came and went within the batch is gone.
    """
    holds = {event.hash: event.added for event in events.events}
    return CacheChanged(
        added=tuple(block for block, held in holds.items() if held),
        removed=tuple(block for block, held in holds.items() if not held),
        reset=reset,
    )
