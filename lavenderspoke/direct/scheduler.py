"""Queueing, dispatch and early refusal of requests.

Each service has one queue. The order within a rank is that of `waitingtickets`, the
order of ranks that of `rankreserve`; `waitpolicy` tells how long a request may wait and
when a refused one should come back, and the pool chooses the upstream.

All times are in seconds on one clock; `now_s` is its current time.
"""

import math
from collections import Counter
from collections.abc import Callable, Mapping
from random import Random

import attrs
from result import Err

from lavenderspoke.direct.backpressure import Backpressure
from lavenderspoke.direct.connectionpreference import ConnectionView
from lavenderspoke.direct.enginetime import expected_engine_s, used_engine_s
from lavenderspoke.direct.enginetimenews import EngineRows, Totals
from lavenderspoke.direct.instances import Upstream
from lavenderspoke.direct.peercounts import PeerCounts
from lavenderspoke.direct.policies import ALL_POLICIES, Policies
from lavenderspoke.direct.pool import Pool
from lavenderspoke.direct.rankrates import RankRates
from lavenderspoke.direct.rankreserve import RankReserve
from lavenderspoke.direct.rankshares import RankShares
from lavenderspoke.direct.retrybookings import (
    LATE_RETURN_SHARE,
    Booking,
    RetryBookings,
)
from lavenderspoke.direct.selection import Contention, Requirements
from lavenderspoke.direct.sharereports import ShareReports
from lavenderspoke.direct.slothandover import SlotHandover
from lavenderspoke.direct.spillover import Spill
from lavenderspoke.direct.spillovers import Spillovers
from lavenderspoke.direct.tickets import Dispatch, Rank, Refusal, Refuse, Ticket
from lavenderspoke.direct.upstreamstate import Load, UpstreamState, estimate_latency
from lavenderspoke.direct.waitingtickets import WaitingTickets
from lavenderspoke.direct.waitpolicy import RETRY_AFTER_MIN_S, Backlog, WaitPolicy
from lavenderspoke.observing.metrics import Metrics
from lavenderspoke.rollouts.canarysplit import CanarySplitter
from lavenderspoke.rollouts.orders import Access

# How long a rank counts as active after its last request.
RANK_ACTIVE_S = 5.0
# Retry-After, in seconds, where no upstream of a stream's version is left: one that has
# crashed is back after some seconds.
VERSION_GONE_RETRY_AFTER_S = 1.0


class ServiceQueue:
    """The waiting requests of one service, and the pool of its upstreams."""

    def __init__(
        self,
        *,
        pool: Pool,
        random: Random,
        policies: Policies = ALL_POLICIES,
        share_reports: ShareReports | None = None,
    ):
        self.pool = pool
        self.policies = policies
        self.peer_counts = PeerCounts()
        self.canary: CanarySplitter | None = None
        self._random = random
        self.shares = RankShares() if policies.customer_shares else None
        self.share_reports = share_reports or ShareReports(
            service="", metrics=Metrics()
        )
        self._waiting = WaitingTickets(self.shares)
        self._handover = SlotHandover()
        self._held_counts: Counter[Rank] = Counter()
        self._rank_rates: dict[Rank, RankRates] = {}
        self._reserve = RankReserve()
        self._wait_policy = WaitPolicy(random=random)
        self.bookings = (
            RetryBookings(random=random) if policies.retry_bookings else None
        )
        self._last_seen_s: dict[Rank, float] = {}
        self._no_wait_ticket: Ticket | None = None
        self._last_number = 0

    def waiting(self) -> dict[Rank, int]:
        """Return the requests waiting at this entry, by rank."""
        return self._waiting.counts()

    def asking(self) -> dict[Rank, dict[str, int]]:
        """Return the requests waiting at this entry, by rank and customer."""
        return self._waiting.share_order.own_waiting()

    def held(self) -> dict[Rank, int]:
        """Return the slots held by this entry's requests, by rank."""
        return {rank: count for rank, count in self._held_counts.items() if count}

    def needed_slots(self, now_s: float) -> float:
        """Return the slots that the recent arrivals at this entry keep busy."""
        return sum(
            rates.arrivals_per_s(now_s) * rates.mean_hold_s
            for rates in self._rank_rates.values()
        )

    def submit(self, ticket: Ticket, now_s: float) -> None:
        """Dispatch or refuse a request, or let it wait."""
        self._last_number += 1
        ticket.number = self._last_number
        ticket.is_late = now_s >= ticket.on_time_until_s
        self._last_seen_s[ticket.rank] = now_s
        wait_max_s = 0.0
        # Without `may_wait`, a request that runs already looks for another upstream,
        # perhaps repeatedly: it is no new arrival.
        if ticket.may_wait:
            self._rates_of(ticket.rank).record_arrival(now_s)
            if not ticket.resubmitted:
                self._waiting.record_arrival(ticket)
            is_highest_rank = ticket.rank == min(self._active_ranks(now_s))
            wait_max_s = self._wait_policy.wait_max_s(
                ticket, now_s, is_highest_rank=is_highest_rank
            )
            if self.bookings is not None:
                wait_max_s = self._record_booked(ticket, wait_max_s, now_s)
        if self._try_canary(ticket, now_s):
            return
        if self._is_version_gone(ticket):
            ticket.on_decision(self._version_gone())
        elif self._try_closed_version(ticket, now_s):
            return
        elif not self.pool.slots():
            ticket.on_decision(self._refusal(ticket, Refusal.NO_UPSTREAM, now_s))
        elif wait_max_s <= 0.0:
            self._decide_immediately(ticket, now_s)
        elif backlog := self._too_long_backlog(ticket, wait_max_s, now_s):
            ticket.on_decision(
                self._refusal(ticket, Refusal.CROWDED, now_s, backlog=backlog)
            )
        else:
            ticket.waits_until_s = now_s + wait_max_s
            self._waiting.add(ticket)
            self.dispatch_waiting(now_s)

    def _record_booked(self, ticket: Ticket, wait_max_s: float, now_s: float) -> float:
        """Count a new request, or release a returned one's booking.

        Returns how long it may wait.
        """
        if not ticket.resubmitted:
            self.bookings.record_new(ticket.rank, now_s)
            return wait_max_s
        if not self._wait_policy.allows_late_service(ticket):
            return wait_max_s
        # A further attempt of a request that was sent before isn't a return.
        if not ticket.excluded:
            ticket.booking = self.bookings.redeem(ticket.rank, now_s).value
        mean_hold_s = self._rates_of(ticket.rank).mean_hold_s
        return self._wait_policy.returned_wait_max_s(
            ticket, now_s, mean_hold_s=mean_hold_s
        )

    def _try_canary(self, ticket: Ticket, now_s: float) -> bool:
        """Send a request to a roll-out's target if it is due and a slot is free."""
        if self.canary is None or not ticket.may_wait or ticket.excluded:
            return False
        if ticket.version is not None:
            return False
        if not self.canary.should_use_target(ticket.route):
            return False
        state = self.pool.choose_canary(
            _requirements(ticket, now_s),
            now_s=now_s,
            contention=self._contention(now_s),
        )
        if state is None:
            return False
        self._send(ticket, state, now_s)
        return True

    def _is_version_gone(self, ticket: Ticket) -> bool:
        return ticket.version is not None and not self.pool.has_version(ticket.version)

    @staticmethod
    def _version_gone() -> Refuse:
        return Refuse(
            reason=Refusal.VERSION_GONE, retry_after_s=VERSION_GONE_RETRY_AFTER_S
        )

    def _try_closed_version(self, ticket: Ticket, now_s: float) -> bool:
        """Send a stream on to a version that gets no new requests, if a slot is free.

        The slots of such upstreams aren't counted among those that requests wait for.
        """
        if ticket.version is None or self.pool.is_version_open(ticket.version):
            return False
        state = self.pool.choose(_requirements(ticket, now_s), now_s=now_s)
        if state.upstream_state is None:
            return False
        self._send(ticket, state.upstream_state, now_s)
        return True

    def _decide_immediately(self, ticket: Ticket, now_s: float) -> None:
        """Dispatch a request if a slot is free for it, otherwise refuse it."""
        # Infinite, so that it isn't refused as expired before the refusal below.
        ticket.waits_until_s = math.inf
        self._waiting.add(ticket)
        self._no_wait_ticket = ticket
        self.dispatch_waiting(now_s)
        self._no_wait_ticket = None
        if self.withdraw(ticket):
            ticket.on_decision(self._refusal(ticket, Refusal.CROWDED, now_s))

    def withdraw(self, ticket: Ticket) -> bool:
        """Remove a request from the queue; return whether it was waiting."""
        if ticket not in self._waiting:
            return False
        self._waiting.remove(ticket)
        return True

    def refuse_quarantined(
        self,
        is_quarantined: Callable[[str, float, tuple[str, ...]], bool],
        now_s: float,
    ) -> None:
        """Refuse the waiting requests whose content, or part of it, is quarantined."""
        for ticket in self._waiting:
            if is_quarantined(ticket.fingerprint, now_s, ticket.shared_parts):
                self._waiting.remove(ticket)
                ticket.on_decision(Refuse(reason=Refusal.QUARANTINED))

    def release(self, ticket: Ticket, upstream_id: str, now_s: float) -> None:
        """Free the slot of a request that has ended, and record its hold time."""
        self._rates_of(ticket.rank).record_hold(now_s - ticket.sent_s)
        if self.shares is not None:
            read_rate = self.pool.prefill_rate.tokens_per_step
            used_s = used_engine_s(ticket, now_s, read_tokens_per_step=read_rate)
            self._settle_use(ticket, used_s, now_s)
        self.release_unused(ticket, upstream_id, now_s)

    def release_unused(self, ticket: Ticket, upstream_id: str, now_s: float) -> None:
        """Free a slot for which no request was sent."""
        state = self.pool.state_of(upstream_id)
        if state is not None:
            state.own_requests.pop(ticket.request_id, None)
        self._settle_use(ticket, 0.0, now_s)
        self._held_counts[ticket.rank] -= 1
        self.dispatch_waiting(now_s, freed_slots=1)

    def _charge_use(self, ticket: Ticket, now_s: float) -> None:
        """Charge a request's customer the engine time that it is expected to take."""
        if self.shares is None:
            return
        ticket.engine_s = expected_engine_s(
            ticket,
            read_tokens_per_step=self.pool.prefill_rate.tokens_per_step,
            written_tokens_per_step=self.pool.decode_rate.tokens_per_step,
        )
        self._record_use(ticket, ticket.engine_s, now_s)

    def _record_use(self, ticket: Ticket, engine_s: float, now_s: float) -> None:
        self.shares.of(ticket.rank).record_use(ticket.customer, engine_s, now_s)
        self._waiting.share_order.use_changed()

    def _settle_use(self, ticket: Ticket, used_s: float, now_s: float) -> None:
        """Replace what was charged for a request by what it used; once only."""
        charged_s, ticket.engine_s = ticket.engine_s, 0.0
        if self.shares is not None and used_s != charged_s:
            self._record_use(ticket, used_s - charged_s, now_s)

    def record_first_event(
        self, ticket: Ticket, upstream_id: str, now_s: float
    ) -> float:
        """Record the first event of an answer: the prompt has been read.

        Returns by how many seconds it came later than expected, negative if earlier.
        """
        state = self.pool.state_of(upstream_id)
        if state is not None and ticket.request_id in state.own_requests:
            state.own_requests[ticket.request_id] = 0
        prefill_rate, estimate = self.pool.prefill_rate, ticket.estimate
        ticket.first_event_s = now_s
        first_byte_s = now_s - ticket.sent_s
        late_s = first_byte_s - estimate.first_byte_s(prefill_rate.tokens_per_step)
        steps = estimate.prefill_steps(first_byte_s)
        prefill_rate.record(tokens=estimate.prefill_tokens, steps=steps)
        return late_s

    def update_reserve(self, now_s: float) -> None:
        """Adapt the reserved slots to the ranks that wait at all entries."""
        waiting = [*self.waiting(), *self.peer_counts.waiting]
        self._reserve.update(waiting, self._active_ranks(now_s), now_s)

    def update_shares(self, now_s: float) -> None:
        """Apply what the peers report, and report who is no longer limited."""
        if self.shares is not None:
            self._waiting.share_order.set_peers(self.peer_counts.asking)
            self.shares.update(self.pool.slots(), now_s)
            self.share_reports.tick(now_s)

    def update_shortage(self, now_s: float) -> None:
        """Tell the pool whether requests wait at any entry.

        Slots are short then. If each entry preferred its own data centre, all there
        would send to its few free slots at once, and some of the requests would queue
        at an upstream while slots are free elsewhere.
        """
        self.pool.is_short = bool(self.waiting() or self.peer_counts.waiting)

    def dispatch_waiting(self, now_s: float, *, freed_slots: int = 0) -> None:
        """Dispatch waiting requests to free slots, and refuse expired ones.

        `freed_slots` is the number of slots that this entry's requests have just freed.
        """
        self._expire_and_reorder(now_s)
        skipped: set[int] = set()
        while ticket := self._next_ticket(skipped, now_s, freed_here=freed_slots > 0):
            is_claimed = freed_slots <= 0
            freed_slots -= 1
            selection = self.pool.choose(
                _requirements(ticket, now_s),
                now_s=now_s,
                contention=self._contention(now_s, is_claimed=is_claimed),
            )
            if selection.upstream_state is not None:
                self._dispatch(
                    ticket, selection.upstream_state, now_s, spill=selection.spill
                )
            elif selection.only_this_waits or ticket.version is not None:
                # Only this request waits for another upstream.
                skipped.add(ticket.number)
            else:
                return

    def _expire_and_reorder(self, now_s: float) -> None:
        """Refuse requests that waited too long, and reorder those that became late."""
        for ticket in self._waiting:
            if self._is_version_gone(ticket):
                self._waiting.remove(ticket)
                ticket.on_decision(self._version_gone())
            elif now_s >= ticket.waits_until_s:
                self._waiting.remove(ticket)
                reason = Refusal.WAITED_TOO_LONG
                ticket.on_decision(self._refusal(ticket, reason, now_s))
            elif not ticket.is_late and now_s >= ticket.on_time_until_s:
                self._waiting.mark_late(ticket)

    def _next_ticket(
        self, skipped: set[int], now_s: float, *, freed_here: bool
    ) -> Ticket | None:
        """Return the next request to dispatch, if any.

        `freed_here` tells that a request of this entry has freed a slot. The other
        entries don't know that yet, so it isn't shared with them.
        """
        firsts = self._waiting.first_by_rank(skipped, now_s)
        if not firsts:
            return None
        free_slots = self.pool.free_slots(now_s)
        if free_slots <= 0:
            self._handover.end_all()
            return None
        slots = self.pool.slots()
        active_ranks = self._active_ranks(now_s)
        for rank in sorted(firsts, reverse=True):
            held = self._held_counts[rank] + self.peer_counts.held.get(rank, 0)
            if self._reserve.is_below_guarantee(
                rank, active_ranks, held=held, slots=slots
            ) and not self._leaves_slot(
                firsts[rank],
                self._reserve.guaranteed_slots(active_ranks, slots) - held,
                now_s,
            ):
                return firsts[rank]
        for rank in sorted(firsts):
            needed_by_peers = sum(
                n for r, n in self.peer_counts.waiting.items() if r < rank
            )
            free = (
                free_slots
                - self._reserved_slots(rank, active_ranks, slots)
                - needed_by_peers
            )
            if free > 0:
                if not self._leaves_slot(firsts[rank], free, now_s) and (
                    freed_here or self._claims_slot(firsts[rank], free, now_s)
                ):
                    return firsts[rank]
                # Slots not claimed are left to other entries, not to lower ranks. Only
                # a request that may not wait takes one all the same.
                return self._match_no_wait_ticket(rank, skipped)
            self._handover.end(rank)
        return None

    def _leaves_slot(self, ticket: Ticket, free: float, now_s: float) -> bool:
        """Return whether the free slots are left to requests of other entries.

        Among many entries, requests of customers within their shares mostly wait at
        others than those that free a slot.
        """
        before = self._waiting.share_order.rivals(ticket, now_s).before
        return before >= free and self._handover.leaves_slot(ticket.rank, now_s)

    def _match_no_wait_ticket(self, rank: Rank, skipped: set[int]) -> Ticket | None:
        """Return the request that may not wait, if it has that rank."""
        ticket = self._no_wait_ticket
        if ticket is None or ticket.rank != rank or ticket.number in skipped:
            return None
        return ticket if ticket in self._waiting else None

    def _claims_slot(self, ticket: Ticket, free: float, now_s: float) -> bool:
        """Return whether a request takes one of the slots that are free for its rank.

        Other entries with waiting requests of that rank see the same slots free, and
        learn only later who took one. If each took what it sees, several requests would
        be sent to one slot and queue at the upstream. So each takes its share of them,
        at random.
        """
        rivals = self._waiting.share_order.rivals(ticket, now_s)
        others = self.peer_counts.waiting.get(ticket.rank, 0) - rivals.behind
        if others <= 0:
            return True
        return self._random.random() < free / (
            others + self._waiting.count(ticket.rank)
        )

    def _reserved_slots(
        self, rank: Rank, active_ranks: list[Rank], slots: int
    ) -> float:
        """Return the number of all slots that are reserved for the ranks above."""
        return self._reserve.reserved_slots(
            rank,
            active_ranks,
            mean_hold_s=self._rates_of(rank).mean_hold_s,
            slots=slots,
        )

    def _active_ranks(self, now_s: float) -> list[Rank]:
        """Return the ranks that count as active at any entry, highest first."""
        own = [
            r for r, at_s in self._last_seen_s.items() if now_s < at_s + RANK_ACTIVE_S
        ]
        return sorted(
            {*own, *self.waiting(), *self.peer_counts.waiting, *self.peer_counts.held}
        )

    def _dispatch(
        self,
        ticket: Ticket,
        state: UpstreamState,
        now_s: float,
        *,
        spill: Spill | None,
    ) -> None:
        for overtaken in self._waiting.deferred_for(ticket, now_s):
            self._record_deferred(overtaken, now_s)
        self._waiting.remove(ticket)
        self._send(ticket, state, now_s, spill=spill)

    def _send(
        self,
        ticket: Ticket,
        state: UpstreamState,
        now_s: float,
        *,
        spill: Spill | None = None,
    ) -> None:
        if self.canary is not None:
            is_canary = state.access is Access.CANARY
            self.canary.record_sent(ticket.route, to_target=is_canary)
        if ticket.may_wait:
            self._waiting.record_dispatch(ticket)
        ticket.sent_s = now_s
        ticket.estimate = estimate_latency(state, ticket.prompt_tokens)
        tokens_per_step = self.pool.prefill_rate.tokens_per_step
        ticket.expected_first_byte_s = ticket.estimate.first_byte_s(tokens_per_step)
        ticket.expected_first_byte_steps = ticket.estimate.first_byte_steps(
            tokens_per_step
        )
        held_back = self.pool.held_back(now_s)
        state.own_requests[ticket.request_id] = ticket.prompt_tokens
        self.pool.record_sent(state, now_s)
        self._held_counts[ticket.rank] += 1
        self._handover.end(ticket.rank)
        self._charge_use(ticket, now_s)
        ticket.on_decision(
            Dispatch(
                upstream=state.upstream,
                held_back=held_back,
                deferred=ticket.deferred,
                spillover=self._spillover_reason(state.upstream, spill),
                slow=self.pool.slowdowns,
            )
        )

    def _record_deferred(self, ticket: Ticket, now_s: float) -> None:
        asking = self._waiting.share_order.asking(ticket.rank)
        share = self.shares.of(ticket.rank).share_of(ticket.customer, asking, now_s)
        self.share_reports.record_deferred(ticket, share, now_s)

    def _spillover_reason(self, upstream: Upstream, spill: Spill | None) -> str:
        """Count where a request goes; return why it leaves its data centre, if so."""
        spillover = self.pool.spillover
        if spillover is None or spill is None:
            return ""
        spillover.record(upstream.data_centre, spill)
        return spillover.reason(upstream.data_centre, spill)

    def _rates_of(self, rank: Rank) -> RankRates:
        return self._rank_rates.setdefault(rank, RankRates())

    def _unseen_requests(self, now_s: float) -> float:
        """Estimate how many requests the other entries got and haven't reported yet.

        Callers are spread over all entries, so each gets about as many as this one.
        """
        per_s = sum(rates.arrivals_per_s(now_s) for rates in self._rank_rates.values())
        return per_s * self.peer_counts.entries * self.peer_counts.age_s

    def _contention(self, now_s: float, *, is_claimed: bool = False) -> Contention:
        """Return what other entries may send; `is_claimed` as in `_claims_slot`.

        Their waiting requests are then considered already.
        """
        waiting = 0 if is_claimed else sum(self.peer_counts.waiting.values())
        return Contention(unseen_requests=self._unseen_requests(now_s), waiting=waiting)

    def _backlog(self, ticket: Ticket, now_s: float) -> Backlog:
        """Return what a request has to wait for.

        Higher ranks take their slots first, except the share guaranteed to this
        request's rank. While no upstream takes a request, none is sent.
        """
        rank = ticket.rank
        mean_hold_s = self._rates_of(rank).mean_hold_s
        slots = self.pool.effective_slots(mean_hold_s, now_s) or 1.0
        active_ranks = self._active_ranks(now_s)
        free_slots = self.pool.free_slots(now_s) - self._reserved_slots(
            rank, active_ranks, self.pool.slots()
        )
        ahead_here = self._waiting.count_ahead(ticket, now_s)
        peers_ahead = self._peers_ahead(ticket, ahead_here, now_s)
        ahead = ahead_here + peers_ahead - max(0, free_slots)
        remaining_slots = max(
            slots - self._slots_of_higher_ranks(rank, now_s),
            self._reserve.guaranteed_slots(active_ranks, slots),
            min(1.0, slots),
        )
        return Backlog(
            ahead=ahead,
            slots=remaining_slots,
            mean_hold_s=mean_hold_s,
            blocked_s=self.pool.blocked_s(now_s),
        )

    def _peers_ahead(self, ticket: Ticket, ahead_here: int, now_s: float) -> float:
        """Return how many requests that wait at other entries go before this one.

        Where returned requests wait as long as their callers do, many late ones of a
        rank may wait behind those that can be on time. The counts by rank don't tell,
        so the others' share is taken to be that of this entry.
        """
        rank, waiting = ticket.rank, self.peer_counts.waiting
        higher = sum(n for each, n in waiting.items() if each < rank)
        rivals = self._waiting.share_order.rivals(ticket, now_s)
        same = waiting.get(rank, 0) - rivals.behind
        same_here = self._waiting.count(rank)
        if self.bookings is None or not same or not same_here:
            return higher + same
        higher_here = sum(n for r, n in self._waiting.counts().items() if r < rank)
        return higher + same * max(0, ahead_here - higher_here) / same_here

    def _too_long_backlog(
        self, ticket: Ticket, wait_max_s: float, now_s: float
    ) -> Backlog | None:
        """Return what a request has to wait for if that takes too long, or None.

        The returns that are expected before it count, unless it has returned itself.
        """
        backlog = expected = self._backlog(ticket, now_s)
        is_last_try = (
            self.bookings is not None
            and ticket.resubmitted
            and self._wait_policy.allows_late_service(ticket)
        )
        if self.bookings and not ticket.resubmitted:
            booked = self.bookings.outstanding(
                ticket.rank, until_s=backlog.expected_wait_s(), now_s=now_s
            )
            expected = attrs.evolve(backlog, ahead=backlog.ahead + booked)
        is_too_long = self._wait_policy.is_wait_too_long(
            expected, wait_max_s, is_last_try=is_last_try
        )
        return backlog if is_too_long else None

    def _slots_of_higher_ranks(self, rank: Rank, now_s: float) -> float:
        """Return how many slots the present arrivals of the ranks above keep busy."""
        entries = self.peer_counts.entries + 1
        return sum(
            rates.arrivals_per_s(now_s) * entries * rates.mean_hold_s
            for each, rates in self._rank_rates.items()
            if each < rank
        )

    def _refusal(
        self,
        ticket: Ticket,
        reason: Refusal,
        now_s: float,
        *,
        backlog: Backlog | None = None,
    ) -> Refuse:
        backlog = backlog or self._backlog(ticket, now_s)
        retry_after_s = self._wait_policy.retry_after_s(ticket, backlog, now_s)
        booking = self._book(ticket, reason, backlog, now_s)
        if booking is not None:
            ticket.booking = str(booking)
            retry_after_s = booking.due_in_s
        beside = self._waiting.share_order.deferred_beside(ticket, now_s)
        if ticket.customer in beside:
            self._record_deferred(ticket, now_s)
        return Refuse(
            reason=reason,
            retry_after_s=retry_after_s,
            held_back=self.pool.held_back(now_s),
            deferred=ticket.deferred,
        )

    def _book(
        self, ticket: Ticket, reason: Refusal, backlog: Backlog, now_s: float
    ) -> Booking | None:
        """Book a slot for the return of a refused request, if its caller returns."""
        if (
            self.bookings is None
            or ticket.resubmitted
            or not ticket.may_wait
            or reason is Refusal.NO_UPSTREAM
            or not self._wait_policy.allows_late_service(ticket)
        ):
            return None
        if backlog.blocked_s > 0.0:
            # The upstreams say themselves when they take requests again.
            return None
        latest_s = self._wait_policy.retry_after_max_s(ticket, now_s)
        earliest_s = max(min(RETRY_AFTER_MIN_S, latest_s), backlog.expected_wait_s())
        per_s = backlog.slots / backlog.mean_hold_s
        if now_s + earliest_s > ticket.on_time_until_s:
            # New requests of its rank that can be on time go before a late one.
            new_per_s = self.bookings.new_per_s(ticket.rank, now_s)
            per_s -= new_per_s * (self.peer_counts.entries + 1)
            earliest_s = max(earliest_s, latest_s * LATE_RETURN_SHARE)
        return self.bookings.book(
            ticket.rank,
            earliest_s=earliest_s,
            latest_s=latest_s,
            per_s=per_s,
            now_s=now_s,
        )


def _requirements(ticket: Ticket, now_s: float) -> Requirements:
    remaining_on_time_s = ticket.first_arrived_s + ticket.target_s - now_s
    remaining_s = ticket.deadline_s - now_s
    return Requirements(
        prompt_tokens=ticket.prompt_tokens,
        answer_tokens=ticket.answer_tokens,
        # A request past its target doesn't wait for a faster upstream: any that begins
        # to answer by the deadline will do.
        first_byte_within_s=(
            remaining_on_time_s if remaining_on_time_s > 0.0 else remaining_s
        ),
        remaining_s=remaining_s,
        target_s=ticket.target_s,
        excluded=ticket.excluded,
        version=ticket.version,
        retryable=ticket.retryable,
    )


class Scheduler:
    """The queues of all services.

    Not thread-safe: its owner holds a lock. `peer_loads()`, by upstream, and
    `peer_counts(service)` return the other entries' last reports. `access` tells which
    requests an upstream may get; `canary(service)` returns the splitter of a running
    roll-out, or None. `backpressure` has what the upstreams said about themselves,
    `policies` which optional policies are on. This entry is in `data_centre`, and its
    connections are in `connection_view`; `spillovers` has the proportions between data
    centres. `slowdowns()` returns the upstreams that are slow at the moment. What is
    shared out is counted in `metrics`.
    """

    def __init__(
        self,
        *,
        random: Random,
        backpressure: Backpressure | None = None,
        peer_loads: Callable[[], Mapping[str, Load]] = dict,
        peer_counts: Callable[[str], PeerCounts] = lambda service: PeerCounts(),
        access: Callable[[Upstream], Access] = lambda upstream: Access.OPEN,
        canary: Callable[[str], CanarySplitter | None] = lambda service: None,
        policies: Policies = ALL_POLICIES,
        data_centre: str = "",
        connection_view: ConnectionView | None = None,
        metrics: Metrics | None = None,
        spillovers: Spillovers | None = None,
        slowdowns: Callable[[], Mapping[str, float]] = dict,
    ):
        self._slowdowns = slowdowns
        self._random = random
        self.metrics = metrics or Metrics()
        self._backpressure = backpressure or Backpressure(metrics=self.metrics)
        self._peer_loads = peer_loads
        self._peer_counts = peer_counts
        self._access = access
        self._canary = canary
        self._policies = policies
        self._data_centre = data_centre
        self._connection_view = connection_view
        self.spillovers = spillovers or Spillovers(
            data_centre=data_centre, is_on=policies.spillover, metrics=Metrics()
        )
        self._queues: dict[str, ServiceQueue] = {}
        self._share_weights: dict[str, float] = {}

    def queue(self, service: str) -> ServiceQueue:
        """Return a service's queue."""
        if service not in self._queues:
            pool = Pool(
                random=self._random,
                backpressure=self._backpressure,
                access=self._access,
                policies=self._policies,
                data_centre=self._data_centre,
                connection_view=self._connection_view,
                spillover=self.spillovers.of(service),
            )
            queue = self._queues[service] = ServiceQueue(
                pool=pool,
                random=self._random,
                policies=self._policies,
                share_reports=ShareReports(service=service, metrics=self.metrics),
            )
            if queue.shares is not None:
                queue.shares.set_weights(self._share_weights)
        return self._queues[service]

    def queues(self) -> dict[str, ServiceQueue]:
        """Return all queues by service."""
        return self._queues

    def reconfigure(self, upstreams: tuple[Upstream, ...], now_s: float) -> None:
        """Apply the platform's list of upstreams."""
        by_service: dict[str, list[Upstream]] = {name: [] for name in self._queues}
        for each in upstreams:
            by_service.setdefault(each.service, []).append(each)
        for service, listed in by_service.items():
            queue = self.queue(service)
            queue.pool.reconfigure(listed)
            queue.dispatch_waiting(now_s)

    def set_share_weights(self, weights: dict[str, float]) -> None:
        """Apply the customers' weights in the sharing of engine time."""
        self._share_weights = weights
        for queue in self._queues.values():
            if queue.shares is not None:
                queue.shares.set_weights(weights)

    def engine_time(self) -> dict[str, Totals]:
        """Return this entry's engine time since its start, by service."""
        return {
            service: queue.shares.own_totals()
            for service, queue in self._queues.items()
            if queue.shares is not None
        }

    def merge_engine_time(
        self,
        sender: str,
        incarnation: str,
        engine_time: Mapping[str, EngineRows],
        now_s: float,
    ) -> None:
        """Add the engine time that a peer reports, of the services known here."""
        for service, rows in engine_time.items():
            queue = self._queues.get(service)
            if queue is None or queue.shares is None:
                continue
            merged = queue.shares.merge_peer(sender, incarnation, rows, now_s)
            if isinstance(merged, Err):
                queue.share_reports.record_invalid(
                    sender, incarnation, merged.err_value
                )

    def rollouts_changed(self) -> None:
        """Apply the current stages of the roll-outs."""
        for service, queue in self._queues.items():
            queue.canary = self._canary(service)
            queue.pool.refresh_access()

    def tick(self, now_s: float) -> None:
        """Apply the peers' reports, refuse expired requests and dispatch others."""
        self._update_spillovers(now_s)
        peer_loads, slowdowns = self._peer_loads(), self._slowdowns()
        for service, queue in self._queues.items():
            queue.pool.update_peer_loads(peer_loads)
            if slowdowns or queue.pool.slowdowns:
                queue.pool.update_slowdowns(slowdowns)
            queue.pool.expire_evictions(now_s)
            queue.peer_counts = self._peer_counts(service)
            queue.update_reserve(now_s)
            queue.pool.update_subset(sum(queue.waiting().values()), now_s)
            queue.update_shares(now_s)
            queue.update_shortage(now_s)
            queue.dispatch_waiting(now_s)

    def _update_spillovers(self, now_s: float) -> None:
        if self.spillovers.is_due(now_s):
            rows = [
                (name, queue.pool.slots_by_data_centre(), queue.needed_slots(now_s))
                for name, queue in self._queues.items()
            ]
            self.spillovers.update(rows, now_s)
