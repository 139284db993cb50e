"""Runs rounds of claims for an entry's requests and applies their results."""

from collections.abc import Callable

import attrs

from lavenderspoke.core import Count
from lavenderspoke.documents.service import Service
from lavenderspoke.entryevents import Finish, ReadRoster
from lavenderspoke.gateway import Sending
from lavenderspoke.membership.roster import Roster
from lavenderspoke.model import Ran
from lavenderspoke.problems import Problem, Reason
from lavenderspoke.resend import ClaimOutcome, ClaimResult, ClaimRound
from lavenderspoke.tracked import Phase, TrackedRequest

# Delay before a first send whose round could not be finished may be queued again.
# Without it, the agent that refused it would pull and refuse it in a loop.
REQUEUE_DELAY_S = 0.5


@attrs.frozen(kw_only=True)
class ClaimStep:
    """The result of one check of a round.

    `found` names a run to attach to. `may_wait` means that the request may enter
    the queue: all claims are held, or its requeue delay has passed.
    """

    actions: list = attrs.field(factory=list)
    found: ClaimOutcome | None = None
    may_wait: bool = False


@attrs.define(kw_only=True)
class KeyClaims:
    """The claims of one entry's requests; `claim_timeout_s` bounds a round."""

    roster: Roster
    claim_timeout_s: float
    new_id: Callable[[], str]

    def begin(self, tracked: TrackedRequest, service: Service, now_s: float) -> list:
        """Begin a round and request a roster read that starts after this call."""
        tracked.phase = Phase.CLAIMING
        tracked.claimed = False
        tracked.requeue_at_s = None
        tracked.claim_rounds += 1
        tracked.claim_round = ClaimRound(
            request_id=tracked.request_id,
            key=tracked.call.key,
            number=tracked.claim_rounds,
            lifetime_s=service.deadline_max_s,
            deadline_s=now_s + self.claim_timeout_s,
            read_id=self.new_id(),
        )
        return [ReadRoster(read_id=tracked.claim_round.read_id)]

    def roster_read(
        self, tracked: TrackedRequest, service: Service, now_s: float
    ) -> list:
        """Ask every possible key holder, once the roster was read to its end."""
        holders = self.roster.possible_key_holders(
            service.name, now_s=now_s, key_lifetime_s=service.keys.lifetime_s
        )
        return tracked.claim_round.roster_read(holders, self.roster.offset, now_s)

    def check(
        self, tracked: TrackedRequest, service: Service, now_s: float
    ) -> ClaimStep:
        """Advance a request's round: re-send claims, or apply its outcome."""
        if tracked.requeue_at_s is not None:
            return ClaimStep(may_wait=now_s >= tracked.requeue_at_s)
        outcome = tracked.claim_round.outcome(now_s)
        if outcome is None:
            return ClaimStep(actions=tracked.claim_round.ask(now_s))
        return self._end(tracked, outcome, now_s)

    def _end(
        self, tracked: TrackedRequest, outcome: ClaimOutcome, now_s: float
    ) -> ClaimStep:
        counted = Count(name="key_claims", reason=outcome.result.value)
        if outcome.result is ClaimResult.ALL_HELD:
            tracked.claimed = True
            tracked.stamp = tracked.claim_round.stamp
            return ClaimStep(actions=[counted], may_wait=True)
        released = tracked.claim_round.release()
        if outcome.result is ClaimResult.RAN:
            return ClaimStep(actions=[counted, *released], found=outcome)
        if outcome.result is ClaimResult.UNKNOWN and is_first(tracked):
            # It holds no grant, so it may wait for an agent that accepts its
            # original stamp. With the later stamp it could reach an agent that a
            # re-send didn't have to ask, and run a second time.
            tracked.stamp = tracked.first_stamp
            tracked.requeue_at_s = now_s + REQUEUE_DELAY_S
            return ClaimStep(actions=[counted, *released])
        return ClaimStep(actions=[counted, self._refusal(tracked, outcome)])

    def _refusal(self, tracked: TrackedRequest, outcome: ClaimOutcome) -> Finish:
        if outcome.result is ClaimResult.UNKNOWN:
            reason = Reason.OUTCOME_UNKNOWN
        else:
            reason = Reason.SUPERSEDED if is_first(tracked) else Reason.IN_PROGRESS
        # Another attempt of this key may still run, so "not run" would mislead.
        problem = Problem(reason=reason, ran=Ran.UNKNOWN)
        return Finish(request_id=tracked.request_id, problem=problem)

    def release(self, tracked: TrackedRequest) -> list:
        """Release the claims of a request that will never be granted."""
        return [] if tracked.claim_round is None else tracked.claim_round.release()


def is_first(tracked: TrackedRequest) -> bool:
    """Return whether the caller sent this key for the first time."""
    return tracked.arrival.sending is Sending.FIRST
