"""Cores of several entries and agents, with a bag of undelivered messages.

A test chooses which message is delivered, duplicated or dropped next, when time
advances and what fails. The daemons' own roster classes run against an in-memory
log; upstreams return their answers step by step. `Promises` checks the invariants
after every step.
"""

import functools
import itertools
from collections import deque
from random import Random

import attrs
from result import Err

from features.corepromises import Promises
from features.memorylog import MemoryLog
from lavenderspoke import agentevents, entryevents
from lavenderspoke.agentcore import AgentCore, AgentIdentity, AgentTimes
from lavenderspoke.capacity.limits import FixedLimit
from lavenderspoke.clock import ManualClock
from lavenderspoke.core import Count, Observe, Received, Send, Tick
from lavenderspoke.documents.service import (
    Customer,
    Keys,
    Kind,
    RetryBudget,
    Service,
    Tier,
    Upstreams,
    Waiting,
)
from lavenderspoke.entrycore import EntryCore, EntryIdentity, EntryTimes
from lavenderspoke.envelope import Envelope
from lavenderspoke.following import GrantTimeouts
from lavenderspoke.gateway import Arrival, Sending
from lavenderspoke.joining import Joining
from lavenderspoke.model import Call, Head, InstanceId
from lavenderspoke.platformlog import LogUnavailable
from lavenderspoke.rosterfeed import RosterFeed

SERVICE = "narrative"
RANKS = (1, 2, 3)
DEADLINE_MAX_S = 10.0
# Limit of steps in `settle`: two cores may exchange messages for long.
SETTLE_MAX = 400


@attrs.frozen(kw_only=True)
class BagSettings:
    """The configuration of a bag; times in seconds."""

    entries: int = 2
    agents: int = 2
    slots: int = 2
    kind: Kind = Kind.MODEL
    key_lifetime_s: float = 600.0
    roster_lease_s: float = 900.0
    waiting_max: int = 100

    def document(self) -> Service:
        """Return the service's document."""
        return Service(
            name=SERVICE,
            upstreams=Upstreams(kind=self.kind, labels=("engine",)),
            tiers=tuple(Tier(name=f"t{rank}", rank=rank) for rank in RANKS),
            customers=(
                Customer(
                    name="one",
                    credential_sha256="",
                    tiers=tuple(f"t{rank}" for rank in RANKS),
                    burst=100_000,
                ),
            ),
            deadline_max_s=DEADLINE_MAX_S,
            keys=Keys(lifetime_s=self.key_lifetime_s),
            retry_budget=RetryBudget(ratio=10.0, per_s_min=100.0),
            waiting=Waiting(requests_max=self.waiting_max),
        )


@attrs.define(kw_only=True)
class LogView:
    """One daemon's connection to the log, which may be cut."""

    log: MemoryLog
    is_cut: bool = False

    def append(self, **record):
        return self._or_cut(self.log.append, record)

    def read(self, **page):
        return self._or_cut(self.log.read, page)

    def _or_cut(self, call, arguments):
        if self.is_cut:
            return Err(LogUnavailable(detail="cut"))
        return call(**arguments)


@attrs.define(kw_only=True, eq=False)
class Instance:
    """One incarnation of a daemon: its core, its posted events and its jobs.

    Posted events keep their order and are not lost; jobs are the calls that
    background threads would make.
    """

    me: InstanceId
    core: EntryCore | AgentCore
    log: LogView
    inbox: deque = attrs.field(factory=deque)
    jobs: list = attrs.field(factory=list)
    feed: RosterFeed | None = None
    joining: Joining | None = None
    is_paused: bool = False
    is_gone: bool = False

    @property
    def is_running(self) -> bool:
        """Whether the process is neither paused nor gone."""
        return not (self.is_paused or self.is_gone)

    def run_job(self) -> None:
        """Run the oldest job."""
        self.jobs.pop(0)()


@attrs.define(kw_only=True, eq=False)
class Relay:
    """One agent's connection for one run; `next_number` 0 is the head."""

    agent: Instance
    request_id: str
    next_number: int = 0
    after: int = 0
    is_resumed: bool = False


@attrs.define(kw_only=True)
class BagUpstream:
    """An upstream: the runs that it knows, and the connections to it."""

    kind: Kind
    runs: set[str] = attrs.field(factory=set)
    relays: list[Relay] = attrs.field(factory=list)


def bodies(request_id: str) -> list[bytes]:
    """Return the answer's bodies: the same on each relay of one run."""
    count = 1 + int(request_id[1:]) % 3
    return [f"{request_id}/{number}".encode() for number in range(1, count + 1)]


class CoreBag:
    """The cores, the bag, the upstreams and the promises to callers."""

    def __init__(self, settings: BagSettings):
        self.settings = settings
        self.document = settings.document()
        self.clock = ManualClock()
        self.log = MemoryLog()
        self.parcels: list[Envelope] = []
        self.delayed: list[Envelope] = []
        self.upstreams: dict[str, BagUpstream] = {}
        self.entries: dict[str, Instance] = {}
        self.agents: dict[str, Instance] = {}
        self.keys: list[str] = []
        self._ids = itertools.count(1)
        self.promises = Promises(key_lifetime_s=settings.key_lifetime_s, bodies=bodies)
        for number in range(settings.agents):
            self.start_agent(f"agent-{number}")
        for number in range(settings.entries):
            self.start_entry(f"entry-{number}")
        self.list_members()
        for _ in range(3):
            self.settle()
            self.advance(0.5)

    @property
    def now_s(self) -> float:
        """The time that all daemons share."""
        return self.clock.monotonic_s()

    def new_id(self) -> str:
        """Return a unique id."""
        return f"i{next(self._ids)}"

    def instances(self) -> list[Instance]:
        """Return the instances that are not gone, entries first."""
        each = [*self.entries.values(), *self.agents.values()]
        return [instance for instance in each if not instance.is_gone]

    # Daemons

    def start_entry(self, name: str) -> None:
        """Start an entry; its earlier incarnation ends with its callers."""
        earlier = self.entries.get(name)
        if earlier is not None:
            earlier.is_gone = True
            self.promises.entry_died(earlier)
        me = InstanceId(name=name, incarnation=self.new_id())
        core = EntryCore(
            identity=EntryIdentity(me=me, address=name, data_centre="a"),
            times=EntryTimes(
                roster_lease_s=self.settings.roster_lease_s,
                grant_timeouts=GrantTimeouts(silence_timeout_s=3.0),
            ),
            random=Random(1),
            new_id=self.new_id,
            now_s=self.now_s,
        )
        entry = Instance(me=me, core=core, log=LogView(log=self.log))
        entry.feed = RosterFeed(log=entry.log, post=entry.inbox.append)
        entry.inbox.append(self._in_force())
        entry.jobs.append(entry.feed.poll)
        self.entries[name] = entry

    def start_agent(self, name: str) -> None:
        """Start an agent; its earlier incarnation ends, its upstream stays."""
        self._end_agent(self.agents.get(name))
        me = InstanceId(name=name, incarnation=self.new_id())
        identity = AgentIdentity(
            me=me,
            service=SERVICE,
            upstream=f"up-{name}",
            address=name,
            data_centre="a",
        )
        core = AgentCore(
            identity=identity,
            times=AgentTimes(roster_lease_s=self.settings.roster_lease_s),
            limit=FixedLimit(slots=self.settings.slots),
            new_id=self.new_id,
            now_s=self.now_s,
        )
        agent = Instance(me=me, core=core, log=LogView(log=self.log))
        agent.joining = Joining(
            identity=identity,
            log=agent.log,
            clock=self.clock,
            post=agent.inbox.append,
            renew_s=self.settings.roster_lease_s / 3,
            lease_s=self.settings.roster_lease_s,
            learn_address=lambda name, address: None,
        )
        agent.inbox.append(self._in_force())
        agent.jobs.append(agent.joining.poll)
        self.agents[name] = agent
        self.upstreams.setdefault(name, BagUpstream(kind=self.settings.kind))

    def _end_agent(self, agent: Instance | None) -> None:
        if agent is not None:
            agent.is_gone = True
            relays = self.upstreams[agent.me.name].relays
            relays[:] = [each for each in relays if each.agent is not agent]

    def _in_force(self) -> agentevents.DocumentInForce:
        return agentevents.DocumentInForce(service=self.document, version=1)

    def list_members(self) -> None:
        """Let every daemon read the platform's member list."""
        for name, entry in self.entries.items():
            others = tuple(other for other in self.entries if other != name)
            entry.inbox.append(entryevents.PeersListed(entry_names=others))
        for agent in self.agents.values():
            names = tuple(self.entries)
            agent.inbox.append(agentevents.EntriesListed(names=names))

    # Steps

    def feed(self, instance: Instance, event: object) -> None:
        """Pass an event to a core and perform the returned actions."""
        actions = instance.core.handle(event, self.now_s)
        for action in actions:
            self._perform(action, instance)

    def post_next(self, instance: Instance) -> bool:
        """Pass on the next posted event or run a job; False if there is none."""
        if not instance.is_running or not (instance.jobs or instance.inbox):
            return False
        if instance.inbox:
            self.feed(instance, instance.inbox.popleft())
        else:
            instance.run_job()
        return True

    def deliver(self, parcel: Envelope) -> bool:
        """Deliver a message, keeping it in the bag; False if the receiver is paused."""
        name = parcel.recipient.name
        instance = self.entries.get(name) or self.agents.get(name)
        if instance is not None and instance.is_paused and not instance.is_gone:
            return False
        known = ("", instance.me.incarnation) if instance else ()
        if instance and not instance.is_gone and parcel.recipient.incarnation in known:
            self.feed(instance, Received(sender=parcel.sender, message=parcel.message))
        return True

    def deliver_once(self, parcel: Envelope) -> bool:
        """Deliver a message and remove it from the bag."""
        if not self.deliver(parcel):
            return False
        self.drop(parcel)
        return True

    def drop(self, parcel: Envelope) -> None:
        """Lose a message."""
        at = next(n for n, each in enumerate(self.parcels) if each is parcel)
        del self.parcels[at]

    def flow(self, steps: int) -> bool:
        """Run posted events and deliver messages; False once nothing is left."""
        for _ in range(steps):
            moved = any([self.post_next(each) for each in self.instances()])
            for parcel in self.parcels[:8]:
                moved = self.deliver_once(parcel) or moved
            if not moved:
                return False
        return True

    def settle(self) -> None:
        """Deliver all events and messages in flight."""
        self.flow(SETTLE_MAX)

    def advance(self, seconds_s: float) -> None:
        """Advance the clock; tick the running instances whose timers are due."""
        self.clock.advance(seconds_s)
        for instance in self.instances():
            if seconds_s >= 0.25:
                feed = instance.feed or instance.joining
                instance.jobs.append(feed.poll)
            if instance.is_running and instance.core.next_due_s() <= self.now_s:
                self.feed(instance, Tick())

    def send(
        self,
        entry: Instance,
        *,
        rank: int,
        key: str | None = None,
        sending: Sending = Sending.FIRST,
        deadline_s: float = 4.0,
    ) -> str:
        """Send a request as a caller; return its id."""
        call = Call(
            request_id=f"r{next(self._ids)}",
            service=SERVICE,
            method="POST",
            path="/",
            customer="one",
            tier=rank,
            key=key,
            prompt_tokens=10,
        )
        self.promises.sent(call, entry)
        arrival = Arrival(call=call, sending=sending, deadline_in_s=deadline_s)
        entry.inbox.append(entryevents.Arrived(arrival=arrival))
        return call.request_id

    def answer(self, upstream: BagUpstream, relay: Relay, fault: str = "") -> None:
        """Post the next part of an upstream's answer, or a fault."""
        request_id, number = relay.request_id, relay.next_number
        parts = bodies(request_id)
        if fault == "not_started" and not (relay.is_resumed or number):
            upstream.runs.discard(request_id)
            self.promises.not_started(request_id)
            event = agentevents.RunNotStarted(request_id=request_id)
        elif fault in ("broken", "forgotten"):
            event = agentevents.RunBroken(request_id=request_id, detail=fault)
            if fault == "forgotten":
                upstream.runs.discard(request_id)
        elif number == 0:
            event = agentevents.RunHead(request_id=request_id, head=Head(status=200))
        elif number <= len(parts):
            body = parts[number - 1]
            event = agentevents.RunBody(
                request_id=request_id, body=body, event_id=number
            )
        else:
            event = agentevents.RunEnded(request_id=request_id)
        relay.next_number = max(number, relay.after) + 1
        if not isinstance(event, (agentevents.RunHead, agentevents.RunBody)):
            upstream.relays.remove(relay)
        relay.agent.inbox.append(event)

    def heal(self) -> None:
        """End every fault and run until all requests have their final part."""
        self.log.faults.clear()
        self.parcels += self.delayed
        self.delayed.clear()
        for instance in self.instances():
            instance.is_paused = instance.log.is_cut = False
        self.list_members()
        for _ in range(120):
            for upstream in self.upstreams.values():
                for relay in list(upstream.relays):
                    self.answer(upstream, relay)
            self.upstreams_up()
            self.settle()
            self.advance(0.25)
            if not self.promises.open():
                break
        self.settle()

    def upstreams_up(self) -> None:
        """Report to the agents that their upstreams are up."""
        for agent in self.agents.values():
            if not agent.core.upstream_up:
                agent.inbox.append(agentevents.UpstreamHealth(is_up=True))

    # Actions of the cores

    @functools.singledispatchmethod
    def _perform(self, action: object, instance: Instance) -> None:
        raise TypeError(f"no such action: {action!r}")

    @_perform.register(Count)
    @_perform.register(Observe)
    def _(self, action, instance: Instance) -> None:
        pass

    @_perform.register
    def _(self, action: Send, instance: Instance) -> None:
        self.parcels.append(
            Envelope(
                sender=instance.me, recipient=action.recipient, message=action.message
            )
        )

    @_perform.register
    def _(self, action: entryevents.Reply, instance: Instance) -> None:
        self.promises.replied(action.request_id, action.part)
        self.promises.shed(action, instance, self.entries.values(), self.now_s)

    @_perform.register
    def _(self, action: entryevents.ReadRoster, instance: Instance) -> None:
        instance.feed.request_read(action.read_id)
        instance.jobs.append(instance.feed.poll)

    @_perform.register
    def _(self, action: agentevents.Dispatch, instance: Instance) -> None:
        self.promises.dispatched(action.call, instance, self.now_s)
        upstream = self.upstreams[instance.me.name]
        upstream.runs.add(action.call.request_id)
        relay = Relay(agent=instance, request_id=action.call.request_id)
        upstream.relays.append(relay)

    @_perform.register
    def _(self, action: agentevents.ResumeRun, instance: Instance) -> None:
        upstream = self.upstreams[instance.me.name]
        request_id = action.call.request_id
        if upstream.kind is Kind.PLAIN or request_id not in upstream.runs:
            unknown = agentevents.RunUnknown(request_id=request_id, detail="")
            instance.inbox.append(unknown)
            return
        upstream.relays.append(
            Relay(
                agent=instance,
                request_id=request_id,
                after=action.after_event_id or 0,
                is_resumed=True,
            )
        )

    @_perform.register
    def _(self, action: agentevents.CancelRun, instance: Instance) -> None:
        pass

    @_perform.register
    def _(self, action: agentevents.AppendRoster, instance: Instance) -> None:
        leave = functools.partial(instance.joining.leave, action.record)
        instance.jobs.append(leave)

    @_perform.register
    def _(self, action: agentevents.FindHeir, instance: Instance) -> None:
        instance.jobs.append(instance.joining.find_heir)

    @_perform.register
    def _(self, action: agentevents.Exit, instance: Instance) -> None:
        instance.is_gone = True
        if instance.joining is not None:
            self._end_agent(instance)
