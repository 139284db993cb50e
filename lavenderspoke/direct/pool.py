"""The upstreams of one service as an entry sees them, and which to take next."""

import math
from collections import Counter
from collections.abc import Callable, Iterable, Mapping
from random import Random

import attrs

from lavenderspoke.direct.health import Health
from lavenderspoke.direct.instances import Upstream
from lavenderspoke.direct.outliers import is_outlier, may_leave_alone
from lavenderspoke.direct.reading import ReadingPace
from lavenderspoke.direct.writing import WritingPace
from lavenderspoke.rollouts.orders import Access
from lavenderspoke.rollouts.versionload import VersionLoad

# Time between two events of a stream, in seconds, at an upstream not yet measured.
PACE_DEFAULT_S = 0.02
# What each request that runs beside adds to the time to the first byte, in paces:
# its tokens take part in every step.
NEIGHBOUR_PACES = 1.0
# The part of an answer's whole time that counts beside the time to its first byte:
# a long answer holds its place for long at a slow upstream.
FINISH_PART = 0.1
# What it counts when the answer would not be whole by the deadline, in seconds.
MISSED_S = 1.0
# Choices that cost about the same are spread over this range: entries that all see
# the same best upstream would otherwise send to it in the same instant.
SPREAD = 0.3
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
class Running:
    """What one entry has running at an upstream.

    `prefill_tokens` are those of prompts whose first event hasn't come.
    """

    requests: int = 0
    prefill_tokens: int = 0


IDLE = Running()


@attrs.frozen(kw_only=True)
class Demand:
    """What a request asks of an upstream.

    `first_in_s` is how long its first byte may take from now on to be on time,
    `left_s` how long all of it may. `excluded` names upstreams not to be taken. One
    that is `repeatable` may be the first that an upstream gets which failed others.
    """

    prompt_tokens: int
    answer_tokens: int
    first_in_s: float
    left_s: float
    excluded: set[str] = attrs.field(factory=set)
    repeatable: bool = False


@attrs.define(kw_only=True, eq=False)
class Seat:
    """One upstream with what runs there: this entry's own and its peers'.

    `access` says which requests it may get.
    """

    upstream: Upstream
    access: Access = Access.OPEN
    health: Health = attrs.field(factory=Health)
    own: dict[str, int] = attrs.field(factory=dict)
    peers: Running = IDLE
    gone_until_s: float | None = None

    def room(self) -> int:
        """Return how many more requests fit into the upstream's slots."""
        return self.upstream.slots - self.requests()

    def prefill_tokens(self) -> int:
        """Return the prompt tokens there that haven't been read."""
        return self.peers.prefill_tokens + sum(self.own.values())

    def requests(self) -> int:
        """Return how many requests run there."""
        return len(self.own) + self.peers.requests

    def pace_s(self) -> float:
        """Return the time between two events of a stream."""
        return self.health.pace_s or PACE_DEFAULT_S

    def running(self) -> Running:
        """Return this entry's own part."""
        return Running(requests=len(self.own), prefill_tokens=sum(self.own.values()))


@attrs.frozen(kw_only=True)
class Outlook:
    """What a request meets at an upstream: prompts to be read, its own included.

    `neighbours` counts itself, `pace_s` is the time between two events there.
    """

    prefill_tokens: int
    neighbours: int
    pace_s: float

    def first_steps(self, tokens_per_step: float) -> float:
        """Return the expected steps of the upstream until the first byte."""
        steps = self.prefill_tokens / tokens_per_step
        return steps + self.neighbours * NEIGHBOUR_PACES

    def first_s(self, tokens_per_step: float) -> float:
        """Return the expected time to the first byte."""
        return self.pace_s * self.first_steps(tokens_per_step)

    def reading_steps(self, first_s: float) -> float:
        """Return the steps that reading took, of a first byte after `first_s`."""
        return first_s / self.pace_s - self.neighbours * NEIGHBOUR_PACES


@attrs.frozen(kw_only=True)
class Choice:
    """Which upstream a request goes to.

    Without one, `worth_waiting` says that there is room, only not for this
    request; otherwise there is none at all.
    """

    seat: Seat | None
    worth_waiting: bool = False


@attrs.frozen(kw_only=True)
class _Prospect:
    """What a request may expect of one upstream.

    `first_s` is the time to the first byte, `answer_s` that from there to the last.
    """

    seat: Seat
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
        self._seats: dict[str, Seat] = {}
        self.reading = ReadingPace()
        self.writing = WritingPace()

    def reconfigure(self, upstreams: Iterable[Upstream]) -> None:
        """Take over the platform's list.

        One that has left the list stays while something runs there, but gets
        nothing new.
        """
        listed = {each.upstream_id: each for each in upstreams}
        for upstream_id, upstream in listed.items():
            seat = self._seats.get(upstream_id)
            if seat is None:
                self._seats[upstream_id] = Seat(upstream=upstream)
            else:
                seat.upstream = upstream
        for upstream_id in [each for each in self._seats if each not in listed]:
            seat = self._seats[upstream_id]
            seat.upstream = attrs.evolve(seat.upstream, leaving=True)
            if not seat.own:
                del self._seats[upstream_id]
        self.refresh_access()

    def refresh_access(self) -> None:
        """Ask anew which requests each upstream may get."""
        for seat in self._seats.values():
            seat.access = self._access(seat.upstream)

    def seat(self, upstream_id: str) -> Seat | None:
        """Return an upstream's seat, also of one that is leaving."""
        return self._seats.get(upstream_id)

    def refresh_peers(self, running: Mapping[str, Running]) -> None:
        """Take over what the other entries have running now, by upstream."""
        for upstream_id, seat in self._seats.items():
            seat.peers = running.get(upstream_id, IDLE)

    def gone(self, upstream_id: str, now_s: float) -> None:
        """Send nothing more to an upstream that is no longer at its address.

        It crashed and started again as another one. Nothing runs there any more, so its
        record, which lasts for seconds, would draw requests from all entries; each is
        turned away, and takes a retry that others need.
        """
        seat = self._seats.get(upstream_id)
        if seat is not None:
            seat.gone_until_s = now_s + GONE_S

    def is_failing(self, seat: Seat, now_s: float) -> bool:
        """Return whether an upstream that failed is left alone from now on."""
        others = self._others(seat)
        if now_s < seat.health.suspended_until_s or not is_outlier(seat.health, others):
            return False
        return self._leave_alone(seat, others, now_s)

    def told_failing(self, upstream_id: str, now_s: float) -> bool:
        """Leave an upstream alone that fails others, unless it serves this entry."""
        seat = self._seats.get(upstream_id)
        if seat is None or seat.health.is_on_trial or seat.health.seems_sound():
            return False
        return self._leave_alone(seat, self._others(seat), now_s)

    def _leave_alone(self, seat: Seat, others: list[Health], now_s: float) -> bool:
        if not seat.health.is_on_trial and not may_leave_alone(others):
            return False
        seat.health.leave_alone(now_s)
        return True

    def _others(self, seat: Seat) -> list[Health]:
        return [each.health for each in self._open() if each is not seat]

    def come_back(self, now_s: float) -> None:
        """Take upstreams again that have been left alone for long enough."""
        for seat in self._seats.values():
            if seat.gone_until_s is not None and now_s >= seat.gone_until_s:
                seat.gone_until_s = None

    def slots(self) -> int:
        """Return the slots of all upstreams that take new requests."""
        return sum(s.upstream.slots for s in self._open())

    def room(self, now_s: float) -> int:
        """Return how many requests could be sent right now."""
        usable = (s for s in self._open() if s.health.usable(len(s.own), now_s))
        return sum(max(0, s.room()) for s in usable if not s.health.is_on_trial)

    def places(self) -> VersionLoad:
        """Return the places by version, in all and taken."""
        slots: Counter[str] = Counter()
        held: Counter[str] = Counter()
        for seat in self._seats.values():
            version = seat.upstream.version
            held[version] += seat.requests()
            if not seat.upstream.leaving and seat.gone_until_s is None:
                slots[version] += seat.upstream.slots
        return VersionLoad(slots=slots, in_flight=held)

    def in_flight(self) -> int:
        """Return how many requests run, this entry's own and its peers'."""
        return sum(seat.requests() for seat in self._seats.values())

    def peers_running(self) -> int:
        """Return how many requests of the other entries run, as far as they said."""
        return sum(seat.peers.requests for seat in self._seats.values())

    def running(self) -> dict[str, Running]:
        """Return this entry's own requests by upstream."""
        return {key: seat.running() for key, seat in self._seats.items() if seat.own}

    def choose(self, demand: Demand, *, now_s: float, rivals: float = 0.0) -> Choice:
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
            and seat.health.usable(len(seat.own), now_s)
        ]
        tried = [
            seat
            for seat in able
            if seat.health.may_try(repeatable=demand.repeatable, now_s=now_s)
        ]
        if tried and tried[0].room() > 0:
            return Choice(seat=tried[0])
        sound = [s for s in able if not s.health.is_on_trial]
        return self._choose(sound, demand, rivals)

    def choose_canary(
        self, demand: Demand, *, now_s: float, rivals: float = 0.0
    ) -> Seat | None:
        """Return an upstream of a roll-out's target that has room, if there is one.

        Every second time it is the one that has most to do: a small share that is
        spread over all of them would never show a version that is bad under load.
        """
        able = [
            seat
            for seat in self._with(Access.CANARY)
            if seat.health.usable(len(seat.own), now_s)
        ]
        if self._random.random() < CANARY_PACKED_PART:
            able = sorted((s for s in able if s.room() > 0), key=_most_to_do)[:1]
        return self._choose(able, demand, rivals).seat

    def _choose(self, able: list[Seat], demand: Demand, rivals: float) -> Choice:
        free = [self._prospect(seat, demand) for seat in able if seat.room() > 0]
        if not free:
            return Choice(seat=None, worth_waiting=bool(demand.excluded))
        in_time = [each for each in free if each.first_s <= demand.first_in_s]
        if in_time:
            return Choice(seat=self._best(in_time, demand, rivals))
        taken = (self._prospect(seat, demand) for seat in able if seat.room() <= 0)
        if any(each.first_s <= demand.first_in_s for each in taken):
            return Choice(seat=None, worth_waiting=True)
        return Choice(seat=self._best(free, demand, rivals))

    def _best(self, prospects: list[_Prospect], demand: Demand, rivals: float) -> Seat:
        # Drawn among all, the longest answers would come to slow upstreams by chance
        # and be cut off at their deadlines.
        whole = [each for each in prospects if each.whole_s <= demand.left_s]
        drawn = self._draw(whole or prospects, rivals)
        costs = [
            (
                _cost_s(each, demand) * self._random.uniform(1.0, 1.0 + SPREAD),
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

    def _open(self) -> list[Seat]:
        return self._with(Access.OPEN)

    def _with(self, access: Access) -> list[Seat]:
        return [
            seat
            for seat in self._seats.values()
            if seat.access is access
            and not seat.upstream.leaving
            and seat.gone_until_s is None
        ]

    def _prospect(self, seat: Seat, demand: Demand) -> _Prospect:
        outlook = outlook_at(seat, demand.prompt_tokens)
        steps = demand.answer_tokens / self.writing.tokens_per_step
        return _Prospect(
            seat=seat,
            first_s=outlook.first_s(self.reading.tokens_per_step),
            answer_s=seat.pace_s() * steps,
        )


def _most_to_do(seat: Seat) -> tuple[int, str]:
    # The same one for all entries, where several have as much to do.
    return -seat.requests(), seat.upstream.upstream_id


def _cost_s(prospect: _Prospect, demand: Demand) -> float:
    """Return the expected time to the first byte, in seconds, with penalties."""
    cost_s = prospect.first_s + prospect.answer_s * FINISH_PART
    if prospect.whole_s > demand.left_s:
        cost_s += MISSED_S
    return cost_s + prospect.seat.health.failure_share * FAILURE_S


def outlook_at(seat: Seat, prompt_tokens: int) -> Outlook:
    """Return what a request with so long a prompt would meet at an upstream."""
    return Outlook(
        prefill_tokens=seat.prefill_tokens() + prompt_tokens,
        neighbours=seat.requests() + 1,
        pace_s=seat.pace_s(),
    )
