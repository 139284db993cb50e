"""The runs at an agent's upstream: their pieces, their ends, their crashes."""

import functools
from collections import deque
from collections.abc import Callable

import attrs

from lavenderspoke import agentevents as events, messages
from lavenderspoke.capacity.limits import Limit
from lavenderspoke.core import Count, Send
from lavenderspoke.ledger import Ledger, Run
from lavenderspoke.messages import Piece
from lavenderspoke.model import Head, Standing
from lavenderspoke.outbox import Outbox
from lavenderspoke.pulling import Puller

# How often a broken stream is taken up again before its answer ends visibly.
RESUMES_MAX = 5
# Doubled at each try: together about as long as an upstream takes to restart.
RESUME_DELAY_S = 0.05
# An upstream's cache is told to a new entry up to this many prefixes.
PREFIXES_MAX = 4096


# Crashes of its upstream that an agent remembers.
CRASHES_MAX = 16


@attrs.frozen(kw_only=True)
class _TimedEvidence:
    evidence: messages.CrashEvidence
    at_s: float


@attrs.define(kw_only=True)
class AgentRuns:
    """Takes what comes of an upstream and passes it on to the entries."""

    service: str
    upstream: str
    ledger: Ledger
    puller: Puller
    limit: Limit
    outbox: Outbox
    new_id: Callable[[], str]
    _prefixes: dict[str, None] = attrs.field(factory=dict)
    _prefix_sequence: int = 0
    _crashes: deque["_TimedEvidence"] = attrs.field(
        factory=lambda: deque(maxlen=CRASHES_MAX)
    )

    @functools.singledispatchmethod
    def take(self, event: object, now_s: float) -> list:
        """Take an event of a run or of the upstream's cache."""
        raise TypeError(f"not about a run: {event!r}")

    @take.register
    def _(self, event: events.RunHead, now_s: float) -> list:
        run = self.ledger.run(event.request_id)
        # A resumed stream begins with a head again; the caller has the first.
        if run is None or run.pieces:
            return []
        self._add_piece(run, now_s, head=event.head)
        return []

    @take.register
    def _(self, event: events.RunBody, now_s: float) -> list:
        run = self.ledger.run(event.request_id)
        if run is None or run.standing is not Standing.DISPATCHED:
            return []
        if event.event_id is not None:
            run.last_event_id = event.event_id
        self._add_piece(run, now_s, body=event.body)
        return []

    @take.register
    def _(self, event: events.RunEnded, now_s: float) -> list:
        run = self.ledger.run(event.request_id)
        if run is None or run.standing is not Standing.DISPATCHED:
            return []
        self._add_piece(run, now_s, count=len(run.pieces) + 1)
        self.limit.finished(event.request_id, now_s)
        if not run.call.prefix_hashes:
            return self.outbox.flush()
        added = events.CacheChanged(added=run.call.prefix_hashes)
        return self.outbox.flush() + self._cache_changed(added)

    @take.register
    def _(self, event: events.RunNotStarted, now_s: float) -> list:
        run = self.ledger.not_started(event.request_id)
        if run is None:
            return []
        self.limit.finished(event.request_id, now_s)
        refused = messages.Refused(
            request_id=event.request_id,
            nonce=run.nonce,
            reason="upstream_unreachable",
        )
        return [Send(recipient=entry, message=refused) for entry in run.watchers]

    @take.register
    def _(self, event: events.RunBroken, now_s: float) -> list:
        run = self.ledger.run(event.request_id)
        if run is None or run.standing is not Standing.DISPATCHED:
            return []
        actions = self._crash_evidence(run, now_s) if event.crashed else []
        if run.resumes >= RESUMES_MAX:
            return actions + self._fail(run, event.detail, now_s)
        run.resumes += 1
        resume = events.ResumeRun(
            call=run.call,
            after_event_id=run.last_event_id,
            delay_s=RESUME_DELAY_S * 2**run.resumes,
        )
        return actions + [Count(name="retries", reason="resume"), resume]

    @take.register
    def _(self, event: events.RunUnknown, now_s: float) -> list:
        run = self.ledger.run(event.request_id)
        if run is None or run.standing is not Standing.DISPATCHED:
            return []
        return self._fail(run, event.detail, now_s)

    def _fail(self, run: Run, detail: str, now_s: float) -> list:
        self._add_piece(run, now_s, error=detail)
        self.limit.finished(run.request_id, now_s)
        return [Count(name="runs_failed", reason="broken"), *self.outbox.flush()]

    def crashes(self, now_s: float) -> list[messages.CrashEvidence]:
        """Return what a new entry is told of the upstream's last crashes."""
        return [
            attrs.evolve(each.evidence, age_s=now_s - each.at_s)
            for each in self._crashes
        ]

    def _crash_evidence(self, run: Run, now_s: float) -> list:
        # One crash breaks every stream; it must count once for each of them.
        if run.crash_counted:
            return []
        running = self.ledger.running()
        for each in running:
            each.crash_counted = True
        evidence = messages.CrashEvidence(
            service=self.service,
            upstream=self.upstream,
            crash_id=self.new_id(),
            fingerprints=tuple(each.call.fingerprint for each in running),
        )
        self._crashes.append(_TimedEvidence(evidence=evidence, at_s=now_s))
        return [Send(recipient=e, message=evidence) for e in self.puller.entries()]

    def _add_piece(
        self,
        run: Run,
        now_s: float,
        *,
        head: Head | None = None,
        body: bytes = b"",
        count: int | None = None,
        error: str | None = None,
    ) -> None:
        piece = Piece(
            request_id=run.request_id,
            number=len(run.pieces),
            head=head,
            body=body,
            count=count,
            error=error,
        )
        self.ledger.add_piece(run, piece, now_s)
        # The head is no token: an engine may send it before it reads the prompt.
        if body:
            self.limit.piece_received(run.request_id, now_s)
        for entry in run.watchers:
            self.outbox.add(entry, piece, now_s)

    @take.register
    def _(self, event: events.CacheChanged, now_s: float) -> list:
        return self._cache_changed(event)

    def _cache_changed(self, event: events.CacheChanged) -> list:
        if event.reset:
            self._prefixes.clear()
        # Answers to one shared prompt name the same blocks again and again.
        removed = tuple(each for each in event.removed if each in self._prefixes)
        added = tuple(each for each in event.added if each not in self._prefixes)
        if not (added or removed or event.reset):
            return []
        for prefix in removed:
            del self._prefixes[prefix]
        self._prefixes.update(dict.fromkeys(added))
        while len(self._prefixes) > PREFIXES_MAX:
            del self._prefixes[next(iter(self._prefixes))]
        self._prefix_sequence += 1
        message = messages.PrefixHeld(
            service=self.service,
            sequence=self._prefix_sequence,
            added=added,
            removed=removed,
            reset=event.reset,
        )
        return [Send(recipient=e, message=message) for e in self.puller.entries()]

    def prefixes_held(self) -> messages.PrefixHeld:
        """Return what a new entry is told of the upstream's cache."""
        return messages.PrefixHeld(
            service=self.service,
            sequence=self._prefix_sequence,
            added=tuple(self._prefixes),
            reset=True,
        )
