"""Finds out whether upstreams that broke off answers have ended, by connecting to them.

A process that has ended refuses connections at once. Nothing here holds the
dispatcher's lock while it waits for a connection.
"""

import threading
from collections.abc import Callable

import attrs

from lavenderspoke.clock import Clock
from lavenderspoke.direct.crashes import EndSign
from lavenderspoke.direct.exchange import ConnectionPool
from lavenderspoke.direct.instances import Upstream
from lavenderspoke.direct.verdicts import UpstreamMonitor

# Time for which a check waits whether an upstream that seems to listen goes on to, in
# seconds: a process that ends closes its connections one by one.
SETTLE_S = 0.02
# Time between a check that told nothing, or the leaving of a caller, and the next
# check, in seconds, and how often an upstream is checked again.
AGAIN_S = 0.4
AGAIN_TIMES = 4


@attrs.define(kw_only=True)
class _LaterCheck:
    upstream: Upstream
    due_s: float
    left: int = AGAIN_TIMES


class CrashChecks:
    """Checks upstreams and records what it finds; thread-safe.

    `lock` is the dispatcher's, which guards the `monitor`. `connection_pool` returns
    the connections to an upstream.
    """

    def __init__(
        self,
        *,
        monitor: UpstreamMonitor,
        connection_pool: Callable[[Upstream], ConnectionPool],
        clock: Clock,
        lock: threading.RLock,
    ):
        self.connection_pool = connection_pool
        self._monitor = monitor
        self._clock = clock
        self._lock = lock
        self._later: dict[str, _LaterCheck] = {}

    def connection_refused(self, upstream: Upstream) -> None:
        """Record that nothing listens at an upstream's address."""
        with self._lock:
            self._monitor.record_ends(
                [upstream], EndSign.REFUSED, self._clock.monotonic_s()
            )

    def check_broken(self, upstream: Upstream) -> None:
        """Find out whether an upstream has ended that broke off an answer.

        It is checked again later unless it has: that may not be told now, and a process
        that is ending may still listen. So is one that a caller left before the answer
        to content that has crashed others.
        """
        crashes = self._monitor.crashes
        with self._lock:
            needs_check = crashes.needs_check(upstream.upstream_id)
            needs_later_check = crashes.needs_later_check(upstream.upstream_id)
        if needs_check and not self._find_out(upstream) or needs_later_check:
            with self._lock:
                self._later[upstream.upstream_id] = _LaterCheck(
                    upstream=upstream, due_s=self._clock.monotonic_s() + AGAIN_S
                )

    def check_again(self) -> None:
        """Check the upstreams again of which it couldn't be told whether they ended."""
        now_s = self._clock.monotonic_s()
        with self._lock:
            due = [each for each in self._later.values() if now_s >= each.due_s]
        for each in due:
            each.left -= 1
            each.due_s = now_s + AGAIN_S
            upstream_id = each.upstream.upstream_id
            with self._lock:
                crashes = self._monitor.crashes
                # Not if it was seen to end, or has sent something since.
                is_open = crashes.needs_check(upstream_id)
                is_open |= crashes.needs_later_check(upstream_id)
            is_told = not is_open or self._find_out(each.upstream) is not None
            if is_told or not each.left:
                with self._lock:
                    self._later.pop(upstream_id, None)

    def has_ended(self, upstream: Upstream) -> bool:
        """Return whether an upstream has ended unannounced, as far as can be told."""
        with self._lock:
            sign = self._monitor.crashes.end_sign(upstream.upstream_id)
        if sign not in (None, EndSign.UNREACHED):
            return sign is not EndSign.PLANNED
        return bool(self._find_out(upstream, settle_s=SETTLE_S))

    def _find_out(self, upstream: Upstream, *, settle_s: float = 0.0) -> bool | None:
        """Return whether nothing listens there, None if that can't be told."""
        is_refused = self.connection_pool(upstream).is_refused(settle_s=settle_s)
        if is_refused:
            self.connection_refused(upstream)
        return is_refused
