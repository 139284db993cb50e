"""How long answers usually take, so that slow ones are noticed."""

import enum

import attrs

# An answer is slow that takes so many times as long as usual. Sound upstreams of one
# service differ in speed by less.
SLOW_TIMES = 3.0
# Weight of the newest duration in the mean.
NEWEST_WEIGHT = 0.05
# Durations from which on the mean is relied on.
KNOWN_MIN = 5
# Means that are kept: routes come and go for as long as an entry lives.
MEANS_MAX = 4096


class DurationKind(enum.Enum):
    """What of an answer takes time, in seconds."""

    FIRST_EVENT = "first"  # to the first event
    FIRST_EVENT_PER_STEP = "step"  # the same for each step of the upstream until then
    BETWEEN_EVENTS = "event"  # between two events
    UNSTREAMED = "whole"  # of an answer in one piece


@attrs.define(kw_only=True)
class _Mean:
    value_s: float = 0.0
    count: int = 0

    def add(self, value_s: float) -> None:
        self.count += 1
        weight = max(NEWEST_WEIGHT, 1.0 / self.count)
        self.value_s += (value_s - self.value_s) * weight


class DurationBaseline:
    """The usual durations by route, learned from the versions in use.

    >>> baseline = DurationBaseline()
    >>> for _ in range(5):
    ...     baseline.learn("r", {DurationKind.UNSTREAMED: 0.1})
    >>> baseline.is_slow("r", {DurationKind.UNSTREAMED: 0.2})
    False
    >>> baseline.is_slow("r", {DurationKind.UNSTREAMED: 0.4})
    True
    """

    def __init__(self):
        self._means: dict[tuple[str, DurationKind], _Mean] = {}

    def learn(self, route: str, durations_s: dict[DurationKind, float]) -> None:
        """Take in an answer of a version in use."""
        for measure, value_s in durations_s.items():
            key = (route, measure)
            if key not in self._means and len(self._means) >= MEANS_MAX:
                del self._means[next(iter(self._means))]
            self._means.setdefault(key, _Mean()).add(value_s)

    def is_slow(self, route: str, durations_s: dict[DurationKind, float]) -> bool:
        """Return whether an answer took several times as long as usual.

        A first event is late only if that is so by itself and for the steps until then:
        long prompts take long, and at an idle upstream few steps take relatively long.
        """
        slow = {
            measure
            for measure, value_s in durations_s.items()
            if self._exceeds(route, measure, value_s)
        }
        is_first_late = {
            DurationKind.FIRST_EVENT,
            DurationKind.FIRST_EVENT_PER_STEP,
        } <= slow
        return is_first_late or bool(
            slow & {DurationKind.BETWEEN_EVENTS, DurationKind.UNSTREAMED}
        )

    def _exceeds(self, route: str, measure: DurationKind, value_s: float) -> bool:
        mean = self._means.get((route, measure))
        if mean is None or mean.count < KNOWN_MIN:
            return False
        return value_s > mean.value_s * SLOW_TIMES
