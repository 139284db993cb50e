"""Steps about tiers under overload."""

import time

import attrs
from behave import given, then, when

from features.steps.deployment_steps import WAIT_S, deploy
from standins.deployment import TIERS, Sent, document
from standins.processes import wait_until

TOKENS = 10
DEADLINE_S = 30


@attrs.define(kw_only=True)
class SentRequest:
    """One request of a tier, with when it was sent and when its answer ended."""

    tier: str
    sent_s: float
    ended_s: float = 0.0

    def kept_at(self, moment_s: float) -> bool:
        """Whether it was in the system at that moment."""
        return self.sent_s < moment_s < self.ended_s


@given("two entries that queue {count:d} requests for one engine with 1 slot")
def step_small_entries(context, count):
    deployment = deploy(context)
    waiting = {"requests_max": count}
    deployment.publish(document("narrative", "model", waiting=waiting))
    deployment.entry("entry-1")
    deployment.entry("entry-2")
    engine = deployment.stage.engine("engine-1", "--step-ms", "30", "--slots", "1")
    deployment.agent("agent-1", "narrative", engine, slots_max=1)
    deployment.wait_ready()
    context.timed = {}


@given("one entry with {threads:d} threads and one engine with 1 slot")
def step_few_threads(context, threads):
    deployment = deploy(context)
    deployment.publish(document("narrative", "model"))
    deployment.entry("entry-1", threads=threads)
    engine = deployment.stage.engine("engine-1", "--step-ms", "30", "--slots", "1")
    deployment.agent("agent-1", "narrative", engine, slots_max=1)
    deployment.wait_ready()
    context.timed = {}


def send(context, tier: str, entry: str) -> None:
    label = f"{tier} {len(context.timed)}"
    timed = context.timed[label] = SentRequest(tier=tier, sent_s=time.monotonic())

    def complete() -> Sent:
        try:
            return context.deployment.complete(
                entry,
                label,
                tokens=TOKENS,
                Lavenderspoke_Tier=tier,
                Lavenderspoke_Deadline_S=str(DEADLINE_S),
            )
        finally:
            timed.ended_s = time.monotonic()

    context.sending.begin(label, complete)


def count_of(context, entry: str, state: str, tier: str) -> int:
    return context.deployment.status(entry)[state]["narrative"][tier]


@when("{count:d} {tier}s are sent through {entry} and wait")
def step_send_and_wait(context, count, tier, entry):
    for _ in range(count):
        send(context, tier, entry)
    wait_until(
        lambda: count_of(context, entry, "waiting", tier) == count,
        WAIT_S,
        "the requests wait",
    )


@when("1 {tier} is sent through {entry} and runs")
def step_send_and_run(context, tier, entry):
    send(context, tier, entry)
    wait_until(
        lambda: count_of(context, entry, "running", tier), WAIT_S, "the request runs"
    )


@when("{count:d} {tier}s are sent through {entry}")
def step_send(context, count, tier, entry):
    for _ in range(count):
        send(context, tier, entry)


@when("a burst of {count:d} requests of each tier reaches both entries")
def step_burst(context, count):
    for number in range(count):
        for tier in TIERS:
            send(context, tier, f"entry-{number % 2 + 1}")


def shed_labels(context, tier: str) -> list[str]:
    return [
        label
        for label, sent in context.sending.results.items()
        if context.timed[label].tier == tier
        and isinstance(sent, Sent)
        and sent.reason == "shed"
    ]


@then("every request has been answered or refused")
def step_all_ended(context):
    results = context.sending.wait()
    assert set(results) == set(context.timed)
    assert all(isinstance(sent, Sent) for sent in results.values()), results


@then("some alerts are shed")
def step_some_shed(context):
    wait_until(lambda: shed_labels(context, "alert"), WAIT_S, "an alert is shed")


@then("some alerts and all waiting reports were shed")
def step_which_shed(context):
    assert shed_labels(context, "alert")
    reports = [
        label for label, timed in context.timed.items() if timed.tier == "report"
    ]
    assert sorted(shed_labels(context, "report")) == sorted(reports)


@then("every {tier} was answered completely")
def step_tier_whole(context, tier):
    for label, timed in context.timed.items():
        assert timed.tier != tier or answered(context, label), label


@then("some {tier}s were shed")
def step_tier_shed(context, tier):
    assert shed_labels(context, tier)


def answered(context, label: str) -> bool:
    sent = context.sending.results[label]
    return sent.status == 200 and sent.whole


def kept_below(context, label: str) -> list[str]:
    """Return lower-tier requests that were kept, and later served, when it was shed.

    One of them may already have been running in the engine's only slot, and a shed
    request's answer ends a moment after it is dropped.
    """
    dropped = context.timed[label]
    return [
        other
        for other, timed in context.timed.items()
        if TIERS[timed.tier] < TIERS[dropped.tier]
        and timed.kept_at(dropped.ended_s)
        and answered(context, other)
    ]


@then("at most the running report was kept when an alert was shed")
@then("no request was kept when a higher one was shed")
def step_order_of_tiers(context):
    for tier in TIERS:
        for label in shed_labels(context, tier):
            kept = kept_below(context, label)
            assert len(kept) <= 1, f"{label} was shed while {kept} were kept"


@then("the caller of every shed request got a Retry-After")
def step_retry_after(context):
    for tier in TIERS:
        for label in shed_labels(context, tier):
            sent = context.sending.results[label]
            assert int(sent.headers["Retry-After"]) > 0, sent
            assert sent.problem["ran"] == "no", sent
