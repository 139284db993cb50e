"""Steps about requests that crash upstreams."""

from behave import given, then, when

from features.steps.deployment_steps import WAIT_S
from features.steps.graceful_steps import ENTRIES, seen_leaving
from features.steps.wholeanswers_steps import set_engines, start_models, step_complete
from standins.processes import wait_until

POISON = "a briefing with poison in it"


@given("two entries before three model engines that crash on poison")
def step_crashing_engines(context):
    engines = {f"engine-{n}": ["--step-ms", "40"] for n in (1, 2, 3)}
    start_models(context, engines)
    set_engines(context, crash_marker="poison")


def ended(context) -> list[str]:
    upstreams = context.deployment.upstreams.items()
    return [name for name, each in upstreams if not each.process.alive()]


@when("the poison is sent through {entry} and crashes an engine")
@when("the poison is sent through {entry} and crashes another engine")
def step_poison(context, entry):
    context.deployment.complete(entry, POISON, Idempotency_Key=f"p-{entry}")
    name = wait_until(lambda: ended(context), WAIT_S, "an engine has crashed")[0]
    restarted = context.deployment.stage.restart(context.deployment.upstreams[name])
    restarted.set_faults(crash_marker="poison")
    context.deployment.upstreams[name] = restarted
    # A second crash of the same engine proves less; it stays away meanwhile.
    agent = name.replace("engine", "agent")
    context.deployment.list_members(**{agent.replace("-", "_"): True})
    for other in ENTRIES:
        wait_until(
            lambda: seen_leaving(context, other, agent), WAIT_S, f"{other} sees it"
        )


@then("the poison is refused as quarantined by both entries")
def step_quarantined(context):
    for entry in ENTRIES:
        wait_until(
            lambda: context.deployment.counter(entry, "quarantines", "narrative"),
            WAIT_S,
            f"{entry} knows",
        )
        sent = context.deployment.complete(entry, POISON)
        assert (sent.status, sent.reason) == (422, "quarantined"), sent


@when("the bystanders are sent again")
def step_bystanders(context):
    context.deployment.list_members()
    context.sending.wait()
    context.sending.results.clear()
    step_complete(context, len(context.expected), 60)
