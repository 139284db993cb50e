"""An entry's rounds of claims, and what follows from how they end."""

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

# A first send whose round could not be finished waits on after this long; at
# once, the agent that refused it would take and refuse it without end.
REQUEUE_DELAY_S = 0.5


@attrs.frozen(kw_only=True)
class ClaimStep:
    """What a look at a round led to.

    `found` names a run to attach to; `may_wait` says that all claims are held.
    """

    actions: list = attrs.field(factory=list)
    found: ClaimOutcome | None = None
    may_wait: bool = False


@attrs.define(kw_only=True)
class KeyClaims:
    """The claims of one entry's requests; `claim_s` bounds a round."""

    roster: Roster
    claim_timeout_s: float
    new_id: Callable[[], str]

    def begin(self, tracked: TrackedRequest, service: Service, now_s: float) -> list:
        """Begin a round: the roster must be read after this moment."""
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
        """The roster was read to its end: ask every agent that it names."""
        lives = self.roster.possible_key_holders(
            service.name, now_s=now_s, key_lifetime_s=service.keys.lifetime_s
        )
        return tracked.claim_round.roster_read(lives, self.roster.offset, now_s)

    def check(
        self, tracked: TrackedRequest, service: Service, now_s: float
    ) -> ClaimStep:
        """Look at a request's round and go on as far as it allows."""
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
        returned = tracked.claim_round.release()
        if outcome.result is ClaimResult.RAN:
            return ClaimStep(actions=[counted, *returned], found=outcome)
        if outcome.result is ClaimResult.UNKNOWN and is_first(tracked):
            # It was granted to no one, so it may go on waiting for an agent that
            # accepts it as it came. With the later stamp it could reach one that
            # a re-send didn't have to ask: a second run.
            tracked.stamp = tracked.first_stamp
            tracked.requeue_at_s = now_s + REQUEUE_DELAY_S
            return ClaimStep(actions=[counted, *returned])
        return ClaimStep(actions=[counted, self._refusal(tracked, outcome)])

    def _refusal(self, tracked: TrackedRequest, outcome: ClaimOutcome) -> Finish:
        if outcome.result is ClaimResult.UNKNOWN:
            reason = Reason.OUTCOME_UNKNOWN
        else:
            reason = Reason.SUPERSEDED if is_first(tracked) else Reason.IN_PROGRESS
        # Another attempt of this key may run yet, so "not run" would mislead.
        problem = Problem(reason=reason, ran=Ran.UNKNOWN)
        return Finish(request_id=tracked.request_id, problem=problem)

    def release(self, tracked: TrackedRequest) -> list:
        """Free the claims of a request that will never be granted."""
        return [] if tracked.claim_round is None else tracked.claim_round.release()


def is_first(tracked: TrackedRequest) -> bool:
    """Return whether the caller sent this key for the first time."""
    return tracked.arrival.sending is Sending.FIRST
