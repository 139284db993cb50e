"""Detects and quarantines request content that crashes upstreams.

Crash evidence names all content that was running in the upstream: the culprit
and bystanders. Content is quarantined when it ran in crashes of enough distinct
upstreams and no other content ran in all of them: a bystander of a culprit runs
only in some of its crashes. Contents that ran in exactly the same crashes can't
be distinguished, so they are quarantined only after crashes of more upstreams.
Content among the last `ANSWERED_MAX` that an upstream answered completely isn't
suspected.
"""

from collections import OrderedDict

import attrs

from lavenderspoke.checking import fieldrules

# Bounds of what a history remembers; the oldest is forgotten first.
CRASHES_MAX = 256
ANSWERED_MAX = 4096
# Crashed upstreams beyond the threshold after which contents that can't be
# distinguished are all quarantined.
AMBIGUOUS_EXTRA_UPSTREAMS = 2


@attrs.frozen(kw_only=True)
class QuarantinePolicy:
    """After how many distinct crashed upstreams content is refused, and how long."""

    upstreams_threshold: int = attrs.field(
        default=2, metadata=fieldrules.between(1, 100)
    )
    quarantine_s: float = attrs.field(
        default=600.0, metadata=fieldrules.above(0, fieldrules.DAY_S)
    )


@attrs.frozen(kw_only=True)
class CrashEvidence:
    """Reports that an upstream crashed, and which content was running in it.

    The fingerprints cover the requests' content only, so a re-send under
    another key is recognised.
    """

    service: str
    upstream: str
    crash_id: str
    fingerprints: tuple[str, ...]


@attrs.frozen(kw_only=True)
class Quarantined:
    """Announces that a fingerprint is refused for `ttl_s` from receipt."""

    service: str
    fingerprint: str
    ttl_s: float


@attrs.frozen(kw_only=True)
class _Crash:
    upstream: str
    fingerprints: frozenset[str]
    recorded_s: float


class CrashHistory:
    """The recent crashes of one service, and its quarantined fingerprints.

    Crashes are kept for the policy's `quarantine_s`, at most `CRASHES_MAX`.
    """

    def __init__(self, *, service: str, policy: QuarantinePolicy):
        self._service = service
        self._policy = policy
        self._crashes: OrderedDict[str, _Crash] = OrderedDict()
        self._answered: OrderedDict[str, None] = OrderedDict()
        self._quarantined_until_s: dict[str, float] = {}

    def reconfigure(self, policy: QuarantinePolicy) -> None:
        """Apply the policy of a new service document."""
        self._policy = policy

    def record_crash(self, message: CrashEvidence, now_s: float) -> list[Quarantined]:
        """Record a crash and return the quarantines that follow from it.

        A crash with an id that is already recorded changes nothing.
        """
        self._expire(now_s)
        if message.crash_id in self._crashes:
            return []
        self._crashes[message.crash_id] = _Crash(
            upstream=message.upstream,
            fingerprints=frozenset(each for each in message.fingerprints if each),
            recorded_s=now_s,
        )
        culprits = [
            each
            for each in sorted(self._crashes[message.crash_id].fingerprints)
            if not self.is_quarantined(each, now_s) and self._is_culprit(each, now_s)
        ]
        for fingerprint in culprits:
            self._quarantine(fingerprint, now_s + self._policy.quarantine_s)
        return [
            Quarantined(
                service=self._service,
                fingerprint=fingerprint,
                ttl_s=self._policy.quarantine_s,
            )
            for fingerprint in culprits
        ]

    def record_answered(self, fingerprint: str) -> None:
        """Record that an upstream answered this content completely."""
        self._answered[fingerprint] = None
        self._answered.move_to_end(fingerprint)
        if len(self._answered) > ANSWERED_MAX:
            self._answered.popitem(last=False)

    def apply_quarantine(self, message: Quarantined, now_s: float) -> None:
        """Apply a quarantine that another daemon announced."""
        self._quarantine(message.fingerprint, now_s + message.ttl_s)

    def is_quarantined(self, fingerprint: str, now_s: float) -> bool:
        """Return whether this content is quarantined now."""
        return now_s < self._quarantined_until_s.get(fingerprint, now_s)

    def _quarantine(self, fingerprint: str, until_s: float) -> None:
        known_s = self._quarantined_until_s.get(fingerprint, until_s)
        self._quarantined_until_s[fingerprint] = max(until_s, known_s)

    def _is_culprit(self, fingerprint: str, now_s: float) -> bool:
        if fingerprint in self._answered:
            return False
        crashes = self._unexplained_crashes(fingerprint, now_s)
        upstreams = {self._crashes[crash_id].upstream for crash_id in crashes}
        if len(upstreams) < self._policy.upstreams_threshold:
            return False
        others = self._other_suspects(fingerprint, crashes)
        # Content that ran in all of these crashes and in others is more suspect.
        if any(
            len(self._unexplained_crashes(each, now_s)) > len(crashes)
            for each in others
        ):
            return False
        ambiguous_threshold = (
            self._policy.upstreams_threshold + AMBIGUOUS_EXTRA_UPSTREAMS
        )
        return not others or len(upstreams) >= ambiguous_threshold

    def _unexplained_crashes(self, fingerprint: str, now_s: float) -> set[str]:
        """Return the crashes in which it ran without other quarantined content.

        If the rest counted, a bystander of a known culprit would be quarantined
        after a single crash with another cause.
        """
        return {
            crash_id
            for crash_id, crash in self._crashes.items()
            if fingerprint in crash.fingerprints
            and not any(
                self.is_quarantined(each, now_s)
                for each in crash.fingerprints
                if each != fingerprint
            )
        }

    def _other_suspects(self, fingerprint: str, crashes: set[str]) -> set[str]:
        """Return the other unanswered contents that ran in all of these crashes."""
        shared = [self._crashes[crash_id].fingerprints for crash_id in crashes]
        common = frozenset.intersection(*shared)
        return {
            each
            for each in common
            if each != fingerprint and each not in self._answered
        }

    def _expire(self, now_s: float) -> None:
        cutoff_s = now_s - self._policy.quarantine_s
        while self._crashes:
            oldest = next(iter(self._crashes.values()))
            if oldest.recorded_s > cutoff_s and len(self._crashes) < CRASHES_MAX:
                break
            self._crashes.popitem(last=False)
        self._quarantined_until_s = {
            fingerprint: until_s
            for fingerprint, until_s in self._quarantined_until_s.items()
            if now_s < until_s
        }
