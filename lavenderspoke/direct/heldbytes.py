"""Holds the bodies of responses until they are whole, in bounded memory."""

import mmap
import threading

# Up to this length, in bytes, a body doesn't count against the memory for all: nearly
# all are shorter, and long ones can't keep them out.
FREE_BYTES = 128 * 1024
# The memory for the bodies of a process that are longer, in bytes.
HELD_BYTES_MAX = 24 * 1024 * 1024


class HeldBytes:
    """A budget of bytes that bodies share; thread-safe."""

    def __init__(self, *, bytes_max: int):
        self._bytes_max = bytes_max
        self._lock = threading.Lock()
        self._taken = 0

    def change(self, before: int, size: int) -> bool:
        """Replace a share of the budget by another one; return False if too large."""
        with self._lock:
            if size > before and self._taken - before + size > self._bytes_max:
                return False
            self._taken += size - before
            return True


HELD_BYTES = HeldBytes(bytes_max=HELD_BYTES_MAX)
"""The budget of this process."""


class HeldBody:
    """The bytes of one body so far, a context manager that releases them.

    >>> with HeldBody(budget=HELD_BYTES, bytes_max=3) as body:
    ...     body.append(b"ab"), body.append(b"c"), body.value(), body.append(b"d")
    (True, True, b'abc', False)
    """

    def __init__(self, *, budget: HeldBytes, bytes_max: int):
        self._budget = budget
        self._bytes_max = bytes_max
        self._size = 0
        self._counted = 0
        self._parts: list[bytes] = []
        # Unlike freed parts of a thread's heap, its pages return to the system at once.
        self._map: mmap.mmap | None = None

    def __enter__(self) -> "HeldBody":
        return self

    def __exit__(self, *error) -> None:
        self._budget.change(self._counted, 0)
        if self._map is not None:
            self._map.close()

    def append(self, data: bytes) -> bool:
        """Add bytes; return False, and hold none of them, if there is no room."""
        size = self._size + len(data)
        counted = size if size > FREE_BYTES else 0
        if size > self._bytes_max or not self._budget.change(self._counted, counted):
            return False
        self._size, self._counted = size, counted
        if not counted:
            self._parts.append(data)
            return True
        if self._map is None:
            self._map = mmap.mmap(-1, self._bytes_max)
            self._map.write(b"".join(self._parts))
            self._parts.clear()
        self._map.write(data)
        return True

    def value(self) -> bytes:
        """Return all bytes."""
        if self._map is None:
            return b"".join(self._parts)
        return self._map[: self._size]
