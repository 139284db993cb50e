"""Who goes next, where to, and who is refused early.

Each service has one line. Ranks go first in strict order, with two exceptions.
Some places stay free for the ranks above, so that a request of the highest rank
finds one and needn't wait until a long answer of a low rank ends. And each rank
is guaranteed a part of the places, so that none starves.

Within a rank go first those that can still be answered on time, counted from
when their callers asked first: under a load that lasts, serving the oldest first
would make every answer late, and nobody would gain by it. Among those that are
on time, and among those that are late, the ones that were refused before and
came back go ahead of newcomers, and then those whose callers expect a short
answer go ahead of long ones: a tenth of the answers take half of all the time at
the engines, and one of them holds the place in which ten others could be answered
on time. Only where the longest of a rank are served far less often than all of it is
one of them the next.

A request is refused as soon as its turn can't come in time. Held longer it would
only keep its caller from asking again; refused at once with a time to come back,
the caller returns when the burst has passed.

All times are seconds on the clock that the caller of these methods passes in.
"""

import math
from collections import Counter, defaultdict
from collections.abc import Callable, Mapping
from random import Random

import attrs
from sortedcontainers import SortedKeyList

from lavenderspoke.direct.adaptivereserve import AdaptiveReserve
from lavenderspoke.direct.instances import Upstream
from lavenderspoke.direct.lengths import AnswerLengths
from lavenderspoke.direct.pool import (
    Load,
    Pool,
    Requirements,
    UpstreamState,
    estimate_latency,
)
from lavenderspoke.direct.rankrates import RankRates
from lavenderspoke.direct.tickets import (
    Dispatch,
    Rank,
    Refusal,
    Refuse,
    Ticket,
)
from lavenderspoke.rollouts.canarysplit import CanarySplitter
from lavenderspoke.rollouts.orders import Access

# The part of all places that stays free for the ranks above, for each rank that
# is above, towards requests that hold a place for `LONG_S` and longer. Answers of
# the lowest rank last seconds; with one place in eight free, the highest rank
# rarely waits for one of them to end. Short ones give their place back in time
# and leave less free.
RESERVED_SHARE = 0.12
# The most that stays free, for however many ranks above. Ranks are customers' times
# routes', and each place kept free beyond what the highest ones need in a burst is one
# in which a caller of the lowest could be served.
RESERVED_MAX = 0.24
# Time that a place is held, in seconds, from which on a rank is in the way: a
# request of the highest rank that waits for it misses its target.
LONG_S = 1.0
# The part of all places that is guaranteed to the ranks below the highest, shared
# among them. Just enough that each is served: every place beyond that is taken from
# the highest rank when it is short.
GUARANTEED_SHARE = 0.1
# The part of the time it has that a request of the highest rank waits, also when
# it will be late: with nothing above it, its turn comes.
HIGHEST_PART = 0.5
# The part of the time it has that one that came back waits.
RETURNED_PART = 0.25
# A request is refused on arrival when its expected wait is so many times what it
# may take: the expectation is rough, and waiting on time costs its caller little.
EXPECTED_WAIT_TOLERANCE = 2.0
# Time kept, in seconds, between the end of waiting and the deadline: an answer
# that begins with less left would be cut off.
SERVICE_MARGIN_S = 0.15
# Callers come back within this part of the time they have left.
RETRY_AFTER_MAX_SHARE = 1 / 3
RETRY_AFTER_MIN_S = 0.3
# Returns are spread over this range of the expected wait, so that they don't
# come as the next burst.
RETRY_SPREAD = (0.9, 1.5)
# How long a rank counts as present after its last request, in seconds.
PRESENT_S = 5.0


def _priority_key(ticket: Ticket) -> tuple:
    return (
        ticket.rank,
        ticket.is_late,
        not ticket.resubmitted,
        ticket.answer_tokens,
        ticket.number,
    )


@attrs.frozen(kw_only=True)
class PeerCounts:
    """What the other entries said last of one service, and how many they are.

    `age_s` is how old that is on average.
    """

    waiting: dict[Rank, int] = attrs.field(factory=dict)
    held: dict[Rank, int] = attrs.field(factory=dict)
    entries: int = 0
    age_s: float = 0.0


class ServiceQueue:
    """One service's waiting requests and its upstreams."""

    def __init__(self, *, pool: Pool, random: Random):
        self.pool = pool
        self.peer_counts = PeerCounts()
        self.canary: CanarySplitter | None = None
        self._random = random
        self._waiting: SortedKeyList = SortedKeyList(key=_priority_key)
        self._ranks: Counter[Rank] = Counter()
        self._held: Counter[Rank] = Counter()
        self._rates: dict[Rank, RankRates] = {}
        self._lengths: defaultdict[Rank, AnswerLengths] = defaultdict(AnswerLengths)
        self._kept_free = AdaptiveReserve()
        self._seen_s: dict[Rank, float] = {}
        self._at_once: Ticket | None = None
        self._numbers = 0

    def waiting(self) -> dict[Rank, int]:
        """Return how many wait here, by rank."""
        return {rank: count for rank, count in self._ranks.items() if count}

    def held(self) -> dict[Rank, int]:
        """Return how many places this entry's requests hold, by rank."""
        return {rank: count for rank, count in self._held.items() if count}

    def submit(self, ticket: Ticket, now_s: float) -> None:
        """Decide on a request now or let it wait."""
        self._numbers += 1
        ticket.number = self._numbers
        ticket.is_late = now_s >= ticket.on_time_until_s
        self._seen_s[ticket.rank] = now_s
        patience_s = 0.0
        # One that may not wait runs already, and may ask again and again.
        if ticket.may_wait:
            self._rate(ticket.rank).record_arrival(now_s)
            if not ticket.resubmitted:
                self._lengths[ticket.rank].record_arrival(ticket.answer_tokens)
            patience_s = self._patience_s(ticket, now_s)
        if self._sent_to_canary(ticket, now_s):
            return
        if not self.pool.slots():
            ticket.on_decision(self._refusal(ticket, Refusal.NO_UPSTREAM, now_s))
        elif patience_s <= 0.0:
            self._decide_now(ticket, now_s)
        elif self._wait_s(ticket, now_s) > patience_s * EXPECTED_WAIT_TOLERANCE:
            ticket.on_decision(self._refusal(ticket, Refusal.CROWDED, now_s))
        else:
            ticket.waits_until_s = now_s + patience_s
            self._add(ticket)
            self.dispatch_waiting(now_s)

    def _sent_to_canary(self, ticket: Ticket, now_s: float) -> bool:
        """Send a request to a roll-out's target if it should and can go there now."""
        if self.canary is None or not ticket.may_wait or ticket.excluded:
            return False
        if not self.canary.should_use_target(ticket.route):
            return False
        seat = self.pool.choose_canary(
            _demand(ticket, now_s),
            now_s=now_s,
            unseen_requests=self._unseen_requests(now_s),
        )
        if seat is None:
            return False
        self._send(ticket, seat, now_s)
        return True

    def _decide_now(self, ticket: Ticket, now_s: float) -> None:
        """Give a request a place that is free for it, or refuse it."""
        ticket.waits_until_s = math.inf
        self._add(ticket)
        self._at_once = ticket
        self.dispatch_waiting(now_s)
        self._at_once = None
        if self.withdraw(ticket):
            ticket.on_decision(self._refusal(ticket, Refusal.CROWDED, now_s))

    def withdraw(self, ticket: Ticket) -> bool:
        """Take a request out whose caller has gone; False if it wasn't waiting."""
        if ticket not in self._waiting:
            return False
        self._remove(ticket)
        return True

    def release(self, ticket: Ticket, upstream_id: str, now_s: float) -> None:
        """Free the place that a request held at an upstream."""
        self._rate(ticket.rank).record_hold(now_s - ticket.sent_s)
        self.release_unused(ticket, upstream_id, now_s)

    def release_unused(self, ticket: Ticket, upstream_id: str, now_s: float) -> None:
        """Free a place to which nothing was sent."""
        seat = self.pool.state_of(upstream_id)
        if seat is not None:
            seat.own_requests.pop(ticket.request_id, None)
        self._held[ticket.rank] -= 1
        self.dispatch_waiting(now_s, freed_slots=1)

    def record_first_event(
        self, ticket: Ticket, upstream_id: str, now_s: float
    ) -> float:
        """Note that the first event came: the prompt has been read.

        Returns by how much it came later than expected, in seconds.
        """
        seat = self.pool.state_of(upstream_id)
        if seat is not None and ticket.request_id in seat.own_requests:
            seat.own_requests[ticket.request_id] = 0
        reading, outlook = self.pool.prefill_rate, ticket.estimate
        ticket.first_event_s = now_s
        first_s = now_s - ticket.sent_s
        late_s = first_s - outlook.first_byte_s(reading.tokens_per_step)
        steps = outlook.prefill_steps(first_s)
        reading.record(tokens=outlook.prefill_tokens, steps=steps)
        return late_s

    def update_reserve(self, now_s: float) -> None:
        """Follow who waits here and at the other entries."""
        waiting = [*self.waiting(), *self.peer_counts.waiting]
        self._kept_free.update(waiting, self._present(now_s), now_s)

    def dispatch_waiting(self, now_s: float, *, freed_slots: int = 0) -> None:
        """Hand out what room there is, and refuse those whose time is up.

        `freed` is how many places this entry's own requests have just given back.
        """
        self._sort_out(now_s)
        passed: set[int] = set()
        while ticket := self._next(passed, now_s, is_own=freed_slots > 0):
            freed_slots -= 1
            choice = self.pool.choose(
                _demand(ticket, now_s),
                now_s=now_s,
                unseen_requests=self._unseen_requests(now_s),
            )
            if choice.upstream_state is not None:
                self._dispatch(ticket, choice.upstream_state, now_s)
            elif choice.worth_waiting:
                # It waits for another upstream; those behind it needn't.
                passed.add(ticket.number)
            else:
                return

    def _sort_out(self, now_s: float) -> None:
        """Refuse those whose time is up, and put back those that are late now."""
        for ticket in list(self._waiting):
            if now_s >= ticket.waits_until_s:
                self._remove(ticket)
                reason = Refusal.WAITED_TOO_LONG
                ticket.on_decision(self._refusal(ticket, reason, now_s))
            elif not ticket.is_late and now_s >= ticket.on_time_until_s:
                self._waiting.remove(ticket)
                ticket.is_late = True
                self._waiting.add(ticket)

    def _next(self, passed: set[int], now_s: float, *, is_own: bool) -> Ticket | None:
        """Return who goes next, if anyone may.

        `is_own` says that a place came free by a request of this entry.
        """
        firsts = self._firsts(passed)
        if not firsts:
            return None
        room = self.pool.free_slots(now_s)
        if room <= 0:
            return None
        slots = self.pool.slots()
        present = self._present(now_s)
        for rank in sorted(firsts, reverse=True):
            if self._below_guarantee(rank, present, slots):
                return firsts[rank]
        for rank in sorted(firsts):
            needed = sum(n for r, n in self.peer_counts.waiting.items() if r < rank)
            free = room - self._reserved(rank, present) - needed
            if free > 0:
                if is_own or self._claims_slot(firsts[rank], free):
                    return firsts[rank]
                return self._decided_at_once(rank, passed)
        return None

    def _decided_at_once(self, rank: Rank, passed: set[int]) -> Ticket | None:
        """Return the request of a rank that can't wait for another chance."""
        ticket = self._at_once
        if ticket is None or ticket.rank != rank or ticket.number in passed:
            return None
        return ticket if ticket in self._waiting else None

    def _firsts(self, passed: set[int]) -> dict[Rank, Ticket]:
        """Return who goes first of each rank."""
        firsts: dict[Rank, Ticket] = {}
        long_firsts: dict[Rank, Ticket] = {}
        for ticket in self._waiting:
            if ticket.number not in passed:
                firsts.setdefault(ticket.rank, ticket)
                if self._is_owed(ticket):
                    long_firsts.setdefault(ticket.rank, ticket)
        return firsts | long_firsts

    def _is_owed(self, ticket: Ticket) -> bool:
        """Return whether it is one of the longest, and these are served too rarely."""
        lengths = self._lengths[ticket.rank]
        return lengths.is_long(ticket.answer_tokens) and lengths.is_long_underserved()

    def _claims_slot(self, ticket: Ticket, free: float) -> bool:
        """Return whether a request takes one of the places that are free for its rank.

        Other entries with requests of that rank in line see the same places free, and
        learn only later who took one. Were each to take what it sees, several would be
        sent to the same place, and wait at the upstream behind whatever is there. So
        each takes its part of them, by chance. A place that this entry's own request
        gave back the others don't know to be free yet.
        """
        others = self.peer_counts.waiting.get(ticket.rank, 0)
        if not others:
            return True
        return self._random.random() < free / (others + self._ranks[ticket.rank])

    def _reserved(self, rank: Rank, present: list[Rank]) -> float:
        """Return how many places stay free for the ranks above this one."""
        above = sum(1 for each in present if each < rank)
        length = min(1.0, self._rate(rank).mean_hold_s / LONG_S)
        part = min(RESERVED_MAX, above * RESERVED_SHARE) * self._kept_free.share(rank)
        return part * length * self.pool.slots()

    def _below_guarantee(self, rank: Rank, present: list[Rank], slots: int) -> bool:
        if rank == present[0]:
            return False
        part = GUARANTEED_SHARE / (len(present) - 1)
        held = self._held[rank] + self.peer_counts.held.get(rank, 0)
        return held < part * slots

    def _present(self, now_s: float) -> list[Rank]:
        """Return the ranks that are in use, the highest first."""
        own = [r for r, at_s in self._seen_s.items() if now_s < at_s + PRESENT_S]
        return sorted(
            {*own, *self.waiting(), *self.peer_counts.waiting, *self.peer_counts.held}
        )

    def _dispatch(self, ticket: Ticket, seat: UpstreamState, now_s: float) -> None:
        self._remove(ticket)
        self._send(ticket, seat, now_s)

    def _send(self, ticket: Ticket, seat: UpstreamState, now_s: float) -> None:
        if self.canary is not None:
            is_canary = seat.access is Access.CANARY
            self.canary.record_sent(ticket.route, to_target=is_canary)
        if ticket.may_wait:
            self._lengths[ticket.rank].record_dispatch(ticket.answer_tokens)
        ticket.sent_s = now_s
        ticket.estimate = estimate_latency(seat, ticket.prompt_tokens)
        tokens_per_step = self.pool.prefill_rate.tokens_per_step
        ticket.expected_first_byte_s = ticket.estimate.first_byte_s(tokens_per_step)
        ticket.expected_first_byte_steps = ticket.estimate.first_byte_steps(
            tokens_per_step
        )
        seat.own_requests[ticket.request_id] = ticket.prompt_tokens
        self._held[ticket.rank] += 1
        ticket.on_decision(Dispatch(upstream=seat.upstream))

    def _add(self, ticket: Ticket) -> None:
        self._waiting.add(ticket)
        self._ranks[ticket.rank] += 1

    def _remove(self, ticket: Ticket) -> None:
        self._waiting.remove(ticket)
        self._ranks[ticket.rank] -= 1

    def _rate(self, rank: Rank) -> RankRates:
        return self._rates.setdefault(rank, RankRates())

    def _unseen_requests(self, now_s: float) -> float:
        """Return how many requests of other entries aren't known here yet.

        Callers are spread over all entries, so the others get what this one gets.
        """
        per_s = sum(rates.arrivals_per_s(now_s) for rates in self._rates.values())
        return per_s * self.peer_counts.entries * self.peer_counts.age_s

    def _patience_s(self, ticket: Ticket, now_s: float) -> float:
        """Return how long a request may wait from now on."""
        leaves_s = min(ticket.deadline_s, ticket.idle_since_s + ticket.patience_s)
        left_s = leaves_s - now_s - SERVICE_MARGIN_S
        if ticket.resubmitted:
            return left_s * RETURNED_PART
        if ticket.rank == min(self._present(now_s)):
            return left_s * HIGHEST_PART
        return min(left_s, ticket.on_time_until_s - now_s)

    def _wait_s(self, ticket: Ticket, now_s: float) -> float:
        """Return how long the request would wait.

        Places come free at the rate of slots over the mean time one is held.
        What arrives above it takes its part of them first, but never the part
        that its rank is guaranteed.
        """
        rank, slots = ticket.rank, max(1, self.pool.slots())
        own = 0
        if not self._is_owed(ticket):
            own = sum(
                1 for t in self._waiting if _priority_key(t) < _priority_key(ticket)
            )
        peers = sum(n for r, n in self.peer_counts.waiting.items() if r <= rank)
        present = self._present(now_s)
        reserved = self._reserved(rank, present)
        ahead = own + peers - max(0, self.pool.free_slots(now_s) - reserved)
        if ahead < 0:
            return 0.0
        entries = self.peer_counts.entries + 1
        arrivals = {
            each: rates.arrivals_per_s(now_s) * entries
            for each, rates in self._rates.items()
        }
        above_slots = sum(
            per_s * self._rates[each].mean_hold_s
            for each, per_s in arrivals.items()
            if each < rank
        )
        guaranteed = GUARANTEED_SHARE / max(1, len(present) - 1) * slots
        left_slots = max(slots - above_slots, guaranteed, 1.0)
        return (ahead + 1) * self._rate(rank).mean_hold_s / left_slots

    def _refusal(self, ticket: Ticket, reason: Refusal, now_s: float) -> Refuse:
        wait_s = self._wait_s(ticket, now_s) * self._random.uniform(*RETRY_SPREAD)
        latest_s = max(0.0, (ticket.deadline_s - now_s) * RETRY_AFTER_MAX_SHARE)
        after_s = min(max(RETRY_AFTER_MIN_S, wait_s), latest_s)
        return Refuse(reason=reason, retry_after_s=after_s)


def _demand(ticket: Ticket, now_s: float) -> Requirements:
    on_time_s = ticket.first_arrived_s + ticket.target_s - now_s
    left_s = ticket.deadline_s - now_s
    return Requirements(
        prompt_tokens=ticket.prompt_tokens,
        answer_tokens=ticket.answer_tokens,
        # One that is late already has no time to lose, and no upstream to wait for.
        first_byte_within_s=on_time_s if on_time_s > 0.0 else left_s,
        remaining_s=left_s,
        excluded=ticket.excluded,
        retryable=ticket.retryable,
    )


class Scheduler:
    """The lines of all services.

    Not safe for threads: its owner holds a lock. `peers_running()`, by upstream,
    and `peers_share(service)` return what the other entries said last. `access` says
    which requests an upstream may get, and `canary(service)` which go to the target of
    a roll-out.
    """

    def __init__(
        self,
        *,
        random: Random,
        peer_loads: Callable[[], Mapping[str, Load]] = dict,
        peer_counts: Callable[[str], PeerCounts] = lambda service: PeerCounts(),
        access: Callable[[Upstream], Access] = lambda upstream: Access.OPEN,
        canary: Callable[[str], CanarySplitter | None] = lambda service: None,
    ):
        self._random = random
        self._peers_running = peer_loads
        self._peers_share = peer_counts
        self._access = access
        self._canary = canary
        self._lines: dict[str, ServiceQueue] = {}

    def queue(self, service: str) -> ServiceQueue:
        """Return a service's line."""
        if service not in self._lines:
            pool = Pool(random=self._random, access=self._access)
            self._lines[service] = ServiceQueue(pool=pool, random=self._random)
        return self._lines[service]

    def queues(self) -> dict[str, ServiceQueue]:
        """Return all lines by service."""
        return self._lines

    def reconfigure(self, upstreams: tuple[Upstream, ...], now_s: float) -> None:
        """Take over the platform's list of upstreams."""
        by_service: dict[str, list[Upstream]] = {name: [] for name in self._lines}
        for each in upstreams:
            by_service.setdefault(each.service, []).append(each)
        for service, listed in by_service.items():
            line = self.queue(service)
            line.pool.reconfigure(listed)
            line.dispatch_waiting(now_s)

    def rollouts_changed(self) -> None:
        """Take over how far roll-outs have come."""
        for service, line in self._lines.items():
            line.canary = self._canary(service)
            line.pool.refresh_access()

    def tick(self, now_s: float) -> None:
        """Refuse those whose time is up, and use what peers no longer need."""
        running = self._peers_running()
        for service, line in self._lines.items():
            line.pool.update_peer_loads(running)
            line.pool.expire_evictions(now_s)
            line.peer_counts = self._peers_share(service)
            line.update_reserve(now_s)
            line.dispatch_waiting(now_s)
