"""What an agent's upstream has said about itself, and what it allows to send it."""

import math

import attrs
import logbook

from lavenderspoke.http.upstreamsignals import (
    LIMIT_PER_S_MIN,
    Signal,
    UpstreamSignals,
)
from lavenderspoke.leakybucket import LeakyBucket
from lavenderspoke.observing import signals as signals_log

log = logbook.Logger(__name__)


@attrs.define(kw_only=True)
class AgentBackpressure:
    """Paces the requests to one upstream by its own word; times are in seconds.

    Only this agent sends to its upstream, so a limit for all instances together applies
    to it alone.

    >>> backpressure = AgentBackpressure(upstream="engine-1")
    >>> backpressure.record(UpstreamSignals(limit_per_s=2.0), sent_s=0.0, now_s=0.0)
    ['limit']
    >>> backpressure.free_requests(0.2), backpressure.free_requests(0.5)
    (0, 1)
    """

    upstream: str
    is_leaving: bool = False
    _bucket: LeakyBucket | None = None
    _named_s: float = -math.inf
    _paused_until_s: float = -math.inf

    def record(
        self, signals: UpstreamSignals, *, sent_s: float, now_s: float
    ) -> list[str]:
        """Record what a response to a request sent at `sent_s` says.

        Returns under which reasons it counts. Responses overtake each other, so only
        one to a request sent after the limit was last named ends it, and none ends that
        the upstream leaves.
        """
        invalid = {signal.value: text for signal, text in signals.invalid.items()}
        signals_log.log_invalid(self.upstream, invalid)
        reasons = [f"{name}_invalid" for name in invalid]
        if signals.is_leaving and not self.is_leaving:
            self.is_leaving = True
            log.info(signals_log.LEAVING, upstream=self.upstream)
            reasons.append(Signal.LEAVING.value)
        if signals.pause_s:
            if not self.is_paused(now_s):
                pause_s = signals.pause_s
                log.info(signals_log.PAUSE, upstream=self.upstream, pause_s=pause_s)
            self._paused_until_s = max(self._paused_until_s, now_s + signals.pause_s)
            reasons.append(Signal.PAUSE.value)
        if not signals.leaves_unchanged(Signal.LIMIT):
            reasons += self._record_limit(signals.limit_per_s, sent_s, now_s)
        return reasons

    def _record_limit(
        self, per_s: float | None, sent_s: float, now_s: float
    ) -> list[str]:
        before_per_s = self._per_s
        if per_s is not None:
            self._named_s = now_s
            per_s = max(per_s, LIMIT_PER_S_MIN)
            if self._bucket is None:
                self._bucket = LeakyBucket(per_s=per_s, now_s=now_s)
            else:
                self._bucket.reconfigure(per_s, now_s)
        elif sent_s > self._named_s:
            self._bucket = None
        if self._per_s == before_per_s:
            return []
        if self._per_s is None:
            log.info(signals_log.LIMIT_ENDED, upstream=self.upstream)
            return ["limit_ended"]
        log.info(signals_log.LIMIT_NAMED, upstream=self.upstream, per_s=self._per_s)
        return [Signal.LIMIT.value]

    @property
    def _per_s(self) -> float | None:
        return None if self._bucket is None else self._bucket.per_s

    def reason(self, now_s: float) -> str | None:
        """Return why the upstream gets nothing new now; None if it does."""
        if self.is_leaving:
            return signals_log.LEAVING_REASON
        if self.is_paused(now_s):
            return signals_log.pause_reason(self._paused_until_s - now_s)
        if (wait_s := self.wait_s(now_s)) > 0.0:
            return signals_log.limit_reason(self._per_s, wait_s)
        return None

    def is_paused(self, now_s: float) -> bool:
        """Return whether the upstream wants no requests at all for now."""
        return now_s < self._paused_until_s

    def record_sent(self, now_s: float) -> None:
        """Count a request to the upstream."""
        if self._bucket is not None:
            self._bucket.add(1, now_s)

    def free_requests(self, now_s: float) -> float:
        """Return how many requests the upstream takes now; infinite without a limit."""
        if self.is_paused(now_s):
            return 0
        if self._bucket is None:
            return math.inf
        return max(0, math.floor(self._bucket.free(now_s)))

    def wait_s(self, now_s: float) -> float:
        """Return the time until the upstream takes one more request."""
        limit_wait_s = 0.0 if self._bucket is None else self._bucket.wait_s(now_s)
        return max(limit_wait_s, self._paused_until_s - now_s)

    def reset(self) -> None:
        """Forget everything, since another process answers for the upstream."""
        self.is_leaving = False
        self._paused_until_s = -math.inf
        self._bucket = None
