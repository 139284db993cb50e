"""Steps about slots for which requests wait at many entries."""

from random import Random

from behave import given, then, when

from features.entryfleet import upstream_of
from lavenderspoke.direct.backpressure import Backpressure
from lavenderspoke.direct.peercounts import PeerCounts
from lavenderspoke.direct.pool import Pool
from lavenderspoke.direct.scheduler import ServiceQueue
from lavenderspoke.direct.tickets import Dispatch, Ticket
from lavenderspoke.direct.upstreamstate import Load
from lavenderspoke.observing.metrics import Metrics

RANK = (0, 0)
SLOTS = 5
UPSTREAM = upstream_of("u", slots=SLOTS)
RUNS = 40


class WaitingEntry:
    """One entry's queue with waiting requests, while peers' requests hold the slots."""

    def __init__(
        self,
        *,
        entries: int,
        requests: int,
        seed: int,
        own_running: int = 0,
        waiting: int | None = None,
    ):
        random = Random(seed)
        self.queue = ServiceQueue(
            pool=Pool(random=random, backpressure=Backpressure(metrics=Metrics())),
            random=random,
        )
        self.queue.pool.reconfigure([UPSTREAM])
        self.sent: list[Ticket] = []
        self.running = [self.submit(f"running-{n}") for n in range(own_running)]
        self.set_peer_requests(running=SLOTS - own_running)
        others = {RANK: (entries - 1) * requests} if entries > 1 else {}
        self.queue.peer_counts = PeerCounts(waiting=others, entries=entries - 1)
        for number in range(requests if waiting is None else waiting):
            self.submit(f"waiting-{number}")
        self.sent.clear()

    def submit(self, request_id: str, *, may_wait: bool = True) -> Ticket:
        ticket = Ticket(
            request_id=request_id,
            service=UPSTREAM.service,
            rank=RANK,
            prompt_tokens=100,
            answer_tokens=10,
            first_arrived_s=0.0,
            idle_since_s=0.0,
            deadline_s=60.0,
            target_s=60.0,
            patience_s=60.0,
            resubmitted=False,
            may_wait=may_wait,
            on_decision=lambda decision: self._handle_decision(ticket, decision),
        )
        self.queue.submit(ticket, 0.0)
        return ticket

    def _handle_decision(self, ticket: Ticket, decision) -> None:
        if isinstance(decision, Dispatch):
            self.sent.append(ticket)

    def set_peer_requests(self, *, running: int) -> None:
        """Set how many requests of the other entries run at the upstream."""
        self.queue.pool.update_peer_loads({"u": Load(requests=running)})


def waiting_entries(context, seed: int, own_running: int = 0) -> list[WaitingEntry]:
    entries, requests = context.size
    return [
        WaitingEntry(
            entries=entries,
            requests=requests,
            seed=seed * 1000 + n,
            own_running=own_running,
        )
        for n in range(entries)
    ]


@given("{entries:d} entries with {requests:d} waiting requests each, for 5 slots")
@given("{entries:d} entry with {requests:d} waiting requests each, for 5 slots")
def step_entries(context, entries, requests):
    context.size = entries, requests


@when("all learn at the same instant that {running:d} requests run at the upstream")
def step_learn(context, running):
    context.sent = []
    for seed in range(RUNS):
        waiting = waiting_entries(context, seed)
        for each in waiting:
            each.set_peer_requests(running=running)
            each.queue.dispatch_waiting(0.1)
        context.sent.append(sum(len(each.sent) for each in waiting))


@then("on average over 40 runs, at most {max_sent:d} requests are sent")
def step_at_most(context, max_sent):
    assert sum(context.sent) / RUNS <= max_sent, context.sent


@then("on average over 40 runs, at least {min_sent:d} request is sent")
def step_at_least(context, min_sent):
    assert sum(context.sent) / RUNS >= min_sent, context.sent


@when("a request of one of them ends")
def step_own_ends(context):
    context.entry = waiting_entries(context, seed=1, own_running=1)[0]
    context.entry.queue.release(context.entry.running[0], "u", 0.1)


@then("it sends the next one at once, and no other")
def step_next_one(context):
    assert len(context.entry.sent) == 1, context.entry.sent


@when(
    "one with {waiting:d} waiting requests learns that {running:d} requests run at the "
    "upstream"
)
def step_one_learns(context, waiting, running):
    context.own_waiting, context.running = waiting, running


@when("it gets a request that may not wait")
def step_may_not_wait(context):
    entries, requests = context.size
    context.was_sent = []
    for seed in range(RUNS):
        entry = WaitingEntry(
            entries=entries, requests=requests, seed=seed, waiting=context.own_waiting
        )
        entry.set_peer_requests(running=context.running)
        ticket = entry.submit("urgent", may_wait=False)
        context.was_sent.append(ticket in entry.sent)


@then("that request is sent")
def step_urgent_sent(context):
    assert all(context.was_sent), context.was_sent
