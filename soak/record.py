"""What was seen in one run of the soak."""

from collections import defaultdict

import attrs

from soak.callers import Sent
from soak.events import DESKS, ENTRIES, MODELS

# How long after a disturbance an entry's time bounds hold again, in seconds.
CALM_AFTER_S = 3.0
# Time between a stop's signal and the kill, in seconds, and the part of it in which
# a stream that is under way must not break off.
GRACE_S = 8.0
GRACE_OWED = 5 / 6


@attrs.frozen(kw_only=True)
class Run:
    """One run of a request at an upstream; `began_s` is on the steady clock.

    `signed_status` is the status of its answer, if the upstream signed one.
    """

    attempt_id: str
    upstream: str
    began_s: float
    signed_status: int | None = None


@attrs.frozen(kw_only=True)
class Refusal:
    """What an upstream said of a request that it turned away, as its stand-in has it.

    Without a proof that it has not run it counts as run: only a refusal that is marked
    says so.
    """

    attempt_id: str
    upstream: str
    at_s: float
    status: int
    has_run: bool
    is_marked: bool
    is_named: bool
    is_signed: bool
    is_alone: bool

    @property
    def is_proof(self) -> bool:
        """Whether it proves to its entry that the request has not run."""
        return self.is_marked and self.is_named and self.is_alone and not self.has_run


@attrs.frozen(kw_only=True)
class Arrival:
    """A request that reached an upstream, run or not, at a time of the steady clock.

    `attempt_id` is empty for a reservation. `signals` are the headers of its response
    that tell about the upstream.
    """

    upstream: str
    at_s: float
    attempt_id: str
    signals: dict[str, str]


@attrs.frozen(kw_only=True)
class Span:
    """A time in seconds in which something was disturbed, or an entry stopped."""

    subject: str
    from_s: float
    to_s: float


@attrs.frozen(kw_only=True)
class Published:
    """What the operator and upstreams wrote.

    Times are those of the store's answer, from which bounds count; a version may
    take effect from when it was sent. A span of `leaving` ends before the upstream
    writes that it is back.
    """

    versions_s: dict[int, float]
    versions_sent_s: dict[int, float]
    revoked_s: float
    leaving: tuple[Span, ...]


@attrs.frozen(kw_only=True)
class Record:
    """All that was seen in one run of the soak."""

    sent: tuple[Sent, ...]
    runs: tuple[Run, ...]
    disturbed: tuple[Span, ...]
    stops: tuple[Span, ...]
    silences: tuple[Span, ...]
    published: Published
    arrivals: tuple[Arrival, ...] = ()
    crashes_s: tuple[float, ...] = ()
    crashes_by_part: bool = False
    shifts: tuple[Span, ...] = ()
    leaving_said: tuple[Span, ...] = ()
    refusals: tuple[Refusal, ...] = ()
    entries: tuple[str, ...] = ENTRIES
    models: tuple[str, ...] = MODELS
    desks: tuple[str, ...] = DESKS

    def calm(self, subjects: tuple[str, ...], from_s: float, to_s: float) -> bool:
        """Return whether nothing disturbed these between the times or just before."""
        return not any(
            span.subject in subjects
            and span.from_s < to_s
            and from_s < span.to_s + CALM_AFTER_S
            for span in self.disturbed
        )

    def keeps_state(self, entry: str, from_s: float, to_s: float) -> bool:
        """Return whether an entry wasn't restarted or disturbed between the times."""
        is_stopped = any(
            span.subject == entry and span.from_s < to_s and from_s < span.to_s
            for span in self.stops
        )
        return not is_stopped and self.calm((entry,), from_s, to_s)

    def told(self, upstream: str, header: str, from_s: float) -> dict[str, float]:
        """Return when entries first passed on a response with that header since then.

        Entries that were restarted or disturbed later on are left out: they forget.
        """
        told_s: dict[str, float] = {}
        for sent in sorted(self.sent, key=lambda each: each.ended_s):
            headers = sent.answer.headers if sent.answer is not None else {}
            is_upstream = headers.get("x-instance-id") == upstream
            if is_upstream and header.lower() in headers and sent.ended_s >= from_s:
                told_s.setdefault(sent.entry, sent.ended_s)
        return {
            entry: at_s
            for entry, at_s in told_s.items()
            if self.keeps_state(entry, at_s, float("inf"))
        }

    def runs_of(self) -> dict[str, list[Run]]:
        """Return the runs by attempt."""
        found = defaultdict(list)
        for run in self.runs:
            found[run.attempt_id].append(run)
        return found

    def counted_runs(self) -> dict[str, list[Run]]:
        """Return the runs by attempt, and as such what was refused without a proof."""
        found = self.runs_of()
        for each in self.refusals:
            if not each.is_marked and not each.has_run:
                run = Run(
                    attempt_id=each.attempt_id,
                    upstream=each.upstream,
                    began_s=each.at_s,
                )
                found[each.attempt_id].append(run)
        return found
