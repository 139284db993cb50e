"""Hashes the leading blocks of a prompt.

A hash covers its block and all blocks before it, so equal hashes almost surely
mean prefixes that are equal up to whitespace.
"""

import hashlib
from itertools import pairwise

BLOCKS_MAX = 64
HASH_HEX_DIGITS = 16


def prefix_hashes(text: str, block_tokens: int) -> tuple[str, ...]:
    """Return the hashes of a prompt's complete leading blocks, longest prefix last.

    A block is `block_tokens` whitespace-separated words. At most `BLOCKS_MAX`
    blocks are hashed; a longer shared prefix counts as one of that length.

    >>> len(prefix_hashes("one two three four five", 2))
    2
    >>> prefix_hashes("a b c d", 2)[0] == prefix_hashes("a b x y", 2)[0]
    True
    """
    words_max = BLOCKS_MAX * block_tokens
    words = text.split(maxsplit=words_max)[:words_max]
    boundaries = range(0, len(words) + 1, block_tokens)
    hashes: list[str] = []
    previous_hash = ""
    for start, end in pairwise(boundaries):
        content = previous_hash + " " + " ".join(words[start:end])
        previous_hash = hashlib.sha256(content.encode()).hexdigest()[:HASH_HEX_DIGITS]
        hashes.append(previous_hash)
    return tuple(hashes)
