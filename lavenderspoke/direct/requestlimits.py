"""Limits that upstreams name for the requests of all instances together.

An upstream in need names in its responses how many requests per second it accepts. All
entries that know of the limit share it: each counts its own requests at once, and those
of the others when they report them.

An entry that hears nothing from some peers can't know what they send, and keeps to its
share of the limit, as with customers' limits (`quota`).

A limit ends when a response no longer names it. Responses overtake each other, so only
one to a request sent after the limit was last named ends it. What a peer reports is
older than it looks, so a reported end doesn't count against a recent response.
"""

import enum
import math

import attrs

from lavenderspoke.direct.messages import LimitNews
from lavenderspoke.http.upstreamsignals import LIMIT_PER_S_MAX, LIMIT_PER_S_MIN
from lavenderspoke.leakybucket import LeakyBucket
from lavenderspoke.model import InstanceId

# How old a peer's report may be on arrival, in seconds: it may have been relayed twice.
REPORT_AGE_MAX_S = 1.0
# How long the end of a limit is reported to the other entries, in seconds.
END_REPORTED_S = 5.0


class LimitChange(enum.Enum):
    """What a response or a report changed."""

    NAMED = "limit"
    ENDED = "limit_ended"


@attrs.define(kw_only=True, eq=False)
class _Limit:
    """An upstream's limit; `named_s` is when it was last heard to be in force.

    `is_ended` limits are kept, so that a repeated report doesn't bring them back.
    `observations` counts the changes seen in this entry's own responses, `sent` its
    requests under the limit, and `reports` has the last report of each peer.
    """

    bucket: LeakyBucket
    per_s: float
    named_s: float
    is_ended: bool = False
    ended_s: float = -math.inf
    observations: int = 0
    sent: int = 0
    reports: dict[InstanceId, LimitNews] = attrs.field(factory=dict)


class RequestLimits:
    """The limits as one entry counts them; times are in seconds.

    >>> limits = RequestLimits()
    >>> limits.record_response("u", 2.0, sent_s=0.0, now_s=0.0)
    <LimitChange.NAMED: 'limit'>
    >>> limits.wait_s("u", 0.1), limits.wait_s("u", 0.5), limits.wait_s("v", 0.1)
    (0.4, 0.0, 0.0)
    """

    def __init__(self):
        self._limits: dict[str, _Limit] = {}
        self._live_share = 1.0

    @property
    def is_empty(self) -> bool:
        """Whether no limit is known, not even an ended one."""
        return not self._limits

    def set_entry_counts(self, *, live: int, known: int, now_s: float) -> None:
        """Set how many entries are live and how many may be, this one included."""
        live_share = live / max(1, known)
        if live_share != self._live_share:
            self._live_share = live_share
            for limit in self._limits.values():
                limit.bucket.reconfigure(self._shared_per_s(limit.per_s), now_s)

    def record_response(
        self, upstream_id: str, per_s: float | None, *, sent_s: float, now_s: float
    ) -> LimitChange | None:
        """Record the limit that a response names, or that it names none.

        `sent_s` is when its request was sent.
        """
        if per_s is not None:
            change = self._name(upstream_id, per_s, now_s)
        else:
            limit = self._in_force(upstream_id)
            if limit is None or sent_s <= limit.named_s:
                return None
            change = self._end(limit, now_s)
        if change is not None:
            self._limits[upstream_id].observations += 1
        return change

    def record_sent(self, upstream_id: str, now_s: float) -> None:
        """Count a request of this entry."""
        limit = self._in_force(upstream_id)
        if limit is not None:
            limit.sent += 1
            limit.bucket.add(1, now_s)

    def merge_report(
        self, sender: InstanceId, news: LimitNews, now_s: float
    ) -> LimitChange | None:
        """Apply a peer's report on one upstream."""
        if not 0.0 <= news.per_s <= LIMIT_PER_S_MAX:
            return None
        limit = self._limits.get(news.upstream_id)
        before = limit.reports.get(sender) if limit is not None else None
        change = None
        if news.observations > (before.observations if before else 0):
            if news.in_force:
                change = self._name(news.upstream_id, news.per_s, now_s)
            elif limit is not None and now_s > limit.named_s + REPORT_AGE_MAX_S:
                change = self._end(limit, now_s)
        limit = self._limits.get(news.upstream_id)
        if limit is not None:
            if before is not None and not limit.is_ended:
                limit.bucket.add(max(0, news.sent - before.sent), now_s)
            limit.reports[sender] = news
        return change

    def reports(self, now_s: float) -> tuple[LimitNews, ...]:
        """Return this entry's report on each upstream for the other entries."""
        return tuple(
            LimitNews(
                upstream_id=upstream_id,
                observations=limit.observations,
                in_force=not limit.is_ended,
                per_s=limit.per_s,
                sent=limit.sent,
            )
            for upstream_id, limit in self._limits.items()
            if not limit.is_ended or now_s < limit.ended_s + END_REPORTED_S
        )

    def per_s(self, upstream_id: str) -> float:
        """Return the limit as it applies to the live entries; infinite without one."""
        limit = self._in_force(upstream_id)
        return math.inf if limit is None else limit.bucket.per_s

    def free(self, upstream_id: str, now_s: float) -> float:
        """Return how many requests the upstream accepts now; infinite without limit."""
        limit = self._in_force(upstream_id)
        return math.inf if limit is None else limit.bucket.free(now_s)

    def wait_s(self, upstream_id: str, now_s: float) -> float:
        """Return the time until the upstream accepts one more request."""
        limit = self._in_force(upstream_id)
        return 0.0 if limit is None else limit.bucket.wait_s(now_s)

    def forget(self, upstream_id: str) -> None:
        """Forget an upstream that is gone."""
        self._limits.pop(upstream_id, None)

    def _in_force(self, upstream_id: str) -> _Limit | None:
        limit = self._limits.get(upstream_id)
        return None if limit is None or limit.is_ended else limit

    def _shared_per_s(self, per_s: float) -> float:
        return max(per_s, LIMIT_PER_S_MIN) * self._live_share

    def _name(self, upstream_id: str, per_s: float, now_s: float) -> LimitChange | None:
        shared_per_s = self._shared_per_s(per_s)
        limit = self._limits.get(upstream_id)
        if limit is None:
            limit = self._limits[upstream_id] = _Limit(
                bucket=LeakyBucket(per_s=shared_per_s, now_s=now_s),
                per_s=per_s,
                named_s=now_s,
            )
            return LimitChange.NAMED
        limit.named_s = now_s
        if limit.is_ended:
            limit.bucket = LeakyBucket(per_s=shared_per_s, now_s=now_s)
        elif per_s == limit.per_s:
            return None
        else:
            limit.bucket.reconfigure(shared_per_s, now_s)
        limit.per_s = per_s
        limit.is_ended = False
        return LimitChange.NAMED

    @staticmethod
    def _end(limit: _Limit, now_s: float) -> LimitChange | None:
        if limit.is_ended:
            return None
        limit.is_ended = True
        limit.ended_s = now_s
        return LimitChange.ENDED
