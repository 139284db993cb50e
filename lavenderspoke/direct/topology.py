"""The gossip topology: which entry sends state to which others.

With all-to-all gossip the number of messages grows with the square of the entries, so
the interval between messages would have to grow too. Entries are therefore split by
data centre into groups of neighbours, which send their state to each other. For each
other group, one entry of a group forwards its neighbours' states to one member there,
chosen round robin, which forwards them to its own neighbours. An entry's work then
grows with the size of its group and the number of groups, and nearly all traffic stays
within a data centre.

There is no consensus. Each entry computes the topology from the peers it knows; while
these views differ, a message may arrive twice, or be missing until the next one. The
forwarder for a group is chosen by a hash of names among the neighbours that recently
sent a message themselves. So a killed forwarder is soon replaced, and a member that
fails to forward a message costs that one message.
"""

import math
import zlib
from collections import Counter
from collections.abc import Container, Mapping

# Up to this number of entries, all are neighbours.
FULL_MESH_ENTRIES_MAX = 16
# Average size of a group that a data centre is split into, at most.
GROUP_ENTRIES_MAX = 16


class GossipTopology:
    """The groups of entries, as seen by one of them.

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
        self._peers: Mapping[str, str] | None = None
        self._sent_counts: Counter[str] = Counter()
        self.neighbours: tuple[str, ...] = ()
        self.other_groups: dict[str, tuple[str, ...]] = {}

    def update(self, peers: Mapping[str, str]) -> None:
        """Recompute the groups; `peers` maps the other entries to data centres."""
        if peers == self._peers:
            return
        self._peers = dict(peers)
        groups = _groups({**peers, self._name: self._data_centre})
        own = groups[self._name]
        members: dict[str, list[str]] = {}
        for name in sorted(peers):
            members.setdefault(groups[name], []).append(name)
        self.neighbours = tuple(members.pop(own, ()))
        self.other_groups = {group: tuple(names) for group, names in members.items()}

    def forwards_to(self, group: str, direct_peers: Container[str]) -> bool:
        """Return whether this entry forwards its neighbours' states to a group.

        `direct_peers` are the entries that recently sent this one a message themselves.
        """
        candidates = [each for each in self.neighbours if each in direct_peers]
        return min([self._name, *candidates], key=_hash_key(group)) == self._name

    def next_recipient(self, group: str, live_peers: Container[str]) -> str | None:
        """Return the live member of a group to send to next, round robin, if any."""
        names = [name for name in self.other_groups[group] if name in live_peers]
        if not names:
            return None
        self._sent_counts[group] += 1
        return names[self._sent_counts[group] % len(names)]


def _groups(data_centres: Mapping[str, str]) -> dict[str, str]:
    """Return the group of each entry.

    Within its data centre, an entry is assigned to a group by a hash of its name, so
    adding or removing one entry moves no other while the number of groups is the same.
    """
    if len(data_centres) <= FULL_MESH_ENTRIES_MAX:
        return dict.fromkeys(data_centres, "")
    sizes = Counter(data_centres.values())
    return {
        name: f"{data_centre}/{_hash(name) % _group_count(sizes[data_centre])}"
        for name, data_centre in data_centres.items()
    }


def _group_count(size: int) -> int:
    """Return the number of groups for `size` entries, a power of two."""
    return 2 ** max(0, math.ceil(math.log2(size / GROUP_ENTRIES_MAX)))


def _hash_key(group: str):
    return lambda name: (_hash(f"{name} {group}"), name)


def _hash(text: str) -> int:
    return zlib.crc32(text.encode())
