"""Load shedding that all entries of a service coordinate.

An entry at capacity may drop a waiting request of a tier only when no entry
keeps a request of a lower tier. It sends its peers a floor at that tier's rank;
each peer drops its waiting requests below the floor, refuses new ones, and
acknowledges. The entry may drop once every peer has acknowledged or counts as
gone. An arrival at a full entry is queued first, so refusing it is a drop too. A
floor is raised one tier at a time, since peers receive it at different times.

A floor is a lease. The sender measures it from before sending and the peers
from receipt, so it expires at the sender first: while the sender may drop, every
peer still refuses lower tiers. `SENDER_LEASE_SHARE` leaves a margin for clock
drift.

Not guaranteed: a peer counts as gone when its heartbeat times out or when it
hasn't acknowledged for `ACKNOWLEDGE_TIMEOUT_S`. If it is alive across a network
partition, it may keep lower tiers until it is at capacity itself, so during a
partition the order of tiers holds on each side but not across. Waiting for it
instead would let the partition fill the entry's memory and lose every tier. An
entry that has just started may likewise keep lower tiers for up to one heartbeat
interval, until the sender knows of it. An entry that is about to run out of
threads or memory drops without waiting (`ServiceState.remove_victims`).
"""

import itertools

import attrs

from lavenderspoke.core import Send
from lavenderspoke.documents.service import Service
from lavenderspoke.messages import Floor, FloorHeld
from lavenderspoke.model import InstanceId

FLOOR_LEASE_S = 2.0
# Shares of the lease: for how long the sender of a floor may drop, and after how
# long it renews the floor.
SENDER_LEASE_SHARE = 0.9
RENEW_LEASE_SHARE = 0.5
# Seconds from the last sending of an unacknowledged floor to the next, and from the
# first floor without an acknowledgement until the peer counts as gone.
RESEND_AFTER_S = 0.1
ACKNOWLEDGE_TIMEOUT_S = 3.0


@attrs.frozen(kw_only=True)
class DropBelow:
    """Action: drop every waiting request below a rank, before the next action."""

    service: str
    rank: int


@attrs.define(kw_only=True)
class _FloorRound:
    """One request for a floor, and the peers that haven't acknowledged it."""

    rank: int
    number: int
    started_s: float
    sent_s: float
    valid_until_s: float
    unacknowledged: set[InstanceId]
    recipients: set[InstanceId]

    def permits(self, *, rank: int, now_s: float, peers: set[InstanceId]) -> bool:
        """Return whether requests of a rank may be dropped under this round."""
        return (
            not self.unacknowledged
            and self.rank >= rank
            and now_s < self.valid_until_s
            and peers <= self.recipients
        )


class FloorCoordinator:
    """The floors of one service that this entry requested or its peers requested.

    `instance` is this entry. Methods that return actions (`Send` and
    `DropBelow`) expect them to be executed in order.
    """

    def __init__(self, *, service: Service, instance: InstanceId):
        self._service = service
        self._instance = instance
        self._last_round = 0
        self._completed_round: _FloorRound | None = None
        self._pending_round: _FloorRound | None = None
        self._peers: set[InstanceId] = set()
        # When each peer was first sent a floor since its last acknowledgement.
        self._unacknowledged_since_s: dict[InstanceId, float] = {}
        # Peers' floors by sender and rank, with their expiry. Keyed by rank, so
        # that a late or duplicate lower floor can't replace a higher one in force.
        self._peer_floors: dict[tuple[str, int], float] = {}

    def reconfigure(self, service: Service) -> None:
        """Apply a new service document."""
        self._service = service

    def request_floor(
        self, rank: int, now_s: float, peers: frozenset[InstanceId] | set[InstanceId]
    ) -> list[DropBelow | Send]:
        """Request the right to drop requests of a rank, or renew it.

        `peers` are the other entries with a live heartbeat. Call it on each tick
        while the entry is over its limits, and drop once `may_drop` returns True.
        """
        self._peers = set(peers)
        if rank <= self._lowest_rank():
            return []
        if self._is_current(self._completed_round, rank, now_s):
            return []
        floor = self._next_floor_rank(rank, now_s)
        if not self._is_current(self._pending_round, floor, now_s):
            return self._start_round(floor, now_s)
        return self._resend(now_s)

    def _next_floor_rank(self, rank: int, now_s: float) -> int:
        """Return the floor to request next on the way up to one at `rank`."""
        # Entries receive a floor at different times. Raised by two tiers at once, it
        # would drop the upper tier at one entry while another, which hasn't received
        # it yet, still keeps the lower. So the highest floor is chosen that is in
        # force already, or the one below which is held by every peer.
        lower = [tier.rank for tier in self._service.tiers if tier.rank < rank]
        ranks = [*sorted(lower), rank]
        return next(
            floor
            for below, floor in reversed(list(itertools.pairwise(ranks)))
            if below == ranks[0]
            or self._is_current(self._completed_round, below, now_s)
            or self._is_permitted(floor, now_s)
        )

    def _is_permitted(self, rank: int, now_s: float) -> bool:
        completed = self._completed_round
        return completed is not None and completed.permits(
            rank=rank, now_s=now_s, peers=self._peers
        )

    def on_floor(
        self, sender: InstanceId, message: Floor, now_s: float
    ) -> list[DropBelow | Send]:
        """Enforce a peer's floor, drop the requests below it, and acknowledge."""
        key = (sender.name, message.tier)
        until_s = now_s + message.lease_s
        self._peer_floors[key] = max(until_s, self._peer_floors.get(key, until_s))
        held = FloorHeld(
            service=message.service, tier=message.tier, round=message.round
        )
        return [
            DropBelow(service=message.service, rank=message.tier),
            Send(recipient=sender, message=held),
        ]

    def on_floor_held(
        self, sender: InstanceId, message: FloorHeld, now_s: float
    ) -> None:
        """Record a peer's acknowledgement of this entry's floor."""
        self._unacknowledged_since_s.pop(sender, None)
        if (
            self._pending_round is not None
            and self._pending_round.number == message.round
        ):
            self._pending_round.unacknowledged.discard(sender)
            self._complete_if_acknowledged()

    def on_peer_lost(self, name: str) -> None:
        """Stop waiting for a peer whose heartbeat timed out."""
        self._peers = {peer for peer in self._peers if peer.name != name}
        if self._pending_round is not None:
            lost = {
                peer for peer in self._pending_round.unacknowledged if peer.name == name
            }
            self._pending_round.unacknowledged -= lost
            self._complete_if_acknowledged()
        self._unacknowledged_since_s = {
            peer: since_s
            for peer, since_s in self._unacknowledged_since_s.items()
            if peer.name != name
        }

    def floor_rank(self, now_s: float) -> int | None:
        """Return the rank below which arrivals are refused, or None.

        It also applies to requests whose grant was refused or revoked: requeued
        below the floor, they would be kept while higher tiers are dropped.
        """
        self._peer_floors = {
            floor: until_s
            for floor, until_s in self._peer_floors.items()
            if now_s < until_s
        }
        ranks = [tier for _, tier in self._peer_floors]
        own = [
            each
            for each in (self._completed_round, self._pending_round)
            if each is not None
        ]
        ranks += [each.rank for each in own if now_s < each.valid_until_s]
        return max(ranks, default=None)

    def may_drop(self, rank: int, now_s: float) -> bool:
        """Return whether every peer holds the floor at a rank, or it needs none.

        The caller must have dropped this entry's own lower tiers.
        """
        if rank <= self._lowest_rank():
            return True
        self._skip_unresponsive(now_s)
        rounds = [
            each
            for each in (self._completed_round, self._pending_round)
            if each is not None
        ]
        return any(
            each.permits(rank=rank, now_s=now_s, peers=self._peers) for each in rounds
        )

    def _lowest_rank(self) -> int:
        return min(tier.rank for tier in self._service.tiers)

    def _is_current(
        self, candidate: _FloorRound | None, rank: int, now_s: float
    ) -> bool:
        if (
            candidate is None
            or candidate.rank < rank
            or not self._peers <= candidate.recipients
        ):
            return False
        # A pending round is current until it expires, a completed one until it is
        # due for renewal.
        renew_s = candidate.started_s + FLOOR_LEASE_S * RENEW_LEASE_SHARE
        return now_s < (
            candidate.valid_until_s if candidate.unacknowledged else renew_s
        )

    def _start_round(self, rank: int, now_s: float) -> list[DropBelow | Send]:
        self._last_round += 1
        self._pending_round = _FloorRound(
            rank=rank,
            number=self._last_round,
            started_s=now_s,
            sent_s=now_s,
            valid_until_s=now_s + FLOOR_LEASE_S * SENDER_LEASE_SHARE,
            unacknowledged=set(self._peers),
            recipients=set(self._peers),
        )
        self._unacknowledged_since_s = {
            peer: self._unacknowledged_since_s.get(peer, now_s) for peer in self._peers
        }
        self._skip_unresponsive(now_s)
        self._complete_if_acknowledged()
        drop = DropBelow(service=self._service.name, rank=rank)
        return [drop, *self._floor_messages(self._last_round, rank, self._peers)]

    def _resend(self, now_s: float) -> list[DropBelow | Send]:
        pending = self._pending_round
        self._skip_unresponsive(now_s)
        if not pending.unacknowledged or now_s < pending.sent_s + RESEND_AFTER_S:
            return []
        pending.sent_s = now_s
        return self._floor_messages(
            pending.number, pending.rank, pending.unacknowledged
        )

    def _skip_unresponsive(self, now_s: float) -> None:
        if self._pending_round is None:
            return
        self._pending_round.unacknowledged = {
            peer
            for peer in self._pending_round.unacknowledged
            if now_s
            < self._unacknowledged_since_s.get(peer, now_s) + ACKNOWLEDGE_TIMEOUT_S
        }
        self._complete_if_acknowledged()

    def _complete_if_acknowledged(self) -> None:
        if self._pending_round is not None and not self._pending_round.unacknowledged:
            self._completed_round, self._pending_round = self._pending_round, None

    def _floor_messages(
        self, number: int, rank: int, peers: set[InstanceId]
    ) -> list[Send]:
        message = Floor(
            service=self._service.name, tier=rank, round=number, lease_s=FLOOR_LEASE_S
        )
        return [
            Send(recipient=peer, message=message)
            for peer in sorted(peers, key=lambda peer: peer.name)
        ]
