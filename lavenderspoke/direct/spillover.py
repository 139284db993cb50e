"""Spilling over: which data centre a request should go to.

Bytes between data centres are expensive, so a request belongs in its entry's own data
centre. Where the arrivals there need more slots than there are, the excess goes to the
others, in proportion to what is free there beyond the need of their own entries.

Every entry computes the same proportions from the same sums (`peerdemand`), without a
call for each request. They follow from arrivals, not from where requests were sent, so
that what spills over doesn't feed back and nothing oscillates.
"""

import enum
import math
from collections.abc import Mapping

import attrs
import logbook

from lavenderspoke.observing.metrics import Metrics
from lavenderspoke.observing.signals import SPILLOVER_BEGAN, SPILLOVER_ENDED

# Numbers of arrivals scatter by about the square root of their mean. A data centre
# starts to spill over when its need plus that many deviations exceeds its slots, which
# is when about one arrival in six finds no slot, and stops when there is room for twice
# as many. In between it keeps to what it does.
START_DEVIATIONS = 1.0
STOP_DEVIATIONS = 2.0
# The shortest time between two changes of direction. It bounds the log lines.
CHANGE_INTERVAL_S = 1.0
# Cost of leaving the data centre, as a share of the request's target at most: staying
# must not make an answer late. At a fifth of the target, requests that stay wait behind
# others that entries haven't reported yet, and some of their answers are late.
COST_TARGET_SHARE = 0.1
# Parts of that cost. A request that should go elsewhere rather stays than goes to a
# third data centre, and goes to one with free slots before one without.
HOME_COST_PART = 0.5
SPARE_COST_PART = 0.75
SPILLOVER_METRIC = "direct_spillover"

log = logbook.Logger(__name__)


class Spill(enum.Enum):
    """Why a request went to its data centre.

    - `HOME`: it stayed.
    - `AWAY`: it left, since the proportions or its estimates say so.
    - `NO_ROOM`: it left, since no upstream at home had a free slot for it.
    """

    HOME = "home"
    AWAY = "away"
    NO_ROOM = "away_no_room"


@attrs.frozen(kw_only=True)
class Preference:
    """The data centre that a request should go to, and what others cost."""

    home: str
    preferred: str
    costs_s: Mapping[str, float]
    other_s: float

    def cost_s(self, data_centre: str) -> float:
        """Return the seconds to add to an estimate for that data centre."""
        return self.costs_s.get(data_centre, self.other_s)


@attrs.frozen(kw_only=True)
class _Room:
    """What a data centre's slots have beyond the need of its own entries.

    `excess` is the need that doesn't fit there; one of both is zero.
    """

    spare: float
    excess: float


class Spillover:
    """The proportions of one service, as an entry in `home` sees them.

    The load it answers: data centres whose demand swings at different times, so that
    one is short of slots while another has some to spare.

    >>> spillover = Spillover(service="chat", home="a", metrics=Metrics())
    >>> spillover.update({"a": 30, "b": 30}, {"a": 40.0, "b": 5.0}, now_s=0.0)
    >>> spillover.proportions()
    {'a': 0.6034, 'b': 0.3966}
    >>> spillover.cost_s("b", target_s=1.0, draw=0.9)
    0.0
    >>> spillover.update({"a": 30, "b": 30}, {"a": 10.0, "b": 5.0}, now_s=2.0)
    >>> spillover.proportions()
    {'a': 1.0}
    """

    def __init__(self, *, service: str, home: str, metrics: Metrics):
        self._service = service
        self._home = home
        self._metrics = metrics
        self._slots: dict[str, int] = {}
        self._spilling: set[str] = set()
        self._changed_s: dict[str, float] = {}
        self._proportions: dict[str, float] = {}
        self._cost_parts: dict[str, float] = {}
        self.changes = 0

    @property
    def is_active(self) -> bool:
        """Whether there is a choice between data centres."""
        return len(self._slots) > 1

    @property
    def is_spilling(self) -> bool:
        """Whether the entry's own data centre spills over."""
        return self._home in self._spilling

    def update(
        self, slots: Mapping[str, int], demand: Mapping[str, float], now_s: float
    ) -> None:
        """Compute the proportions from the slots and the need by data centre."""
        # Sorted, so that no entry's sums depend on the order of its list.
        self._slots = {name: slots[name] for name in sorted(slots) if slots[name] > 0}
        names = sorted({*self._slots, self._home})
        if not self.is_active:
            names = []
        for gone in [each for each in self._changed_s if each not in names]:
            del self._changed_s[gone]
        self._spilling &= set(names)
        needs = {each: max(0.0, demand.get(each, 0.0)) for each in names}
        for each in names:
            self._update_direction(each, needs[each], now_s)
        rooms = {each: self._room(each, needs[each]) for each in names}
        self._proportions = self._home_proportions(rooms, needs)
        self._cost_parts = self._away_cost_parts(rooms)

    def proportions(self) -> dict[str, float]:
        """Return which share of the entry's requests should go to each data centre.

        Empty where there is no choice.
        """
        return dict(self._proportions)

    def preference(self, *, target_s: float, draw: float) -> Preference:
        """Return where a request with that target should go.

        `draw`, from 0 to 1, picks a data centre by the proportions.
        """
        cost_s = COST_TARGET_SHARE * max(0.0, target_s)
        preferred = self._preferred(draw)
        costs_s = {name: part * cost_s for name, part in self._cost_parts.items()}
        costs_s[self._home] = HOME_COST_PART * cost_s
        costs_s[preferred] = 0.0
        return Preference(
            home=self._home, preferred=preferred, costs_s=costs_s, other_s=cost_s
        )

    def no_preference(self) -> Preference:
        """Return that a request may go anywhere at no cost."""
        return Preference(home=self._home, preferred="", costs_s={}, other_s=0.0)

    def cost_s(self, data_centre: str, *, target_s: float, draw: float = 0.0) -> float:
        """Return the seconds added to an estimate, of a request as in `preference`."""
        return self.preference(target_s=target_s, draw=draw).cost_s(data_centre)

    def record(self, data_centre: str, spill: Spill) -> None:
        """Count a request that was sent to that data centre."""
        self._metrics.count(SPILLOVER_METRIC, f"{data_centre}:{spill.value}")

    def reason(self, data_centre: str, spill: Spill) -> str:
        """Return why a request left its data centre, empty if it didn't."""
        if spill is Spill.HOME:
            return ""
        if spill is Spill.NO_ROOM:
            return f"to {data_centre}: no free slot in {self._home}"
        if self.is_spilling:
            return f"to {data_centre}: {self._home} spills over"
        return f"to {data_centre}: answers sooner than {self._home}"

    def _update_direction(self, name: str, need: float, now_s: float) -> None:
        """Start or stop spilling over, with hysteresis."""
        is_spilling = name in self._spilling
        deviations = STOP_DEVIATIONS if is_spilling else START_DEVIATIONS
        is_short = need > _carried(self._slots.get(name, 0), deviations)
        changed_s = self._changed_s.get(name)
        # A clock that jumps back must not hold a direction for long.
        is_recent = (
            changed_s is not None and 0.0 <= now_s - changed_s < CHANGE_INTERVAL_S
        )
        if is_short == is_spilling or is_recent:
            return
        self._changed_s[name] = now_s
        self._spilling ^= {name}
        if name == self._home:
            self.changes += 1
            log.info(
                SPILLOVER_BEGAN if is_short else SPILLOVER_ENDED,
                service=self._service,
                data_centre=name,
                slots=self._slots.get(name, 0),
                needed=round(need, 1),
            )

    def _room(self, name: str, need: float) -> _Room:
        room = _carried(self._slots.get(name, 0), STOP_DEVIATIONS) - need
        is_spilling = name in self._spilling
        return _Room(
            spare=max(0.0, room), excess=max(0.0, -room) if is_spilling else 0.0
        )

    def _home_proportions(
        self, rooms: Mapping[str, _Room], needs: Mapping[str, float]
    ) -> dict[str, float]:
        """Return the shares of the own data centre's requests.

        Where the others have less to spare than is in excess, each data centre sends
        out the same part of its excess, and the rest stays.
        """
        if not rooms:
            return {}
        excess = sum(each.excess for each in rooms.values())
        spare = sum(each.spare for each in rooms.values())
        own_excess = rooms[self._home].excess
        if not own_excess or not spare:
            return {self._home: 1.0}
        leaving = min(1.0, spare / excess) * own_excess / needs[self._home]
        shares = {
            name: leaving * each.spare / spare
            for name, each in rooms.items()
            if each.spare
        }
        rounded = {name: round(share, 4) for name, share in shares.items()}
        return {self._home: round(1.0 - sum(rounded.values()), 4), **rounded}

    def _away_cost_parts(self, rooms: Mapping[str, _Room]) -> dict[str, float]:
        """Return the cost of each other data centre as a part of the largest."""
        most = max((each.spare for each in rooms.values()), default=0.0) or 1.0
        return {
            name: 1.0 - (1.0 - SPARE_COST_PART) * each.spare / most
            for name, each in rooms.items()
        }

    def _preferred(self, draw: float) -> str:
        for name, share in self._proportions.items():
            draw -= share
            if draw < 0.0:
                return name
        return self._home


def _carried(slots: float, deviations: float) -> float:
    """Return the need that, with so many deviations on top, takes all slots.

    >>> _carried(30, 1.0)
    25.0
    """
    root = (math.sqrt(deviations * deviations + 4.0 * slots) - deviations) / 2.0
    return root * root
