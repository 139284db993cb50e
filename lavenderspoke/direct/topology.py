"""Which entry tells which others what.

Where each tells all, messages grow with the square of the entries, and they have to
tell each other more rarely the more they are. So entries are arranged in groups of
neighbours, by data centre. Neighbours tell each other. For each other group, one
entry of a group passes on what its neighbours told: to one entry there, in turn, which
passes it on to its own neighbours. What an entry does then grows with its group and the
number of groups, and nearly all bytes stay within a data centre.

Nothing is agreed on. Each entry arranges the others by what it knows itself; while that
differs, a message comes twice or is missing until the next one. Who passes on for a
group follows from a hash of names over those that speak. A killed entry that did so is
replaced as soon as it counts as mute, and one that is to pass a message on and can't
costs that one message.
"""

import math
import zlib
from collections import Counter
from collections.abc import Container, Mapping

# Up to so many entries all tell each other.
MESH_MAX = 16
# A data centre's entries are split into as many groups as keep each within this size.
GROUP_MAX = 16


class GossipTopology:
    """How the entries are arranged, as one of them sees it.

    >>> topology = GossipTopology(name="a", data_centre="x")
    >>> topology.update({"b": "x", "c": "y"})
    >>> topology.neighbours
    ('b', 'c')
    >>> topology.other_groups
    {}
    """

    def __init__(self, *, name: str, data_centre: str):
        self._name = name
        self._data_centre = data_centre
        self._arranged: Mapping[str, str] | None = None
        self._turns: Counter[str] = Counter()
        self.neighbours: tuple[str, ...] = ()
        self.other_groups: dict[str, tuple[str, ...]] = {}

    def update(self, peers: Mapping[str, str]) -> None:
        """Arrange this entry and the others, whose data centres are given by name."""
        if peers == self._arranged:
            return
        self._arranged = dict(peers)
        groups = _groups({**peers, self._name: self._data_centre})
        own = groups[self._name]
        members: dict[str, list[str]] = {}
        for name in sorted(peers):
            members.setdefault(groups[name], []).append(name)
        self.neighbours = tuple(members.pop(own, ()))
        self.other_groups = {group: tuple(names) for group, names in members.items()}

    def forwards_to(self, group: str, speaking: Container[str]) -> bool:
        """Return whether this entry passes on to a group what its neighbours tell.

        `speaking` holds the entries that told something just now.
        """
        candidates = [each for each in self.neighbours if each in speaking]
        return min([self._name, *candidates], key=_weight(group)) == self._name

    def next_recipient(self, group: str, heard: Container[str]) -> str | None:
        """Return who in a group is told next, of those that were heard just now."""
        names = [name for name in self.other_groups[group] if name in heard]
        if not names:
            return None
        self._turns[group] += 1
        return names[self._turns[group] % len(names)]


def _groups(data_centres: Mapping[str, str]) -> dict[str, str]:
    """Return the group of each entry.

    Which of its data centre's groups one belongs to follows from its name alone, so
    that one entry more or less moves no other one.
    """
    if len(data_centres) <= MESH_MAX:
        return dict.fromkeys(data_centres, "")
    sizes = Counter(data_centres.values())
    return {
        name: f"{data_centre}/{_hash(name) % _parts(sizes[data_centre])}"
        for name, data_centre in data_centres.items()
    }


def _parts(size: int) -> int:
    """Return into how many groups so many entries are split: a power of two."""
    return 2 ** max(0, math.ceil(math.log2(size / GROUP_MAX)))


def _weight(group: str):
    return lambda name: (_hash(f"{name} {group}"), name)


def _hash(text: str) -> int:
    return zlib.crc32(text.encode())
