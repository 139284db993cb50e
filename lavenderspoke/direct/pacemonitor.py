"""Which upstreams are slow at the moment, by this entry's requests and its peers'.

For the load in which some upstreams are several times slower for a fraction of a
second, which is over before a mean shows it. Each entry judges the upstreams at which
requests of its own run, and tells the others which of them are slow. What an entry sees
itself counts more than what it is told. Among reports the smallest slowdown counts,
since an entry may take delays of its own for the upstream's.
"""

from collections.abc import Callable, Iterable, Mapping

import attrs
import logbook

from lavenderspoke.direct.upstreampace import SLOWDOWN_MAX, UpstreamPace
from lavenderspoke.observing.metrics import Metrics

# How long an observation or a report counts, in seconds.
VALID_S = 0.3
# How long an own observation counts more than reports, in seconds.
OWN_FRESH_S = 0.15
# Within this time, in seconds, upstreams seen at their usual pace count as seen beside
# those that are slow.
OTHERS_SEEN_S = 0.5
# Part of the validity after which a slowdown fades, so that requests come back one
# after another and not all at once.
FADES_AFTER_PART = 0.5
# Time between two ticks, in seconds, from which on the entry itself stood still: six
# of its ticks.
STOOD_STILL_S = 0.12
# Rows of one report at most: more than upstreams could be slow at once.
ROWS_MAX = 4096
# Log lines about upstreams' pace at most, and the time that they are counted over.
LOG_LINES_MAX = 20
LOG_WINDOW_S = 10.0
STALLS_METRIC = "direct_stalls"
SLOW = "upstream is slow at the moment"
NO_LONGER_SLOW = "upstream is no longer slow"
INVALID_REPORT = "invalid report of slow upstreams ignored"

log = logbook.Logger(__name__)

SlowRows = tuple[tuple[str, float], ...]
"""Upstream and how many times slower than usual it is."""


@attrs.define(kw_only=True)
class _Told:
    """What the others report of one upstream.

    `reports` has by sender the slowdown and when it was sent, by this entry's clock.
    The smallest one is kept until a report changes or ends: many entries report the
    same upstreams, and adding all up at each tick would cost more than the messages.
    """

    reports: dict[str, tuple[float, float]] = attrs.field(factory=dict)
    slowdown: float = 1.0
    sent_s: float = 0.0
    valid_until_s: float = 0.0

    def refresh(self, now_s: float) -> None:
        """Drop the reports that are no longer valid, and sum up the others."""
        self.reports = {
            sender: report
            for sender, report in self.reports.items()
            if now_s < report[1] + VALID_S
        }
        if self.reports:
            self.slowdown = min(each for each, _ in self.reports.values())
            self.sent_s = max(sent_s for _, sent_s in self.reports.values())
            first_s = min(sent_s for _, sent_s in self.reports.values())
            self.valid_until_s = first_s + VALID_S


class PaceMonitor:
    """The present pace of upstreams against their usual one.

    `reading_s(upstream_id)` returns the expected time to read the prompts that wait
    there. Not thread-safe: its owner holds a lock. Times are in seconds.
    """

    def __init__(
        self,
        *,
        metrics: Metrics,
        reading_s: Callable[[str], float] = lambda upstream_id: 0.0,
    ):
        self._metrics = metrics
        self._reading_s = reading_s
        self._paces: dict[str, UpstreamPace] = {}
        # Those with running streams or judged lately: work at each tick depends on
        # these only, not on all upstreams that there are.
        self._active: dict[str, UpstreamPace] = {}
        self._told: dict[str, _Told] = {}
        # The upstreams that each sender reported last.
        self._told_by: dict[str, tuple[str, ...]] = {}
        self._slow: dict[str, float] = {}
        self._ticked_s: float | None = None
        self._log = _BoundedLog()
        # Senders of malformed rows that were logged.
        self._logged_senders: set[str] = set()

    def event_received(self, upstream_id: str, request_id: str, now_s: float) -> None:
        """Record an event of a stream."""
        self._check_clock(now_s)
        pace = self._pace(upstream_id)
        pace.record_event(request_id, now_s)
        pace.reading_s = self._reading_s(upstream_id)

    def request_ended(
        self,
        upstream_id: str,
        request_id: str,
        now_s: float,
        *,
        took_s: float | None = None,
    ) -> None:
        """Record the end of a request; `took_s` is the time of a whole plain answer."""
        if upstream_id in self._paces:
            self._paces[upstream_id].last_event_s.pop(request_id, None)
        if took_s is not None:
            self._check_clock(now_s)
            self._pace(upstream_id).record_interval(took_s, now_s=now_s)

    def request_overdue(self, upstream_id: str, elapsed_s: float, now_s: float) -> None:
        """Record a plain request that runs for longer than nearly all of its kind."""
        self._check_clock(now_s)
        self._pace(upstream_id).record_overdue(elapsed_s, now_s)

    def retain(self, upstream_ids: Iterable[str]) -> None:
        """Drop all other upstreams; one that restarts gets another ID."""
        self._paces = {
            upstream_id: self._paces[upstream_id]
            for upstream_id in upstream_ids
            if upstream_id in self._paces
        }
        for upstream_id in [each for each in self._active if each not in self._paces]:
            del self._active[upstream_id]

    def tick(self, now_s: float) -> None:
        """Judge upstreams that are silent, and log those whose pace has changed."""
        self._check_clock(now_s)
        self._ticked_s = now_s
        for upstream_id, pace in list(self._active.items()):
            if pace.last_event_s:
                pace.reading_s = max(pace.reading_s, self._reading_s(upstream_id))
                pace.check_silence(now_s)
            elif now_s >= pace.judged_s + OTHERS_SEEN_S:
                del self._active[upstream_id]
        self._drop_outdated(now_s)
        slow = self._merged(now_s)
        self._log_changes(slow, now_s)
        self._slow = slow

    def slowdowns(self) -> Mapping[str, float]:
        """Return the upstreams that were slow at the last tick, and by how much."""
        return self._slow

    def slowdown(self, upstream_id: str, now_s: float) -> float:
        """Return by how much an upstream is slower than usual; 1.0 is as usual."""
        return self._merged(now_s).get(upstream_id, 1.0)

    def own_rows(self, now_s: float) -> SlowRows:
        """Return what is to be told to the others.

        An upstream that others report as slow is reported as usual, with 1.0, if it is
        so here.
        """
        return tuple(
            (upstream_id, round(slowdown, 1))
            for upstream_id, slowdown in sorted(self._own(now_s, OWN_FRESH_S).items())
            if slowdown > 1.0 or upstream_id in self._told
        )

    def merge_peer(
        self, sender: str, rows: SlowRows, now_s: float, *, age_s: float = 0.0
    ) -> None:
        """Apply a peer's rows, sent `age_s` ago, in place of its previous ones."""
        valid = dict(row for row in rows[:ROWS_MAX] if _is_valid(row))
        if len(valid) != len(rows):
            self._record_invalid(sender)
        if not 0.0 <= age_s < VALID_S:
            valid = {}
        before = self._told_by.pop(sender, ())
        for upstream_id in before:
            if upstream_id in self._told and upstream_id not in valid:
                self._told[upstream_id].reports.pop(sender, None)
        for upstream_id, slowdown in valid.items():
            told = self._told.setdefault(upstream_id, _Told())
            told.reports[sender] = (slowdown, now_s - age_s)
        if valid:
            self._told_by[sender] = tuple(valid)
        for upstream_id in {**dict.fromkeys(before), **valid}:
            self._refresh(upstream_id, now_s)

    def _drop_outdated(self, now_s: float) -> None:
        outdated = [k for k, each in self._told.items() if now_s >= each.valid_until_s]
        for upstream_id in outdated:
            self._refresh(upstream_id, now_s)

    def _refresh(self, upstream_id: str, now_s: float) -> None:
        told = self._told.get(upstream_id)
        if told is not None:
            told.refresh(now_s)
            if not told.reports:
                del self._told[upstream_id]

    def _pace(self, upstream_id: str) -> UpstreamPace:
        pace = self._paces.setdefault(upstream_id, UpstreamPace())
        self._active[upstream_id] = pace
        return pace

    def _check_clock(self, now_s: float) -> None:
        """Drop what streams show if the entry stood still or its clock jumped."""
        if self._ticked_s is None or 0.0 <= now_s - self._ticked_s < STOOD_STILL_S:
            return
        self._ticked_s = now_s
        self._metrics.count(STALLS_METRIC, "stood_still")
        for pace in self._active.values():
            pace.forget_present()

    def _own(self, now_s: float, fresh_s: float) -> dict[str, float]:
        """Return the slowdowns that this entry has seen itself so lately.

        Where most upstreams seem slow, the entry is more likely the cause: none counts.
        """
        seen = 0
        own: dict[str, float] = {}
        for upstream_id, pace in self._active.items():
            age_s = now_s - pace.judged_s
            if 0.0 <= age_s < OTHERS_SEEN_S:
                seen += 1
                if age_s < fresh_s:
                    own[upstream_id] = _faded(pace.slowdown, age_s)
        slow = sum(1 for each in own.values() if each > 1.0)
        if slow * 2 > seen:
            return {key: each for key, each in own.items() if each <= 1.0}
        return own

    def _merged(self, now_s: float) -> dict[str, float]:
        told = {
            upstream_id: _faded(each.slowdown, now_s - each.sent_s)
            for upstream_id, each in self._told.items()
        }
        merged = self._own(now_s, VALID_S) | told | self._own(now_s, OWN_FRESH_S)
        return {key: each for key, each in merged.items() if each > 1.0}

    def _log_changes(self, slow: Mapping[str, float], now_s: float) -> None:
        if not slow and not self._slow:
            return
        own = self._own(now_s, OWN_FRESH_S)
        for upstream_id in sorted(slow.keys() - self._slow.keys()):
            by = "own" if upstream_id in own else "told"
            self._metrics.count(STALLS_METRIC, by)
            self._log.write(
                SLOW, upstream_id, now_s, by=by, times=round(slow[upstream_id], 1)
            )
        for upstream_id in sorted(self._slow.keys() - slow.keys()):
            self._metrics.count(STALLS_METRIC, "ended")
            self._log.write(NO_LONGER_SLOW, upstream_id, now_s)

    def _record_invalid(self, sender: str) -> None:
        self._metrics.count(STALLS_METRIC, "report_invalid")
        if sender not in self._logged_senders and len(self._logged_senders) < ROWS_MAX:
            self._logged_senders.add(sender)
            log.warning(INVALID_REPORT, peer=sender)


class _BoundedLog:
    """At most `LOG_LINES_MAX` lines in `LOG_WINDOW_S`; later ones are only counted."""

    def __init__(self):
        self._began_s = float("-inf")
        self._lines = 0
        self._left_out = 0

    def write(self, message: str, upstream_id: str, now_s: float, **fields) -> None:
        """Write a line about an upstream, or count it as left out."""
        if not 0.0 <= now_s - self._began_s < LOG_WINDOW_S:
            self._began_s, self._lines = now_s, 0
        if self._lines >= LOG_LINES_MAX:
            self._left_out += 1
            return
        self._lines += 1
        left_out, self._left_out = self._left_out, 0
        log.info(message, upstream=upstream_id, left_out=left_out or None, **fields)


def _is_valid(row: tuple[str, float]) -> bool:
    """Return whether a row can be used.

    >>> [_is_valid(("u", each)) for each in (1.0, 2.5, 0.0, -3.0, float("nan"))]
    [True, True, False, False, False]
    """
    upstream_id, slowdown = row
    return bool(upstream_id) and 1.0 <= slowdown <= SLOWDOWN_MAX


def _faded(slowdown: float, age_s: float) -> float:
    """Return what is left of a slowdown that was seen `age_s` ago.

    >>> [round(_faded(3.0, each), 1) for each in (0.0, 0.15, 0.225, 0.3)]
    [3.0, 3.0, 2.0, 1.0]
    """
    left = (1.0 - age_s / VALID_S) / (1.0 - FADES_AFTER_PART)
    return 1.0 + (slowdown - 1.0) * min(1.0, max(0.0, left))
