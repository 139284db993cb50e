"""What an entry knows of the other entries, from their last messages."""

from collections import OrderedDict

import attrs

from lavenderspoke.direct.messages import SharedState
from lavenderspoke.direct.peertotals import PeerTotals
from lavenderspoke.direct.pool import Load
from lavenderspoke.direct.scheduler import PeerCounts
from lavenderspoke.model import InstanceId

# An entry not heard for so long, in seconds, counts as silent: at least three of the
# messages that are due in that time would have to be lost.
LIVE_TIMEOUT_S = 1.0
# A neighbour that hasn't told anything itself for so long, in seconds, doesn't pass on
# what the others of its group tell: while nothing changes, a message is due each 0.3 s.
MUTE_S = 0.5
# An entry silent for so long is taken as gone, in seconds. It is long, since
# one that is only cut off may still let requests through.
GONE_S = 20.0
# How old a state is when the next one replaces it, in seconds, before any was replaced.
REPLACED_INITIAL_S = 0.1
# Weight of the newest state in the mean of that.
REPLACED_WEIGHT = 0.01
# For how long, in seconds, what others pass on of an entry's earlier life is turned
# away: longer than a message takes by way of two entries, one of which is slow.
ENDED_S = 3.0
# How long after it was first asked for a refused request is expected back, in
# seconds: callers come back within a third of the time they have.
RETURN_S = 12.0
RETURNS_MAX = 4096


@attrs.frozen(kw_only=True)
class EntryLocation:
    """Where an entry listens for the others, and in which data centre it runs."""

    address: str
    data_centre: str = ""


@attrs.define(kw_only=True)
class _Peer:
    """`seen_s` is when it was listed or heard last, `heard_s` only the latter.

    `told_s` is when it told something itself; what is heard of it otherwise comes by
    way of others. `number` is that of its last state.
    """

    whereabouts: EntryLocation
    seen_s: float
    incarnation: str = ""
    number: int = -1
    heard_s: float | None = None
    told_s: float | None = None


class Peers:
    """The other entries.

    Times are in seconds on the clock that the caller passes in.
    """

    def __init__(self, *, own_name: str):
        self._own_name = own_name
        self._peers: dict[str, _Peer] = {}
        self._totals = PeerTotals()
        self._replaced_s = REPLACED_INITIAL_S
        # Earlier lives, by when they ended.
        self._ended: OrderedDict[InstanceId, float] = OrderedDict()

    def update_listed(self, entries: dict[str, EntryLocation], now_s: float) -> None:
        """Take over the entries that the platform's store names.

        A record there outlives its entry, so it makes an entry known once and
        doesn't keep it alive.
        """
        for name, whereabouts in entries.items():
            if name == self._own_name:
                continue
            peer = self._peers.get(name)
            is_moved = peer is not None and peer.whereabouts != whereabouts
            if peer is None or (is_moved and not self._fresh(peer, now_s)):
                self._totals.drop(name)
                self._peers[name] = _Peer(whereabouts=whereabouts, seen_s=now_s)

    def receive(
        self,
        sender: InstanceId,
        state: SharedState,
        now_s: float,
        *,
        age_s: float | None = None,
    ) -> bool:
        """Take in what a peer told, or what another one passed on of it.

        `age_s` is how long ago the one that passes it on heard it, None where the peer
        told it itself. Returns False for what is older than what is known: it must not
        bring back a peer that has left, nor the life before its last start.
        """
        peer = self._peers.get(sender.name)
        if sender.name == self._own_name or self._is_old(sender, state, age_s, now_s):
            return False
        if state.leaving:
            self._end(sender, now_s)
            self._peers.pop(sender.name, None)
            self._totals.drop(sender.name)
            return True
        if peer is not None and self._fresh(peer, now_s):
            replaced_s = now_s - peer.heard_s
            self._replaced_s += (replaced_s - self._replaced_s) * REPLACED_WEIGHT
        told_s = peer.told_s if peer is not None else None
        if peer is not None and peer.incarnation not in ("", sender.incarnation):
            self._end(attrs.evolve(sender, incarnation=peer.incarnation), now_s)
            told_s = None
        self._peers[sender.name] = _Peer(
            whereabouts=EntryLocation(
                address=state.address, data_centre=state.data_centre
            ),
            seen_s=now_s,
            incarnation=sender.incarnation,
            number=state.number,
            heard_s=now_s - (age_s or 0.0),
            told_s=now_s if age_s is None else told_s,
        )
        self._totals.put(sender.name, state)
        return True

    def known(self, now_s: float) -> dict[str, EntryLocation]:
        """Return the entries by name that may be alive."""
        return {
            name: peer.whereabouts
            for name, peer in self._peers.items()
            if self._may_live(peer, now_s)
        }

    def live_names(self, now_s: float) -> list[str]:
        """Return the names of those that were heard just now, by whatever way."""
        return [n for n, peer in self._peers.items() if self._fresh(peer, now_s)]

    def directly_heard_names(self, now_s: float) -> list[str]:
        """Return the names of those that told something themselves just now."""
        return [
            name
            for name, peer in self._peers.items()
            if peer.told_s is not None and now_s < peer.told_s + MUTE_S
        ]

    def remove_expired(self, now_s: float) -> list[str]:
        """Forget those that are gone for good and return their addresses."""
        names = [n for n, p in self._peers.items() if not self._may_live(p, now_s)]
        for name in names:
            self._totals.drop(name)
        return [self._peers.pop(name).whereabouts.address for name in names]

    def drop_stale(self, now_s: float) -> None:
        """Leave out of `running` and `share` what those said that aren't heard."""
        for name in self._totals.names():
            if not self._fresh(self._peers[name], now_s):
                self._totals.drop(name)

    def loads(self) -> dict[str, Load]:
        """Return what the entries that are heard have running, by upstream."""
        return self._totals.loads()

    def counts(self, service: str) -> PeerCounts:
        """Return what the entries that are heard have of a service."""
        # A state's age goes from nothing to that at which it is replaced.
        return self._totals.counts(service, age_s=self._replaced_s / 2.0)

    def live_and_known_counts(self, now_s: float) -> tuple[int, int]:
        """Return how many entries are heard and how many there may be.

        Both count this entry.
        """
        return 1 + len(self.live_names(now_s)), 1 + len(self.known(now_s))

    def _is_old(
        self, sender: InstanceId, state: SharedState, age_s: float | None, now_s: float
    ) -> bool:
        peer = self._peers.get(sender.name)
        if peer is not None and peer.incarnation == sender.incarnation:
            return state.number <= peer.number
        ended_s = self._ended.get(sender)
        return age_s is not None and ended_s is not None and now_s < ended_s + ENDED_S

    def _end(self, life: InstanceId, now_s: float) -> None:
        self._ended[life] = now_s
        while self._ended and next(iter(self._ended.values())) + ENDED_S <= now_s:
            self._ended.popitem(last=False)

    @staticmethod
    def _may_live(peer: _Peer, now_s: float) -> bool:
        return now_s < peer.seen_s + GONE_S

    @staticmethod
    def _fresh(peer: _Peer, now_s: float) -> bool:
        return peer.heard_s is not None and now_s < peer.heard_s + LIVE_TIMEOUT_S


class Resubmissions:
    """The refused requests that are expected back, here or at another entry."""

    def __init__(self):
        self._first_s: OrderedDict[str, float] = OrderedDict()
        self._news: list[str] = []

    def record_refusal(self, fingerprint: str, first_s: float) -> None:
        """Note a refusal of this entry, to be told to the others.

        `first_s` is when its caller asked for the first time.
        """
        self._expect(fingerprint, first_s)
        self._news.append(fingerprint)

    def record_peer_refusals(self, fingerprints: tuple[str, ...], now_s: float) -> None:
        """Take in refusals of another entry, which tells of them at once."""
        for fingerprint in fingerprints:
            self._expect(fingerprint, now_s)

    def take(self, fingerprint: str, now_s: float) -> float | None:
        """Return when this one was first asked for, or None if it is new.

        What came back is forgotten: its next refusal will note it again.
        """
        first_s = self._first_s.pop(fingerprint, None)
        if first_s is None or now_s >= first_s + RETURN_S:
            return None
        return first_s

    def take_unsent(self) -> tuple[str, ...]:
        """Return the refusals that the others haven't been told of."""
        news, self._news = self._news, []
        return tuple(news)

    def _expect(self, fingerprint: str, first_s: float) -> None:
        self._first_s[fingerprint] = first_s
        self._first_s.move_to_end(fingerprint)
        while len(self._first_s) > RETURNS_MAX:
            self._first_s.popitem(last=False)
