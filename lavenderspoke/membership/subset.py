"""Which of many entries an agent announces itself to.

At the size aimed at no daemon may speak to all others. Each agent picks a fixed
number of entries by rendezvous hashing: every agent ranks the entries by a hash
of both names and takes the highest. So picks spread evenly, need no
coordination, and change only where an entry comes or goes.
"""

import hashlib

from lavenderspoke.membership.memberlist import Member


def choose_entries(
    own_name: str, own_data_centre: str, entries: tuple[Member, ...], count: int
) -> tuple[str, ...]:
    """Return the names of at most `count` entries, nearest first.

    Entries of the agent's own data centre go first; half of the places are kept
    for others where there are any, so that losing a data centre's entries
    leaves its upstreams reachable.
    """
    ranked = sorted(entries, key=lambda entry: rendezvous_hash(own_name, entry.name))
    near = [entry for entry in ranked if entry.data_centre == own_data_centre]
    far = [entry for entry in ranked if entry.data_centre != own_data_centre]
    near_count = max(count - len(far), count - count // 2)
    chosen = near[:near_count]
    return tuple(each.name for each in chosen + far[: count - len(chosen)])


def rendezvous_hash(agent_name: str, entry_name: str) -> bytes:
    """Return what an agent ranks an entry by; the same on every machine."""
    return hashlib.sha256(f"{agent_name}\0{entry_name}".encode()).digest()
