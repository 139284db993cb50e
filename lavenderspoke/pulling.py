"""Which entry an agent asks for work, and the nonces its pulls rest on."""

from collections import Counter
from collections.abc import Callable

import attrs

from lavenderspoke.messages import Pull, PullDone
from lavenderspoke.model import InstanceId


@attrs.define(kw_only=True)
class EntryView:
    """What an agent last heard of one entry; `waiting` maps tier to count."""

    entry: InstanceId
    address: str = ""
    waiting: dict[int, int] = attrs.field(factory=dict)
    heard_s: float = 0.0
    pulled: int = 0


@attrs.define(kw_only=True)
class Nonce:
    """A pull that is out: how many grants it still allows and reserves."""

    entry: InstanceId
    slots: int
    expires_s: float
    requests: set[str] = attrs.field(factory=set)
    promised: int | None = None

    @property
    def reserved(self) -> int:
        """Slots kept free for grants that may still come."""
        allowed = self.slots if self.promised is None else self.promised
        return max(0, allowed - len(self.requests))


@attrs.define(kw_only=True)
class Puller:
    """The puller asks the entry whose highest waiting tier is the highest.

    Among equals it asks the one it has pulled from least. `new_id` makes
    nonces; `pull_ttl_s` is how long one is good on this agent's clock.
    """

    service: str
    new_id: Callable[[], str]
    pull_ttl_s: float
    entry_lost_s: float
    _entries: dict[str, EntryView] = attrs.field(factory=dict)
    _nonces: dict[str, Nonce] = attrs.field(factory=dict)

    def entries(self) -> list[InstanceId]:
        """Return the entries that have been heard lately."""
        return [view.entry for view in self._entries.values()]

    def trim(self, picked: tuple[str, ...], count_max: int) -> None:
        """Forget the entries that are not picked, while there are too many.

        Up to the limit all stay: the platform's list may be wrong, and an entry
        that is missing from it may hold waiting requests.
        """
        for name in [name for name in self._entries if name not in picked]:
            if len(self._entries) > count_max:
                del self._entries[name]

    def heard(self, entry: InstanceId, now_s: float, address: str = "") -> bool:
        """Note that an entry lives; return whether it is a new incarnation."""
        view = self._entries.get(entry.name)
        is_new = view is None or view.entry != entry
        if is_new:
            view = self._entries[entry.name] = EntryView(entry=entry)
        view.heard_s = now_s
        view.address = address or view.address
        return is_new

    def demand(self, entry: InstanceId, waiting: dict[int, int], now_s: float) -> bool:
        """Note what waits in an entry; return whether its incarnation is new."""
        is_new = self.heard(entry, now_s)
        self._entries[entry.name].waiting = {
            rank: count for rank, count in waiting.items() if count > 0
        }
        return is_new

    def waiting(self) -> dict[int, int]:
        """Return what waits in all entries, by tier."""
        total = Counter()
        for view in self._entries.values():
            total.update(view.waiting)
        return dict(total)

    def reserved(self) -> int:
        """Return the slots kept for grants under way."""
        return sum(nonce.reserved for nonce in self._nonces.values())

    def pulls(self, free: int, now_s: float) -> list[tuple[InstanceId, Pull]]:
        """Return the pulls that fill `free` slots, highest tiers first."""
        found = []
        while free > 0:
            view = self._best()
            if view is None:
                break
            rank = max(view.waiting)
            slots = min(free, view.waiting[rank])
            free -= slots
            found.append((view.entry, self._pull(view, rank, slots, now_s)))
        return found

    def _best(self) -> EntryView | None:
        wanting = [view for view in self._entries.values() if view.waiting]
        return max(
            wanting, key=lambda view: (max(view.waiting), -view.pulled), default=None
        )

    def _pull(self, view: EntryView, rank: int, slots: int, now_s: float) -> Pull:
        view.pulled += slots
        view.waiting[rank] -= slots
        if view.waiting[rank] == 0:
            del view.waiting[rank]
        value = self.new_id()
        self._nonces[value] = Nonce(
            entry=view.entry, slots=slots, expires_s=now_s + self.pull_ttl_s
        )
        return Pull(
            service=self.service,
            nonce=value,
            slots=slots,
            ttl_s=self.pull_ttl_s,
            rank_min=rank,
        )

    def use(self, value: str, entry: InstanceId, request_id: str, now_s: float) -> bool:
        """Use a nonce for one grant; False when it does not allow it.

        A doubled grant, or one that comes after its revocation, would be
        dispatched while the entry has given the request elsewhere: a second
        run. Each nonce allows each request once, and none after its expiry.
        """
        nonce = self._nonces.get(value)
        if nonce is None or nonce.entry != entry or nonce.expires_s <= now_s:
            return False
        if request_id in nonce.requests or len(nonce.requests) >= nonce.slots:
            return False
        nonce.requests.add(request_id)
        self._drop_if_spent(value, nonce)
        return True

    def burn(self, value: str, request_id: str) -> None:
        """Refuse a request on a nonce from now on; its grant may be under way."""
        nonce = self._nonces.get(value)
        if nonce is not None:
            nonce.requests.add(request_id)

    def answered(self, entry: InstanceId, done: PullDone, now_s: float) -> None:
        """Free what an entry will not grant on a nonce."""
        nonce = self._nonces.get(done.nonce)
        if nonce is not None and nonce.entry == entry:
            nonce.promised = done.granted
            self._drop_if_spent(done.nonce, nonce)
        self.demand(entry, done.waiting, now_s)

    def _drop_if_spent(self, value: str, nonce: Nonce) -> None:
        # The entry grants no more on it, and an unknown nonce allows nothing.
        # Kept until they expire, a busy agent would walk through hundreds of
        # them at every event.
        if nonce.promised is not None and nonce.reserved == 0:
            del self._nonces[value]

    def expire(self, now_s: float) -> None:
        """Forget dead nonces and entries that have fallen silent."""
        for value, nonce in list(self._nonces.items()):
            if nonce.expires_s <= now_s:
                del self._nonces[value]
        for name, view in list(self._entries.items()):
            if now_s - view.heard_s > self.entry_lost_s:
                del self._entries[name]
