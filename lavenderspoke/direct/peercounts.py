"""What the other entries report about one service, added up."""

import attrs

from lavenderspoke.direct.tickets import Rank


@attrs.frozen(kw_only=True)
class PeerCounts:
    """The other entries' last reported counts for one service.

    `waiting` and `held` are the queued requests and the held slots by rank, `asking`
    the queued requests by rank and customer, `entries` is the number of other entries,
    and `age_s` the mean age of the counts.
    """

    waiting: dict[Rank, int] = attrs.field(factory=dict)
    held: dict[Rank, int] = attrs.field(factory=dict)
    asking: dict[Rank, dict[str, int]] = attrs.field(factory=dict)
    entries: int = 0
    age_s: float = 0.0
