"""Selects the entries that an agent announces itself to.

A large fleet has too many daemons for each to talk to all others. Each agent picks a
fixed number of entries by rendezvous hashing: it ranks the entries by a hash of both
names and takes the first. Picks spread evenly, need no coordination, and change only
where an entry is added or removed.
"""

from lavenderspoke.membership.memberlist import Member
from lavenderspoke.model import rendezvous_hash


def choose_entries(
    own_name: str, own_data_centre: str, entries: tuple[Member, ...], count: int
) -> tuple[str, ...]:
    """Return the names of at most `count` entries, nearest first.

    Entries of the agent's own data centre go first. Half of the places, rounded
    down, are reserved for other data centres as far as these have entries, so that
    upstreams stay reachable when all entries of their data centre fail.
    """
    ranked = sorted(entries, key=lambda entry: rendezvous_hash(own_name, entry.name))
    near = [entry for entry in ranked if entry.data_centre == own_data_centre]
    far = [entry for entry in ranked if entry.data_centre != own_data_centre]
    near_count = max(count - len(far), count - count // 2)
    chosen = near[:near_count]
    return tuple(each.name for each in chosen + far[: count - len(chosen)])
