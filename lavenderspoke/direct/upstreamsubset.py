"""The upstreams that an entry prefers, so that it needs few new connections.

Load that it is for: many entries in front of many upstreams. Each pair of them meets so
rarely that a connection has reached its idle limit before the pair's next request.

Every entry computes the subsets of all entries from the list of live entries and the
list of upstreams, and keeps its own. They are balanced: no upstream is preferred by
many more entries than the mean. Nothing is sent to agree on them; where lists differ
for a while, the cover is less even, and no request notices.
"""

import math
from collections import Counter
from collections.abc import Iterable, Sequence

import attrs
import logbook

from lavenderspoke.direct.instances import Upstream
from lavenderspoke.model import rendezvous_hash
from lavenderspoke.observing.metrics import Metrics

# The fewest members. With fewer, one slow or full member is a large part of them, and
# two requests at the same time need a second connection to the same upstream.
SIZE_MIN = 6
# How many entries should prefer each upstream, at least, so that the loss of some of
# these entries leaves it preferred by others.
COVER_MIN = 3
# Share of its members' slots that an entry fills by itself, at most. Other entries
# share the members, and beyond this share one entry with much demand would fill them.
OWN_SLOTS_SHARE_MAX = 0.5
# Least choices between two updates for which a majority outside the subset widens it.
OUTSIDE_MIN = 3
# How long a smaller subset must have sufficed before it is narrowed, in seconds: longer
# than the idle limit of a connection, after which the connections outside are closed.
NARROW_AFTER_S = 10.0
# Interval between two steps of narrowing, in seconds.
NARROW_INTERVAL_S = 2.0
# Interval between two log lines, in seconds.
LOG_INTERVAL_S = 5.0
# Above so many pairs of an entry and an upstream, subsets aren't balanced: 4,420 take
# 7 ms, and 19,500 take 56 ms in which the dispatcher's lock would be held. Plain
# rendezvous hashing needs the hashes of this entry alone.
BALANCED_PAIRS_MAX = 5_000
SUBSET_METRIC = "direct_subset"

log = logbook.Logger(__name__)


class UpstreamSubset:
    """The subset of one service's upstreams that one entry prefers.

    It includes all upstreams until `update` is called, and where there are too few of
    them or of entries for a subset to matter.

    >>> subset = UpstreamSubset(name="entry-1", metrics=Metrics())
    >>> subset.contains("any")
    True
    """

    def __init__(self, *, name: str, metrics: Metrics):
        self._name = name
        self._metrics = metrics
        self._ranks = _Ranks()
        self._ranking: Sequence[str] = ()
        self._upstream_ids: dict[str, list[str]] = {}
        self._size = 0
        # How many members were added to the base size.
        self._added = 0
        self._members: frozenset[str] = frozenset()
        self._choices: Counter[bool] = Counter()
        self._narrow_at_s = 0.0
        self._logged_s = -math.inf

    @property
    def is_partial(self) -> bool:
        """Whether there are upstreams outside."""
        return self._size < len(self._ranking)

    @property
    def size(self) -> int:
        """The number of upstreams inside, by name."""
        return min(self._size, len(self._ranking))

    @property
    def members(self) -> frozenset[str]:
        """The IDs of the upstreams inside."""
        return self._members

    def contains(self, upstream_id: str) -> bool:
        """Return whether an upstream is preferred."""
        return upstream_id in self._members or not self.is_partial

    def record_choice(self, upstream_id: str) -> None:
        """Record which upstream a request is sent to."""
        is_inside = upstream_id in self._members
        self._choices[is_inside] += 1
        if not is_inside:
            self._metrics.count(SUBSET_METRIC, "outside")

    def update(
        self,
        upstreams: Iterable[Upstream],
        entries: Iterable[str],
        demand_slots: float,
        now_s: float,
    ) -> None:
        """Apply the upstreams that take requests, the live entries and the demand.

        `entries` may or may not include this entry. `demand_slots` is how many slots
        its requests, running and waiting, could use now.
        """
        by_name: dict[str, list[Upstream]] = {}
        for upstream in upstreams:
            by_name.setdefault(upstream.name, []).append(upstream)
        names = tuple(sorted({*entries, self._name}))
        base_size = _base_size(entries=len(names), upstreams=len(by_name))
        self._ranking = self._ranks.of(
            self._name, names, tuple(sorted(by_name)), base_size
        )
        self._resize(base_size, self._size_needed(by_name, demand_slots), now_s)
        self._members = frozenset(
            each.upstream_id
            for name in self._ranking[: self._size]
            for each in by_name[name]
        )

    def _size_needed(
        self, by_name: dict[str, list[Upstream]], demand_slots: float
    ) -> int:
        """Return how many members it takes for what this entry sends now."""
        choices, self._choices = self._choices, Counter()
        size = 0
        if choices[False] >= OUTSIDE_MIN and choices[False] > choices[True]:
            size = self.size + 1
        if not math.isfinite(demand_slots):
            return size
        slots = 0.0
        for count, name in enumerate(self._ranking):
            if slots * OWN_SLOTS_SHARE_MAX >= demand_slots:
                return max(size, count)
            slots += max(each.slots for each in by_name[name])
        return len(self._ranking)

    def _resize(self, base_size: int, needed: int, now_s: float) -> None:
        """Widen at once, and narrow step by step once less has sufficed for long.

        Only what is added to the base size is narrowed slowly: an entry that has just
        started knows no other ones, so that its first base size is too large.
        """
        before, most = self._size, len(self._ranking)
        added = min(self._added, most - base_size)
        added_needed = min(max(0, needed - base_size), most - base_size)
        # Also if the clock went back.
        self._narrow_at_s = min(self._narrow_at_s, now_s + NARROW_AFTER_S)
        if added_needed >= added:
            added = added_needed
            self._narrow_at_s = now_s + NARROW_AFTER_S
        elif now_s >= self._narrow_at_s:
            added -= 1
            self._narrow_at_s = now_s + NARROW_INTERVAL_S
        self._added = added
        self._size = base_size + added
        if before and self._size != before:
            self._report(before, now_s)

    def _report(self, before: int, now_s: float) -> None:
        change = "widened" if self._size > before else "narrowed"
        self._metrics.count(SUBSET_METRIC, change)
        if self._logged_s <= now_s < self._logged_s + LOG_INTERVAL_S:
            return
        self._logged_s = now_s
        log.info(
            "subset of upstreams " + change,
            before=before,
            size=self._size,
            upstreams=len(self._ranking),
        )


@attrs.define(kw_only=True, eq=False)
class _Ranks:
    """The order in which an entry prefers upstreams, kept while the lists stay."""

    lists: tuple = ()
    ranking: Sequence[str] = ()
    hashes: dict[tuple[str, str], bytes] = attrs.field(factory=dict)

    def of(
        self,
        own_name: str,
        entries: tuple[str, ...],
        upstreams: tuple[str, ...],
        base_size: int,
    ) -> Sequence[str]:
        """Return all upstreams, the first `base_size` of them balanced."""
        lists = (entries, upstreams, base_size)
        if lists != self.lists:
            self.lists = lists
            self.ranking = self._ranking(own_name, *lists)
        return self.ranking

    def _ranking(self, own_name, entries, upstreams, base_size) -> Sequence[str]:
        is_balanced = (
            base_size < len(upstreams)
            and len(entries) * len(upstreams) <= BALANCED_PAIRS_MAX
        )
        names = entries if is_balanced else (own_name,)
        known, self.hashes = self.hashes, {}
        orders = {}
        for name in names:
            for upstream in upstreams:
                pair = (name, upstream)
                self.hashes[pair] = known.get(pair) or rendezvous_hash(*pair)
            orders[name] = sorted(upstreams, key=lambda u: self.hashes[name, u])
        own_order = orders[own_name]
        if not is_balanced:
            return own_order
        first = balanced_subsets(orders, base_size)[own_name]
        return first + [each for each in own_order if each not in set(first)]


def balanced_subsets(orders: dict[str, list[str]], size: int) -> dict[str, list[str]]:
    """Return `size` upstreams for each entry, from its order of preference.

    In each round, every entry takes the next upstream of its order that isn't taken by
    as many entries as it should be after that round. The entries' own order differs by
    round, so that no entry is always the last to choose.

    >>> orders = {"a": ["u", "v"], "b": ["u", "v"]}
    >>> balanced_subsets(orders, 1)
    {'a': ['u'], 'b': ['v']}
    """
    names = sorted(orders)
    upstreams = orders[names[0]]
    taken: Counter[str] = Counter()
    subsets: dict[str, list[str]] = {name: [] for name in names}
    for number in range(size):
        limit = math.ceil((number + 1) * len(names) / len(upstreams))
        for name in names if number % 2 == 0 else reversed(names):
            own = subsets[name]
            free = (u for u in orders[name] if taken[u] < limit and u not in own)
            pick = next(free, None)
            if pick is None:
                # All that are left have reached the limit.
                left = (each for each in orders[name] if each not in own)
                pick = min(left, key=lambda each: taken[each])
            own.append(pick)
            taken[pick] += 1
    return subsets


def _base_size(*, entries: int, upstreams: int) -> int:
    """Return the size of the subset without any need for more.

    >>> _base_size(entries=27, upstreams=25)
    6
    >>> _base_size(entries=3, upstreams=25)
    25
    """
    cover = math.ceil(COVER_MIN * upstreams / entries)
    return min(upstreams, max(SIZE_MIN, cover))
