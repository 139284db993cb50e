"""The engine stand-in's prefix cache: block hashes, least recently used first."""

import hashlib
import time
from collections import OrderedDict, deque

import attrs

CHANGES_KEPT = 20_000


def block_hashes(words: list[str], block_tokens: int) -> list[str]:
    """Return the chained hashes of a prompt's whole blocks.

    >>> block_hashes(["a", "b", "c"], 2) == block_hashes(["a", "b"], 2)
    True
    """
    hashes = []
    previous = ""
    for start in range(0, len(words) - block_tokens + 1, block_tokens):
        block = " ".join(words[start : start + block_tokens])
        digest = hashlib.sha256(f"{previous} {block}".encode())
        previous = digest.hexdigest()[:16]
        hashes.append(previous)
    return hashes


@attrs.frozen(kw_only=True)
class CacheChange:
    """A block came into the cache or left it."""

    sequence: int
    added: bool
    hash: str
    at_s: float


class PrefixCache:
    """Holds so many blocks and remembers its last changes."""

    def __init__(self, *, blocks_max: int):
        self._blocks_max = blocks_max
        self._blocks: OrderedDict[str, None] = OrderedDict()
        self._changes: deque[CacheChange] = deque(maxlen=CHANGES_KEPT)
        self._sequence = 0

    def __len__(self) -> int:
        return len(self._blocks)

    def leading(self, hashes: list[str]) -> int:
        """Return how many leading blocks are held, and use them."""
        for number, each in enumerate(hashes):
            if each not in self._blocks:
                return number
            self._blocks.move_to_end(each)
        return len(hashes)

    def insert(self, hashes: list[str]) -> None:
        """Hold a prompt's blocks; its later blocks are the first to leave."""
        for each in reversed(hashes):
            if each not in self._blocks:
                self._change(True, each)
            self._blocks[each] = None
            self._blocks.move_to_end(each)
        while len(self._blocks) > self._blocks_max:
            dropped, _ = self._blocks.popitem(last=False)
            self._change(False, dropped)

    def since(self, sequence: int, until_s: float) -> list[CacheChange]:
        """Return the changes after that sequence number and up to that time."""
        changes = []
        for each in reversed(self._changes.copy()):
            if each.sequence <= sequence:
                break
            if each.at_s <= until_s:
                changes.append(each)
        return changes[::-1]

    def _change(self, added: bool, block_hash: str) -> None:
        self._changes.append(
            CacheChange(
                sequence=self._sequence,
                added=added,
                hash=block_hash,
                at_s=time.monotonic(),
            )
        )
        self._sequence += 1
