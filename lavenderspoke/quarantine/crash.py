"""A crash of an upstream as a daemon remembers it."""

from collections.abc import Iterable

import attrs

from lavenderspoke.quarantine.messages import CrashEvidence
from lavenderspoke.quarantine.partblame import SuspectRun

NO_PARTS: frozenset[str] = frozenset()


@attrs.define(kw_only=True)
class Crash:
    """A recorded crash: what was running there, and what was excused since.

    `answers_before` is `PartUse.answers` when it was recorded.
    """

    service: str
    upstream: str
    recorded_s: float
    answers_before: int
    fingerprints: set[str] = attrs.field(factory=set)
    answered: set[str] = attrs.field(factory=set)
    presumed: bool = False
    parts: dict[str, frozenset[str]] = attrs.field(factory=dict)
    cleared: set[str] = attrs.field(factory=set)
    # The parts that aren't cleared.
    open_parts: set[str] = attrs.field(factory=set)

    def clear(self, parts: Iterable[str]) -> set[str]:
        """Excuse parts; return those that weren't excused before."""
        newly = self.open_parts.intersection(parts)
        self.open_parts -= newly
        self.cleared |= newly
        return newly

    @property
    def suspects(self) -> set[str]:
        return self.fingerprints - self.answered

    def runs(self, contents: Iterable[str]) -> tuple[SuspectRun, ...]:
        """Return the requests with these contents and the parts that may be blamed."""
        return tuple(
            SuspectRun(content=each, parts=self.parts[each] - self.cleared)
            for each in contents
            if each in self.parts
        )

    def has_parts(self, parts: frozenset[str]) -> bool:
        """Return whether a suspected request had all of these parts."""
        return any(parts <= self.parts.get(each, NO_PARTS) for each in self.suspects)

    @property
    def is_suspicious(self) -> bool:
        """Whether any content is suspected."""
        return not self.fingerprints <= self.answered

    def extend(self, message: CrashEvidence) -> bool:
        """Add what a message tells beyond this; return whether it did."""
        before = len(self.fingerprints), len(self.answered), self.presumed
        if not self.fingerprints:
            self.presumed = message.presumed
        elif message.fingerprints:
            self.presumed &= message.presumed
        self.fingerprints |= {each for each in message.fingerprints if each}
        self.answered |= set(message.answered)
        for content, parts in message.parts.items():
            self.parts[content] = frozenset(parts)
            self.open_parts |= self.parts[content] - self.cleared
        self.clear(message.cleared)
        return before != (len(self.fingerprints), len(self.answered), self.presumed)

    def evidence(self, crash_id: str, now_s: float) -> CrashEvidence:
        """Return it as a message."""
        return CrashEvidence(
            service=self.service,
            upstream=self.upstream,
            crash_id=crash_id,
            fingerprints=tuple(sorted(self.fingerprints)),
            answered=tuple(sorted(self.answered)),
            age_s=now_s - self.recorded_s,
            presumed=self.presumed,
            parts={each: tuple(sorted(e)) for each, e in self.parts.items()},
            cleared=tuple(sorted(self.cleared)),
        )
