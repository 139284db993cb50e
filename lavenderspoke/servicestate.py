"""An entry's state of one service: queue, admission, floors, demand."""

from random import Random

from lavenderspoke.admission import Admission
from lavenderspoke.affinity import PrefixIndex
from lavenderspoke.demand import DemandNotifier
from lavenderspoke.dispatching import EntryPolicy
from lavenderspoke.documents.service import Service
from lavenderspoke.drainrate import DrainRate
from lavenderspoke.messages import Grant, Pull, PullDone
from lavenderspoke.model import InstanceId
from lavenderspoke.quarantine.history import CrashHistory
from lavenderspoke.retrybudget import RetryAllowance
from lavenderspoke.shedding import FloorCoordinator
from lavenderspoke.tracked import TrackedRequest
from lavenderspoke.views import AgentView
from lavenderspoke.waiting import WaitingQueue, WaitingRequest, cost_tokens

# Limit of (upstream, prefix) pairs that an entry remembers for a service.
PREFIX_INDEX_ENTRIES_MAX = 50_000
# While a floor is being requested, up to this multiple of the limits may wait. Above
# it the entry drops at once to protect its memory, in order of tiers only locally.
HARD_LIMIT_FACTOR = 2
RANK_BOUND = 1 << 30


class ServiceState:
    """One service at one entry."""

    def __init__(
        self,
        *,
        service: Service,
        version: int,
        me: InstanceId,
        random: Random,
        policy: EntryPolicy = EntryPolicy(),
    ):
        self.service = service
        self.version = version
        self.policy = policy
        self.queue = WaitingQueue(service=service, policy=policy.queue)
        self.admission = Admission(service=service, random=random)
        self.drain_rate = DrainRate()
        self.floors = FloorCoordinator(service=service, instance=me)
        self.demand = DemandNotifier(service=service.name)
        self.prefix_index = PrefixIndex(entries_max=PREFIX_INDEX_ENTRIES_MAX)
        self.crashes = CrashHistory(service=service.name, policy=service.poison)
        self.retries = RetryAllowance(budget=service.retry_budget)

    def configure(self, service: Service, version: int, now_s: float) -> None:
        """Apply another version of the service's document."""
        self.service = service
        self.version = version
        self.queue.reconfigure(service, now_s)
        self.admission.reconfigure(service)
        self.floors.reconfigure(service)
        self.crashes.reconfigure(service.poison)
        self.retries.reconfigure(service.retry_budget)

    def cached_tokens(self, tracked: TrackedRequest) -> dict[str, int]:
        """Return the cached tokens of the request's prefix by upstream."""
        hashes = tracked.call.prefix_hashes
        if not hashes:
            return {}
        return self.prefix_index.lookup(hashes, self.service.prefixes.block_tokens)

    def enqueue(self, tracked: TrackedRequest, now_s: float) -> dict[str, int]:
        """Queue a request; return its cached tokens by upstream."""
        cached_tokens = self.cached_tokens(tracked)
        self.queue.add(self._waiting(tracked, cached_tokens), now_s)
        return cached_tokens

    def requeue(self, tracked: TrackedRequest, now_s: float) -> dict[str, int]:
        """Queue again a request that was granted and did not run."""
        cached_tokens = self.cached_tokens(tracked)
        self.queue.requeue(self._waiting(tracked, cached_tokens), now_s)
        return cached_tokens

    def _waiting(
        self, tracked: TrackedRequest, cached_tokens: dict[str, int]
    ) -> WaitingRequest:
        return WaitingRequest(
            call=tracked.call,
            arrived_s=tracked.arrived_s,
            deadline_s=tracked.deadline_s,
            stamp=tracked.stamp,
            cached_tokens=cached_tokens,
        )

    def retry_after_s(self, rank: int, now_s: float) -> float:
        """Return the seconds after which a caller should retry, with jitter."""
        return self.admission.retry_after_s(rank, now_s, self.queue, self.drain_rate)

    def is_below_floor(self, rank: int, now_s: float) -> bool:
        """Return whether the tier is below the current floor."""
        floor = self.floors.floor_rank(now_s)
        return floor is not None and rank < floor

    def is_full(self) -> bool:
        """Return whether the queue exceeds the document's limits."""
        limits = self.service.waiting
        return (
            len(self.queue) > limits.requests_max or self.queue.bytes > limits.bytes_max
        )

    def is_overfull(self) -> bool:
        """Return whether the queue exceeds the hard limit."""
        limits = self.service.waiting
        return (
            len(self.queue) > limits.requests_max * HARD_LIMIT_FACTOR
            or self.queue.bytes > limits.bytes_max * HARD_LIMIT_FACTOR
        )

    def remove_victims(
        self, now_s: float, peers: set[InstanceId], excess: int, is_forced: bool
    ) -> tuple[list, list]:
        """Remove and return the requests to drop, and other actions.

        `excess` is the number of requests over the entry's limit, in all services.

        The lowest tier is dropped first, across all entries: before a request of a
        higher tier is dropped, the peers must have dropped theirs below it.
        """
        dropped, actions = [], []
        while len(self.queue) and (self.is_full() or len(dropped) < excess):
            victim = self.queue.lowest_victim(RANK_BOUND)
            rank = victim.call.tier
            if self.policy.service_wide_shedding:
                actions += self.floors.request_floor(rank, now_s, peers)
                allowed = self.floors.may_drop(rank, now_s)
                if not (allowed or is_forced or self.is_overfull()):
                    break
            dropped.append(self.queue.remove(victim.call.request_id))
        return dropped, actions

    def answer_pull(
        self, pull: Pull, view: AgentView, now_s: float
    ) -> tuple[list[Grant], PullDone]:
        """Dequeue and grant at most `pull.slots` requests."""
        grants = []
        while len(grants) < pull.slots:
            request = self._dequeue(pull.rank_min, view, now_s)
            if request is None:
                break
            grants.append(self._grant(request, pull.nonce, now_s))
        return grants, self._pull_done(pull, grants, view)

    def push(self, nonce: str, view: AgentView, now_s: float) -> Grant | None:
        """Dequeue and grant one request, regardless of the agent's free slots."""
        request = self._dequeue(-RANK_BOUND, view, now_s)
        return None if request is None else self._grant(request, nonce, now_s)

    def _dequeue(
        self, rank_min: int, view: AgentView, now_s: float
    ) -> WaitingRequest | None:
        if self.policy.queue.tiers and self._highest_rank() < rank_min:
            return None
        request = self.queue.take(now_s, upstream=view.announce.upstream)
        if request is None:
            return None
        if self.policy.queue.tiers and request.call.tier < rank_min:
            self.queue.requeue(request, now_s)
            return None
        self._record_drain(request, now_s)
        return request

    def _highest_rank(self) -> int:
        return max(self.queue.counts(), default=-RANK_BOUND)

    def _record_drain(self, request: WaitingRequest, now_s: float) -> None:
        call = request.call
        self.drain_rate.record_grant(
            call.tier, cost_tokens(call), now_s, self.queue.counts()
        )

    def _grant(self, request: WaitingRequest, nonce: str, now_s: float) -> Grant:
        return Grant(
            nonce=nonce,
            call=request.call,
            stamp=request.stamp,
            deadline_in_s=request.deadline_s - now_s,
        )

    def _pull_done(self, pull: Pull, grants: list[Grant], view: AgentView) -> PullDone:
        waiting = self.queue.counts()
        if not grants:
            # No request at these tiers is available to this agent now. If they were
            # reported, it would pull again in a loop; the next demand notifies it.
            waiting = {r: n for r, n in waiting.items() if r < pull.rank_min}
        self.demand.record_notified(view.agent, waiting)
        return PullDone(
            service=pull.service,
            nonce=pull.nonce,
            granted=len(grants),
            waiting=waiting,
        )
