"""The gateway between the callers' server and an entry's core."""

import threading
from collections.abc import Callable

from lavenderspoke.answers import AnswerQueue
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
    """The answers that callers wait for, by request id."""

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
        """Give a request to the core."""
        request_id = arrival.call.request_id
        answer = AnswerQueue(request_id=request_id, on_abandon=self._abandon)
        with self._lock:
            self._answers[request_id] = answer
        self._post(Arrived(arrival=arrival))
        return answer

    def _abandon(self, request_id: str) -> None:
        self._post(CallerGone(request_id=request_id))

    def reply(self, request_id: str, part: AnswerPart) -> None:
        """Pass a part on to the thread that waits for it."""
        is_last = isinstance(part, LAST_PARTS)
        with self._lock:
            if is_last:
                answer = self._answers.pop(request_id, None)
            else:
                answer = self._answers.get(request_id)
        if answer is not None:
            answer.put(part)
