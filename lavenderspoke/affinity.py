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
        self._upstreams_by_hash: OrderedDict[str, set[str]] = OrderedDict()
        self._hashes_by_upstream: dict[str, set[str]] = {}
        self._positions: dict[str, _EventPosition] = {}
        self._pair_count = 0

    def __len__(self) -> int:
        return self._pair_count

    def add(self, upstream: str, hashes: tuple[str, ...]) -> None:
        """Record that an upstream has these prefixes cached."""
        upstream_hashes = self._hashes_by_upstream.setdefault(upstream, set())
        # The shortest prefix is touched last, so that it is evicted last: a longer
        # one is useless without it.
        for prefix_hash in reversed(hashes):
            holders = self._upstreams_by_hash.setdefault(prefix_hash, set())
            self._upstreams_by_hash.move_to_end(prefix_hash)
            if upstream not in holders:
                holders.add(upstream)
                upstream_hashes.add(prefix_hash)
                self._pair_count += 1
        while self._pair_count > self._entries_max:
            self._evict_oldest()

    def remove(self, upstream: str, hashes: tuple[str, ...]) -> None:
        """Record that an upstream no longer has these prefixes cached."""
        upstream_hashes = self._hashes_by_upstream.get(upstream, set())
        for prefix_hash in hashes:
            if prefix_hash in upstream_hashes:
                upstream_hashes.remove(prefix_hash)
                self._remove_pair(upstream, prefix_hash)

    def remove_upstream(self, upstream: str) -> None:
        """Remove all prefixes of an upstream and its position in the events."""
        for prefix_hash in self._hashes_by_upstream.pop(upstream, set()):
            self._remove_pair(upstream, prefix_hash)
        self._positions.pop(upstream, None)

    def apply_event(
        self, sender: InstanceId, message: PrefixHeld, *, upstream: str
    ) -> bool:
        """Apply an agent's event; return False after a gap or a restart.

        Events are numbered within an incarnation. After a gap, a restart or a
        reset a removal may have been missed, and requests would wait for an
        upstream whose cache is cold, so the upstream's earlier prefixes are
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

        `hashes` are those of a prompt, each of a block of `block_tokens`; only
        blocks cached contiguously from the first count. Upstreams with none are
        left out.
        """
        tokens: dict[str, int] = {}
        contiguous_holders: set[str] | None = None
        for number, prefix_hash in enumerate(hashes, start=1):
            holders = self._upstreams_by_hash.get(prefix_hash, set())
            contiguous_holders = (
                set(holders)
                if contiguous_holders is None
                else contiguous_holders & holders
            )
            if not contiguous_holders:
                break
            tokens.update(dict.fromkeys(contiguous_holders, number * block_tokens))
        for prefix_hash in reversed(hashes):
            if prefix_hash in self._upstreams_by_hash:
                self._upstreams_by_hash.move_to_end(prefix_hash)
        return tokens

    def _remove_pair(self, upstream: str, prefix_hash: str) -> None:
        holders = self._upstreams_by_hash[prefix_hash]
        holders.remove(upstream)
        self._pair_count -= 1
        if not holders:
            del self._upstreams_by_hash[prefix_hash]

    def _evict_oldest(self) -> None:
        prefix_hash, holders = self._upstreams_by_hash.popitem(last=False)
        self._pair_count -= len(holders)
        for upstream in holders:
            self._hashes_by_upstream[upstream].discard(prefix_hash)
