"""The checks that decide whether an entry accepts an arriving request."""

import attrs

from lavenderspoke.gateway import Arrival, Sending
from lavenderspoke.model import Ran
from lavenderspoke.problems import Problem, Reason
from lavenderspoke.servicestate import ServiceState
from lavenderspoke.tracked import TrackedRequest

# Retry-After of an entry that is draining or has no document yet: another entry
# can serve the caller, or this one once it has the document.
RETRY_SOON_S = 1.0


@attrs.define(kw_only=True)
class ArrivalChecks:
    """Checks arrivals at one entry; `services` are those with a document."""

    services: dict[str, ServiceState]

    def find_problem(
        self, arrival: Arrival, is_draining: bool, now_s: float
    ) -> Problem | None:
        """Return why a request is refused, or None to accept it."""
        state = self.services.get(arrival.call.service)
        if state is None:
            return refusal(Reason.NO_DOCUMENT, RETRY_SOON_S)
        if is_draining:
            return refusal(Reason.DRAINING, RETRY_SOON_S)
        for check in (
            self._check_floor,
            self._check_quarantine,
            self._check_retry_budget,
            self._check_admission,
        ):
            problem = check(state, arrival, now_s)
            if problem is not None:
                return self._with_resend_outcome(arrival, problem)
        return None

    def _with_resend_outcome(self, arrival: Arrival, problem: Problem) -> Problem:
        # An earlier attempt with this key may have run. On "not run" the caller
        # would start over and could run it twice.
        is_resend = arrival.call.key is not None and arrival.sending is Sending.RESEND
        return attrs.evolve(problem, ran=Ran.UNKNOWN) if is_resend else problem

    def _check_floor(self, state: ServiceState, arrival, now_s) -> Problem | None:
        rank = arrival.call.tier
        if not state.is_below_floor(rank, now_s):
            return None
        return refusal(Reason.SHED, state.retry_after_s(rank, now_s))

    def _check_quarantine(self, state: ServiceState, arrival, now_s) -> Problem | None:
        if not state.crashes.is_quarantined(arrival.call.fingerprint, now_s):
            return None
        return refusal(Reason.QUARANTINED, None)

    def _check_retry_budget(
        self, state: ServiceState, arrival, now_s
    ) -> Problem | None:
        if arrival.call.key is None or arrival.sending is Sending.FIRST:
            state.retries.record_first_attempt(now_s)
            return None
        if state.retries.try_spend(now_s):
            return None
        retry_after_s = state.retry_after_s(arrival.call.tier, now_s)
        return refusal(Reason.RETRY_BUDGET, retry_after_s)

    def _check_admission(self, state: ServiceState, arrival, now_s) -> Problem | None:
        return state.admission.find_problem(
            arrival.call, arrival.deadline_in_s, now_s, state.queue, state.drain_rate
        )


def refusal(reason: Reason, retry_after_s: float | None) -> Problem:
    """Return the problem of a request that wasn't accepted, and so didn't run."""
    return Problem(reason=reason, ran=Ran.NO, retry_after_s=retry_after_s)


def ran_when_dropped(tracked: TrackedRequest) -> Ran:
    """Return UNKNOWN if a request that this entry drops may have run, else NO.

    It is NO only if no agent has it, it isn't a re-send, and no other attempt was
    found to hold its key. A re-send that doesn't hold all claims on its key may
    have run as an earlier attempt. One that holds them releases them when it is
    dropped, and an earlier attempt may then run.
    """
    is_resend = tracked.call.key and tracked.arrival.sending is Sending.RESEND
    in_doubt = tracked.is_with_agent or is_resend or tracked.is_contested
    return Ran.UNKNOWN if in_doubt else Ran.NO
