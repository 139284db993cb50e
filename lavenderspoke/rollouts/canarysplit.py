"""Decides which requests of one entry go to the target of a roll-out.

Each entry applies the share to its own requests. The share then holds over all entries
as well, however many there are and whichever of them crash, restart or are partitioned,
without coordination or stored state. Only rounding errors add up, to less than one
request for each start of an entry.
"""

from collections import Counter
from collections.abc import Mapping
from random import Random

# Maximum credit in requests. Credit accumulates while the target has no free slot, and
# above 1 it is kept for the routes with the least evidence until it reaches this.
CREDIT_MAX_REQUESTS = 2.0
# A route yields to others while its count exceeds AHEAD_RATIO times the lowest count of
# any route, plus AHEAD_ANSWERS: routes with little traffic need evidence too.
AHEAD_RATIO = 1.3
AHEAD_ANSWERS = 2.0


class CanarySplitter:
    """Splits one entry's requests to a service between target and other versions.

    `share` is the share of requests that may go to the target, from 0 to 1.

    >>> canary = CanarySplitter(random=Random(1))
    >>> canary.share = 0.25
    >>> sent = [canary.should_use_target("r") for _ in range(400)
    ...     if not canary.record_sent("r", to_target=canary.should_use_target("r"))]
    >>> 99 <= canary.to_target <= 101
    True
    """

    def __init__(self, *, random: Random):
        self.share = 0.0
        self.requests = 0
        self.to_target = 0
        # Answers of the target by route, over all entries.
        self.target_answers: Mapping[str, int] = {}
        self._own_sent: Counter[str] = Counter()
        # Random, so that the rounding of many entries cancels out.
        self._credit = random.random()

    def should_use_target(self, route: str) -> bool:
        """Return whether the next request of the route should go to the target."""
        if self.share <= 0.0 or self._credit < 1.0:
            return False
        return self._credit >= CREDIT_MAX_REQUESTS or self._needs_evidence(route)

    def record_sent(self, route: str, *, to_target: bool) -> None:
        """Count a request sent to an upstream of the service."""
        self.requests += 1
        self._credit = min(CREDIT_MAX_REQUESTS, self._credit + self.share)
        self._own_sent[route] += to_target
        if to_target:
            self.to_target += 1
            self._credit -= 1.0

    def _needs_evidence(self, route: str) -> bool:
        counts = {
            name: self._evidence_count(name)
            for name in {*self.target_answers, *self._own_sent, route}
        }
        return counts[route] <= min(counts.values()) * AHEAD_RATIO + AHEAD_ANSWERS

    def _evidence_count(self, route: str) -> int:
        return max(self.target_answers.get(route, 0), self._own_sent[route])
