"""What an entry believes of the agents and the other entries."""

import attrs

from lavenderspoke.messages import Announce, EntryAnnounce
from lavenderspoke.model import InstanceId

# Incarnations of an instance that are remembered, newest first, also while it is
# silent, so that a late announcement of one isn't taken for a new life.
INCARNATIONS_MAX = 8


@attrs.define(kw_only=True)
class AgentView:
    """The last announcement of an agent's present incarnation."""

    agent: InstanceId
    announce: Announce
    heard_s: float
    listed_leaving: bool = False

    @property
    def accepts_work(self) -> bool:
        """Whether it may be granted anything."""
        return not (self.announce.leaving or self.listed_leaving)


@attrs.define(kw_only=True)
class PeerView:
    """The last announcement of another entry."""

    entry: InstanceId
    announce: EntryAnnounce
    heard_s: float


@attrs.define(kw_only=True)
class AgentViews:
    """The agents that have announced themselves lately."""

    silence_timeout_s: float
    _views: dict[str, AgentView] = attrs.field(factory=dict)
    _incarnations: dict[str, list[str]] = attrs.field(factory=dict)
    _leaving: frozenset[str] = frozenset()

    def record_announcement(
        self, agent: InstanceId, announce: Announce, now_s: float
    ) -> bool:
        """Take an announcement; return whether the incarnation is a new one."""
        known = self._incarnations.setdefault(agent.name, [])
        is_new = agent.incarnation not in known
        if is_new:
            known.insert(0, agent.incarnation)
            del known[INCARNATIONS_MAX:]
        # A late announcement of an earlier life must not bring it back.
        if agent.incarnation == known[0]:
            self._views[agent.name] = AgentView(
                agent=agent,
                announce=announce,
                heard_s=now_s,
                listed_leaving=agent.name in self._leaving,
            )
        return is_new

    def set_listed_leaving(self, names: frozenset[str]) -> None:
        """Note which agents the platform's list says are leaving."""
        self._leaving = names
        for view in self._views.values():
            view.listed_leaving = view.agent.name in names

    def get(self, agent: InstanceId) -> AgentView | None:
        """Return the view of exactly this incarnation."""
        view = self._views.get(agent.name)
        return view if view is not None and view.agent == agent else None

    def current(self, name: str) -> AgentView | None:
        """Return the view of whatever incarnation lives now."""
        return self._views.get(name)

    def for_service(self, service: str) -> list[AgentView]:
        """Return the agents of a service."""
        return [v for v in self._views.values() if v.announce.service == service]

    def all(self) -> list[AgentView]:
        """Return every agent."""
        return list(self._views.values())

    def remove_silent(self, now_s: float) -> list[AgentView]:
        """Forget the agents that have fallen silent, and return them."""
        silent = [
            v
            for v in self._views.values()
            if now_s - v.heard_s > self.silence_timeout_s
        ]
        for view in silent:
            del self._views[view.agent.name]
        return silent


@attrs.define(kw_only=True)
class PeerViews:
    """The other entries that have announced themselves lately."""

    silence_timeout_s: float
    _views: dict[str, PeerView] = attrs.field(factory=dict)

    def record_announcement(
        self, entry: InstanceId, announce: EntryAnnounce, now_s: float
    ) -> bool:
        """Take an announcement; return whether the incarnation is new."""
        view = self._views.get(entry.name)
        self._views[entry.name] = PeerView(
            entry=entry, announce=announce, heard_s=now_s
        )
        return view is None or view.entry != entry

    def ids(self) -> set[InstanceId]:
        """Return the incarnations of the live entries."""
        return {view.entry for view in self._views.values()}

    def remove_silent(self, now_s: float) -> list[InstanceId]:
        """Forget the entries that have fallen silent, and return them."""
        silent = [
            view.entry
            for view in self._views.values()
            if now_s - view.heard_s > self.silence_timeout_s
        ]
        for entry in silent:
            del self._views[entry.name]
        return silent
