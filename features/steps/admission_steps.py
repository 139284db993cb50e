from random import Random

from behave import given, then, when

from features.calls import TIERS, make_call, make_service, make_waiting
from lavenderspoke.admission import Admission
from lavenderspoke.drainrate import DrainRate
from lavenderspoke.model import Ran
from lavenderspoke.waiting import WaitingQueue, cost_tokens


def make_admission(context, **limits):
    service = make_service(**limits)
    context.queue = WaitingQueue(service=service)
    context.admission = Admission(service=service, random=Random(1))
    context.drain = DrainRate()


@given("admission control with {count:d} waiting {tier}s of {tokens:d} tokens")
def step_admission(context, count, tier, tokens):
    make_admission(context)
    add_waiting(context, count, tier=tier, tokens=tokens)


@given(
    "admission control where customers may send {rate:g} per second"
    " with a burst of {burst:d}"
)
def step_admission_rate(context, rate, burst):
    make_admission(context, requests_per_s=rate, burst=burst)


@given("admission control where customers may have {count:d} waiting")
def step_admission_waiting(context, count):
    make_admission(context, waiting_max=count)


def add_waiting(context, count, **call):
    number = len(context.queue)
    for each in range(number, number + count):
        context.queue.add(make_waiting(f"w{each}", **call), 0.0)


@when("{count:d} positions of {tokens:d} tokens wait")
def step_wait(context, count, tokens):
    add_waiting(context, count, tokens=tokens)


@when("{count:d} positions of {tokens:d} tokens are granted at {rate:g} per second")
def step_granted(context, count, tokens, rate):
    for number in range(count):
        now_s = (number + 1) / rate
        taken = context.queue.take(now_s, upstream="x")
        context.drain.record_grant(
            taken.call.tier, cost_tokens(taken.call), now_s, context.queue.counts()
        )


@when("a position is granted at {seconds:g} s with none waiting before")
def step_granted_late(context, seconds):
    context.drain.record_grant(TIERS["position"], 100, seconds, context.queue.counts())


def find_problem(context, left_s, now_s):
    context.problem = context.admission.find_problem(
        make_call("new"), left_s, now_s, context.queue, context.drain
    )
    return context.problem


@then("a position with {left:g} s to its deadline is admitted at {now:g} s")
def step_admitted(context, left, now):
    assert find_problem(context, left, now) is None, context.problem


@then(
    'a position with {left:g} s to its deadline is refused as "{reason}" at {now:g} s'
)
def step_refused(context, left, reason, now):
    problem = find_problem(context, left, now)
    assert problem is not None and problem.reason.value == reason, problem
    assert problem.ran is Ran.NO


@then('{count:d} positions are admitted at {now:g} s, the next refused as "{reason}"')
def step_burst(context, count, now, reason):
    for _ in range(count):
        assert find_problem(context, 9.0, now) is None
    step_refused(context, 9.0, reason, now)


@then("the retry delay is between {low:g} s and {high:g} s")
def step_retry_after(context, low, high):
    assert low <= context.problem.retry_after_s <= high, context.problem


@then("no drain rate of positions is measured")
def step_unknown_rate(context):
    assert context.drain.tokens_per_s(TIERS["position"]) is None
