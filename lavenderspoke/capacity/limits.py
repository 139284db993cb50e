"""Limits on the concurrent requests of an upstream."""

from typing import Protocol

import attrs


class Limit(Protocol):
    """The number of slots of an upstream, fixed or learned."""

    slots: int
    straggling: bool
    step_s: float

    def tick(self, now_s: float) -> None:
        """Advance the time."""

    def started(self, request_id: str, now_s: float) -> None:
        """Record the dispatch of a request."""

    def piece_received(self, request_id: str, now_s: float) -> None:
        """Record the arrival of a piece of an answer."""

    def finished(self, request_id: str, now_s: float) -> None:
        """Record the end of a request, whatever its outcome."""


@attrs.define(kw_only=True)
class FixedLimit:
    """A limit that never changes."""

    slots: int
    straggling: bool = False
    step_s: float = 0.0

    def tick(self, now_s: float) -> None:
        pass

    def started(self, request_id: str, now_s: float) -> None:
        pass

    def piece_received(self, request_id: str, now_s: float) -> None:
        pass

    def finished(self, request_id: str, now_s: float) -> None:
        pass
