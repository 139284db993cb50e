"""The proportions of all services between data centres, as one entry computes them."""

from collections.abc import Iterable, Mapping

from lavenderspoke.direct.messages import SharedState
from lavenderspoke.direct.peerdemand import PeerDemand
from lavenderspoke.direct.spillover import Spillover
from lavenderspoke.observing.metrics import Metrics

# Time between two computations of the proportions. Rates of arrival are averages over
# two seconds, so they hardly change in less.
UPDATE_INTERVAL_S = 0.1
# Decimals of the slots needed that are told: less than a hundredth of a slot is none.
NEED_DECIMALS = 2


class Spillovers:
    """One `Spillover` for each service, and the needs that they rest on.

    With `is_on` false, or for an entry without a data centre, there are none, nothing
    is told to other entries, and what they tell is ignored.
    """

    def __init__(self, *, data_centre: str, is_on: bool, metrics: Metrics):
        self._data_centre = data_centre
        self._is_on = is_on and bool(data_centre)
        self._metrics = metrics
        self._demand = PeerDemand(metrics=metrics)
        self._services: dict[str, Spillover] = {}
        self._own_needs: dict[str, float] = {}
        self._updated_s = float("-inf")

    def of(self, service: str) -> Spillover | None:
        """Return a service's proportions, or None if they are switched off."""
        if not self._is_on:
            return None
        if service not in self._services:
            self._services[service] = Spillover(
                service=service, home=self._data_centre, metrics=self._metrics
            )
        return self._services[service]

    def is_due(self, now_s: float) -> bool:
        """Return whether the proportions should be computed again."""
        return self._is_on and not (0.0 <= now_s - self._updated_s < UPDATE_INTERVAL_S)

    def update(
        self, services: Iterable[tuple[str, Mapping[str, int], float]], now_s: float
    ) -> None:
        """Compute the proportions.

        A row of `services` is a service, its slots by data centre, and the slots that
        the arrivals at this entry need.
        """
        self._updated_s = now_s
        self._own_needs = {}
        self._demand.remove_expired(now_s)
        for service, slots, own_need in services:
            spillover = self.of(service)
            if spillover is None:
                continue
            self._demand.set_slots(service, sum(slots.values()))
            demand = self._demand.totals(service)
            demand[self._data_centre] = demand.get(self._data_centre, 0.0) + own_need
            spillover.update(slots, demand, now_s)
            own_need = round(own_need, NEED_DECIMALS)
            if spillover.is_active and own_need:
                self._own_needs[service] = own_need

    def rows(self) -> dict[str, float]:
        """Return this entry's needs for `SharedState.demand`."""
        return self._own_needs

    def merge_peer(
        self, sender: str, state: SharedState, now_s: float, *, age_s: float = 0.0
    ) -> None:
        """Apply another entry's needs, sent `age_s` seconds ago."""
        if not self._is_on:
            return
        if state.leaving:
            self._demand.drop(sender)
            return
        self._demand.merge_peer(
            sender, state.data_centre, state.demand, now_s, age_s=age_s
        )
