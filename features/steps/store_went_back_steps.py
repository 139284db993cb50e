"""Steps about the platform's store that goes back to a copy, over sockets."""

import re
import time

import urllib3
from behave import given, then, when

from features.platformstage import deploy, start_upstreams
from features.steps.explain_steps import explain, logged_id
from standins.platformdeployment import WAIT_S, configuration, route
from standins.processes import HOST, wait_until

ENTRIES = ("entry-1", "entry-2", "entry-3")
REVOKED, OTHER = "key-revoked", "key-other"
ADDED = "added"
STORE_CALLS = re.compile(r'store_calls_total\{reason="keyed\.op:[a-z_]+"\} (\d+)')


def keys(*names: str) -> list[dict]:
    return [{"name": "tours", "api-keys": list(names), "priority": 1}]


def configure(context, version: int, *names: str, added: bool = False) -> None:
    content = configuration(version, tenants=keys(*names))
    if added:
        content["routes"].append(route(ADDED, "idempotent", "desk"))
    context.platform.configure(content)


def look(context, entry: str, key: str, path: str = "/look/1") -> int:
    return context.platform.send(entry, path, method="GET", key=key).status


def metrics(context, entry: str) -> str:
    port = context.platform.entries[entry].readiness
    return urllib3.request("GET", f"http://{HOST}:{port}/metrics").data.decode()


def logged(context, entry: str, text: str) -> int:
    output = context.platform.entries[entry].process.output()
    return sum(text in line for line in output.splitlines())


@given("three entries before two model and two desk upstreams and the store's copy")
def step_copied(context):
    platform = deploy(context)
    configure(context, 1, REVOKED, OTHER)
    start_upstreams(platform)
    for name in ENTRIES:
        platform.entry(name)
    for name in ENTRIES:
        wait_until(lambda: look(context, name, REVOKED) == 200, WAIT_S, "the key")
    platform.control_store("copy")


@when("the configuration changes twice")
def step_changes_twice(context):
    for version in (2, 3):
        configure(context, version, REVOKED, OTHER)
        wait_until(lambda: is_in_force(context, version), WAIT_S, "in force")


def is_in_force(context, version: int) -> bool:
    text = f'"catalog in force", "version": {version},'
    return all(logged(context, name, text) for name in ENTRIES)


@when("a key is revoked")
def step_revoked(context):
    configure(context, 2, OTHER)
    wait_until(lambda: is_in_force(context, 2), WAIT_S, "in force")


@when("the store resets its connections for {seconds:g} s and comes back from its copy")
def step_goes_back(context, seconds):
    context.platform.store.set_faults(mode="reset")
    time.sleep(seconds)
    context.platform.control_store("go-back")
    context.platform.store.set_faults(mode="up")
    context.calls = {name: store_calls(context, name) for name in ENTRIES}


def store_calls(context, entry: str) -> int:
    return sum(map(int, STORE_CALLS.findall(metrics(context, entry))))


@when(
    "{seconds:g} s later the operator writes a version that adds a route and revokes a "
    "key"
)
def step_writes_on(context, seconds):
    time.sleep(seconds)
    configure(context, 4, OTHER, added=True)


@then("within {seconds:g} s each entry serves the route and refuses the key")
def step_serves_route(context, seconds):
    time.sleep(seconds)
    for name in ENTRIES:
        assert look(context, name, OTHER, f"/{ADDED}/1") == 200, name
        assert look(context, name, REVOKED) == 401, name


@then(
    "each entry has logged that the store went back, and read it at most {most:d} times"
)
def step_few_reads(context, most):
    for name in ENTRIES:
        assert logged(context, name, "store went back to an older copy"), name
        calls = store_calls(context, name) - context.calls[name]
        assert calls <= most, (name, calls)


@then("for {seconds:g} s no entry serves the revoked key")
def step_never_served(context, seconds):
    until_s = time.monotonic() + seconds
    while time.monotonic() < until_s:
        for name in ENTRIES:
            status = look(context, name, REVOKED)
            assert status in (401, 503), (name, status)
        time.sleep(0.05)


@when("entry-3 is killed and started again {seconds:g} s later")
def step_restarted(context, seconds):
    context.platform.entries["entry-3"].process.kill()
    time.sleep(seconds)
    context.platform.start_again("entry-3")
    wait_until(lambda: listens(context), WAIT_S, "entry-3 listens")


def listens(context) -> bool:
    try:
        look(context, "entry-3", REVOKED)
        return True
    except urllib3.exceptions.HTTPError:
        return False


@when("the operator writes the revocation again")
def step_written_again(context):
    configure(context, 2, OTHER)


@then("within {seconds:g} s each entry serves the other key")
def step_serves_other_soon(context, seconds):
    time.sleep(seconds)
    step_serves_other(context)


@then("each entry serves the other key")
def step_serves_other(context):
    for name in ENTRIES:
        assert look(context, name, OTHER) == 200, name


@when('the store\'s number is "{number}" from now on')
def step_number(context, number):
    context.platform.store.set_faults(epoch=number)


@then("within {seconds:g} s version {version:d} is in force at each entry")
def step_version(context, seconds, version):
    wait_until(lambda: is_in_force(context, version), seconds, "in force")


@then('each entry has counted the number as "{why}", and logged it a few times')
def step_counted(context, why):
    for name in ENTRIES:
        assert f'store_epochs_total{{reason="{why}"}}' in metrics(context, name), name
        # Once for each client of the store.
        assert 1 <= logged(context, name, "invalid store epoch ignored") <= 5, name


@when(
    "{seconds:g} s later the revoked key is used at entry-1, and its request is "
    "explained"
)
def step_explained(context, seconds):
    time.sleep(seconds)
    answer = context.platform.send("entry-1", "/look/1", method="GET", key=REVOKED)
    assert answer.status in (401, 503), answer
    outcome = "unauthorized" if answer.status == 401 else "keys_stale"
    explain(context, logged_id(context, outcome))
