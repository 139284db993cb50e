"""Which agents are told that work waits, and when.

An arrival is told at once to the few agents that look best for it. Whatever
still waits a moment later is told to every agent of the service, once for each
tier until that agent has been told otherwise. Under load nearly nothing is
sent: an agent that knows of waiting work pulls when it has room.
"""

import attrs

from lavenderspoke.core import Send
from lavenderspoke.messages import Demand
from lavenderspoke.model import Call, InstanceId
from lavenderspoke.views import AgentView
from lavenderspoke.waiting import WaitingQueue

FANOUT = 2
BROADCAST_AFTER_S = 0.02


@attrs.define(kw_only=True)
class DemandNotifier:
    """What the agents of one service have been told of its queue."""

    service: str
    _told: dict[InstanceId, set[int]] = attrs.field(factory=dict)
    broadcast_s: float | None = None

    def on_arrival(
        self,
        call: Call,
        cached_tokens: dict[str, int],
        queue: WaitingQueue,
        agents: list[AgentView],
        now_s: float,
    ) -> list[Send]:
        """Tell the agents that look best; the others a moment later."""
        if self.broadcast_s is None:
            self.broadcast_s = now_s + BROADCAST_AFTER_S
        free = [v for v in agents if v.accepts_work and v.announce.room > 0]
        free.sort(key=lambda view: preference(view, cached_tokens))
        sends = []
        for view in free[:FANOUT]:
            if call.tier not in self._told.get(view.agent, ()):
                sends.append(self._tell(view.agent, queue))
        return sends

    def broadcast_if_due(
        self, queue: WaitingQueue, agents: list[AgentView], now_s: float
    ) -> list[Send]:
        """Tell every agent what it doesn't know, when that is due."""
        if self.broadcast_s is None or now_s < self.broadcast_s:
            return []
        self.broadcast_s = now_s + BROADCAST_AFTER_S if len(queue) else None
        waiting = set(queue.counts())
        return [
            self._tell(view.agent, queue)
            for view in agents
            if view.accepts_work and waiting - self._told.get(view.agent, set())
        ]

    def notify_all(self, queue: WaitingQueue, agents: list[AgentView]) -> list[Send]:
        """Tell everyone anew, since any message may have been lost."""
        present = {view.agent for view in agents}
        self._told = {a: told for a, told in self._told.items() if a in present}
        return [self._tell(view.agent, queue) for view in agents if view.accepts_work]

    def record_notified(self, agent: InstanceId, waiting: dict[int, int]) -> None:
        """Note what an agent was told in the answer to its pull."""
        self._told[agent] = set(waiting)

    def _tell(self, agent: InstanceId, queue: WaitingQueue) -> Send:
        waiting = queue.counts()
        self._told[agent] = set(waiting)
        demand = Demand(service=self.service, waiting=waiting)
        return Send(recipient=agent, message=demand)


def preference(view: AgentView, cached_tokens: dict[str, int]) -> tuple:
    """Return the sort key by which an idle agent is told first."""
    announce = view.announce
    busy_s = announce.step_s * (announce.running + 1)
    return (announce.straggling, -cached_tokens.get(announce.upstream, 0), busy_s)
