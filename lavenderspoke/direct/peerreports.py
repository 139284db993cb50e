"""Upstreams that other entries couldn't reach."""

import attrs

# Two reports of an upstream belong together within this time, in seconds: an entry that
# found it away tries again after two seconds at the latest.
TOGETHER_S = 2.5


@attrs.frozen(kw_only=True)
class _Report:
    by: str
    data_centre: str
    at_s: float


class PeerReports:
    """What entries told of upstreams that they couldn't reach.

    An upstream that lost its power answers nobody. Each of many entries would find that
    out by itself, with a request that waits until its connection counts as failed, and
    again after each pause. One report alone may come from an entry that is cut off, and
    several of one data centre from a cut between two; so two entries of different data
    centres have to say it.

    >>> reports = PeerReports()
    >>> reports.record("u", by="a", data_centre="x", now_s=0.0)
    False
    >>> reports.record("u", by="b", data_centre="x", now_s=0.1)
    False
    >>> reports.record("u", by="c", data_centre="y", now_s=0.2)
    True
    """

    def __init__(self):
        self._reports: dict[str, list[_Report]] = {}

    def record(
        self, upstream_id: str, *, by: str, data_centre: str, now_s: float
    ) -> bool:
        """Take in a report; return whether the upstream counts as away now."""
        recent = [
            each
            for each in self._reports.get(upstream_id, ())
            if now_s < each.at_s + TOGETHER_S and each.by != by
        ]
        recent.append(_Report(by=by, data_centre=data_centre, at_s=now_s))
        self._reports[upstream_id] = recent
        return len({each.data_centre for each in recent}) > 1

    def retain(self, upstream_ids: set[str]) -> None:
        """Forget all other upstreams."""
        for upstream_id in self._reports.keys() - upstream_ids:
            del self._reports[upstream_id]
