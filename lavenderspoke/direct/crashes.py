"""Tells an upstream's crash from a lost answer, and who was running in it."""

import attrs

from lavenderspoke.poison import CrashEvidence, CrashHistory, QuarantinePolicy

# Answers that broke within this time, in seconds, before an upstream was found
# dead, broke because it died.
BROKE_TOGETHER_S = 2.5
# A request is refused after it was there in so many crashes: one may be chance.
CRASHED_UPSTREAMS = 2
QUARANTINE_S = 600.0


@attrs.frozen(kw_only=True)
class _Break:
    fingerprint: str
    at_s: float


class CrashDetector:
    """The crashes that an entry has seen or was told of.

    A broken answer alone proves nothing, since connections are reset and
    answers get lost. Only when the upstream then refuses a connection, did it
    crash, and what broke shortly before was running in it.
    """

    def __init__(self, *, own_name: str):
        self._own_name = own_name
        self._ledgers: dict[str, CrashHistory] = {}
        self._broken: dict[str, list[_Break]] = {}

    def record_broken_answer(
        self, upstream_id: str, fingerprint: str, now_s: float
    ) -> None:
        """Note an answer that broke off."""
        kept = [b for b in self._broken.get(upstream_id, []) if _recent(b, now_s)]
        self._broken[upstream_id] = kept + [_Break(fingerprint=fingerprint, at_s=now_s)]

    def record_unreachable(
        self, service: str, upstream_id: str, now_s: float
    ) -> CrashEvidence | None:
        """Note that an upstream refuses connections; return evidence to share."""
        broken = self._broken.pop(upstream_id, [])
        fingerprints = {b.fingerprint for b in broken if _recent(b, now_s)}
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
        """Take in a crash that this or another entry saw."""
        self._ledger(evidence.service).record_crash(evidence, now_s)

    def record_answer(self, service: str, fingerprint: str) -> None:
        """Note that an upstream answered this content whole."""
        self._ledger(service).record_answered(fingerprint)

    def is_quarantined(self, service: str, fingerprint: str, now_s: float) -> bool:
        """Return whether this content is to be refused."""
        return self._ledger(service).is_quarantined(fingerprint, now_s)

    def _ledger(self, service: str) -> CrashHistory:
        if service not in self._ledgers:
            poison = QuarantinePolicy(
                upstreams_threshold=CRASHED_UPSTREAMS, quarantine_s=QUARANTINE_S
            )
            self._ledgers[service] = CrashHistory(service=service, poison=poison)
        return self._ledgers[service]


def _recent(each: _Break, now_s: float) -> bool:
    return now_s < each.at_s + BROKE_TOGETHER_S
