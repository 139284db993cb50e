"""What an entry's own requests say about an upstream's health.

Health checks cost a slot and may lie in either direction, so only what became
of real requests counts. An upstream that can't be reached or falls silent is
left alone for a while that doubles, and then gets one trial request, not all
that waits. One that answers but often fails is made less attractive, and left
alone in the same way where the others fail less.
"""

import attrs

# How long an upstream is left alone after the first failure in a row, in
# seconds; short, since most resets hit one connection and not the process.
SUSPEND_MIN_S = 0.25
# The longest suspension in seconds: a crashed engine is back after some seconds.
SUSPEND_MAX_S = 2.0
# How long one is left alone that fails more than the others, at first and at most, in
# seconds.
FAILING_MIN_S = 1.0
FAILING_MAX_S = 4.0
# How long it then waits for a request that may be repeated, in seconds; after that any
# may be the first, since a service may have no others.
REPEATABLE_ONLY_S = 4.0
# Answers from which on an entry believes its own of an upstream more than others' word.
KNOWN_MIN = 5
# The share of failures below which an upstream is sound by them.
SOUND_SHARE = 0.1
# How long an upstream is left alone that others couldn't reach, in seconds: longer than
# the longest suspension, after which one of those that found it away tries again.
TOLD_S = 2.2
# Weight of the newest outcome in the failure share: some ten requests count.
OUTCOME_WEIGHT = 0.1
# Weights of the newest step in the pace, where it is faster than what is known and
# where it is slower. Prompts that are read beside a stream make its steps longer
# and say nothing of the upstream, so the pace follows the fast ones.
FASTER_WEIGHT = 0.1
SLOWER_WEIGHT = 0.02


@attrs.define(kw_only=True)
class Health:
    """One upstream's record.

    `failure_share` runs from 0 to 1. `pace_s` is the recent time between two
    events of a stream, or of a whole plain answer; None until one was seen. While it
    `is_on_trial` it is left alone, or gets one request at a time.
    """

    failure_share: float = 0.0
    step_s: float | None = None
    consecutive_unreachable: int = 0
    consecutive_failures: int = 0
    outcomes: int = 0
    is_ejected: bool = False
    ejections: int = 0
    suspended_until_s: float = 0.0
    reported_until_s: float = 0.0

    def record_success(self) -> None:
        """Count an answer that came whole and was no failure."""
        self.failure_share -= self.failure_share * OUTCOME_WEIGHT
        self.consecutive_unreachable = self.consecutive_failures = 0
        self.outcomes += 1
        if not self.is_ejected:
            self.ejections = 0
        self.is_ejected = False
        self.reported_until_s = 0.0

    def record_broken_connection(self) -> None:
        """Count a connection that broke: the upstream may live.

        What runs there breaks together, so that it is no row of failures.
        """
        self.failure_share += (1.0 - self.failure_share) * OUTCOME_WEIGHT
        self.consecutive_unreachable = 0
        self.outcomes += 1

    def record_failure(self) -> None:
        """Count an answer that was a failure: the upstream lives."""
        self.failure_share += (1.0 - self.failure_share) * OUTCOME_WEIGHT
        self.consecutive_unreachable = 0
        self.consecutive_failures += 1
        self.outcomes += 1

    def eject(self, now_s: float) -> None:
        """Leave it alone for a while, and then try it by one request at a time."""
        pause_s = min(FAILING_MIN_S * 2**self.ejections, FAILING_MAX_S)
        self.is_ejected = True
        self.ejections += 1
        self.suspended_until_s = max(self.suspended_until_s, now_s + pause_s)

    def allows_trial(self, *, retryable: bool, now_s: float) -> bool:
        """Return whether such a request may be the first after it was left alone."""
        any_from_s = self.suspended_until_s + REPEATABLE_ONLY_S
        return self.is_ejected and (retryable or now_s >= any_from_s)

    def is_healthy(self) -> bool:
        """Return whether this entry's own requests fare well there."""
        return self.outcomes >= KNOWN_MIN and self.failure_share < SOUND_SHARE

    def record_unreachable(self, now_s: float) -> None:
        """Count a connection that failed, broke or fell silent."""
        self.failure_share += (1.0 - self.failure_share) * OUTCOME_WEIGHT
        if now_s < self.suspended_until_s:
            # Requests that broke together are one failure, not several.
            return
        pause_s = SUSPEND_MIN_S * 2**self.consecutive_unreachable
        self.consecutive_unreachable += 1
        self.suspended_until_s = now_s + min(pause_s, SUSPEND_MAX_S)

    def suspend_on_reports(self, now_s: float) -> None:
        """Leave it alone for a while, since others couldn't reach it.

        Those that found out by themselves try it again after their own pauses, and the
        others needn't.
        """
        self.reported_until_s = now_s + TOLD_S

    def record_step(self, step_s: float) -> None:
        """Count one measured step."""
        if self.step_s is None:
            self.step_s = step_s
        weight = FASTER_WEIGHT if step_s < self.step_s else SLOWER_WEIGHT
        self.step_s += (step_s - self.step_s) * weight

    def usable(self, running: int, now_s: float) -> bool:
        """Return whether one more request may be sent, given those running.

        After a suspension one request at a time goes until one succeeds.
        """
        if now_s < self.suspended_until_s:
            return False
        if self.consecutive_unreachable or self.is_ejected:
            return running == 0
        return now_s >= self.reported_until_s
