"""What upstreams have said about themselves, and what it allows to send them.

An upstream's own word is more certain than the platform's list or other entries'
reports, and often newer, so neither ends what it said here. It is kept apart from the
pool, which drops an upstream whose record lapses and may get it back.
"""

import attrs
import logbook

from lavenderspoke.direct.instances import Upstream
from lavenderspoke.direct.messages import SharedState
from lavenderspoke.direct.requestlimits import LimitChange, RequestLimits
from lavenderspoke.http.upstreamsignals import Signal, UpstreamSignals
from lavenderspoke.model import InstanceId
from lavenderspoke.observing import signals as signals_log
from lavenderspoke.observing.metrics import Metrics
from lavenderspoke.observing.signals import SIGNALS_METRIC

# How long an upstream that is no longer listed is remembered, in seconds: its record
# may lapse during an outage of the store and come back.
KEPT_UNLISTED_S = 600.0
OWN_RESPONSE = "its response"
LIMIT_MESSAGES = {
    LimitChange.NAMED: signals_log.LIMIT_NAMED,
    LimitChange.ENDED: signals_log.LIMIT_ENDED,
}

log = logbook.Logger(__name__)


@attrs.frozen(kw_only=True)
class _Unlisted:
    since_s: float
    address: tuple[str, int] | None


class Backpressure:
    """What upstreams have said about themselves, by upstream ID.

    Not thread-safe: its owner holds a lock. Times are in seconds.
    """

    def __init__(self, *, metrics: Metrics):
        self.limits = RequestLimits()
        self._metrics = metrics
        # Upstreams that said themselves that they leave.
        self._leaving: set[str] = set()
        # Until when upstreams want no requests from this entry.
        self._paused_until_s: dict[str, float] = {}
        # Those that said it in responses to this entry.
        self._leaving_here: set[str] = set()
        self._listed: dict[str, Upstream] = {}
        # Upstreams that aren't listed, since when, and their address if it is known.
        self._unlisted: dict[str, _Unlisted] = {}

    @property
    def is_empty(self) -> bool:
        """Whether no upstream has said anything that matters here."""
        return self.limits.is_empty and not self._leaving and not self._paused_until_s

    def record_response(
        self,
        upstream: Upstream,
        signals: UpstreamSignals,
        *,
        sent_s: float,
        now_s: float,
    ) -> None:
        """Record what a response to a request sent at `sent_s` says."""
        self._track(upstream.upstream_id, (upstream.host, upstream.port), now_s)
        self._record_invalid(upstream, signals)
        if not signals.leaves_unchanged(Signal.LIMIT):
            change = self.limits.record_response(
                upstream.upstream_id, signals.limit_per_s, sent_s=sent_s, now_s=now_s
            )
            self._record_limit(change, upstream.upstream_id, by=OWN_RESPONSE)
        if signals.pause_s:
            self._record_pause(upstream.upstream_id, signals.pause_s, now_s)
        if signals.is_leaving:
            self._leaving_here.add(upstream.upstream_id)
            self._record_leaving(upstream.upstream_id, by=OWN_RESPONSE)

    def record_sent(self, upstream_id: str, now_s: float) -> None:
        """Count a request to an upstream."""
        self.limits.record_sent(upstream_id, now_s)

    def merge_peer_state(
        self, sender: InstanceId, state: SharedState, now_s: float
    ) -> None:
        """Apply what another entry has heard from upstreams."""
        for upstream_id in state.upstreams_leaving:
            self._track(upstream_id, None, now_s)
            self._record_leaving(upstream_id, by=sender.name)
        for news in state.limits:
            self._track(news.upstream_id, None, now_s)
            change = self.limits.merge_report(sender, news, now_s)
            self._record_limit(change, news.upstream_id, by=sender.name)

    def update_listed(self, upstreams: tuple[Upstream, ...], now_s: float) -> None:
        """Apply the platform's list; forget upstreams that have certainly ended.

        They have if another one is listed at their address, or if they have been
        missing for `KEPT_UNLISTED_S`.
        """
        listed = {each.upstream_id: each for each in upstreams}
        missing = [e for key, e in self._listed.items() if key not in listed]
        self._listed = listed
        for each in missing:
            self._track(each.upstream_id, (each.host, each.port), now_s)
        addresses = {(each.host, each.port) for each in upstreams}
        for upstream_id, unlisted in list(self._unlisted.items()):
            if upstream_id in listed:
                del self._unlisted[upstream_id]
            elif (
                unlisted.address in addresses
                or now_s >= unlisted.since_s + KEPT_UNLISTED_S
            ):
                del self._unlisted[upstream_id]
                self._forget(upstream_id)

    def leaving_here(self) -> tuple[str, ...]:
        """Return the upstreams that said to this entry that they leave."""
        return tuple(sorted(self._leaving_here))

    def is_leaving(self, upstream_id: str) -> bool:
        """Return whether an upstream said that it leaves."""
        return upstream_id in self._leaving

    def takes_requests(self, upstream_id: str, now_s: float) -> bool:
        """Return whether an upstream neither leaves nor is in a pause.

        A limit doesn't count: a request that was counted against it may follow.
        """
        is_paused = self._pause_s(upstream_id, now_s) > 0.0
        return not is_paused and upstream_id not in self._leaving

    def wait_s(self, upstream_id: str, now_s: float) -> float:
        """Return the time until an upstream takes a request, 0 if it does now."""
        pause_s = self._pause_s(upstream_id, now_s)
        return max(pause_s, self.limits.wait_s(upstream_id, now_s))

    def free_requests(self, upstream_id: str, now_s: float) -> float:
        """Return how many requests an upstream takes now; infinite if it says nothing.

        Below one, it takes none.
        """
        if self._pause_s(upstream_id, now_s) > 0.0:
            return 0.0
        return self.limits.free(upstream_id, now_s)

    def requests_per_s(self, upstream_id: str, now_s: float) -> float:
        """Return how many requests per second it takes; infinite without a limit."""
        if self._pause_s(upstream_id, now_s) > 0.0:
            return 0.0
        return self.limits.per_s(upstream_id)

    def reason(self, upstream_id: str, now_s: float) -> str | None:
        """Return why an upstream takes no request now, for logs; None if it does."""
        if upstream_id in self._leaving:
            return signals_log.LEAVING_REASON
        if (pause_s := self._pause_s(upstream_id, now_s)) > 0.0:
            return signals_log.pause_reason(pause_s)
        if (wait_s := self.limits.wait_s(upstream_id, now_s)) > 0.0:
            return signals_log.limit_reason(self.limits.per_s(upstream_id), wait_s)
        return None

    def _pause_s(self, upstream_id: str, now_s: float) -> float:
        return max(0.0, self._paused_until_s.get(upstream_id, now_s) - now_s)

    def _track(
        self, upstream_id: str, address: tuple[str, int] | None, now_s: float
    ) -> None:
        """Remember since when an upstream isn't listed, to forget it some time."""
        if upstream_id in self._listed:
            return
        known = self._unlisted.get(upstream_id)
        if known is None or known.address is None:
            self._unlisted[upstream_id] = _Unlisted(
                since_s=known.since_s if known else now_s, address=address
            )

    def _forget(self, upstream_id: str) -> None:
        self.limits.forget(upstream_id)
        self._paused_until_s.pop(upstream_id, None)
        self._leaving.discard(upstream_id)
        self._leaving_here.discard(upstream_id)

    def _record_invalid(self, upstream: Upstream, signals: UpstreamSignals) -> None:
        invalid = {signal.value: text for signal, text in signals.invalid.items()}
        signals_log.log_invalid(upstream.upstream_id, invalid)
        for name in invalid:
            self._metrics.count(SIGNALS_METRIC, f"{name}_invalid")

    def _record_pause(self, upstream_id: str, pause_s: float, now_s: float) -> None:
        before_s = self._paused_until_s.get(upstream_id, 0.0)
        # A shorter pause doesn't end a longer one that was asked for before.
        self._paused_until_s[upstream_id] = max(before_s, now_s + pause_s)
        self._metrics.count(SIGNALS_METRIC, Signal.PAUSE.value)
        if now_s >= before_s:
            log.info(signals_log.PAUSE, upstream=upstream_id, pause_s=pause_s)

    def _record_leaving(self, upstream_id: str, *, by: str) -> None:
        if upstream_id in self._leaving:
            return
        self._leaving.add(upstream_id)
        self._metrics.count(SIGNALS_METRIC, Signal.LEAVING.value)
        log.info(signals_log.LEAVING, upstream=upstream_id, by=by)

    def _record_limit(
        self, change: LimitChange | None, upstream_id: str, *, by: str
    ) -> None:
        if change is None:
            return
        self._metrics.count(SIGNALS_METRIC, change.value)
        log.info(
            LIMIT_MESSAGES[change],
            upstream=upstream_id,
            per_s=(
                round(self.limits.per_s(upstream_id), 3)
                if change is LimitChange.NAMED
                else None
            ),
            by=by,
        )
