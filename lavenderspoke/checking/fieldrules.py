"""What may stand in a field of settings and documents, as attrs metadata.

    @attrs.frozen(kw_only=True)
    class Tier:
        name: str = attrs.field(metadata=matching(NAME, "a name") | UNIQUE)
        rank: int = attrs.field(metadata=between(0, 1000) | UNIQUE)

Apart from the checker that reads YAML, so that daemons which read none need not
load it to know these classes.
"""

import ipaddress
import re
import typing
from collections.abc import Callable

NAME = r"[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?"

DAY_S = 24 * 60 * 60.0
"""The longest time that a field may name, in seconds."""

UNIQUE = {"unique": True}
NOT_EMPTY = {"not_empty": True}


def rule(test: Callable[[typing.Any], bool], allowed: str) -> dict:
    """Return metadata: a value must pass `test`, described by `allowed`."""
    return {"test": test, "allowed": allowed}


def between(low: float, high: float) -> dict:
    """Return metadata: a number must lie in the range, both ends included."""
    return rule(lambda value: low <= value <= high, f"from {low:,} to {high:,}")


def above(low: float, high: float) -> dict:
    """Return metadata: a number must be more than `low` and at most `high`."""
    return rule(lambda value: low < value <= high, f"above {low:,}, up to {high:,}")


def matching(pattern: str, allowed: str) -> dict:
    """Return metadata: text must match the whole regular expression."""
    return rule(lambda value: re.fullmatch(pattern, value) is not None, allowed)


def name() -> dict:
    """Return metadata: text must be a name."""
    return matching(NAME, "a name of a-z, 0-9 and '-', up to 63 characters")


def ip_address() -> dict:
    """Return metadata: text must be an IP number, since nothing resolves names."""
    return rule(_is_ip_address, "an IP number such as 127.0.0.1")


def refers_to(pattern: str) -> dict:
    """Return metadata: a value must stand elsewhere, as at `tiers[].name`."""
    return {"refers_to": pattern}


def not_above(field: str) -> dict:
    """Return metadata: a number may not exceed the top-level field's."""
    return {"not_above": field}


def not_below(field: str, times: int = 1) -> dict:
    """Return metadata: a number may not be less than the top-level field's,
    or than several times it.
    """
    return {"not_below": (field, times)}


def _is_ip_address(text: str) -> bool:
    try:
        ipaddress.ip_address(text)
    except ValueError:
        return False
    return True
