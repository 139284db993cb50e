"""What an entry's attempts, and the other entries' words, say of upstreams.

An upstream is left alone that another one has replaced, that can't be reached or that
fails more than the others of its service. What one entry finds the others are told, so
that each of many needn't find it out with requests of its own.
"""

import attrs
import logbook

from lavenderspoke.direct.crashes import CrashDetector
from lavenderspoke.direct.dispatcher import AcceptedRequest, AttemptOutcome
from lavenderspoke.direct.instances import Upstream
from lavenderspoke.direct.messages import SharedState
from lavenderspoke.direct.peerreports import PeerReports
from lavenderspoke.direct.pool import UpstreamState
from lavenderspoke.direct.scheduler import Scheduler
from lavenderspoke.observing.metrics import Metrics
from lavenderspoke.poison import CrashEvidence

# Time in seconds from which on all requests at an upstream's earlier start have been
# broken off: their threads only have to wake up.
RESTART_SETTLED_S = 0.2
LEFT_ALONE = "upstreams_left_alone"

log = logbook.Logger(__name__)


@attrs.frozen(kw_only=True)
class UpstreamFindings:
    """What the others are told: upstreams by what was found of them."""

    gone: tuple[str, ...]
    unreached: tuple[str, ...]
    failing: tuple[str, ...]


@attrs.frozen(kw_only=True)
class _Restarted:
    """An upstream's earlier start, and when the new one was noticed."""

    upstream: Upstream
    at_s: float


class UpstreamMonitor:
    """Not safe for threads: its owner holds a lock. Times are in seconds."""

    def __init__(self, *, own_name: str, scheduler: Scheduler, metrics: Metrics):
        self.crashes = CrashDetector(own_name=own_name)
        self._scheduler = scheduler
        self._metrics = metrics
        self._evidence: list[CrashEvidence] = []
        self._gone: set[str] = set()
        self._unreached: set[str] = set()
        self._failing: set[str] = set()
        self._told_unreached = PeerReports()
        self._told_failing = PeerReports()
        self._listed: dict[str, Upstream] = {}
        self._restarted: list[_Restarted] = []

    def update_listed(
        self, upstreams: tuple[Upstream, ...], now_s: float
    ) -> list[Upstream]:
        """Take over the platform's list; return those that have started again."""
        listed = {each.upstream_id: each for each in upstreams}
        names = {each.name for each in upstreams}
        restarted = [
            each
            for key, each in self._listed.items()
            if key not in listed and each.name in names
        ]
        self._listed = listed
        self._told_unreached.retain(set(listed))
        self._told_failing.retain(set(listed))
        self._restarted += [_Restarted(upstream=e, at_s=now_s) for e in restarted]
        return restarted

    def record_attempt(
        self,
        upstream: Upstream,
        accepted: AcceptedRequest,
        outcome: AttemptOutcome,
        now_s: float,
    ) -> None:
        """Take in what became of an attempt of this entry's."""
        fingerprint = accepted.fingerprint
        if outcome is AttemptOutcome.ANSWERED:
            self.crashes.record_answer(upstream.service, fingerprint)
        elif outcome is AttemptOutcome.BROKEN:
            self.crashes.record_broken_answer(upstream.upstream_id, fingerprint, now_s)
        elif outcome is AttemptOutcome.UNREACHABLE:
            self._died(upstream, now_s)
            self._unreached.add(upstream.upstream_id)
        elif outcome is AttemptOutcome.MISDIRECTED:
            self._died(upstream, now_s)
            self._note_gone(upstream.upstream_id, now_s)
            self._gone.add(upstream.upstream_id)
        seat = self._scheduler.queue(upstream.service).pool.state_of(
            upstream.upstream_id
        )
        if seat is None:
            return
        if outcome is AttemptOutcome.ANSWERED:
            seat.health.record_success()
        elif outcome is AttemptOutcome.FAILED:
            seat.health.record_failure()
            self._look_at(seat, now_s)
        elif outcome is AttemptOutcome.BROKEN:
            # A broken connection alone doesn't mean that the upstream is away;
            # if it is, the next connection is refused without any harm.
            seat.health.record_broken_connection()
            self._look_at(seat, now_s)
        elif outcome in (AttemptOutcome.SILENT, AttemptOutcome.UNREACHABLE):
            seat.health.record_unreachable(now_s)

    def merge_peer_state(self, by: str, state: SharedState, now_s: float) -> None:
        """Take in what another entry found."""
        for upstream_id in state.gone:
            self._note_gone(upstream_id, now_s)
        for upstream_id in state.unreached:
            self._hear_unreached(upstream_id, by, state.data_centre, now_s)
        for upstream_id in state.failing:
            self._hear_failing(upstream_id, by, state.data_centre, now_s)

    def tick(self, now_s: float) -> None:
        """Take a new start as the crash of the one before, once all of it broke."""
        settled = [e for e in self._restarted if now_s >= e.at_s + RESTART_SETTLED_S]
        for each in settled:
            self._restarted.remove(each)
            self._died(each.upstream, now_s)

    def take_findings(self) -> UpstreamFindings:
        """Return what was found since the last time."""
        news = UpstreamFindings(
            gone=tuple(self._gone),
            unreached=tuple(self._unreached),
            failing=tuple(self._failing),
        )
        self._gone.clear()
        self._unreached.clear()
        self._failing.clear()
        return news

    def take_evidence(self) -> list[CrashEvidence]:
        """Return the crashes that the others haven't been told of."""
        evidence, self._evidence = self._evidence, []
        return evidence

    def _look_at(self, seat: UpstreamState, now_s: float) -> None:
        pool = self._scheduler.queue(seat.upstream.service).pool
        if pool.eject_if_outlier(seat, now_s):
            self._failing.add(seat.upstream.upstream_id)
            self._note_left_alone(seat, reason="own", by="own answers")

    def _hear_failing(
        self, upstream_id: str, by: str, data_centre: str, now_s: float
    ) -> None:
        is_failing = self._told_failing.record(
            upstream_id, by=by, data_centre=data_centre, now_s=now_s
        )
        if not is_failing:
            return
        for line in self._scheduler.queues().values():
            if line.pool.eject_on_reports(upstream_id, now_s):
                seat = line.pool.state_of(upstream_id)
                self._note_left_alone(seat, reason="told", by=f"{by} and others")

    def _hear_unreached(
        self, upstream_id: str, by: str, data_centre: str, now_s: float
    ) -> None:
        is_away = self._told_unreached.record(
            upstream_id, by=by, data_centre=data_centre, now_s=now_s
        )
        if not is_away:
            return
        for line in self._scheduler.queues().values():
            seat = line.pool.state_of(upstream_id)
            if seat is not None:
                seat.health.suspend_on_reports(now_s)

    def _note_left_alone(self, seat: UpstreamState, *, reason: str, by: str) -> None:
        self._metrics.count(LEFT_ALONE, reason)
        log.info(
            "upstream left alone",
            upstream=seat.upstream.upstream_id,
            service=seat.upstream.service,
            by=by,
            failure_share=round(seat.health.failure_share, 2),
            in_row=seat.health.consecutive_failures,
        )

    def _note_gone(self, upstream_id: str, now_s: float) -> None:
        for line in self._scheduler.queues().values():
            line.pool.evict(upstream_id, now_s)

    def _died(self, upstream: Upstream, now_s: float) -> None:
        evidence = self.crashes.record_unreachable(
            upstream.service, upstream.upstream_id, now_s
        )
        if evidence is not None:
            self._evidence.append(evidence)
