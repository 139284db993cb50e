"""Detects upstream crashes, and which requests were running in them."""

import attrs

from lavenderspoke.poison import CrashEvidence, CrashHistory, QuarantinePolicy

# Answers that broke off at most this long before their upstream refused a connection
# are put down to a crash.
CRASH_WINDOW_S = 2.5
# Least number of crashed upstreams for which content that ran there is refused: one may
# be chance.
CRASHED_UPSTREAMS_MIN = 2
QUARANTINE_S = 600.0


@attrs.frozen(kw_only=True)
class _BrokenAnswer:
    fingerprint: str
    at_s: float


class CrashDetector:
    """The crashes that an entry has detected or received from others.

    A broken answer alone proves nothing, since connections are reset and answers get
    lost. Only if the upstream then refuses a connection, or turns out to have
    restarted, did it crash, and the answers that broke shortly before were running in
    it.
    """

    def __init__(self, *, own_name: str):
        self._own_name = own_name
        self._histories: dict[str, CrashHistory] = {}
        self._broken_answers: dict[str, list[_BrokenAnswer]] = {}

    def record_broken_answer(
        self, upstream_id: str, fingerprint: str, now_s: float
    ) -> None:
        """Record an answer that broke off."""
        kept = [
            b for b in self._broken_answers.get(upstream_id, []) if _is_recent(b, now_s)
        ]
        self._broken_answers[upstream_id] = kept + [
            _BrokenAnswer(fingerprint=fingerprint, at_s=now_s)
        ]

    def record_unreachable(
        self, service: str, upstream_id: str, now_s: float
    ) -> CrashEvidence | None:
        """Record that an upstream is down or replaced; return evidence of a crash."""
        broken = self._broken_answers.pop(upstream_id, [])
        fingerprints = {b.fingerprint for b in broken if _is_recent(b, now_s)}
        if not fingerprints:
            return None
        evidence = CrashEvidence(
            service=service,
            upstream=upstream_id,
            crash_id=f"{upstream_id}/{self._own_name}",
            fingerprints=tuple(sorted(fingerprints)),
        )
        self.merge(evidence, now_s)
        return evidence

    def merge(self, evidence: CrashEvidence, now_s: float) -> None:
        """Add a crash that this or another entry detected."""
        self._history(evidence.service).record_crash(evidence, now_s)

    def record_answer(self, service: str, fingerprint: str) -> None:
        """Record that content with this fingerprint was answered completely."""
        self._history(service).record_answered(fingerprint)

    def is_quarantined(self, service: str, fingerprint: str, now_s: float) -> bool:
        """Return whether requests with this content are refused."""
        return self._history(service).is_quarantined(fingerprint, now_s)

    def _history(self, service: str) -> CrashHistory:
        if service not in self._histories:
            policy = QuarantinePolicy(
                upstreams_threshold=CRASHED_UPSTREAMS_MIN, quarantine_s=QUARANTINE_S
            )
            self._histories[service] = CrashHistory(service=service, policy=policy)
        return self._histories[service]


def _is_recent(each: _BrokenAnswer, now_s: float) -> bool:
    return now_s < each.at_s + CRASH_WINDOW_S
