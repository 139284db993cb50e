"""Which upstream is believed to hold which prompt prefix.

It is a hint, built from events that come late and with gaps and from the
system's own completions. A wrong hint costs time, never correctness.
"""

from collections import OrderedDict

import attrs

from lavenderspoke.messages import PrefixHeld
from lavenderspoke.model import InstanceId


@attrs.frozen(kw_only=True)
class _Position:
    incarnation: str
    sequence: int


class PrefixIndex:
    """A bounded map from prefix names to the upstreams that hold them.

    `entries_max` bounds the pairs of name and upstream. The names that were
    held or looked up longest ago are forgotten first.
    """

    def __init__(self, *, entries_max: int):
        self._entries_max = entries_max
        self._holders: OrderedDict[str, set[str]] = OrderedDict()
        self._names: dict[str, set[str]] = {}
        self._positions: dict[str, _Position] = {}
        self._entries = 0

    def __len__(self) -> int:
        return self._entries

    def add(self, upstream: str, hashes: tuple[str, ...]) -> None:
        """Believe that an upstream holds these prefixes."""
        names = self._names.setdefault(upstream, set())
        # The shortest prefix is touched last: a longer one is no use without
        # it, so it must not be forgotten first.
        for name in reversed(hashes):
            holders = self._holders.setdefault(name, set())
            self._holders.move_to_end(name)
            if upstream not in holders:
                holders.add(upstream)
                names.add(name)
                self._entries += 1
        while self._entries > self._entries_max:
            self._forget_oldest()

    def remove(self, upstream: str, hashes: tuple[str, ...]) -> None:
        """Believe that an upstream no longer holds these prefixes."""
        names = self._names.get(upstream, set())
        for name in hashes:
            if name in names:
                names.remove(name)
                self._remove(upstream, name)

    def remove_upstream(self, upstream: str) -> None:
        """Forget all that was believed of an upstream."""
        for name in self._names.pop(upstream, set()):
            self._remove(upstream, name)
        self._positions.pop(upstream, None)

    def apply_event(
        self, sender: InstanceId, message: PrefixHeld, *, upstream: str
    ) -> bool:
        """Take in an agent's event; return False when it told of a gap.

        Events count within an incarnation. After a gap, a restart or a reset
        an unheard removal may have been missed, and requests would wait for a
        cache that is cold; so all that was believed before is forgotten. A late
        or doubled event is ignored.
        """
        known = self._positions.get(upstream)
        same_life = known is not None and known.incarnation == sender.incarnation
        if same_life and message.sequence <= known.sequence:
            return True
        follows = same_life and message.sequence == known.sequence + 1
        if not follows or message.reset:
            self.remove_upstream(upstream)
        self._positions[upstream] = _Position(
            incarnation=sender.incarnation, sequence=message.sequence
        )
        self.remove(upstream, message.removed)
        self.add(upstream, message.added)
        return follows or known is None

    def lookup(self, hashes: tuple[str, ...], block_tokens: int) -> dict[str, int]:
        """Return, by upstream, the leading tokens it is believed to hold.

        Only unbroken runs from the first block on count.
        """
        tokens: dict[str, int] = {}
        current: set[str] | None = None
        for number, name in enumerate(hashes, start=1):
            holders = self._holders.get(name, set())
            current = set(holders) if current is None else current & holders
            if not current:
                break
            tokens.update(dict.fromkeys(current, number * block_tokens))
        for name in reversed(hashes):
            if name in self._holders:
                self._holders.move_to_end(name)
        return tokens

    def _remove(self, upstream: str, name: str) -> None:
        holders = self._holders[name]
        holders.remove(upstream)
        self._entries -= 1
        if not holders:
            del self._holders[name]

    def _forget_oldest(self) -> None:
        name, holders = self._holders.popitem(last=False)
        self._entries -= len(holders)
        for upstream in holders:
            self._names[upstream].discard(name)
