"""Sums of what the other entries have running, waiting and held.

Folded as each message comes, so that a message costs what it says and not what all
entries say: summed up anew at each look, the tables of some hundred entries take more
processor time than their requests.
"""

from collections import Counter, defaultdict

from lavenderspoke.direct.messages import SharedState
from lavenderspoke.direct.pool import Load
from lavenderspoke.direct.scheduler import PeerCounts
from lavenderspoke.direct.tickets import Rank

RankRows = tuple[tuple[int, int, int], ...]
"""Customer rank, route rank and count."""


class PeerTotals:
    """The sums over the last states of all entries that are heard.

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
        self._running: dict[str, Load] | None = {}

    def names(self) -> list[str]:
        """Return the names of the entries that count."""
        return list(self._states)

    def put(self, name: str, state: SharedState) -> None:
        """Count an entry's state in place of the one before."""
        self.drop(name)
        self._states[name] = state
        self._add(state, 1)

    def drop(self, name: str) -> None:
        """Count an entry no more; one that doesn't count is left alone."""
        state = self._states.pop(name, None)
        if state is not None:
            self._add(state, -1)

    def loads(self) -> dict[str, Load]:
        """Return what runs at each upstream."""
        if self._running is None:
            self._running = {
                upstream_id: Load(
                    requests=count, prefill_tokens=self._prefill_tokens[upstream_id]
                )
                for upstream_id, count in self._requests.items()
            }
        return self._running

    def counts(self, service: str, *, age_s: float) -> PeerCounts:
        """Return what the entries have of one service, as old as the caller says."""
        return PeerCounts(
            waiting=_counts(self._waiting.get(service)),
            held=_counts(self._held.get(service)),
            entries=len(self._states),
            age_s=age_s,
        )

    def _add(self, state: SharedState, sign: int) -> None:
        self._running = None
        for upstream_id, (count, tokens) in state.running.items():
            self._requests[upstream_id] += sign * count
            self._prefill_tokens[upstream_id] += sign * tokens
            if not self._requests[upstream_id]:
                # Upstreams come and go for as long as an entry lives.
                del self._requests[upstream_id], self._prefill_tokens[upstream_id]
        for told, sums in ((state.waiting, self._waiting), (state.held, self._held)):
            for service, rows in told.items():
                _add_rows(sums[service], rows, sign)


def _add_rows(counts: Counter[Rank], rows: RankRows, sign: int) -> None:
    for customer_rank, route_rank, count in rows:
        counts[customer_rank, route_rank] += sign * count


def _counts(counts: Counter[Rank] | None) -> dict[Rank, int]:
    return {rank: count for rank, count in (counts or {}).items() if count}
