"""What this entry's attempts and the other entries' reports show of upstreams.

An upstream is taken out of use if another one has replaced it, it can't be reached, or
it fails more than the others of its service. What one entry finds it reports to the
others, so that they needn't find it out with requests of their own.
"""

import attrs
import logbook

from lavenderspoke.direct.crashes import CrashDetector, EndSign
from lavenderspoke.direct.crashrecords import CrashRecords
from lavenderspoke.direct.dispatcher import AcceptedRequest, AttemptOutcome
from lavenderspoke.direct.instances import Upstream
from lavenderspoke.direct.messages import SharedState
from lavenderspoke.direct.peerreports import PeerReports
from lavenderspoke.direct.quarantinerecords import QuarantineChanges
from lavenderspoke.direct.scheduler import Scheduler
from lavenderspoke.direct.upstreamstate import UpstreamState
from lavenderspoke.observing import signals
from lavenderspoke.observing.metrics import Metrics
from lavenderspoke.quarantine.messages import CrashEvidence, Quarantined

# Time after which the digest of all crashes is computed again, in seconds: old ones
# leave it as time passes.
DIGEST_KEPT_S = 1.0
EJECTIONS = "upstreams_left_alone"
ENDS = "upstream_ends"
CRASHES = "crash_records"
QUARANTINES = "content_quarantines"
UNANSWERED = "upstream_unanswered"
# Ends that each entry finds out itself, from the list or from the others' reports.
ENDS_FOUND_BY_EACH = (EndSign.DROPPED, EndSign.UNREACHED)
# Outcomes after which a request may have been running when its upstream ends.
UNANSWERED_OUTCOMES = (
    AttemptOutcome.BROKEN,
    AttemptOutcome.ENDED,
    AttemptOutcome.SILENT,
)

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


class UpstreamMonitor:
    """Tracks crashed, replaced, unreachable and failing upstreams.

    Not thread-safe: its owner holds a lock. Times are in seconds.
    """

    def __init__(self, *, name: str, scheduler: Scheduler, metrics: Metrics):
        self.crashes = CrashDetector()
        self.records = CrashRecords(entry=name)
        self._scheduler = scheduler
        self._metrics = metrics
        self._evidence: list[CrashEvidence | Quarantined] = []
        self._gone: set[str] = set()
        self._unreached: set[str] = set()
        self._failing: set[str] = set()
        self._unreached_reports = PeerReports()
        self._failing_reports = PeerReports()
        self._listed: dict[str, Upstream] = {}
        self._has_list = False
        self._quarantined: set[str] = set()
        self._new_quarantines: set[str] = set()
        self._digest: tuple[int, float, int] = (0, 0.0, 0)

    def update_listed(
        self, upstreams: tuple[Upstream, ...], now_s: float
    ) -> list[Upstream]:
        """Apply the platform's list; return the ended incarnations."""
        before, listed = self._listed, {each.upstream_id: each for each in upstreams}
        names = {each.name for each in upstreams}
        went = [each for key, each in before.items() if key not in listed]
        restarted = [each for each in went if each.name in names]
        came = [each for key, each in listed.items() if key not in before]
        # The record of one that crashed before this entry started may not have lapsed.
        listed_again = came if self._has_list else []
        self._listed, self._has_list = listed, True
        self._unreached_reports.retain(set(listed))
        self._failing_reports.retain(set(listed))
        for each in listed_again:
            self.crashes.record_listed(each.upstream_id, now_s)
        taken = {(each.host, each.port) for each in came}
        replaced = [
            each
            for each in before.values()
            if (each.host, each.port) in taken and each not in went
        ]
        for each in (*before.values(), *upstreams):
            if each.leaving:
                self.crashes.record_leaving(each.upstream_id, now_s)
        self.record_ends([*restarted, *replaced], EndSign.REPLACED, now_s)
        self.record_ends(went, EndSign.DROPPED, now_s)
        return restarted

    def record_ends(
        self, upstreams: list[Upstream], sign: EndSign, now_s: float
    ) -> None:
        """Record upstreams that were seen to end, and tell the others of crashes."""
        for evidence in self.crashes.record_ends(upstreams, sign, now_s):
            self._metrics.count(ENDS, sign.value)
            _log_end(evidence, sign=sign.value)
            if evidence.fingerprints or sign not in ENDS_FOUND_BY_EACH:
                self._add_own(evidence)
        self._note_quarantines(now_s)

    def record_arrival(self, accepted: AcceptedRequest) -> None:
        """Record which prompt parts callers use."""
        if parts := accepted.head.shared_parts:
            self.crashes.history.part_use.record_request(parts)

    def is_quarantined(self, accepted: AcceptedRequest, now_s: float) -> bool:
        """Return whether a request's content, or part of its prompt, is refused."""
        return self.crashes.is_quarantined(
            accepted.fingerprint, now_s, accepted.head.shared_parts
        )

    def record_attempt(
        self,
        upstream: Upstream,
        accepted: AcceptedRequest,
        outcome: AttemptOutcome,
        now_s: float,
        *,
        sent_s: float,
        heard_s: float,
    ) -> None:
        """Record the outcome of one of this entry's attempts.

        The upstream was sent the request at `sent_s`, and that or sent something itself
        at `heard_s`.
        """
        self._record_content(
            upstream, accepted, outcome, sent_s=sent_s, heard_s=heard_s, now_s=now_s
        )
        if outcome is AttemptOutcome.UNREACHABLE:
            self._unreached.add(upstream.upstream_id)
        elif outcome is AttemptOutcome.MISDIRECTED:
            self.record_ends([upstream], EndSign.REPLACED, now_s)
            self._evict(upstream.upstream_id, now_s)
            self._gone.add(upstream.upstream_id)
        upstream_state = self._scheduler.queue(upstream.service).pool.state_of(
            upstream.upstream_id
        )
        if upstream_state is None:
            return
        if outcome.is_answer:
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

    def merge_peer_state(
        self, by: str, state: SharedState, now_s: float, age_s: float = 0.0
    ) -> None:
        """Apply the findings that another entry reported `age_s` seconds ago."""
        for part, cleared_age_s in state.cleared:
            self.crashes.history.record_part_cleared(
                part, sent_s=now_s - age_s - max(0.0, cleared_age_s)
            )
        for upstream_id in state.gone:
            self._evict(upstream_id, now_s)
        for upstream_id in state.upstreams_leaving:
            self.crashes.record_leaving(upstream_id, now_s)
        for upstream_id in state.unreached:
            self._record_unreached_report(upstream_id, by, state.data_centre, now_s)
        for upstream_id in state.failing:
            self._record_failing_report(upstream_id, by, state.data_centre, now_s)

    def merge_evidence(self, evidence: CrashEvidence, now_s: float) -> None:
        """Add a crash that another entry detected."""
        revision = self.crashes.history.revision
        own = self.crashes.merge(evidence, now_s)
        if own is not None:
            self._add_own(own)
        if self.crashes.history.revision != revision:
            self._metrics.count(ENDS, EndSign.TOLD.value)
            _log_end(evidence, sign=EndSign.TOLD.value)
        self._note_quarantines(now_s)

    def tick(self, now_s: float) -> None:
        """Notice quarantines that are over, or were lifted."""
        self._note_quarantines(now_s)

    def digest(self, now_s: float) -> int:
        """Return a number that differs if another entry knows other crashes."""
        history = self.crashes.history
        revision, computed_s, digest = self._digest
        if history.revision != revision or now_s >= computed_s + DIGEST_KEPT_S:
            digest = history.digest(now_s)
            self._digest = (history.revision, now_s, digest)
        return digest

    def all_evidence(self, now_s: float) -> list[CrashEvidence | Quarantined]:
        """Return all crashes and bad parts that another entry should know."""
        history = self.crashes.history
        told = (history.evidence(e, now_s) for e in history.told_crash_ids(now_s))
        evidence = [each for each in told if each is not None]
        bad = sorted(e for e in history.quarantined(now_s) if signals.parts_of(e))
        return [*evidence, *(self._quarantined_now(each, now_s) for each in bad)]

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

    def take_cleared(self, now_s: float) -> tuple[tuple[str, float], ...]:
        """Return the prompt parts that this entry has cleared since the last call."""
        return self.crashes.history.take_cleared(now_s)

    def take_evidence(self) -> list[CrashEvidence | Quarantined]:
        """Return what hasn't been sent to the others of crashes, and clear it."""
        evidence = [*self._evidence, *self.crashes.take_corrections()]
        self._evidence.clear()
        return evidence

    def apply_told(self, message: Quarantined, now_s: float) -> None:
        """Apply a quarantine of prompt parts that another entry tells of."""
        history, cause = self.crashes.history, message.fingerprint
        if message.ttl_s > 0.0 and not history.is_quarantined(cause, now_s):
            self._metrics.count(QUARANTINES, "told")
            log.warning(signals.QUARANTINE_READ, content=cause)
        history.apply_quarantine(message, now_s)
        self._new_quarantines.add(cause)

    def apply_recorded(self, changes: QuarantineChanges, now_s: float) -> None:
        """Apply what became of quarantines that other entries have recorded."""
        history = self.crashes.history
        for each in changes.lifted:
            history.lift(each)
        self._note_quarantines(now_s)
        for each in changes.began:
            if not history.is_quarantined(each, now_s):
                self._metrics.count(QUARANTINES, "read")
                log.warning(signals.QUARANTINE_READ, content=each)
            self.crashes.announce(each, now_s)
        self._new_quarantines.update(changes.began)

    def take_new_quarantines(self) -> set[str]:
        """Return the content that was quarantined since the last call."""
        new, self._new_quarantines = self._new_quarantines, set()
        return new

    def _quarantined_now(self, cause: str, now_s: float) -> Quarantined:
        ttl_s = self.crashes.history.remaining_s(cause, now_s)
        return Quarantined(service="", fingerprint=cause, ttl_s=ttl_s)

    def _add_own(self, evidence: CrashEvidence) -> None:
        """Have evidence of this entry told to the others, and recorded."""
        self._evidence.append(evidence)
        self.records.note_own(evidence)

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
        if upstream := self._listed.get(upstream_id):
            self.record_ends([upstream], EndSign.UNREACHED, now_s)
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

    def _record_content(
        self,
        upstream: Upstream,
        accepted: AcceptedRequest,
        outcome: AttemptOutcome,
        *,
        sent_s: float,
        heard_s: float,
        now_s: float,
    ) -> None:
        """Record what an attempt's outcome says about its content."""
        evidence, fingerprint = None, accepted.fingerprint
        parts = accepted.head.shared_parts
        if outcome is AttemptOutcome.ANSWERED:
            self.crashes.record_alive(upstream.upstream_id, now_s)
            self._evidence += self.crashes.record_answer(fingerprint, now_s)
            self.crashes.history.record_parts_answered(
                parts, sent_s=sent_s, now_s=now_s
            )
        elif outcome is AttemptOutcome.ENDED:
            evidence = self.crashes.record_ended_answer(
                upstream, fingerprint, sent_s=sent_s, now_s=now_s, parts=parts
            )
        elif outcome is AttemptOutcome.BROKEN:
            evidence = self.crashes.record_broken_answer(
                upstream, fingerprint, heard_s=heard_s, now_s=now_s, parts=parts
            )
        elif outcome in (AttemptOutcome.SILENT, AttemptOutcome.LEFT):
            evidence = self.crashes.record_silence(
                upstream, fingerprint, heard_s=heard_s, now_s=now_s, parts=parts
            )
        if evidence is not None:
            self._add_own(evidence)
            _log_end(evidence, sign="known")
        if outcome in UNANSWERED_OUTCOMES:
            sign = self.crashes.end_sign(upstream.upstream_id)
            self._metrics.count(UNANSWERED, outcome.value)
            log.info(
                signals.UNANSWERED,
                upstream=upstream.upstream_id,
                content=fingerprint,
                outcome=outcome.value,
                heard_before_s=round(now_s - heard_s, 3),
                end=sign.value if sign is not None else None,
            )
        self._note_quarantines(now_s)

    def _note_quarantines(self, now_s: float) -> None:
        """Log and count the quarantines that began or were lifted."""
        history = self.crashes.history
        proved = history.proved(now_s)
        if proved == self._quarantined:
            return
        self._new_quarantines |= proved - self._quarantined
        self._evidence += [
            self._quarantined_now(each, now_s)
            for each in sorted(proved ^ self._quarantined)
            # Of content each entry has the same proof, but not of how common parts are.
            if signals.parts_of(each)
        ]
        for each in sorted(proved - self._quarantined):
            self._metrics.count(QUARANTINES, "proved")
            log.warning(
                signals.QUARANTINED, content=each, upstreams=history.upstreams_of(each)
            )
        for each in sorted(self._quarantined - proved):
            self._metrics.count(QUARANTINES, "ended")
            log.info(signals.QUARANTINE_ENDED, content=each)
        self._quarantined = proved


def _log_end(evidence: CrashEvidence, *, sign: str) -> None:
    log.info(
        signals.ENDED,
        upstream=evidence.upstream,
        service=evidence.service,
        sign=sign,
        contents=evidence.fingerprints,
        answered=evidence.answered or None,
        parts=evidence.parts or None,
        cleared=evidence.cleared or None,
    )
