"""Which requests of one entry go to the target of a roll-out.

Each entry keeps to the share by itself, of the requests that it sends itself. What all
entries send then keeps to it as well, however many there are and whoever is killed, cut
off or started anew: nothing has to be agreed on or remembered. Only the rounding adds
up, to less than one request for each start of an entry.
"""

from collections import Counter
from collections.abc import Mapping
from random import Random

# The most of a share that is saved up, while the target has no room or for a route that
# has been seen least.
CREDIT_MAX = 2.0
# A route leaves its turn to others while it has been seen so many times as often as the
# one seen least, and so much more often: small routes must be seen as well.
AHEAD_TIMES = 1.3
AHEAD_MIN = 2.0


class CanarySplitter:
    """Counts one entry's requests to a service while a roll-out runs there.

    `share` of them may go to the target, from 0 to 1.

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
        # Answers of the target by route, at all entries.
        self.target_answers: Mapping[str, int] = {}
        self._own: Counter[str] = Counter()
        # Drawn, so that what entries round up and down evens out over many of them.
        self._credit = random.random()

    def should_use_target(self, route: str) -> bool:
        """Return whether the next request of a route should go to the target."""
        if self.share <= 0.0 or self._credit < 1.0:
            return False
        return self._credit >= CREDIT_MAX or self._is_behind(route)

    def record_sent(self, route: str, *, to_target: bool) -> None:
        """Count a request that was sent to an upstream of the service."""
        self.requests += 1
        self._credit = min(CREDIT_MAX, self._credit + self.share)
        self._own[route] += to_target
        if to_target:
            self.to_target += 1
            self._credit -= 1.0

    def _is_behind(self, route: str) -> bool:
        seen = {
            name: self._seen(name) for name in {*self.target_answers, *self._own, route}
        }
        return seen[route] <= min(seen.values()) * AHEAD_TIMES + AHEAD_MIN

    def _seen(self, route: str) -> int:
        return max(self.target_answers.get(route, 0), self._own[route])
