"""Whether an entry takes a request in, or refuses it at once."""

import attrs

from lavenderspoke.gateway import Arrival, Sending
from lavenderspoke.model import Ran
from lavenderspoke.problems import Problem, Reason
from lavenderspoke.servicestate import ServiceState
from lavenderspoke.tracked import Tracked

# A caller that comes too early, or to an entry that stops, may soon be served.
SOON_S = 1.0


@attrs.define(kw_only=True)
class ArrivalChecks:
    """The intake of one entry; `services` holds what it has documents for."""

    services: dict[str, ServiceState]

    def find_problem(
        self, arrival: Arrival, is_draining: bool, now_s: float
    ) -> Problem | None:
        """Return why a request is refused, or None to take it in."""
        state = self.services.get(arrival.call.service)
        if state is None:
            return refusal(Reason.NO_DOCUMENT, SOON_S)
        if is_draining:
            return refusal(Reason.DRAINING, SOON_S)
        for check in (self._shed, self._quarantined, self._over_budget, self._admit):
            problem = check(state, arrival, now_s)
            if problem is not None:
                return self._of_key(arrival, problem)
        return None

    def _of_key(self, arrival: Arrival, problem: Problem) -> Problem:
        # An earlier attempt of the key may have run, whatever became of this
        # one; "not run" would have the caller start over.
        is_resend = arrival.call.key is not None and arrival.sending is Sending.RESEND
        return attrs.evolve(problem, ran=Ran.UNKNOWN) if is_resend else problem

    def _shed(self, state: ServiceState, arrival, now_s) -> Problem | None:
        rank = arrival.call.tier
        if not state.below_floor(rank, now_s):
            return None
        return refusal(Reason.SHED, state.retry_after_s(rank, now_s))

    def _quarantined(self, state: ServiceState, arrival, now_s) -> Problem | None:
        if not state.crashes.is_quarantined(arrival.call.fingerprint, now_s):
            return None
        return refusal(Reason.QUARANTINED, None)

    def _over_budget(self, state: ServiceState, arrival, now_s) -> Problem | None:
        if arrival.call.key is None or arrival.sending is Sending.FIRST:
            state.retries.record_first_attempt(now_s)
            return None
        if state.retries.try_spend(now_s):
            return None
        after_s = state.retry_after_s(arrival.call.tier, now_s)
        return refusal(Reason.RETRY_BUDGET, after_s)

    def _admit(self, state: ServiceState, arrival, now_s) -> Problem | None:
        return state.admission.admit(
            arrival.call, arrival.deadline_in_s, now_s, state.queue, state.drain
        )


def refusal(reason: Reason, retry_after_s: float | None) -> Problem:
    """Return the problem of a request that was not taken in."""
    return Problem(reason=reason, ran=Ran.NO, retry_after_s=retry_after_s)


def ran_when_dropped(tracked: Tracked) -> Ran:
    """Return what may be said of a request that ends in this entry.

    "Not run" is said only of one that no agent has, and never of a re-send:
    without all its claims the key may have run under an earlier attempt; with
    them, they are given back now, and an earlier attempt may then run. Nor of a
    first send whose key another attempt was found to hold.
    """
    is_resend = tracked.call.key and tracked.arrival.sending is Sending.RESEND
    in_doubt = tracked.is_out or is_resend or tracked.is_contested
    return Ran.UNKNOWN if in_doubt else Ran.NO
