"""The limit and the straggler judgement of one engine, from what its agent sees."""

import attrs

from lavenderspoke.capacity.concurrency import ConcurrencyLimit
from lavenderspoke.capacity.straggler import StragglerDetector


@attrs.define(kw_only=True)
class _Watched:
    started_s: float
    running: int
    last_s: float | None = None


class AdaptiveLimit:
    """A limit learned from first-token latency and the time between pieces."""

    def __init__(self, *, slots_max: int, step_max_s: float | None = None):
        self._limit = ConcurrencyLimit(slots_max=slots_max, step_max_s=step_max_s)
        self._detector = StragglerDetector()
        self._watched: dict[str, _Watched] = {}
        # When each run began that has no first token yet, oldest first.
        self._reading_s: dict[str, float] = {}
        self._now_s = 0.0

    @property
    def slots(self) -> int:
        """The number of requests to run at once.

        An engine reads prompts in the order in which it got them. While it is
        at one that is a hundred times longer, whatever is sent after it stands
        behind it, of whatever tier, though another engine may be free. So no
        more is started until its first token comes.
        """
        if self._limit.is_congested(self._longest_reading_s()):
            return min(len(self._watched), self._limit.limit)
        return self._limit.limit

    @property
    def straggling(self) -> bool:
        """Whether the engine is a straggler now."""
        return self._detector.is_straggling(self._now_s)

    @property
    def step_s(self) -> float:
        """The recent time between two pieces of one answer."""
        return self._detector.step_s

    def _longest_reading_s(self) -> float:
        oldest_s = next(iter(self._reading_s.values()), self._now_s)
        return self._now_s - oldest_s

    def tick(self, now_s: float) -> None:
        """Note the time, so that a stalled engine is noticed in its silence."""
        self._now_s = now_s

    def started(self, request_id: str, now_s: float) -> None:
        """Note that a request was dispatched."""
        running = len(self._watched) + 1
        self._watched[request_id] = _Watched(started_s=now_s, running=running)
        self._reading_s[request_id] = now_s
        self._detector.set_running(running, now_s)

    def piece_received(self, request_id: str, now_s: float) -> None:
        """Note that a part of an answer came; the first is the first token."""
        self._now_s = now_s
        watched = self._watched.get(request_id)
        if watched is None:
            return
        self._reading_s.pop(request_id, None)
        if watched.last_s is None:
            self._limit.record_first_token(now_s - watched.started_s, watched.running)
        else:
            step_s = now_s - watched.last_s
            self._limit.record_step(step_s)
            self._detector.record_step(step_s, now_s=now_s)
        watched.last_s = now_s

    def finished(self, request_id: str, now_s: float) -> None:
        """Note that a run has ended, in whatever way."""
        self._watched.pop(request_id, None)
        self._reading_s.pop(request_id, None)
        self._detector.set_running(len(self._watched), now_s)
