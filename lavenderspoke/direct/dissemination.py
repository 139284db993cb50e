"""Decides which gossip messages an entry sends, to whom and when.

While its state changes, an entry sends it to its neighbours every 20 to 60 ms. States
of a group are forwarded to the other groups at intervals of 60 ms or more; `topology`
decides by which entry. Other entries get a state directly only when they first become
known, so that all entries know each other, and when this entry leaves.
"""

import threading
from collections.abc import Iterable, Mapping

import attrs

from lavenderspoke.clock import Clock
from lavenderspoke.direct.enginetimenews import combined_rows
from lavenderspoke.direct.messages import (
    DirectMessage,
    GroupStates,
    PassedOn,
    SharedState,
)
from lavenderspoke.direct.office import DirectDispatcher
from lavenderspoke.direct.sharing import EntryLocation
from lavenderspoke.direct.topology import GossipTopology
from lavenderspoke.model import InstanceId

# Number of neighbours that adds one tick to the interval between messages to them: each
# message goes to all of them, so a group's traffic grows with the square of its size.
NEIGHBOURS_PER_TICK = 6
# Ticks between messages while the state doesn't change.
IDLE_TICKS = 15
# Minimum ticks between forwarded messages, and the number of entries that adds one
# tick: a recipient has to process the states of all entries.
FORWARD_TICKS_MIN = 3
ENTRIES_PER_FORWARD_TICK = 24
# Maximum ticks between forwarded messages. Added to the at most 15 ticks between an
# entry's own messages, it is well below the time after which it counts as silent.
FORWARD_TICKS_MAX = 15


@attrs.frozen(kw_only=True)
class OutgoingMessage:
    """A message to one entry."""

    name: str
    address: str
    message: DirectMessage


@attrs.frozen(kw_only=True)
class _Pending:
    """A state received since the last forwarding, and when."""

    sender: InstanceId
    received_s: float
    state: SharedState


class Dissemination:
    """An entry's side of the gossip protocol, without input and output.

    `tick` and `leave_messages` are called on one thread; `receive` may be called on
    another.
    """

    def __init__(self, *, me: InstanceId, dispatcher: DirectDispatcher, clock: Clock):
        self._me = me
        self._dispatcher = dispatcher
        self._clock = clock
        self._topology = GossipTopology(
            name=me.name, data_centre=dispatcher.location.data_centre
        )
        self._ticks = 0
        self._idle_ticks = 0
        self._number = 0
        self._last_sent: SharedState | None = None
        self._contacted: set[tuple[str, EntryLocation]] = set()
        self._pending: dict[str, _Pending] = {}
        self._lock = threading.Lock()

    def tick(self) -> list[OutgoingMessage]:
        """Run the dispatcher's periodic work and return the messages due now."""
        self._ticks += 1
        self._dispatcher.tick()
        known = self._dispatcher.known_peers()
        self._topology.update({name: each.data_centre for name, each in known.items()})
        outgoing = []
        own_ticks = 1 + len(self._topology.neighbours) // NEIGHBOURS_PER_TICK
        if self._ticks % own_ticks == 0:
            outgoing += self._own_messages(known, own_ticks)
        if (
            self._topology.other_groups
            and self._ticks % _forward_ticks(len(known)) == 0
        ):
            outgoing += self._forward(known)
        return outgoing

    def leave_messages(self) -> list[OutgoingMessage]:
        """Return the messages that announce that this entry is leaving."""
        state, *evidence = self._dispatcher.outgoing_updates(leaving=True)
        known = self._dispatcher.known_peers()
        messages = (self._numbered(state), *evidence)
        return [outgoing for each in messages for outgoing in _messages_to(each, known)]

    def receive(
        self, sender: InstanceId, message: SharedState | GroupStates
    ) -> list[OutgoingMessage]:
        """Apply a message from another entry; return messages to forward at once."""
        if isinstance(message, GroupStates):
            self._dispatcher.receive_forwarded_states(message.states)
            return self._forward_to_neighbours(message)
        is_new = self._dispatcher.receive_state(sender, message)
        if is_new and sender.name in self._topology.neighbours:
            self._add_pending(sender, message)
        return []

    def _own_messages(
        self, known: Mapping[str, EntryLocation], ticks: int
    ) -> list[OutgoingMessage]:
        state, *evidence = self._dispatcher.outgoing_updates(leaving=False)
        self._idle_ticks += ticks
        recipients = self._new_peers(known)
        if state != self._last_sent or self._idle_ticks >= IDLE_TICKS:
            self._last_sent = state
            self._idle_ticks = 0
            recipients |= _locations(self._topology.neighbours, known)
        outgoing = []
        if recipients:
            numbered = self._numbered(state)
            outgoing += _messages_to(numbered, recipients)
            self._add_pending(self._me, numbered)
        for each in evidence:
            outgoing += _messages_to(each, known)
        for name, crashes in self._dispatcher.missing_evidence().items():
            for each in crashes:
                outgoing += _messages_to(each, _locations([name], known))
        return outgoing

    def _new_peers(
        self, known: Mapping[str, EntryLocation]
    ) -> dict[str, EntryLocation]:
        """Return the peers that are new, or have moved, since the last call.

        The platform lists to an entry only those that started before it. Unless it
        contacts them, they would discover it only with their next read of that list.
        """
        current = set(known.items())
        new_peers = dict(current - self._contacted)
        self._contacted = current
        return new_peers

    def _numbered(self, state: SharedState) -> SharedState:
        self._number += 1
        return attrs.evolve(state, number=self._number)

    def _add_pending(self, sender: InstanceId, state: SharedState) -> None:
        """Keep a state to be forwarded, with the events of the one it replaces.

        Streams are told to neighbours only; others ask.
        """
        state = attrs.evolve(state, begun=())
        with self._lock:
            before = self._pending.get(sender.name)
            if before is not None and before.sender == sender:
                state = _combined(before.state, state)
            self._pending[sender.name] = _Pending(
                sender=sender, received_s=self._clock.monotonic_s(), state=state
            )

    def _forward(self, known: Mapping[str, EntryLocation]) -> list[OutgoingMessage]:
        """Return the messages with this group's pending states for other groups."""
        with self._lock:
            pending, self._pending = self._pending, {}
        direct_peers = set(self._dispatcher.direct_peer_names())
        live_peers = set(self._dispatcher.live_peer_names())
        groups = [
            group
            for group in self._topology.other_groups
            if self._topology.forwards_to(group, direct_peers)
        ]
        if not pending or not groups:
            return []
        now_s = self._clock.monotonic_s()
        states = tuple(
            PassedOn(
                sender=each.sender, age_s=now_s - each.received_s, state=each.state
            )
            for each in pending.values()
        )
        message = GroupStates(states=states, to_neighbours=True)
        recipients = [
            self._topology.next_recipient(group, live_peers) for group in groups
        ]
        return _messages_to(message, _locations([n for n in recipients if n], known))

    def _forward_to_neighbours(self, message: GroupStates) -> list[OutgoingMessage]:
        if not message.to_neighbours:
            return []
        known = self._dispatcher.known_peers()
        message = attrs.evolve(message, to_neighbours=False)
        return _messages_to(message, _locations(self._topology.neighbours, known))


def _combined(before: SharedState, after: SharedState) -> SharedState:
    """Return the later of two states, with the events of both."""
    return attrs.evolve(
        after,
        spent=before.spent | after.spent,
        engine_time=combined_rows(before.engine_time, after.engine_time),
        cleared=before.cleared + after.cleared,
        refused=before.refused + after.refused,
        gone=before.gone + after.gone,
        unreached=before.unreached + after.unreached,
        failing=before.failing + after.failing,
    )


def _forward_ticks(entries: int) -> int:
    return min(
        FORWARD_TICKS_MAX, FORWARD_TICKS_MIN + entries // ENTRIES_PER_FORWARD_TICK
    )


def _locations(
    names: Iterable[str], known: Mapping[str, EntryLocation]
) -> dict[str, EntryLocation]:
    return {name: known[name] for name in names if name in known}


def _messages_to(
    message: DirectMessage, recipients: Mapping[str, EntryLocation]
) -> list[OutgoingMessage]:
    return [
        OutgoingMessage(name=name, address=each.address, message=message)
        for name, each in recipients.items()
    ]
