"""Steps about ejecting upstreams that fail more than the others of their service."""

import heapq
import itertools
from random import Random

import attrs
from behave import given, then, when

from features.entryfleet import SERVICE, Entry, upstream_of
from features.steps.direct_handling_steps import accepted_request
from lavenderspoke.clock import ManualClock
from lavenderspoke.direct.dispatcher import AttemptOutcome
from lavenderspoke.direct.messages import SharedState
from lavenderspoke.direct.scheduler import Scheduler, ServiceQueue
from lavenderspoke.direct.tickets import Dispatch, Ticket
from lavenderspoke.model import InstanceId

TICK_S = 0.02
FAILS_AFTER_S = 0.002
# When the failing upstream answers again.
RECOVERY_S = 7.0


@attrs.define(kw_only=True)
class FailureSimulation:
    """Simulates requests at upstreams that fail a share of them, by upstream ID."""

    upstreams: int
    slots: int
    failure_shares: dict[str, float]
    now_s: float = 0.0
    sent: int = 0
    failed: int = 0
    refused: int = 0
    retryable_share: float = 0.2
    sent_after_recovery: set[str] = attrs.field(factory=set)
    scheduler: Scheduler = attrs.field(init=False)
    queue: ServiceQueue = attrs.field(init=False)
    _events: list = attrs.field(factory=list)
    _numbers: itertools.count = attrs.field(factory=itertools.count)
    _random: Random = attrs.field(factory=lambda: Random(5))

    def __attrs_post_init__(self):
        self.scheduler = Scheduler(random=Random(7))
        self.scheduler.reconfigure(
            tuple(
                upstream_of(f"u{n}", slots=self.slots) for n in range(self.upstreams)
            ),
            0.0,
        )
        self.queue = self.scheduler.queue(SERVICE)

    def run(self, seconds: float, per_s: float, hold_s: float) -> None:
        at_s = 0.0
        while (at_s := at_s + self._random.expovariate(per_s)) < seconds:
            self._at(at_s, lambda: self._arrive(hold_s))
        for tick in range(round(seconds / TICK_S)):
            self._at(tick * TICK_S, lambda: self.scheduler.tick(self.now_s))
        while self._events:
            self.now_s, _, work = heapq.heappop(self._events)
            work()

    def _at(self, at_s: float, work) -> None:
        heapq.heappush(self._events, (at_s, next(self._numbers), work))

    def _arrive(self, hold_s: float) -> None:
        ticket = Ticket(
            request_id=f"r{next(self._numbers)}",
            service=SERVICE,
            rank=(0, 0),
            prompt_tokens=0,
            answer_tokens=1,
            first_arrived_s=self.now_s,
            idle_since_s=self.now_s,
            deadline_s=self.now_s + 2.0,
            target_s=0.4,
            patience_s=2.0,
            resubmitted=False,
            retryable=self._random.random() < self.retryable_share,
            on_decision=lambda decision: self._handle_decision(
                ticket, decision, hold_s
            ),
        )
        self.queue.submit(ticket, self.now_s)

    def _handle_decision(self, ticket: Ticket, decision, hold_s: float) -> None:
        if not isinstance(decision, Dispatch):
            self.refused += 1
            return
        upstream_id = decision.upstream.upstream_id
        self.sent += 1
        if self.now_s > RECOVERY_S + 1.0:
            self.sent_after_recovery.add(upstream_id)
        share = self.failure_shares.get(upstream_id, 0.0)
        if len(self.failure_shares) == 1 and self.now_s >= RECOVERY_S:
            share = 0.0
        is_failure = self._random.random() < share
        self.failed += is_failure
        after_s = FAILS_AFTER_S if is_failure else hold_s
        self._at(
            self.now_s + after_s, lambda: self._end(ticket, upstream_id, is_failure)
        )

    def _end(self, ticket: Ticket, upstream_id: str, is_failure: bool) -> None:
        state = self.queue.pool.state_of(upstream_id)
        if is_failure:
            state.health.record_failure()
            self.queue.pool.eject_if_outlier(state, self.now_s)
        else:
            state.health.record_success()
        self.queue.release(ticket, upstream_id, self.now_s)


@given(
    "a queue for {count:d} upstreams of {slots:d} slots, of which 1 fails each request"
)
@given("a queue for {count:d} upstream of {slots:d} slots, which fails each request")
def step_one_fails(context, count, slots):
    context.simulation = FailureSimulation(
        upstreams=count, slots=slots, failure_shares={"u0": 1.0}
    )


@given(
    "a queue for {count:d} upstreams of {slots:d} slots, each of which fails "
    "{tenths:d} in 10"
)
def step_each_fails(context, count, slots, tenths):
    failure_shares = {f"u{number}": tenths / 10 for number in range(count)}
    context.simulation = FailureSimulation(
        upstreams=count, slots=slots, failure_shares=failure_shares
    )


@when("{per_s:d} requests per second that take {ms:d} ms arrive for {seconds:d} s")
def step_run(context, seconds, per_s, ms):
    context.simulation.run(float(seconds), float(per_s), ms / 1000)


@when(
    "{per_s:d} requests per second that aren't retryable and take {ms:d} ms arrive "
    "for {seconds:d} s"
)
def step_run_once(context, seconds, per_s, ms):
    context.simulation.retryable_share = 0.0
    step_run(context, seconds, per_s, ms)


@then("at most {percent:d}% of them fail")
def step_few_fail(context, percent):
    simulation = context.simulation
    assert simulation.failed * 100 <= simulation.sent * percent, (
        simulation.failed,
        simulation.sent,
    )


@then("the failing upstream recovers after 7 s and gets requests again")
def step_tried(context):
    assert (
        "u0" in context.simulation.sent_after_recovery
    ), context.simulation.sent_after_recovery


@then("no request is refused")
def step_none_refused(context):
    assert context.simulation.refused == 0, context.simulation.refused
    assert context.simulation.sent > 0


@given(
    "{count:d} entries in {data_centres:d} data centres, with a service of three "
    "upstreams"
)
def step_entries(context, count, data_centres):
    context.clock = ManualClock()
    context.entries = [
        Entry(
            name=f"entry-{number}",
            data_centre=f"dc-{number % data_centres}",
            clock=context.clock,
            seed=number,
            upstreams=tuple(upstream_of(f"u{n}") for n in range(3)),
        )
        for number in range(count)
    ]


def pool_of(entry: Entry):
    return entry.dispatcher._scheduler.queue(SERVICE).pool


def report_failing(context, *names: str) -> None:
    """Have two entries of different data centres report upstreams as failing."""
    for reporter in context.entries[2:4]:
        state = SharedState(
            address=reporter.location.address,
            data_centre=reporter.location.data_centre,
            number=1,
            failing=names,
        )
        for entry in context.entries[:2]:
            sender = InstanceId(name=reporter.me.name, incarnation="1")
            entry.dispatcher.receive_state(sender, state)


@when("an upstream has answered the first entry and two others report it as failing")
def step_report_one(context):
    health = pool_of(context.entries[0]).state_of("u0").health
    for _ in range(10):
        health.record_success()
    report_failing(context, "u0")


@when("two others report all upstreams as failing")
def step_report_all(context):
    report_failing(context, "u0", "u1", "u2")


def usable(entry: Entry, now_s: float) -> list[str]:
    return [
        name
        for name in ("u0", "u1", "u2")
        if pool_of(entry).state_of(name).health.usable(0, now_s)
    ]


@when("all requests of the first entry at an upstream break at once")
def step_breaks(context):
    dispatcher = context.entries[0].dispatcher
    request = accepted_request(resumable=False, attempts_max=1)
    for _ in range(5):
        dispatcher._upstream_monitor.record_attempt(
            upstream_of("u0"),
            request,
            AttemptOutcome.BROKEN,
            0.0,
            sent_s=0.0,
            heard_s=0.0,
        )


@then("the first entry still uses it")
def step_still_used(context):
    assert "u0" in usable(context.entries[0], 0.0)


@then("an entry that hasn't used it ejects it for a while")
def step_ejects(context):
    assert "u0" not in usable(context.entries[1], 0.5)
    assert "u0" in usable(context.entries[1], 5.0)


@then("the first entry uses at least two of them")
def step_two_used(context):
    assert len(usable(context.entries[0], 0.5)) >= 2
