"""Which requests must be looked at, and when."""

import heapq

import attrs


@attrs.define(kw_only=True)
class DueQueue:
    """A watchlist names each request once, by the time it is next due.

    >>> watchlist = DueQueue()
    >>> watchlist.add("r1", due_s=2.0)
    >>> watchlist.add("r1", due_s=1.0)
    >>> watchlist.pop_due(1.5), watchlist.pop_due(2.0)
    ([], ['r1'])
    """

    _heap: list[tuple[float, str]] = attrs.field(factory=list)
    _watched: set[str] = attrs.field(factory=set)

    def add(self, request_id: str, due_s: float) -> None:
        """Watch a request that isn't watched yet."""
        if request_id not in self._watched:
            self._watched.add(request_id)
            heapq.heappush(self._heap, (due_s, request_id))

    def pop_due(self, now_s: float) -> list[str]:
        """Return the requests that are due; they are watched no more."""
        found = []
        while self._heap and self._heap[0][0] <= now_s:
            found.append(heapq.heappop(self._heap)[1])
        self._watched.difference_update(found)
        return found
