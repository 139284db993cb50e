"""Finds out whether upstreams that broke off answers have ended, by connecting to them.

A process that has ended refuses connections at once. Nothing here holds the
dispatcher's lock while it waits for a connection.
"""

import threading
from collections.abc import Callable

from lavenderspoke.clock import Clock
from lavenderspoke.direct.crashes import EndSign
from lavenderspoke.direct.exchange import ConnectionPool
from lavenderspoke.direct.instances import Upstream
from lavenderspoke.direct.verdicts import UpstreamMonitor

# Time for which a check waits whether an upstream that seems to listen goes on to, in
# seconds: a process that ends closes its connections one by one.
SETTLE_S = 0.02


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

    def connection_refused(self, upstream: Upstream) -> None:
        """Record that nothing listens at an upstream's address."""
        with self._lock:
            self._monitor.record_ends(
                [upstream], EndSign.REFUSED, self._clock.monotonic_s()
            )

    def check_broken(self, upstream: Upstream) -> None:
        """Find out whether an upstream has ended that broke off an answer."""
        with self._lock:
            if not self._monitor.crashes.needs_check(upstream.upstream_id):
                return
        self._find_out(upstream)

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
