"""The concurrency limit and straggler detection of one engine, run by its agent."""

import attrs

from lavenderspoke.capacity.concurrency import ConcurrencyLimit
from lavenderspoke.capacity.straggler import StragglerDetector


@attrs.define(kw_only=True)
class _RunningRequest:
    started_s: float
    running: int
    last_piece_s: float | None = None


class AdaptiveLimit:
    """A limit learned from first-token latency and the time between pieces."""

    def __init__(self, *, slots_max: int, step_max_s: float | None = None):
        self._limit = ConcurrencyLimit(slots_max=slots_max, step_max_s=step_max_s)
        self._detector = StragglerDetector()
        self._requests: dict[str, _RunningRequest] = {}
        # Start times of the requests without a first token, oldest first.
        self._prefill_started_s: dict[str, float] = {}
        self._now_s = 0.0

    @property
    def slots(self) -> int:
        """The maximum number of concurrent requests.

        An engine processes prompts in order of arrival. A prompt a hundred times
        longer causes head-of-line blocking for all later requests, of any tier,
        though another engine may be free. So no more requests are started until
        its first token arrives.
        """
        if self._limit.is_congested(self._longest_prefill_s()):
            return min(len(self._requests), self._limit.limit)
        return self._limit.limit

    @property
    def straggling(self) -> bool:
        """Whether the engine is currently a straggler."""
        return self._detector.is_straggling(self._now_s)

    @property
    def step_s(self) -> float:
        """The recent average time between two pieces of one answer, in seconds."""
        return self._detector.step_s

    def _longest_prefill_s(self) -> float:
        oldest_s = next(iter(self._prefill_started_s.values()), self._now_s)
        return self._now_s - oldest_s

    def tick(self, now_s: float) -> None:
        """Advance the time, so that a stalled engine is detected."""
        self._now_s = now_s

    def started(self, request_id: str, now_s: float) -> None:
        """Record the dispatch of a request."""
        running = len(self._requests) + 1
        self._requests[request_id] = _RunningRequest(started_s=now_s, running=running)
        self._prefill_started_s[request_id] = now_s
        self._detector.set_running(running, now_s)

    def piece_received(self, request_id: str, now_s: float) -> None:
        """Record the arrival of a piece of an answer; the first is the first token."""
        self._now_s = now_s
        request = self._requests.get(request_id)
        if request is None:
            return
        self._prefill_started_s.pop(request_id, None)
        if request.last_piece_s is None:
            self._limit.record_first_token(now_s - request.started_s, request.running)
        else:
            step_s = now_s - request.last_piece_s
            self._limit.record_step(step_s)
            self._detector.record_step(step_s, now_s=now_s)
        request.last_piece_s = now_s

    def finished(self, request_id: str, now_s: float) -> None:
        """Record the end of a request, whatever its outcome."""
        self._requests.pop(request_id, None)
        self._prefill_started_s.pop(request_id, None)
        self._detector.set_running(len(self._requests), now_s)
