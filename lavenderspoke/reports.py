"""The status reports of the state machines, as plain JSON data."""

from collections import Counter

from lavenderspoke.agentcore import AgentCore
from lavenderspoke.documents.service import Service
from lavenderspoke.entrycore import EntryCore
from lavenderspoke.tracked import Phase


def entry_report(core: EntryCore) -> dict:
    """Return an entry's report; call it on the core's own thread."""
    waiting = {name: {} for name in core.services}
    running = {name: {} for name in core.services}
    for name, state in core.services.items():
        waiting[name] = by_tier_name(state.service, state.queue.counts())
        running[name] = by_tier_name(state.service, _running_by_tier(core, name))
    return {
        "waiting": waiting,
        "running": running,
        "claiming": _claiming(core),
        "draining": core.draining,
        "roster_offset": core.roster.offset,
        "members": _members(core),
    }


def by_tier_name(service: Service, counts: dict[int, int]) -> dict[str, int]:
    """Return counts by tier name, with 0 for tiers without requests."""
    return {tier.name: counts.get(tier.rank, 0) for tier in service.tiers}


def _running_by_tier(core: EntryCore, name: str) -> Counter:
    return Counter(
        tracked.call.tier
        for tracked in core.requests
        if tracked.is_with_agent and tracked.call.service == name
    )


def _claiming(core: EntryCore) -> int:
    return sum(1 for tracked in core.requests if tracked.phase is Phase.CLAIMING)


def _members(core: EntryCore) -> list[dict]:
    agents = [
        {
            "name": view.agent.name,
            "role": "agent",
            "service": view.announce.service,
            "upstream": view.announce.upstream,
            "data_centre": view.announce.data_centre,
            "leaving": not view.accepts_work,
            "room": view.announce.room,
            "running": view.announce.running,
            "straggling": view.announce.straggling,
            "versions": view.announce.versions,
        }
        for view in core.agents.all()
    ]
    peers = [{"name": peer.name, "role": "entry"} for peer in core.peers.ids()]
    return agents + peers


def agent_report(core: AgentCore) -> dict:
    """Return an agent's report; call it on the core's own thread."""
    identity = core.identity
    running = Counter(run.call.tier for run in core.ledger.running())
    return {
        "service": identity.service,
        "upstream": identity.upstream,
        "upstream_up": core.upstream_up,
        "waiting": {},
        "running": {identity.service: {str(r): n for r, n in running.items()}},
        "slots": core.limit.slots,
        "room": core.room,
        "straggling": core.limit.straggling,
        "step_s": core.limit.step_s,
        "join_offset": core.join_offset,
        "leaving": core.leaving.stage.value,
        "held_back": core.held_back,
        "members": [
            {"name": entry.name, "role": "entry"} for entry in core.puller.entries()
        ],
    }
