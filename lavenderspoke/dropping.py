"""Drops requests that no agent has.

They are dropped when the entry is over its limits, when they are below a floor or
past their deadline, or when their content is quarantined.
"""

from collections.abc import Callable

import attrs

from lavenderspoke.arrivalchecks import ran_when_dropped
from lavenderspoke.core import Send
from lavenderspoke.entryevents import Finish
from lavenderspoke.problems import Problem, Reason
from lavenderspoke.servicestate import ServiceState
from lavenderspoke.shedding import DropBelow
from lavenderspoke.tracked import TrackedRequest, TrackedRequests
from lavenderspoke.views import PeerViews

# Share of `requests_max` above which the lowest tiers are shed. Each request
# occupies a thread of the callers' HTTP server; with no thread left, the server
# can only refuse the next caller, whatever its tier.
SHED_ABOVE_SHARE = 0.8


@attrs.define(kw_only=True)
class RequestDropper:
    """Drops requests of one entry; each dropped request gets a final answer.

    `requests_max` limits the requests accepted and not yet answered.
    """

    requests: TrackedRequests
    peers: PeerViews
    requests_max: int

    def shed_excess(self, state: ServiceState, now_s: float) -> list:
        """Shed the lowest-tier requests over the limits, as the floors permit.

        At `requests_max` it sheds regardless of the floors.
        """
        excess = len(self.requests) - int(self.requests_max * SHED_ABOVE_SHARE)
        is_forced = len(self.requests) >= self.requests_max
        dropped, actions = state.remove_victims(
            now_s, self.peers.ids(), excess, is_forced
        )
        ended = [
            self.finish_with(each.call.request_id, Reason.SHED) for each in dropped
        ]
        return self.apply(actions) + ended

    def is_near_limit(self) -> bool:
        """Return whether there are more than `SHED_ABOVE_SHARE` of `requests_max`."""
        return len(self.requests) > self.requests_max * SHED_ABOVE_SHARE

    def apply(self, actions: list[DropBelow | Send]) -> list:
        """Replace each DropBelow by the Finish actions of the requests below it."""
        done = []
        for action in actions:
            done += [action] if isinstance(action, Send) else self._drop_below(action)
        return done

    def _drop_below(self, drop: DropBelow) -> list[Finish]:
        return self._drop(
            drop.service, Reason.SHED, lambda each: each.call.tier < drop.rank
        )

    def drop_quarantined(self, service: str, fingerprint: str) -> list[Finish]:
        """Drop every request with this fingerprint that no agent has."""
        return self._drop(
            service,
            Reason.QUARANTINED,
            lambda each: each.call.fingerprint == fingerprint,
        )

    def _drop(
        self, service: str, reason: Reason, matches: Callable[[TrackedRequest], bool]
    ) -> list[Finish]:
        return [
            self.finish_with(each.request_id, reason)
            for each in self.requests
            if each.call.service == service and not each.is_with_agent and matches(each)
        ]

    def drop_expired(self, state: ServiceState, now_s: float) -> list[Finish]:
        """Drop the waiting requests whose deadline has passed."""
        return [
            self.finish_with(each.call.request_id, Reason.DEADLINE_EXPIRED)
            for each in state.queue.pop_expired(now_s)
        ]

    def finish_with(self, request_id: str, reason: Reason) -> Finish:
        """Return the action that gives a request's final answer.

        The answer tells the caller whether the request may have run.
        """
        tracked = self.requests.get(request_id)
        ran = ran_when_dropped(tracked)
        problem = Problem(reason=reason, ran=ran)
        return Finish(request_id=request_id, problem=problem)
