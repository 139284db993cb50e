"""Makes the C library give freed memory back to the system.

By default it raises the size from which blocks are mapped one by one to that of the
largest freed one, and gives each thread a heap of its own. What a crowd of clients had
would then stay with the process.
"""

import ctypes

import logbook

# Parameters of mallopt, from malloc.h of the GNU C library.
M_MMAP_THRESHOLD = -3
M_ARENA_MAX = -8
MAPPED_BYTES_MIN = 128 * 1024
HEAPS_MAX = 2

log = logbook.Logger(__name__)


def give_back_freed() -> None:
    """Have large blocks mapped one by one, and few heaps; call it before any thread."""
    try:
        mallopt = ctypes.CDLL(None).mallopt
    except (OSError, AttributeError) as error:
        # Another C library.
        log.debug("allocator left as it is", error=str(error))
        return
    mallopt(M_MMAP_THRESHOLD, MAPPED_BYTES_MIN)
    mallopt(M_ARENA_MAX, HEAPS_MAX)
