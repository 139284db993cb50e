"""Steps about streams that go on at the software version that began them."""

import http.client
import re
import time
from concurrent.futures import ThreadPoolExecutor

from behave import given, then, when

from features.platformstage import deploy, set_all
from features.streamcallers import (
    ENTRIES,
    EVENTS,
    IN_USE_S,
    LISTED_S,
    PATH,
    Stream,
    begin,
    event_ids,
    open_stream,
    start_upstreams,
    take_up,
    versions_in,
)
from standins.platformdeployment import Answer


@given("upstreams {named}")
def step_upstreams(context, named):
    platform = deploy(context)
    start_upstreams(platform, named)
    for name in ENTRIES:
        platform.entry(name)
    # A version that isn't the first is used once no order names it.
    time.sleep(IN_USE_S)


@given("each of them cuts its first stream after {count:d} events")
def step_cut(context, count):
    set_all(context, "", cut_after_events=count)


@when("further upstreams {named} start")
def step_more_upstreams(context, named):
    start_upstreams(context.platform, named)
    time.sleep(IN_USE_S)


@when("{count:d} streams are requested through the entries in turn")
def step_request(context, count):
    context.answers = [
        context.platform.send(ENTRIES[number % 3], PATH, body=b"prompt")
        for number in range(count)
    ]


def is_whole(answer: Answer) -> bool:
    return answer.whole and event_ids(answer.body) == list(range(EVENTS))


@then("each is whole and of one version")
def step_one_version(context):
    for answer in context.answers:
        assert is_whole(answer) and len(versions_in(answer.body)) == 1, answer
    seen = set().union(*(versions_in(each.body) for each in context.answers))
    assert seen == {"v1", "v2"}, seen


@then("those of v1 break off visibly, and the others are whole and of one version")
def step_break_off(context):
    began = [versions_in(each.body) for each in context.answers]
    assert {"v1"} in began and {"v2"} in began, began
    for answer in context.answers:
        if versions_in(answer.body) == {"v1"}:
            assert not answer.whole, answer
        else:
            assert versions_in(answer.body) == {"v2"} and is_whole(answer), answer


@when("{count:d} streams begin through {entry} and are broken off by their callers")
def step_begin(context, count, entry):
    for upstream in context.platform.upstreams.values():
        upstream.set_faults(event_s=0.05)
    context.streams = [begin(context.platform, entry) for _ in range(count)]


@when("meanwhile {events}")
def step_meanwhile(context, events):
    """Kill and start entries, as told in words."""
    for event in events.split(", then "):
        names = re.findall(r"entry-\d", event)
        for name in names if "killed" in event else ():
            context.platform.entries[name].process.kill()
        if "starts again" in event:
            context.platform.restart(names[0])
        elif "starts" in event:
            context.platform.entry(names[0])


@when(
    "{count:d} streams begin through {other} and are broken off while {entry} is "
    "suspended"
)
def step_suspended(context, count, other, entry):
    process = context.platform.entries[entry].process
    process.pause()
    step_begin(context, count, other)
    # Longer than the others count it as live.
    time.sleep(1.2)
    process.resume()
    time.sleep(0.5)


@when("each is taken up at {entry}")
def step_take_up(context, entry):
    context.answers = [
        take_up(context.platform, entry, each) for each in context.streams
    ]


@when("once more, by the attempt that began it, each is taken up at {entry}")
def step_take_up_again(context, entry):
    step_take_up(context, entry)


@then("each goes on at its version")
def step_goes_on(context):
    for stream, answer in zip(context.streams, context.answers, strict=True):
        assert answer.status == 200 and answer.whole, (stream, answer)
        expected = list(range(stream.last_event_id + 1, EVENTS))
        assert event_ids(answer.body) == expected, (stream, answer)
        assert versions_in(answer.body) == {stream.version}, (stream, answer)


@when("streams begin at {name} and are broken off by their callers")
def step_begin_at(context, name):
    version = {"m1": "v1"}[name]
    # So many at once that an entry uses all upstreams.
    with ThreadPoolExecutor(14) as pool:
        started = list(
            pool.map(lambda _: begin(context.platform, "entry-1"), range(14))
        )
    context.streams = [each for each in started if each.version == version]
    assert context.streams, started


@when("upstream {name} is dropped from the list")
def step_dropped(context, name):
    context.platform.unregister(name)
    time.sleep(LISTED_S)


@then('each is refused with "{reason}" and didn\'t run')
def step_refused(context, reason):
    assert context.answers
    ran = {run["attempt_id"] for run in context.platform.runs()}
    for answer in context.answers:
        assert answer.status == 503, answer
        assert reason.encode() in answer.body, answer
    assert not any(each.startswith("attempt-") for each in ran), ran


@when("a stream of an attempt that nobody knows is taken up at each entry")
def step_unknown(context):
    unknown = Stream(attempt_id="nobody", version="", last_event_id=1)
    context.answers = [take_up(context.platform, entry, unknown) for entry in ENTRIES]


@when("a stream is taken up at each entry without naming an attempt")
def step_unnamed(context):
    unnamed = Stream(attempt_id="", version="", last_event_id=1)
    context.answers = [take_up(context.platform, entry, unnamed) for entry in ENTRIES]


@when("all entries are killed and start again before a stream is taken up")
def step_all_again(context):
    stream = begin(context.platform, "entry-1")
    for entry in context.platform.entries.values():
        entry.process.kill()
    for name in ENTRIES:
        context.platform.restart(name)
    context.streams = [stream] * len(ENTRIES)
    context.answers = [take_up(context.platform, entry, stream) for entry in ENTRIES]


@then("each goes on")
def step_each_goes_on(context):
    step_goes_on(context)


@when("streams begin at {name}, which then falls silent for {seconds:d} s")
def step_silent(context, name, seconds):
    platform = context.platform
    for upstream in platform.upstreams.values():
        upstream.set_faults(event_s=0.1)
    opened = []
    for number in range(12):
        opened.append(
            open_stream(
                context.platform,
                ENTRIES[number % 3],
                {"X-Attempt-Id": f"first-{number}"},
            )
        )
    bodies = [response.read1(64) for _, response in opened]
    platform.upstreams[name].set_faults(silent=True)
    time.sleep(seconds)
    platform.upstreams[name].set_faults(silent=False)
    context.bodies = []
    for body, (connection, response) in zip(bodies, opened, strict=True):
        try:
            body += response.read()
        except (http.client.HTTPException, OSError):
            body += b"(broken off)"
        connection.close()
        context.bodies.append(body)


@then("none of them has events of v2, and each that is whole is of v1")
def step_not_mixed(context):
    began_at_v1 = [each for each in context.bodies if b"piece 0 v1" in each]
    assert began_at_v1
    for body in context.bodies:
        assert len(versions_in(body)) == 1, body
