"""Holds bodies until they are whole, in memory that is accounted for."""

import mmap

from lavenderspoke.resources.clientmemory import (
    CLIENT_MEMORY,
    SMALL_BYTES,
    ClientMemory,
    Hold,
    Holding,
)

# A body's account grows in steps of this many bytes.
STEP_BYTES = 64 * 1024


class HeldBytes(bytes):
    """Bytes that are given back to their account once nothing refers to them."""

    hold: Hold | None = None


class HeldBody:
    """The bytes of one body so far, a context manager.

    A large body is held in pages of its own, which return to the system at once: freed
    parts of a thread's heap may not. What needs room waits for it up to `wait_s`.

    >>> with HeldBody(kind=Holding.ANSWERS, bytes_max=3) as body:
    ...     body.append(b"ab"), body.append(b"c"), body.value(), body.append(b"d")
    (True, True, b'abc', False)
    """

    def __init__(
        self,
        *,
        kind: Holding,
        bytes_max: int,
        memory: ClientMemory = CLIENT_MEMORY,
        owner: str = "",
    ):
        self.size = 0
        self._bytes_max = bytes_max
        self._hold = Hold(memory=memory, kind=kind, owner=owner)
        self._small = bytearray()
        self._map: mmap.mmap | None = None

    def __enter__(self) -> "HeldBody":
        return self

    def __exit__(self, *error) -> None:
        if self._map is not None:
            self._map.close()
            self._map = None

    def expect(self, size: int, *, wait_s: float = 0.0) -> bool:
        """Make room for a body of that length; return False if there is none."""
        if size <= SMALL_BYTES or size <= self._hold.size:
            return True
        # In steps, since an account is slower than the bytes.
        wanted = min(-(-size // STEP_BYTES) * STEP_BYTES, self._bytes_max)
        return self._hold.grow(wanted, wait_s=wait_s)

    def append(self, data: bytes, *, wait_s: float = 0.0) -> bool:
        """Add bytes; return False, and hold none of them, if there is no room."""
        size = self.size + len(data)
        if size > self._bytes_max or not self.expect(size, wait_s=wait_s):
            return False
        if size <= SMALL_BYTES:
            self._small += data
        else:
            self._open_map().write(data)
        self.size = size
        return True

    def value(self) -> bytes:
        """Return all bytes; they are accounted for as long as they are referred to."""
        if self._map is None:
            return bytes(self._small)
        with memoryview(self._map) as view, view[: self.size] as content:
            value = HeldBytes(content)
        value.hold = self._hold
        return value

    def _open_map(self) -> mmap.mmap:
        if self._map is None:
            self._map = mmap.mmap(-1, self._bytes_max)
            self._map.write(self._small)
            self._small = bytearray()
        return self._map
