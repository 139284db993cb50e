"""Steps about customers' limits in direct dispatch."""

from collections import Counter

import attrs
from behave import given, then, when

from lavenderspoke.direct.catalog import Customer
from lavenderspoke.direct.quota import SharedQuota, Tolerance
from lavenderspoke.retrybudget import TIME_CONSTANT_S, RetryAllowance, RetryBudget

WINDOW_S = 8.0
TOLD_EVERY_S = 0.1
TICK_S = 0.01


def new_quota(context, now_s: float) -> SharedQuota:
    quota = SharedQuota(window_s=WINDOW_S, tolerance=context.tolerance)
    quota.reconfigure((context.customer,), now_s=now_s)
    return quota


@given("entries that share a limit of {per_s:d} a second and a burst of {burst:d}")
def step_limit(context, per_s, burst):
    context.customer = Customer(
        name="tours",
        keys=(),
        rank=0,
        per_s=float(per_s),
        burst=float(burst),
        counts_tokens=True,
        default_tokens=1,
    )
    context.hearing = True
    context.tolerance = Tolerance()


@given(
    "entries that share a limit of {per_s:d} requests a second and a burst of {burst:d}"
)
def step_request_limit(context, per_s, burst):
    step_limit(context, per_s, burst)
    context.customer = attrs.evolve(context.customer, counts_tokens=False)


@when("{count:d} requests come at once, {seconds:d} s after the start")
def step_requests_at_once(context, count, seconds):
    quota = new_quota(context, 0.0)
    context.passed_at_once = sum(
        quota.spend(context.customer, 1.0, rank=0, now_s=float(seconds))
        for _ in range(count)
    )


@then("{count:d} of them pass")
def step_of_them(context, count):
    assert context.passed_at_once == count, context.passed_at_once


@given("the platform tolerates a tenth and {tokens:d} more")
def step_tolerance(context, tokens):
    context.tolerance = Tolerance(part=0.1, tokens=float(tokens))


@given("the entries don't hear each other")
def step_deaf(context):
    context.hearing = False


def ask(
    context, per_s: int, seconds: int, restart_s: float | None, *, begin_s: float = 0.0
) -> None:
    quotas = [new_quota(context, 0.0) for _ in range(2)]
    context.passed = []
    lives = 0
    ticks = round(seconds / TICK_S)
    for tick in range(ticks):
        now_s = tick * TICK_S
        if restart_s is not None and now_s >= restart_s and not lives:
            quotas, lives = [new_quota(context, now_s) for _ in quotas], 1
        for quota in quotas:
            quota.set_entry_counts(live=2 if context.hearing else 1, known=2)
        if now_s < begin_s:
            continue
        quota = quotas[tick % 2]
        if quota.spend(context.customer, per_s * TICK_S, rank=0, now_s=now_s):
            context.passed.append((now_s, per_s * TICK_S))
        if context.hearing and tick % round(TOLD_EVERY_S / TICK_S) == 0:
            for index, peer in enumerate(quotas):
                told = quotas[1 - index].spent()
                peer.merge_peer_spent("peer", str(lives), told, now_s=now_s)


@when("a customer asks {per_s:d} a second for {seconds:d} s, through both of 2 entries")
def step_ask(context, per_s, seconds):
    ask(context, per_s, seconds, None)


@when(
    "a customer asks {per_s:d} a second for {seconds:d} s, "
    "and all entries restart at {restart_s:d} s"
)
def step_restart(context, per_s, seconds, restart_s):
    ask(context, per_s, seconds, restart_s)


@when(
    "a customer asks {per_s:d} a second from {begin_s:d} s to {end_s:d} s, "
    "and all entries restart at {restart_s:d} s"
)
def step_late_load(context, per_s, begin_s, end_s, restart_s):
    ask(context, per_s, end_s, restart_s, begin_s=begin_s)


@then("no {seconds:d} s hold more than {most} that passed, but for what isn't told yet")
def step_window_told(context, seconds, most):
    # The other entry hears of it a message later; the bench of this drive has two.
    check_windows(context, seconds, int(most.replace(",", "")), lag=TOLD_EVERY_S * 200)


@when(
    "a customer asks {first:d} a second of rank 0, {middle:d} of rank 2 and "
    "{last:d} of rank 3 for {seconds:d} s"
)
def step_ranks(context, first, middle, last, seconds):
    quota = new_quota(context, 0.0)
    context.asked, context.let_through = Counter(), Counter()
    for tick in range(round(seconds / TICK_S)):
        for rank, per_s in ((2, middle), (3, last), (0, first)):
            cost = per_s * TICK_S
            context.asked[rank] += cost
            if quota.spend(context.customer, cost, rank=rank, now_s=tick * TICK_S):
                context.let_through[rank] += cost


@when(
    "a customer uses {first:d} of rank 0 and {lower:d} of rank 2 a second, "
    "and then {clump:d} of rank 0 at once"
)
def step_clump(context, first, lower, clump):
    context.quota = new_quota(context, 0.0)
    context.now_s = 12.0
    for tick in range(round(context.now_s / TICK_S)):
        for rank, per_s in ((0, first), (2, lower)):
            assert context.quota.spend(
                context.customer, per_s * TICK_S, rank=rank, now_s=tick * TICK_S
            )
    assert context.quota.spend(
        context.customer, float(clump), rank=0, now_s=context.now_s
    )


@then("{count:d} requests of 1 of rank 2 pass right after it")
def step_pass_after(context, count):
    for _ in range(count):
        assert context.quota.spend(context.customer, 1.0, rank=2, now_s=context.now_s)


@then("at least {part:d} in 100 of rank {rank:d} pass")
def step_rank_passes(context, part, rank):
    passed = context.let_through[rank] / context.asked[rank]
    assert 100 * passed >= part, (rank, passed)


@when(
    "a customer asks for {per_s:d} a second in requests of 1 and, every {gap_s:d} s, "
    "one of {large:d}"
)
def step_sizes(context, per_s, gap_s, large):
    quota = new_quota(context, 0.0)
    context.asked, context.let_through = Counter(), Counter()
    for tick in range(round(40.0 / TICK_S)):
        now_s = tick * TICK_S
        sizes = [1.0] * round(per_s * TICK_S)
        if tick % round(gap_s / TICK_S) == 0:
            sizes.append(float(large))
        for cost in sizes:
            context.asked[cost] += 1
            context.let_through[cost] += quota.spend(
                context.customer, cost, rank=0, now_s=now_s
            )
    context.large = float(large)


@then("at least half as many in 100 of the large ones pass as of the small ones")
def step_sizes_passed(context):
    passed = {c: context.let_through[c] / n for c, n in context.asked.items()}
    assert passed[context.large] >= passed[1.0] / 2, passed


@then("no {seconds:d} s hold more than {most} that passed")
def step_window(context, seconds, most):
    # What one entry lets through until the other has told of its own.
    lag = 400 * 2 * TOLD_EVERY_S
    check_windows(context, seconds, int(most.replace(",", "")), lag=lag)


def check_windows(context, seconds: int, most: float, *, lag: float) -> None:
    for start_s, _ in context.passed:
        end_s = start_s + seconds
        held = sum(n for at_s, n in context.passed if start_s <= at_s < end_s)
        assert held <= most + lag, (start_s, held)


@then("at least {seconds:d} s hold {least} that passed")
def step_total(context, seconds, least):
    total = sum(amount for _, amount in context.passed)
    assert total >= int(least.replace(",", "")), total


@when(
    "an entry that let {per_s:d} a second through for {seconds:d} s is heard by "
    "one that starts"
)
def step_starts_beside(context, per_s, seconds):
    context.start_s = float(seconds)
    context.quota = new_quota(context, context.start_s)
    context.quota.set_entry_counts(live=2, known=2)
    for told_s in (seconds, seconds + 1):
        told = float(per_s * told_s)
        spent = {context.customer.name: ((0, told, told),)}
        context.quota.merge_peer_spent("peer", "a", spent, now_s=float(told_s))


@then("{after_s:d} s after its start a request of {cost:d} passes there")
def step_passes_there(context, after_s, cost):
    now_s = context.start_s + after_s
    assert context.quota.spend(context.customer, float(cost), rank=0, now_s=now_s)


@when("all entries have just started")
def step_just_started(context):
    context.quota = new_quota(context, 0.0)


@then("{most:d} pass at once and no more")
def step_at_once(context, most):
    passed = 0
    while context.quota.spend(context.customer, 10.0, rank=0, now_s=0.0):
        passed += 10
    assert passed == most, passed


@when("a request of {cost:d} passes and is given back")
def step_given_back(context, cost):
    context.quota = new_quota(context, 0.0)
    # An entry that has just started gives out nothing yet.
    assert context.quota.spend(context.customer, cost, rank=0, now_s=WINDOW_S)
    context.quota.refund(context.customer, cost, rank=0, now_s=WINDOW_S)


@then("a request of {cost:d} passes")
def step_passes(context, cost):
    assert context.quota.spend(context.customer, cost, rank=0, now_s=WINDOW_S)


@when("the limit is used up at once, {seconds:d} s after the start")
def step_used_up(context, seconds):
    context.quota = new_quota(context, 0.0)
    context.now_s = float(seconds)
    assert context.quota.spend(context.customer, 1100.0, rank=0, now_s=context.now_s)


@then("a request of {cost:d} may come back after {seconds:d} s")
def step_back(context, cost, seconds):
    wait_s = context.quota.wait_s(context.customer, cost, rank=0, now_s=context.now_s)
    assert abs(wait_s - seconds) < 0.01, wait_s


def budget_of(slack: float) -> RetryBudget:
    return RetryBudget(ratio=0.0, per_s_min=slack / TIME_CONSTANT_S)


@given("a retry allowance whose slack is {slack:d} for one entry")
def step_allowance(context, slack):
    context.slack = slack
    context.allowance = RetryAllowance(budget=budget_of(slack), now_s=0.0)


@when("it turns out that there are {entries:d} entries")
def step_entries(context, entries):
    context.allowance.reconfigure(budget_of(context.slack / entries))


@then("no more than {most:d} retries are allowed at once")
def step_allowed(context, most):
    allowed = sum(context.allowance.try_spend(0.0) for _ in range(50))
    assert 1 <= allowed <= most, allowed
