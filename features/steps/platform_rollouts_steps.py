"""Steps about roll-outs, with real processes."""

import threading
import time
from concurrent.futures import ThreadPoolExecutor

import urllib3
from behave import given, then, when

from features.platformstage import deploy
from standins.platformdeployment import WAIT_S, PlatformDeployment
from standins.processes import wait_until

OLD, NEW = "model-old", "model-new"
CALLERS = 6
SERVICE = "model"


@given("a platform with two entries and an upstream of one version")
def step_platform(context):
    platform = deploy(context)
    platform.upstream(OLD, SERVICE, "--slots", "64", version="v1")
    platform.entry("entry-1")
    platform.entry("entry-2")
    context.answers = []


@when("a failing upstream of another version is registered")
def step_failing(context):
    context.platform.start_upstream(NEW, "--slots", "64").set_faults(cut_after_events=2)
    context.platform.register(NEW, SERVICE, version="v2")


@when("a healthy upstream of another version is registered")
def step_sound(context):
    context.platform.upstream(NEW, SERVICE, "--slots", "64", version="v2")


@then("for {seconds:g} s it runs none of the callers' requests")
def step_runs_nothing(context, seconds):
    send_until(context, time.monotonic() + seconds)
    assert context.platform.runs(OLD)
    assert not context.platform.runs(NEW), len(context.platform.runs(NEW))


@when(
    "it is ordered to take over within {seconds:d} s, and callers send until the "
    "roll-out ends"
)
def step_order_send(context, seconds):
    order(context.platform, seconds)
    send_until_ended(context, seconds)


@when("it is ordered to take over within {seconds:d} s, and {who} killed after {s:g} s")
def step_order_kill(context, seconds, who, s):
    order(context.platform, seconds)
    context.duration_s = seconds
    send_until(context, time.monotonic() + s)
    names = ("entry-1",) if who.startswith("the first") else ("entry-1", "entry-2")
    for name in names:
        context.platform.entries[name].process.kill()
    for name in names:
        context.platform.restart(name)


@when(
    "it is ordered to take over within {seconds:d} s, and the store is down from "
    "{from_s:g} s to {until_s:g} s"
)
def step_order_down(context, seconds, from_s, until_s):
    order(context.platform, seconds)
    context.duration_s = seconds
    send_until(context, time.monotonic() + from_s)
    context.platform.store.set_faults(mode="down")
    send_until(context, time.monotonic() + until_s - from_s)
    context.platform.store.set_faults(mode="up")


@when("callers send until the roll-out ends")
def step_send(context):
    send_until_ended(context, context.duration_s)


def order(platform: PlatformDeployment, seconds: float) -> None:
    content = {"service": SERVICE, "target": "v2", "duration-s": seconds}
    platform.put("keyed.op", f"rollout/{SERVICE}", content)


def send_until_ended(context, seconds: float) -> None:
    """Send until the roll-out has ended, or 2 s beyond its duration."""
    ended = threading.Event()
    until_s = time.monotonic() + seconds + 2.0

    def watch():
        while time.monotonic() < until_s:
            state = context.platform.rollout_state(SERVICE)
            if state in ("completed", "rolled_back"):
                break
            time.sleep(0.1)
        ended.set()

    watching = threading.Thread(target=watch)
    watching.start()
    send_until(context, until_s, ended)
    watching.join()


def send_until(context, until_s: float, ended: threading.Event | None = None) -> None:
    """Let several callers send streams, each one after another."""
    platform = context.platform

    def call(number: int) -> None:
        entry = f"entry-{1 + number % 2}"
        while time.monotonic() < until_s and not (ended and ended.is_set()):
            try:
                answer = platform.send(entry, "/stream/1", body=b"prompt")
            except urllib3.exceptions.HTTPError:
                # The entry has been killed; callers continue.
                time.sleep(0.05)
                continue
            context.answers.append(answer)

    with ThreadPoolExecutor(CALLERS) as pool:
        list(pool.map(call, range(CALLERS)))


@then('operators read "{state}"')
def step_state(context, state):
    wait_until(
        lambda: context.platform.rollout_state(SERVICE) == state,
        WAIT_S,
        f"the record says {state}",
    )


@then("it ran at most {part:d} in 100 of the requests, plus {more:d}")
def step_share(context, part, more):
    # A roll-out may end after fewer requests than the bound is about.
    until_s = time.monotonic() + WAIT_S
    while len(context.platform.runs(OLD)) <= more and time.monotonic() < until_s:
        send_until(context, time.monotonic() + 0.2)
    new, old = (len(context.platform.runs(name)) for name in (NEW, OLD))
    assert new <= part * (new + old) / 100 + more, (new, old)
    assert old > more, (new, old)


@then("every caller got a complete response")
def step_whole(context):
    assert context.answers
    broken = [a for a in context.answers if a.status != 200 or not a.whole]
    assert not broken, (len(broken), broken[0])


@then("the upstream of the old version receives no more requests")
def step_old_nothing(context):
    before = len(context.platform.runs(OLD))
    send_until(context, time.monotonic() + 0.5)
    assert len(context.platform.runs(OLD)) == before
