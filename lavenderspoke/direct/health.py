"""An upstream's health, as an entry's own requests and other entries' reports show it.

Health checks occupy a slot and can be wrong in both directions, so only the outcomes of
real requests count. An upstream that can't be reached or stops sending is suspended for
a time that doubles, and then gets a single trial request. One that answers but often
fails is chosen less often, and ejected in the same way if the others fail less.
"""

import attrs

# Suspension after the first unreachable attempt in a row; short, since often only one
# connection is affected and not the process.
SUSPEND_MIN_S = 0.25
# The longest suspension: a crashed engine is back after some seconds.
SUSPEND_MAX_S = 2.0
# The first and the longest ejection of an upstream that fails more than the others.
EJECTION_MIN_S = 1.0
EJECTION_MAX_S = 4.0
# For how long after the pause of an ejection only a retryable request may be the trial
# request. After that any may be, since a service may have no retryable ones.
RETRYABLE_ONLY_S = 4.0
# Least number of own outcomes that an entry trusts more than other entries' reports.
OWN_OUTCOMES_MIN = 5
# Share of failures below which an upstream counts as healthy by its own outcomes.
HEALTHY_FAILURE_SHARE = 0.1
# Suspension of an upstream that other entries report as unreachable: longer than
# `SUSPEND_MAX_S`, after which one of the reporting entries tries it again.
REPORTED_SUSPENSION_S = 2.2
# Weight of the newest outcome in the failure share: about ten requests count.
OUTCOME_WEIGHT = 0.1
# Weights of the newest step in the step duration, when it is shorter and when it is
# longer than the estimate. Prompts that are read concurrently lengthen a stream's steps
# and say nothing about the upstream, so the estimate follows the short steps.
SHORTER_STEP_WEIGHT = 0.1
LONGER_STEP_WEIGHT = 0.02


@attrs.define(kw_only=True)
class Health:
    """Recent outcomes at one upstream, and until when it gets no requests.

    `failure_share` is between 0 and 1. `step_s` is the recent time between two events
    of a stream, or None before one was measured. While `is_ejected`, it gets nothing at
    first, and then one trial request at a time until one succeeds. `outcomes` leaves
    out unreachable attempts. `ejections` lengthens the next ejection; the second
    success after one resets it.
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
        """Record a complete answer that was no failure."""
        self.failure_share -= self.failure_share * OUTCOME_WEIGHT
        self.consecutive_unreachable = self.consecutive_failures = 0
        self.outcomes += 1
        if not self.is_ejected:
            self.ejections = 0
        self.is_ejected = False
        self.reported_until_s = 0.0

    def record_broken_connection(self) -> None:
        """Record a broken connection: the upstream may be alive.

        All requests in flight break at once, so they don't count as consecutive
        failures.
        """
        self.failure_share += (1.0 - self.failure_share) * OUTCOME_WEIGHT
        self.consecutive_unreachable = 0
        self.outcomes += 1

    def record_failure(self) -> None:
        """Record an answer that was a failure: the upstream is alive."""
        self.failure_share += (1.0 - self.failure_share) * OUTCOME_WEIGHT
        self.consecutive_unreachable = 0
        self.consecutive_failures += 1
        self.outcomes += 1

    def eject(self, now_s: float) -> None:
        """Send nothing there for a while, and then one trial request at a time."""
        pause_s = min(EJECTION_MIN_S * 2**self.ejections, EJECTION_MAX_S)
        self.is_ejected = True
        self.ejections += 1
        self.suspended_until_s = max(self.suspended_until_s, now_s + pause_s)

    def allows_trial(self, *, retryable: bool, now_s: float) -> bool:
        """Return whether such a request may be the trial request after an ejection."""
        any_request_from_s = self.suspended_until_s + RETRYABLE_ONLY_S
        return self.is_ejected and (retryable or now_s >= any_request_from_s)

    def is_healthy(self) -> bool:
        """Return whether this entry's own requests mostly succeed there."""
        return (
            self.outcomes >= OWN_OUTCOMES_MIN
            and self.failure_share < HEALTHY_FAILURE_SHARE
        )

    def record_unreachable(self, now_s: float) -> None:
        """Record an upstream that couldn't be reached or that stopped sending."""
        self.failure_share += (1.0 - self.failure_share) * OUTCOME_WEIGHT
        if now_s < self.suspended_until_s:
            # Requests that failed together count as one failure.
            return
        pause_s = SUSPEND_MIN_S * 2**self.consecutive_unreachable
        self.consecutive_unreachable += 1
        self.suspended_until_s = now_s + min(pause_s, SUSPEND_MAX_S)

    def suspend_on_reports(self, now_s: float) -> None:
        """Suspend the upstream, since other entries report it as unreachable.

        Those that found out by themselves try it again after their own suspensions, so
        that the others needn't.
        """
        self.reported_until_s = now_s + REPORTED_SUSPENSION_S

    def record_step(self, step_s: float) -> None:
        """Record the measured duration of a step."""
        if self.step_s is None:
            self.step_s = step_s
        weight = SHORTER_STEP_WEIGHT if step_s < self.step_s else LONGER_STEP_WEIGHT
        self.step_s += (step_s - self.step_s) * weight

    def usable(self, own_in_flight: int, now_s: float) -> bool:
        """Return whether one more request may be sent beside those in flight.

        After a suspension, one request at a time is sent until one succeeds, unless it
        was suspended on reports only.
        """
        if now_s < self.suspended_until_s:
            return False
        if self.consecutive_unreachable or self.is_ejected:
            return own_in_flight == 0
        return now_s >= self.reported_until_s
