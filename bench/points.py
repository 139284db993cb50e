"""What the slopes are measured on: each point does so much work, or holds so much.

A point is a function of a size. It prepares what it needs and returns the work
itself, which the caller measures by processor time, or by resident memory when
it returns what it holds.
"""

import atexit
import enum
import threading
import time
from collections.abc import Callable

import attrs

from bench import driven
from lavenderspoke import messages
from lavenderspoke.affinity import PrefixIndex
from lavenderspoke.agentevents import DocumentInForce, RunBody, RunEnded, RunHead
from lavenderspoke.documents.service import parse_service
from lavenderspoke.envelope import Envelope
from lavenderspoke.membership.roster import Join, Roster, encode as encode_roster
from lavenderspoke.messagecodec import CODEC
from lavenderspoke.messages import Piece
from lavenderspoke.model import Head
from lavenderspoke.transport import Transport
from lavenderspoke.waiting import WaitingQueue, WaitingRequest

TOKEN = b'data: {"choices": [{"text": " word"}]}\n\n'
QUEUE_OPERATIONS = 2000
CHECKS = 100
CHECK_EVERY_S = 0.03
HEARTBEATS = 10
# The rate at which an agent's requests come, so that pulls expire as they do.
REQUESTS_PER_S = 40
# The entries that an agent speaks to at the most, as in the default settings.
ENTRIES_MAX = 8
ANY_PORT = "tcp://127.0.0.1:0"
CONNECTED_AFTER_S = 1.0


class Unit(enum.Enum):
    """What a slope is measured in, for each unit of size."""

    CPU_US = "us"
    MEMORY_BYTES = "bytes"


@attrs.frozen(kw_only=True)
class Slope:
    """One thing whose cost is taken from several sizes.

    `repeats` is how often the work does what is counted, for each unit of size.
    """

    name: str
    what: str
    unit: Unit
    sizes: tuple[int, ...]
    point: Callable[[int], Callable[[], object]]
    repeats: int = 1


# An instance as the platform's list names it.
LISTED_MEMBER = {
    "name": "agent-1000",
    "role": "agent",
    "data_centre": "central-1",
    "address": "10.0.100.100:7400",
    "status_address": "10.0.100.100:7401",
    "service": "narrative",
    "upstream": "engine-1000",
    "leaving": False,
}

SLOPES: dict[str, Slope] = {}


def slope(what: str, unit: Unit, sizes: tuple[int, ...], repeats: int = 1):
    """Register a point under its function's name."""

    def register(point):
        SLOPES[point.__name__] = Slope(
            name=point.__name__,
            what=what,
            unit=unit,
            sizes=sizes,
            point=point,
            repeats=repeats,
        )
        return point

    return register


# The entry


def _pull(core, slots: int, now_s: float) -> list[messages.Grant]:
    pull = messages.Pull(
        service="narrative", nonce=f"n{now_s}", slots=slots, ttl_s=9.0, rank_min=1
    )
    return driven.grants(core.handle(driven.received(driven.agent_id(0), pull), now_s))


def _granted(core, grant: messages.Grant, now_s: float) -> None:
    granted = messages.Granted(request_id=grant.call.request_id, nonce=grant.nonce)
    core.handle(driven.received(driven.agent_id(0), granted), now_s)


def _pieces(core, pieces: list[Piece], now_s: float) -> None:
    message = messages.Pieces(pieces=tuple(pieces))
    core.handle(driven.received(driven.agent_id(0), message), now_s)


def _whole(request_id: str) -> list[Piece]:
    return [
        Piece(request_id=request_id, number=0, head=Head(status=200)),
        Piece(request_id=request_id, number=1, body=TOKEN),
        Piece(request_id=request_id, number=2, count=3),
    ]


def _serve(core, number: int) -> None:
    now_s = number * 1e-6
    core.handle(driven.arrived(number), now_s)
    for grant in _pull(core, 1, now_s):
        _granted(core, grant, now_s)
        _pieces(core, _whole(grant.call.request_id), now_s)


@slope("a request, from arrival to a short answer", Unit.CPU_US, (1000, 2000, 4000))
def entry_request(size: int):
    core = driven.make_entry(agents=1)

    def work():
        for number in range(size):
            _serve(core, number)

    return work


def _running(core, streams: int) -> None:
    for number in range(streams):
        core.handle(driven.arrived(number), 0.0)
    for grant in _pull(core, streams, 0.0):
        _granted(core, grant, 0.0)


@slope("a piece, 20 to a message", Unit.CPU_US, (10_000, 20_000, 40_000))
def entry_piece(size: int):
    streams = 20
    core = driven.make_entry(agents=1)
    _running(core, streams)
    ids = [driven.call(number).request_id for number in range(streams)]

    def work():
        for step in range(size // streams):
            _pieces(
                core,
                [Piece(request_id=each, number=step, body=TOKEN) for each in ids],
                0.0,
            )

    return work


@slope(
    "a check of the timers, each 30 ms, for each request held",
    Unit.CPU_US,
    (500, 1000, 2000, 4000),
    repeats=CHECKS,
)
def entry_check_held(size: int):
    core = driven.make_entry(agents=1)
    _running(core, size)

    def work():
        for number in range(CHECKS):
            driven.tick(core, CHECK_EVERY_S * (number + 1))

    return work


@slope(
    "an add and a take, for each request that waits (0 is wanted)",
    Unit.CPU_US,
    (100, 1000, 5000, 10_000),
    repeats=QUEUE_OPERATIONS,
)
def queue_depth(size: int):
    queue = WaitingQueue(service=driven.service())
    for number in range(size):
        queue.add(_waiting(number), 0.0)

    def work():
        for number in range(size, size + QUEUE_OPERATIONS):
            queue.add(_waiting(number), number * 1e-6)
            queue.take(number * 1e-6, upstream="engine-1")

    return work


@slope("an add and a take, 1,000 waiting", Unit.CPU_US, (1000, 2000, 4000))
def queue_operation(size: int):
    queue = WaitingQueue(service=driven.service())
    for number in range(1000):
        queue.add(_waiting(number), 0.0)

    def work():
        for number in range(1000, 1000 + size):
            queue.add(_waiting(number), number * 1e-6)
            queue.take(number * 1e-6, upstream="engine-1")

    return work


def _waiting(number: int) -> WaitingRequest:
    call = driven.call(number)
    return WaitingRequest(
        call=call,
        arrived_s=number * 1e-6,
        deadline_s=60.0,
        cached_tokens={f"engine-{number % 7}": 128} if number % 2 else {},
    )


@slope(
    "a waiting request with a body of 1,500 bytes",
    Unit.MEMORY_BYTES,
    (2000, 4000, 8000),
)
def entry_waiting_memory(size: int):
    core = driven.make_entry()

    def work():
        for number in range(size):
            core.handle(driven.arrived(number), 0.0)
        return core

    return work


@slope("an agent's announcement, heard", Unit.CPU_US, (4000, 8000, 16_000))
def entry_agent_heartbeat(size: int):
    core = driven.make_entry(agents=100)
    events = [
        driven.received(driven.agent_id(n), driven.announce(n)) for n in range(100)
    ]

    def work():
        for number in range(size):
            core.handle(events[number % 100], 0.0)

    return work


@slope(
    "an entry's heartbeat, for each agent it knows, with its encoding",
    Unit.CPU_US,
    (250, 500, 1000, 2000),
    repeats=HEARTBEATS,
)
def entry_heartbeat_agents(size: int):
    return _heartbeats(driven.make_entry(agents=size), driven.ENTRY)


@slope(
    "an entry's heartbeat, for each peer it knows, with its encoding",
    Unit.CPU_US,
    (25, 50, 100, 200),
    repeats=HEARTBEATS,
)
def entry_heartbeat_peers(size: int):
    return _heartbeats(driven.make_entry(peers=size), driven.ENTRY)


def _heartbeats(core, sender):
    def work():
        for number in range(HEARTBEATS):
            for action in driven.tick(core, 1.0 + number):
                _encoded(action, sender)

    return work


def _encoded(action, sender) -> bytes:
    if not hasattr(action, "message"):
        return b""
    return CODEC.encode(
        Envelope(sender=sender, recipient=action.recipient, message=action.message)
    )


@slope("an agent known to an entry", Unit.MEMORY_BYTES, (500, 1000, 2000, 4000))
def entry_agent_memory(size: int):
    return lambda: driven.make_entry(agents=size)


@slope("a service held by an entry, 340 customers", Unit.MEMORY_BYTES, (7, 14, 28, 56))
def entry_service_memory(size: int):
    core = driven.make_entry()

    def work():
        for number in range(size):
            document = driven.service(name=f"service-{number}", customers=340)
            core.handle(DocumentInForce(service=document, version=1), 0.0)
        return core

    return work


@slope("a document put in force, 340 customers", Unit.CPU_US, (200, 400, 800))
def entry_document_change(size: int):
    core = driven.make_entry(customers=340)
    document = driven.service(customers=340)

    def work():
        for number in range(size):
            core.handle(DocumentInForce(service=document, version=number + 2), 0.0)

    return work


@slope(
    "a document read and checked, for each customer in it",
    Unit.CPU_US,
    (50, 100, 200, 400),
)
def document_parse(size: int):
    text = document_text(size)
    return lambda: parse_service(text, "narrative.yaml").unwrap()


def document_text(customers: int) -> str:
    """Return a document as an operator writes it."""
    lines = [
        "name: narrative",
        "upstreams: {kind: model, labels: [engine]}",
        "tiers:",
        *(f"  - {{name: tier-{rank}, rank: {rank}}}" for rank in driven.TIERS),
        "customers:",
    ]
    for number in range(customers):
        lines += [
            f"  - name: customer-{number}",
            f'    credential_sha256: "{number:064x}"',
            "    tiers: [tier-1, tier-2]",
            "    requests_per_s: 50",
        ]
    return "\n".join(lines) + "\n"


@slope("a prefix believed held", Unit.MEMORY_BYTES, (20_000, 40_000, 80_000))
def sketch_memory(size: int):
    def work():
        sketch = PrefixIndex(entries_max=size)
        for number in range(size):
            sketch.add(f"engine-{number % 50}", (f"{number:016x}",))
        return sketch

    return work


@slope("eight prefix blocks told, and one lookup", Unit.CPU_US, (1000, 2000, 4000))
def sketch_operation(size: int):
    sketch = PrefixIndex(entries_max=50_000)

    def work():
        for number in range(size):
            blocks = tuple(f"{number:08}{block:08}" for block in range(8))
            sketch.add(f"engine-{number % 50}", blocks)
            sketch.lookup(blocks, 16)

    return work


@slope("a roster record, folded", Unit.CPU_US, (1000, 2000, 4000))
def roster_record(size: int):
    records = [_join(number) for number in range(size)]
    roster = Roster(lease_s=900.0)

    def work():
        for number, record in enumerate(records):
            roster.apply(offset=number, payload=record, now_s=0.0)

    return work


@slope("an agent's life in the roster", Unit.MEMORY_BYTES, (2000, 4000, 8000))
def roster_memory(size: int):
    def work():
        roster = Roster(lease_s=900.0)
        for number in range(size):
            roster.apply(offset=number, payload=_join(number), now_s=0.0)
        return roster

    return work


def _join(number: int) -> bytes:
    return encode_roster(
        Join(
            agent=driven.agent_id(number),
            service="narrative",
            upstream=f"engine-{number}",
            address="tcp://10.0.0.1:7000",
            data_centre="dc-1",
        )
    )


# The agent


def _grant(core, number: int, key: str | None = None, now_s: float = 0.0):
    """Tell the agent of one waiting request, and grant it on the pull."""
    demand = messages.Demand(service="narrative", waiting={1: 1})
    actions = core.handle(driven.received(driven.ENTRY, demand), now_s)
    nonce = next(a.message.nonce for a in actions if _is_pull(a))
    grant = messages.Grant(
        nonce=nonce, call=driven.call(number, key=key), stamp=10, deadline_in_s=60.0
    )
    core.handle(driven.received(driven.ENTRY, grant), now_s)
    done = messages.PullDone(service="narrative", nonce=nonce, granted=1)
    core.handle(driven.received(driven.ENTRY, done), now_s)
    return grant.call.request_id


def _is_pull(action) -> bool:
    return isinstance(getattr(action, "message", None), messages.Pull)


def _run(core, number: int, key: str | None = None, now_s: float = 0.0) -> None:
    request_id = _grant(core, number, key, now_s)
    core.handle(RunHead(request_id=request_id, head=Head(status=200)), now_s)
    core.handle(RunBody(request_id=request_id, body=TOKEN), now_s)
    core.handle(RunEnded(request_id=request_id), now_s)
    taken = messages.AnswerTaken(request_id=request_id)
    core.handle(driven.received(driven.ENTRY, taken), now_s)


@slope("a request, from demand to a short answer", Unit.CPU_US, (1000, 2000, 4000))
def agent_request(size: int):
    core = driven.make_agent()

    def work():
        for number in range(size):
            _run(core, number, now_s=number / REQUESTS_PER_S)

    return work


@slope(
    "a request, for each earlier run remembered (0 is wanted)",
    Unit.CPU_US,
    (250, 500, 1000, 2000, 4000),
    repeats=200,
)
def agent_remembered(size: int):
    core = driven.make_agent()
    for number in range(size):
        _run(core, number, now_s=number / REQUESTS_PER_S)

    def work():
        for number in range(size, size + 200):
            _run(core, number, now_s=number / REQUESTS_PER_S)

    return work


@slope("a token, 20 streams to a step", Unit.CPU_US, (10_000, 20_000, 40_000))
def agent_token(size: int):
    streams = 20
    core = driven.make_agent()
    ids = [_grant(core, number) for number in range(streams)]

    def work():
        for step in range(size // streams):
            now_s = 0.01 * (step + 1)
            for each in ids:
                core.handle(RunBody(request_id=each, body=TOKEN), now_s)
            driven.tick(core, now_s + 0.005)

    return work


@slope("a key held with its short answer", Unit.MEMORY_BYTES, (2000, 4000, 8000))
def agent_key_memory(size: int):
    core = driven.make_agent()

    def work():
        for number in range(size):
            now_s = number / REQUESTS_PER_S
            request_id = _grant(core, number, key=f"key-{number:026}", now_s=now_s)
            core.handle(RunBody(request_id=request_id, body=TOKEN), now_s)
            core.handle(RunEnded(request_id=request_id), now_s)
        return core

    return work


@slope(
    "a run remembered after its answer was taken", Unit.MEMORY_BYTES, (1000, 2000, 4000)
)
def agent_run_memory(size: int):
    core = driven.make_agent()

    def work():
        for number in range(size):
            _run(core, number, now_s=number / REQUESTS_PER_S)
        return core

    return work


@slope(
    "an agent's heartbeat, for each entry it knows, with its encoding",
    Unit.CPU_US,
    (10, 50, 100, 200),
    repeats=HEARTBEATS,
)
def agent_heartbeat_entries(size: int):
    return _heartbeats(driven.make_agent(entries=size), driven.agent_id(0))


@slope("an entry's announcement, heard", Unit.CPU_US, (1000, 2000, 4000))
def agent_entry_heartbeat(size: int):
    core = driven.make_agent(entries=ENTRIES_MAX)
    events = [
        driven.received(driven.entry_id(n), driven.entry_announce(n))
        for n in range(1, ENTRIES_MAX + 1)
    ]

    def work():
        for number in range(size):
            core.handle(events[number % ENTRIES_MAX], 0.0)

    return work


# The codec


def _coded(message: messages.Message, size: int):
    envelope = Envelope(
        sender=driven.ENTRY, recipient=driven.agent_id(1), message=message
    )

    def work():
        for _ in range(size):
            CODEC.decode(CODEC.encode(envelope)).unwrap()

    return work


def some_pieces(number: int) -> messages.Pieces:
    """Return a message of so many one-token pieces."""
    return messages.Pieces(
        pieces=tuple(
            Piece(request_id=driven.call(each).request_id, number=9, body=TOKEN)
            for each in range(number)
        )
    )


def some_grant() -> messages.Grant:
    """Return a grant as it travels."""
    return messages.Grant(
        nonce="000000000001", call=driven.call(1), stamp=10, deadline_in_s=30.0
    )


@slope(
    "a piece encoded and decoded, 20 to a message",
    Unit.CPU_US,
    (10_000, 20_000, 40_000),
)
def codec_piece(size: int):
    return _coded(some_pieces(20), size // 20)


@slope("a grant encoded and decoded", Unit.CPU_US, (1000, 2000, 4000))
def codec_grant(size: int):
    return _coded(some_grant(), size)


@slope("an agent's announcement encoded and decoded", Unit.CPU_US, (1000, 2000, 4000))
def codec_announce(size: int):
    return _coded(driven.announce(1), size)


@slope("a pull encoded and decoded", Unit.CPU_US, (1000, 2000, 4000))
def codec_pull(size: int):
    pull = messages.Pull(service="narrative", nonce="n", slots=1, ttl_s=1, rank_min=1)
    return _coded(pull, size)


# The transport, both ends in one process


def _sent(message: messages.Message, size: int, batch: int = 64):
    arrived = threading.Semaphore(0)
    receiver = Transport(
        codec=CODEC,
        listen_address=ANY_PORT,
        on_message=lambda envelope: arrived.release(),
    )
    sender = Transport(
        codec=CODEC, listen_address=ANY_PORT, on_message=lambda envelope: None
    )
    for each in (receiver, sender):
        each.start()
    envelope = Envelope(
        sender=driven.ENTRY, recipient=driven.agent_id(1), message=message
    )

    def send(count: int) -> None:
        for _ in range(count):
            sender.send(receiver.address, envelope)
        for _ in range(count):
            arrived.acquire()

    send(1)

    def work():
        # In batches that the send buffer holds, so that nothing is dropped.
        for _ in range(size // batch):
            send(batch)
        sender.close()
        receiver.close()

    return work


@slope("a pull, sent and received", Unit.CPU_US, (2048, 4096, 8192))
def transport_pull(size: int):
    pull = messages.Pull(service="narrative", nonce="n", slots=1, ttl_s=1, rank_min=1)
    return _sent(pull, size)


@slope("a message of 20 pieces, sent and received", Unit.CPU_US, (1024, 2048, 4096))
def transport_pieces(size: int):
    return _sent(some_pieces(20), size)


@slope("a peer that was sent to", Unit.MEMORY_BYTES, (25, 50, 100, 200))
def transport_peer_memory(size: int):
    receivers = [
        Transport(
            codec=CODEC, listen_address=ANY_PORT, on_message=lambda envelope: None
        )
        for _ in range(size)
    ]
    for each in receivers:
        each.start()
    sender = Transport(
        codec=CODEC, listen_address=ANY_PORT, on_message=lambda envelope: None
    )
    sender.start()
    envelope = Envelope(
        sender=driven.ENTRY,
        recipient=driven.agent_id(1),
        message=driven.announce(1),
    )

    def work():
        for each in receivers:
            sender.send(each.address, envelope)
        time.sleep(CONNECTED_AFTER_S)
        return sender

    atexit.register(lambda: [each.close() for each in (sender, *receivers)])
    return work


def small_messages() -> dict[str, messages.Message]:
    """Return the control messages of a request and of a floor, by name."""
    return {
        "demand": messages.Demand(service="narrative", waiting={1: 9, 3: 2}),
        "pull": messages.Pull(
            service="narrative", nonce="0" * 12, slots=4, ttl_s=0.5, rank_min=1
        ),
        "pull_done": messages.PullDone(
            service="narrative", nonce="0" * 12, granted=4, waiting={1: 9}
        ),
        "granted": messages.Granted(request_id="e1-000000000001", nonce="0" * 12),
        "answer_taken": messages.AnswerTaken(request_id="e1-000000000001"),
        "prefix_held_8": messages.PrefixHeld(
            service="narrative", sequence=9, added=driven.call(1).prefix_hashes
        ),
        "floor": messages.Floor(service="narrative", tier=2, round=7, lease_s=2.0),
        "floor_held": messages.FloorHeld(service="narrative", tier=2, round=7),
    }
