"""What logs, counters and explanations call upstreams' signals."""

from collections.abc import Iterable, Mapping

import logbook

SIGNALS_METRIC = "upstream_signals"
LIMIT_NAMED = "upstream limits its requests"
LIMIT_ENDED = "upstream no longer limits its requests"
LEAVING = "upstream says that it leaves"
PAUSE = "upstream asks for a pause"
SHARE_LIMITED = "customer limited by its share"
SHARE_ENDED = "customer no longer limited by its share"
SPILLOVER_BEGAN = "data centre starts to spill over"
SPILLOVER_ENDED = "data centre no longer spills over"
STORE_WENT_BACK = "store went back to an older copy"
STORE_LOST = "store lost"
STORE_REGAINED = "store regained"
NOT_APPLIED = "records of the store not applied"
APPLIED_AGAIN = "records of the store applied again"
UNSTORED_IN_FORCE = "version in force that the store lacks"
ENDED = "upstream ended"
UNANSWERED = "request unanswered by an upstream"
QUARANTINED = "content quarantined"
QUARANTINE_ENDED = "content no longer quarantined"
QUARANTINE_READ = "content quarantined by another entry"
VERSIONS_LISTED = "versions of a service listed lately"
VERSIONS_NOT_READ = "versions of a service not read in time"
OVERDUE = "request is handled past its deadline"
LEAVING_REASON = "it says that it leaves"

# Marks a quarantined cause that is made of prompt parts, and what separates these.
PARTS_PREFIX = "part:"
PARTS_SEPARATOR = "+"

log = logbook.Logger(__name__)


def cause_of_parts(parts: Iterable[str]) -> str:
    """Return the name of the cause that prompt parts are together.

    >>> cause_of_parts({"5c1e", "91bd"})
    'part:5c1e+91bd'
    """
    return PARTS_PREFIX + PARTS_SEPARATOR.join(sorted(parts))


def parts_of(cause: str) -> frozenset[str]:
    """Return the parts that a cause is made of, none for the hash of a content."""
    if not cause.startswith(PARTS_PREFIX):
        return frozenset()
    return frozenset(cause.removeprefix(PARTS_PREFIX).split(PARTS_SEPARATOR))


def log_invalid(upstream: str, invalid: Mapping[str, str]) -> None:
    """Log the signals of an upstream whose values can't be used, by name."""
    for signal, value in invalid.items():
        log.warning(
            "invalid signal of an upstream ignored",
            upstream=upstream,
            signal=signal,
            value=value[:40],
        )


def limit_reason(per_s: float, wait_s: float) -> str:
    """Return why an upstream at its limit takes no request for so many seconds.

    >>> limit_reason(2.0, 0.31)
    'limit of 2 per s: next in 0.31 s'
    """
    return f"limit of {per_s:g} per s: next in {wait_s:.2f} s"


def pause_reason(pause_s: float) -> str:
    """Return why an upstream takes no request in a pause that lasts so long still."""
    return f"it asked for a pause: {pause_s:.2f} s left"
