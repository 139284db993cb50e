"""Steps about the documents that running daemons have in force."""

import uuid

from behave import then, when

from features.steps.deployment_steps import WAIT_S
from lavenderspoke.platformlog import SERVICES_STREAM, HttpLog
from standins.deployment import document
from standins.processes import wait_until


def daemons(context) -> list[str]:
    return list(context.deployment.ports)


def version(context, name: str) -> int:
    """Return a daemon's version, which must never be below one seen before."""
    found = context.deployment.status(name)["versions"].get("ticketing", 0)
    seen = context.__dict__.setdefault("versions_seen", {})
    life = context.deployment.process(name).pid
    before = seen.get((name, life), 0)
    assert found >= before, f"{name} went from {before} to {found}"
    seen[(name, life)] = found
    return found


def edit(context, base: int, deadline_max_s: float) -> int:
    changed = document("ticketing", "plain", deadline_max_s=deadline_max_s)
    return context.deployment.publish(changed, base)


@when("ticketing is edited")
def step_edit(context):
    base = getattr(context, "last_edit", None) or version(context, "entry-1")
    context.last_edit = edit(context, base, 50.0)


@when("two operators edit ticketing at the same time")
def step_race(context):
    base = version(context, "entry-1")
    context.last_edit = edit(context, base, 50.0)
    context.lost_edit = edit(context, base, 40.0)


@when("something that is no document is appended to the log")
def step_garbage(context):
    log = HttpLog(base_url=context.deployment.log.url)
    log.append(
        stream=SERVICES_STREAM, record_id=uuid.uuid4().hex, payload=b"\xff not a record"
    ).unwrap()


def wait_in_force(context, name: str) -> None:
    wait_until(
        lambda: version(context, name) == context.last_edit,
        WAIT_S,
        f"{name} has version {context.last_edit}",
    )


@when("every daemon has the last edit of ticketing in force")
@then("every daemon has the earlier edit of ticketing in force")
def step_all_in_force(context):
    for name in daemons(context):
        wait_in_force(context, name)


@then("{name} has the last edit of ticketing in force")
def step_one_in_force(context, name):
    wait_in_force(context, name)


@then("no daemon has put an older version in force")
def step_never_older(context):
    for name in daemons(context):
        version(context, name)


@then("every daemon reports {count:d} skipped record")
def step_skipped(context, count):
    for name in daemons(context):
        found = context.deployment.status(name)["skipped_records"]
        assert found == count, f"{name} reports {found}"
