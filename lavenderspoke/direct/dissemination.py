"""What an entry tells the others, whom, and when.

Neighbours are told what this entry shares each 20 to 60 ms while it changes. What
neighbours told is passed on to the other groups each 80 ms and more; `topology` says
by whom. Others are told directly only when they are first known, so that each knows of
each, and when this entry leaves.
"""

import threading
from collections.abc import Iterable, Mapping

import attrs

from lavenderspoke.clock import Clock
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

# So many neighbours more make it one tick longer between two messages to them: each
# message goes to all, so what a group sends grows with its square.
NEIGHBOURS_PER_TICK = 6
# Ticks between two messages while nothing changes.
QUIET_TICKS = 15
# Ticks between two times of passing on, and so many entries for one more: who is told
# takes apart what all entries say.
PASS_ON_TICKS = 3
ENTRIES_PER_PASS_ON_TICK = 24
# The most ticks between them. With a message that is due each 15 ticks while nothing
# changes, an entry is heard well before it counts as silent.
PASS_ON_TICKS_MAX = 15


@attrs.frozen(kw_only=True)
class OutgoingMessage:
    """A message for one entry."""

    name: str
    address: str
    message: DirectMessage


@attrs.frozen(kw_only=True)
class _Pending:
    """What a neighbour told since the last time of passing on, and when."""

    sender: InstanceId
    at_s: float
    state: SharedState


class Dissemination:
    """An entry's part in the talk between entries.

    `tick` and `leave_messages` belong to one thread, `receive` may be called from
    another.
    """

    def __init__(self, *, me: InstanceId, dispatcher: DirectDispatcher, clock: Clock):
        self._me = me
        self._dispatcher = dispatcher
        self._clock = clock
        self._spreading = GossipTopology(
            name=me.name, data_centre=dispatcher.whereabouts.data_centre
        )
        self._ticks = 0
        self._quiet_ticks = 0
        self._number = 0
        self._told: SharedState | None = None
        self._greeted: set[tuple[str, EntryLocation]] = set()
        self._pending: dict[str, _Pending] = {}
        self._lock = threading.Lock()

    def tick(self) -> list[OutgoingMessage]:
        """Serve the lines again and return what is to be told now."""
        self._ticks += 1
        self._dispatcher.tick()
        known = self._dispatcher.known_peers()
        self._spreading.update({name: each.data_centre for name, each in known.items()})
        letters = []
        own_ticks = 1 + len(self._spreading.neighbours) // NEIGHBOURS_PER_TICK
        if self._ticks % own_ticks == 0:
            letters += self._own_news(known, own_ticks)
        if (
            self._spreading.other_groups
            and self._ticks % _pass_on_ticks(len(known)) == 0
        ):
            letters += self._pass_on(known)
        return letters

    def leave_messages(self) -> list[OutgoingMessage]:
        """Return what all others are told when this entry leaves."""
        state, *evidence = self._dispatcher.outgoing_updates(leaving=True)
        known = self._dispatcher.known_peers()
        messages = (self._numbered(state), *evidence)
        return [letter for each in messages for letter in _letters(each, known)]

    def receive(
        self, sender: InstanceId, message: SharedState | GroupStates
    ) -> list[OutgoingMessage]:
        """Take in what another entry tells; return what is to be passed on at once."""
        if isinstance(message, GroupStates):
            self._dispatcher.receive_relayed_states(message.states)
            return self._to_neighbours(message)
        is_news = self._dispatcher.receive_state(sender, message)
        if is_news and sender.name in self._spreading.neighbours:
            self._note(sender, message)
        return []

    def _own_news(
        self, known: Mapping[str, EntryLocation], ticks: int
    ) -> list[OutgoingMessage]:
        state, *evidence = self._dispatcher.outgoing_updates(leaving=False)
        self._quiet_ticks += ticks
        recipients = self._strangers(known)
        if state != self._told or self._quiet_ticks >= QUIET_TICKS:
            self._told = state
            self._quiet_ticks = 0
            recipients |= _named(self._spreading.neighbours, known)
        letters = []
        if recipients:
            numbered = self._numbered(state)
            letters += _letters(numbered, recipients)
            self._note(self._me, numbered)
        for each in evidence:
            letters += _letters(each, known)
        return letters

    def _strangers(
        self, known: Mapping[str, EntryLocation]
    ) -> dict[str, EntryLocation]:
        """Return those that this entry has never told anything, for the last time.

        The platform names to an entry only those that were there before it. Without a
        word from it, those would learn of each other only by their next read.
        """
        met = set(known.items())
        strangers = dict(met - self._greeted)
        self._greeted = met
        return strangers

    def _numbered(self, state: SharedState) -> SharedState:
        self._number += 1
        return attrs.evolve(state, number=self._number)

    def _note(self, sender: InstanceId, state: SharedState) -> None:
        """Keep what is to be passed on; news of the message before must not be lost."""
        with self._lock:
            before = self._pending.get(sender.name)
            if before is not None and before.sender == sender:
                state = _joined(before.state, state)
            self._pending[sender.name] = _Pending(
                sender=sender, at_s=self._clock.monotonic_s(), state=state
            )

    def _pass_on(self, known: Mapping[str, EntryLocation]) -> list[OutgoingMessage]:
        """Return what this entry's group told, for those groups that it speaks to."""
        with self._lock:
            pending, self._pending = self._pending, {}
        speaking = set(self._dispatcher.direct_peer_names())
        heard = set(self._dispatcher.live_peer_names())
        groups = [
            group
            for group in self._spreading.other_groups
            if self._spreading.forwards_to(group, speaking)
        ]
        if not pending or not groups:
            return []
        now_s = self._clock.monotonic_s()
        states = tuple(
            PassedOn(sender=each.sender, age_s=now_s - each.at_s, state=each.state)
            for each in pending.values()
        )
        message = GroupStates(states=states, to_neighbours=True)
        listeners = [self._spreading.next_recipient(group, heard) for group in groups]
        return _letters(message, _named([n for n in listeners if n], known))

    def _to_neighbours(self, message: GroupStates) -> list[OutgoingMessage]:
        if not message.to_neighbours:
            return []
        known = self._dispatcher.known_peers()
        message = attrs.evolve(message, to_neighbours=False)
        return _letters(message, _named(self._spreading.neighbours, known))


def _joined(before: SharedState, after: SharedState) -> SharedState:
    """Return the later of two states, with the news of the earlier one."""
    return attrs.evolve(
        after,
        spent=before.spent | after.spent,
        refused=before.refused + after.refused,
        gone=before.gone + after.gone,
        unreached=before.unreached + after.unreached,
        failing=before.failing + after.failing,
    )


def _pass_on_ticks(entries: int) -> int:
    return min(PASS_ON_TICKS_MAX, PASS_ON_TICKS + entries // ENTRIES_PER_PASS_ON_TICK)


def _named(
    names: Iterable[str], known: Mapping[str, EntryLocation]
) -> dict[str, EntryLocation]:
    return {name: known[name] for name in names if name in known}


def _letters(
    message: DirectMessage, recipients: Mapping[str, EntryLocation]
) -> list[OutgoingMessage]:
    return [
        OutgoingMessage(name=name, address=each.address, message=message)
        for name, each in recipients.items()
    ]
