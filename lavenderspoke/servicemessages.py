"""Handles other daemons' messages about an entry's services."""

import functools

import attrs

from lavenderspoke import messages
from lavenderspoke.core import Count, Send
from lavenderspoke.dropping import RequestDropper
from lavenderspoke.model import InstanceId
from lavenderspoke.servicestate import ServiceState
from lavenderspoke.views import AgentViews, PeerViews


@attrs.define(kw_only=True)
class ServiceMessages:
    """Handles the messages about crashes, prefixes and floors."""

    services: dict[str, ServiceState]
    agents: AgentViews
    peers: PeerViews
    dropper: RequestDropper

    @functools.singledispatchmethod
    def receive(self, message: object, sender: InstanceId, now_s: float) -> list:
        """Handle a message; one about an unknown service is ignored."""
        raise TypeError(f"message {message!r} does not concern a service")

    @receive.register
    def _(self, message: messages.PrefixHeld, sender, now_s) -> list:
        state = self.services.get(message.service)
        view = self.agents.get(sender)
        if state is None or view is None:
            return []
        upstream = view.announce.upstream
        if state.prefix_index.apply_event(sender, message, upstream=upstream):
            return []
        return [Count(name="prefix_gaps", reason=message.service)]

    @receive.register
    def _(self, message: messages.CrashEvidence, sender, now_s) -> list:
        state = self.services.get(message.service)
        if state is None:
            return []
        actions = []
        for verdict in state.crashes.record_crash(message, now_s):
            actions += self._quarantine(verdict)
            actions += [
                Send(recipient=peer, message=verdict) for peer in self.peers.ids()
            ]
        return actions

    @receive.register
    def _(self, message: messages.Quarantined, sender, now_s) -> list:
        state = self.services.get(message.service)
        if state is None:
            return []
        state.crashes.apply_quarantine(message, now_s)
        return self._quarantine(message)

    def _quarantine(self, verdict: messages.Quarantined) -> list:
        return [
            Count(name="quarantines", reason=verdict.service),
            *self.dropper.drop_quarantined(verdict.service, verdict.fingerprint),
        ]

    @receive.register
    def _(self, message: messages.Floor, sender, now_s) -> list:
        state = self.services.get(message.service)
        if state is None:
            return []
        return self.dropper.apply(state.floors.on_floor(sender, message, now_s))

    @receive.register
    def _(self, message: messages.FloorHeld, sender, now_s) -> list:
        state = self.services.get(message.service)
        if state is None:
            return []
        state.floors.on_floor_held(sender, message, now_s)
        return self.dropper.shed_excess(state, now_s)
