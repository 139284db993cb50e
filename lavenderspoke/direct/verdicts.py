"""What this entry's attempts and the other entries' reports show of upstreams.

An upstream is taken out of use if another one has replaced it, it can't be reached, or
it fails more than the others of its service. What one entry finds it reports to the
others, so that they needn't find it out with requests of their own.
"""

import attrs
import logbook

from lavenderspoke.direct.crashes import CrashDetector
from lavenderspoke.direct.dispatcher import AcceptedRequest, AttemptOutcome
from lavenderspoke.direct.instances import Upstream
from lavenderspoke.direct.messages import SharedState
from lavenderspoke.direct.peerreports import PeerReports
from lavenderspoke.direct.scheduler import Scheduler
from lavenderspoke.direct.upstreamstate import UpstreamState
from lavenderspoke.observing import signals
from lavenderspoke.observing.metrics import Metrics
from lavenderspoke.poison import CrashEvidence

# Time after which all requests to an upstream's previous incarnation have been aborted:
# their threads only have to wake up.
RESTART_SETTLED_S = 0.2
EJECTIONS = "upstreams_left_alone"
CRASHES = "upstream_crashes"

log = logbook.Logger(__name__)


@attrs.frozen(kw_only=True)
class UpstreamFindings:
    """Upstreams to be reported to the other entries.

    Another incarnation answers at the address of those `gone`, no connection could be
    made to those `unreached`, and those `failing` were ejected as outliers.
    """

    gone: tuple[str, ...]
    unreached: tuple[str, ...]
    failing: tuple[str, ...]


@attrs.frozen(kw_only=True)
class _EndedIncarnation:
    """An upstream's previous incarnation, and when the new one was noticed."""

    upstream: Upstream
    at_s: float


class UpstreamMonitor:
    """Tracks crashed, replaced, unreachable and failing upstreams.

    Not thread-safe: its owner holds a lock. Times are in seconds.
    """

    def __init__(self, *, own_name: str, scheduler: Scheduler, metrics: Metrics):
        self.crashes = CrashDetector(own_name=own_name)
        self._scheduler = scheduler
        self._metrics = metrics
        self._evidence: list[CrashEvidence] = []
        self._gone: set[str] = set()
        self._unreached: set[str] = set()
        self._failing: set[str] = set()
        self._unreached_reports = PeerReports()
        self._failing_reports = PeerReports()
        self._listed: dict[str, Upstream] = {}
        self._restarted: list[_EndedIncarnation] = []

    def update_listed(
        self, upstreams: tuple[Upstream, ...], now_s: float
    ) -> list[Upstream]:
        """Apply the platform's list; return the ended incarnations."""
        listed = {each.upstream_id: each for each in upstreams}
        names = {each.name for each in upstreams}
        restarted = [
            each
            for key, each in self._listed.items()
            if key not in listed and each.name in names
        ]
        self._listed = listed
        self._unreached_reports.retain(set(listed))
        self._failing_reports.retain(set(listed))
        self._restarted += [
            _EndedIncarnation(upstream=e, at_s=now_s) for e in restarted
        ]
        return restarted

    def record_attempt(
        self,
        upstream: Upstream,
        accepted: AcceptedRequest,
        outcome: AttemptOutcome,
        now_s: float,
    ) -> None:
        """Record the outcome of one of this entry's attempts."""
        fingerprint = accepted.fingerprint
        if outcome is AttemptOutcome.ANSWERED:
            self.crashes.record_answer(upstream.service, fingerprint)
        elif outcome is AttemptOutcome.BROKEN:
            self.crashes.record_broken_answer(upstream.upstream_id, fingerprint, now_s)
        elif outcome is AttemptOutcome.UNREACHABLE:
            self._check_crash(upstream, now_s)
            self._unreached.add(upstream.upstream_id)
        elif outcome is AttemptOutcome.MISDIRECTED:
            self._check_crash(upstream, now_s)
            self._evict(upstream.upstream_id, now_s)
            self._gone.add(upstream.upstream_id)
        upstream_state = self._scheduler.queue(upstream.service).pool.state_of(
            upstream.upstream_id
        )
        if upstream_state is None:
            return
        if outcome is AttemptOutcome.ANSWERED:
            upstream_state.health.record_success()
        elif outcome is AttemptOutcome.FAILED:
            upstream_state.health.record_failure()
            self._check_outlier(upstream_state, now_s)
        elif outcome is AttemptOutcome.BROKEN:
            # A broken connection alone doesn't mean that the upstream is down; if it
            # is, the next connection is refused without any harm.
            upstream_state.health.record_broken_connection()
            self._check_outlier(upstream_state, now_s)
        elif outcome in (AttemptOutcome.SILENT, AttemptOutcome.UNREACHABLE):
            upstream_state.health.record_unreachable(now_s)

    def merge_peer_state(self, by: str, state: SharedState, now_s: float) -> None:
        """Apply the findings that another entry reports."""
        for upstream_id in state.gone:
            self._evict(upstream_id, now_s)
        for upstream_id in state.unreached:
            self._record_unreached_report(upstream_id, by, state.data_centre, now_s)
        for upstream_id in state.failing:
            self._record_failing_report(upstream_id, by, state.data_centre, now_s)

    def merge_evidence(self, evidence: CrashEvidence, now_s: float) -> None:
        """Add a crash that another entry detected."""
        self.crashes.merge(evidence, now_s)
        self._metrics.count(CRASHES, "told")
        _log_crash(evidence, by=evidence.crash_id.rpartition("/")[2])

    def tick(self, now_s: float) -> None:
        """Check restarts for a crash once requests to the old incarnation ended."""
        settled = [e for e in self._restarted if now_s >= e.at_s + RESTART_SETTLED_S]
        for each in settled:
            self._restarted.remove(each)
            self._check_crash(each.upstream, now_s)

    def take_findings(self) -> UpstreamFindings:
        """Return the findings since the last call, and clear them."""
        findings = UpstreamFindings(
            gone=tuple(self._gone),
            unreached=tuple(self._unreached),
            failing=tuple(self._failing),
        )
        self._gone.clear()
        self._unreached.clear()
        self._failing.clear()
        return findings

    def take_evidence(self) -> list[CrashEvidence]:
        """Return the crashes that haven't been sent to the others, and clear them."""
        evidence, self._evidence = self._evidence, []
        return evidence

    def _check_outlier(self, upstream_state: UpstreamState, now_s: float) -> None:
        pool = self._scheduler.queue(upstream_state.upstream.service).pool
        if pool.eject_if_outlier(upstream_state, now_s):
            self._failing.add(upstream_state.upstream.upstream_id)
            self._record_ejection(upstream_state, reason="own", by="own answers")

    def _record_failing_report(
        self, upstream_id: str, by: str, data_centre: str, now_s: float
    ) -> None:
        is_failing = self._failing_reports.record(
            upstream_id, by=by, data_centre=data_centre, now_s=now_s
        )
        if not is_failing:
            return
        for queue in self._scheduler.queues().values():
            if queue.pool.eject_on_reports(upstream_id, now_s):
                upstream_state = queue.pool.state_of(upstream_id)
                self._record_ejection(
                    upstream_state, reason="told", by=f"{by} and others"
                )

    def _record_unreached_report(
        self, upstream_id: str, by: str, data_centre: str, now_s: float
    ) -> None:
        is_unreachable = self._unreached_reports.record(
            upstream_id, by=by, data_centre=data_centre, now_s=now_s
        )
        if not is_unreachable:
            return
        for queue in self._scheduler.queues().values():
            upstream_state = queue.pool.state_of(upstream_id)
            if upstream_state is not None:
                upstream_state.health.suspend_on_reports(now_s)

    def _record_ejection(
        self, upstream_state: UpstreamState, *, reason: str, by: str
    ) -> None:
        self._metrics.count(EJECTIONS, reason)
        log.info(
            "upstream ejected",
            upstream=upstream_state.upstream.upstream_id,
            service=upstream_state.upstream.service,
            by=by,
            failure_share=round(upstream_state.health.failure_share, 2),
            in_row=upstream_state.health.consecutive_failures,
        )

    def _evict(self, upstream_id: str, now_s: float) -> None:
        for queue in self._scheduler.queues().values():
            queue.pool.evict(upstream_id, now_s)

    def _check_crash(self, upstream: Upstream, now_s: float) -> None:
        evidence = self.crashes.record_unreachable(
            upstream.service, upstream.upstream_id, now_s
        )
        if evidence is not None:
            self._evidence.append(evidence)
            self._metrics.count(CRASHES, "own")
            _log_crash(evidence, by="own requests")


def _log_crash(evidence: CrashEvidence, *, by: str) -> None:
    log.info(
        signals.CRASHED,
        upstream=evidence.upstream,
        service=evidence.service,
        contents=evidence.fingerprints,
        by=by,
    )
