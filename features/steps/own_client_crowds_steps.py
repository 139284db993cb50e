"""Steps about crowds of clients at daemons of the product's own interface."""

import pathlib
import time

import attrs
import urllib3
from behave import given, then, when

from features.steps.client_crowds_steps import (
    BEHAVIOURS,
    CROWD_SENT_S,
    MB,
    MEMORY_MB,
    STAY_S,
    TRIES,
)
from features.steps.deployment_steps import deploy
from standins.clientcrowd import ClientCrowd
from standins.deployment import CREDENTIAL, document
from standins.processes import HOST, NotReached, wait_until

THREADS = 50
BODY_BYTES_MAX = 4 * 1024 * 1024
DAEMONS = {"entry": "entry-1", "agent": "agent-1"}


@given("an entry and an agent with 150 MB of memory each")
def step_daemons(context):
    deployment = deploy(context)
    limits = {"memory_mb": MEMORY_MB}
    waiting = {"body_bytes_max": BODY_BYTES_MAX}
    deployment.publish(document("ticketing", "plain", waiting=waiting))
    deployment.entry(DAEMONS["entry"], threads=THREADS, limits=limits)
    plain = deployment.stage.plain("plain-1")
    deployment.agent(DAEMONS["agent"], "ticketing", plain, limits=limits)
    deployment.wait_ready()
    context.crowds = []
    context.add_cleanup(close_crowds, context)
    assert is_answered(context)


def close_crowds(context) -> None:
    for crowd in context.crowds:
        crowd.close()
    context.crowds = []


def opening(of_platform, number: int) -> bytes:
    """Return what a client of the platform sends, as one of this interface does."""
    data = of_platform(number)
    return data.replace(b"/look/1", b"/ticketing/payments").replace(
        b"Bearer key-of-tours", b"Bearer " + CREDENTIAL.encode()
    )


def come(context, count: int, port: int, do: str) -> None:
    behaviour = BEHAVIOURS[do]
    of_platform = behaviour.opening
    behaviour = attrs.evolve(behaviour, opening=lambda n: opening(of_platform, n))
    crowd = ClientCrowd(port=port, count=count, behaviour=behaviour)
    context.crowds.append(crowd.__enter__())
    try:
        wait_until(lambda: crowd.is_sent, CROWD_SENT_S, "the crowd has sent")
    except NotReached:
        pass
    time.sleep(STAY_S)


@when("an entry has {count:d} clients that {do}")
def step_crowd(context, count, do):
    come(context, count, context.deployment.ports[DAEMONS["entry"]].callers, do)


@when("the status port of the {daemon} has {count:d} clients that {do}")
def step_status_crowd(context, count, daemon, do):
    come(context, count, context.deployment.ports[DAEMONS[daemon]].status, do)


def is_answered(context) -> bool:
    for number in range(TRIES):
        try:
            sent = context.deployment.pay(DAEMONS["entry"], f"{time.monotonic_ns()}")
        except urllib3.exceptions.HTTPError:
            continue
        if sent.status == 200 and sent.whole:
            return True
    return False


@then("a payment is answered while they stay")
def step_answered(context):
    assert is_answered(context)


@then("a payment is answered after they left")
def step_answered_after(context):
    close_crowds(context)
    assert is_answered(context)


@then("the {daemon} stayed within its memory")
def step_within(context, daemon):
    pid = context.deployment.process(DAEMONS[daemon]).pid
    lines = pathlib.Path(f"/proc/{pid}/status").read_text().splitlines()
    peak_kb = next(int(line.split()[1]) for line in lines if line.startswith("VmHWM"))
    assert peak_kb * 1024 <= MEMORY_MB * MB, f"{peak_kb * 1024 / MB:.0f} MB"


@then("the {daemon} says that it is ready while they stay")
def step_ready(context, daemon):
    port = context.deployment.ports[DAEMONS[daemon]].status
    http = urllib3.PoolManager(retries=False, timeout=2.0)
    assert http.request("GET", f"http://{HOST}:{port}/-/ready").status == 200
