"""Which request content is refused because upstreams crash when they run it.

A crash names everything that ran in the upstream, the culprit and the
bystanders. Content is quarantined when it ran in crashes of enough distinct
upstreams and nothing else explains those crashes as well: a bystander's
crashes are always some of the culprit's. Two that ran in exactly the same
crashes can't be told apart, so more crashes are waited for. Content that any
upstream has answered whole is no suspect.
"""

from collections import OrderedDict

import attrs

from lavenderspoke.checking import fieldrules

CRASHES_MAX = 256
ANSWERED_MAX = 4096
# Crashes beyond the threshold after which content that can't be told apart is
# quarantined together.
AMBIGUOUS_EXTRA = 2


@attrs.frozen(kw_only=True)
class QuarantinePolicy:
    """After how many distinct crashed upstreams a request is refused."""

    upstreams_threshold: int = attrs.field(
        default=2, metadata=fieldrules.between(1, 100)
    )
    quarantine_s: float = attrs.field(
        default=600.0, metadata=fieldrules.above(0, fieldrules.DAY_S)
    )


@attrs.frozen(kw_only=True)
class CrashEvidence:
    """An agent tells that its upstream crashed and what ran in it.

    `upstream` names the crashed upstream; the fingerprints cover content only,
    so that a re-send under a new key is recognised.
    """

    service: str
    upstream: str
    crash_id: str
    fingerprints: tuple[str, ...]


@attrs.frozen(kw_only=True)
class Quarantined:
    """A fingerprint is refused everywhere for `ttl_s` from now."""

    service: str
    fingerprint: str
    ttl_s: float


@attrs.frozen(kw_only=True)
class _Crash:
    upstream: str
    fingerprints: frozenset[str]
    at_s: float


class CrashHistory:
    """The crashes of one service that are still remembered, and the verdicts.

    Crashes are forgotten after the document's `quarantine_s`.
    """

    def __init__(self, *, service: str, poison: QuarantinePolicy):
        self._service = service
        self._poison = poison
        self._crashes: OrderedDict[str, _Crash] = OrderedDict()
        self._answered: OrderedDict[str, None] = OrderedDict()
        self._quarantined_until_s: dict[str, float] = {}

    def reconfigure(self, poison: QuarantinePolicy) -> None:
        """Put another document's rule in force."""
        self._poison = poison

    def record_crash(self, message: CrashEvidence, now_s: float) -> list[Quarantined]:
        """Take in a crash and return what is quarantined by it.

        A crash that was told of before changes nothing.
        """
        self._forget_old(now_s)
        if message.crash_id in self._crashes:
            return []
        self._crashes[message.crash_id] = _Crash(
            upstream=message.upstream,
            fingerprints=frozenset(each for each in message.fingerprints if each),
            at_s=now_s,
        )
        guilty = [
            each
            for each in sorted(self._crashes[message.crash_id].fingerprints)
            if not self.is_quarantined(each, now_s) and self._guilty(each, now_s)
        ]
        for fingerprint in guilty:
            self._hold(fingerprint, now_s + self._poison.quarantine_s)
        return [
            Quarantined(
                service=self._service,
                fingerprint=fingerprint,
                ttl_s=self._poison.quarantine_s,
            )
            for fingerprint in guilty
        ]

    def record_answered(self, fingerprint: str) -> None:
        """Note that an upstream answered this content whole."""
        self._answered[fingerprint] = None
        self._answered.move_to_end(fingerprint)
        if len(self._answered) > ANSWERED_MAX:
            self._answered.popitem(last=False)

    def apply_quarantine(self, message: Quarantined, now_s: float) -> None:
        """Take over a verdict of another daemon."""
        self._hold(message.fingerprint, now_s + message.ttl_s)

    def is_quarantined(self, fingerprint: str, now_s: float) -> bool:
        """Return whether this content is refused."""
        return now_s < self._quarantined_until_s.get(fingerprint, now_s)

    def _hold(self, fingerprint: str, until_s: float) -> None:
        known_s = self._quarantined_until_s.get(fingerprint, until_s)
        self._quarantined_until_s[fingerprint] = max(until_s, known_s)

    def _guilty(self, fingerprint: str, now_s: float) -> bool:
        if fingerprint in self._answered:
            return False
        crashes = self._unexplained(fingerprint, now_s)
        upstreams = {self._crashes[crash_id].upstream for crash_id in crashes}
        if len(upstreams) < self._poison.upstreams_threshold:
            return False
        rivals = self._rivals(fingerprint, crashes)
        # Whatever ran in all of these crashes and in more explains them better.
        if any(len(self._unexplained(each, now_s)) > len(crashes) for each in rivals):
            return False
        enough = self._poison.upstreams_threshold + AMBIGUOUS_EXTRA
        return not rivals or len(upstreams) >= enough

    def _unexplained(self, fingerprint: str, now_s: float) -> set[str]:
        """Return the crashes it ran in where nothing quarantined ran beside it.

        Without this a bystander of a known culprit would need just one crash
        of another cause to be condemned too.
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

    def _rivals(self, fingerprint: str, crashes: set[str]) -> set[str]:
        """Return the other suspects that ran in all of these crashes."""
        shared = [self._crashes[crash_id].fingerprints for crash_id in crashes]
        common = frozenset.intersection(*shared)
        return {
            each
            for each in common
            if each != fingerprint and each not in self._answered
        }

    def _forget_old(self, now_s: float) -> None:
        kept_since_s = now_s - self._poison.quarantine_s
        while self._crashes:
            oldest = next(iter(self._crashes.values()))
            if oldest.at_s > kept_since_s and len(self._crashes) < CRASHES_MAX:
                break
            self._crashes.popitem(last=False)
        self._quarantined_until_s = {
            fingerprint: until_s
            for fingerprint, until_s in self._quarantined_until_s.items()
            if now_s < until_s
        }
