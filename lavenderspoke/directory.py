"""Where the other daemons listen, by the name of their instance."""

import threading

from lavenderspoke.membership.memberlist import Member, Role
from lavenderspoke.messages import Announce, EntryAnnounce, Message

SCHEME = "tcp://"


class Directory:
    """The directory learns addresses from the platform's list and from the
    daemons themselves; what a daemon says of itself goes first."""

    def __init__(self, *, own_name: str):
        self._own_name = own_name
        self._lock = threading.Lock()
        self._listed: dict[str, Member] = {}
        self._said: dict[str, str] = {}

    def listed(self, members: tuple[Member, ...]) -> None:
        """Take the platform's list."""
        with self._lock:
            self._listed = {member.name: member for member in members}

    def heard(self, name: str, message: Message) -> None:
        """Take an announcement's own address."""
        if isinstance(message, (Announce, EntryAnnounce)) and message.address:
            with self._lock:
                self._said[name] = message.address

    def learn(self, name: str, address: str) -> None:
        """Take an address from elsewhere, if nothing better is known."""
        with self._lock:
            self._said.setdefault(name, address)

    def address(self, name: str) -> str | None:
        """Return where an instance listens, if that is known."""
        with self._lock:
            if name in self._said:
                return self._said[name]
            member = self._listed.get(name)
        return None if member is None else with_scheme(member.address)

    def members(self, role: Role) -> tuple[Member, ...]:
        """Return the listed instances of a role, without this one."""
        with self._lock:
            return tuple(
                member
                for member in self._listed.values()
                if member.role is role and member.name != self._own_name
            )

    def leaving(self) -> frozenset[str]:
        """Return the instances that the list says are leaving."""
        with self._lock:
            return frozenset(m.name for m in self._listed.values() if m.leaving)


def with_scheme(address: str) -> str:
    """Return an address as pynng takes it.

    >>> with_scheme("127.0.0.1:7400")
    'tcp://127.0.0.1:7400'
    """
    return address if address.startswith(SCHEME) else SCHEME + address
