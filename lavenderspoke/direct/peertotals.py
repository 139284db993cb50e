"""Sums of the other entries' requests: in flight by upstream, waiting and held by rank.

Updated with each message, at a cost that depends on that message only: summing the
tables of about a hundred entries at each use took more processor time than their
requests.
"""

from collections import Counter, defaultdict

from lavenderspoke.direct.messages import SharedState
from lavenderspoke.direct.peercounts import PeerCounts
from lavenderspoke.direct.tickets import Rank
from lavenderspoke.direct.upstreamstate import Load

RankRows = tuple[tuple[int, int, int], ...]
"""Customer rank, route rank and count."""


class PeerTotals:
    """The sums over the last states of the entries put and not dropped.

    >>> totals = PeerTotals()
    >>> totals.put("a", SharedState(address="", running={"u": (2, 900)}))
    >>> totals.put("b", SharedState(address="", running={"u": (1, 0)}))
    >>> totals.loads()["u"].requests
    3
    >>> totals.drop("a")
    >>> totals.loads()["u"].requests
    1
    """

    def __init__(self):
        self._states: dict[str, SharedState] = {}
        self._requests: Counter[str] = Counter()
        self._prefill_tokens: Counter[str] = Counter()
        self._waiting: defaultdict[str, Counter[Rank]] = defaultdict(Counter)
        self._held: defaultdict[str, Counter[Rank]] = defaultdict(Counter)
        self._asking: defaultdict[str, Counter[tuple[Rank, str]]] = defaultdict(Counter)
        self._loads: dict[str, Load] | None = {}

    def names(self) -> list[str]:
        """Return the names of the entries that are included."""
        return list(self._states)

    def put(self, name: str, state: SharedState) -> None:
        """Add an entry's state in place of its previous one."""
        self.drop(name)
        self._states[name] = state
        self._add(state, 1)

    def drop(self, name: str) -> None:
        """Remove an entry's state, if it is included."""
        state = self._states.pop(name, None)
        if state is not None:
            self._add(state, -1)

    def loads(self) -> dict[str, Load]:
        """Return the load of each upstream."""
        if self._loads is None:
            self._loads = {
                upstream_id: Load(
                    requests=count, prefill_tokens=self._prefill_tokens[upstream_id]
                )
                for upstream_id, count in self._requests.items()
            }
        return self._loads

    def counts(self, service: str, *, age_s: float) -> PeerCounts:
        """Return the counts of one service; `age_s` is the mean age of the states."""
        return PeerCounts(
            waiting=_without_zeros(self._waiting.get(service)),
            held=_without_zeros(self._held.get(service)),
            asking=_by_rank(self._asking.get(service)),
            entries=len(self._states),
            age_s=age_s,
        )

    def _add(self, state: SharedState, sign: int) -> None:
        self._loads = None
        for upstream_id, (count, tokens) in state.running.items():
            self._requests[upstream_id] += sign * count
            self._prefill_tokens[upstream_id] += sign * tokens
            if not self._requests[upstream_id]:
                # Otherwise the tables would grow with each upstream ever listed.
                del self._requests[upstream_id], self._prefill_tokens[upstream_id]
        for rows_by_service, totals in (
            (state.waiting, self._waiting),
            (state.held, self._held),
        ):
            for service, rows in rows_by_service.items():
                _add_rows(totals[service], rows, sign)
        for service, rows in state.asking.items():
            totals = self._asking[service]
            for customer_rank, route_rank, customer, count in rows:
                key = (customer_rank, route_rank), customer
                totals[key] += sign * count
                if not totals[key]:
                    # Otherwise the table would grow with each customer ever known.
                    del totals[key]


def _add_rows(counts: Counter[Rank], rows: RankRows, sign: int) -> None:
    for customer_rank, route_rank, count in rows:
        counts[customer_rank, route_rank] += sign * count


def _by_rank(
    counts: Counter[tuple[Rank, str]] | None,
) -> dict[Rank, dict[str, int]]:
    asking: dict[Rank, dict[str, int]] = {}
    for (rank, customer), count in (counts or {}).items():
        # A peer's malformed count could be negative.
        if count > 0:
            asking.setdefault(rank, {})[customer] = count
    return asking


def _without_zeros(counts: Counter[Rank] | None) -> dict[Rank, int]:
    return {rank: count for rank, count in (counts or {}).items() if count}
