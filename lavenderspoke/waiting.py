"""Requests that wait in an entry, and which of them goes next."""

import attrs

from lavenderspoke.model import Call


@attrs.define(kw_only=True)
class WaitingRequest:
    """A request that waits in this entry, its only copy.

    Times are on the entry's monotonic clock. `stamp` is the roster offset
    folded when it arrived. `warm` maps upstream name to the prompt tokens whose
    prefix it is believed to hold; it is a hint.
    """

    call: Call
    arrived_s: float
    deadline_s: float
    stamp: int = 0
    warm: dict[str, int] = attrs.field(factory=dict)
