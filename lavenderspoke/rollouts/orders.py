"""What operators order, and how far a roll-out has come."""

import enum

import attrs


@attrs.frozen(kw_only=True)
class Order:
    """An operator's order to move a service to a version within `duration_s`.

    Of two orders for a service the one with the higher `number` counts.
    """

    service: str
    target: str
    duration_s: float
    number: int


class Stage(enum.IntEnum):
    """How far a roll-out has come; of two stages that entries name the later counts.

    It may be stopped at any stage before `COMPLETED`. The last two are final, and
    only the platform's store says so: of two entries that want to end it differently,
    the one whose record was taken decides.
    """

    ORDERED = 0  # whether it has ended before is not yet known
    CANARY = 1  # a small share of the requests goes to the target
    LOADED = 2  # a larger one does, to see the target under load
    MOVING = 3  # all do, and the other versions finish what they have
    STOPPED = 4  # none do: the target is bad
    COMPLETED = 5
    ROLLED_BACK = 6

    @property
    def is_final(self) -> bool:
        """Whether nothing more happens to the roll-out."""
        return self in (Stage.COMPLETED, Stage.ROLLED_BACK)


class Access(enum.Enum):
    """Which requests an upstream may get."""

    OPEN = "open"
    CANARY = "canary"
    CLOSED = "closed"
