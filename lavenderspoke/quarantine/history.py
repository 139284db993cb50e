"""Detects and quarantines request content, or prompt parts, that crash upstreams.

Crash evidence names all content that was running in the upstream: the culprit
and bystanders. Content is quarantined when it ran in crashes of enough distinct
upstreams and no other content ran in all of them: a bystander of a culprit runs
only in some of its crashes. More upstreams have to crash where that is less certain:
for contents that ran in exactly the same crashes, for content among the last
`ANSWERED_MAX` that an upstream answered completely, for crashes that are presumed and
not proved, and, where ends are recorded as well, for content whose upstreams ended
together with others.

What requests that aren't alike share, parts of their prompts, is blamed as `partblame`
says; a cause is the hash of a content or the name of parts. The narrowest cause comes
first: content that was sent again is blamed itself, and explains its crashes.

A complete answer excuses content from all crashes until then, and the parts of its
prompt from all crashes until it was sent. An excuse isn't undone
when the same evidence arrives again, so daemons may exchange what they know in any
order.
"""

import hashlib
from collections import OrderedDict
from collections.abc import Iterable

import attrs

from lavenderspoke.checking import fieldrules
from lavenderspoke.observing.signals import cause_of_parts, parts_of
from lavenderspoke.quarantine.crash import NO_PARTS, Crash
from lavenderspoke.quarantine.messages import CrashEvidence, Quarantined
from lavenderspoke.quarantine.partblame import SuspectCrash, find_bad_parts, is_common
from lavenderspoke.quarantine.partuse import PartUse
from lavenderspoke.quarantine.quarantines import Quarantines

# Bounds of what a history remembers; the oldest is forgotten first.
CRASHES_MAX = 256
ANSWERED_MAX = 4096
# Crashed upstreams beyond the threshold after which content is quarantined although it
# isn't certain to be the culprit.
AMBIGUOUS_EXTRA_UPSTREAMS = 2
# Time for which crashes are remembered, in multiples of a quarantine: content that
# crashes another upstream after its quarantine needs no new proof.
CRASHES_KEPT_QUARANTINES = 6.0
# Time before the end of that from which crashes aren't told to others any more, in
# seconds: one that has forgotten a crash must not learn it again.
UNTOLD_S = 60.0
# Parts that are blamed together at most; the rarest are.
BLAMED_TOGETHER_MAX = 3
# The quarantine of parts that many requests have, as a share of others: their blame is
# less certain, and refuses more.
COMMON_QUARANTINE_SHARE = 0.2
# Parts to be told to others that have been cleared; the oldest is left out first.
CLEARED_MAX = 64


@attrs.frozen(kw_only=True)
class QuarantinePolicy:
    """After how many distinct crashed upstreams content is refused, and how long."""

    upstreams_threshold: int = attrs.field(
        default=2, metadata=fieldrules.between(1, 100)
    )
    quarantine_s: float = attrs.field(
        default=600.0, metadata=fieldrules.above(0, fieldrules.DAY_S)
    )


class CrashHistory:
    """The recent crashes of one service or of all, and the quarantined fingerprints.

    With an `outage_window_s`, upstreams of a service that ended within that time of
    each other, and didn't all run the content, may have a common cause.
    """

    def __init__(
        self, *, service: str, policy: QuarantinePolicy, outage_window_s: float = 0.0
    ):
        self._service = service
        self._policy = policy
        self._outage_window_s = outage_window_s
        self._crashes: OrderedDict[str, Crash] = OrderedDict()
        self._answered: OrderedDict[str, None] = OrderedDict()
        # Changes with each crash, content and excuse that is recorded or forgotten.
        self.revision = 0
        self._quarantines = Quarantines()
        self.part_use = PartUse()
        # Parts cleared here since they were last told to others: when the answered
        # request was sent.
        self._cleared_s: OrderedDict[str, float] = OrderedDict()

    def reconfigure(self, policy: QuarantinePolicy) -> None:
        """Apply the policy of a new service document."""
        self._policy = policy

    def record_crash(self, message: CrashEvidence, now_s: float) -> list[Quarantined]:
        """Record a crash and return the quarantines that follow from it.

        A crash that is already recorded may have further content.
        """
        return self.record_crashes((message,), now_s)

    def record_crashes(
        self, messages: Iterable[CrashEvidence], now_s: float
    ) -> list[Quarantined]:
        """Record crashes that were noticed at once, as `record_crash` does."""
        self._expire(now_s)
        to_prove, to_review, parts = set(), set(), set()
        for message in messages:
            known = self._crashes.get(message.crash_id)
            if known is None:
                self.revision += 1
                crash = self._add(message, now_s)
                to_prove |= crash.suspects
                to_review |= self._near(crash, now_s)
                parts.update(*crash.parts.values())
            elif self._extend(known, message):
                self.revision += 1
                to_prove |= known.suspects
                to_review |= known.fingerprints
                parts.update(*known.parts.values())
        # Parts are blamed first: they may explain what merely met them several times.
        culprits = self._prove_parts(parts, now_s)
        return culprits + self._prove(to_prove, to_review, now_s)

    def record_answered(self, fingerprint: str, now_s: float) -> set[str]:
        """Record that an upstream answered this content completely.

        Returns the ids of the crashes that it is excused from.
        """
        self._answered[fingerprint] = None
        self._answered.move_to_end(fingerprint)
        if len(self._answered) > ANSWERED_MAX:
            self._answered.popitem(last=False)
        excused = {
            crash_id
            for crash_id, crash in self._crashes.items()
            if fingerprint in crash.suspects
        }
        for crash_id in excused:
            self._crashes[crash_id].answered.add(fingerprint)
        if excused:
            self.revision += 1
            self._prove(set(), {fingerprint}, now_s)
        return excused

    def record_parts_answered(
        self, parts: Iterable[str], *, sent_s: float, now_s: float
    ) -> None:
        """Record a complete answer to a request with these parts, sent at `sent_s`.

        It excuses the parts from crashes before, and ends the quarantine of parts that
        were all in it and haven't crashed anything since.
        """
        parts = frozenset(parts)
        if not parts:
            return
        self.part_use.record_answer(parts, sent_s=sent_s)
        self._clear(parts, sent_s)
        for cause, bad in self._quarantines.bad_parts(now_s).items():
            if bad <= parts and not self._crashed_since(cause, sent_s):
                self.lift(cause)

    def record_part_cleared(self, part: str, *, sent_s: float) -> None:
        """Record that a request with this part, sent then, was answered elsewhere."""
        self.part_use.note_answered((part,), sent_s=sent_s)
        self._clear(frozenset((part,)), sent_s, is_own=False)

    def take_cleared(self, now_s: float) -> tuple[tuple[str, float], ...]:
        """Return the parts cleared since the last call, and how long ago."""
        cleared, self._cleared_s = self._cleared_s, OrderedDict()
        return tuple((part, now_s - sent_s) for part, sent_s in cleared.items())

    def _clear(
        self, parts: frozenset[str], sent_s: float, *, is_own: bool = True
    ) -> None:
        for crash in self._crashes.values():
            if crash.open_parts and crash.recorded_s <= sent_s:
                newly = crash.clear(parts)
                if is_own:
                    self._tell_cleared(newly, sent_s)

    def _tell_cleared(self, parts: Iterable[str], sent_s: float) -> None:
        self._cleared_s.update((part, sent_s) for part in parts)
        while len(self._cleared_s) > CLEARED_MAX:
            self._cleared_s.popitem(last=False)

    def _crashed_since(self, cause: str, at_s: float) -> bool:
        crashes = self._crashes_of(cause)
        return any(self._crashes[each].recorded_s >= at_s for each in crashes)

    def withdraw_crash(self, crash_id: str, now_s: float) -> bool:
        """Excuse all content from a crash: its upstream has shown that it didn't end.

        Returns whether any was suspected. The crash stays known, since others may tell
        of it again.
        """
        crash = self._crashes.get(crash_id)
        if crash is None or not crash.suspects:
            return False
        self.revision += 1
        crash.answered |= crash.fingerprints
        self._prove(set(), crash.fingerprints, now_s)
        return True

    def apply_quarantine(self, message: Quarantined, now_s: float) -> None:
        """Apply a quarantine that another daemon announced, or lifted."""
        self._quarantines.announce(message, now_s)

    def lift(self, cause: str) -> None:
        """End a quarantine, whatever it rests on; the next crash may renew it."""
        self._quarantines.lift(cause)

    def is_quarantined(
        self, fingerprint: str, now_s: float, parts: Iterable[str] = ()
    ) -> bool:
        """Return whether this content, or any of these parts, is quarantined now."""
        return self._quarantines.refuses(fingerprint, parts, now_s)

    def remaining_s(self, cause: str, now_s: float) -> float:
        """Return how long a cause is still quarantined, 0 if it isn't."""
        return self._quarantines.remaining_s(cause, now_s)

    def proved(self, now_s: float) -> set[str]:
        """Return the causes that are quarantined by this history's own evidence."""
        return self._quarantines.proved(now_s)

    def quarantined(self, now_s: float) -> set[str]:
        """Return all causes that are quarantined now."""
        return self._quarantines.active(now_s)

    def upstreams_of(self, fingerprint: str) -> tuple[str, ...]:
        """Return the crashed upstreams in which this content ran and is suspected."""
        crashes = self._crashes_of(fingerprint)
        return tuple(sorted({self._crashes[crash_id].upstream for crash_id in crashes}))

    def _crashes_of(self, fingerprint: str) -> set[str]:
        """Return the crashes in which this cause ran and is suspected."""
        if parts := parts_of(fingerprint):
            return {key for key, e in self._crashes.items() if e.has_parts(parts)}
        return {
            crash_id
            for crash_id, crash in self._crashes.items()
            if fingerprint in crash.suspects
        }

    def knows(self, crash_id: str) -> bool:
        """Return whether a crash is remembered."""
        return crash_id in self._crashes

    def is_suspicious(self, crash_id: str) -> bool:
        """Return whether any content is suspected of a crash."""
        return crash_id in self._crashes and self._crashes[crash_id].is_suspicious

    def evidence(self, crash_id: str, now_s: float) -> CrashEvidence | None:
        """Return a recorded crash as a message, or None if it isn't to be told."""
        crash = self._crashes.get(crash_id)
        if crash is None or not self._is_told(crash, now_s):
            return None
        return crash.evidence(crash_id, now_s)

    def told_crash_ids(self, now_s: float) -> list[str]:
        """Return the ids of the crashes that others should know, oldest first."""
        return [
            crash_id
            for crash_id, crash in self._crashes.items()
            if self._is_told(crash, now_s)
        ]

    def digest(self, now_s: float) -> int:
        """Return a number that differs if another history should know more, or less."""
        total = 0
        for crash_id in self.told_crash_ids(now_s):
            crash = self._crashes[crash_id]
            row = [crash_id, *sorted(crash.fingerprints), "", *sorted(crash.answered)]
            row += ["", "presumed"] if crash.presumed else []
            hashed = hashlib.blake2b("\0".join(row).encode(), digest_size=6).digest()
            total ^= int.from_bytes(hashed)
        return total

    def _is_told(self, crash: Crash, now_s: float) -> bool:
        age_s = now_s - crash.recorded_s
        return bool(crash.fingerprints) and age_s < self._kept_s() - UNTOLD_S

    def _kept_s(self) -> float:
        return self._policy.quarantine_s * CRASHES_KEPT_QUARANTINES

    def _add(self, message: CrashEvidence, now_s: float) -> Crash:
        crash = Crash(
            service=message.service,
            upstream=message.upstream,
            recorded_s=now_s - max(0.0, message.age_s),
            answers_before=self.part_use.answers,
        )
        self._crashes[message.crash_id] = crash
        self._extend(crash, message)
        return crash

    def _extend(self, crash: Crash, message: CrashEvidence) -> bool:
        """Add what a message tells beyond a known crash; return whether it did."""
        is_extended = crash.extend(message)
        answered = {
            each
            for each in crash.open_parts
            if self.part_use.is_answered_since(each, crash.recorded_s)
        }
        self._tell_cleared(crash.clear(answered), crash.recorded_s)
        return is_extended

    def _near(self, crash: Crash, now_s: float) -> set[str]:
        """Return the quarantined content that ran in crashes close to this one."""
        if not self._outage_window_s:
            return set()
        running = set().union(
            *(e.fingerprints for e in self._crashes.values() if self._near_by(e, crash))
        )
        return running & self.proved(now_s)

    def _near_by(self, one: Crash, other: Crash) -> bool:
        return (
            one.upstream != other.upstream
            and one.service == other.service
            and abs(one.recorded_s - other.recorded_s) <= self._outage_window_s
        )

    def _prove(
        self, to_prove: set[str], to_review: set[str], now_s: float
    ) -> list[Quarantined]:
        """Quarantine the culprits of these; lift quarantines that no longer hold.

        Content of which something was learned that may excuse it is reviewed.
        """
        reviewed = {
            each: until_s
            for each in to_review
            if (until_s := self._quarantines.withdraw(each)) is not None
        }
        culprits = []
        # What was answered before is judged last, beside the culprits found so far.
        for was_answered in (False, True):
            found = [
                each
                for each in sorted(to_prove | set(reviewed))
                if (each in self._answered) == was_answered
                and not self.is_quarantined(each, now_s)
                and self._is_culprit(each, now_s)
            ]
            for each in found:
                until_s = now_s + self._policy.quarantine_s
                self._quarantines.prove(each, until_s=reviewed.get(each, until_s))
            culprits += found
        return [
            Quarantined(
                service=self._service,
                fingerprint=each,
                ttl_s=self._policy.quarantine_s,
            )
            for each in culprits
            if each not in reviewed
        ]

    def _prove_parts(self, candidates: set[str], now_s: float) -> list[Quarantined]:
        """Quarantine the prompt parts that are to be blamed, and return that."""
        culprits = []
        while candidates:
            bad = find_bad_parts(
                self._suspect_crashes(now_s), candidates, self.part_use
            )
            if not bad:
                break
            blamed = sorted(bad, key=self.part_use.requests)[:BLAMED_TOGETHER_MAX]
            cause, ttl_s = cause_of_parts(blamed), self._policy.quarantine_s
            if all(is_common(each, self.part_use) for each in blamed):
                ttl_s *= COMMON_QUARANTINE_SHARE
            self._quarantines.prove(cause, until_s=now_s + ttl_s)
            culprits.append(
                Quarantined(service=self._service, fingerprint=cause, ttl_s=ttl_s)
            )
            candidates -= bad
        return culprits

    def _suspect_crashes(self, now_s: float) -> list[SuspectCrash]:
        """Return the crashes that quarantined parts don't explain.

        Where content is quarantined, what ran beside it says nothing about parts.
        """
        suspect = []
        for crash in self._crashes.values():
            if crash.presumed or not crash.parts or self._has_bad_parts(crash, now_s):
                continue
            refused = {e for e in crash.suspects if self.is_quarantined(e, now_s)}
            suspect.append(
                SuspectCrash(
                    at_s=crash.recorded_s,
                    runs=crash.runs(refused or crash.suspects),
                    running_count=len(crash.fingerprints),
                    answers_before=crash.answers_before,
                )
            )
        return suspect

    def _has_bad_parts(self, crash: Crash, now_s: float) -> bool:
        """Return whether quarantined parts explain a crash."""
        bad_parts = self._quarantines.bad_parts(now_s)
        return any(crash.has_parts(bad) for bad in bad_parts.values())

    def _is_culprit(self, fingerprint: str, now_s: float) -> bool:
        crashes = self._unexplained_crashes(fingerprint, now_s)
        upstreams = {self._crashes[crash_id].upstream for crash_id in crashes}
        ambiguous_threshold = (
            self._policy.upstreams_threshold + AMBIGUOUS_EXTRA_UPSTREAMS
        )
        beside = self._crashes_without_bad_parts(fingerprint, now_s) - crashes
        if (
            crashes
            and beside
            and len(crashes | beside) >= ambiguous_threshold
            and fingerprint not in self._answered
        ):
            # Quarantined content explains its other crashes, but not this one: it was
            # no bystander in all of them.
            return True
        if len(upstreams) < self._policy.upstreams_threshold:
            return False
        others = self._other_suspects(fingerprint, crashes)
        # Content that ran in all of these crashes and in others is more suspect.
        if any(
            len(self._unexplained_crashes(each, now_s)) > len(crashes)
            for each in others
        ):
            return False
        proved = {
            self._crashes[crash_id].upstream
            for crash_id in crashes
            if not self._crashes[crash_id].presumed
        }
        is_ambiguous = (
            bool(others)
            or self._has_rival_part(fingerprint, crashes)
            or len(proved) < self._policy.upstreams_threshold
            or fingerprint in self._answered
            or self._is_outage(fingerprint, crashes, now_s)
        )
        return not is_ambiguous or len(upstreams) >= ambiguous_threshold

    def _is_outage(self, fingerprint: str, crashes: set[str], now_s: float) -> bool:
        """Return whether upstreams ended close to these crashes without this content.

        Ends that other quarantined content explains don't count.
        """
        if not self._outage_window_s:
            return False
        return any(
            self._near_by(other, self._crashes[crash_id])
            for crash_id in crashes
            for other in self._crashes.values()
            if fingerprint not in other.fingerprints
            and not self._has_bad_parts(other, now_s)
            and not any(self.is_quarantined(e, now_s) for e in other.suspects)
        )

    def _unexplained_crashes(self, fingerprint: str, now_s: float) -> set[str]:
        """Return the crashes in which it ran without other quarantined content.

        If the rest counted, a bystander of a known culprit would be quarantined
        after a single crash with another cause.
        """
        return {
            crash_id
            for crash_id in self._crashes_without_bad_parts(fingerprint, now_s)
            if not any(
                self.is_quarantined(each, now_s)
                for each in self._crashes[crash_id].suspects
                if each != fingerprint
            )
        }

    def _crashes_without_bad_parts(self, fingerprint: str, now_s: float) -> set[str]:
        """Return its crashes but those that bad parts explain.

        A stream that moves on after each crash may meet several of these.
        """
        return {
            crash_id
            for crash_id in self._crashes_of(fingerprint)
            if not self._has_bad_parts(self._crashes[crash_id], now_s)
        }

    def _other_suspects(self, fingerprint: str, crashes: set[str]) -> set[str]:
        """Return the other unanswered contents that ran in all of these crashes."""
        shared = [self._crashes[crash_id].suspects for crash_id in crashes]
        common = set.intersection(*shared)
        return {
            each
            for each in common
            if each != fingerprint and each not in self._answered
        }

    def _has_rival_part(self, fingerprint: str, crashes: set[str]) -> bool:
        """Return whether a rare part of other requests was in all of these crashes.

        Content that goes on at another upstream after each crash may meet it again.
        """
        beside, own = [], set()
        for crash_id in crashes:
            crash = self._crashes[crash_id]
            runs = crash.runs(crash.suspects - {fingerprint})
            beside.append(set().union(*(each.parts for each in runs)))
            own |= crash.parts.get(fingerprint, NO_PARTS)
        rivals = set.intersection(*beside) - own
        return any(not is_common(each, self.part_use) for each in rivals)

    def _expire(self, now_s: float) -> None:
        cutoff_s = now_s - self._kept_s()
        while self._crashes:
            oldest = next(iter(self._crashes.values()))
            if oldest.recorded_s > cutoff_s and len(self._crashes) < CRASHES_MAX:
                break
            self.revision += 1
            self._crashes.popitem(last=False)
        self._quarantines.expire(now_s)
