"""An entry's view of the agents and other entries, from their announcements."""

import attrs

from lavenderspoke.messages import Announce, EntryAnnounce
from lavenderspoke.model import InstanceId

# Incarnations remembered per agent, newest first. They are kept after the agent
# times out, so that a late announcement of an old one isn't taken for a restart.
INCARNATIONS_MAX = 8


@attrs.define(kw_only=True)
class AgentView:
    """The latest announcement of an agent's current incarnation.

    `listed_leaving` says that the platform's member list marks it as leaving.
    """

    agent: InstanceId
    announce: Announce
    received_s: float
    listed_leaving: bool = False

    @property
    def accepts_work(self) -> bool:
        """Whether it may be granted requests."""
        return not (self.announce.leaving or self.listed_leaving)


@attrs.define(kw_only=True)
class PeerView:
    """The latest announcement of another entry."""

    entry: InstanceId
    announce: EntryAnnounce
    received_s: float


@attrs.define(kw_only=True)
class AgentViews:
    """The agents that announced themselves within `silence_timeout_s`.

    `remove_silent` removes the others.
    """

    silence_timeout_s: float
    _views: dict[str, AgentView] = attrs.field(factory=dict)
    _incarnations: dict[str, list[str]] = attrs.field(factory=dict)
    _leaving_names: frozenset[str] = frozenset()

    def record_announcement(
        self, agent: InstanceId, announce: Announce, now_s: float
    ) -> bool:
        """Record an announcement; return whether its incarnation is new."""
        known = self._incarnations.setdefault(agent.name, [])
        is_new = agent.incarnation not in known
        if is_new:
            known.insert(0, agent.incarnation)
            del known[INCARNATIONS_MAX:]
        # A late announcement of an earlier incarnation must not restore it.
        if agent.incarnation == known[0]:
            self._views[agent.name] = AgentView(
                agent=agent,
                announce=announce,
                received_s=now_s,
                listed_leaving=agent.name in self._leaving_names,
            )
        return is_new

    def set_listed_leaving(self, names: frozenset[str]) -> None:
        """Set which agents the platform's member list marks as leaving."""
        self._leaving_names = names
        for view in self._views.values():
            view.listed_leaving = view.agent.name in names

    def get(self, agent: InstanceId) -> AgentView | None:
        """Return the view of exactly this incarnation, or None."""
        view = self._views.get(agent.name)
        return view if view is not None and view.agent == agent else None

    def current(self, name: str) -> AgentView | None:
        """Return the view of the agent's current incarnation, or None."""
        return self._views.get(name)

    def for_service(self, service: str) -> list[AgentView]:
        """Return the views of a service's agents."""
        return [v for v in self._views.values() if v.announce.service == service]

    def all(self) -> list[AgentView]:
        """Return the views of all agents."""
        return list(self._views.values())

    def remove_silent(self, now_s: float) -> list[AgentView]:
        """Remove and return the agents without a recent announcement."""
        silent = [
            v
            for v in self._views.values()
            if now_s - v.received_s > self.silence_timeout_s
        ]
        for view in silent:
            del self._views[view.agent.name]
        return silent


@attrs.define(kw_only=True)
class PeerViews:
    """The other entries that announced themselves within `silence_timeout_s`.

    `remove_silent` removes the others.
    """

    silence_timeout_s: float
    _views: dict[str, PeerView] = attrs.field(factory=dict)

    def record_announcement(
        self, entry: InstanceId, announce: EntryAnnounce, now_s: float
    ) -> bool:
        """Record an announcement; return whether the entry or incarnation is new."""
        view = self._views.get(entry.name)
        self._views[entry.name] = PeerView(
            entry=entry, announce=announce, received_s=now_s
        )
        return view is None or view.entry != entry

    def ids(self) -> set[InstanceId]:
        """Return the instance ids of the entries."""
        return {view.entry for view in self._views.values()}

    def remove_silent(self, now_s: float) -> list[InstanceId]:
        """Remove and return the entries without a recent announcement."""
        silent = [
            view.entry
            for view in self._views.values()
            if now_s - view.received_s > self.silence_timeout_s
        ]
        for entry in silent:
            del self._views[entry.name]
        return silent
