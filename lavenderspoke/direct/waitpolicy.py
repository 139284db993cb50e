"""How long a request may wait, and when a refused one should come back.

A request is refused as soon as it can't be dispatched in time. Kept longer, it would
only delay the caller's retry; refused at once with a Retry-After, it is resubmitted
when the burst has passed.
"""

from random import Random

import attrs

from lavenderspoke.direct.tickets import Ticket

# Share of its remaining time that a request of the highest rank waits at most, even if
# it will be late: nothing ranks above it, so its turn comes.
HIGHEST_RANK_WAIT_SHARE = 0.5
# Share of its remaining time that a resubmitted request waits at most.
RESUBMITTED_WAIT_SHARE = 0.25
# A request is refused on arrival if its expected wait exceeds this multiple of the
# longest wait allowed: the estimate is rough, and a wait that ends in time costs
# little.
EXPECTED_WAIT_TOLERANCE = 2.0
# The same for a request that won't come back, where slots are booked: a burst ends
# within the seconds that it may wait, and refused now it is lost. Without a bound, a
# fifth of all requests of a burst of 2.3 times the capacity is held in vain.
LAST_TRY_TOLERANCE = 4.0
# Time that a caller must have for late service, in targets of its route: a third of it
# until its return, a third of it in which the burst ends, and a third for the answer,
# which takes a few targets.
LATE_SERVICE_TARGETS = 12.0
# Time for the answer that a returned request leaves when it waits, in mean hold times
# of its rank: answers differ in length. One that is sent with less is cut off at its
# deadline after it has held a slot for nothing.
ANSWER_HOLDS = 1.5
# The most of that time that passes before the first byte, for which callers wait.
FIRST_BYTE_MAX_S = 0.5
# Time before the deadline that is never used for waiting: an answer that begins with
# less left would be cut off.
DEADLINE_MARGIN_S = 0.15
# Retry-After is at most this share of the time until the deadline, and otherwise at
# least `RETRY_AFTER_MIN_S`.
RETRY_AFTER_MAX_SHARE = 1 / 3
RETRY_AFTER_MIN_S = 0.3
# Retry-After is the expected wait times a random factor in this range, so that
# resubmitted requests don't arrive as the next burst.
RETRY_AFTER_JITTER = (0.9, 1.5)


@attrs.frozen(kw_only=True)
class Backlog:
    """What stands between a request and its dispatch.

    `ahead` requests go before it, less the slots that are free for its rank; each holds
    one of `slots` for `mean_hold_s`. No upstream takes a request for `blocked_s`.
    """

    ahead: float
    slots: float
    mean_hold_s: float
    blocked_s: float

    def expected_wait_s(self) -> float:
        """Return the expected wait: slots come free at slots / hold time per second.

        >>> backlog = Backlog(ahead=9.0, slots=20.0, mean_hold_s=0.4, blocked_s=0.0)
        >>> backlog.expected_wait_s()
        0.2
        """
        if self.ahead < 0:
            return self.blocked_s
        wait_s = (self.ahead + 1) * self.mean_hold_s / self.slots
        return max(wait_s, self.blocked_s)


class WaitPolicy:
    """Decides how long requests wait, and what refused callers are told."""

    def __init__(self, *, random: Random):
        self._random = random

    @staticmethod
    def wait_max_s(ticket: Ticket, now_s: float, *, is_highest_rank: bool) -> float:
        """Return how long a request may wait at most from now on."""
        latest_s = min(ticket.deadline_s, ticket.idle_since_s + ticket.patience_s)
        remaining_s = latest_s - now_s - DEADLINE_MARGIN_S
        if ticket.resubmitted:
            return remaining_s * RESUBMITTED_WAIT_SHARE
        if is_highest_rank:
            return remaining_s * HIGHEST_RANK_WAIT_SHARE
        return min(remaining_s, ticket.on_time_until_s - now_s)

    @staticmethod
    def allows_late_service(ticket: Ticket) -> bool:
        """Return whether the configuration leaves time to serve a request much later.

        Otherwise a return that waits for the end of a burst is sent too late for its
        answer, or held in vain.
        """
        time_s = ticket.deadline_s - ticket.first_arrived_s
        return time_s >= LATE_SERVICE_TARGETS * ticket.target_s

    @staticmethod
    def returned_wait_max_s(
        ticket: Ticket, now_s: float, *, mean_hold_s: float
    ) -> float:
        """Return how long a returned request may wait where slots are booked.

        It has no further try, so it waits as long as its caller does, less the time for
        its answer. `mean_hold_s` is how long answers of its rank hold a slot.
        """
        first_byte_s = min(mean_hold_s, FIRST_BYTE_MAX_S)
        latest_s = min(
            ticket.deadline_s - ANSWER_HOLDS * mean_hold_s,
            ticket.idle_since_s + ticket.patience_s - first_byte_s,
        )
        return latest_s - now_s - DEADLINE_MARGIN_S

    @staticmethod
    def is_wait_too_long(
        backlog: Backlog, wait_max_s: float, *, is_last_try: bool = False
    ) -> bool:
        """Return whether a request should be refused on arrival."""
        tolerance = LAST_TRY_TOLERANCE if is_last_try else EXPECTED_WAIT_TOLERANCE
        return backlog.expected_wait_s() > wait_max_s * tolerance

    def retry_after_s(self, ticket: Ticket, backlog: Backlog, now_s: float) -> float:
        """Return when a refused caller should come back, in seconds from now."""
        wait_s = backlog.expected_wait_s() * self._random.uniform(*RETRY_AFTER_JITTER)
        retry_after_max_s = self.retry_after_max_s(ticket, now_s)
        retry_after_s = min(max(RETRY_AFTER_MIN_S, wait_s), retry_after_max_s)
        # Sooner than upstreams take requests again, a retry would be in vain.
        return max(retry_after_s, backlog.blocked_s)

    @staticmethod
    def retry_after_max_s(ticket: Ticket, now_s: float) -> float:
        """Return the longest Retry-After that a caller honours."""
        return max(0.0, (ticket.deadline_s - now_s) * RETRY_AFTER_MAX_SHARE)
