"""How much of everything a seed starts."""

import attrs

from soak.events import DESKS, ENTRIES, MODELS

# Every so many seeds one is larger, so that its threads wait for cores.
LARGE_EVERY = 10


@attrs.frozen(kw_only=True)
class Size:
    """The names of the entries and upstreams, and the number of callers.

    The first ones are those that all seeds have; schedules name no others.
    """

    entries: tuple[str, ...] = ENTRIES
    models: tuple[str, ...] = MODELS
    desks: tuple[str, ...] = DESKS
    callers: int = 8

    @property
    def upstreams(self) -> tuple[str, ...]:
        """All upstreams of both services."""
        return self.models + self.desks


USUAL = Size()
LARGE = Size(
    entries=(*ENTRIES, "entry-4", "entry-5", "entry-6"),
    models=(*MODELS, "model-4", "model-5"),
    desks=(*DESKS, "desk-3", "desk-4"),
    callers=32,
)


def size_of(seed: int) -> Size:
    """Return how much a seed starts.

    >>> size_of(7).callers
    8
    """
    return USUAL if seed % LARGE_EVERY else LARGE
