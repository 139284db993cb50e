"""What an entry knows of the other entries, from their last messages."""

from collections import OrderedDict

import attrs

from lavenderspoke.direct.messages import SharedState
from lavenderspoke.direct.peercounts import PeerCounts
from lavenderspoke.direct.peertotals import PeerTotals
from lavenderspoke.direct.upstreamstate import Load
from lavenderspoke.model import InstanceId

# An entry not heard from for this long is no longer live: at least three of the
# messages due in that time would have to be lost.
LIVE_TIMEOUT_S = 1.0
# Time after which an entry no longer counts as heard directly, and isn't expected to
# forward for its group. Even if nothing changes, a message is due every 0.3 s.
DIRECTLY_HEARD_TIMEOUT_S = 0.5
# An entry not heard from for this long is removed. It is long, since an entry that is
# only partitioned may still admit requests.
EXPIRY_S = 20.0
# Assumed interval between two states of an entry, until one is measured.
STATE_INTERVAL_INITIAL_S = 0.1
# Weight of the newest state in that mean.
STATE_INTERVAL_WEIGHT = 0.01
# For how long relayed states of an ended incarnation are rejected: longer than a
# message takes by way of two entries, one of which is slow.
ENDED_INCARNATION_S = 3.0
# How long after its first attempt a refused request may be resubmitted: callers retry
# within a third of the time they have (`RETRY_AFTER_MAX_SHARE`).
RESUBMISSION_S = 12.0
# Refusals remembered at most; the oldest are dropped.
RESUBMISSIONS_MAX = 4096


@attrs.frozen(kw_only=True)
class EntryLocation:
    """The address at which an entry listens for the others, and its data centre."""

    address: str
    data_centre: str = ""


@attrs.define(kw_only=True)
class _Peer:
    """Another entry; `seen_s` is when it was first listed or last heard from.

    `heard_s` is the time of its last state, which others may have relayed, and
    `heard_directly_s` the time of the last one that it sent itself. `sequence_number`
    is that of its last state.
    """

    location: EntryLocation
    seen_s: float
    incarnation: str = ""
    sequence_number: int = -1
    heard_s: float | None = None
    heard_directly_s: float | None = None


class Peers:
    """The other entries.

    Times are in seconds on the caller's clock.
    """

    def __init__(self, *, own_name: str):
        self._own_name = own_name
        self._peers: dict[str, _Peer] = {}
        self._totals = PeerTotals()
        self._state_interval_s = STATE_INTERVAL_INITIAL_S
        # Ended incarnations and when they ended, oldest first.
        self._ended_incarnations: OrderedDict[InstanceId, float] = OrderedDict()

    def update_listed(self, entries: dict[str, EntryLocation], now_s: float) -> None:
        """Add the entries listed in the platform's store.

        A record there outlives its entry, so it makes an entry known once and doesn't
        keep it known.
        """
        for name, location in entries.items():
            if name == self._own_name:
                continue
            peer = self._peers.get(name)
            is_moved = peer is not None and peer.location != location
            if peer is None or (is_moved and not self._is_live(peer, now_s)):
                self._totals.drop(name)
                self._peers[name] = _Peer(location=location, seen_s=now_s)

    def receive(
        self,
        sender: InstanceId,
        state: SharedState,
        now_s: float,
        *,
        age_s: float | None = None,
    ) -> bool:
        """Apply a peer's state, received directly or through a relay.

        `age_s` is how long ago the relay received it, or None if the peer sent it
        itself. Returns False for an outdated state, which must not bring back a peer
        that has left or an incarnation that has ended.
        """
        peer = self._peers.get(sender.name)
        if sender.name == self._own_name or self._is_outdated(
            sender, state, age_s, now_s
        ):
            return False
        if state.leaving:
            self._end_incarnation(sender, now_s)
            self._peers.pop(sender.name, None)
            self._totals.drop(sender.name)
            return True
        if peer is not None and self._is_live(peer, now_s):
            interval_s = now_s - peer.heard_s
            self._state_interval_s += (
                interval_s - self._state_interval_s
            ) * STATE_INTERVAL_WEIGHT
        heard_directly_s = peer.heard_directly_s if peer is not None else None
        if peer is not None and peer.incarnation not in ("", sender.incarnation):
            self._end_incarnation(
                attrs.evolve(sender, incarnation=peer.incarnation), now_s
            )
            heard_directly_s = None
        self._peers[sender.name] = _Peer(
            location=EntryLocation(
                address=state.address, data_centre=state.data_centre
            ),
            seen_s=now_s,
            incarnation=sender.incarnation,
            sequence_number=state.number,
            heard_s=now_s - (age_s or 0.0),
            heard_directly_s=now_s if age_s is None else heard_directly_s,
        )
        self._totals.put(sender.name, state)
        return True

    def known(self, now_s: float) -> dict[str, EntryLocation]:
        """Return the entries that may be alive, by name."""
        return {
            name: peer.location
            for name, peer in self._peers.items()
            if self._may_be_alive(peer, now_s)
        }

    def live_names(self, now_s: float) -> list[str]:
        """Return the names of the live entries, heard directly or through a relay."""
        return [n for n, peer in self._peers.items() if self._is_live(peer, now_s)]

    def directly_heard_names(self, now_s: float) -> list[str]:
        """Return the names of the entries that recently sent a state themselves."""
        return [
            name
            for name, peer in self._peers.items()
            if peer.heard_directly_s is not None
            and now_s < peer.heard_directly_s + DIRECTLY_HEARD_TIMEOUT_S
        ]

    def remove_expired(self, now_s: float) -> list[str]:
        """Remove the entries that are gone, and return their addresses."""
        names = [n for n, p in self._peers.items() if not self._may_be_alive(p, now_s)]
        for name in names:
            self._totals.drop(name)
        return [self._peers.pop(name).location.address for name in names]

    def drop_stale(self, now_s: float) -> None:
        """Exclude entries that are no longer live from `loads` and `counts`."""
        for name in self._totals.names():
            if not self._is_live(self._peers[name], now_s):
                self._totals.drop(name)

    def loads(self) -> dict[str, Load]:
        """Return the loads of the live entries, by upstream."""
        return self._totals.loads()

    def counts(self, service: str) -> PeerCounts:
        """Return the counts of the live entries for one service."""
        # A state's age grows from zero until it is replaced: its mean is half the
        # interval.
        return self._totals.counts(service, age_s=self._state_interval_s / 2.0)

    def live_and_known_counts(self, now_s: float) -> tuple[int, int]:
        """Return how many entries are live and how many may be alive.

        Both numbers include this entry.
        """
        return 1 + len(self.live_names(now_s)), 1 + len(self.known(now_s))

    def _is_outdated(
        self, sender: InstanceId, state: SharedState, age_s: float | None, now_s: float
    ) -> bool:
        peer = self._peers.get(sender.name)
        if peer is not None and peer.incarnation == sender.incarnation:
            return state.number <= peer.sequence_number
        ended_s = self._ended_incarnations.get(sender)
        return (
            age_s is not None
            and ended_s is not None
            and now_s < ended_s + ENDED_INCARNATION_S
        )

    def _end_incarnation(self, incarnation_id: InstanceId, now_s: float) -> None:
        self._ended_incarnations[incarnation_id] = now_s
        while (
            self._ended_incarnations
            and next(iter(self._ended_incarnations.values())) + ENDED_INCARNATION_S
            <= now_s
        ):
            self._ended_incarnations.popitem(last=False)

    @staticmethod
    def _may_be_alive(peer: _Peer, now_s: float) -> bool:
        return now_s < peer.seen_s + EXPIRY_S

    @staticmethod
    def _is_live(peer: _Peer, now_s: float) -> bool:
        return peer.heard_s is not None and now_s < peer.heard_s + LIVE_TIMEOUT_S


class Resubmissions:
    """Refused requests that may be resubmitted, here or at another entry."""

    def __init__(self):
        self._first_arrived_s: OrderedDict[str, float] = OrderedDict()
        self._unsent: list[str] = []

    def record_refusal(self, fingerprint: str, first_arrived_s: float) -> None:
        """Record a refusal by this entry, to be sent to the others.

        `first_arrived_s` is the time of the caller's first attempt.
        """
        self._remember(fingerprint, first_arrived_s)
        self._unsent.append(fingerprint)

    def record_peer_refusals(self, fingerprints: tuple[str, ...], now_s: float) -> None:
        """Record refusals by another entry, which reports them at once.

        Their first attempts are taken to be now, since the report doesn't tell.
        """
        for fingerprint in fingerprints:
            self._remember(fingerprint, now_s)

    def take(self, fingerprint: str, now_s: float) -> float | None:
        """Return the time of the first attempt, or None if the request is new.

        Its record is removed, since the next refusal will add it again.
        """
        first_arrived_s = self._first_arrived_s.pop(fingerprint, None)
        if first_arrived_s is None or now_s >= first_arrived_s + RESUBMISSION_S:
            return None
        return first_arrived_s

    def take_unsent(self) -> tuple[str, ...]:
        """Return the refusals that haven't been sent to the others yet."""
        unsent, self._unsent = self._unsent, []
        return tuple(unsent)

    def _remember(self, fingerprint: str, first_arrived_s: float) -> None:
        self._first_arrived_s[fingerprint] = first_arrived_s
        self._first_arrived_s.move_to_end(fingerprint)
        while len(self._first_arrived_s) > RESUBMISSIONS_MAX:
            self._first_arrived_s.popitem(last=False)
