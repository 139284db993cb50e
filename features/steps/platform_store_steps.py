"""Steps about entries and faults of the platform's store."""

import time

from behave import given, then, when

from features.platformstage import deploy, look_status, start_upstreams
from standins.platformdeployment import WAIT_S, configuration, route
from standins.processes import wait_until


@given("a platform with two entries, one of them connected to the store by a proxy")
def step_platform_proxied(context):
    platform = deploy(context)
    start_upstreams(platform)
    platform.entry("entry-1")
    stage = platform.stage
    context.link = stage.link(stage.proxy(), "store", platform.store.address)
    platform.entry("entry-2", store_address=context.link.address)


@when("the store rejects that entry")
def step_turned_away(context):
    context.link.set_faults(refuse=True, cut=True)
    context.turned_away_s = time.monotonic()


@then("for {seconds:d} s both entries serve requests with a key")
def step_both_serve(context, seconds):
    while time.monotonic() < context.turned_away_s + seconds:
        for entry in ("entry-1", "entry-2"):
            status = look_status(context, entry)
            said = context.platform.entries[entry].process.output()
            assert status == 200, f"{entry}: {status}\n{said}"
        time.sleep(0.1)
    assert context.platform.entries["entry-2"].ready()


@when("the key is revoked")
def step_key_taken(context):
    context.platform.configure(configuration(2, tenants=[{"name": "t"}]))
    context.removed_s = time.monotonic()


@then("within {seconds:d} s both entries reject it as unauthorized")
def step_both_unknown(context, seconds):
    for entry in ("entry-1", "entry-2"):
        wait_until(lambda each=entry: look_status(context, each) == 401, WAIT_S, "401")
    assert time.monotonic() - context.removed_s < seconds


@when("the store stops responding and the key is revoked")
def step_silent(context):
    context.platform.store.set_faults(mode="silent")
    context.platform.configure(configuration(2, tenants=[{"name": "t"}]))
    context.removed_s = time.monotonic()


@then("within {ms:d} ms requests with the key are rejected as not run")
def step_stale(context, ms):
    def refused() -> bool:
        context.answer = context.platform.send("entry-1", "/look/1", method="GET")
        return context.answer.status == 503

    wait_until(refused, WAIT_S, "refused")
    assert time.monotonic() - context.removed_s < ms / 1000
    assert "retry-after" in context.answer.headers
    assert not context.platform.entries["entry-1"].ready()


@when("the store responds again")
def step_store_back(context):
    context.platform.store.set_faults(mode="up")


@then("requests with the key are rejected as unauthorized")
def step_unknown_key(context):
    def unknown() -> bool:
        answer = context.platform.send("entry-1", "/look/1", method="GET")
        assert answer.status in (401, 503), answer
        return answer.status == 401

    wait_until(unknown, WAIT_S, "401")


@when("version 2 removes a route, and version 1 is written again")
def step_versions(context):
    first = configuration(1)
    routes = [each for each in first["routes"] if each["name"] != "look"]
    context.platform.configure(configuration(2, routes=routes))
    context.platform.configure(first)
    context.changed_s = time.monotonic()


@then("the removed route is unknown within {seconds:d} s and stays so")
def step_dropped(context, seconds):
    def status() -> int:
        return context.platform.send("entry-1", "/look/1", method="GET").status

    wait_until(lambda: status() == 404, WAIT_S, "404")
    assert time.monotonic() - context.changed_s < seconds
    assert [status() for _ in range(5)] == [404] * 5


@when("one desk upstream registers as draining")
def step_upstream_leaves(context):
    context.platform.register("desk-1", "desk", state="draining")
    context.changed_s = time.monotonic()


@then("within {seconds:d} s it receives no new requests")
def step_nothing_new(context, seconds):
    time.sleep(max(0.0, context.changed_s + seconds - time.monotonic()))
    before = len(context.platform.runs("desk-1"))
    for number in range(6):
        answer = context.platform.send("entry-1", f"/look/{number}", method="GET")
        assert answer.status == 200, answer
    assert len(context.platform.runs("desk-1")) == before


@when("the store expires all records, and a new version adds a route")
def step_forgets(context):
    context.platform.store.set_faults(forgotten_before=1000)
    routes = configuration(1)["routes"] + [route("new", "idempotent", "desk")]
    context.platform.configure(configuration(5, routes=routes))
    context.changed_s = time.monotonic()


@then("the new route is served within {seconds:d} s")
def step_new_route(context, seconds):
    def served() -> bool:
        answer = context.platform.send("entry-1", "/new/1", method="GET")
        return answer.status == 200

    wait_until(served, WAIT_S, "200")
    assert time.monotonic() - context.changed_s < seconds
