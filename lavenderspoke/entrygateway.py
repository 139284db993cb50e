"""Passes requests from the callers' server to an entry's core, and answers back."""

import threading
from collections.abc import Callable

from lavenderspoke.answering.answers import AnswerQueue
from lavenderspoke.documents.service import Service
from lavenderspoke.entryevents import Arrived, CallerGone
from lavenderspoke.gateway import (
    AnswerBroken,
    AnswerEnd,
    AnswerPart,
    Arrival,
)
from lavenderspoke.problems import Problem

LAST_PARTS = (AnswerEnd, AnswerBroken, Problem)


class EntryGateway:
    """Holds the open answers by request id; thread-safe."""

    def __init__(
        self,
        *,
        post: Callable[[object], None],
        service: Callable[[str], Service | None],
        ready: Callable[[], bool],
        status: Callable[[], dict],
    ):
        self.service = service
        self.ready = ready
        self.status = status
        self._post = post
        self._lock = threading.Lock()
        self._answers: dict[str, AnswerQueue] = {}

    def submit(self, arrival: Arrival) -> AnswerQueue:
        """Post a request to the core; return the queue of its answer."""
        request_id = arrival.call.request_id
        answer = AnswerQueue(request_id=request_id, on_abandon=self._abandon)
        with self._lock:
            self._answers[request_id] = answer
        self._post(Arrived(arrival=arrival))
        return answer

    def _abandon(self, request_id: str) -> None:
        self._post(CallerGone(request_id=request_id))

    def reply(self, request_id: str, part: AnswerPart) -> None:
        """Put a part into its answer's queue; ignored for a closed answer."""
        is_last = isinstance(part, LAST_PARTS)
        with self._lock:
            if is_last:
                answer = self._answers.pop(request_id, None)
            else:
                answer = self._answers.get(request_id)
        if answer is not None:
            answer.put(part)
