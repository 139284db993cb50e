"""Operators' orders, the stages of a roll-out, and the access of upstreams."""

import enum

import attrs


@attrs.frozen(kw_only=True)
class Order:
    """An operator's order to move a service to a version within `duration_s`.

    Of two orders for a service, the one with the higher `number` applies.
    """

    service: str
    target: str
    duration_s: float
    number: int


class Stage(enum.IntEnum):
    """The stage of a roll-out; if entries report different stages, the later applies.

    A roll-out may be stopped at any stage before `COMPLETED`. The last two stages are
    final and set by the platform's store only: if two entries try to end the roll-out
    differently, the one whose record was accepted decides.
    """

    ORDERED = 0  # not yet known whether it has ended already
    CANARY = 1  # the target receives a small share of the requests
    LOADED = 2  # the target receives a larger share, to test it under load
    MOVING = 3  # the target receives all requests; other versions drain
    STOPPED = 4  # the target receives none: it is bad, or withdrawn
    COMPLETED = 5
    ROLLED_BACK = 6

    @property
    def is_final(self) -> bool:
        """Whether the roll-out has ended."""
        return self in (Stage.COMPLETED, Stage.ROLLED_BACK)


class Access(enum.Enum):
    """Which requests an upstream may receive."""

    OPEN = "open"
    CANARY = "canary"
    CLOSED = "closed"
