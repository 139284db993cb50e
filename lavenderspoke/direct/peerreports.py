"""Reports by other entries of upstreams that are unreachable or failing."""

import attrs

# Time within which reports of an upstream are combined: an entry that couldn't reach it
# tries again after `health.SUSPEND_MAX_S`, two seconds, at the latest.
REPORT_WINDOW_S = 2.5


@attrs.frozen(kw_only=True)
class _Report:
    by: str
    data_centre: str
    at_s: float


class PeerReports:
    """Recent reports by other entries, by upstream.

    An upstream whose host lost power answers nobody. Without reports, each of many
    entries would find that out with a request of its own that waits for the connection
    timeout, and again after each suspension. A single entry may be partitioned,
    and so may a whole data centre; so entries of two data centres have to report it.

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
        """Add a report; return whether two data centres now report the upstream."""
        recent = [
            each
            for each in self._reports.get(upstream_id, ())
            if now_s < each.at_s + REPORT_WINDOW_S and each.by != by
        ]
        recent.append(_Report(by=by, data_centre=data_centre, at_s=now_s))
        self._reports[upstream_id] = recent
        return len({each.data_centre for each in recent}) > 1

    def retain(self, upstream_ids: set[str]) -> None:
        """Drop the reports of all other upstreams."""
        for upstream_id in self._reports.keys() - upstream_ids:
            del self._reports[upstream_id]
