"""Finds the part of prompts that crashes upstreams.

Content that crashes upstreams is known by its hash when it is sent again. Requests that
aren't alike can share the cause, a part of their prompts, with requests that are sound.
So a part is blamed only for crashes since which no request with it was answered, and

- if it is rare: that it was running at several separate moments, and that none of its
  requests was answered meanwhile, would be an unlikely coincidence for a sound part;
- if it is common: after more crashes, unless rarer parts explain all of them, or
  nearly all requests have it, so that nothing shows how they fare without it.

Parts that were running in exactly the same requests can't be told apart. They are
blamed together: requests that have all of them are refused.
"""

import math
from collections import defaultdict
from collections.abc import Iterable, Sequence

import attrs

from lavenderspoke.quarantine.partuse import PartUse

# Upstreams that ended within this time of each other count as one crash, in seconds:
# an outage ends many at once.
MOMENT_S = 0.4
# A part that more requests have is common.
COMMON_SHARE = 0.15
UNIVERSAL_SHARE = 0.9
# Crashes after which a rare part is blamed if the coincidence is unlikely enough, any
# part is, and a common one is although rarer parts may explain them.
RARE_CRASHES_MIN = 3
CRASHES_MIN = 5
EXPLAINED_CRASHES_MIN = 9
# The least surprise for a rare part: the negative natural logarithm of the probability
# of the coincidence.
SURPRISE_MIN = 6.0
# Answers without a part that show how requests fare without it.
CONTRAST_ANSWERS_MIN = 3


@attrs.frozen(kw_only=True)
class SuspectRun:
    """A request that was running in a crash, with the parts that may be its cause."""

    content: str
    parts: frozenset[str]


@attrs.frozen(kw_only=True, eq=False)
class SuspectCrash:
    """A crash that nothing explains yet.

    `runs` are the requests that may have caused it, out of `running_count`.
    `answers_before` is `PartUse.answers` at the time of the crash.
    """

    at_s: float
    runs: tuple[SuspectRun, ...]
    running_count: int
    answers_before: int


@attrs.define(kw_only=True)
class _Suspicion:
    """What is held against one part."""

    part: str
    crashes: list[SuspectCrash]
    contents: frozenset[str]
    moments: list[list[SuspectCrash]]

    @property
    def count(self) -> int:
        """The number of separate crashes, of requests that weren't alike."""
        return min(len(self.moments), len(self.contents))


def find_bad_parts(
    crashes: Sequence[SuspectCrash], candidates: Iterable[str], use: PartUse
) -> frozenset[str]:
    """Return the parts that are to be blamed together, or none.

    Of `candidates`, rare ones come first, then those that explain more crashes, then
    those that fewer requests had.
    """
    suspicions = _suspicions(crashes)
    blamed = [
        suspicions[part]
        for part in sorted(set(candidates) & suspicions.keys())
        if _is_blamed(suspicions[part], suspicions, use)
    ]
    if not blamed:
        return frozenset()
    worst = min(
        blamed,
        key=lambda each: (is_common(each.part, use), -each.count, len(each.contents)),
    )
    return frozenset(
        each.part for each in suspicions.values() if each.contents == worst.contents
    )


def _suspicions(crashes: Sequence[SuspectCrash]) -> dict[str, _Suspicion]:
    found: dict[str, dict[str, set[SuspectCrash]]] = defaultdict(
        lambda: defaultdict(set)
    )
    for crash in crashes:
        for run in crash.runs:
            for part in run.parts:
                found[part][run.content].add(crash)
    suspicions = {}
    for part, by_content in found.items():
        ended = sorted(set().union(*by_content.values()), key=lambda e: e.at_s)
        suspicions[part] = _Suspicion(
            part=part,
            crashes=ended,
            contents=frozenset(by_content),
            moments=_moments(ended),
        )
    return suspicions


def _moments(crashes: list[SuspectCrash]) -> list[list[SuspectCrash]]:
    """Return crashes, ordered by time, in groups that are apart."""
    moments: list[list[SuspectCrash]] = []
    for crash in crashes:
        if moments and crash.at_s < moments[-1][0].at_s + MOMENT_S:
            moments[-1].append(crash)
        else:
            moments.append([crash])
    return moments


def _is_blamed(
    suspicion: _Suspicion, others: dict[str, _Suspicion], use: PartUse
) -> bool:
    if not is_common(suspicion.part, use):
        return suspicion.count >= CRASHES_MIN or (
            suspicion.count >= RARE_CRASHES_MIN
            and _surprise(suspicion, use) >= SURPRISE_MIN
        )
    if suspicion.count < CRASHES_MIN or not _has_contrast(suspicion, use):
        return False
    if _is_explained_by_rarer(suspicion, others):
        return suspicion.count >= EXPLAINED_CRASHES_MIN
    return True


def is_common(part: str, use: PartUse) -> bool:
    """Return whether many requests have a part, so that some do in most crashes."""
    return use.share(part) > COMMON_SHARE


def _answers_since(suspicion: _Suspicion, use: PartUse) -> int:
    """Return the answers since its first crash; none of them had the part."""
    return use.answers - suspicion.crashes[0].answers_before


def _surprise(suspicion: _Suspicion, use: PartUse) -> float:
    """Return how unlikely its crashes are if the part is sound.

    At each moment some request with the part was running by chance, and by chance no
    request with it was among those answered since.
    """
    share = use.share(suspicion.part)
    surprise = _answers_since(suspicion, use) * -math.log1p(-share)
    for moment in suspicion.moments:
        running = sum(each.running_count for each in moment)
        surprise -= math.log(1.0 - (1.0 - share) ** running)
    return surprise


def _has_contrast(suspicion: _Suspicion, use: PartUse) -> bool:
    """Return whether requests are known to fare better without the part."""
    if _answers_since(suspicion, use) >= CONTRAST_ANSWERS_MIN:
        return True
    return not use.is_universal(suspicion.part, UNIVERSAL_SHARE)


def _is_explained_by_rarer(
    suspicion: _Suspicion, others: dict[str, _Suspicion]
) -> bool:
    """Return whether rarer parts, each in several crashes, were in all of its."""
    explained: set[SuspectCrash] = set()
    for other in others.values():
        if other.contents < suspicion.contents and other.count > 1:
            explained.update(other.crashes)
    return explained.issuperset(suspicion.crashes)
