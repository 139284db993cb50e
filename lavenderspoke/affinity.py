"""Tracks which upstream probably has which prompt prefixes in its cache.

It is a hint, built from agents' events about cache changes and completed
requests, which may arrive late or with gaps. A wrong hint costs time, never
correctness.
"""

from collections import OrderedDict

import attrs

from lavenderspoke.messages import PrefixHeld
from lavenderspoke.model import InstanceId


@attrs.frozen(kw_only=True)
class _EventPosition:
    incarnation: str
    sequence: int


class PrefixIndex:
    """A bounded map from prefix hashes to the upstreams that have them cached.

    `entries_max` bounds the number of (prefix, upstream) pairs. The prefixes
    least recently added or looked up are evicted first.
    """

    def __init__(self, *, entries_max: int):
        self._entries_max = entries_max
        self._upstreams_by_prefix: OrderedDict[str, set[str]] = OrderedDict()
        self._prefixes_by_upstream: dict[str, set[str]] = {}
        self._positions: dict[str, _EventPosition] = {}
        self._entries = 0

    def __len__(self) -> int:
        return self._entries

    def add(self, upstream: str, hashes: tuple[str, ...]) -> None:
        """Record that an upstream has these prefixes cached."""
        prefixes = self._prefixes_by_upstream.setdefault(upstream, set())
        # The shortest prefix is touched last, so that it is evicted last: a longer
        # one is useless without it.
        for prefix in reversed(hashes):
            holders = self._upstreams_by_prefix.setdefault(prefix, set())
            self._upstreams_by_prefix.move_to_end(prefix)
            if upstream not in holders:
                holders.add(upstream)
                prefixes.add(prefix)
                self._entries += 1
        while self._entries > self._entries_max:
            self._evict_oldest()

    def remove(self, upstream: str, hashes: tuple[str, ...]) -> None:
        """Record that an upstream no longer has these prefixes cached."""
        prefixes = self._prefixes_by_upstream.get(upstream, set())
        for prefix in hashes:
            if prefix in prefixes:
                prefixes.remove(prefix)
                self._remove_entry(upstream, prefix)

    def remove_upstream(self, upstream: str) -> None:
        """Remove all entries of an upstream and its position in the events."""
        for prefix in self._prefixes_by_upstream.pop(upstream, set()):
            self._remove_entry(upstream, prefix)
        self._positions.pop(upstream, None)

    def apply_event(
        self, sender: InstanceId, message: PrefixHeld, *, upstream: str
    ) -> bool:
        """Apply an agent's event; return False if it reveals a gap in the events.

        Events are numbered within an incarnation. After a gap, a restart or a
        reset a removal may have been missed, and requests would wait for an
        upstream whose cache is cold, so the upstream's earlier entries are
        removed. Late and duplicate events are ignored.
        """
        known = self._positions.get(upstream)
        is_same_incarnation = (
            known is not None and known.incarnation == sender.incarnation
        )
        if is_same_incarnation and message.sequence <= known.sequence:
            return True
        is_next = is_same_incarnation and message.sequence == known.sequence + 1
        if not is_next or message.reset:
            self.remove_upstream(upstream)
        self._positions[upstream] = _EventPosition(
            incarnation=sender.incarnation, sequence=message.sequence
        )
        self.remove(upstream, message.removed)
        self.add(upstream, message.added)
        return is_next or known is None

    def lookup(self, hashes: tuple[str, ...], block_tokens: int) -> dict[str, int]:
        """Return the number of leading tokens that each upstream probably has cached.

        `hashes` are those of a prompt; only blocks cached contiguously from the
        first one count. Upstreams with none are left out.
        """
        tokens: dict[str, int] = {}
        unbroken: set[str] | None = None
        for number, prefix in enumerate(hashes, start=1):
            holders = self._upstreams_by_prefix.get(prefix, set())
            unbroken = set(holders) if unbroken is None else unbroken & holders
            if not unbroken:
                break
            tokens.update(dict.fromkeys(unbroken, number * block_tokens))
        for prefix in reversed(hashes):
            if prefix in self._upstreams_by_prefix:
                self._upstreams_by_prefix.move_to_end(prefix)
        return tokens

    def _remove_entry(self, upstream: str, prefix: str) -> None:
        holders = self._upstreams_by_prefix[prefix]
        holders.remove(upstream)
        self._entries -= 1
        if not holders:
            del self._upstreams_by_prefix[prefix]

    def _evict_oldest(self) -> None:
        prefix, holders = self._upstreams_by_prefix.popitem(last=False)
        self._entries -= len(holders)
        for upstream in holders:
            self._prefixes_by_upstream[upstream].discard(prefix)
