"""The pace of one upstream, as this entry's requests there show it."""

import attrs

# Weight of the newest interval in the usual one: about twenty count.
LEARNING_WEIGHT = 0.05
# Intervals that must have been measured before any is judged.
INTERVALS_MIN = 8
# How many times its usual length an interval has to take to count as long, at least.
LONG_RATIO_MIN = 1.6
# How many mean deviations it has to exceed the usual length, where lengths differ.
LONG_DEVIATIONS = 3.0
# Long intervals in a row, none beside another, that show a slow upstream. A prompt that
# is read lengthens one interval of each stream, so a single one shows nothing.
LONG_IN_ROW_MIN = 2
# Time, in seconds, after which long intervals no longer count as being in a row.
ROW_MAX_S = 0.5
# Below this ratio, an interval after a long one is taken for data that was delayed on
# its way, and shows nothing.
CATCH_UP_RATIO = 0.5
# How many times the longest usual interval, which is no less than so many usual ones,
# has to pass without an event. A prompt that another entry has just sent isn't known.
SILENCE_TIMES = 1.5
LONGEST_RATIO_MIN = 3.0
# Weights of longer and shorter intervals in the longest usual one: about 3% are longer.
LONGEST_RISE_WEIGHT = 0.3
LONGEST_FALL_WEIGHT = 0.01
# The largest slowdown that is reported; more makes no difference to a choice.
SLOWDOWN_MAX = 10.0
# How long a slowdown lasts, in seconds, until it counts as the usual pace.
USUAL_AFTER_S = 2.0


@attrs.define(kw_only=True)
class UpstreamPace:
    """Intervals between the events of streams, or the times of whole plain answers.

    `slowdown` was last judged at `judged_s`; 1.0 is the usual pace. Prompts that are
    read lengthen intervals and don't count: `reading_s` is the expected time to read
    those that were waiting.

    >>> pace = UpstreamPace()
    >>> for n in range(20):
    ...     pace.record_interval(0.02, now_s=n * 0.02)
    >>> for n in range(2):
    ...     pace.record_interval(0.05, now_s=0.43 + n * 0.05)
    >>> pace.slowdown > 2.0
    True
    >>> pace.record_interval(0.02, now_s=0.5)
    >>> pace.slowdown
    1.0
    """

    slowdown: float = 1.0
    judged_s: float = float("-inf")
    reading_s: float = 0.0
    # The last event of each running stream that has begun.
    last_event_s: dict[str, float] = attrs.field(factory=dict)
    _usual_s: float = 0.0
    _deviation_s: float = 0.0
    _longest_s: float = 0.0
    _intervals: int = 0
    _slow_since_s: float = 0.0
    _long_in_row: int = 0
    _row_ratio: float = 1.0
    _row_until_s: float = float("-inf")

    def record_event(self, request_id: str, now_s: float) -> None:
        """Record an event of a stream; the first one only starts an interval."""
        previous_s = self.last_event_s.get(request_id)
        self.last_event_s[request_id] = now_s
        if previous_s is not None:
            self.record_interval(now_s - previous_s, now_s=now_s)

    def record_interval(self, interval_s: float, *, now_s: float) -> None:
        """Judge an interval that ends now, and learn from it."""
        if interval_s <= 0.0:
            return
        if self._intervals == 0:
            self._usual_s = self._longest_s = interval_s
        if self._intervals >= INTERVALS_MIN:
            self._judge(interval_s, now_s)
        self._intervals += 1
        self._learn(interval_s, now_s)

    def check_silence(self, now_s: float) -> None:
        """Judge the time since the last event, while none comes."""
        if not self.last_event_s or self._intervals < INTERVALS_MIN:
            return
        silent_s = now_s - max(self.last_event_s.values()) - self.reading_s
        longest_s = max(self._longest_s, self._usual_s * LONGEST_RATIO_MIN)
        if silent_s > longest_s * SILENCE_TIMES:
            self._set(silent_s / self._usual_s, now_s)

    def record_overdue(self, elapsed_s: float, now_s: float) -> None:
        """Record a plain request that has no answer after nearly all others had."""
        if self._intervals >= INTERVALS_MIN:
            self._judge(elapsed_s, now_s)

    def forget_present(self) -> None:
        """Drop what shows the present pace, since the entry itself stood still."""
        self.last_event_s.clear()
        self.slowdown = 1.0
        self.judged_s = self._row_until_s = float("-inf")
        self._long_in_row = 0

    def _judge(self, interval_s: float, now_s: float) -> None:
        ratio = interval_s / self._usual_s
        long_ratio = self._long_ratio()
        if (interval_s - self.reading_s) / self._usual_s >= long_ratio:
            self._record_long(
                (interval_s - self.reading_s) / self._usual_s, interval_s, now_s
            )
        elif ratio < CATCH_UP_RATIO and self._long_in_row:
            # Delayed on its way together with the one before.
            return
        elif ratio < (1.0 + long_ratio) / 2.0:
            self._long_in_row = 0
            self._set(1.0, now_s)

    def _record_long(self, ratio: float, interval_s: float, now_s: float) -> None:
        if now_s - interval_s > self._row_until_s + ROW_MAX_S:
            self._long_in_row = 0
        elif now_s - interval_s < self._row_until_s:
            # Lengthened by the same cause as the last one.
            return
        self._row_ratio = min(ratio, self._row_ratio) if self._long_in_row else ratio
        self._long_in_row += 1
        self._row_until_s = now_s
        if self._long_in_row >= LONG_IN_ROW_MIN:
            self._set(self._row_ratio, now_s)

    def _set(self, slowdown: float, now_s: float) -> None:
        is_new = self.slowdown <= 1.0 or now_s > self.judged_s + ROW_MAX_S
        if slowdown > 1.0 and is_new:
            self._slow_since_s = now_s
        self.slowdown = min(max(1.0, slowdown), SLOWDOWN_MAX)
        self.judged_s = now_s

    def _learn(self, interval_s: float, now_s: float) -> None:
        if self.slowdown > 1.0 and now_s < self._slow_since_s + USUAL_AFTER_S:
            return
        # Cut off, since a prompt of any length may have been read.
        cut_s = min(interval_s, self._usual_s * self._long_ratio())
        deviation_s = abs(cut_s - self._usual_s)
        self._deviation_s += (deviation_s - self._deviation_s) * LEARNING_WEIGHT
        self._usual_s += (cut_s - self._usual_s) * LEARNING_WEIGHT
        is_longer = interval_s > self._longest_s
        weight = LONGEST_RISE_WEIGHT if is_longer else LONGEST_FALL_WEIGHT
        self._longest_s += (interval_s - self._longest_s) * weight

    def _long_ratio(self) -> float:
        deviation = self._deviation_s / self._usual_s if self._usual_s else 0.0
        return max(LONG_RATIO_MIN, 1.0 + LONG_DEVIATIONS * deviation)
