"""Detects upstream crashes, and which requests were running in them.

An answer that breaks off, or doesn't come, proves nothing by itself: connections are
reset, answers get lost, and links are cut. It is put down to a crash once its upstream
is known to have ended without having said that it leaves, however that shows and
whichever entry notices.
"""

import enum
from collections import OrderedDict
from collections.abc import Iterable

import attrs

from lavenderspoke.direct.instances import Upstream
from lavenderspoke.observing import signals
from lavenderspoke.quarantine.history import CrashHistory, QuarantinePolicy
from lavenderspoke.quarantine.messages import CrashEvidence, Quarantined

# Time before its upstream's end was noticed from which an unanswered request may have
# been running in the crash, in seconds. A silent upstream's record lapses after three
# heartbeats, and lists are read once a second, later still while the store is away.
CRASH_WINDOW_S = 9.0
# A request that its caller or its deadline ended was still being worked on if its
# upstream had sent something within this time before, in seconds.
AT_WORK_S = 1.0
# Time for which an upstream may go on with a request that was given up here while it
# was at work on it, in seconds.
LEFT_WINDOW_S = 1.0
# Time in which all entries notice that the list has dropped an upstream, in seconds:
# each reads it once a second.
LIST_SPREAD_S = 2.0
# Time after an end, or after an answer broke off, in which data that was on its way may
# still arrive, in seconds.
IN_FLIGHT_S = 0.25
# Least number of crashed upstreams for which content that ran there is refused: one may
# be chance.
CRASHED_UPSTREAMS_MIN = 2
QUARANTINE_S = 600.0
# Upstreams that ended within this time of each other may have a common cause, in
# seconds: ends of one moment are noticed by different signs.
OUTAGE_WINDOW_S = 3.0
# Ended upstreams remembered; the oldest is forgotten first.
ENDS_MAX = 1024


class EndSign(enum.Enum):
    """How an upstream was seen to end; also the label of its counter."""

    REFUSED = "refused"  # its address refuses connections
    REPLACED = "replaced"  # another upstream answers or is listed at its address
    DROPPED = "dropped"  # the platform's list no longer has it
    TOLD = "told"  # another entry has evidence of its crash
    PLANNED = "planned"  # it said before that it leaves
    UNREACHED = "unreached"  # entries of several data centres can't connect to it


# Ends that are noticed soon after they happen.
SIGNS_OF_THE_MOMENT = (EndSign.REFUSED, EndSign.REPLACED, EndSign.TOLD)
# Ends that have another likely cause than a crash.
PRESUMED_SIGNS = (EndSign.PLANNED, EndSign.UNREACHED)


@attrs.frozen(kw_only=True)
class _Unanswered:
    """A request that may have been running when its upstream ended.

    If its answer `looks_whole`, only the end of its connection ended it; the request
    was sent at `sent_s`. If it was `left`, its upstream was at work on it, and may have
    gone on for a moment, or have fallen silent under it.
    """

    fingerprint: str
    at_s: float
    looks_whole: bool = False
    sent_s: float = 0.0
    left: bool = False
    parts: tuple[str, ...] = ()


@attrs.frozen(kw_only=True)
class _End:
    sign: EndSign
    at_s: float


class CrashDetector:
    """The crashes that an entry has detected or received from others.

    Times are in seconds on the caller's clock. Methods return the evidence that the
    other entries should get.
    """

    def __init__(self):
        self.history = CrashHistory(
            service="",
            policy=QuarantinePolicy(
                upstreams_threshold=CRASHED_UPSTREAMS_MIN, quarantine_s=QUARANTINE_S
            ),
            outage_window_s=OUTAGE_WINDOW_S,
        )
        self._unanswered: dict[str, list[_Unanswered]] = {}
        self._alive_s: dict[str, float] = {}
        self._ends: OrderedDict[str, _End] = OrderedDict()
        self._corrections: list[CrashEvidence] = []

    def record_broken_answer(
        self,
        upstream: Upstream,
        fingerprint: str,
        *,
        heard_s: float,
        now_s: float,
        parts: tuple[str, ...] = (),
    ) -> CrashEvidence | None:
        """Record an answer that broke off, or a connection that ended before it.

        The upstream was sent the request, or sent something itself, at `heard_s`. After
        its record was dropped, an upstream may go on for a while and then exit, so that
        such an answer is no sign of a crash, unless nothing had come for a while.
        """
        sign = self.end_sign(upstream.upstream_id)
        if sign is EndSign.DROPPED and now_s < heard_s + AT_WORK_S:
            return None
        unanswered = _Unanswered(fingerprint=fingerprint, at_s=now_s, parts=parts)
        return self._record_unanswered(upstream, unanswered)

    def record_ended_answer(
        self,
        upstream: Upstream,
        fingerprint: str,
        *,
        sent_s: float,
        now_s: float,
        parts: tuple[str, ...] = (),
    ) -> CrashEvidence | None:
        """Record an answer that looks whole and ended with its connection.

        The machine of a process that has ended closes its connections in order too.
        So the content is excused only once the upstream sends something later.
        """
        unanswered = _Unanswered(
            fingerprint=fingerprint,
            at_s=now_s,
            parts=parts,
            looks_whole=True,
            sent_s=sent_s,
        )
        return self._record_unanswered(upstream, unanswered)

    def record_silence(
        self,
        upstream: Upstream,
        fingerprint: str,
        *,
        heard_s: float,
        now_s: float,
        parts: tuple[str, ...] = (),
    ) -> CrashEvidence | None:
        """Record a request that ended here while its upstream was silent.

        The upstream was sent the request, or sent something itself, at `heard_s`.
        """
        end = self._ends.get(upstream.upstream_id)
        if end is not None and end.sign is EndSign.PLANNED:
            return None
        unanswered = _Unanswered(
            fingerprint=fingerprint,
            at_s=now_s,
            parts=parts,
            left=now_s < heard_s + AT_WORK_S,
        )
        return self._record_unanswered(upstream, unanswered)

    def record_alive(self, upstream_id: str, now_s: float) -> None:
        """Record that an upstream has sent something."""
        end = self._ends.get(upstream_id)
        if end is None:
            self._alive_s[upstream_id] = now_s
            self._excuse_whole(upstream_id, now_s)
            return
        if now_s < end.at_s + IN_FLIGHT_S:
            return
        self._alive_s[upstream_id] = now_s
        if end.sign is EndSign.PLANNED:
            self._withdraw(upstream_id, now_s)
            return
        if end.sign is EndSign.DROPPED:
            # It leaves without having said so, and serves for some time still.
            self._ends[upstream_id] = _End(sign=EndSign.PLANNED, at_s=now_s)
        else:
            del self._ends[upstream_id]
        self._withdraw(upstream_id, now_s)

    def record_listed(self, upstream_id: str, now_s: float) -> None:
        """Record that an upstream has come to the platform's list, perhaps again."""
        end = self._ends.pop(upstream_id, None)
        if end is not None and end.sign is not EndSign.PLANNED:
            self._withdraw(upstream_id, now_s)

    def take_corrections(self) -> list[CrashEvidence]:
        """Return the crashes that were withdrawn since the last call."""
        corrections, self._corrections = self._corrections, []
        return corrections

    def _excuse_whole(self, upstream_id: str, now_s: float) -> None:
        """Excuse the answers that an upstream has outlived, and that look whole."""
        unanswered = self._unanswered.get(upstream_id)
        if not unanswered or not any(each.looks_whole for each in unanswered):
            return
        outlived = {
            each
            for each in unanswered
            if each.looks_whole and each.at_s < now_s - IN_FLIGHT_S
        }
        self._unanswered[upstream_id] = [e for e in unanswered if e not in outlived]
        for each in sorted(outlived, key=lambda each: each.fingerprint):
            self._corrections += self.record_answer(each.fingerprint, now_s)
            self.history.record_parts_answered(
                each.parts, sent_s=each.sent_s, now_s=now_s
            )

    def _withdraw(self, upstream_id: str, now_s: float) -> None:
        if self.history.withdraw_crash(upstream_id, now_s):
            correction = self.history.evidence(upstream_id, now_s)
            if correction is not None:
                self._corrections.append(correction)

    def record_leaving(self, upstream_id: str, now_s: float) -> None:
        """Record that an upstream says that it leaves."""
        self._note_end(upstream_id, EndSign.PLANNED, now_s)

    def end_sign(self, upstream_id: str) -> EndSign | None:
        """Return how an upstream was seen to end, None if it wasn't."""
        end = self._ends.get(upstream_id)
        return None if end is None else end.sign

    def needs_check(self, upstream_id: str) -> bool:
        """Return whether a broken answer leaves open if its upstream has ended."""
        alive_s = self._last_alive_s(upstream_id)
        return upstream_id not in self._ends and any(
            not each.left and each.at_s >= alive_s - IN_FLIGHT_S
            for each in self._unanswered.get(upstream_id, ())
        )

    def needs_later_check(self, upstream_id: str) -> bool:
        """Return whether content that has crashed others was given up there."""
        unanswered = self._unanswered.get(upstream_id, ())
        return upstream_id not in self._ends and any(
            each.left and self.history.upstreams_of(each.fingerprint)
            for each in unanswered
        )

    def record_ends(
        self, upstreams: Iterable[Upstream], sign: EndSign, now_s: float
    ) -> list[CrashEvidence]:
        """Record upstreams that were seen to end at once."""
        ended = [e for e in upstreams if self._note_end(e.upstream_id, sign, now_s)]
        evidence = [self._evidence_of(each, now_s) for each in ended]
        # All together, so that an outage is seen as one.
        self.history.record_crashes(evidence, now_s)
        return evidence

    def merge(self, evidence: CrashEvidence, now_s: float) -> CrashEvidence | None:
        """Add a crash that another entry detected; return what this one adds to it."""
        upstream_id = evidence.upstream
        own = None
        sign = EndSign.UNREACHED if evidence.presumed else EndSign.TOLD
        if self._note_end(upstream_id, sign, now_s):
            running = self._running_in(upstream_id, now_s)
            if running.keys() - set(evidence.fingerprints):
                own = attrs.evolve(
                    evidence,
                    fingerprints=tuple(sorted(running)),
                    parts=_with_parts(running),
                )
        merged = (evidence,) if own is None else (evidence, own)
        self.history.record_crashes(merged, now_s)
        return own

    def record_answer(self, fingerprint: str, now_s: float) -> list[CrashEvidence]:
        """Record that content with this fingerprint was answered completely."""
        excused = self.history.record_answered(fingerprint, now_s)
        told = [self.history.evidence(crash_id, now_s) for crash_id in sorted(excused)]
        return [each for each in told if each is not None]

    def is_quarantined(
        self, fingerprint: str, now_s: float, parts: tuple[str, ...] = ()
    ) -> bool:
        """Return whether requests with this content, or such parts, are refused."""
        return self.history.is_quarantined(fingerprint, now_s, parts)

    def ran_here(self, cause: str) -> bool:
        """Return whether this entry sent the cause to an upstream that ended."""
        bad_parts = signals.parts_of(cause)
        return any(
            bad_parts <= set(each.parts) if bad_parts else each.fingerprint == cause
            for upstream_id in self._unanswered.keys() & self._ends.keys()
            for each in self._unanswered[upstream_id]
        )

    def announce(self, fingerprint: str, now_s: float) -> None:
        """Apply a quarantine that another entry has recorded."""
        quarantined = Quarantined(
            service="", fingerprint=fingerprint, ttl_s=QUARANTINE_S
        )
        self.history.apply_quarantine(quarantined, now_s)

    def _record_unanswered(
        self, upstream: Upstream, unanswered: _Unanswered
    ) -> CrashEvidence | None:
        upstream_id, now_s = upstream.upstream_id, unanswered.at_s
        alive_s = self._last_alive_s(upstream_id)
        recent = [
            each
            for each in self._unanswered.get(upstream_id, ())
            if _is_recent(each, now_s, alive_s)
        ]
        self._unanswered[upstream_id] = [*recent, unanswered]
        sign = self.end_sign(upstream_id)
        is_exit = sign is EndSign.PLANNED and unanswered.looks_whole
        if sign is None or unanswered.left or is_exit:
            return None
        evidence = self._evidence_of(upstream, now_s)
        self.history.record_crash(evidence, now_s)
        return evidence

    def _note_end(self, upstream_id: str, sign: EndSign, now_s: float) -> bool:
        """Note an upstream's end; return False if it was known."""
        known = self.end_sign(upstream_id)
        is_new = known is None or (known is EndSign.UNREACHED and sign is not known)
        if not is_new and not self._explains_drop(upstream_id, sign, now_s):
            return False
        self._ends[upstream_id] = _End(sign=sign, at_s=now_s)
        while len(self._ends) > ENDS_MAX:
            forgotten, _ = self._ends.popitem(last=False)
            self._unanswered.pop(forgotten, None)
            self._alive_s.pop(forgotten, None)
        return True

    def _explains_drop(self, upstream_id: str, sign: EndSign, now_s: float) -> bool:
        """Return whether a drop, of which another entry told, shows more than that did.

        An entry that is told of an end doesn't know whether it was noticed late.
        """
        end = self._ends[upstream_id]
        return (
            sign is EndSign.DROPPED
            and end.sign is EndSign.TOLD
            and now_s < end.at_s + LIST_SPREAD_S
            and any(each.left for each in self._suspects(upstream_id, sign, now_s))
        )

    def _evidence_of(self, upstream: Upstream, now_s: float) -> CrashEvidence:
        """Return what this entry saw of an upstream's end."""
        running = self._running_in(upstream.upstream_id, now_s)
        return CrashEvidence(
            service=upstream.service,
            upstream=upstream.upstream_id,
            crash_id=upstream.upstream_id,
            fingerprints=tuple(sorted(running)),
            parts=_with_parts(running),
            presumed=self.end_sign(upstream.upstream_id) in PRESUMED_SIGNS,
        )

    def _running_in(self, upstream_id: str, now_s: float) -> dict[str, tuple[str, ...]]:
        """Return the content that may have been running when an upstream ended.

        Each has the shared parts of its prompt.
        """
        suspects = self._suspects(upstream_id, self.end_sign(upstream_id), now_s)
        return {each.fingerprint: each.parts for each in suspects}

    def _suspects(
        self, upstream_id: str, sign: EndSign | None, now_s: float
    ) -> list[_Unanswered]:
        """Return the requests that may have been running in an end with this sign.

        What the upstream sent afterwards shows that it had outlived a request.
        """
        alive_s = self._last_alive_s(upstream_id)
        return [
            each
            for each in self._unanswered.get(upstream_id, ())
            if _is_recent(each, now_s, alive_s)
            and each.at_s >= alive_s - IN_FLIGHT_S
            and (not each.left or _may_explain(each, sign, now_s, alive_s))
        ]

    def _last_alive_s(self, upstream_id: str) -> float:
        return self._alive_s.get(upstream_id, float("-inf"))


def _with_parts(running: dict[str, tuple[str, ...]]) -> dict[str, tuple[str, ...]]:
    return {content: parts for content, parts in running.items() if parts}


def _is_recent(each: _Unanswered, now_s: float, alive_s: float) -> bool:
    """Return whether a request may still have to do with its upstream's end.

    A sound upstream works for a moment on what was given up. But if it has sent nothing
    since, it may have fallen silent under that, and the end is noticed later.
    """
    was_outlived = each.left and alive_s > each.at_s
    return now_s < each.at_s + (LEFT_WINDOW_S if was_outlived else CRASH_WINDOW_S)


def _may_explain(
    left: _Unanswered, sign: EndSign | None, now_s: float, alive_s: float
) -> bool:
    """Return whether a request that was given up may have been running in an end."""
    if now_s < left.at_s + LEFT_WINDOW_S:
        # A list doesn't drop an upstream that has just fallen silent.
        return sign in SIGNS_OF_THE_MOMENT
    return sign is EndSign.DROPPED and alive_s <= left.at_s
