"""How many requests an upstream is given at a time."""

from typing import Protocol

import attrs


class Limit(Protocol):
    """A limit says how many slots an upstream has, and may learn it."""

    slots: int
    straggling: bool
    step_s: float

    def tick(self, now_s: float) -> None:
        """Note the time."""

    def started(self, request_id: str, now_s: float) -> None:
        """Note that a request was dispatched."""

    def piece_received(self, request_id: str, now_s: float) -> None:
        """Note that a part of an answer came."""

    def finished(self, request_id: str, now_s: float) -> None:
        """Note that a run has ended, in whatever way."""


@attrs.define(kw_only=True)
class FixedLimit:
    """A fixed limit never learns."""

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
