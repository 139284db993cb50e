"""Prefers upstreams to which a request needs no new connection.

Between candidates that should answer equally soon, an entry takes one to which it has
an idle connection, and opens new ones within its subset, where they will be used again.
A candidate that is faster by more than a connection costs is taken anyway.
"""

from collections.abc import Callable, Iterable, Sequence
from random import Random
from typing import Protocol, TypeVar

import attrs

from lavenderspoke.direct.instances import Upstream
from lavenderspoke.direct.upstreamstate import UpstreamState
from lavenderspoke.direct.upstreamsubset import UpstreamSubset
from lavenderspoke.observing.metrics import Metrics

# By how much longer a preferred upstream may be expected to take, in seconds: what a
# handshake costs the caller of an upstream some milliseconds away, and the upstream for
# accepting it.
NEW_CONNECTION_COST_S = 0.005
# Interval between two updates of the subset, in seconds.
UPDATE_INTERVAL_S = 0.25


@attrs.frozen(kw_only=True)
class ConnectionView:
    """What the choice of an upstream needs to know about connections.

    `live_entries()` returns the other live entries, by name. `has_idle(upstream_id)`
    returns whether this entry has a connection there that it could use now.
    """

    entry_name: str
    live_entries: Callable[[], list[str]]
    has_idle: Callable[[str], bool]
    metrics: Metrics


class Candidate(Protocol):
    """An upstream that may be chosen."""

    @property
    def state(self) -> UpstreamState:
        """Its state."""


CandidateT = TypeVar("CandidateT", bound=Candidate)


class ConnectionPreference:
    """The preference of one entry among the upstreams of one service.

    It acts only while the entry's subset leaves upstreams out.
    """

    def __init__(self, *, view: ConnectionView, random: Random):
        self.subset = UpstreamSubset(name=view.entry_name, metrics=view.metrics)
        self._view = view
        self._random = random
        self._updated_s: float | None = None

    def update(
        self, upstreams: Iterable[Upstream], demand_slots: float, now_s: float
    ) -> None:
        """Update the subset if that is due."""
        last_s = self._updated_s
        if last_s is not None and last_s <= now_s < last_s + UPDATE_INTERVAL_S:
            return
        self._updated_s = now_s
        self.subset.update(upstreams, self._view.live_entries(), demand_slots, now_s)

    def refine(
        self,
        chosen: CandidateT,
        candidates: Sequence[CandidateT],
        cost_s: Callable[[CandidateT], float],
    ) -> CandidateT:
        """Return a preferred candidate that costs hardly more, else the chosen one.

        `candidates` are all that a request may be sent to, the chosen one included.
        """
        if not self.subset.is_partial:
            return chosen
        best, best_rank = chosen, self._rank(chosen)
        if best_rank > 0:
            limit_s = cost_s(chosen) + NEW_CONNECTION_COST_S
            # From a random one on: equal candidates would be taken in the order of the
            # list by all entries that prefer them.
            start = self._random.randrange(len(candidates))
            for each in (*candidates[start:], *candidates[:start]):
                rank = self._rank(each)
                if rank < best_rank and cost_s(each) <= limit_s:
                    best, best_rank = each, rank
                    if not rank:
                        break
        self.subset.record_choice(best.state.upstream.upstream_id)
        return best

    def _rank(self, candidate: Candidate) -> int:
        """Return 0 for an idle connection inside the subset, 3 for none and outside."""
        upstream_id = candidate.state.upstream.upstream_id
        rank = 0 if self._view.has_idle(upstream_id) else 2
        return rank if self.subset.contains(upstream_id) else rank + 1
