"""The slots that the arrivals of each data centre's entries need, by service."""

import math
from collections import Counter, defaultdict
from collections.abc import Mapping

import attrs
import logbook

from lavenderspoke.observing.metrics import Metrics

# How long an entry's need counts after its last word: as long as it counts as live
# (`sharing.LIVE_TIMEOUT_S`).
DEMAND_TIMEOUT_S = 1.0
# An entry can't need more than so many times all slots of a service: bursts that were
# seen are of up to six times a usual load, over all entries together.
DEMAND_MAX_TIMES = 10.0
# Needs are summed in hundredths of a slot.
PER_SLOT = 100
# Services listed in one message at most; it bounds what a peer can make an entry keep.
SERVICES_MAX = 256
# Entries whose invalid rows are logged at most. All are counted.
SENDERS_LOGGED_MAX = 256
DEMAND_INVALID_METRIC = "direct_demand_invalid"

log = logbook.Logger(__name__)


@attrs.frozen(kw_only=True)
class _PeerRow:
    """What an entry said last, and when, by service, in hundredths of a slot."""

    data_centre: str
    heard_s: float
    needs: dict[str, int]


class PeerDemand:
    """The needs of the other entries, as they told them.

    A row that can't be true changes nothing: what the entry said before counts until
    its time is over. Sums are kept in whole hundredths of a slot and updated with each
    message, so that they don't depend on the order in which entries were heard, and
    cost the same with many entries.

    >>> demand = PeerDemand(metrics=Metrics())
    >>> demand.set_slots("chat", 30)
    >>> demand.merge_peer("e1", "a", {"chat": 4.0}, now_s=0.0)
    >>> demand.merge_peer("e2", "a", {"chat": -1.0}, now_s=0.0)
    >>> demand.remove_expired(now_s=0.9)
    >>> demand.totals("chat")
    {'a': 4.0}
    >>> demand.remove_expired(now_s=1.0)
    >>> demand.totals("chat")
    {}
    """

    def __init__(self, *, metrics: Metrics):
        self._metrics = metrics
        self._rows: dict[str, _PeerRow] = {}
        self._totals: defaultdict[str, Counter[str]] = defaultdict(Counter)
        self._slots: dict[str, int] = {}
        # Entries whose invalid rows were logged, until they leave.
        self._logged: set[str] = set()

    def set_slots(self, service: str, slots: int) -> None:
        """Set the slots of all data centres, against which needs are checked."""
        self._slots[service] = slots

    def merge_peer(
        self,
        sender: str,
        data_centre: str,
        needs: Mapping[str, float],
        now_s: float,
        *,
        age_s: float = 0.0,
    ) -> None:
        """Apply what an entry sent `age_s` seconds ago.

        Services without slots that are known here are left out.
        """
        invalid = [each for each in needs.items() if not self._is_valid(*each)]
        if invalid or len(needs) > SERVICES_MAX:
            self._record_invalid(sender, invalid)
            return
        if not needs and sender not in self._rows:
            return
        self._remove(sender)
        if age_s >= DEMAND_TIMEOUT_S:
            return
        row = _PeerRow(
            data_centre=data_centre,
            heard_s=now_s - age_s,
            needs={
                name: round(need * PER_SLOT)
                for name, need in needs.items()
                if name in self._slots
            },
        )
        self._rows[sender] = row
        self._add(row, 1)

    def drop(self, sender: str) -> None:
        """Remove an entry that has left."""
        self._remove(sender)
        self._logged.discard(sender)

    def remove_expired(self, now_s: float) -> None:
        """Remove what was said more than a second ago."""
        expired = [
            sender
            for sender, row in self._rows.items()
            if now_s >= row.heard_s + DEMAND_TIMEOUT_S
        ]
        for sender in expired:
            self._remove(sender)

    def totals(self, service: str) -> dict[str, float]:
        """Return the slots needed by data centre, of those not yet removed."""
        needs = self._totals.get(service, {})
        return {name: need / PER_SLOT for name, need in needs.items()}

    def _remove(self, sender: str) -> None:
        row = self._rows.pop(sender, None)
        if row is not None:
            self._add(row, -1)

    def _add(self, row: _PeerRow, sign: int) -> None:
        for service, need in row.needs.items():
            totals = self._totals[service]
            totals[row.data_centre] += sign * need
            if not totals[row.data_centre]:
                # Otherwise the tables would grow with each name ever heard.
                del totals[row.data_centre]
            if not totals:
                del self._totals[service]

    def _is_valid(self, service: str, need: float) -> bool:
        if not math.isfinite(need) or need < 0.0:
            return False
        slots = self._slots.get(service)
        return slots is None or need <= DEMAND_MAX_TIMES * max(1, slots)

    def _record_invalid(self, sender: str, rows: list[tuple[str, float]]) -> None:
        self._metrics.count(DEMAND_INVALID_METRIC, "row" if rows else "too_many")
        if sender in self._logged or len(self._logged) >= SENDERS_LOGGED_MAX:
            return
        self._logged.add(sender)
        service, need = rows[0] if rows else ("", 0.0)
        log.warning(
            "invalid demand of an entry ignored",
            entry=sender,
            service=service[:40],
            needed=str(need)[:40],
        )
