"""The slots and requests in flight of a service's upstreams, by version."""

from collections.abc import Mapping

import attrs


@attrs.frozen(kw_only=True)
class VersionLoad:
    """The slots and the requests in flight of a service's upstreams, by version."""

    slots: Mapping[str, int] = attrs.field(factory=dict)
    in_flight: Mapping[str, int] = attrs.field(factory=dict)

    def target_slots(self, target: str) -> int:
        """Return the number of slots of a roll-out's target."""
        return self.slots.get(target, 0)

    def other_slots(self, target: str) -> int:
        """Return the number of slots of all other versions."""
        return sum(count for each, count in self.slots.items() if each != target)

    def other_in_flight(self, target: str) -> int:
        """Return the number of requests in flight at all other versions."""
        return sum(count for each, count in self.in_flight.items() if each != target)
