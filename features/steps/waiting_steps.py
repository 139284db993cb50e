from collections import Counter
from random import Random

from behave import given, then, when

from features.calls import TIERS, make_service, make_waiting
from lavenderspoke.waiting import FIFO, WaitingQueue, cost_tokens


@given("a queue")
def step_queue(context):
    context.queue = WaitingQueue(service=make_service())


@given("a FIFO queue")
def step_fifo_queue(context):
    context.queue = WaitingQueue(service=make_service(), policy=FIFO)


@given(
    'a queue where customer "{one}" has weight {first:g}'
    ' and "{two}" has weight {second:g}'
)
def step_weighted_queue(context, one, first, two, second):
    context.queue = WaitingQueue(
        service=make_service(weights={one: first, two: second})
    )


@given("these requests wait")
def step_requests_wait(context):
    for row in context.table:
        cells = row.as_dict()
        warm = (
            {cells["cached at"]: int(cells["cached"])} if cells.get("cached at") else {}
        )
        request = make_waiting(
            row["name"], tier=row["tier"], tokens=int(row["tokens"]), warm=warm
        )
        context.queue.add(request, 0.0)


def add_many(context, customer, count, **waiting):
    start = len(context.queue) + 1000 * context.queue.count_of_customer(customer)
    for number in range(start, start + count):
        name = f"{customer}-{number:05}"
        context.queue.add(make_waiting(name, customer=customer, **waiting), 0.0)
        context.last = {**getattr(context, "last", {}), customer: name}


@given('{first:d} requests from "{one}" and {second:d} from "{two}" wait')
def step_many_wait(context, first, one, second, two):
    add_many(context, one, first)
    add_many(context, two, second)


@given(
    'customer "{customer}" has {count:d} requests with a prefix cached at "{upstream}"'
)
def step_many_warm(context, customer, count, upstream):
    add_many(context, customer, count, warm={upstream: 90})


@when('the next request for "{upstream}" is taken and requeued {count:d} times')
def step_requeue_many(context, upstream, count):
    for _ in range(count):
        context.queue.requeue(context.queue.take(1.0, upstream=upstream), 1.0)


@when('{count:d} requests are taken by "{upstream}"')
def step_take_at(context, count, upstream):
    taken = [context.queue.take(1.0, upstream=upstream) for _ in range(count)]
    context.taken = Counter(request.call.customer for request in taken)


@then('at least {count:d} of them are from "{customer}"')
def step_taken_least(context, count, customer):
    assert context.taken[customer] >= count, context.taken


@when('{count:d} more requests from "{customer}" wait')
def step_more_wait(context, count, customer):
    add_many(context, customer, count)


@when("{count:d} requests are taken")
def step_take_many(context, count):
    step_take_at(context, count, "x")


@then('{first:d} of them are from "{one}" and {second:d} from "{two}"')
def step_taken_counts(context, first, one, second, two):
    assert context.taken == {one: first, two: second}, context.taken


@given("a request of {tokens:d} tokens waits at {at:g} s until {deadline:g} s")
def step_one_waits(context, tokens, at, deadline):
    request = make_waiting("first", tokens=tokens, at_s=at, deadline_s=deadline)
    context.queue.add(request, at)


@given("a cold request waits at 0 s")
def step_cold_waits(context):
    context.queue.add(make_waiting("first"), 0.0)


def add_and_take(context, *, interval_s, tokens, warm):
    """Add and take one request per interval until the first request is taken."""
    for number in range(1000):
        now_s = number * interval_s
        request = make_waiting(
            f"n{number}", at_s=now_s, deadline_s=now_s + 60, tokens=tokens, warm=warm
        )
        context.queue.add(request, now_s)
        if context.queue.take(now_s, upstream="a").call.request_id == "first":
            context.first_taken_s = now_s
            return


@when("a request of {tokens:d} tokens arrives and one is taken every {interval:g} s")
def step_short_arrive(context, tokens, interval):
    add_and_take(context, interval_s=interval, tokens=tokens, warm={})


@when("a warm request arrives and one is taken every {interval:g} s")
def step_warm_arrive(context, interval):
    add_and_take(context, interval_s=interval, tokens=100, warm={"a": 90})


@then("the long one is taken after {low:g} s and before {high:g} s")
def step_long_taken(context, low, high):
    assert low < context.first_taken_s < high, context.first_taken_s


@then("the cold one is taken before {high:g} s")
def step_cold_taken(context, high):
    assert context.first_taken_s < high, context.first_taken_s


@when("{name} is taken and requeued")
def step_requeue(context, name):
    request = context.queue.take(0.0, upstream="x")
    assert request.call.request_id == name
    context.queue.requeue(request, 0.5)


@then('upstream "{upstream}" takes {names} at {now:g} s')
def step_takes(context, upstream, names, now):
    expected = [] if names == "nothing" else names.split(", ")
    for name in expected:
        taken = context.queue.take(now, upstream=upstream)
        assert taken is not None and taken.call.request_id == name, (name, taken)
    if names == "nothing":
        assert context.queue.take(now, upstream=upstream) is None


@then(
    "{low:d} report, {middle:d} position and {high:d} alert wait, with {size:d} bytes"
)
def step_counts(context, low, middle, high, size):
    counts = context.queue.counts()
    assert [counts.get(rank, 0) for rank in (1, 2, 3)] == [low, middle, high], counts
    assert context.queue.bytes == size


@then("the backlog at positions and above is {tokens:d} tokens")
def step_backlog(context, tokens):
    assert context.queue.backlog_tokens(TIERS["position"]) == tokens


@when("all requests below alerts are dropped")
def step_drop_below(context):
    context.queue.drop_below(TIERS["alert"])


@then('to make room for an alert, the last request from "{customer}" is shed first')
def step_victim(context, customer):
    victim = context.queue.lowest_victim(TIERS["alert"])
    assert victim.call.request_id == context.last[customer]


@then("nothing is shed to make room for a position")
def step_no_victim(context):
    assert context.queue.lowest_victim(TIERS["position"]) is None


@then("{count:d} request has expired at {now:g} s")
@then("{count:d} requests have expired at {now:g} s")
def step_expired(context, count, now):
    assert len(context.queue.pop_expired(now)) == count


def run_operation(queue, waiting, random, now_s, number):
    """Run one random operation; return False if it took from a lower tier."""
    choice = random.random()
    if choice < 0.5:
        request = make_waiting(
            f"q{number}",
            at_s=now_s,
            deadline_s=now_s + random.uniform(1, 20),
            tier=random.choice(list(TIERS)),
            tokens=random.choice([10, 100, 10_000]),
            customer=random.choice(["one", "two"]),
            warm={random.choice("abc"): 200} if random.random() < 0.5 else {},
        )
        queue.add(request, now_s)
        waiting[request.call.request_id] = request
    elif choice < 0.85:
        taken = queue.take(now_s, upstream=random.choice("abc"))
        if taken is not None:
            unexpired = [r.call.tier for r in waiting.values() if r.deadline_s > now_s]
            del waiting[taken.call.request_id]
            if random.random() < 0.2:
                queue.requeue(taken, now_s)
                waiting[taken.call.request_id] = taken
            return taken.call.tier == max(unexpired)
    elif choice < 0.95 and waiting:
        name = random.choice(list(waiting))
        assert queue.remove(name) is waiting.pop(name)
    else:
        for request in queue.pop_expired(now_s):
            del waiting[request.call.request_id]
    return True


@when("{count:d} random operations run with seed {seed:d}")
def step_random_run(context, count, seed):
    random, waiting, context.matched = Random(seed), {}, True
    for number in range(count):
        now_s = number * 0.01
        context.matched &= run_operation(context.queue, waiting, random, now_s, number)
        if number % 500 == 0:
            context.queue.reconfigure(make_service(weights={"one": 2.0}), now_s)
        tiers = Counter(request.call.tier for request in waiting.values())
        cost = sum(cost_tokens(request.call) for request in waiting.values())
        context.matched &= context.queue.counts() == dict(tiers)
        context.matched &= context.queue.backlog_tokens(0) == cost


@then("every take was from the highest tier, and counts and costs stayed right")
def step_matched(context):
    assert context.matched
