"""Drives the core of one agent or entry with the events of a trace."""

import itertools
from random import Random

import attrs

from features.calls import make_call, make_service
from lavenderspoke import messages
from lavenderspoke.agentcore import AgentCore, AgentIdentity, AgentTimes
from lavenderspoke.agentevents import Dispatch, DocumentInForce, Joined
from lavenderspoke.capacity.limits import FixedLimit
from lavenderspoke.core import Received, Send, Tick
from lavenderspoke.entrycore import EntryCore, EntryIdentity, EntryTimes
from lavenderspoke.entryevents import Arrived, Reply, RosterReached, RosterRecord
from lavenderspoke.gateway import Arrival, Sending
from lavenderspoke.membership.roster import Join, encode
from lavenderspoke.model import InstanceId

SERVICE = make_service()
ENTRY = InstanceId(name="entry", incarnation="e")
DEADLINE_S = 500.0
LEASE_S = 100_000.0


def agent_id(name: str) -> InstanceId:
    """Return an agent's only incarnation."""
    return InstanceId(name=name, incarnation=name)


@attrs.define(kw_only=True)
class Trace:
    """A core, the current time and all actions that it has returned."""

    core: AgentCore | EntryCore
    now_s: float = 0.0
    actions: list = attrs.field(factory=list)

    def feed(self, event: object) -> list:
        """Pass an event to the core; return its actions."""
        done = self.core.handle(event, self.now_s)
        self.actions += done
        return done

    def receive(self, message, sender: InstanceId = ENTRY) -> list:
        """Deliver a message; return the messages that the core sends."""
        done = self.feed(Received(sender=sender, message=message))
        return [action.message for action in done if isinstance(action, Send)]

    def wait(self, seconds_s: float, step_s: float = 0.25) -> None:
        """Let time pass, with a tick at every step."""
        end_s = self.now_s + seconds_s
        while self.now_s < end_s:
            self.now_s = min(end_s, self.now_s + step_s)
            self.feed(Tick())

    def sent(self, kind: type) -> list[Send]:
        """Return the messages of a kind that were sent so far."""
        sends = [action for action in self.actions if isinstance(action, Send)]
        return [send for send in sends if isinstance(send.message, kind)]

    def dispatched(self, request_id: str) -> int:
        """Return how often a request was handed to the upstream."""
        dispatches = [each for each in self.actions if isinstance(each, Dispatch)]
        return sum(each.call.request_id == request_id for each in dispatches)

    def reply_parts(self, request_id: str) -> list:
        """Return the parts of the reply to a request."""
        replies = [each for each in self.actions if isinstance(each, Reply)]
        return [each.part for each in replies if each.request_id == request_id]


def make_agent(join_offset: int | None) -> Trace:
    """Return an agent with 9 slots that knows the entry; None: not joined."""
    ids = itertools.count(1)
    core = AgentCore(
        identity=AgentIdentity(
            me=agent_id("agent"),
            service=SERVICE.name,
            upstream="up",
            address="a",
            data_centre="d",
        ),
        times=AgentTimes(roster_lease_s=LEASE_S),
        limit=FixedLimit(slots=9),
        new_id=lambda: f"nonce {next(ids)}",
    )
    trace = Trace(core=core)
    trace.feed(DocumentInForce(service=SERVICE, version=1))
    if join_offset is not None:
        trace.feed(Joined(join_offset=join_offset, since_s=0.0))
    announce = messages.EntryAnnounce(address="e", data_centre="d")
    trace.receive(announce)
    return trace


def agent_fields(name: str) -> dict[str, str]:
    """Return the fields that all incarnations of an agent share."""
    return {
        "service": SERVICE.name,
        "upstream": f"up {name}",
        "address": name,
        "data_centre": "d",
    }


def join(trace: Trace, agent: InstanceId, offset: int) -> None:
    """Let an entry read an agent's join record."""
    record = Join(agent=agent, **agent_fields(agent.name))
    trace.feed(RosterRecord(offset=offset, payload=encode(record)))


def make_entry(agents: list[str]) -> Trace:
    """Return an entry that knows these agents and their join records."""
    ids = itertools.count(1)
    core = EntryCore(
        identity=EntryIdentity(me=ENTRY, address="e", data_centre="d"),
        times=EntryTimes(roster_lease_s=LEASE_S, agent_lost_s=LEASE_S),
        random=Random(1),
        new_id=lambda: f"id {next(ids)}",
    )
    trace = Trace(core=core)
    trace.feed(DocumentInForce(service=SERVICE, version=1))
    for offset, name in enumerate(agents, start=1):
        join(trace, agent_id(name), offset)
        announce = messages.Announce(join_offset=offset, **agent_fields(name))
        trace.receive(announce, agent_id(name))
    trace.feed(RosterReached(offset=len(agents)))
    return trace


def make_keyed_call(request_id: str, key: str | None):
    """Return a call, keyed if a key is given and idempotent otherwise."""
    call = make_call(request_id)
    return attrs.evolve(call, key=key, idempotent=key is None)


def make_arrival(request_id: str, key: str | None, sending: Sending) -> Arrived:
    """Return the arrival of a caller's request."""
    call = make_keyed_call(request_id, key)
    return Arrived(
        arrival=Arrival(call=call, sending=sending, deadline_in_s=DEADLINE_S)
    )
