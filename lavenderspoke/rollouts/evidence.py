"""Whether a new version answers worse than those in use: the test of a canary.

An answer is bad if it failed, broke off or came several times slower than usual. Both
versions are counted at the same time, so that what harms both doesn't count against the
new one, and by route, since a version may be bad on one route only.

The test is Wald's sequential probability ratio test. After each answer it compares how
likely what was seen is if the target fails as often as the others do, and if it fails
clearly more often. It can be looked at any number of times, unlike a test for a fixed
number of answers. The usual share of bad answers is taken from the versions in use, so
its bounds hold approximately.
"""

import enum
import math
from collections.abc import Mapping

import attrs

# The least share of bad answers that counts as usual: nobody's is known to be 0.
USUAL_MIN = 0.02
# Bad answers, and answers, added to those seen of the versions in use, so that the
# first few decide nothing.
PRIOR_BAD = 0.5
PRIOR_ANSWERS = 25.0
# A target counts as bad whose share of bad answers is higher by so much, or twice.
EXCESS = 0.15
SHARE_MAX = 0.95
# The log of the odds for "bad" from which on the target is bad: a sound one gets there
# once in 500 tests.
BAD_LOG_ODDS = 6.2
# The same for "sound" over all routes: a bad target gets there once in 100 tests.
SOUND_LOG_ODDS = -4.6
# The same for a single route: a target that is bad there gets there once in 20.
ROUTE_SOUND_LOG_ODDS = -3.0
# The same where there is no time for more: a target that is bad there gets there once
# in three.
ROUTE_HASTY_LOG_ODDS = -1.0
# Answers of the versions in use from which on a route must have been seen.
ROUTE_ANSWERS_MIN = 10


@attrs.frozen(kw_only=True)
class Tally:
    """Answers of one version on one route, and how many of them were bad."""

    answers: int = 0
    bad: int = 0

    def __add__(self, other: "Tally") -> "Tally":
        return Tally(answers=self.answers + other.answers, bad=self.bad + other.bad)


@attrs.frozen(kw_only=True)
class RouteTally:
    """What was seen on one route: of the target and of the versions in use."""

    target: Tally = Tally()
    others: Tally = Tally()

    def __add__(self, other: "RouteTally") -> "RouteTally":
        return RouteTally(
            target=self.target + other.target, others=self.others + other.others
        )

    def log_odds(self) -> float:
        """Return the log of the odds that the target is bad here.

        >>> seen = Tally(answers=200, bad=2)
        >>> good = RouteTally(target=Tally(answers=40), others=seen)
        >>> bad = RouteTally(target=Tally(answers=12, bad=5), others=seen)
        >>> good.log_odds() < SOUND_LOG_ODDS, bad.log_odds() > BAD_LOG_ODDS
        (True, True)
        """
        others = self.others
        usual = (others.bad + PRIOR_BAD) / (others.answers + PRIOR_ANSWERS)
        usual = min(max(usual, USUAL_MIN), SHARE_MAX - EXCESS)
        harmful = min(usual + max(EXCESS, usual), SHARE_MAX)
        bad = self.target.bad
        good = self.target.answers - bad
        return bad * math.log(harmful / usual) + good * math.log(
            (1.0 - harmful) / (1.0 - usual)
        )


class CanaryVerdict(enum.Enum):
    """What the evidence says of the target."""

    UNSURE = "unsure"
    LIKELY_SOUND = "likely_sound"  # over all routes, with too few answers of some
    SOUND = "sound"
    BAD = "bad"


@attrs.frozen(kw_only=True)
class CanaryJudgement:
    """A verdict, the route that decided it (none: all of them), and its log odds."""

    verdict: CanaryVerdict
    route: str = ""
    log_odds: float = 0.0


def judge_canary(routes: Mapping[str, RouteTally]) -> CanaryJudgement:
    """Return what was seen on all routes says of the target."""
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
    least = max(used, key=odds.get, default="")
    if not used or odds[least] <= ROUTE_SOUND_LOG_ODDS:
        return CanaryJudgement(verdict=CanaryVerdict.SOUND, log_odds=pooled)
    is_likely = odds[least] <= ROUTE_HASTY_LOG_ODDS
    verdict = CanaryVerdict.LIKELY_SOUND if is_likely else CanaryVerdict.UNSURE
    return CanaryJudgement(verdict=verdict, route=least, log_odds=odds[least])
