"""A simulation of many entries that exchange gossip, without a network."""

import heapq
import itertools
from collections import Counter
from random import Random

from lavenderspoke.clock import ManualClock
from lavenderspoke.direct.dissemination import Dissemination
from lavenderspoke.direct.instances import Upstream
from lavenderspoke.direct.office import DirectDispatcher
from lavenderspoke.direct.policies import ALL_POLICIES, Policies
from lavenderspoke.direct.settings import Bounds
from lavenderspoke.direct.sharing import LIVE_TIMEOUT_S, EntryLocation
from lavenderspoke.direct.tickets import Ticket
from lavenderspoke.model import InstanceId
from lavenderspoke.observing.metrics import Metrics
from lavenderspoke.quarantine.messages import CrashEvidence, Quarantined

TICK_S = 0.02
# Range of message delays, in seconds.
DELAYS_S = (0.001, 0.003)
CHECK_INTERVAL_S = 0.1
SERVICE = "narrative"


def upstream_of(name: str, *, slots: int = 5, version: str = "") -> Upstream:
    return Upstream(
        upstream_id=name,
        service=SERVICE,
        host="127.0.0.1",
        port=1,
        data_centre="dc-0",
        slots=slots,
        version=version,
    )


UPSTREAM = upstream_of("u", slots=1000)


class Entry:
    """An entry's dispatch decisions and gossip."""

    def __init__(
        self,
        *,
        name: str,
        data_centre: str,
        clock: ManualClock,
        seed: int,
        upstreams: tuple[Upstream, ...] = (UPSTREAM,),
        policies: Policies = ALL_POLICIES,
    ):
        self.me = InstanceId(name=name, incarnation="1")
        self.location = EntryLocation(
            address=f"tcp://{name}:1", data_centre=data_centre
        )
        self.dispatcher = DirectDispatcher(
            name=name,
            location=self.location,
            bounds=Bounds(),
            clock=clock,
            random=Random(seed),
            metrics=Metrics(),
            policies=policies,
        )
        self.dispatcher.upstreams_changed(upstreams)
        self.dissemination = Dissemination(
            me=self.me, dispatcher=self.dispatcher, clock=clock
        )
        self.is_down = False


class Fleet:
    """Entries whose messages are delivered with a delay."""

    def __init__(self, *, entries: int, data_centres: int, start_within_s: float = 0.0):
        self.clock = ManualClock()
        self.sent: Counter[str] = Counter()
        # Names of the entries that have forwarded a message to another group.
        self.forwarders: set[str] = set()
        # Time of each check, and the result of `not_live`.
        self.checks: list[tuple[float, list[tuple[str, str]]]] = []
        self._events: list = []
        self._numbers = itertools.count()
        self._random = Random(11)
        self.entries: dict[str, Entry] = {}
        for number in range(entries):
            entry = Entry(
                name=f"entry-{number}",
                data_centre=f"dc-{number % data_centres}",
                clock=self.clock,
                seed=number,
            )
            self.entries[entry.me.name] = entry
            begin_s = start_within_s * number / entries
            self.at(
                begin_s, lambda entry=entry: self._start(entry, start_within_s > 0.0)
            )
        self.at(CHECK_INTERVAL_S, self._check)

    @property
    def now_s(self) -> float:
        return self.clock.monotonic_s()

    def run(self, seconds: float) -> None:
        end_s = self.now_s + seconds
        while self._events and self._events[0][0] <= end_s:
            at_s, _, work = heapq.heappop(self._events)
            self.clock.advance(at_s - self.now_s)
            work()
        self.clock.advance(end_s - self.now_s)

    def restart(
        self, name: str, upstreams: tuple[Upstream, ...] = (UPSTREAM,)
    ) -> Entry:
        """Restart an entry without any state."""
        before = self.entries[name]
        before.is_down = True
        entry = Entry(
            name=name,
            data_centre=before.location.data_centre,
            clock=self.clock,
            seed=self._random.randrange(1000),
            upstreams=upstreams,
        )
        entry.me = InstanceId(name=name, incarnation=f"{before.me.incarnation}+")
        entry.dissemination = Dissemination(
            me=entry.me, dispatcher=entry.dispatcher, clock=self.clock
        )
        self.entries[name] = entry
        self._start(entry, only_earlier=False)
        return entry

    def not_live(self) -> list[tuple[str, str]]:
        """Return pairs of running entries: one, and another that it sees as silent."""
        running = {n: e for n, e in self.entries.items() if not e.is_down}
        return [
            (name, missing)
            for name, entry in running.items()
            for missing in running.keys()
            - {name}
            - set(entry.dispatcher.live_peer_names())
        ]

    def send(self, sender: Entry, outgoing, delay_s: float | None = None) -> None:
        self.sent[sender.me.name] += 1
        if getattr(outgoing.message, "to_neighbours", False):
            self.forwarders.add(sender.me.name)
        delay_s = delay_s or self._random.uniform(*DELAYS_S)
        self.at(self.now_s + delay_s, lambda: self._deliver(sender, outgoing))

    def at(self, at_s: float, work) -> None:
        heapq.heappush(self._events, (at_s, next(self._numbers), work))

    def _start(self, entry: Entry, only_earlier: bool) -> None:
        listed = {}
        for name, other in self.entries.items():
            if name == entry.me.name and only_earlier:
                break
            listed[name] = other.location
        entry.dispatcher.peers_listed(listed)
        self.at(
            self.now_s + self._random.uniform(0.0, TICK_S), lambda: self._tick(entry)
        )

    def _tick(self, entry: Entry) -> None:
        if self.entries[entry.me.name] is not entry:
            return
        self.at(self.now_s + TICK_S, lambda: self._tick(entry))
        if not entry.is_down:
            for outgoing in entry.dissemination.tick():
                self.send(entry, outgoing)

    def _deliver(self, sender: Entry, outgoing) -> None:
        entry = self.entries[outgoing.name]
        if entry.is_down or outgoing.address != entry.location.address:
            return
        if isinstance(outgoing.message, CrashEvidence):
            entry.dispatcher.receive_crash_evidence(outgoing.message)
            return
        if isinstance(outgoing.message, Quarantined):
            entry.dispatcher.facts.quarantine_told(outgoing.message)
            return
        for further in entry.dissemination.receive(sender.me, outgoing.message):
            self.send(entry, further)

    def _check(self) -> None:
        self.at(self.now_s + CHECK_INTERVAL_S, self._check)
        self.checks.append((self.now_s, self.not_live()))


def make_ticket(request_id: str, now_s: float, *, wait_s: float = 60.0) -> Ticket:
    """Return the ticket of a request that may wait for so long."""
    return Ticket(
        request_id=request_id,
        service=SERVICE,
        rank=(0, 0),
        prompt_tokens=100,
        answer_tokens=10,
        first_arrived_s=now_s,
        idle_since_s=now_s,
        deadline_s=now_s + 60.0,
        target_s=min(1.0, wait_s),
        patience_s=wait_s,
        resubmitted=False,
        on_decision=lambda decision: None,
    )


def submit_request(entry: Entry, number: int = 0) -> None:
    now_s = entry.dispatcher._now_s()
    entry.dispatcher.submit(make_ticket(f"r{number}", now_s))


def known_within_s(fleet: Fleet) -> float:
    """Start a request at the first entry; return the time until all know of it."""
    first, *others = fleet.entries.values()
    submit_request(first)
    started_s = fleet.now_s
    queues = {e.me.name: e.dispatcher._scheduler.queue(SERVICE) for e in others}
    while any(queues[e.me.name].pool.peer_requests() == 0 for e in others):
        assert fleet.now_s < started_s + LIVE_TIMEOUT_S, "not known to all"
        fleet.run(0.005)
    return fleet.now_s - started_s
