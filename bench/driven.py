"""Entry and agent state machines driven by hand, without sockets or threads."""

from itertools import count
from random import Random

from lavenderspoke import messages
from lavenderspoke.agentcore import AgentCore, AgentIdentity, AgentTimes
from lavenderspoke.agentevents import DocumentInForce, Joined
from lavenderspoke.capacity.limits import FixedLimit
from lavenderspoke.core import Received, Tick
from lavenderspoke.documents.service import (
    Customer,
    Kind,
    Service,
    Tier,
    Upstreams,
    Waiting,
)
from lavenderspoke.entrycore import EntryCore, EntryIdentity, EntryTimes
from lavenderspoke.entryevents import Arrived
from lavenderspoke.gateway import Arrival, Sending
from lavenderspoke.model import Call, InstanceId

TIERS = (1, 2, 3)
BODY = b'{"prompt": "' + b"word " * 300 + b'"}'
UNLIMITED = 1 << 40
DEADLINE_S = 3600.0

ENTRY = InstanceId(name="entry-1", incarnation="e1")


def service(*, name: str = "narrative", customers: int = 5) -> Service:
    """Return a document with three tiers and so many customers."""
    return Service(
        name=name,
        upstreams=Upstreams(kind=Kind.MODEL, labels=("engine",)),
        tiers=tuple(Tier(name=f"tier-{rank}", rank=rank) for rank in TIERS),
        customers=tuple(
            Customer(
                name=f"customer-{number}",
                credential_sha256=f"{number:064x}",
                tiers=tuple(f"tier-{rank}" for rank in TIERS),
                waiting_max=UNLIMITED,
            )
            for number in range(customers)
        ),
        waiting=Waiting(requests_max=UNLIMITED, bytes_max=UNLIMITED),
    )


def call(number: int, *, key: str | None = None, name: str = "narrative") -> Call:
    """Return a call with a body of about 1,500 bytes and eight prefix blocks."""
    return Call(
        request_id=f"e1-{number:012}",
        service=name,
        method="POST",
        path="/v1/completions",
        headers=(("content-type", "application/json"),),
        body=BODY + str(number).encode(),
        customer=f"customer-{number % 5}",
        tier=TIERS[number % 3],
        stream=True,
        key=key,
        idempotent=key is None,
        prompt_tokens=300,
        max_output_tokens=300,
        prefix_hashes=tuple(f"{number % 64:08}{block:08}" for block in range(8)),
        fingerprint=f"{number:032x}",
    )


def arrived(number: int, *, key: str | None = None) -> Arrived:
    """Return the arrival of a call, as its first sending."""
    return Arrived(
        arrival=Arrival(
            call=call(number, key=key), sending=Sending.FIRST, deadline_in_s=DEADLINE_S
        )
    )


def agent_id(number: int) -> InstanceId:
    """Return the id of an agent."""
    return InstanceId(name=f"agent-{number}", incarnation=f"a{number}")


def entry_id(number: int) -> InstanceId:
    """Return the id of an entry."""
    return InstanceId(name=f"entry-{number}", incarnation=f"e{number}")


def announce(number: int, *, room: int = 8, name: str = "narrative"):
    """Return an agent's announcement."""
    return messages.Announce(
        service=name,
        upstream=f"engine-{number}",
        address=f"tcp://10.0.{number // 250}.{number % 250}:7000",
        data_centre="dc-1",
        join_offset=number,
        room=room,
        running=4,
        step_s=0.004,
        versions={name: 17},
    )


def entry_announce(number: int, services: int = 1):
    """Return an entry's announcement."""
    return messages.EntryAnnounce(
        address=f"tcp://10.1.{number // 250}.{number % 250}:7000",
        data_centre="dc-1",
        waiting={f"service-{each}": {1: 9, 2: 3} for each in range(services)},
        versions={f"service-{each}": 17 for each in range(services)},
    )


def received(sender: InstanceId, message: messages.Message) -> Received:
    """Return the event of a message from another daemon."""
    return Received(sender=sender, message=message)


def make_entry(*, agents: int = 0, peers: int = 0, customers: int = 5) -> EntryCore:
    """Return an entry that has one service and knows these agents and peers."""
    core = EntryCore(
        identity=EntryIdentity(
            me=ENTRY, address="tcp://10.1.0.1:7000", data_centre="dc-1"
        ),
        times=EntryTimes(agent_lost_s=1e9, peer_lost_s=1e9),
        random=Random(1),
        new_id=map("{:012x}".format, count()).__next__,
    )
    core.handle(DocumentInForce(service=service(customers=customers), version=1), 0.0)
    for number in range(agents):
        core.handle(received(agent_id(number), announce(number)), 0.0)
    for number in range(peers):
        core.handle(received(entry_id(number + 2), entry_announce(number + 2)), 0.0)
    return core


def make_agent(*, entries: int = 1, slots: int = UNLIMITED) -> AgentCore:
    """Return an agent that has joined and knows these entries."""
    core = AgentCore(
        identity=AgentIdentity(
            me=agent_id(0),
            service="narrative",
            upstream="engine-0",
            address="tcp://10.0.0.1:7000",
            data_centre="dc-1",
        ),
        times=AgentTimes(entry_lost_s=1e9, roster_lease_s=1e9),
        limit=FixedLimit(slots=slots, step_s=0.004),
        new_id=map("{:012x}".format, count()).__next__,
    )
    core.handle(DocumentInForce(service=service(), version=1), 0.0)
    core.handle(Joined(join_offset=0, since_s=0.0), 0.0)
    for number in range(1, entries + 1):
        core.handle(received(entry_id(number), entry_announce(number)), 0.0)
    return core


def tick(core, now_s: float) -> list:
    """Let a core's timers go off."""
    return core.handle(Tick(), now_s)


def grants(actions: list) -> list[messages.Grant]:
    """Return the grants among a core's actions."""
    sent = (getattr(action, "message", None) for action in actions)
    return [message for message in sent if isinstance(message, messages.Grant)]
