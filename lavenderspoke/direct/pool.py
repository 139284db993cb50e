"""The upstreams of one service as an entry sees them, and which to take next."""

from collections.abc import Callable, Iterable
from statistics import median

import attrs

from lavenderspoke.direct.health import Health
from lavenderspoke.direct.instances import Upstream

# Prompt tokens that an engine of usual pace reads in a second. Only the ratio to
# the step matters here: a long prompt keeps its neighbours waiting.
PREFILL_TOKENS_PER_S = 36_000.0
# What each request that runs beside costs a new one, in seconds: its tokens
# take part in every step, and there is one slot less for what comes next.
NEIGHBOUR_S = 0.03
# What a certain failure would cost, in seconds: about one wasted attempt.
FAILURE_S = 0.6


@attrs.frozen(kw_only=True)
class Running:
    """What one entry has running at an upstream.

    `prefill_tokens` are those of prompts whose first event hasn't come.
    """

    requests: int = 0
    prefill_tokens: int = 0


@attrs.define(kw_only=True, eq=False)
class Seat:
    """One upstream with what runs there: this entry's own and its peers'."""

    upstream: Upstream
    health: Health = attrs.field(factory=Health)
    own: dict[str, int] = attrs.field(factory=dict)
    peers: Running = Running()

    def room(self) -> int:
        """Return how many more requests fit into the upstream's slots."""
        return self.upstream.slots - len(self.own) - self.peers.requests

    def running(self) -> Running:
        """Return this entry's own part."""
        return Running(requests=len(self.own), prefill_tokens=sum(self.own.values()))


class Pool:
    """The upstreams of one service.

    `peers_running(upstream_id)` returns what the other entries have running.
    """

    def __init__(self, *, peers_running: Callable[[str], Running]):
        self._seats: dict[str, Seat] = {}
        self._peers_running = peers_running

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

    def seat(self, upstream_id: str) -> Seat | None:
        """Return an upstream's seat, also of one that is leaving."""
        return self._seats.get(upstream_id)

    def refresh_peers(self) -> None:
        """Take over what the other entries have running now."""
        for upstream_id, seat in self._seats.items():
            seat.peers = self._peers_running(upstream_id)

    def slots(self) -> int:
        """Return the slots of all upstreams that take new requests."""
        return sum(s.upstream.slots for s in self._open())

    def room(self, now_s: float) -> int:
        """Return how many requests could be sent right now."""
        usable = (s for s in self._open() if s.health.usable(len(s.own), now_s))
        return sum(max(0, seat.room()) for seat in usable)

    def in_flight(self) -> int:
        """Return how many requests run, this entry's own and its peers'."""
        return sum(len(s.own) + s.peers.requests for s in self._seats.values())

    def running(self) -> dict[str, Running]:
        """Return this entry's own requests by upstream."""
        return {key: seat.running() for key, seat in self._seats.items() if seat.own}

    def choose(
        self, *, prompt_tokens: int, excluded: set[str], now_s: float
    ) -> Seat | None:
        """Return the upstream with room that should answer soonest, if any."""
        candidates = [
            seat
            for seat in self._open()
            if seat.room() > 0
            and seat.upstream.upstream_id not in excluded
            and seat.health.usable(len(seat.own), now_s)
        ]
        if not candidates:
            return None
        usual_s = self._usual_pace_s()
        return min(candidates, key=lambda seat: _cost_s(seat, prompt_tokens, usual_s))

    def _open(self) -> list[Seat]:
        return [seat for seat in self._seats.values() if not seat.upstream.leaving]

    def _usual_pace_s(self) -> float | None:
        known = [s.health.pace_s for s in self._open() if s.health.pace_s is not None]
        return median(known) if known else None


def _cost_s(seat: Seat, prompt_tokens: int, usual_s: float | None) -> float:
    """Return the expected time to the first byte, in seconds, with penalties."""
    pace = 1.0
    if usual_s and seat.health.pace_s is not None:
        pace = seat.health.pace_s / usual_s
    prefill = prompt_tokens + seat.peers.prefill_tokens + sum(seat.own.values())
    neighbours = len(seat.own) + seat.peers.requests + 1
    busy_s = prefill / PREFILL_TOKENS_PER_S + neighbours * NEIGHBOUR_S
    return pace * busy_s + seat.health.failure_share * FAILURE_S
