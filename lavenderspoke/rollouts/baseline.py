"""The usual durations of answers, to detect slow ones."""

import enum

import attrs

# An answer is slow if it takes more than this many times the usual duration. Sound
# upstreams of one service differ in speed by less.
SLOW_RATIO = 3.0
# Minimum weight of the newest duration in the moving average.
NEWEST_WEIGHT = 0.05
# Number of durations from which on the average is used.
DURATIONS_MIN = 5
# Maximum number of averages kept, since routes come and go while an entry runs.
AVERAGES_MAX = 4096


class DurationKind(enum.Enum):
    """The part of an answer whose duration is measured."""

    FIRST_EVENT = "first"  # from dispatch to the first event
    FIRST_EVENT_PER_STEP = "step"  # the same per expected upstream step
    BETWEEN_EVENTS = "event"  # mean time between two events
    UNSTREAMED = "whole"  # the whole of an answer that isn't streamed


@attrs.define(kw_only=True)
class _MovingAverage:
    value_s: float = 0.0
    count: int = 0

    def add(self, value_s: float) -> None:
        self.count += 1
        weight = max(NEWEST_WEIGHT, 1.0 / self.count)
        self.value_s += (value_s - self.value_s) * weight


class DurationBaseline:
    """The usual durations by route, averaged over answers of the versions in use.

    >>> baseline = DurationBaseline()
    >>> for _ in range(5):
    ...     baseline.learn("r", {DurationKind.UNSTREAMED: 0.1})
    >>> baseline.is_slow("r", {DurationKind.UNSTREAMED: 0.2})
    False
    >>> baseline.is_slow("r", {DurationKind.UNSTREAMED: 0.4})
    True
    """

    def __init__(self):
        self._averages: dict[tuple[str, DurationKind], _MovingAverage] = {}

    def learn(self, route: str, durations_s: dict[DurationKind, float]) -> None:
        """Add the durations of an answer from a version in use."""
        for kind, value_s in durations_s.items():
            key = (route, kind)
            if key not in self._averages and len(self._averages) >= AVERAGES_MAX:
                del self._averages[next(iter(self._averages))]
            self._averages.setdefault(key, _MovingAverage()).add(value_s)

    def is_slow(self, route: str, durations_s: dict[DurationKind, float]) -> bool:
        """Return whether an answer took several times as long as usual.

        A first event is slow only if both its total time and its time per step are:
        long prompts take long in total, and few steps at an idle upstream take long
        relative to their number.
        """
        slow = {
            kind
            for kind, value_s in durations_s.items()
            if self._is_exceeded(route, kind, value_s)
        }
        is_first_late = {
            DurationKind.FIRST_EVENT,
            DurationKind.FIRST_EVENT_PER_STEP,
        } <= slow
        return is_first_late or bool(
            slow & {DurationKind.BETWEEN_EVENTS, DurationKind.UNSTREAMED}
        )

    def _is_exceeded(self, route: str, kind: DurationKind, value_s: float) -> bool:
        average = self._averages.get((route, kind))
        if average is None or average.count < DURATIONS_MIN:
            return False
        return value_s > average.value_s * SLOW_RATIO
