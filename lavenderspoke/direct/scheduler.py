"""Who goes next, where to, and who is refused early.

Each service has one line. Ranks go first in strict order, except that one place
in `LOW_TURN` goes to the lowest rank that waits, so that no kind of request
starves. Within a rank those that were refused before and came back go ahead of
newcomers: they were promised a place.

A request is refused as soon as its turn can't come in time. Held longer it would
only keep its caller from asking again; refused at once with a time to come back,
the caller returns when the burst has passed.

All times are seconds on the clock that the caller of these methods passes in.
"""

import enum
from collections import Counter
from collections.abc import Callable
from random import Random

import attrs
from sortedcontainers import SortedKeyList

from lavenderspoke.direct.instances import Upstream
from lavenderspoke.direct.pool import Pool, Running, Seat

# Every so many-th place goes to the lowest rank that waits.
LOW_TURN = 8
# The part of its target that a newcomer is expected to wait at most.
NEWCOMER_PATIENCE = 0.6
# The part of its remaining time that one that came back may wait.
RETURNED_PATIENCE = 0.6
# Time kept, in seconds, between the end of waiting and the deadline: an answer
# that begins with less left would be cut off.
SERVICE_MARGIN_S = 0.15
# Callers come back within this part of the time they have left.
RETURN_PART = 1 / 3
RETRY_AFTER_MIN_S = 0.3
# Returns are spread over this range of the expected wait, so that they don't
# come as the next burst.
RETRY_SPREAD = (0.9, 1.5)
# Time that a request holds its place, in seconds, before one has been seen.
HOLD_INITIAL_S = 0.3
HOLD_WEIGHT = 0.05

Rank = tuple[int, int]
"""The customer's rank, then the route's; the smallest goes first."""


class Refusal(enum.Enum):
    """Why a request is refused before it was sent to any upstream."""

    CROWDED = "crowded"
    WAITED_TOO_LONG = "waited_too_long"
    NO_UPSTREAM = "no_upstream"


@attrs.frozen(kw_only=True)
class Dispatch:
    """Send the request to this upstream now."""

    upstream: Upstream


@attrs.frozen(kw_only=True)
class Refuse:
    """Refuse the request; it has not run and never will."""

    reason: Refusal
    retry_after_s: float


Decision = Dispatch | Refuse


@attrs.define(kw_only=True, eq=False)
class Ticket:
    """A request's place in line.

    `target_s` counts from `arrived_s`, and so does `patience_s`, after which a
    caller that has seen no byte leaves. `excluded` holds upstreams it was sent to
    before. `decided` is called once with the decision, under the scheduler's
    lock: it must not block.
    """

    request_id: str
    service: str
    rank: Rank
    prompt_tokens: int
    arrived_s: float
    deadline_s: float
    target_s: float
    patience_s: float
    returned: bool
    decided: Callable[[Decision], None]
    excluded: set[str] = attrs.field(factory=set)
    number: int = 0
    leaves_line_s: float = 0.0
    started_s: float = 0.0


def _place(ticket: Ticket) -> tuple:
    return ticket.rank, not ticket.returned, ticket.number


class Line:
    """One service's waiting requests and its upstreams."""

    def __init__(self, *, pool: Pool, random: Random):
        self.pool = pool
        self.peers_waiting: dict[Rank, int] = {}
        self._random = random
        self._waiting: SortedKeyList = SortedKeyList(key=_place)
        self._ranks: Counter[Rank] = Counter()
        self._picks = 0
        self._numbers = 0
        self._hold_s = HOLD_INITIAL_S

    def waiting(self) -> dict[Rank, int]:
        """Return how many wait here, by rank."""
        return {rank: count for rank, count in self._ranks.items() if count}

    def submit(self, ticket: Ticket, now_s: float) -> None:
        """Decide on a request now or let it wait."""
        self._numbers += 1
        ticket.number = self._numbers
        patience_s = _patience_s(ticket, now_s)
        ticket.leaves_line_s = now_s + max(0.0, patience_s)
        if not self.pool.slots():
            ticket.decided(self._refusal(ticket, Refusal.NO_UPSTREAM, now_s))
            return
        if self._wait_s(ticket, now_s) > patience_s:
            ticket.decided(self._refusal(ticket, Refusal.CROWDED, now_s))
            return
        self._waiting.add(ticket)
        self._ranks[ticket.rank] += 1
        self.serve(now_s)

    def withdraw(self, ticket: Ticket) -> bool:
        """Take a request out whose caller has gone; False if it wasn't waiting."""
        if ticket not in self._waiting:
            return False
        self._remove(ticket)
        return True

    def ended(self, ticket: Ticket, upstream_id: str, now_s: float) -> None:
        """Free the place that a request held at an upstream."""
        seat = self.pool.seat(upstream_id)
        if seat is not None:
            seat.own.pop(ticket.request_id, None)
        held_s = now_s - ticket.started_s
        self._hold_s += (held_s - self._hold_s) * HOLD_WEIGHT
        self.serve(now_s)

    def began(self, ticket: Ticket, upstream_id: str) -> None:
        """Note that the first event came: the prompt has been read."""
        seat = self.pool.seat(upstream_id)
        if seat is not None and ticket.request_id in seat.own:
            seat.own[ticket.request_id] = 0

    def serve(self, now_s: float) -> None:
        """Hand out what room there is, and refuse those whose time is up."""
        for ticket in [t for t in self._waiting if now_s >= t.leaves_line_s]:
            self._remove(ticket)
            ticket.decided(self._refusal(ticket, Refusal.WAITED_TOO_LONG, now_s))
        passed: set[Rank] = set()
        while ticket := self._next(passed, now_s):
            seat = self.pool.choose(
                prompt_tokens=ticket.prompt_tokens,
                excluded=ticket.excluded,
                now_s=now_s,
            )
            if seat is None:
                if not ticket.excluded:
                    return
                # It waits for another upstream than those it was sent to; the
                # others of its rank needn't.
                passed.add(ticket.rank)
                continue
            self._dispatch(ticket, seat, now_s)

    def _next(self, passed: set[Rank], now_s: float) -> Ticket | None:
        """Return who goes next, if there is room beyond what peers need more."""
        first = next((t for t in self._waiting if t.rank not in passed), None)
        if first is None:
            return None
        if (self._picks + 1) % LOW_TURN == 0:
            lowest = self._waiting[-1].rank
            if lowest not in passed:
                first = next(t for t in self._waiting if t.rank == lowest)
                return first
        ahead = sum(n for rank, n in self.peers_waiting.items() if rank < first.rank)
        return first if not ahead or self.pool.room(now_s) > ahead else None

    def _dispatch(self, ticket: Ticket, seat: Seat, now_s: float) -> None:
        self._remove(ticket)
        self._picks += 1
        ticket.started_s = now_s
        seat.own[ticket.request_id] = ticket.prompt_tokens
        ticket.decided(Dispatch(upstream=seat.upstream))

    def _remove(self, ticket: Ticket) -> None:
        self._waiting.remove(ticket)
        self._ranks[ticket.rank] -= 1

    def _wait_s(self, ticket: Ticket, now_s: float) -> float:
        """Return how long the request would wait, by what is ahead of it.

        Places come free at the rate of slots over the mean time one is held.
        """
        own = sum(1 for t in self._waiting if _place(t) < _place(ticket))
        peers = sum(n for rank, n in self.peers_waiting.items() if rank <= ticket.rank)
        ahead = own + peers - self.pool.room(now_s)
        if ahead < 0:
            return 0.0
        return (ahead + 1) * self._hold_s / max(1, self.pool.slots())

    def _refusal(self, ticket: Ticket, reason: Refusal, now_s: float) -> Refuse:
        wait_s = self._wait_s(ticket, now_s) * self._random.uniform(*RETRY_SPREAD)
        latest_s = max(0.0, (ticket.deadline_s - now_s) * RETURN_PART)
        after_s = min(max(RETRY_AFTER_MIN_S, wait_s), latest_s)
        return Refuse(reason=reason, retry_after_s=after_s)


def _patience_s(ticket: Ticket, now_s: float) -> float:
    leaves_s = min(ticket.deadline_s, ticket.arrived_s + ticket.patience_s)
    left_s = leaves_s - now_s - SERVICE_MARGIN_S
    if ticket.returned:
        return left_s * RETURNED_PATIENCE
    return min(left_s, ticket.target_s * NEWCOMER_PATIENCE)


class Scheduler:
    """The lines of all services.

    Not safe for threads: its owner holds a lock. `peers_running(upstream_id)`
    and `peers_waiting(service)` return what the other entries said last.
    """

    def __init__(
        self,
        *,
        random: Random,
        peers_running: Callable[[str], Running] = lambda upstream_id: Running(),
        peers_waiting: Callable[[str], dict[Rank, int]] = lambda service: {},
    ):
        self._random = random
        self._peers_running = peers_running
        self._peers_waiting = peers_waiting
        self._lines: dict[str, Line] = {}

    def line(self, service: str) -> Line:
        """Return a service's line."""
        if service not in self._lines:
            pool = Pool(peers_running=self._peers_running)
            self._lines[service] = Line(pool=pool, random=self._random)
        return self._lines[service]

    def lines(self) -> dict[str, Line]:
        """Return all lines by service."""
        return self._lines

    def reconfigure(self, upstreams: tuple[Upstream, ...], now_s: float) -> None:
        """Take over the platform's list of upstreams."""
        by_service: dict[str, list[Upstream]] = {name: [] for name in self._lines}
        for each in upstreams:
            by_service.setdefault(each.service, []).append(each)
        for service, listed in by_service.items():
            line = self.line(service)
            line.pool.reconfigure(listed)
            line.serve(now_s)

    def tick(self, now_s: float) -> None:
        """Refuse those whose time is up, and use what peers no longer need."""
        for service, line in self._lines.items():
            line.pool.refresh_peers()
            line.peers_waiting = self._peers_waiting(service)
            line.serve(now_s)
