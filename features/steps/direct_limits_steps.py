"""Steps about customers' limits in direct dispatch."""

from collections import Counter

import attrs
from behave import given, then, when

from lavenderspoke.direct.catalog import Customer
from lavenderspoke.direct.quota import SharedQuota, Tolerance
from lavenderspoke.retrybudget import TIME_CONSTANT_S, RetryAllowance, RetryBudget

WINDOW_S = 8.0
REPORT_INTERVAL_S = 0.1
TICK_S = 0.01


def new_quota(context, now_s: float) -> SharedQuota:
    quota = SharedQuota(window_s=WINDOW_S, tolerance=context.tolerance)
    quota.reconfigure((context.customer,), now_s=now_s)
    return quota


@given("entries that share a limit of {per_s:d} per second and a burst of {burst:d}")
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
    context.is_connected = True
    context.tolerance = Tolerance()


@given(
    "entries that share a limit of {per_s:d} requests per second and a burst of "
    "{burst:d}"
)
def step_request_limit(context, per_s, burst):
    step_limit(context, per_s, burst)
    context.customer = attrs.evolve(context.customer, counts_tokens=False)


@when("{count:d} requests arrive at once, {seconds:d} s after the start")
def step_requests_at_once(context, count, seconds):
    quota = new_quota(context, 0.0)
    context.admitted_at_once = sum(
        quota.spend(context.customer, 1.0, rank=0, now_s=float(seconds))
        for _ in range(count)
    )


@then("{count:d} of them are admitted")
def step_of_them(context, count):
    assert context.admitted_at_once == count, context.admitted_at_once


@given("the platform tolerates a tenth of the limit and {tokens:d} tokens more")
def step_tolerance(context, tokens):
    context.tolerance = Tolerance(part=0.1, tokens=float(tokens))


@given("the entries are partitioned from each other")
def step_partitioned(context):
    context.is_connected = False


def send_requests(
    context, per_s: int, seconds: int, restart_s: float | None, *, begin_s: float = 0.0
) -> None:
    quotas = [new_quota(context, 0.0) for _ in range(2)]
    context.admitted_rows = []
    incarnation = 0
    ticks = round(seconds / TICK_S)
    for tick in range(ticks):
        now_s = tick * TICK_S
        if restart_s is not None and now_s >= restart_s and not incarnation:
            quotas, incarnation = [new_quota(context, now_s) for _ in quotas], 1
        for quota in quotas:
            quota.set_entry_counts(live=2 if context.is_connected else 1, known=2)
        if now_s < begin_s:
            continue
        quota = quotas[tick % 2]
        if quota.spend(context.customer, per_s * TICK_S, rank=0, now_s=now_s):
            context.admitted_rows.append((now_s, per_s * TICK_S))
        if context.is_connected and tick % round(REPORT_INTERVAL_S / TICK_S) == 0:
            for index, receiver in enumerate(quotas):
                reported = quotas[1 - index].spent()
                receiver.merge_peer_spent(
                    "peer", str(incarnation), reported, now_s=now_s
                )


@when(
    "a customer requests {per_s:d} per second for {seconds:d} s, through both of 2 "
    "entries"
)
def step_requests_through_both(context, per_s, seconds):
    send_requests(context, per_s, seconds, None)


@when(
    "a customer requests {per_s:d} per second for {seconds:d} s, and all entries "
    "restart at {restart_s:d} s"
)
def step_restart(context, per_s, seconds, restart_s):
    send_requests(context, per_s, seconds, restart_s)


@when(
    "a customer requests {per_s:d} per second from {begin_s:d} s to {end_s:d} s, "
    "and all entries restart at {restart_s:d} s"
)
def step_late_load(context, per_s, begin_s, end_s, restart_s):
    send_requests(context, per_s, end_s, restart_s, begin_s=begin_s)


@then(
    "at most {max_amount} and what isn't reported yet are admitted in any "
    "{seconds:d} s"
)
def step_window_reported(context, seconds, max_amount):
    # The other entry hears of it one report later; this simulation has two entries.
    check_windows(
        context,
        seconds,
        int(max_amount.replace(",", "")),
        unreported=REPORT_INTERVAL_S * 200,
    )


@when(
    "a customer requests {first:d} per second of rank 0, {middle:d} of rank 2 and "
    "{last:d} of rank 3 for {seconds:d} s"
)
def step_ranks(context, first, middle, last, seconds):
    quota = new_quota(context, 0.0)
    context.requested, context.admitted = Counter(), Counter()
    for tick in range(round(seconds / TICK_S)):
        for rank, per_s in ((2, middle), (3, last), (0, first)):
            cost = per_s * TICK_S
            context.requested[rank] += cost
            if quota.spend(context.customer, cost, rank=rank, now_s=tick * TICK_S):
                context.admitted[rank] += cost


@when(
    "a customer uses {first:d} of rank 0 and {lower:d} of rank 2 per second, and "
    "then {burst_cost:d} of rank 0 at once"
)
def step_large_burst(context, first, lower, burst_cost):
    context.quota = new_quota(context, 0.0)
    context.now_s = 12.0
    for tick in range(round(context.now_s / TICK_S)):
        for rank, per_s in ((0, first), (2, lower)):
            assert context.quota.spend(
                context.customer, per_s * TICK_S, rank=rank, now_s=tick * TICK_S
            )
    assert context.quota.spend(
        context.customer, float(burst_cost), rank=0, now_s=context.now_s
    )


@then("{count:d} requests of cost 1 and rank 2 are admitted right after it")
def step_admitted_after(context, count):
    for _ in range(count):
        assert context.quota.spend(context.customer, 1.0, rank=2, now_s=context.now_s)


@then("at least {percent:d}% of rank {rank:d} are admitted")
def step_rank_admitted(context, percent, rank):
    share = context.admitted[rank] / context.requested[rank]
    assert 100 * share >= percent, (rank, share)


@when(
    "a customer requests {per_s:d} per second at a cost of 1 each and, every "
    "{interval_s:d} s, one of {large:d}"
)
def step_sizes(context, per_s, interval_s, large):
    quota = new_quota(context, 0.0)
    context.requested, context.admitted = Counter(), Counter()
    for tick in range(round(40.0 / TICK_S)):
        now_s = tick * TICK_S
        sizes = [1.0] * round(per_s * TICK_S)
        if tick % round(interval_s / TICK_S) == 0:
            sizes.append(float(large))
        for cost in sizes:
            context.requested[cost] += 1
            context.admitted[cost] += quota.spend(
                context.customer, cost, rank=0, now_s=now_s
            )
    context.large = float(large)


@then("the share of large ones admitted is at least half of that of the small ones")
def step_sizes_admitted(context):
    shares = {c: context.admitted[c] / n for c, n in context.requested.items()}
    assert shares[context.large] >= shares[1.0] / 2, shares


@then("at most {max_amount} are admitted in any {seconds:d} s")
def step_window(context, seconds, max_amount):
    # What is admitted at one entry until the other has reported its own use.
    unreported = 400 * 2 * REPORT_INTERVAL_S
    check_windows(
        context, seconds, int(max_amount.replace(",", "")), unreported=unreported
    )


def check_windows(
    context, seconds: int, max_amount: float, *, unreported: float
) -> None:
    for start_s, _ in context.admitted_rows:
        end_s = start_s + seconds
        admitted = sum(
            n for at_s, n in context.admitted_rows if start_s <= at_s < end_s
        )
        assert admitted <= max_amount + unreported, (start_s, admitted)


@then("at least {min_amount} are admitted in {seconds:d} s")
def step_total(context, seconds, min_amount):
    total = sum(amount for _, amount in context.admitted_rows)
    assert total >= int(min_amount.replace(",", "")), total


@when(
    "an entry that admitted {per_s:d} per second for {seconds:d} s reports to one "
    "that starts"
)
def step_starts_beside(context, per_s, seconds):
    context.start_s = float(seconds)
    context.quota = new_quota(context, context.start_s)
    context.quota.set_entry_counts(live=2, known=2)
    for reported_s in (seconds, seconds + 1):
        reported = float(per_s * reported_s)
        spent = {context.customer.name: ((0, reported, reported),)}
        context.quota.merge_peer_spent("peer", "a", spent, now_s=float(reported_s))


@then("{after_s:d} s after its start a request of cost {cost:d} is admitted there")
def step_admitted_there(context, after_s, cost):
    now_s = context.start_s + after_s
    assert context.quota.spend(context.customer, float(cost), rank=0, now_s=now_s)


@when("all entries have just started")
def step_just_started(context):
    context.quota = new_quota(context, 0.0)


@then("{amount:d} are admitted at once and no more")
def step_at_once(context, amount):
    admitted = 0
    while context.quota.spend(context.customer, 10.0, rank=0, now_s=0.0):
        admitted += 10
    assert admitted == amount, admitted


@when("a request of cost {cost:d} is admitted and refunded")
def step_refunded(context, cost):
    context.quota = new_quota(context, 0.0)
    # Without a tolerance, an entry that has just started admits nothing yet.
    assert context.quota.spend(context.customer, cost, rank=0, now_s=WINDOW_S)
    context.quota.refund(context.customer, cost, rank=0, now_s=WINDOW_S)


@then("a request of cost {cost:d} is admitted")
def step_admitted(context, cost):
    assert context.quota.spend(context.customer, cost, rank=0, now_s=WINDOW_S)


@when("the limit is used up at once, {seconds:d} s after the start")
def step_used_up(context, seconds):
    context.quota = new_quota(context, 0.0)
    context.now_s = float(seconds)
    assert context.quota.spend(context.customer, 1100.0, rank=0, now_s=context.now_s)


@then("a request of cost {cost:d} may be retried after {seconds:d} s")
def step_retry_after_wait(context, cost, seconds):
    wait_s = context.quota.wait_s(context.customer, cost, rank=0, now_s=context.now_s)
    assert abs(wait_s - seconds) < 0.01, wait_s


def budget_of(slack: float) -> RetryBudget:
    return RetryBudget(ratio=0.0, per_s_min=slack / TIME_CONSTANT_S)


@given("a retry allowance whose slack is {slack:d} for one entry")
def step_allowance(context, slack):
    context.slack = slack
    context.allowance = RetryAllowance(budget=budget_of(slack), now_s=0.0)


@when("it becomes known that there are {entries:d} entries")
def step_entries(context, entries):
    context.allowance.reconfigure(budget_of(context.slack / entries))


@then("at most {max_amount:d} retries are allowed at once")
def step_allowed(context, max_amount):
    allowed = sum(context.allowance.try_spend(0.0) for _ in range(50))
    assert 1 <= allowed <= max_amount, allowed
