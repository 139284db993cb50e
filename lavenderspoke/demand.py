"""Notifies agents that requests wait, so that they pull them.

At most `NOTIFIED_AT_ONCE_MAX` agents with free slots are notified of a queued
request at once. While requests wait, every agent of the service is notified each
`BROADCAST_AFTER_S`, unless its last notification already named the waiting tiers.
Under load this sends almost nothing: an agent that knows of waiting requests
pulls whenever it has free slots.
"""

import attrs

from lavenderspoke.core import Send
from lavenderspoke.messages import Demand
from lavenderspoke.model import Call, InstanceId
from lavenderspoke.views import AgentView
from lavenderspoke.waiting import WaitingQueue

NOTIFIED_AT_ONCE_MAX = 2
BROADCAST_AFTER_S = 0.02


@attrs.define(kw_only=True)
class DemandNotifier:
    """Tracks which waiting tiers each agent of one service was notified of."""

    service: str
    _notified_tiers: dict[InstanceId, set[int]] = attrs.field(factory=dict)
    next_broadcast_s: float | None = None

    def on_arrival(
        self,
        call: Call,
        cached_tokens: dict[str, int],
        queue: WaitingQueue,
        agents: list[AgentView],
        now_s: float,
    ) -> list[Send]:
        """Notify the preferred agents with free slots, and schedule a broadcast."""
        if self.next_broadcast_s is None:
            self.next_broadcast_s = now_s + BROADCAST_AFTER_S
        free = [v for v in agents if v.accepts_work and v.announce.room > 0]
        free.sort(key=lambda view: notification_sort_key(view, cached_tokens))
        sends = []
        for view in free[:NOTIFIED_AT_ONCE_MAX]:
            if call.tier not in self._notified_tiers.get(view.agent, ()):
                sends.append(self._notify(view.agent, queue))
        return sends

    def broadcast_if_due(
        self, queue: WaitingQueue, agents: list[AgentView], now_s: float
    ) -> list[Send]:
        """If a broadcast is due, notify agents that don't know of a waiting tier.

        The next one is scheduled if requests still wait.
        """
        if self.next_broadcast_s is None or now_s < self.next_broadcast_s:
            return []
        self.next_broadcast_s = now_s + BROADCAST_AFTER_S if len(queue) else None
        waiting = set(queue.counts())
        return [
            self._notify(view.agent, queue)
            for view in agents
            if view.accepts_work
            and waiting - self._notified_tiers.get(view.agent, set())
        ]

    def notify_all(self, queue: WaitingQueue, agents: list[AgentView]) -> list[Send]:
        """Notify these agents again, since any message may have been lost.

        Earlier notifications of agents that aren't in `agents` are forgotten.
        """
        present = {view.agent for view in agents}
        self._notified_tiers = {
            agent: tiers
            for agent, tiers in self._notified_tiers.items()
            if agent in present
        }
        return [self._notify(view.agent, queue) for view in agents if view.accepts_work]

    def record_notified(self, agent: InstanceId, waiting: dict[int, int]) -> None:
        """Record the waiting tiers that the answer to an agent's pull named."""
        self._notified_tiers[agent] = set(waiting)

    def _notify(self, agent: InstanceId, queue: WaitingQueue) -> Send:
        waiting = queue.counts()
        self._notified_tiers[agent] = set(waiting)
        demand = Demand(service=self.service, waiting=waiting)
        return Send(recipient=agent, message=demand)


def notification_sort_key(view: AgentView, cached_tokens: dict[str, int]) -> tuple:
    """Return the sort key of an agent; the smallest is notified first.

    It prefers agents that aren't straggling, then more cached tokens, then less
    load (step time times one more than the running requests).
    """
    announce = view.announce
    busy_s = announce.step_s * (announce.running + 1)
    return (announce.straggling, -cached_tokens.get(announce.upstream, 0), busy_s)
