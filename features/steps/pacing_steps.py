from behave import given, then, when

from lavenderspoke.capacity.adaptivelimit import AdaptiveLimit
from lavenderspoke.capacity.concurrency import WINDOW_SAMPLES, ConcurrencyLimit
from lavenderspoke.capacity.straggler import StragglerDetector, StragglerPullPolicy
from lavenderspoke.retrybudget import RetryAllowance, RetryBudget


@given("a concurrency limit of at most {slots:d} slots")
def step_limit(context, slots):
    context.limit = ConcurrencyLimit(slots_max=slots)


@given("a concurrency limit of at most {slots:d} slots and steps of at most {step:g} s")
def step_limit_step(context, slots, step):
    context.limit = ConcurrencyLimit(slots_max=slots, step_max_s=step)


@when("{count:d} windows show first tokens after {latency:g} s at the limit")
def step_windows(context, count, latency):
    for _ in range(count * WINDOW_SAMPLES):
        context.limit.record_first_token(latency, context.limit.limit)


@when(
    "{count:d} windows show first tokens after {latency:g} s at the limit"
    " but one after {long:g} s"
)
def step_windows_long(context, count, latency, long):
    for number in range(count * WINDOW_SAMPLES):
        sample_s = latency if number % (2 * WINDOW_SAMPLES) else long
        context.limit.record_first_token(sample_s, context.limit.limit)


@when(
    "{count:d} windows show first tokens after {latency:g} s with {running:d} running"
)
def step_windows_running(context, count, latency, running):
    for _ in range(count * WINDOW_SAMPLES):
        context.limit.record_first_token(latency, running)


@when("{count:d} steps of {step:g} s are measured by the limit")
def step_limit_steps(context, count, step):
    for _ in range(count):
        context.limit.record_step(step)


@then("the limit is {expected:d}")
def step_limit_is(context, expected):
    assert context.limit.limit == expected, context.limit.limit


@then("the limit is below {bound:d}")
def step_limit_below(context, bound):
    assert 1 <= context.limit.limit < bound, context.limit.limit


@given("an adaptive limit that has measured first tokens after {latency:g} s")
def step_adaptive(context, latency):
    context.adaptive, context.now_s = AdaptiveLimit(slots_max=8), 0.0
    for number in range(WINDOW_SAMPLES):
        context.adaptive.started(str(number), context.now_s)
        context.now_s += latency
        context.adaptive.piece_received(str(number), context.now_s)
        context.adaptive.finished(str(number), context.now_s)


@when("a request begins and {seconds:g} s pass")
def step_adaptive_begins(context, seconds):
    context.adaptive.started("long", context.now_s)
    step_adaptive_pass(context, seconds)


@when("{seconds:g} s pass")
def step_adaptive_pass(context, seconds):
    context.now_s += seconds
    context.adaptive.tick(context.now_s)


@when("its first token arrives")
def step_adaptive_token(context):
    context.adaptive.piece_received("long", context.now_s)


@then("there are free slots besides it")
def step_adaptive_free(context):
    assert context.adaptive.slots > 1


@then("there are no free slots besides it")
def step_adaptive_full(context):
    assert context.adaptive.slots == 1


@given("a straggler detector")
def step_detector(context):
    context.detector, context.now_s, context.peers_s = StragglerDetector(), 0.0, None


@given("a straggler detector whose peers step in {step:g} s")
def step_detector_peers(context, step):
    step_detector(context)
    context.peers_s = step


@when("its peers step in {step:g} s")
def step_peers(context, step):
    context.peers_s = step


@when("it measures {count:d} steps of {step:g} s")
def step_measures(context, count, step):
    for _ in range(count):
        context.now_s += step
        if context.peers_s is not None:
            context.detector.record_peer_step("other", context.peers_s, context.now_s)
        context.detector.record_step(step, now_s=context.now_s)


@when("{seconds:g} s pass with {running:d} requests running")
def step_stall(context, seconds, running):
    context.detector.set_running(running, context.now_s)
    context.now_s += seconds


@then("it is a straggler")
def step_is_straggler(context):
    assert context.detector.is_straggling(context.now_s)


@then("it is no straggler")
def step_is_no_straggler(context):
    assert not context.detector.is_straggling(context.now_s)


@given("a straggler pull policy")
def step_pull_policy(context):
    context.pull_policy = StragglerPullPolicy()


def allows(context, which, now_s):
    waiting = {1: 5, 3: 2} if which == "the highest tier" else {1: 5}
    return context.pull_policy.allows_pull(
        straggling=True, waiting=waiting, highest_rank=3, now_s=now_s
    )


@then("a straggler may pull with {which} waiting at {now:g} s")
def step_may_pull(context, which, now):
    assert allows(context, which, now)


@then("a straggler may not pull with {which} waiting at {now:g} s")
def step_may_not_pull(context, which, now):
    assert not allows(context, which, now)


@given("a retry allowance of ratio {ratio:g} and {rate:g} a second")
def step_allowance(context, ratio, rate):
    budget = RetryBudget(ratio=ratio, per_s_min=rate)
    context.allowance, context.now_s = RetryAllowance(budget=budget), 0.0


@when("{firsts:d} first tries and {retries:d} retries come over {seconds:g} s")
def step_tries(context, firsts, retries, seconds):
    context.allowed = 0
    count = max(firsts, retries)
    for number in range(count):
        context.now_s += seconds / count
        if number < firsts:
            context.allowance.record_first_attempt(context.now_s)
        if number < retries:
            context.allowed += context.allowance.try_spend(context.now_s)


@when("{seconds:g} s pass without tries")
def step_no_tries(context, seconds):
    context.now_s += seconds


@then("from {low:d} to {high:d} retries were allowed")
def step_allowed(context, low, high):
    assert low <= context.allowed <= high, context.allowed
