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
from lavenderspoke.resend import Claims, Outcome, ResendRound
from lavenderspoke.tracked import Phase, Tracked

# A first send whose round could not be finished waits on after this long; at
# once, the agent that refused it would take and refuse it without end.
WAIT_AGAIN_S = 0.5


@attrs.frozen(kw_only=True)
class Step:
    """What a look at a round led to.

    `found` names a run to attach to; `may_wait` says that all claims are held.
    """

    actions: list = attrs.field(factory=list)
    found: Outcome | None = None
    may_wait: bool = False


@attrs.define(kw_only=True)
class KeyClaims:
    """The claims of one entry's requests; `claim_s` bounds a round."""

    roster: Roster
    claim_s: float
    new_id: Callable[[], str]

    def begin(self, tracked: Tracked, service: Service, now_s: float) -> list:
        """Begin a round: the roster must be read after this moment."""
        tracked.phase = Phase.CLAIMING
        tracked.claimed = False
        tracked.wait_again_s = None
        tracked.rounds += 1
        tracked.round = ResendRound(
            request_id=tracked.request_id,
            key=tracked.call.key,
            number=tracked.rounds,
            lifetime_s=service.deadline_max_s,
            until_s=now_s + self.claim_s,
            read_id=self.new_id(),
        )
        return [ReadRoster(read_id=tracked.round.read_id)]

    def roster_read(self, tracked: Tracked, service: Service, now_s: float) -> list:
        """The roster was read to its end: ask every agent that it names."""
        lives = self.roster.accountable(
            service.name, now_s=now_s, key_lifetime_s=service.keys.lifetime_s
        )
        return tracked.round.roster_read(lives, self.roster.offset, now_s)

    def check(self, tracked: Tracked, service: Service, now_s: float) -> Step:
        """Look at a request's round and go on as far as it allows."""
        if tracked.wait_again_s is not None:
            return Step(may_wait=now_s >= tracked.wait_again_s)
        outcome = tracked.round.outcome(now_s)
        if outcome is None:
            return Step(actions=tracked.round.ask(now_s))
        return self._end(tracked, outcome, now_s)

    def _end(self, tracked: Tracked, outcome: Outcome, now_s: float) -> Step:
        counted = Count(name="key_claims", reason=outcome.claims.value)
        if outcome.claims is Claims.ALL_HELD:
            tracked.claimed = True
            tracked.stamp = tracked.round.stamp
            return Step(actions=[counted], may_wait=True)
        returned = tracked.round.give_back()
        if outcome.claims is Claims.RAN:
            return Step(actions=[counted, *returned], found=outcome)
        if outcome.claims is Claims.UNKNOWN and is_first(tracked):
            # It was granted to no one, so it may go on waiting for an agent that
            # accepts it as it came. With the later stamp it could reach one that
            # a re-send didn't have to ask: a second run.
            tracked.stamp = tracked.first_stamp
            tracked.wait_again_s = now_s + WAIT_AGAIN_S
            return Step(actions=[counted, *returned])
        return Step(actions=[counted, self._refusal(tracked, outcome)])

    def _refusal(self, tracked: Tracked, outcome: Outcome) -> Finish:
        if outcome.claims is Claims.UNKNOWN:
            reason = Reason.OUTCOME_UNKNOWN
        else:
            reason = Reason.SUPERSEDED if is_first(tracked) else Reason.IN_PROGRESS
        # Another attempt of this key may run yet, so "not run" would mislead.
        problem = Problem(reason=reason, ran=Ran.UNKNOWN)
        return Finish(request_id=tracked.request_id, problem=problem)

    def give_back(self, tracked: Tracked) -> list:
        """Free the claims of a request that will never be granted."""
        return [] if tracked.round is None else tracked.round.give_back()


def is_first(tracked: Tracked) -> bool:
    """Return whether the caller sent this key for the first time."""
    return tracked.arrival.sending is Sending.FIRST
