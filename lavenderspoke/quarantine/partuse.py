"""How often requests share a part of their prompts, and when one was last answered.

Both are needed of the parts that requests of crashed upstreams shared. The memory is
bounded: what is lost first is how often rare parts were used, and which part was
answered longest ago. Both make a part look rarer, and less often answered, than it is;
neither happens to a part that many requests share.

>>> use = PartUse()
>>> for number in range(10):
...     use.record_request(("common", f"rare-{number}"))
>>> use.share("common") > 0.9, use.share("rare-1") < 0.2
(True, True)
"""

from collections import Counter, OrderedDict
from collections.abc import Iterable

# Parts counted in each of two generations, and those whose last answer is remembered.
COUNTED_MAX = 2048
ANSWERED_MAX = 4096


class PartUse:
    """The use of prompt parts at one daemon.

    Times are in seconds on the caller's clock.
    """

    def __init__(self):
        # Requests by part, and all requests, of the last two generations.
        self._counts: Counter[str] = Counter()
        self._requests = 0
        self._counts_before: Counter[str] = Counter()
        self._requests_before = 0
        self._answered_s: OrderedDict[str, float] = OrderedDict()
        # Complete answers to requests with parts, since the start.
        self.answers = 0

    def __len__(self) -> int:
        counted = self._counts.keys() | self._counts_before.keys()
        return len(counted) + len(self._answered_s)

    def record_request(self, parts: Iterable[str]) -> None:
        """Record a request that has parts."""
        self._requests += 1
        self._counts.update(set(parts))
        if len(self._counts) > COUNTED_MAX:
            self._counts_before, self._requests_before = self._counts, self._requests
            self._counts, self._requests = Counter(), 0

    def record_answer(self, parts: Iterable[str], *, sent_s: float) -> None:
        """Record a complete answer to a request that was sent at `sent_s`."""
        self.answers += 1
        self.note_answered(parts, sent_s=sent_s)

    def note_answered(self, parts: Iterable[str], *, sent_s: float) -> None:
        """Note that a request with these parts, sent then, was answered anywhere."""
        for part in parts:
            latest_s = max(sent_s, self._answered_s.get(part, sent_s))
            self._answered_s[part] = latest_s
            self._answered_s.move_to_end(part)
        while len(self._answered_s) > ANSWERED_MAX:
            self._answered_s.popitem(last=False)

    def is_answered_since(self, part: str, at_s: float) -> bool:
        """Return whether a request with the part, sent after `at_s`, was answered."""
        return self._answered_s.get(part, float("-inf")) > at_s

    def requests(self, part: str) -> int:
        """Return the number of recent requests with the part."""
        return self._counts[part] + self._counts_before[part]

    def share(self, part: str) -> float:
        """Return the share of requests that have the part, as far as is known."""
        known = self._requests + self._requests_before
        return (self.requests(part) + 1) / (known + 2)

    def is_universal(self, part: str, universal_share: float) -> bool:
        """Return whether nearly all requests have the part, or none is known."""
        known = self._requests + self._requests_before
        return self.requests(part) >= universal_share * known
