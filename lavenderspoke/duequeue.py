"""A queue of requests by the time at which they must be checked next."""

import heapq

import attrs


@attrs.define(kw_only=True)
class DueQueue:
    """A priority queue of request ids by due time, each id at most once.

    >>> queue = DueQueue()
    >>> queue.add("r1", due_s=2.0)
    >>> queue.add("r1", due_s=1.0)
    >>> queue.pop_due(1.5), queue.pop_due(2.0)
    ([], ['r1'])
    """

    _heap: list[tuple[float, str]] = attrs.field(factory=list)
    _queued: set[str] = attrs.field(factory=set)

    def add(self, request_id: str, due_s: float) -> None:
        """Add a request; one that is queued already keeps its due time."""
        if request_id not in self._queued:
            self._queued.add(request_id)
            heapq.heappush(self._heap, (due_s, request_id))

    def pop_due(self, now_s: float) -> list[str]:
        """Remove and return the requests that are due."""
        due = []
        while self._heap and self._heap[0][0] <= now_s:
            due.append(heapq.heappop(self._heap)[1])
        self._queued.difference_update(due)
        return due
