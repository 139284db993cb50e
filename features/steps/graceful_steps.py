"""Steps about daemons and upstreams that leave."""

from behave import given, then, when

from features.steps.deployment_steps import WAIT_S, deploy
from standins.deployment import document
from standins.processes import wait_until

ENTRIES = ("entry-1", "entry-2")


@given("two entries before two payment services")
def step_two_payment_services(context):
    deployment = deploy(context)
    deployment.publish(document("ticketing", "plain"))
    for name in ENTRIES:
        deployment.entry(name)
    for number in (1, 2):
        plain = deployment.stage.plain(f"plain-{number}")
        deployment.agent(f"agent-{number}", "ticketing", plain)
    deployment.wait_ready()


def in_flight(context, name: str) -> int:
    running = context.deployment.status(name)["running"]
    return sum(sum(tiers.values()) for tiers in running.values())


@when("every entry has a request in flight")
@when("every completion's entry has granted some")
def step_in_flight(context):
    for name in ENTRIES:
        wait_until(lambda: in_flight(context, name), WAIT_S, f"{name} has granted")


@when("process {name} is told to stop")
def step_terminate(context, name):
    context.deployment.process(name).terminate()


@then("process {name} ends with status {status:d}")
def step_ends(context, name, status):
    found = context.deployment.process(name).wait(timeout_s=WAIT_S)
    assert found == status, f"{name} ended with {found}"


def stop_and_wait(process) -> None:
    process.terminate()
    assert process.wait(timeout_s=WAIT_S) == 0


def runner(context):
    """Return the agent whose upstream has run something."""
    upstreams = context.deployment.upstreams
    name = next(n for n, each in upstreams.items() if each.counts()["runs"])
    return context.deployment.process(name.replace("plain", "agent"))


@when('the agent that ran payment "{order}" is told to stop and has ended')
def step_stop_runner(context, order):
    stop_and_wait(runner(context))


@when("process {name} is told to stop and has ended")
def step_stop_process(context, name):
    stop_and_wait(context.deployment.process(name))


@when('the agent that runs payment "{order}" is paused')
def step_pause_runner(context, order):
    context.paused = runner(context)
    context.paused.pause()


@when('the agent that runs payment "{order}" is resumed')
def step_resume_runner(context, order):
    context.paused.resume()


@when("the member list says that {name} is leaving")
def step_listed_leaving(context, name):
    context.deployment.list_members(**{name.replace("-", "_"): True})


def seen_leaving(context, entry: str, name: str) -> bool:
    members = context.deployment.status(entry)["members"]
    return any(m["name"] == name and m.get("leaving") for m in members)


@when("every entry sees that {name} is leaving")
def step_seen_leaving(context, name):
    for entry in ENTRIES:
        wait_until(
            lambda: seen_leaving(context, entry, name), WAIT_S, f"{entry} sees it"
        )


@when("no entry sees that {name} is leaving")
def step_not_seen_leaving(context, name):
    for entry in ENTRIES:
        wait_until(
            lambda: not seen_leaving(context, entry, name), WAIT_S, f"{entry} sees it"
        )


def runs_of(context, name: str) -> int:
    """Return the runs of an upstream, or of the one beside an agent."""
    upstreams = context.deployment.upstreams
    upstream = upstreams.get(name) or upstreams[f"plain-of-{name}"]
    return sum(upstream.counts()["runs"].values())


@then("{name} has run nothing")
def step_ran_nothing(context, name):
    assert runs_of(context, name) == 0


@then("{name} has run something")
def step_ran_something(context, name):
    assert runs_of(context, name) > 0
