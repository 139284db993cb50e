"""How the leading blocks of a prompt are named.

A name covers its block and all before it, so equal names mean equal prefixes.
"""

import hashlib
from itertools import pairwise

BLOCKS_MAX = 64
HASH_DIGITS = 16


def prefix_hashes(text: str, block_tokens: int) -> tuple[str, ...]:
    """Return the names of a prompt's whole leading blocks, longest prefix last.

    A block is `block_tokens` whitespace-separated words. At most `BLOCKS_MAX`
    blocks are named; a longer shared prefix counts as one of that length.

    >>> len(prefix_hashes("one two three four five", 2))
    2
    >>> prefix_hashes("a b c d", 2)[0] == prefix_hashes("a b x y", 2)[0]
    True
    """
    words_max = BLOCKS_MAX * block_tokens
    words = text.split(maxsplit=words_max)[:words_max]
    starts = range(0, len(words) + 1, block_tokens)
    names: list[str] = []
    previous = ""
    for start, end in pairwise(starts):
        content = previous + " " + " ".join(words[start:end])
        previous = hashlib.sha256(content.encode()).hexdigest()[:HASH_DIGITS]
        names.append(previous)
    return tuple(names)
