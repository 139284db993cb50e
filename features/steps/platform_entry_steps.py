"""Steps about requests through an entry on the users' platform."""

import socket
import time
from concurrent.futures import ThreadPoolExecutor

import urllib3
from behave import given, then, when

from features.platformstage import deploy, expected_stream, set_all, start_upstreams
from standins.platformdeployment import HOST_HEADER, KEY, WAIT_S, PlatformDeployment
from standins.processes import HOST, wait_until


@given("a platform with an entry, two model upstreams and two desk upstreams")
def step_platform(context):
    platform = deploy(context)
    start_upstreams(platform)
    platform.entry("entry-1")


@given("a platform with an entry that accepts keys for {ms:d} ms after a read")
def step_platform_keys(context, ms):
    platform = deploy(context)
    start_upstreams(platform)
    platform.entry("entry-1", revoke_ms=ms)


@given("a platform with two entries and one model upstream")
def step_platform_two(context):
    platform = deploy(context)
    platform.upstream("model-1", "model", "--slots", "64")
    platform.entry("entry-1")
    platform.entry("entry-2")


@given("every model upstream cuts its first stream after {count:d} events")
def step_cut(context, count):
    set_all(context, "model", cut_after_events=count)


@given('one desk upstream answers "{fault}"')
def step_one_faulty(context, fault):
    context.platform.upstreams["desk-1"].set_faults(**{fault: True})


@given('every desk upstream answers "{fault}"')
def step_all_faulty(context, fault):
    set_all(context, "desk", **{fault: True})


@given("model upstreams that send an event every {ms:d} ms")
def step_slow_events(context, ms):
    set_all(context, "model", event_s=ms / 1000, events=10)


@when("a stream is requested through the entry")
def step_stream(context):
    context.answer = context.platform.send("entry-1", "/stream/1", body=b"prompt")


@when("a stream is requested, and its upstream stops responding")
def step_stream_silent(context):
    platform = context.platform
    with ThreadPoolExecutor(1) as pool:
        submitted = pool.submit(
            platform.send,
            "entry-1",
            "/stream/1",
            body=b"prompt",
            headers={"X-Token-Usage": "100,20"},
        )
        wait_until(platform.runs, WAIT_S, "the stream runs")
        (silent,) = (name for name in platform.upstreams if platform.runs(name))
        platform.upstreams[silent].set_faults(silent=True)
        context.answer = submitted.result()


@then("it is completed by the other upstream, with a reservation")
def step_moved(context):
    assert context.answer.whole, context.answer
    assert context.answer.body == expected_stream(10), context.answer
    runs = context.platform.runs()
    assert {run["end"] for run in runs} == {"cancelled", "whole"}, runs
    moved = next(run for run in runs if run["end"] == "whole")
    assert moved["headers"]["x-kv-retention"] == "r1", moved


@when("a stream that must run at most once is requested through the entry")
def step_stream_once(context):
    context.answer = context.platform.send("entry-1", "/stream-once/1", body=b"prompt")


@when("a plain response is requested through the entry")
def step_plain(context):
    context.answer = context.platform.send("entry-1", "/look/1?q=%2F", method="GET")


@then("it is complete, in order, and ran once")
def step_whole_once(context):
    assert context.answer.status == 200 and context.answer.whole, context.answer
    assert context.answer.body == expected_stream(), context.answer
    assert len(context.platform.runs()) == 1


@then("it is complete with the upstream's signature")
def step_whole_signed(context):
    assert context.answer.status == 200 and context.answer.whole, context.answer
    assert context.answer.headers["x-response-signature"].startswith("signed.")
    assert context.answer.body.startswith(b"answer to attempt-")


@then("upstreams received the customer's name, their own name and no key")
def step_saw(context):
    targets = set()
    for name in context.platform.upstreams:
        for run in context.platform.runs(name):
            headers = run["headers"]
            assert headers["x-tenant"] == "tours", headers
            assert headers["x-expect-instance"] == name, headers
            assert 0 < int(headers["x-deadline-ms"]) <= 5000, headers
            assert KEY not in str(headers), headers
            targets.add(run["target"])
    assert "/look/1?q=%2F" in targets, targets


@when("a caller sends headers that only the system may set")
def step_forged(context):
    forged = {
        "X-Tenant": "forged",
        "X-Expect-Instance": "forged",
        "X-Kv-Retention": "forged",
        "X-Pin-Ms": "777",
        "X-Kv-Backup": "forged",
        "Kv-From": "forged",
        "Kv-Fetch": "forged",
    }
    answer = context.platform.send("entry-1", "/stream/1", headers=forged)
    assert answer.status == 200, answer


@then("no upstream received the caller's values")
def step_not_forged(context):
    (run,) = context.platform.runs()
    assert "forged" not in str(run["headers"]), run
    assert "777" not in run["headers"].values(), run


@then("it is complete and in order, from two upstreams")
def step_resumed(context):
    assert context.answer.whole, context.answer
    assert context.answer.body == expected_stream(), context.answer
    first, second = context.platform.runs()
    ends = {first["end"], second["end"]}
    assert ends == {"broken", "whole"}, ends
    resumed = next(r for r in (first, second) if r["end"] == "whole")
    assert resumed["headers"]["last-event-id"] == "2", resumed


@then("it is visibly truncated and ran once")
def step_broken(context):
    assert not context.answer.whole, context.answer
    assert context.answer.body == expected_stream(3), context.answer
    assert len(context.platform.runs()) == 1


@when(
    "{count:d} idempotent and {single:d} at-most-once requests are sent through the "
    "entry"
)
def step_many(context, count, single):
    # Sent concurrently, so that no upstream can serve all of them alone.
    set_all(context, "desk", work_s=0.1)
    send = context.platform.send
    with ThreadPoolExecutor(count + single) as pool:
        repeatable = [
            pool.submit(send, "entry-1", f"/look/{n}", method="GET")
            for n in range(count)
        ]
        singles = [
            pool.submit(send, "entry-1", f"/pay/{n}", body=b"x") for n in range(single)
        ]
    context.repeatable = [each.result() for each in repeatable]
    context.single = [each.result() for each in singles]


@then("the idempotent ones succeed, and none runs more often than allowed")
def step_repeatable(context):
    for answer in context.repeatable:
        assert answer.status == 200 and answer.whole, answer
    counts: dict[str, int] = {}
    singles = set()
    for run in context.platform.runs():
        counts[run["attempt_id"]] = counts.get(run["attempt_id"], 0) + 1
        if run["target"].startswith("/pay/"):
            singles.add(run["attempt_id"])
    assert all(counts[each] == 1 for each in singles), counts
    assert max(counts.values()) <= 2, counts


@then("each at-most-once one succeeds or fails without saying that it did not run")
def step_single(context):
    statuses = [answer.status for answer in context.single]
    assert set(statuses) <= {200, 502}, statuses
    assert 502 in statuses, "the faulty upstream got no at-most-once request"


@then("it is rejected as not run, with Retry-After, and nothing ran")
def step_refused(context):
    assert context.answer.status == 503, context.answer
    assert float(context.answer.headers["retry-after"]) > 0
    assert context.platform.runs() == []


@when("a caller disconnects during a stream")
def step_leaves(context):
    port = context.platform.entries["entry-1"].callers
    request = (
        f"POST /stream/1 HTTP/1.1\r\nHost: {HOST_HEADER}\r\nX-Attempt-Id: leaves\r\n"
        f"Authorization: Bearer {KEY}\r\nContent-Length: 0\r\n\r\n"
    )
    with socket.create_connection((HOST, port), timeout=WAIT_S) as caller:
        caller.sendall(request.encode())
        data = b""
        while b"piece 0" not in data:
            data += caller.recv(4096)
    context.left_s = time.monotonic()


@then("its upstream stops within {ms:d} ms")
def step_stops(context, ms):
    (run,) = context.platform.runs()
    assert run["end"] in ("broken", "cancelled"), run
    wait_until(
        lambda: context.platform.runs()[0]["end"] == "cancelled", WAIT_S, "cancelled"
    )
    assert time.monotonic() - context.left_s < ms / 1000


@when("{count:d} slow streams run through one entry, and {more:d} arrive at the other")
def step_both(context, count, more):
    set_all(context, "model", event_s=0.1, events=10)
    platform = context.platform
    context.most = 0
    with ThreadPoolExecutor(count + more) as pool:

        def send(entry: str, number: int):
            return pool.submit(platform.send, entry, "/stream/1", body=b"%d" % number)

        # The link to the other entry loads beside the first requests.
        wait_until(lambda: is_heard(platform, send), WAIT_S, "entries are linked")
        # The stream that showed it must not count among those below.
        wait_until(
            lambda: knows_running_count(platform, "entry-2", 0), WAIT_S, "they ended"
        )
        earlier = len(platform.runs())
        context.streams = [send("entry-1", number) for number in range(count)]
        wait_until(
            lambda: len(platform.runs()) == earlier + count, WAIT_S, "streams run"
        )
        wait_until(
            lambda: knows_running_count(platform, "entry-2", count),
            WAIT_S,
            "entries hear",
        )
        context.streams += [send("entry-2", count + number) for number in range(more)]
        while not all(each.done() for each in context.streams):
            runs = [r for r in platform.runs() if r["end"] == "broken"]
            context.most = max(context.most, len(runs))


@then("the upstream never exceeds its slots, and all streams are complete")
def step_places(context):
    for each in context.streams:
        answer = each.result(WAIT_S)
        assert answer.status == 200 and answer.whole, answer
    assert context.most == 4, context.most


def is_heard(platform: PlatformDeployment, send) -> bool:
    """Send a stream through one entry; return whether the other hears that it runs."""
    stream = send("entry-1", 100)
    while not stream.done():
        if knows_running_count(platform, "entry-2", 1):
            stream.result(WAIT_S)
            return True
    return False


def knows_running_count(platform: PlatformDeployment, name: str, count: int) -> bool:
    """Return whether an entry knows that `count` streams run at the other."""
    url = f"http://{HOST}:{platform.entries[name].readiness}/metrics"
    page = urllib3.request("GET", url).data.decode()
    return f"lavenderspoke_direct_peers_running {count}\n" in page
