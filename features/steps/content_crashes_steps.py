"""Steps about content that crashes upstreams, through several entries over sockets."""

import time

from behave import given, then, when

from features.platformstage import deploy
from standins.platformdeployment import (
    WAIT_S,
    PlatformDeployment,
    configuration,
    route,
)
from standins.processes import wait_until

MARKER = "bad"
WAYS = {
    "before any byte": {},
    "after 2 events": {"crash_after_events": 2},
    "in the middle of a body": {"crash_after_events": 1, "framing": "length"},
    "after 2 events, and its machine closes in order": {
        "crash_after_events": 2,
        "framing": "connection",
        "closes_in_order": True,
    },
    "in half a plain answer that ends in order": {
        "crash_after_events": 1,
        "framing": "connection",
        "closes_in_order": True,
    },
}
# Time for evidence to reach all entries, and for their next decision.
SETTLE_S = 0.4
SILENT_DEADLINE_MS = 1800
ENTRIES_TOPIC = "keyed.lavenderspoke-entries"


@given("{entries:d} entries, {count:d} model upstreams that crash on {rest}")
def step_crashing(context, entries, count, rest):
    way = rest.partition(", ")[2]
    start(context, entries, count, WAYS[way])
    if "plain" in way:
        context.path = "/ask/1"


@given('{entries:d} entries, {count:d} model upstreams that stop on "{marker}"')
def step_stopping(context, entries, count, marker):
    start(context, entries, count, {"crashes_silently": True})


def start(context, entries: int, count: int, faults: dict) -> None:
    platform = deploy(context)
    ask = route("ask", "non_idempotent", "model", **{"max-attempts": 1})
    routes = [*configuration(1)["routes"], ask]
    platform.configure(configuration(2, routes=routes))
    context.path = "/stream-once/1"
    context.faults = {"crash_marker": MARKER} | faults
    context.crashed = set()
    for number in range(1, count + 1):
        platform.upstream(f"model-{number}", "model")
        platform.upstreams[f"model-{number}"].set_faults(**context.faults)
    platform.upstream("desk-1", "desk")
    for number in range(1, entries + 1):
        platform.entry(f"entry-{number}")


def send(context, entry: str, content: str, deadline_ms: int = 5000):
    return context.platform.send(
        entry, context.path, body=content.encode(), deadline_ms=deadline_ms
    )


def newly_crashed(context) -> list[str]:
    """Return the upstreams that have ended since the last call."""
    names = [
        name
        for name, process in context.platform.stage.processes.items()
        if name.startswith("model")
        and is_ended(process)
        and name not in context.crashed
    ]
    context.crashed.update(names)
    return names


def is_ended(process) -> bool:
    return not process.alive() or process_state(process) == "T"


def process_state(process) -> str:
    with open(f"/proc/{process.pid}/stat") as stat:
        return stat.read().rpartition(")")[2].split()[0]


def entries_of(context) -> list[str]:
    return sorted(context.platform.entries)


@when(
    '"{content}" is sent through each entry in turn, {count:d} times in all, '
    "without other requests"
)
def step_in_turn(context, content, count):
    for number in range(count):
        entries = entries_of(context)
        send(context, entries[number % len(entries)], content)
        time.sleep(SETTLE_S)


@when(
    '"{content}" is sent {count:d} times in all, and all that its callers get is kept'
)
def step_kept(context, content, count):
    context.answers = []
    for number in range(count):
        entries = entries_of(context)
        context.answers.append(send(context, entries[number % len(entries)], content))
        time.sleep(SETTLE_S)


@then('no answer to "{content}" was whole')
def step_none_whole(context, content):
    whole = [each for each in context.answers if each.status == 200 and each.whole]
    assert not whole, whole


@when(
    '"{content}" is sent through {entry} alone, each time followed by "{other}" '
    "through {other_entry}"
)
def step_other_first(context, content, entry, other, other_entry):
    for _ in range(6):
        send(context, entry, content)
        for _ in range(5):
            send(context, other_entry, other)
        time.sleep(SETTLE_S)


@when(
    '"{content}" is sent through each entry in turn, '
    "and the list drops each that stopped"
)
def step_dropped(context, content):
    send_and_drop(context, content, SILENT_DEADLINE_MS, 0.0)


@when(
    '"{content}" is sent through each entry in turn for {deadline_ms:d} ms, '
    "and the list drops each that stopped {after_s:g} s later"
)
def step_dropped_later(context, content, deadline_ms, after_s):
    send_and_drop(context, content, deadline_ms, after_s)


def send_and_drop(context, content, deadline_ms, after_s):
    for number in range(6):
        entries = entries_of(context)
        send(context, entries[number % 3], content, deadline_ms=deadline_ms)
        time.sleep(after_s)
        for name in newly_crashed(context):
            context.platform.unregister(name)
        # The list is read once a second.
        time.sleep(1.2 + SETTLE_S)


@when(
    '"{content}" is sent {count:d} times, and each crashed upstream comes back under '
    "another id at {address}"
)
def step_come_back(context, content, count, address):
    platform: PlatformDeployment = context.platform
    for number in range(count):
        entries = entries_of(context)
        send(context, entries[number % 3], content)
        for name in newly_crashed(context):
            standin = platform.replace_upstream(
                name, f"{name}x", "model", same_address=address == "its address"
            )
            standin.set_faults(**context.faults)
        time.sleep(1.2)


@when("a further entry {entry} starts")
def step_starts(context, entry):
    context.platform.entry(entry)


@when("the crash has been recorded in the store")
def step_recorded(context):
    wait_until(
        lambda: any(
            key.startswith("crash/") for key in context.platform.keys(ENTRIES_TOPIC)
        ),
        WAIT_S,
        "the crash is recorded",
    )


@when("all entries are killed and start again")
def step_all_again(context):
    for entry in context.platform.entries.values():
        entry.process.kill()
    for name in entries_of(context):
        context.platform.restart(name)


@when('the store is down while "{content}" is sent {count:d} times, and up for {s:d} s')
def step_store_down(context, content, count, s):
    context.platform.store.set_faults(mode="down")
    step_in_turn(context, content, count)
    context.platform.store.set_faults(mode="up")
    time.sleep(s)


@then("at most {count:d} upstreams have crashed")
def step_at_most(context, count):
    newly_crashed(context)
    assert 1 <= len(context.crashed) <= count, context.crashed


@then('every entry refuses "{content}" as not run')
def step_refused(context, content):
    crashed = len(context.crashed) + len(newly_crashed(context))
    for entry in entries_of(context):
        answer = send(context, entry, content)
        assert answer.status == 503, (entry, answer)
        assert b"crashes_upstreams" in answer.body, (entry, answer)
    assert len(context.crashed) + len(newly_crashed(context)) == crashed


@then('every entry serves "{content}"')
def step_served(context, content):
    for entry in entries_of(context):
        # An upstream that crashed may still be tried once.
        wait_until(
            lambda: send(context, entry, content).status == 200, WAIT_S, "served"
        )
