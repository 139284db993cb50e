"""The upstreams of one service as an entry sees them, and which to take next."""

import math
from collections import Counter
from collections.abc import Callable, Iterable, Mapping
from random import Random

import attrs

from lavenderspoke.direct.decoderate import DecodeRate
from lavenderspoke.direct.health import Health
from lavenderspoke.direct.instances import Upstream
from lavenderspoke.direct.outliers import is_outlier, may_eject
from lavenderspoke.direct.prefillrate import PrefillRate
from lavenderspoke.rollouts.orders import Access
from lavenderspoke.rollouts.versionload import VersionLoad

# Time between two events of a stream, in seconds, at an upstream not yet measured.
PACE_DEFAULT_S = 0.02
# What each request that runs beside adds to the time to the first byte, in paces:
# its tokens take part in every step.
STEPS_PER_CONCURRENT_REQUEST = 1.0
# The part of an answer's whole time that counts beside the time to its first byte:
# a long answer holds its place for long at a slow upstream.
FINISH_PART = 0.1
# What it counts when the answer would not be whole by the deadline, in seconds.
MISSED_S = 1.0
# Choices that cost about the same are spread over this range: entries that all see
# the same best upstream would otherwise send to it in the same instant.
COST_JITTER = 0.3
# The fewest upstreams that a request is compared at.
DRAWN_MIN = 2
# The part of a canary's requests that goes to as few upstreams as have room for it.
CANARY_PACKED_PART = 0.5
# What a certain failure would cost, in seconds: about one wasted attempt.
FAILURE_S = 0.6
# How long an upstream is left alone at whose address another one answers, in seconds:
# longer than its record outlives it, which is three heartbeats of 1.2 s. Should it live
# all the same, it is taken again after that.
GONE_S = 5.0


@attrs.frozen(kw_only=True)
class Load:
    """What one entry has running at an upstream.

    `prefill_tokens` are those of prompts whose first event hasn't come.
    """

    requests: int = 0
    prefill_tokens: int = 0


NO_LOAD = Load()


@attrs.frozen(kw_only=True)
class Requirements:
    """What a request asks of an upstream.

    `first_in_s` is how long its first byte may take from now on to be on time,
    `left_s` how long all of it may. `excluded` names upstreams not to be taken. One
    that is `repeatable` may be the first that an upstream gets which failed others.
    """

    prompt_tokens: int
    answer_tokens: int
    first_byte_within_s: float
    remaining_s: float
    excluded: set[str] = attrs.field(factory=set)
    retryable: bool = False


@attrs.define(kw_only=True, eq=False)
class UpstreamState:
    """One upstream with what runs there: this entry's own and its peers'.

    `access` says which requests it may get.
    """

    upstream: Upstream
    access: Access = Access.OPEN
    health: Health = attrs.field(factory=Health)
    own_requests: dict[str, int] = attrs.field(factory=dict)
    peer_load: Load = NO_LOAD
    evicted_until_s: float | None = None

    def free_slots(self) -> int:
        """Return how many more requests fit into the upstream's slots."""
        return self.upstream.slots - self.in_flight()

    def prefill_tokens(self) -> int:
        """Return the prompt tokens there that haven't been read."""
        return self.peer_load.prefill_tokens + sum(self.own_requests.values())

    def in_flight(self) -> int:
        """Return how many requests run there."""
        return len(self.own_requests) + self.peer_load.requests

    def step_s(self) -> float:
        """Return the time between two events of a stream."""
        return self.health.step_s or PACE_DEFAULT_S

    def own_load(self) -> Load:
        """Return this entry's own part."""
        return Load(
            requests=len(self.own_requests),
            prefill_tokens=sum(self.own_requests.values()),
        )


@attrs.frozen(kw_only=True)
class LatencyEstimate:
    """What a request meets at an upstream: prompts to be read, its own included.

    `neighbours` counts itself, `pace_s` is the time between two events there.
    """

    prefill_tokens: int
    concurrent_requests: int
    step_s: float

    def first_byte_steps(self, tokens_per_step: float) -> float:
        """Return the expected steps of the upstream until the first byte."""
        steps = self.prefill_tokens / tokens_per_step
        return steps + self.concurrent_requests * STEPS_PER_CONCURRENT_REQUEST

    def first_byte_s(self, tokens_per_step: float) -> float:
        """Return the expected time to the first byte."""
        return self.step_s * self.first_byte_steps(tokens_per_step)

    def prefill_steps(self, first_s: float) -> float:
        """Return the steps that reading took, of a first byte after `first_s`."""
        return (
            first_s / self.step_s
            - self.concurrent_requests * STEPS_PER_CONCURRENT_REQUEST
        )


@attrs.frozen(kw_only=True)
class Selection:
    """Which upstream a request goes to.

    Without one, `worth_waiting` says that there is room, only not for this
    request; otherwise there is none at all.
    """

    upstream_state: UpstreamState | None
    worth_waiting: bool = False


@attrs.frozen(kw_only=True)
class _Prospect:
    """What a request may expect of one upstream.

    `first_s` is the time to the first byte, `answer_s` that from there to the last.
    """

    seat: UpstreamState
    first_s: float
    answer_s: float

    @property
    def whole_s(self) -> float:
        return self.first_s + self.answer_s


class Pool:
    """The upstreams of one service.

    `access(upstream)` says which requests one may get.
    """

    def __init__(
        self,
        *,
        random: Random,
        access: Callable[[Upstream], Access] = lambda upstream: Access.OPEN,
    ):
        self._random = random
        self._access = access
        self._seats: dict[str, UpstreamState] = {}
        self.prefill_rate = PrefillRate()
        self.decode_rate = DecodeRate()

    def reconfigure(self, upstreams: Iterable[Upstream]) -> None:
        """Take over the platform's list.

        One that has left the list stays while something runs there, but gets
        nothing new.
        """
        listed = {each.upstream_id: each for each in upstreams}
        for upstream_id, upstream in listed.items():
            seat = self._seats.get(upstream_id)
            if seat is None:
                self._seats[upstream_id] = UpstreamState(upstream=upstream)
            else:
                seat.upstream = upstream
        for upstream_id in [each for each in self._seats if each not in listed]:
            seat = self._seats[upstream_id]
            seat.upstream = attrs.evolve(seat.upstream, leaving=True)
            if not seat.own_requests:
                del self._seats[upstream_id]
        self.refresh_access()

    def refresh_access(self) -> None:
        """Ask anew which requests each upstream may get."""
        for seat in self._seats.values():
            seat.access = self._access(seat.upstream)

    def state_of(self, upstream_id: str) -> UpstreamState | None:
        """Return an upstream's seat, also of one that is leaving."""
        return self._seats.get(upstream_id)

    def update_peer_loads(self, loads: Mapping[str, Load]) -> None:
        """Take over what the other entries have running now, by upstream."""
        for upstream_id, seat in self._seats.items():
            seat.peer_load = loads.get(upstream_id, NO_LOAD)

    def evict(self, upstream_id: str, now_s: float) -> None:
        """Send nothing more to an upstream that is no longer at its address.

        It crashed and started again as another one. Nothing runs there any more, so its
        record, which lasts for seconds, would draw requests from all entries; each is
        turned away, and takes a retry that others need.
        """
        seat = self._seats.get(upstream_id)
        if seat is not None:
            seat.evicted_until_s = now_s + GONE_S

    def eject_if_outlier(self, seat: UpstreamState, now_s: float) -> bool:
        """Return whether an upstream that failed is left alone from now on."""
        others = self._others(seat)
        if now_s < seat.health.suspended_until_s or not is_outlier(seat.health, others):
            return False
        return self._leave_alone(seat, others, now_s)

    def eject_on_reports(self, upstream_id: str, now_s: float) -> bool:
        """Leave an upstream alone that fails others, unless it serves this entry."""
        seat = self._seats.get(upstream_id)
        if seat is None or seat.health.is_ejected or seat.health.is_healthy():
            return False
        return self._leave_alone(seat, self._others(seat), now_s)

    def _leave_alone(
        self, seat: UpstreamState, others: list[Health], now_s: float
    ) -> bool:
        if not seat.health.is_ejected and not may_eject(others):
            return False
        seat.health.eject(now_s)
        return True

    def _others(self, seat: UpstreamState) -> list[Health]:
        return [each.health for each in self._open() if each is not seat]

    def expire_evictions(self, now_s: float) -> None:
        """Take upstreams again that have been left alone for long enough."""
        for seat in self._seats.values():
            if seat.evicted_until_s is not None and now_s >= seat.evicted_until_s:
                seat.evicted_until_s = None

    def slots(self) -> int:
        """Return the slots of all upstreams that take new requests."""
        return sum(s.upstream.slots for s in self._open())

    def free_slots(self, now_s: float) -> int:
        """Return how many requests could be sent right now."""
        usable = (
            s for s in self._open() if s.health.usable(len(s.own_requests), now_s)
        )
        return sum(max(0, s.free_slots()) for s in usable if not s.health.is_ejected)

    def version_load(self) -> VersionLoad:
        """Return the places by version, in all and taken."""
        slots: Counter[str] = Counter()
        held: Counter[str] = Counter()
        for seat in self._seats.values():
            version = seat.upstream.version
            held[version] += seat.in_flight()
            if not seat.upstream.leaving and seat.evicted_until_s is None:
                slots[version] += seat.upstream.slots
        return VersionLoad(slots=slots, in_flight=held)

    def in_flight(self) -> int:
        """Return how many requests run, this entry's own and its peers'."""
        return sum(seat.in_flight() for seat in self._seats.values())

    def peer_requests(self) -> int:
        """Return how many requests of the other entries run, as far as they said."""
        return sum(seat.peer_load.requests for seat in self._seats.values())

    def own_loads(self) -> dict[str, Load]:
        """Return this entry's own requests by upstream."""
        return {
            key: seat.own_load()
            for key, seat in self._seats.items()
            if seat.own_requests
        }

    def choose(
        self, demand: Requirements, *, now_s: float, unseen_requests: float = 0.0
    ) -> Selection:
        """Return the upstream with room that should answer soonest.

        `rivals` is how many requests other entries have sent that aren't known here
        yet. Were each to take the upstream that looks best, all would meet there; so
        each takes the best of some that it draws, the fewer the more rivals there are,
        and of two at least.

        One at which the first byte would come too late is passed over while another
        one, whose places are all taken now, would still be in time.
        """
        able = [
            seat
            for seat in self._open()
            if seat.upstream.upstream_id not in demand.excluded
            and seat.health.usable(len(seat.own_requests), now_s)
        ]
        tried = [
            seat
            for seat in able
            if seat.health.allows_trial(retryable=demand.retryable, now_s=now_s)
        ]
        if tried and tried[0].free_slots() > 0:
            return Selection(upstream_state=tried[0])
        sound = [s for s in able if not s.health.is_ejected]
        return self._choose(sound, demand, unseen_requests)

    def choose_canary(
        self, demand: Requirements, *, now_s: float, unseen_requests: float = 0.0
    ) -> UpstreamState | None:
        """Return an upstream of a roll-out's target that has room, if there is one.

        Every second time it is the one that has most to do: a small share that is
        spread over all of them would never show a version that is bad under load.
        """
        able = [
            seat
            for seat in self._with(Access.CANARY)
            if seat.health.usable(len(seat.own_requests), now_s)
        ]
        if self._random.random() < CANARY_PACKED_PART:
            able = sorted((s for s in able if s.free_slots() > 0), key=_most_to_do)[:1]
        return self._choose(able, demand, unseen_requests).upstream_state

    def _choose(
        self, able: list[UpstreamState], demand: Requirements, rivals: float
    ) -> Selection:
        free = [self._prospect(seat, demand) for seat in able if seat.free_slots() > 0]
        if not free:
            return Selection(upstream_state=None, worth_waiting=bool(demand.excluded))
        in_time = [each for each in free if each.first_s <= demand.first_byte_within_s]
        if in_time:
            return Selection(upstream_state=self._best(in_time, demand, rivals))
        taken = (
            self._prospect(seat, demand) for seat in able if seat.free_slots() <= 0
        )
        if any(each.first_s <= demand.first_byte_within_s for each in taken):
            return Selection(upstream_state=None, worth_waiting=True)
        return Selection(upstream_state=self._best(free, demand, rivals))

    def _best(
        self, prospects: list[_Prospect], demand: Requirements, rivals: float
    ) -> UpstreamState:
        # Drawn among all, the longest answers would come to slow upstreams by chance
        # and be cut off at their deadlines.
        whole = [each for each in prospects if each.whole_s <= demand.remaining_s]
        drawn = self._draw(whole or prospects, rivals)
        costs = [
            (
                _cost_s(each, demand) * self._random.uniform(1.0, 1.0 + COST_JITTER),
                number,
            )
            for number, each in enumerate(drawn)
        ]
        return drawn[min(costs)[1]].seat

    def _draw(self, prospects: list[_Prospect], rivals: float) -> list[_Prospect]:
        """Return those to compare: all with less than one rival, then ever fewer."""
        drawn = max(DRAWN_MIN, math.ceil(len(prospects) / max(1.0, rivals)))
        if drawn >= len(prospects):
            return prospects
        return self._random.sample(prospects, drawn)

    def _open(self) -> list[UpstreamState]:
        return self._with(Access.OPEN)

    def _with(self, access: Access) -> list[UpstreamState]:
        return [
            seat
            for seat in self._seats.values()
            if seat.access is access
            and not seat.upstream.leaving
            and seat.evicted_until_s is None
        ]

    def _prospect(self, seat: UpstreamState, demand: Requirements) -> _Prospect:
        outlook = estimate_latency(seat, demand.prompt_tokens)
        steps = demand.answer_tokens / self.decode_rate.tokens_per_step
        return _Prospect(
            seat=seat,
            first_s=outlook.first_byte_s(self.prefill_rate.tokens_per_step),
            answer_s=seat.step_s() * steps,
        )


def _most_to_do(seat: UpstreamState) -> tuple[int, str]:
    # The same one for all entries, where several have as much to do.
    return -seat.in_flight(), seat.upstream.upstream_id


def _cost_s(prospect: _Prospect, demand: Requirements) -> float:
    """Return the expected time to the first byte, in seconds, with penalties."""
    cost_s = prospect.first_s + prospect.answer_s * FINISH_PART
    if prospect.whole_s > demand.remaining_s:
        cost_s += MISSED_S
    return cost_s + prospect.seat.health.failure_share * FAILURE_S


def estimate_latency(seat: UpstreamState, prompt_tokens: int) -> LatencyEstimate:
    """Return what a request with so long a prompt would meet at an upstream."""
    return LatencyEstimate(
        prefill_tokens=seat.prefill_tokens() + prompt_tokens,
        concurrent_requests=seat.in_flight() + 1,
        step_s=seat.step_s(),
    )
