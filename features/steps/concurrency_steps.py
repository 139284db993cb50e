"""Steps for many concurrent streams."""

import sys

from behave import given, then, when

from features.steps.deployment_steps import WAIT_S, deploy, result
from standins.deployment import document, streamed_tokens
from standins.processes import wait_until

ENTRIES = ("entry-1", "entry-2")
AGENTS = ("agent-1", "agent-2")
ENGINES = ("engine-1", "engine-2")
# Counters of lost requests; duplicates show in the engines' own counts.
LOST = frozenset(("refusals", "runs_failed"))


@given("two entries in front of two frozen engines with slots for {count:d} streams")
def step_frozen(context, count):
    deployment = deploy(context)
    waiting = {"requests_max": count}
    deployment.publish(document("narrative", "model", waiting=waiting))
    for name in ENTRIES:
        deployment.entry(name)
    slots = str(count // 2)
    for name, engine in zip(AGENTS, ENGINES):
        upstream = deployment.stage.engine(engine, "--slots", slots)
        # A learned limit would start lower and rise with the answers.
        deployment.agent(
            name, "narrative", upstream, slots_max=count // 2, learns_limit=False
        )
    deployment.wait_ready()
    for engine in deployment.upstreams.values():
        engine.set_faults(freeze=True)


@when("{count:d} streams of {tokens:d} tokens are opened through both entries")
def step_opened(context, count, tokens):
    context.tokens = tokens
    for number in range(count):
        label = f"stream {number}"
        context.sends.append(label)
        context.sending.begin(
            label,
            context.deployment.complete,
            ENTRIES[number % len(ENTRIES)],
            label,
            tokens=tokens,
        )


def running(context) -> int:
    """Return the number of running requests as reported by the entries."""
    statuses = [context.deployment.status(name) for name in ENTRIES]
    services = [tiers for each in statuses for tiers in each["running"].values()]
    return sum(sum(tiers.values()) for tiers in services)


@when("all {count:d} run at the same time")
def step_all_run(context, count):
    wait_until(lambda: running(context) == count, WAIT_S, f"{count} run at once")


@when("the engines resume")
def step_go_on(context):
    for engine in context.deployment.upstreams.values():
        engine.set_faults(freeze=False)


@then("each of the {count:d} streams gets a complete answer")
def step_all_whole(context, count):
    assert len(context.sends) == count
    for label in context.sends:
        sent = result(context, label)
        assert len(streamed_tokens(sent.body)) == context.tokens, (label, sent)


@then("each of the {count:d} ran once and no counter shows a lost or duplicate one")
def step_counters(context, count):
    counts = [each.counts()["runs"] for each in context.deployment.upstreams.values()]
    runs = [times for each in counts for times in each.values()]
    assert runs == [1] * count, runs
    whole = 0
    for name in ENTRIES + AGENTS:
        counters = context.deployment.status(name)["counters"]
        whole += counters.get("caller_answers", {}).get("whole", 0)
        assert not LOST & set(counters), (name, counters)
        assert set(counters.get("caller_answers", ())) <= {"whole"}, (name, counters)
    assert whole == count, whole


@then("the resident memory of each daemon is printed")
def step_memory(context):
    sizes = {
        name: context.deployment.process(name).resident_bytes() / 2**20
        for name in ENTRIES + AGENTS
    }
    text = ", ".join(f"{name} {size:.1f} MiB" for name, size in sizes.items())
    # Bypasses behave's capture, so that passing runs print the figure too.
    print(f"resident memory at 200 streams: {text}", file=sys.__stderr__, flush=True)
