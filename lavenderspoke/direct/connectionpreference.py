"""Prefers upstreams to which a request needs no new connection.

Between candidates that should answer equally soon, an entry takes one to which it has
an idle connection, and opens new ones within its subset, where they will be used again.
A candidate that is faster by more than a connection costs is taken anyway.
"""

from collections.abc import Callable, Iterable, Iterator, Sequence
from itertools import islice
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
        sample_size: int,
    ) -> CandidateT:
        """Return a preferred candidate that costs hardly more, else the chosen one.

        `candidates` are all that a request may be sent to, the chosen one included. Of
        those that are equally preferred, it compares at most `sample_size`.
        """
        if not self.subset.is_partial:
            return chosen
        best = self._better(chosen, candidates, cost_s, sample_size) or chosen
        self.subset.record_choice(best.state.upstream.upstream_id)
        return best

    def _better(
        self,
        chosen: CandidateT,
        candidates: Sequence[CandidateT],
        cost_s: Callable[[CandidateT], float],
        sample_size: int,
    ) -> CandidateT | None:
        chosen_rank = self._rank(chosen)
        if not chosen_rank:
            return None
        limit_s = cost_s(chosen) + NEW_CONNECTION_COST_S
        for equals in islice(self._by_rank(candidates), chosen_rank):
            sample = list(islice(equals, sample_size))
            if sample:
                cheapest = min(sample, key=cost_s)
                if cost_s(cheapest) <= limit_s:
                    return cheapest
        return None

    def _by_rank(
        self, candidates: Sequence[CandidateT]
    ) -> Iterator[Iterable[CandidateT]]:
        """Yield the candidates of each rank, the most preferred first.

        They begin at a random one, since the order of the list is the same at all
        entries, and are looked at only as far as they are used.
        """
        start = self._random.randrange(len(candidates))
        rotated = (*candidates[start:], *candidates[:start])
        members = self.subset.members
        inside = [c for c in rotated if c.state.upstream.upstream_id in members]
        yield (each for each in inside if self._has_idle(each))
        yield (each for each in rotated if self._has_idle(each))
        yield inside

    def _has_idle(self, candidate: Candidate) -> bool:
        return self._view.has_idle(candidate.state.upstream.upstream_id)

    def _rank(self, candidate: Candidate) -> int:
        """Return 0 for an idle connection inside the subset, 3 for none and outside."""
        rank = 0 if self._has_idle(candidate) else 2
        is_inside = self.subset.contains(candidate.state.upstream.upstream_id)
        return rank if is_inside else rank + 1
