"""One account of the bytes that a process holds for its clients.

Whoever is about to hold bytes takes them here first, and gives them back when they are
freed. Small bodies aren't taken one by one: what each thread may hold of them is left
out of the account from the start.

    CLIENT_MEMORY.bytes_max = client_bytes(memory_bytes=150_000_000, threads=120)
"""

import enum
import threading
import time
from collections import Counter
from collections.abc import Callable

import logbook

from lavenderspoke.resources.processlimits import MB

# What a process without clients uses, its libraries and their caches.
CALM_BYTES = 64 * MB
# What the clients of a process may hold at least, however little memory it has.
CLIENT_BYTES_MIN = 16 * MB
# Bodies up to this length aren't taken one by one.
SMALL_BYTES = 64 * 1024
# What a thread holds that isn't taken one by one: a small body each way, a head, and
# what its client's socket has received and nobody has read.
THREAD_BYTES = 4 * SMALL_BYTES
# Part of the memory that is left to what the allocator can't use again.
USABLE_SHARE = 0.8
# Part of a kind's bytes that one owner may hold.
OWNER_SHARE = 0.5
# Requests that may wait for room at the same time. Answers wait without a limit: their
# requests have run.
WAITERS_MAX = 32
# How often those who wait ask for room to be made, in seconds.
ASK_AGAIN_S = 0.02

log = logbook.Logger(__name__)


class Holding(enum.Enum):
    """What is held for clients; each kind has a part of its own.

    Requests that wait for their answers thus can't take the room of these answers, and
    neither can keep new connections out.
    """

    CONNECTIONS = "connections"
    REQUESTS = "requests"
    ANSWERS = "answers"


SHARES = {
    Holding.CONNECTIONS: 0.3,
    Holding.REQUESTS: 0.35,
    Holding.ANSWERS: 0.35,
}


def client_bytes(*, memory_bytes: int, threads: int) -> int:
    """Return how much may be held for clients by a process with that much memory.

    >>> client_bytes(memory_bytes=150_000_000, threads=120)
    43634278
    """
    left_bytes = memory_bytes - CALM_BYTES - threads * THREAD_BYTES
    return max(CLIENT_BYTES_MIN, int(left_bytes * USABLE_SHARE))


class ClientMemory:
    """The account; thread-safe.

    `make_room`, if set, is called without the lock while somebody waits for a kind of
    bytes. It may close whoever holds some of them.

    >>> memory = ClientMemory(bytes_max=1000)
    >>> memory.take(Holding.REQUESTS, 300), memory.take(Holding.REQUESTS, 300)
    (True, False)
    >>> memory.give_back(Holding.REQUESTS, 300)
    >>> memory.held_bytes
    0
    """

    def __init__(self, *, bytes_max: int):
        self.bytes_max = bytes_max
        self.make_room: Callable[[Holding], None] | None = None
        self._changed = threading.Condition()
        self._held: Counter[Holding] = Counter()
        self._by_owner: Counter[tuple[Holding, str]] = Counter()
        self._waiters: Counter[Holding] = Counter()

    @property
    def held_bytes(self) -> int:
        """The bytes that are held now."""
        return sum(self._held.values())

    def share_bytes(self, kind: Holding) -> int:
        """Return the most that may be held of a kind."""
        return int(self.bytes_max * SHARES[kind])

    def take(self, kind: Holding, size: int, *, had: int = 0, owner: str = "") -> bool:
        """Take bytes that will be held; return False, and take none, without room.

        `had` is what was taken before for the same body.
        """
        with self._changed:
            return self._take(kind, size, had, owner)

    def wait_to_take(
        self,
        kind: Holding,
        size: int,
        *,
        had: int = 0,
        owner: str = "",
        wait_s: float,
    ) -> bool:
        """Take bytes, and wait for room if there is none; return False without any."""
        if self.take(kind, size, had=had, owner=owner):
            return True
        until_s = time.monotonic() + wait_s
        with self._changed:
            if kind is Holding.REQUESTS and self._waiters[kind] >= WAITERS_MAX:
                return False
            self._waiters[kind] += 1
        try:
            return self._wait(kind, size, had, owner, until_s)
        finally:
            with self._changed:
                self._waiters[kind] -= 1

    def give_back(self, kind: Holding, size: int, *, owner: str = "") -> None:
        """Note that bytes are held no more."""
        with self._changed:
            self._held[kind] -= size
            if owner:
                self._by_owner[kind, owner] -= size
                if not self._by_owner[kind, owner]:
                    del self._by_owner[kind, owner]
            self._changed.notify_all()

    def _wait(
        self, kind: Holding, size: int, had: int, owner: str, until_s: float
    ) -> bool:
        while (left_s := until_s - time.monotonic()) > 0.0:
            if self.make_room is not None:
                self.make_room(kind)
            with self._changed:
                if self._take(kind, size, had, owner):
                    return True
                self._changed.wait(min(left_s, ASK_AGAIN_S))
        return False

    def _take(self, kind: Holding, size: int, had: int, owner: str) -> bool:
        share_bytes = self.share_bytes(kind)
        # There is room for one body, whatever the memory: each that is in the limits is
        # served when nothing else is going on.
        is_alone = self._held[kind] == had
        if not is_alone and self._held[kind] + size > share_bytes:
            return False
        if owner:
            owned_bytes = self._by_owner[kind, owner]
            is_only_one = owned_bytes == had
            if not is_only_one and owned_bytes + size > share_bytes * OWNER_SHARE:
                return False
            self._by_owner[kind, owner] += size
        self._held[kind] += size
        return True


CLIENT_MEMORY = ClientMemory(bytes_max=CLIENT_BYTES_MIN)
"""The account of this process; a daemon sets its size as it starts."""


class Hold:
    """Bytes of an account that grow with what is held, given back when it is dropped.

    >>> memory = ClientMemory(bytes_max=1000)
    >>> hold = Hold(memory=memory, kind=Holding.ANSWERS)
    >>> hold.grow(200), hold.size, memory.held_bytes
    (True, 200, 200)
    >>> del hold
    >>> memory.held_bytes
    0
    """

    __slots__ = ("_memory", "_kind", "_owner", "size")

    def __init__(self, *, memory: ClientMemory, kind: Holding, owner: str = ""):
        self._memory = memory
        self._kind = kind
        self._owner = owner
        self.size = 0

    def grow(self, size: int, *, wait_s: float = 0.0) -> bool:
        """Hold that many bytes in all; return False if there is no room."""
        more = size - self.size
        if more > 0:
            named = {"had": self.size, "owner": self._owner}
            if wait_s > 0.0:
                named["wait_s"] = wait_s
                taken = self._memory.wait_to_take(self._kind, more, **named)
            else:
                taken = self._memory.take(self._kind, more, **named)
            if not taken:
                return False
            self.size = size
        return True

    def release(self) -> None:
        """Give all of it back; may be called again."""
        size, self.size = self.size, 0
        if size:
            self._memory.give_back(self._kind, size, owner=self._owner)

    __del__ = release
