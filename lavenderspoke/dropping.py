"""Drops waiting work of an entry: for want of room, for a floor, for a crash."""

from collections.abc import Callable

import attrs

from lavenderspoke.arrivalchecks import ran_when_dropped
from lavenderspoke.core import Send
from lavenderspoke.entryevents import Finish
from lavenderspoke.problems import Problem, Reason
from lavenderspoke.servicestate import ServiceState
from lavenderspoke.shedding import DropBelow
from lavenderspoke.tracked import Tracked, TrackedRequests
from lavenderspoke.views import PeerViews

# Room is made from this part of what an entry can hold. Each request holds one
# of the callers' threads; once those are gone the HTTP server can only refuse
# whoever comes next, a high tier like a low one.
SHED_ABOVE_SHARE = 0.8


@attrs.define(kw_only=True)
class RequestDropper:
    """What an entry drops; every drop is a final answer to its caller.

    `requests_max` is what the entry can hold, waiting or with an agent.
    """

    requests: TrackedRequests
    peers: PeerViews
    requests_max: int

    def shed_excess(self, state: ServiceState, now_s: float) -> list:
        """Drop the lowest work while too much waits, as the floors allow."""
        excess = len(self.requests) - int(self.requests_max * SHED_ABOVE_SHARE)
        is_forced = len(self.requests) >= self.requests_max
        dropped, actions = state.victims(now_s, self.peers.ids(), excess, is_forced)
        ended = [
            self.finish_with(each.call.request_id, Reason.SHED) for each in dropped
        ]
        return self.apply(actions) + ended

    def is_near_limit(self) -> bool:
        """Return whether the entry holds nearly as much as it can."""
        return len(self.requests) > self.requests_max * SHED_ABOVE_SHARE

    def apply(self, actions: list[DropBelow | Send]) -> list:
        """Carry out what the floors ask for."""
        done = []
        for action in actions:
            done += [action] if isinstance(action, Send) else self._below(action)
        return done

    def _below(self, drop: DropBelow) -> list[Finish]:
        return self._drop(
            drop.service, Reason.SHED, lambda each: each.call.tier < drop.rank
        )

    def drop_quarantined(self, service: str, fingerprint: str) -> list[Finish]:
        """Drop every request with content that is quarantined."""
        return self._drop(
            service,
            Reason.QUARANTINED,
            lambda each: each.call.fingerprint == fingerprint,
        )

    def _drop(
        self, service: str, reason: Reason, is_meant: Callable[[Tracked], bool]
    ) -> list[Finish]:
        return [
            self.finish_with(each.request_id, reason)
            for each in self.requests
            if each.call.service == service and not each.is_out and is_meant(each)
        ]

    def drop_expired(self, state: ServiceState, now_s: float) -> list[Finish]:
        """Drop what has waited past its deadline."""
        return [
            self.finish_with(each.call.request_id, Reason.DEADLINE_EXPIRED)
            for each in state.queue.pop_expired(now_s)
        ]

    def finish_with(self, request_id: str, reason: Reason) -> Finish:
        """Return the final answer of a request, with whether it ran."""
        tracked = self.requests.get(request_id)
        ran = ran_when_dropped(tracked)
        problem = Problem(reason=reason, ran=ran)
        return Finish(request_id=request_id, problem=problem)
