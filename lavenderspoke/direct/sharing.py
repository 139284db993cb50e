"""What an entry knows of the other entries, from their last messages."""

from collections import Counter, OrderedDict
from collections.abc import Iterable

import attrs

from lavenderspoke.direct.messages import SharedState
from lavenderspoke.direct.pool import Running
from lavenderspoke.direct.scheduler import PeersShare, Rank
from lavenderspoke.model import InstanceId

# An entry not heard for so long, in seconds, counts as silent: ten of the
# messages that are due in that time would have to be lost.
SILENT_S = 1.0
# An entry silent for so long is taken as gone, in seconds. It is long, since
# one that is only cut off may still let requests through.
GONE_S = 20.0
# How long after it was first asked for a refused request is expected back, in
# seconds: callers come back within a third of the time they have.
RETURN_S = 12.0
RETURNS_MAX = 4096


@attrs.define(kw_only=True)
class _Peer:
    """`seen_s` is when it was listed or heard last, `heard_s` only the latter."""

    address: str
    seen_s: float
    incarnation: str = ""
    heard_s: float | None = None
    state: SharedState | None = None


class Peers:
    """The other entries.

    Times are in seconds on the clock that the caller passes in.
    """

    def __init__(self, *, own_name: str):
        self._own_name = own_name
        self._peers: dict[str, _Peer] = {}

    def listed(self, addresses: dict[str, str], now_s: float) -> None:
        """Take over the names and addresses that the platform's store holds.

        A record there outlives its entry, so it makes an entry known once and
        doesn't keep it alive.
        """
        for name, address in addresses.items():
            if name == self._own_name:
                continue
            peer = self._peers.get(name)
            if peer is None:
                self._peers[name] = _Peer(address=address, seen_s=now_s)
            elif peer.address != address and not self._fresh(peer, now_s):
                self._peers[name] = _Peer(address=address, seen_s=now_s)

    def heard(self, sender: InstanceId, state: SharedState, now_s: float) -> None:
        """Take in a peer's message."""
        if state.leaving:
            self._peers.pop(sender.name, None)
            return
        self._peers[sender.name] = _Peer(
            address=state.address,
            seen_s=now_s,
            incarnation=sender.incarnation,
            heard_s=now_s,
            state=state,
        )

    def addresses(self, now_s: float) -> dict[str, str]:
        """Return the addresses by name of those that may be alive."""
        return {
            name: peer.address
            for name, peer in self._peers.items()
            if now_s < peer.seen_s + GONE_S
        }

    def heard_names(self, now_s: float) -> list[str]:
        """Return the names of those that were heard just now."""
        return [n for n, peer in self._peers.items() if self._fresh(peer, now_s)]

    def gone(self, now_s: float) -> list[str]:
        """Forget those that are gone for good and return their addresses."""
        names = [n for n, p in self._peers.items() if now_s >= p.seen_s + GONE_S]
        return [self._peers.pop(name).address for name in names]

    def running(self, now_s: float) -> dict[str, Running]:
        """Return what the entries that are heard have running, by upstream."""
        requests: Counter[str] = Counter()
        prefill_tokens: Counter[str] = Counter()
        for state in self._states(now_s):
            for upstream_id, (count, tokens) in state.running.items():
                requests[upstream_id] += count
                prefill_tokens[upstream_id] += tokens
        return {
            upstream_id: Running(
                requests=count, prefill_tokens=prefill_tokens[upstream_id]
            )
            for upstream_id, count in requests.items()
        }

    def share(self, service: str, now_s: float) -> PeersShare:
        """Return what the entries that are heard have of a service."""
        states = self._states(now_s)
        return PeersShare(
            waiting=_by_rank(state.waiting.get(service, ()) for state in states),
            held=_by_rank(state.held.get(service, ()) for state in states),
            entries=len(states),
        )

    def heard_and_known(self, now_s: float) -> tuple[int, int]:
        """Return how many entries are heard and how many there may be.

        Both count this entry.
        """
        known = len(self.addresses(now_s))
        return 1 + len(self._states(now_s)), 1 + known

    def _states(self, now_s: float) -> list[SharedState]:
        return [p.state for p in self._peers.values() if self._fresh(p, now_s)]

    @staticmethod
    def _fresh(peer: _Peer, now_s: float) -> bool:
        return peer.heard_s is not None and now_s < peer.heard_s + SILENT_S


def _by_rank(rows_of_peers: Iterable[tuple]) -> dict[Rank, int]:
    counts: Counter[Rank] = Counter()
    for rows in rows_of_peers:
        for customer_rank, route_rank, count in rows:
            counts[customer_rank, route_rank] += count
    return dict(counts)


class Returns:
    """The refused requests that are expected back, here or at another entry."""

    def __init__(self):
        self._first_s: OrderedDict[str, float] = OrderedDict()
        self._news: list[str] = []

    def refused(self, fingerprint: str, first_s: float) -> None:
        """Note a refusal of this entry, to be told to the others.

        `first_s` is when its caller asked for the first time.
        """
        self._expect(fingerprint, first_s)
        self._news.append(fingerprint)

    def heard(self, fingerprints: tuple[str, ...], now_s: float) -> None:
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

    def news(self) -> tuple[str, ...]:
        """Return the refusals that the others haven't been told of."""
        news, self._news = self._news, []
        return tuple(news)

    def _expect(self, fingerprint: str, first_s: float) -> None:
        self._first_s[fingerprint] = first_s
        self._first_s.move_to_end(fingerprint)
        while len(self._first_s) > RETURNS_MAX:
            self._first_s.popitem(last=False)
