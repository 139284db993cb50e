"""Canary analysis: whether a new version answers worse than the versions in use.

An answer is bad if it failed, broke off or took several times as long as usual. The new
version and those in use are counted over the same time, so that a fault of both doesn't
count against the new one, and by route, since a version may be bad on one route only.

The test is Wald's sequential probability ratio test. It compares the likelihood of the
observed answers if the target fails as often as the others with their likelihood if it
fails clearly more often. Unlike a test for a fixed number of answers, it may be
evaluated after every answer. The usual share of bad answers is estimated from the
versions in use, so the error rates given below hold approximately.
"""

import enum
import math
from collections.abc import Mapping

import attrs

# Minimum for the usual share of bad answers: a share of 0 can't be known.
USUAL_SHARE_MIN = 0.02
# Bad answers and answers added to the counts of the versions in use, so that the first
# few answers don't determine the usual share.
PRIOR_BAD = 0.5
PRIOR_ANSWERS = 25.0
# A bad target exceeds the usual share of bad answers by this much, or by the usual
# share itself if that is more.
BAD_SHARE_EXCESS = 0.15
BAD_SHARE_MAX = 0.95
# Log odds at or above which the target is judged bad; a sound target gets that high in
# one of 500 tests.
BAD_LOG_ODDS = 6.2
# Log odds over all routes at or below which the target is judged sound; a bad target
# gets that low in one of 100 tests.
SOUND_LOG_ODDS = -4.6
# The same for a single route; a target that is bad on it gets that low in one of 20.
ROUTE_SOUND_LOG_ODDS = -3.0
# The same when no time is left for more answers; a target that is bad on the route
# gets that low in one of three.
ROUTE_HASTY_LOG_ODDS = -1.0
# Answers of the versions in use on a route from which on the target needs evidence on
# that route.
ROUTE_ANSWERS_MIN = 10


@attrs.frozen(kw_only=True)
class Tally:
    """The number of answers, and how many of them were bad."""

    answers: int = 0
    bad: int = 0

    def __add__(self, other: "Tally") -> "Tally":
        return Tally(answers=self.answers + other.answers, bad=self.bad + other.bad)


@attrs.frozen(kw_only=True)
class RouteTally:
    """The answers on one route, of the target and of the versions in use."""

    target: Tally = Tally()
    others: Tally = Tally()

    def __add__(self, other: "RouteTally") -> "RouteTally":
        return RouteTally(
            target=self.target + other.target, others=self.others + other.others
        )

    def log_odds(self) -> float:
        """Return the log odds that the target is bad on this route.

        >>> seen = Tally(answers=200, bad=2)
        >>> good = RouteTally(target=Tally(answers=40), others=seen)
        >>> bad = RouteTally(target=Tally(answers=12, bad=5), others=seen)
        >>> good.log_odds() < SOUND_LOG_ODDS, bad.log_odds() > BAD_LOG_ODDS
        (True, True)
        """
        others = self.others
        usual = (others.bad + PRIOR_BAD) / (others.answers + PRIOR_ANSWERS)
        usual = min(max(usual, USUAL_SHARE_MIN), BAD_SHARE_MAX - BAD_SHARE_EXCESS)
        harmful = min(usual + max(BAD_SHARE_EXCESS, usual), BAD_SHARE_MAX)
        bad = self.target.bad
        good = self.target.answers - bad
        return bad * math.log(harmful / usual) + good * math.log(
            (1.0 - harmful) / (1.0 - usual)
        )


class CanaryVerdict(enum.Enum):
    """The result of the canary analysis."""

    UNSURE = "unsure"
    LIKELY_SOUND = "likely_sound"  # sound over all routes, but too few answers on some
    SOUND = "sound"
    BAD = "bad"


@attrs.frozen(kw_only=True)
class CanaryJudgement:
    """A verdict, the route that decided it (empty: all routes), and its log odds."""

    verdict: CanaryVerdict
    route: str = ""
    log_odds: float = 0.0


def judge_canary(routes: Mapping[str, RouteTally]) -> CanaryJudgement:
    """Return the verdict on the target from the counts of all routes."""
    total = sum(routes.values(), start=RouteTally())
    odds = {name: tally.log_odds() for name, tally in routes.items()}
    worst = max(odds, key=odds.get, default="")
    if worst and odds[worst] >= BAD_LOG_ODDS:
        return CanaryJudgement(
            verdict=CanaryVerdict.BAD, route=worst, log_odds=odds[worst]
        )
    pooled = total.log_odds()
    if pooled >= BAD_LOG_ODDS:
        return CanaryJudgement(verdict=CanaryVerdict.BAD, log_odds=pooled)
    if pooled > SOUND_LOG_ODDS:
        return CanaryJudgement(verdict=CanaryVerdict.UNSURE, log_odds=pooled)
    used = [n for n, t in routes.items() if t.others.answers >= ROUTE_ANSWERS_MIN]
    least_certain = max(used, key=odds.get, default="")
    if not used or odds[least_certain] <= ROUTE_SOUND_LOG_ODDS:
        return CanaryJudgement(verdict=CanaryVerdict.SOUND, log_odds=pooled)
    is_likely = odds[least_certain] <= ROUTE_HASTY_LOG_ODDS
    verdict = CanaryVerdict.LIKELY_SOUND if is_likely else CanaryVerdict.UNSURE
    return CanaryJudgement(
        verdict=verdict, route=least_certain, log_odds=odds[least_certain]
    )
