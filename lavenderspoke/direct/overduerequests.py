"""Ends and reports requests that are still being handled after their deadline.

A stream whose caller reads nothing keeps its thread in a write, and its slot. And a
request's own log line is written at its end, so one that never ends would have none.
"""

import threading
from collections.abc import Callable

import logbook

from lavenderspoke.clock import Clock
from lavenderspoke.direct.handling import RequestHandler
from lavenderspoke.observing import signals
from lavenderspoke.observing.metrics import Metrics

OVERDUE_METRIC = "direct_overdue_requests"
# Time after the deadline in which a final answer is normally written, in seconds.
TOLERANCE_S = 0.15
# The counter's label of requests that have no attempt under way.
AWAITED_SLOT = "slot"

log = logbook.Logger(__name__)


class OverdueRequests:
    """Ends, logs and counts requests that are handled past their deadlines.

    Thread-safe. What was added with a request, `on_overdue`, is called at each check
    but the first that finds it overdue, and not after `remove`. After this process was
    suspended, an answer that has arrived can thus still be passed on.
    """

    def __init__(self, *, clock: Clock, metrics: Metrics):
        self._clock = clock
        self._metrics = metrics
        self._lock = threading.Lock()
        self._handlers: dict[RequestHandler, Callable[[], None]] = {}
        self._overdue: set[RequestHandler] = set()
        self._reported: set[RequestHandler] = set()

    def add(self, handler: RequestHandler, on_overdue: Callable[[], None]) -> None:
        """Watch a request that is handled from now on."""
        with self._lock:
            self._handlers[handler] = on_overdue

    def remove(self, handler: RequestHandler) -> None:
        """Stop watching a request that has ended."""
        with self._lock:
            self._handlers.pop(handler, None)
            self._reported.discard(handler)

    def check(self) -> None:
        """End the requests that were overdue at the last check, and report them."""
        now_s = self._clock.monotonic_s()
        with self._lock:
            before, self._overdue = self._overdue, {
                each for each in self._handlers if each.accepted.deadline_s < now_s
            }
            for each in self._overdue & before:
                is_late = each.accepted.deadline_s < now_s - TOLERANCE_S
                if is_late and each not in self._reported:
                    self._reported.add(each)
                    self._report(each)
                self._handlers[each]()

    def _report(self, handler: RequestHandler) -> None:
        attempt = handler.current_attempt
        is_sent = attempt is not None and attempt.outcome is None
        awaited = attempt.awaited.value if is_sent else AWAITED_SLOT
        self._metrics.count(OVERDUE_METRIC, awaited)
        log.warning(
            signals.OVERDUE,
            request=handler.accepted.head.request_id,
            awaited=awaited,
            upstream=attempt.upstream.upstream_id if is_sent else None,
        )
