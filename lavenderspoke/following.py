"""Follows a request from its grant to the end of its answer.

A granted request may be granted again only after its agent has reported that it
never ran. If the agent is silent, the entry queries it. If the agent has died, its
successor asks the upstream for the run by its id. If nobody can tell, the caller
gets "outcome unknown": an uncertain run is never repeated.
"""

import functools

import attrs

from lavenderspoke import messages
from lavenderspoke.core import Count, Observe, Send
from lavenderspoke.entryevents import Answered, DidNotRun, Finish, Reply
from lavenderspoke.gateway import AnswerBody, AnswerEnd
from lavenderspoke.messages import Piece
from lavenderspoke.model import InstanceId, Ran, Standing
from lavenderspoke.problems import Problem, Reason
from lavenderspoke.reassembly import is_complete
from lavenderspoke.tracked import Phase, TrackedRequest, TrackedRequests

# A refusal, or "never" in reply to a revoke, is trusted for this long after the
# grant. The ledger remembers runs for twice as long (`ledger.RUN_MEMORY_S`), so an
# entry that was paused can't mistake a forgotten run for one that never happened:
# once its run is forgotten, a late copy of a grant is refused too.
NEVER_RAN_TRUST_S = 60.0


@attrs.frozen(kw_only=True)
class GrantTimeouts:
    """When a silent agent is queried and when it is given up, in seconds."""

    grant_timeout_s: float = 0.25
    attach_after_s: float = 1.0
    retry_interval_s: float = 0.25
    silence_timeout_s: float = 10.0


@attrs.define(kw_only=True)
class GrantFollower:
    """Tracks granted requests until their answers end or they did not run."""

    requests: TrackedRequests
    times: GrantTimeouts

    @functools.singledispatchmethod
    def receive(self, message: object, sender: InstanceId, now_s: float) -> list:
        """Handle an agent's message about granted requests."""
        raise TypeError(f"message {message!r} does not concern a grant")

    def _with_current_grant(self, message, sender: InstanceId) -> TrackedRequest | None:
        # A reply may be late or duplicated, after the request was granted
        # elsewhere. Only a reply to the current grant counts.
        tracked = self.requests.get(message.request_id)
        if tracked is None or tracked.agent != sender:
            return None
        return tracked if tracked.nonce and tracked.nonce == message.nonce else None

    @receive.register
    def _(self, message: messages.Granted, sender, now_s) -> list:
        tracked = self._with_current_grant(message, sender)
        if tracked is None:
            return []
        tracked.last_heard_s = now_s
        if tracked.phase is Phase.GRANTED:
            tracked.phase = Phase.RUNNING
        return []

    @receive.register
    def _(self, message: messages.Refused, sender, now_s) -> list:
        tracked = self._with_current_grant(message, sender)
        if tracked is None:
            return []
        return self._on_never_ran(tracked, message.reason, now_s)

    @receive.register
    def _(self, message: messages.Revoked, sender, now_s) -> list:
        if message.nonce:
            tracked = self._with_current_grant(message, sender)
            followers = [] if tracked is None else [tracked]
        else:
            followers = self.requests.followers(message.request_id, sender)
        actions = []
        for tracked in followers:
            actions += self._apply_standing(tracked, message.standing, now_s)
        return actions

    def _apply_standing(
        self, tracked: TrackedRequest, standing: Standing, now_s: float
    ) -> list:
        tracked.last_heard_s = now_s
        if standing is Standing.NEVER:
            return self._on_never_ran(tracked, "revoked", now_s)
        if tracked.phase is Phase.GRANTED:
            tracked.phase = Phase.RUNNING
        if standing is Standing.FINISHED:
            return [self._fail(tracked, "the answer is no longer held", Ran.YES)]
        if standing is Standing.FAILED:
            return [self._fail(tracked, "the answer can't be completed", Ran.UNKNOWN)]
        if standing is Standing.UNKNOWN and tracked.phase is Phase.RUNNING:
            return [
                self._fail(tracked, "the agent has no record of the run", Ran.UNKNOWN)
            ]
        return []

    def _on_never_ran(self, tracked: TrackedRequest, reason: str, now_s: float) -> list:
        if now_s - tracked.granted_s > NEVER_RAN_TRUST_S:
            return [
                self._fail(
                    tracked,
                    "the agent's reply came too late to be trusted",
                    Ran.UNKNOWN,
                )
            ]
        return [DidNotRun(request_id=tracked.request_id, reason=reason)]

    @receive.register
    def _(self, message: messages.Pieces, sender, now_s) -> list:
        actions = []
        for piece in message.pieces:
            for tracked in self.requests.followers(piece.request_id, sender):
                actions += self._add_piece(tracked, piece, now_s)
        return actions

    def _add_piece(self, tracked: TrackedRequest, piece: Piece, now_s: float) -> list:
        tracked.last_heard_s = now_s
        tracked.phase = Phase.RUNNING
        actions = []
        for ready in tracked.reassembly.add(piece):
            actions += self._deliver(tracked, ready, now_s)
        return actions

    def _deliver(self, tracked: TrackedRequest, piece: Piece, now_s: float) -> list:
        request_id = tracked.request_id
        if piece.error is not None:
            return [self._fail(tracked, piece.error, Ran.UNKNOWN)]
        if piece.count is not None:
            return self._complete(tracked, piece, now_s)
        if piece.head is not None:
            tracked.head_sent = True
            return [Reply(request_id=request_id, part=piece.head)]
        actions = [Reply(request_id=request_id, part=AnswerBody(body=piece.body))]
        if piece.number == 1:
            actions.append(observe("first_part_s", tracked, now_s))
        return actions

    def _complete(self, tracked: TrackedRequest, piece: Piece, now_s: float) -> list:
        if not is_complete(piece):
            return [self._fail(tracked, "the count of pieces is wrong", Ran.YES)]
        taken = messages.AnswerTaken(request_id=tracked.run_id)
        self.requests.remove(tracked.request_id)
        late = now_s > tracked.deadline_s
        return [
            Reply(request_id=tracked.request_id, part=AnswerEnd()),
            Send(recipient=tracked.agent, message=taken),
            Answered(call=tracked.call),
            Count(name="answers", reason="late" if late else "in_time"),
            observe("answer_s", tracked, now_s),
        ]

    def _fail(self, tracked: TrackedRequest, detail: str, ran: Ran) -> Finish:
        incomplete = tracked.head_sent or ran is Ran.YES
        reason = Reason.ANSWER_INCOMPLETE if incomplete else Reason.OUTCOME_UNKNOWN
        problem = Problem(reason=reason, ran=ran, detail=detail)
        return Finish(request_id=tracked.request_id, problem=problem)

    # Silence

    def check(self, tracked: TrackedRequest, now_s: float) -> list:
        """Query the agent of a silent request, or fail it after its deadline."""
        if not tracked.is_with_agent:
            return []
        if self._has_timed_out(tracked, now_s):
            return [
                Send(
                    recipient=tracked.agent,
                    message=messages.Cancel(request_id=tracked.run_id),
                ),
                self._fail(tracked, "no answer from the agent", Ran.UNKNOWN),
            ]
        if now_s - tracked.last_asked_s < self.times.retry_interval_s:
            return []
        silent_s = now_s - tracked.last_heard_s
        if tracked.phase is Phase.GRANTED and silent_s >= self.times.grant_timeout_s:
            return self._query(tracked, self._revoke(tracked), now_s)
        if tracked.phase is Phase.RESUMING:
            return self._query(tracked, self._resume(tracked), now_s)
        if tracked.reassembly.has_gap or silent_s >= self.times.attach_after_s:
            return self._query(tracked, self._attach(tracked), now_s)
        return []

    def _has_timed_out(self, tracked: TrackedRequest, now_s: float) -> bool:
        if now_s < tracked.deadline_s:
            return False
        # An answer that has begun is delivered to its end, however late, while
        # its agent is not silent; one that hasn't is of no more use to its caller.
        silent_s = now_s - tracked.last_heard_s
        return not tracked.head_sent or silent_s >= self.times.silence_timeout_s

    def _query(self, tracked: TrackedRequest, message, now_s: float) -> list:
        tracked.last_asked_s = now_s
        return [
            Count(name="retries", reason=type(message).__name__.lower()),
            Send(recipient=tracked.agent, message=message),
        ]

    def _revoke(self, tracked: TrackedRequest) -> messages.Revoke:
        return messages.Revoke(request_id=tracked.request_id, nonce=tracked.nonce)

    def _attach(self, tracked: TrackedRequest) -> messages.Attach:
        return messages.Attach(
            request_id=tracked.run_id, number=tracked.reassembly.next_number
        )

    def _resume(self, tracked: TrackedRequest) -> messages.Resume:
        call = attrs.evolve(tracked.call, request_id=tracked.run_id)
        return messages.Resume(call=call, incarnation="")

    def attach(
        self, tracked: TrackedRequest, agent: InstanceId, run_id: str, now_s: float
    ) -> list:
        """Follow another attempt's run at `agent` from its first piece."""
        self.requests.attach(tracked, agent, run_id, now_s)
        return [Send(recipient=agent, message=self._attach(tracked))]

    def on_successor(self, new: InstanceId, can_resume: bool, now_s: float) -> list:
        """Resume the requests of an agent that was replaced, or fail them.

        The old process is gone, since the new one holds its address. Whether it
        had dispatched a request is unknown here, so the request is never granted
        again. If the upstream can resume, the successor asks it for the run.
        """
        actions = []
        for tracked in self.requests:
            if not tracked.is_with_agent or tracked.agent.name != new.name:
                continue
            if not can_resume:
                detail = "the agent died; the upstream can't resume runs"
                actions.append(self._fail(tracked, detail, Ran.UNKNOWN))
                continue
            tracked.agent = new
            tracked.phase = Phase.RESUMING
            tracked.nonce = ""
            actions += self._query(tracked, self._resume(tracked), now_s)
        return actions


def observe(name: str, tracked: TrackedRequest, now_s: float) -> Observe:
    """Return an `Observe` of the seconds since the request arrived."""
    return Observe(
        name=name,
        service=tracked.call.service,
        tier=tracked.call.tier,
        value_s=now_s - tracked.arrived_s,
    )
