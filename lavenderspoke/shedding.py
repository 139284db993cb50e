"""Shedding for want of room as a decision of all entries of a service.

Before an entry drops waiting work of a tier, lower tiers must be gone wherever
they wait. The entry announces a floor at that tier; each peer drops what it
has below, keeps it out, and says so. Only when every peer holds the floor, or
is known to be gone, may the entry drop. Refusing an arrival for want of room is
a drop like any other. A floor is raised one tier at a time, since peers hear of
it one after the other.

The floor is a lease. The holder measures it from before it announced, the
peers from when they heard, so it ends at the holder first: while the holder
still drops, every peer still refuses what is lower. `HOLDER_LEASE_SHARE` leaves
room for clocks that run at unlike speeds.

What is not guaranteed. A peer counts as gone when its heartbeat lapses or when
it hasn't answered for `ANSWER_WAIT_S`. If it lives on the other side of a
partition it may keep lower tiers meanwhile, until it is short of room itself:
for that time the order holds on each side of the partition and not across it.
Waiting instead would let a partition fill the memory of the entry, and would
lose every tier. The same holds for up to one announcement interval for an entry
that has just started and of which the holder hasn't heard yet.
"""

import itertools

import attrs

from lavenderspoke.core import Send
from lavenderspoke.documents.service import Service
from lavenderspoke.messages import Floor, FloorHeld
from lavenderspoke.model import InstanceId

FLOOR_LEASE_S = 2.0
# The part of the lease that the holder uses; it renews after RENEW_PART.
HOLDER_LEASE_SHARE = 0.9
RENEW_PART = 0.5
# A peer that hasn't answered is asked again, and at last counts as gone.
RESEND_S = 0.1
ANSWER_WAIT_S = 3.0


@attrs.frozen(kw_only=True)
class DropBelow:
    """Drop every waiting request of a lower tier, before the next action."""

    service: str
    rank: int


@attrs.define(kw_only=True)
class _Round:
    """One announcement of a floor: who has to hold it and who does."""

    tier: int
    number: int
    began_s: float
    sent_s: float
    until_s: float
    missing: set[InstanceId]
    members: set[InstanceId]

    def covers(self, *, rank: int, now_s: float, peers: set[InstanceId]) -> bool:
        """Return whether work of a rank may be dropped under this round."""
        return (
            not self.missing
            and self.tier >= rank
            and now_s < self.until_s
            and peers <= self.members
        )


class FloorCoordinator:
    """One entry's part in the floors of one service.

    `instance` is this entry. The methods return actions: `Send`, and
    `DropBelow`, to be carried out in order.
    """

    def __init__(self, *, service: Service, instance: InstanceId):
        self._service = service
        self._instance = instance
        self._number = 0
        self._held: _Round | None = None
        self._asked: _Round | None = None
        self._peers: set[InstanceId] = set()
        # When each peer that owes an answer was first asked without one.
        self._owing_since_s: dict[InstanceId, float] = {}
        # Held for peers, by name and tier: a late or doubled announcement of a
        # lower tier can't loosen a higher floor that is still in force.
        self._floors: dict[tuple[str, int], float] = {}

    def reconfigure(self, service: Service) -> None:
        """Put another document in force."""
        self._service = service

    def request_floor(
        self, rank: int, now_s: float, peers: frozenset[InstanceId] | set[InstanceId]
    ) -> list[DropBelow | Send]:
        """Ask for the right to drop work of a rank, and keep it while asked.

        `peers` are the entries with a live heartbeat, without this one. Call it
        on each tick for as long as room is short; `may_drop` then says when.
        """
        self._peers = set(peers)
        if rank <= self._lowest_rank():
            return []
        if self._fresh(self._held, rank, now_s):
            return []
        floor = self._next_floor(rank, now_s)
        if not self._fresh(self._asked, floor, now_s):
            return self._announce(floor, now_s)
        return self._remind(now_s)

    def _next_floor(self, rank: int, now_s: float) -> int:
        """Return the floor to ask for on the way to one at `rank`."""
        # A floor reaches the entries at unlike moments. One that is above two
        # tiers at once has the upper one dropped here while the lower still waits
        # at an entry that hasn't heard. So each floor is asked for when the one
        # below it is held everywhere: it then has a single tier dropped.
        lower = [tier.rank for tier in self._service.tiers if tier.rank < rank]
        ladder = [*sorted(lower), rank]
        return next(
            floor
            for below, floor in reversed(list(itertools.pairwise(ladder)))
            if below == ladder[0]
            or self._fresh(self._held, below, now_s)
            or self._holds(floor, now_s)
        )

    def _holds(self, rank: int, now_s: float) -> bool:
        held = self._held
        return held is not None and held.covers(
            rank=rank, now_s=now_s, peers=self._peers
        )

    def on_floor(
        self, sender: InstanceId, message: Floor, now_s: float
    ) -> list[DropBelow | Send]:
        """Hold a peer's floor, drop what is below it, and say so."""
        floor = (sender.name, message.tier)
        until_s = now_s + message.lease_s
        self._floors[floor] = max(until_s, self._floors.get(floor, until_s))
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
        """Note that a peer holds this entry's floor."""
        self._owing_since_s.pop(sender, None)
        if self._asked is not None and self._asked.number == message.round:
            self._asked.missing.discard(sender)
            self._settle()

    def on_peer_lost(self, name: str) -> None:
        """Note that a peer's heartbeat lapsed: nothing waits in it any more."""
        self._peers = {peer for peer in self._peers if peer.name != name}
        if self._asked is not None:
            lost = {peer for peer in self._asked.missing if peer.name == name}
            self._asked.missing -= lost
            self._settle()
        self._owing_since_s = {
            peer: since_s
            for peer, since_s in self._owing_since_s.items()
            if peer.name != name
        }

    def floor_rank(self, now_s: float) -> int | None:
        """Return the rank below which arrivals are refused, or None.

        It holds too for a request that comes back from a refused or revoked
        grant: put back below the floor, it would be kept while more is dropped.
        """
        self._floors = {
            floor: until_s for floor, until_s in self._floors.items() if now_s < until_s
        }
        ranks = [tier for _, tier in self._floors]
        own = [each for each in (self._held, self._asked) if each is not None]
        ranks += [each.tier for each in own if now_s < each.until_s]
        return max(ranks, default=None)

    def may_drop(self, rank: int, now_s: float) -> bool:
        """Return whether no entry keeps work below a rank.

        This entry's own lower tiers must have been dropped by the caller.
        """
        if rank <= self._lowest_rank():
            return True
        self._give_up(now_s)
        rounds = [each for each in (self._held, self._asked) if each is not None]
        return any(
            each.covers(rank=rank, now_s=now_s, peers=self._peers) for each in rounds
        )

    def _lowest_rank(self) -> int:
        return min(tier.rank for tier in self._service.tiers)

    def _fresh(self, asked: _Round | None, rank: int, now_s: float) -> bool:
        if asked is None or asked.tier < rank or not self._peers <= asked.members:
            return False
        renew_s = asked.began_s + FLOOR_LEASE_S * RENEW_PART
        return now_s < (asked.until_s if asked.missing else renew_s)

    def _announce(self, rank: int, now_s: float) -> list[DropBelow | Send]:
        self._number += 1
        self._asked = _Round(
            tier=rank,
            number=self._number,
            began_s=now_s,
            sent_s=now_s,
            until_s=now_s + FLOOR_LEASE_S * HOLDER_LEASE_SHARE,
            missing=set(self._peers),
            members=set(self._peers),
        )
        self._owing_since_s = {
            peer: self._owing_since_s.get(peer, now_s) for peer in self._peers
        }
        self._give_up(now_s)
        self._settle()
        drop = DropBelow(service=self._service.name, rank=rank)
        return [drop, *self._sends(self._number, rank, self._peers)]

    def _remind(self, now_s: float) -> list[DropBelow | Send]:
        asked = self._asked
        self._give_up(now_s)
        if not asked.missing or now_s < asked.sent_s + RESEND_S:
            return []
        asked.sent_s = now_s
        return self._sends(asked.number, asked.tier, asked.missing)

    def _give_up(self, now_s: float) -> None:
        if self._asked is None:
            return
        self._asked.missing = {
            peer
            for peer in self._asked.missing
            if now_s < self._owing_since_s.get(peer, now_s) + ANSWER_WAIT_S
        }
        self._settle()

    def _settle(self) -> None:
        if self._asked is not None and not self._asked.missing:
            self._held, self._asked = self._asked, None

    def _sends(self, number: int, rank: int, peers: set[InstanceId]) -> list[Send]:
        message = Floor(
            service=self._service.name, tier=rank, round=number, lease_s=FLOOR_LEASE_S
        )
        return [
            Send(recipient=peer, message=message)
            for peer in sorted(peers, key=lambda peer: peer.name)
        ]
