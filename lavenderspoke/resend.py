"""Decides by a round of claims whether a re-sent key may run.

After the request has arrived, the entry reads the roster to its current end. Every
incarnation that an earlier attempt could have reached had joined by then, so the
roster names it. Each is asked to claim the key for this attempt, which is queued
only when all have done so. An agent that ran the key, or has claimed it for another
attempt, reports that; one that can't answer makes the outcome unknown.
"""

import enum

import attrs

from lavenderspoke.core import Send
from lavenderspoke.membership.roster import AgentIncarnation
from lavenderspoke.messages import Claim, Claimed, Unclaim
from lavenderspoke.model import InstanceId, Standing

CLAIM_RETRY_S = 0.25


class ClaimResult(enum.Enum):
    """The result of a round."""

    ALL_HELD = "all_held"  # no attempt has run; this one may be granted
    RAN = "ran"  # an agent ran the key: attach to its answer
    TAKEN = "taken"  # another attempt has claimed the key
    UNKNOWN = "unknown"  # an agent that may have run it can't answer


@attrs.frozen(kw_only=True)
class ClaimOutcome:
    """The end of a round; for RAN, `agent` and `holder` name the run."""

    result: ClaimResult
    agent: InstanceId | None = None
    holder: str | None = None


@attrs.define(kw_only=True)
class ClaimRound:
    """One round of claims for one attempt.

    `lifetime_s` is how long agents keep the claims. At `deadline_s`, on the entry's
    clock, the round stops waiting for agents that haven't answered.
    """

    request_id: str
    key: str
    number: int
    lifetime_s: float
    deadline_s: float
    read_id: str
    stamp: int = -1
    asked: set[InstanceId] | None = None
    _answers: dict[InstanceId, Claimed] = attrs.field(factory=dict)
    _unreachable: bool = False
    _ask_s: float = 0.0

    def roster_read(
        self, incarnations: list[AgentIncarnation], offset: int, now_s: float
    ) -> list[Send]:
        """Send claims for the incarnations in the roster as read to `offset`."""
        self.stamp = offset
        self.asked = set()
        known = {incarnation.agent: incarnation for incarnation in incarnations}
        for incarnation in incarnations:
            target = find_answerer(incarnation, known)
            if target is None:
                self._unreachable = True
            elif target is not NO_ANSWERER:
                self.asked.add(target)
        return self.ask(now_s)

    def roster_failed(self) -> None:
        """Record that the roster can't be read: any agent may have run the key."""
        self._unreachable = True

    def ask(self, now_s: float) -> list[Send]:
        """Return claims for agents that haven't answered, if a retry is due."""
        if self.asked is None or now_s < self._ask_s:
            return []
        self._ask_s = now_s + CLAIM_RETRY_S
        claim = Claim(
            key=self.key,
            request_id=self.request_id,
            round=self.number,
            lifetime_s=self.lifetime_s,
        )
        return [
            Send(recipient=agent, message=claim)
            for agent in self.asked
            if agent not in self._answers
        ]

    def record_answer(self, sender: InstanceId, claimed: Claimed) -> None:
        """Record an agent's answer to the current round."""
        current = claimed.round == self.number
        if current and self.asked is not None and sender in self.asked:
            self._answers[sender] = claimed

    def outcome(self, now_s: float) -> ClaimOutcome | None:
        """Return the outcome of the round, or None while it is open.

        A run that was found takes precedence, even if other agents can't be asked:
        its answer is the answer to this attempt.
        """
        others = {
            agent: claimed
            for agent, claimed in self._answers.items()
            if claimed.holder != self.request_id
        }
        for agent, claimed in others.items():
            if claimed.standing is not Standing.CLAIMED:
                return ClaimOutcome(
                    result=ClaimResult.RAN, agent=agent, holder=claimed.holder
                )
        if self._unreachable:
            return ClaimOutcome(result=ClaimResult.UNKNOWN)
        if self.asked is not None and len(self._answers) == len(self.asked):
            result = ClaimResult.TAKEN if others else ClaimResult.ALL_HELD
            return ClaimOutcome(result=result)
        if now_s >= self.deadline_s:
            return ClaimOutcome(
                result=ClaimResult.TAKEN if others else ClaimResult.UNKNOWN
            )
        return None

    def release(self) -> list[Send]:
        """Return the messages that release this round's claims."""
        unclaim = Unclaim(key=self.key, request_id=self.request_id, round=self.number)
        return [Send(recipient=agent, message=unclaim) for agent in self.asked or ()]


# Returned by `find_answerer` for an incarnation that left without holding any key.
NO_ANSWERER = InstanceId(name="", incarnation="")


def find_answerer(
    incarnation: AgentIncarnation, known: dict[InstanceId, AgentIncarnation]
) -> InstanceId | None:
    """Return the agent that answers for an incarnation's keys, None if there is none.

    An incarnation that left cleanly handed its keys to the heir it named. The keys
    of one that was superseded without leaving are lost.
    """
    seen = set()
    while incarnation.left:
        if incarnation.heir is None:
            return NO_ANSWERER
        if incarnation.heir in seen or incarnation.heir not in known:
            return None
        seen.add(incarnation.heir)
        incarnation = known[incarnation.heir]
    return None if incarnation.superseded else incarnation.agent
