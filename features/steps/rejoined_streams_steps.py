"""Steps about streams that are taken up after all entries were killed."""

import re
import time
from concurrent.futures import ThreadPoolExecutor

from behave import given, then, when

from features.streamcallers import (
    ENTRIES,
    EVENTS,
    begin,
    goes_on,
    mixed,
    parse_named,
    take_up,
)
from standins.platformdeployment import PlatformDeployment
from standins.processes import wait_until

# Pace of streams whose callers leave before they end, in seconds.
EVENT_S = 0.05
READY_TIMEOUT_S = 20.0
SERVICE = "model"
NAMES = {"v1": ("m1", "m2"), "v2": ("m3", "m4")}


@given("{named} that aren't listed yet")
def step_unlisted(context, named):
    for names, version in parse_named(named):
        for name in names:
            upstream = context.platform.start_upstream(name)
            upstream.set_faults(software=version, events=EVENTS)


@when("{count:d} streams begin through the entries in turn and are broken off")
def step_begin(context, count):
    for upstream in context.platform.upstreams.values():
        upstream.set_faults(event_s=EVENT_S)
    names = [ENTRIES[number % len(ENTRIES)] for number in range(count)]
    # All at once, so that the entries use all upstreams.
    with ThreadPoolExecutor(count) as pool:
        context.streams = list(
            pool.map(lambda name: begin(context.platform, name), names)
        )


@when("it happens that {events}")
def step_events(context, events):
    for event in events.split(", "):
        _happen(context.platform, event)


def _happen(platform: PlatformDeployment, event: str) -> None:
    if replaced := re.fullmatch(r"(v\d) replaces (v\d)", event):
        _replace(platform, *replaced.groups())
    elif come := re.fullmatch(r"(v\d) comes", event):
        _list(platform, come.group(1))
    elif passed := re.fullmatch(r"([0-9.]+) s pass", event):
        time.sleep(float(passed.group(1)))
    elif event == "all entries are killed":
        for entry in platform.entries.values():
            entry.process.kill()
    elif event == "they start":
        _start(platform)
    elif event == "the store takes no writes":
        platform.store.set_faults(refuses_writes=True)
    elif event == "the store takes writes":
        platform.store.set_faults(refuses_writes=False)
    elif event == "the store is copied":
        platform.control_store("copy")
    elif event == "the store goes back":
        platform.control_store("go-back")
        for name in platform.listed:
            platform.register(name, SERVICE, version=platform.listed[name])
    else:
        raise ValueError(f"unknown event: {event}")


def _replace(platform: PlatformDeployment, new: str, old: str) -> None:
    """List the upstreams of one version, and drop those of the other."""
    _list(platform, new)
    for name in NAMES[old]:
        platform.unregister(name)


def _list(platform: PlatformDeployment, version: str) -> None:
    for name in NAMES[version]:
        platform.register(name, SERVICE, version=version)


def _start(platform: PlatformDeployment) -> None:
    started = [platform.start_again(name) for name in ENTRIES]
    for entry in started:
        wait_until(entry.ready, READY_TIMEOUT_S, "an entry is ready again")


@when("each stream is taken up through the entries in turn")
def step_take_up(context):
    context.answers = [
        take_up(context.platform, ENTRIES[number % len(ENTRIES)], stream)
        for number, stream in enumerate(context.streams)
    ]


@then("none goes on at another version, and each that is refused didn't run")
def step_not_mixed(context):
    wrong = mixed(context.streams, context.answers)
    assert not wrong, (len(wrong), wrong[0])
    ran = {run["attempt_id"] for run in context.platform.runs()}
    for stream, answer in zip(context.streams, context.answers, strict=True):
        if answer.status != 200:
            assert answer.status == 503, answer
            assert b"stream_version" in answer.body, answer
            continue
        assert goes_on(stream, answer), (stream, answer)
    refused = sum(answer.status != 200 for answer in context.answers)
    taken_up = {each for each in ran if each.startswith("attempt-")}
    assert len(taken_up) == len(context.answers) - refused, (taken_up, refused)


@then("all {count:d} go on")
def step_go_on(context, count):
    assert len(context.streams) == count
    for stream, answer in zip(context.streams, context.answers, strict=True):
        assert goes_on(stream, answer), (stream, answer)
