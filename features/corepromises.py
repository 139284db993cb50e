"""Invariants that must hold however messages between cores are delivered."""

from collections.abc import Callable

import attrs

from lavenderspoke.entryevents import Reply
from lavenderspoke.gateway import AnswerBody, AnswerBroken, AnswerEnd, AnswerPart
from lavenderspoke.model import Call, Head, Ran
from lavenderspoke.problems import Problem, Reason
from lavenderspoke.tracked import Phase

FINAL = (Problem, AnswerEnd, AnswerBroken)


@attrs.define(kw_only=True)
class Caller:
    """A caller's request and the parts of its answer; its entry may die."""

    call: Call
    entry: object
    parts: list[AnswerPart] = attrs.field(factory=list)
    is_cut: bool = False

    @property
    def is_open(self) -> bool:
        """Whether the final part is still to come."""
        return not self.is_cut and not any(isinstance(p, FINAL) for p in self.parts)


@attrs.define(kw_only=True)
class Promises:
    """The promises to callers, checked at each step that could break one.

    `bodies` returns the answer of a run. A dispatch counts as a run unless its
    upstream was provably never reached.
    """

    key_lifetime_s: float
    bodies: Callable[[str], list[bytes]]
    callers: dict[str, Caller] = attrs.field(factory=dict)
    runs: dict[str, float] = attrs.field(factory=dict)
    reported_not_run: set[str] = attrs.field(factory=set)
    sheds_checked: int = 0
    dropped: int = 0

    def sent(self, call: Call, entry: object) -> None:
        """Record a request."""
        self.callers[call.request_id] = Caller(call=call, entry=entry)

    def open(self) -> list[str]:
        """Return the requests that have no final answer."""
        return [name for name, caller in self.callers.items() if caller.is_open]

    def entry_died(self, entry: object) -> None:
        """Record that an entry has died: its callers get no further parts."""
        for caller in self.callers.values():
            if caller.entry is entry and caller.is_open:
                caller.is_cut = True

    def dispatched(self, call: Call, agent, now_s: float) -> None:
        """Check a dispatch before it is counted."""
        request_id = call.request_id
        assert agent.core.accepts, f"{request_id} was dispatched by a leaving agent"
        assert (
            request_id not in self.reported_not_run
        ), f"{request_id} runs after 'not run'"
        assert request_id not in self.runs, f"{request_id} runs a second time"
        if call.key is not None:
            for other, began_s in self.runs.items():
                same = self.callers[other].call.key == call.key
                lives = now_s < began_s + self.key_lifetime_s
                assert not (same and lives), f"{call.key} runs as {other}, {request_id}"
        self.runs[request_id] = now_s

    def not_started(self, request_id: str) -> None:
        """Record that a dispatch provably never reached its upstream."""
        del self.runs[request_id]

    def replied(self, request_id: str, part: AnswerPart) -> None:
        """Check a part of an answer against those before it."""
        caller = self.callers[request_id]
        assert caller.is_open, f"{request_id}: {part} after the final part"
        begun = bool(caller.parts)
        assert isinstance(part, (Head, Problem)) or begun, f"{part} comes first"
        assert not (isinstance(part, (Head, Problem)) and begun), f"late {part}"
        caller.parts.append(part)
        if isinstance(part, (AnswerBody, AnswerEnd)):
            self._check_bodies(caller, is_whole=isinstance(part, AnswerEnd))
        problem = getattr(part, "problem", part)
        if isinstance(problem, Problem) and problem.ran is Ran.NO:
            assert request_id not in self.runs, f"{request_id} ran: {problem}"
            assert not isinstance(part, AnswerBroken), f"{request_id}: {problem}"
            self.reported_not_run.add(request_id)

    def _check_bodies(self, caller: Caller, *, is_whole: bool) -> None:
        given = [part.body for part in caller.parts if isinstance(part, AnswerBody)]
        run_id = given[0].decode().split("/")[0] if given else caller.call.request_id
        whole = self.bodies(run_id)
        assert given == (whole if is_whole else whole[: len(given)]), given
        runs_own = run_id == caller.call.request_id
        runs_key = self.callers[run_id].call.key == caller.call.key is not None
        assert runs_own or runs_key, f"{caller.call} was given {run_id}"

    def shed(self, reply: Reply, entry, entries, now_s: float) -> None:
        """Check that no entry keeps a lower tier waiting when a request is shed."""
        problem = reply.part
        if not isinstance(problem, Problem) or problem.reason is not Reason.SHED:
            return
        rank = self.callers[reply.request_id].call.tier
        self.sheds_checked += rank > 1
        for each in entries:
            kept = [
                tracked.request_id
                for tracked in each.core.requests
                if tracked.phase in (Phase.WAITING, Phase.CLAIMING)
                and tracked.call.tier < rank
            ]
            assert not kept, f"{reply.request_id} is shed while {kept} wait"

    def check_end(self) -> None:
        """Check that every caller has its final part."""
        assert not self.open(), f"never answered: {self.open()}"
