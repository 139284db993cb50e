"""The connections of an entry to its upstreams, by upstream."""

import threading
from collections.abc import Container

from lavenderspoke.clock import Clock
from lavenderspoke.direct.exchange import ConnectionPool
from lavenderspoke.direct.instances import Upstream
from lavenderspoke.http.lateresponses import NameOf, unnamed
from lavenderspoke.observing.metrics import Metrics


class ConnectionPools:
    """One pool for each upstream incarnation; thread-safe.

    `name_of` tells which request a request's or a response's headers name; it is set
    before the first use.
    """

    def __init__(self, *, clock: Clock, metrics: Metrics):
        self.name_of: NameOf = unnamed
        self._clock = clock
        self._metrics = metrics
        self._lock = threading.Lock()
        self._pools: dict[str, ConnectionPool] = {}

    def of(self, upstream: Upstream) -> ConnectionPool:
        """Return an upstream's pool, which is created at the first use."""
        with self._lock:
            pool = self._pools.get(upstream.upstream_id)
            if pool is None:
                pool = ConnectionPool(
                    host=upstream.host,
                    port=upstream.port,
                    clock=self._clock,
                    metrics=self._metrics,
                    name_of=self.name_of,
                )
                self._pools[upstream.upstream_id] = pool
            return pool

    def remove_unlisted(self, listed: Container[str]) -> dict[str, ConnectionPool]:
        """Remove the pools of other upstreams than these, and return them by id."""
        with self._lock:
            unlisted = [each for each in self._pools if each not in listed]
            return {each: self._pools.pop(each) for each in unlisted}

    def has_idle(self, upstream_id: str) -> bool:
        """Return whether an idle connection to an upstream could be reused now."""
        pool = self._pools.get(upstream_id)
        return pool is not None and pool.has_idle()

    def close_used_up(self) -> None:
        """Close idle connections that can't be reused.

        An upstream that sends bytes behind its answers may do so until that.
        """
        with self._lock:
            pools = list(self._pools.values())
        for pool in pools:
            pool.close_used_up()
