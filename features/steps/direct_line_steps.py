"""Steps about the scheduler of direct dispatch, on a clock of their own."""

from collections import Counter

import attrs
from behave import given, then, when

from features.linedrive import RANKS, Drive, Request
from lavenderspoke.direct.catalog import Catalog, Customer
from lavenderspoke.direct.lengths import AnswerLengths
from lavenderspoke.direct.scheduler import PeerCounts
from lavenderspoke.direct.tickets import Dispatch, Refusal, Refuse


@given("a line before {upstreams:d} upstreams of {places:d} places")
@given("a line before {upstreams:d} upstream of {places:d} places")
@given("a line before {upstreams:d} upstreams of {places:d} place")
@given("a line before {upstreams:d} upstream of {places:d} place")
def step_line(context, upstreams, places):
    context.places = places
    context.drive = Drive(upstreams=upstreams, places=places)


@given("a peer has {count:d} requests of a higher rank in line")
def step_peer(context, count):
    # The lower rank holds more than what it is guaranteed.
    for _ in range(6):
        context.drive.ticket(rank=RANKS["lowest"])
    context.drive.peers = PeerCounts(waiting={RANKS["highest"]: count}, entries=1)
    context.drive.scheduler.tick(0.0)


@when("for {seconds:d} s there come each second")
def step_arrivals(context, seconds):
    for row in context.table:
        context.drive.arrivals(row, seconds)
    context.drive.run(seconds + 20.0)


def of_length(context, tokens: int) -> list[Request]:
    return [each for each in context.drive.requests if each.answer_tokens == tokens]


def of_rank(context, rank: str) -> list[Request]:
    return [each for each in context.drive.requests if each.rank == rank]


@then("at least {part:d} in 100 of the {rank} rank begin within their target")
def step_on_time(context, part, rank):
    assert_on_time(of_rank(context, rank), part)


@then("of answers of {tokens:d} tokens at least {part:d} in 100 begin within target")
def step_length_on_time(context, tokens, part):
    assert_on_time(of_length(context, tokens), part)


@then("of answers of {tokens:d} tokens at least {part:d} in 100 are served")
def step_length_served(context, tokens, part):
    assert_served(of_length(context, tokens), part)


def served_part(requests: list[Request]) -> float:
    return sum(each.began_s is not None for each in requests) / len(requests)


@then(
    "answers of {tokens:d} tokens are served at least half as often as all of the "
    "{rank} rank"
)
def step_half_as_often(context, tokens, rank):
    long, every = of_length(context, tokens), of_rank(context, rank)
    assert served_part(long) >= served_part(every) / 2, (
        served_part(long),
        served_part(every),
    )


@when("{count:d} requests of a rank came that say nothing of their length")
def step_without_length(context, count):
    lengths = AnswerLengths()
    context.counted_long = []
    for _ in range(count):
        context.counted_long.append(lengths.is_long(0))
        lengths.record_arrival(0)


@then("none of them counted as long")
def step_none_long(context):
    assert not any(context.counted_long), context.counted_long


def assert_served(requests: list[Request], part: int) -> None:
    served = [each for each in requests if each.began_s is not None]
    assert 100 * len(served) >= part * len(requests), (len(served), len(requests))


def assert_on_time(requests: list[Request], part: int) -> None:
    on_time = [
        each
        for each in requests
        if each.began_s is not None and each.began_s <= each.first_s + each.target_s
    ]
    assert 100 * len(on_time) >= part * len(requests), (len(on_time), len(requests))


@then("at least {part:d} in 100 of the {rank} rank are served")
def step_served(context, part, rank):
    assert_served(of_rank(context, rank), part)


@then("who is refused has waited no longer than {part:d} in 100 of its target")
def step_waited(context, part):
    for request, decision in context.drive.refused:
        if request.tries == 1 and request.rank != "highest":
            most_s = request.target_s * part / 100
            assert request.held_in_line_s <= most_s, (request, decision)


@then("no more run at an upstream than it has places")
def step_places(context):
    assert context.drive.most_at_one <= context.places


@then("nobody is refused or waits")
def step_nobody(context):
    assert not context.drive.refused
    assert all(each.held_in_line_s == 0.0 for each in context.drive.requests)


@when("one runs, and a newcomer and one that came back wait")
def step_two_wait(context):
    drive = context.drive
    running, _ = drive.ticket()
    _, context.newcomer = drive.ticket()
    _, context.returned = drive.ticket(resubmitted=True)
    drive.line.release(running, "u0", drive.now_s)


@then("the one that came back goes next")
def step_returned_next(context):
    assert len(context.returned) == 1 and not context.newcomer


@when("a request of a lower rank comes")
def step_lower(context):
    _, context.decisions = context.drive.ticket(rank=RANKS["lowest"])


@then("it waits")
def step_it_waits(context):
    assert context.decisions == []


@when("a request comes that was sent to the first before")
def step_excluded(context):
    _, context.decisions = context.drive.ticket(excluded={"u0"})


@when("a request comes that may not wait")
def step_may_not_wait(context):
    _, context.decisions = context.drive.ticket(may_wait=False)


@when("a request comes whose caller has seen nothing for as long as it waits")
def step_caller_waited(context):
    drive = context.drive
    idle_since_s = drive.now_s - 2.0
    _, context.decisions = drive.ticket(idle_since_s=idle_since_s, patience_s=2.0)


@when("one runs for {seconds:g} s, and another one waits meanwhile")
def step_long_wait(context, seconds):
    drive = context.drive
    running, _ = drive.ticket()
    _, context.decisions = drive.ticket(deadline_s=60.0, patience_s=60.0)
    drive.line.release(running, "u0", drive.now_s + seconds)


@then("the one that waited runs")
def step_waited_runs(context):
    step_first(context)


@then("it is refused at once")
def step_refused_at_once(context):
    (decision,) = context.decisions
    assert isinstance(decision, Refuse), decision


@then("it goes to the first")
def step_first(context):
    (decision,) = context.decisions
    assert isinstance(decision, Dispatch), decision
    assert decision.upstream.upstream_id == "u0"


@then("it goes to the second")
def step_second(context):
    (decision,) = context.decisions
    assert decision.upstream.upstream_id == "u1"


@given("the first takes {first:d} ms a step and the second {second:d} ms")
def step_paces(context, first, second):
    for upstream_id, pace_ms in (("u0", first), ("u1", second)):
        context.drive.line.pool.state_of(upstream_id).health.record_step(pace_ms / 1000)


@when("the second is taken, and a long prompt and a short one come")
def step_long_and_short(context):
    drive = context.drive
    context.running, _ = drive.ticket(excluded={"u0"})
    _, context.long = drive.ticket(prompt_tokens=20_000)
    _, context.short = drive.ticket(prompt_tokens=500)


@then("the short one goes to the first, and the long one to the second when it is free")
def step_long_second(context):
    (decision,) = context.short
    assert decision.upstream.upstream_id == "u0"
    assert context.long == []
    context.drive.line.release(context.running, "u1", context.drive.now_s)
    (decision,) = context.long
    assert decision.upstream.upstream_id == "u1"


@when("{count:d} prompts of {tokens:d} tokens were read at {pace:d} tokens a step")
def step_read(context, count, tokens, pace):
    drive = context.drive
    for _ in range(count):
        ticket, decisions = drive.ticket(prompt_tokens=tokens)
        (decision,) = decisions
        upstream_id = decision.upstream.upstream_id
        steps = tokens / pace + 1
        drive.now_s += drive.line.pool.state_of(upstream_id).step_s() * steps
        drive.line.record_first_event(ticket, upstream_id, drive.now_s)
        drive.line.release(ticket, upstream_id, drive.now_s)
    context.pace = pace


@then(
    "a prompt of {tokens:d} tokens is expected to be read within {part:d} in 100 "
    "of that pace"
)
def step_expected(context, tokens, part):
    learned = context.drive.line.pool.prefill_rate.tokens_per_step
    assert abs(learned - context.pace) <= context.pace * part / 100, learned


@then("with the second taken, a prompt of {tokens:d} tokens goes to the first at once")
def step_at_once(context, tokens):
    context.drive.ticket(excluded={"u0"})
    _, decisions = context.drive.ticket(prompt_tokens=tokens)
    (decision,) = decisions
    assert decision.upstream.upstream_id == "u0"


@when("the upstream is leaving and a request comes")
def step_leaving(context):
    drive = context.drive
    (upstream,) = drive.upstreams
    drive.scheduler.reconfigure((attrs.evolve(upstream, leaving=True),), 0.0)
    _, context.decisions = drive.ticket()


@then("it is refused because no upstream is there")
def step_none(context):
    (decision,) = context.decisions
    assert decision.reason is Refusal.NO_UPSTREAM


@when("the upstream can't be reached")
def step_unreachable(context):
    seat = context.drive.line.pool.state_of("u0")
    seat.health.record_unreachable(context.drive.now_s)


@then("nothing is sent there for a while, and then one request at a time")
def step_trial(context):
    drive = context.drive
    decisions = [drive.ticket()[1] for _ in range(3)]
    assert decisions == [[], [], []]
    drive.run(0.3)
    sent = [each for each in decisions if each]
    assert len(sent) == 1, decisions
    context.sent = sent


@when("that one is answered")
def step_answered(context):
    drive = context.drive
    seat = drive.line.pool.state_of("u0")
    seat.health.record_success()
    seat.own_requests.clear()
    drive.run(0.1)


@then("it takes as many as it has places again")
def step_all_again(context):
    assert len(context.drive.line.pool.state_of("u0").own_requests) == 2
    assert context.drive.line.pool.free_slots(context.drive.now_s) == 2


@when("{count:d} requests with {left_s:f} s left come at once")
def step_many_at_once(context, count, left_s):
    drive = context.drive
    decisions = [drive.ticket(deadline_s=left_s, target_s=0.4) for _ in range(count)]
    drive.run(left_s)
    context.refusals = [
        each for _, made in decisions for each in made if isinstance(each, Refuse)
    ]


@then("each refusal names between {least_s:f} s and {most_s:f} s")
def step_retry_after(context, least_s, most_s):
    assert context.refusals
    early = [each for each in context.refusals if each.reason is Refusal.CROWDED]
    assert early
    for each in early:
        assert least_s <= each.retry_after_s <= most_s, each


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


@given("customers of the ranks {first:d} and {second:d}")
def step_customers(context, first, second):
    context.catalog = catalog_of(first, second)


@then("a request without a key ranks as {rank:d}, and a customer's as its own")
def step_rank_without_key(context, rank):
    assert context.catalog.rank_of(None) == rank
    for customer in context.catalog.customers:
        assert context.catalog.rank_of(customer) == customer.rank


@then("with no customers at all it ranks as {rank:d}")
def step_rank_alone(context, rank):
    assert catalog_of().rank_of(None) == rank


@when("other upstreams are found at the addresses of {count:d} of them")
def step_found_others(context, count):
    context.gone = {f"u{n}" for n in range(count)}
    for upstream_id in context.gone:
        context.drive.line.pool.evict(upstream_id, context.drive.now_s)


@when("{count:d} requests come, one each {every_ms:d} ms")
def step_come_evenly(context, count, every_ms):
    context.sent_to = set()
    for _ in range(count):
        ticket, (decision,) = context.drive.ticket()
        upstream_id = decision.upstream.upstream_id
        context.sent_to.add(upstream_id)
        context.drive.run(every_ms / 1000.0)
        context.drive.line.release(ticket, upstream_id, context.drive.now_s)


@when(
    "{seconds:d} s have passed, and {count:d} requests come, one each {every_ms:d} ms"
)
def step_later(context, seconds, count, every_ms):
    context.drive.run(float(seconds))
    step_come_evenly(context, count, every_ms)


@then("none is sent to these {count:d}")
def step_none_to_these(context, count):
    assert not context.sent_to & context.gone, context.sent_to


@then("some are sent to these {count:d}")
def step_some_to_these(context, count):
    assert context.sent_to & context.gone, context.sent_to


@given("one of them is faster than all others")
def step_one_faster(context):
    for number, upstream in enumerate(context.drive.upstreams):
        seat = context.drive.line.pool.state_of(upstream.upstream_id)
        seat.health.record_step(0.005 if number == 7 else 0.02)


@when("{count:d} entries that hear of each other {age_s:g} s late send a request each")
def step_entries_choose(context, count, age_s):
    context.drive.peers = PeerCounts(entries=count - 1, age_s=age_s)
    context.drive.scheduler.tick(0.0)
    context.chosen = Counter()
    for _ in range(count):
        # Each entry has had ten requests in the last second, and knows nothing of
        # what the others send now.
        ticket, (decision,) = context.drive.ticket()
        context.chosen[decision.upstream.upstream_id] += 1
        upstream_id = decision.upstream.upstream_id
        context.drive.line.release(ticket, upstream_id, context.drive.now_s)


@then("no upstream gets more of them than it has places")
def step_spread_out(context):
    most = max(context.chosen.values())
    assert most <= context.places, context.chosen.most_common(3)


@when("requests come one by one, each after the end of the one before")
def step_one_by_one(context):
    step_entries_choose(context, 1, 0.0)
    step_come_evenly(context, 20, 100)


@then("all go to the fastest")
def step_all_fastest(context):
    assert context.sent_to == {"u7"}, context.sent_to
