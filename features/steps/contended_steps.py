"""Steps about places that the callers of many entries wait for."""

from random import Random

from behave import given, then, when

from features.entryfleet import upstream_of
from lavenderspoke.direct.pool import Load, Pool
from lavenderspoke.direct.scheduler import PeerCounts, ServiceQueue
from lavenderspoke.direct.tickets import Dispatch, Ticket

RANK = (0, 0)
PLACES = 5
UPSTREAM = upstream_of("u", slots=PLACES)
TIMES = 40


class Waiting:
    """One entry's line, full of its callers, as others' requests hold the places."""

    def __init__(
        self,
        *,
        entries: int,
        requests: int,
        seed: int,
        own: int = 0,
        in_line: int | None = None,
    ):
        random = Random(seed)
        self.line = ServiceQueue(pool=Pool(random=random), random=random)
        self.line.pool.reconfigure([UPSTREAM])
        self.sent: list[Ticket] = []
        self.running = [self.submit(f"running-{n}") for n in range(own)]
        self.hear(running=PLACES - own)
        others = {RANK: (entries - 1) * requests} if entries > 1 else {}
        self.line.peer_counts = PeerCounts(waiting=others, entries=entries - 1)
        for number in range(requests if in_line is None else in_line):
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
            on_decision=lambda decision: self._decided(ticket, decision),
        )
        self.line.submit(ticket, 0.0)
        return ticket

    def _decided(self, ticket: Ticket, decision) -> None:
        if isinstance(decision, Dispatch):
            self.sent.append(ticket)

    def hear(self, *, running: int) -> None:
        """Learn how many requests of the other entries run at the upstream."""
        self.line.pool.update_peer_loads({"u": Load(requests=running)})


def lines(context, seed: int, own: int = 0) -> list[Waiting]:
    entries, requests = context.size
    return [
        Waiting(entries=entries, requests=requests, seed=seed * 1000 + n, own=own)
        for n in range(entries)
    ]


@given("{entries:d} entries with {requests:d} requests each in line, for 5 places")
@given("{entries:d} entry with {requests:d} requests each in line, for 5 places")
def step_entries(context, entries, requests):
    context.size = entries, requests


@when("all learn in the same instant that {running:d} run there")
def step_learn(context, running):
    context.sent = []
    for seed in range(TIMES):
        waiting = lines(context, seed)
        for each in waiting:
            each.hear(running=running)
            each.line.dispatch_waiting(0.1)
        context.sent.append(sum(len(each.sent) for each in waiting))


@then("in the mean of 40 times at most {most:d} requests are sent")
def step_at_most(context, most):
    assert sum(context.sent) / TIMES <= most, context.sent


@then("in the mean of 40 times at least {least:d} request is sent")
def step_at_least(context, least):
    assert sum(context.sent) / TIMES >= least, context.sent


@when("a request of one of them ends there")
def step_own_ends(context):
    context.entry = lines(context, seed=1, own=1)[0]
    context.entry.line.release(context.entry.running[0], "u", 0.1)


@then("it sends the next one at once, and only that")
def step_next_one(context):
    assert len(context.entry.sent) == 1, context.entry.sent


@when("one with {own:d} in line learns that {running:d} run there")
def step_one_learns(context, own, running):
    context.own_in_line, context.running = own, running


@when("it has a request that may not wait")
def step_may_not_wait(context):
    entries, requests = context.size
    context.urgent = []
    for seed in range(TIMES):
        entry = Waiting(
            entries=entries, requests=requests, seed=seed, in_line=context.own_in_line
        )
        entry.hear(running=context.running)
        ticket = entry.submit("urgent", may_wait=False)
        context.urgent.append(ticket in entry.sent)


@then("that request is sent")
def step_urgent_sent(context):
    assert all(context.urgent), context.urgent
