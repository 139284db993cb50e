"""Steps about the scheduler of direct dispatch, on a manual clock."""

from collections import Counter

import attrs
from behave import given, then, when

from features.linedrive import RANKS, QueueSimulation, Request
from lavenderspoke.direct.catalog import Catalog, Customer
from lavenderspoke.direct.lengths import AnswerLengths
from lavenderspoke.direct.peercounts import PeerCounts
from lavenderspoke.direct.tickets import Dispatch, Refusal, Refuse


@given("a queue for {upstreams:d} upstreams of {slots:d} slots")
@given("a queue for {upstreams:d} upstream of {slots:d} slots")
@given("a queue for {upstreams:d} upstreams of {slots:d} slot")
@given("a queue for {upstreams:d} upstream of {slots:d} slot")
def step_queue(context, upstreams, slots):
    context.slots = slots
    context.simulation = QueueSimulation(upstreams=upstreams, slots=slots)


@given("a peer has {count:d} waiting requests of a higher rank")
def step_peer(context, count):
    # The lower rank holds more slots than it is guaranteed.
    for _ in range(6):
        context.simulation.submit_ticket(rank=RANKS["lowest"])
    context.simulation.peers = PeerCounts(waiting={RANKS["highest"]: count}, entries=1)
    context.simulation.scheduler.tick(0.0)


@when("these requests arrive per second for {seconds:d} s")
def step_arrivals(context, seconds):
    for row in context.table:
        context.simulation.schedule_arrivals(row, seconds)
    context.simulation.run(seconds + 20.0)


def of_length(context, tokens: int) -> list[Request]:
    return [
        each for each in context.simulation.requests if each.answer_tokens == tokens
    ]


def of_rank(context, rank: str) -> list[Request]:
    return [each for each in context.simulation.requests if each.rank == rank]


@then("at least {percent:d}% of the {rank} rank are dispatched within their target")
def step_on_time(context, percent, rank):
    assert_on_time(of_rank(context, rank), percent)


@then(
    "at least {percent:d}% of the requests for {tokens:d} tokens are dispatched on "
    "time"
)
def step_length_on_time(context, tokens, percent):
    assert_on_time(of_length(context, tokens), percent)


@then("at least {percent:d}% of the requests for {tokens:d} tokens are dispatched")
def step_length_served(context, tokens, percent):
    assert_dispatched(of_length(context, tokens), percent)


def dispatched_share(requests: list[Request]) -> float:
    return sum(each.dispatched_s is not None for each in requests) / len(requests)


@then(
    "requests for {tokens:d} tokens are dispatched at least half as often as all of "
    "the {rank} rank"
)
def step_half_as_often(context, tokens, rank):
    long, each_of_rank = of_length(context, tokens), of_rank(context, rank)
    assert dispatched_share(long) >= dispatched_share(each_of_rank) / 2, (
        dispatched_share(long),
        dispatched_share(each_of_rank),
    )


@when("{count:d} requests without an expected answer length arrive")
def step_without_length(context, count):
    lengths = AnswerLengths()
    context.counted_long = []
    for _ in range(count):
        context.counted_long.append(lengths.is_long(0))
        lengths.record_arrival(0)


@then("none of them counts as long")
def step_none_long(context):
    assert not any(context.counted_long), context.counted_long


def assert_dispatched(requests: list[Request], percent: int) -> None:
    dispatched = [each for each in requests if each.dispatched_s is not None]
    assert 100 * len(dispatched) >= percent * len(requests), (
        len(dispatched),
        len(requests),
    )


def assert_on_time(requests: list[Request], percent: int) -> None:
    on_time = [
        each
        for each in requests
        if each.dispatched_s is not None
        and each.dispatched_s <= each.first_arrived_s + each.target_s
    ]
    assert 100 * len(on_time) >= percent * len(requests), (len(on_time), len(requests))


@then("at least {percent:d}% of the {rank} rank are dispatched")
def step_served(context, percent, rank):
    assert_dispatched(of_rank(context, rank), percent)


@then(
    "refused first attempts below the highest rank waited at most {percent:d}% of "
    "their target"
)
def step_waited(context, percent):
    for request, decision in context.simulation.refused:
        if request.attempts == 1 and request.rank != "highest":
            max_s = request.target_s * percent / 100
            assert request.waited_s <= max_s, (request, decision)


@then("no upstream runs more requests than it has slots")
def step_within_slots(context):
    assert context.simulation.most_running <= context.slots


@then("no request is refused or waits")
def step_none_refused_or_waits(context):
    assert not context.simulation.refused
    assert all(each.waited_s == 0.0 for each in context.simulation.requests)


@when("one request runs, and a new one and a resubmitted one wait")
def step_two_wait(context):
    simulation = context.simulation
    running, _ = simulation.submit_ticket()
    _, context.new = simulation.submit_ticket()
    _, context.resubmitted = simulation.submit_ticket(resubmitted=True)
    simulation.queue.release(running, "u0", simulation.now_s)


@then("the resubmitted one is dispatched next")
def step_resubmitted_next(context):
    assert len(context.resubmitted) == 1 and not context.new


@when("a request of a lower rank arrives")
def step_lower(context):
    _, context.decisions = context.simulation.submit_ticket(rank=RANKS["lowest"])


@then("it waits")
def step_it_waits(context):
    assert context.decisions == []


@when("a request arrives that was sent to the first upstream before")
def step_excluded(context):
    _, context.decisions = context.simulation.submit_ticket(excluded={"u0"})


@when("a request arrives that may not wait")
def step_may_not_wait(context):
    _, context.decisions = context.simulation.submit_ticket(may_wait=False)


@when("a request arrives whose caller's patience has run out")
def step_patience_over(context):
    simulation = context.simulation
    idle_since_s = simulation.now_s - 2.0
    _, context.decisions = simulation.submit_ticket(
        idle_since_s=idle_since_s, patience_s=2.0
    )


@when("one request runs for {seconds:g} s while another one waits")
def step_long_wait(context, seconds):
    simulation = context.simulation
    running, _ = simulation.submit_ticket()
    _, context.decisions = simulation.submit_ticket(deadline_s=60.0, patience_s=60.0)
    simulation.queue.release(running, "u0", simulation.now_s + seconds)


@then("the waiting one is dispatched")
def step_waited_runs(context):
    step_first(context)


@then("it is refused immediately")
def step_refused_immediately(context):
    (decision,) = context.decisions
    assert isinstance(decision, Refuse), decision


@then("it is sent to the first upstream")
def step_first(context):
    (decision,) = context.decisions
    assert isinstance(decision, Dispatch), decision
    assert decision.upstream.upstream_id == "u0"


@then("it is sent to the second upstream")
def step_second(context):
    (decision,) = context.decisions
    assert decision.upstream.upstream_id == "u1"


@given("the first upstream takes {first:d} ms per step and the second {second:d} ms")
def step_step_times(context, first, second):
    for upstream_id, step_ms in (("u0", first), ("u1", second)):
        context.simulation.queue.pool.state_of(upstream_id).health.record_step(
            step_ms / 1000
        )


@when("the second upstream is full, and a long and a short prompt arrive")
def step_long_and_short(context):
    simulation = context.simulation
    context.running, _ = simulation.submit_ticket(excluded={"u0"})
    _, context.long = simulation.submit_ticket(prompt_tokens=20_000)
    _, context.short = simulation.submit_ticket(prompt_tokens=500)


@then(
    "the short one is sent to the first, and the long one to the second once it is "
    "free"
)
def step_long_second(context):
    (decision,) = context.short
    assert decision.upstream.upstream_id == "u0"
    assert context.long == []
    context.simulation.queue.release(context.running, "u1", context.simulation.now_s)
    (decision,) = context.long
    assert decision.upstream.upstream_id == "u1"


@when("{count:d} prompts of {tokens:d} tokens are read at {rate:d} tokens per step")
def step_read(context, count, tokens, rate):
    simulation = context.simulation
    for _ in range(count):
        ticket, decisions = simulation.submit_ticket(prompt_tokens=tokens)
        (decision,) = decisions
        upstream_id = decision.upstream.upstream_id
        steps = tokens / rate + 1
        simulation.now_s += simulation.queue.pool.state_of(upstream_id).step_s() * steps
        simulation.queue.record_first_event(ticket, upstream_id, simulation.now_s)
        simulation.queue.release(ticket, upstream_id, simulation.now_s)
    context.rate = rate


@then("the prefill rate expected for {tokens:d} tokens is within {percent:d}% of that")
def step_expected(context, tokens, percent):
    learned = context.simulation.queue.pool.prefill_rate.tokens_per_step
    assert abs(learned - context.rate) <= context.rate * percent / 100, learned


@then(
    "with the second full, a prompt of {tokens:d} tokens is sent to the first "
    "immediately"
)
def step_first_immediately(context, tokens):
    context.simulation.submit_ticket(excluded={"u0"})
    _, decisions = context.simulation.submit_ticket(prompt_tokens=tokens)
    (decision,) = decisions
    assert decision.upstream.upstream_id == "u0"


@when("the upstream is leaving and a request arrives")
def step_leaving(context):
    simulation = context.simulation
    (upstream,) = simulation.upstreams
    simulation.scheduler.reconfigure((attrs.evolve(upstream, leaving=True),), 0.0)
    _, context.decisions = simulation.submit_ticket()


@then("it is refused because there is no upstream")
def step_no_upstream(context):
    (decision,) = context.decisions
    assert decision.reason is Refusal.NO_UPSTREAM


@when("the upstream can't be reached")
def step_unreachable(context):
    state = context.simulation.queue.pool.state_of("u0")
    state.health.record_unreachable(context.simulation.now_s)


@then("nothing is sent there during the suspension, and then one request at a time")
def step_trial(context):
    simulation = context.simulation
    decisions = [simulation.submit_ticket()[1] for _ in range(3)]
    assert decisions == [[], [], []]
    simulation.run(0.3)
    sent = [each for each in decisions if each]
    assert len(sent) == 1, decisions
    context.sent = sent


@when("that request is answered")
def step_answered(context):
    simulation = context.simulation
    state = simulation.queue.pool.state_of("u0")
    state.health.record_success()
    state.own_requests.clear()
    simulation.run(0.1)


@then("all its slots can be used again")
def step_all_again(context):
    assert len(context.simulation.queue.pool.state_of("u0").own_requests) == 2
    assert context.simulation.queue.pool.free_slots(context.simulation.now_s) == 2


@when("{count:d} requests with {remaining_s:f} s left arrive at once")
def step_many_at_once(context, count, remaining_s):
    simulation = context.simulation
    decisions = [
        simulation.submit_ticket(deadline_s=remaining_s, target_s=0.4)
        for _ in range(count)
    ]
    simulation.run(remaining_s)
    context.refusals = [
        each for _, made in decisions for each in made if isinstance(each, Refuse)
    ]


@then("each refusal on arrival has a Retry-After between {min_s:f} s and {max_s:f} s")
def step_retry_after(context, min_s, max_s):
    assert context.refusals
    early = [each for each in context.refusals if each.reason is Refusal.CROWDED]
    assert early
    for each in early:
        assert min_s <= each.retry_after_s <= max_s, each


def catalog_of(*ranks: int) -> Catalog:
    customers = tuple(
        Customer(
            name=f"customer-{rank}",
            keys=(),
            rank=rank,
            per_s=0.0,
            burst=0.0,
            counts_tokens=True,
            default_tokens=1,
        )
        for rank in ranks
    )
    return Catalog(version=1, routes=(), services={}, customers=customers)


@given("customers of rank {first:d} and rank {second:d}")
def step_customers(context, first, second):
    context.catalog = catalog_of(first, second)


@then(
    "a request without a key has rank {rank:d}, and a customer's has the customer's "
    "rank"
)
def step_rank_without_key(context, rank):
    assert context.catalog.rank_of(None) == rank
    for customer in context.catalog.customers:
        assert context.catalog.rank_of(customer) == customer.rank


@then("without any customers it has rank {rank:d}")
def step_rank_alone(context, rank):
    assert catalog_of().rank_of(None) == rank


@when("{count:d} of them are replaced by other upstreams at their addresses")
def step_replaced(context, count):
    context.evicted = {f"u{n}" for n in range(count)}
    for upstream_id in context.evicted:
        context.simulation.queue.pool.evict(upstream_id, context.simulation.now_s)


@when("{count:d} requests arrive, one every {every_ms:d} ms")
def step_arrive_evenly(context, count, every_ms):
    context.sent_to = set()
    for _ in range(count):
        ticket, (decision,) = context.simulation.submit_ticket()
        upstream_id = decision.upstream.upstream_id
        context.sent_to.add(upstream_id)
        context.simulation.run(every_ms / 1000.0)
        context.simulation.queue.release(ticket, upstream_id, context.simulation.now_s)


@when("{seconds:d} s later {count:d} requests arrive, one every {every_ms:d} ms")
def step_later(context, seconds, count, every_ms):
    context.simulation.run(float(seconds))
    step_arrive_evenly(context, count, every_ms)


@then("none is sent to these {count:d}")
def step_none_to_these(context, count):
    assert not context.sent_to & context.evicted, context.sent_to


@then("some are sent to these {count:d}")
def step_some_to_these(context, count):
    assert context.sent_to & context.evicted, context.sent_to


@given("one of them is faster than all others")
def step_one_faster(context):
    for number, upstream in enumerate(context.simulation.upstreams):
        state = context.simulation.queue.pool.state_of(upstream.upstream_id)
        state.health.record_step(0.005 if number == 7 else 0.02)


@when("{count:d} entries whose reports are {age_s:g} s old send a request each")
def step_entries_choose(context, count, age_s):
    context.simulation.peers = PeerCounts(entries=count - 1, age_s=age_s)
    context.simulation.scheduler.tick(0.0)
    context.chosen = Counter()
    for _ in range(count):
        # Each request stands for one entry, which doesn't know what the others send.
        ticket, (decision,) = context.simulation.submit_ticket()
        context.chosen[decision.upstream.upstream_id] += 1
        upstream_id = decision.upstream.upstream_id
        context.simulation.queue.release(ticket, upstream_id, context.simulation.now_s)


@then("no upstream gets more of them than it has slots")
def step_spread_out(context):
    most = max(context.chosen.values())
    assert most <= context.slots, context.chosen.most_common(3)


@when("requests arrive one by one, each after the end of the previous one")
def step_one_by_one(context):
    step_entries_choose(context, 1, 0.0)
    step_arrive_evenly(context, 20, 100)


@then("all are sent to the fastest upstream")
def step_all_fastest(context):
    assert context.sent_to == {"u7"}, context.sent_to
