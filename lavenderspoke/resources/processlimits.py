"""The memory and descriptors that a process may use."""

import os
import resource

import attrs

MB = 1_000_000
# Share of the machine's memory for one process that isn't told its own.
MACHINE_SHARE = 0.25
# Part of the descriptors that callers' connections may take. Upstreams, the store, the
# other daemons and files need the rest.
CALLERS_SHARE = 0.5
# The same where agents stand between, and requests need no connection of their own.
CALLERS_SHARE_BEFORE_AGENTS = 0.8
# Descriptors of a process whose system names no limit.
DESCRIPTORS_DEFAULT = 65_536


@attrs.frozen(kw_only=True)
class ProcessLimits:
    """Bytes of memory and number of descriptors; beyond the former it is killed."""

    memory_bytes: int
    descriptors: int


def process_limits(
    *, memory_mb: float | None = None, descriptors: int | None = None
) -> ProcessLimits:
    """Return the limits as told, and what the system says of those that weren't.

    >>> process_limits(memory_mb=150, descriptors=4100)
    ProcessLimits(memory_bytes=150000000, descriptors=4100)
    """
    told_bytes = round(memory_mb * MB) if memory_mb else None
    return ProcessLimits(
        memory_bytes=told_bytes or round(_machine_bytes() * MACHINE_SHARE),
        descriptors=descriptors or _descriptors(),
    )


def client_connections(descriptors: int, share: float = CALLERS_SHARE) -> int:
    """Return how many connections callers may have.

    >>> client_connections(4100)
    2050
    """
    return int(descriptors * share)


def _machine_bytes() -> int:
    return os.sysconf("SC_PAGE_SIZE") * os.sysconf("SC_PHYS_PAGES")


def _descriptors() -> int:
    soft, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    return soft if 0 < soft < DESCRIPTORS_DEFAULT else DESCRIPTORS_DEFAULT
