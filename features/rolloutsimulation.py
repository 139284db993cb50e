"""Simulates a roll-out over many entries without a network.

Entries decide, exchange news and write records as in the daemon; callers, upstreams of
two versions and the platform's store are simulated.
"""

import json
from collections import Counter
from random import Random

import attrs
from result import Err, Ok

from features.entryfleet import SERVICE, Entry, Fleet, upstream_of
from lavenderspoke.direct.catalog import Repeatability, Route, TrafficShare
from lavenderspoke.direct.dialect import RequestHead
from lavenderspoke.direct.dispatcher import AttemptOutcome
from lavenderspoke.direct.instances import Upstream
from lavenderspoke.direct.records import KeyedRecord, RecordBatch, StoreError
from lavenderspoke.direct.tickets import Dispatch, Ticket
from lavenderspoke.observing.metrics import Metrics
from lavenderspoke.platform.rollouts import STATUS_TOPIC, StatusWriter
from lavenderspoke.platform.store import Conflict
from lavenderspoke.rollouts.orders import Order

OLD, NEW = "v1", "v2"
STATUS_PERIOD_S = 0.2
ORDERS_READ_PERIOD_S = 0.4
EVENT_S = 0.02
# Requests per second by route, and the number of events of an answer.
ROUTES = {"briefing": (50.0, 10), "summary": (100.0, 5), "comment": (30.0, 50)}


@attrs.frozen(kw_only=True)
class Quality:
    """How a version answers.

    `bad_share` of its answers fail, or take `slow_factor` times as long if that is set.
    This starts `after_s` after the order and is limited to `route`, if set, and to
    upstreams that run at least `busy_from_requests` requests.
    """

    bad_share: float = 0.0
    slow_factor: float = 0.0
    after_s: float = 0.0
    route: str = ""
    busy_from_requests: int = 0


QUALITIES = {
    "good": Quality(),
    "failing in part": Quality(bad_share=0.3),
    "slow in part": Quality(bad_share=0.4, slow_factor=6.0),
    "bad later": Quality(bad_share=0.4, after_s=4.0),
    "bad under load": Quality(bad_share=0.5, busy_from_requests=3),
    "bad on one route": Quality(bad_share=0.5, route="comment"),
}


class SharedStore:
    """The records of one topic; the store rejects some entries."""

    def __init__(self):
        self.records: list[KeyedRecord] = []
        self.rejected_entries: set[str] = set()

    def newest(self) -> RecordBatch:
        newest = {record.key: record for record in self.records}
        return RecordBatch(
            records=tuple(newest.values()), next_offset=len(self.records)
        )

    def append(self, key: str, value: bytes, end_offset: int | None):
        if end_offset is not None and end_offset != len(self.records):
            return Err(Conflict())
        record = KeyedRecord(key=key, value=value, offset=len(self.records))
        self.records.append(record)
        return Ok(None)


class EntryStore:
    """The store as accessed by one entry."""

    def __init__(self, *, shared: SharedStore, name: str):
        self._shared = shared
        self._name = name

    def newest(self, topic: str):
        assert topic == STATUS_TOPIC
        if self._name in self._shared.rejected_entries:
            return Err(StoreError(detail="rejected"))
        return Ok(self._shared.newest())

    def append(self, topic: str, key: str, value: bytes, *, unchanged_since=None):
        assert topic == STATUS_TOPIC
        if self._name in self._shared.rejected_entries:
            return Err(StoreError(detail="rejected"))
        end_offset = unchanged_since.next_offset if unchanged_since else None
        return self._shared.append(key, value, end_offset)


class RolloutSimulation:
    """Simulates one roll-out and records the requests to the new version."""

    def __init__(self, *, entries: int, quality: Quality, seed: int, load: float = 1.0):
        self.random = Random(seed)
        self.quality = quality
        self.load = load
        self.store = SharedStore()
        self.fleet = Fleet(entries=entries, data_centres=min(4, entries))
        self.requests_sent = 0
        self.sent_to_new_s: list[float] = []
        self.bad_answers_s: list[float] = []
        self.running: Counter[str] = Counter()
        self.last_end_at_old_s = 0.0
        self.order: Order | None = None
        self.ordered_s = 0.0
        self.upstreams = [upstream_of(f"old-{n}", version=OLD) for n in range(29)]
        self.routes = {name: _route(name) for name in ROUTES}
        for entry in self.fleet.entries.values():
            entry.dispatcher.upstreams_changed(tuple(self.upstreams))
            self._start_tasks(entry)
        for name in ROUTES:
            self._arrive(name)

    @property
    def now_s(self) -> float:
        return self.fleet.now_s

    def state(self) -> str:
        """Return the state in the status record."""
        if not self.store.records:
            return ""
        return json.loads(self.store.records[-1].value)["state"]

    def start_new_version(self) -> None:
        """Start upstreams of the new version in addition to the old ones."""
        self.upstreams += [upstream_of(f"new-{n}", version=NEW) for n in range(29)]
        for entry in self.fleet.entries.values():
            entry.dispatcher.upstreams_changed(tuple(self.upstreams))

    def give_order(self, duration_s: float) -> None:
        """Give the order, which the entries read at different times."""
        self.order = Order(service=SERVICE, target=NEW, duration_s=duration_s, number=7)
        self.ordered_s = self.now_s
        for entry in self.fleet.entries.values():
            delay_s = self.random.uniform(0.0, 0.6)
            self.fleet.at(
                self.now_s + delay_s,
                lambda each=entry: each.dispatcher.rollout_ordered(self.order),
            )

    def run(self, seconds: float) -> None:
        self.fleet.run(seconds)

    def sent_to_new_until(self, at_s: float) -> int:
        """Return the number of requests sent to the new version until `at_s`."""
        return sum(1 for each in self.sent_to_new_s if each <= at_s)

    def sent_after_bad_answer(self, count: int, within_s: float) -> int:
        """Return the requests to the new version after the bad answer number `count`.

        Those in the first `within_s` seconds after it don't count.
        """
        if len(self.bad_answers_s) < count:
            return 0
        limit_s = self.bad_answers_s[count - 1] + within_s
        return sum(1 for each in self.sent_to_new_s if each > limit_s)

    def restart(self, name: str) -> None:
        """Restart an entry without state; its requests in flight break off."""
        old = self.fleet.entries[name]
        entry = self.fleet.restart(name)
        entry.dispatcher.upstreams_changed(tuple(self.upstreams))
        old.is_down = True
        if self.order is not None:
            entry.dispatcher.rollout_ordered(self.order)
        self._start_tasks(entry)

    def _start_tasks(self, entry: Entry) -> None:
        writer = StatusWriter(
            store=EntryStore(shared=self.store, name=entry.me.name),
            clock=self.fleet.clock,
            metrics=Metrics(),
            updates_due=entry.dispatcher.rollout_records_due,
            on_stored=entry.dispatcher.rollout_stored,
        )
        self._write_status(entry, writer)
        self._read_orders(entry)

    def _write_status(self, entry: Entry, writer: StatusWriter) -> None:
        if not entry.is_down:
            writer.write_due()
        delay_s = STATUS_PERIOD_S * self.random.uniform(0.9, 1.1)
        if self.fleet.entries[entry.me.name] is entry:
            self.fleet.at(
                self.now_s + delay_s, lambda: self._write_status(entry, writer)
            )

    def _read_orders(self, entry: Entry) -> None:
        if not entry.is_down and entry.me.name not in self.store.rejected_entries:
            entry.dispatcher.orders_read(self.now_s)
        if self.fleet.entries[entry.me.name] is entry:
            self.fleet.at(
                self.now_s + ORDERS_READ_PERIOD_S, lambda: self._read_orders(entry)
            )

    def _arrive(self, route: str) -> None:
        per_s, _ = ROUTES[route]
        gap_s = self.random.expovariate(per_s * self.load)
        self.fleet.at(self.now_s + gap_s, lambda: self._arrive(route))
        alive = [each for each in self.fleet.entries.values() if not each.is_down]
        if self.now_s > 0.0 and alive:
            self._submit(self.random.choice(alive), route)

    def _submit(self, entry: Entry, route: str) -> None:
        ticket = Ticket(
            request_id=f"r{self.random.random()}",
            service=SERVICE,
            route=route,
            rank=(0, 0),
            prompt_tokens=1000,
            answer_tokens=ROUTES[route][1],
            first_arrived_s=self.now_s,
            idle_since_s=self.now_s,
            deadline_s=self.now_s + 10.0,
            target_s=1.0,
            patience_s=10.0,
            resubmitted=False,
            on_decision=lambda decision: self._on_decision(entry, ticket, decision),
        )
        entry.dispatcher.submit(ticket)

    def _on_decision(self, entry: Entry, ticket: Ticket, decision) -> None:
        if not isinstance(decision, Dispatch):
            return
        upstream = decision.upstream
        self.running[upstream.upstream_id] += 1
        if self.order is not None:
            self.requests_sent += 1
        if upstream.version == NEW:
            self.sent_to_new_s.append(self.now_s)
        is_bad = self._is_bad(upstream, ticket.route)
        times = self.quality.slow_factor if is_bad and self.quality.slow_factor else 1.0
        first_s = 0.15 * times * self.random.uniform(0.7, 1.4)
        whole_s = first_s + ROUTES[ticket.route][1] * EVENT_S * times
        self.fleet.at(
            self.now_s + first_s,
            lambda: self._record_first_event(entry, ticket, upstream),
        )
        self.fleet.at(
            self.now_s + whole_s,
            lambda: self._record_end(entry, ticket, upstream, is_bad),
        )

    def _is_bad(self, upstream: Upstream, route: str) -> bool:
        quality = self.quality
        if upstream.version != NEW or self.now_s < self.ordered_s + quality.after_s:
            return False
        if quality.route and route != quality.route:
            return False
        if self.running[upstream.upstream_id] < quality.busy_from_requests:
            return False
        return self.random.random() < quality.bad_share

    def _record_first_event(
        self, entry: Entry, ticket: Ticket, upstream: Upstream
    ) -> None:
        if not entry.is_down:
            entry.dispatcher.first_event_received(ticket, upstream)

    def _record_end(
        self, entry: Entry, ticket: Ticket, upstream: Upstream, is_bad: bool
    ) -> None:
        self.running[upstream.upstream_id] -= 1
        if upstream.version == OLD:
            self.last_end_at_old_s = self.now_s
        if is_bad:
            self.bad_answers_s.append(self.now_s)
        if entry.is_down:
            return
        entry.dispatcher.stream_completed(ticket, ROUTES[ticket.route][1])
        failed = is_bad and not self.quality.slow_factor
        outcome = AttemptOutcome.FAILED if failed else AttemptOutcome.ANSWERED
        accepted = _Accepted(route=self.routes[ticket.route])
        entry.dispatcher.attempt_ended(ticket, upstream, accepted, outcome)


@attrs.frozen(kw_only=True)
class _Accepted:
    route: Route
    fingerprint: str = "f"
    head: RequestHead = RequestHead(
        request_id="r", method="POST", target="/", host="h", headers=()
    )


def _route(name: str) -> Route:
    return Route(
        name=name,
        host="h",
        path_prefix=f"/{name}/",
        repeatability=Repeatability.ONCE,
        stream=True,
        resumable=True,
        timeout_s=10.0,
        target_s=1.0,
        patience_s=10.0,
        rank=0,
        traffic_split=(TrafficShare(service=SERVICE, weight=1.0),),
        attempts_max=2,
    )
