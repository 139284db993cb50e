"""Steps about streams that are taken up at an entry that is out of step."""

import time
from concurrent.futures import Future, ThreadPoolExecutor

import attrs
from behave import given, then, when

from features.streamcallers import (
    ENTRIES,
    IN_USE_S,
    Stream,
    begin,
    goes_on,
    mixed,
    take_up,
)
from standins.platformdeployment import Answer, PlatformDeployment

OTHERS = ENTRIES[:2]
OUT = ENTRIES[2]
# Pace of streams whose callers leave before they end, in seconds.
EVENT_S = 0.05
AGAIN_S = 0.05
SLOW_MS = 300.0
# Time for requests to lie at an entry that stands still, in seconds.
SENT_S = 0.2


@given("the third entry reaches the store through a link")
def step_link(context):
    stage = context.platform.stage
    platform = context.platform
    context.link = stage.link(stage.proxy(), "store", platform.store.address)
    platform.entries[OUT].process.kill()
    platform.entry(OUT, store_address=context.link.address)
    time.sleep(IN_USE_S)


@when("the third entry is {how} from now on")
def step_out(context, how):
    context.how = how
    if how == "paused":
        context.platform.entries[OUT].process.pause()
    elif how == "cut off":
        context.link.set_faults(refuse=True, cut=True)
    else:
        context.link.set_faults(to_client={"delay_ms": SLOW_MS})


@when("{count:d} streams begin at the other entries and are broken off")
def step_begin(context, count):
    for upstream in context.platform.upstreams.values():
        upstream.set_faults(event_s=EVENT_S)
    names = [OTHERS[number % len(OTHERS)] for number in range(count)]
    with ThreadPoolExecutor(count) as pool:
        context.streams = list(
            pool.map(lambda name: _begin_soon(context.platform, name), names)
        )


def _begin_soon(platform: PlatformDeployment, entry: str) -> Stream:
    """Begin a stream once the entry lets it: a version may be held for a while."""
    until_s = time.monotonic() + IN_USE_S
    while True:
        try:
            return begin(platform, entry)
        except AssertionError:
            if time.monotonic() > until_s:
                raise
            time.sleep(AGAIN_S)


@when("it stays so for {s:g} s more")
def step_pass(context, s):
    time.sleep(s)


@when("each is taken up there {when}, naming {named}")
def step_take_up(context, when, named):
    platform = context.platform
    streams = context.streams
    if named == "no attempt":
        streams = [attrs.evolve(each, attempt_id="") for each in streams]
    with ThreadPoolExecutor(len(streams)) as pool:
        if when == "at once":
            _make_sound(context)
        answers = [pool.submit(take_up, platform, OUT, each) for each in streams]
        if when == "while it stands":
            time.sleep(SENT_S)
            _make_sound(context)
        context.answers = _results(answers)


def _results(answers: list[Future[Answer]]) -> list[Answer]:
    return [each.result() for each in answers]


def _make_sound(context) -> None:
    if context.how == "paused":
        context.platform.entries[OUT].process.resume()
    elif context.how == "cut off":
        context.link.heal()


@then("none goes on at another version, and what is refused didn't run")
def step_not_mixed(context):
    wrong = mixed(context.streams, context.answers)
    assert not wrong, (len(wrong), wrong[0])
    refused = [each for each in context.answers if each.status != 200]
    assert all(each.status == 503 for each in refused), refused
    ran = {run["attempt_id"] for run in context.platform.runs()}
    taken_up = {each for each in ran if each.startswith("attempt-")}
    assert len(taken_up) == len(context.answers) - len(refused), (taken_up, refused)


@then("it is said how many were served")
def step_served(context):
    pairs = zip(context.streams, context.answers, strict=True)
    served = sum(goes_on(stream, answer) for stream, answer in pairs)
    print(f"{served} of {len(context.streams)} served")
