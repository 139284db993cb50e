"""Steps about entries on the users' platform, with real processes."""

import os
import signal
import socket
import subprocess
import sys
import time
from concurrent.futures import ThreadPoolExecutor

import urllib3
from behave import given, then, when

from features.helper import stage_of
from standins.platformdeployment import (
    HOST_HEADER,
    KEY,
    WAIT_S,
    PlatformDeployment,
    configuration,
    route,
)
from standins.processes import HOST, ROOT, wait_until

NOT_RUN = (408, 421, 429, 503)
EVENTS = 5


def deploy(context) -> PlatformDeployment:
    context.platform = PlatformDeployment(stage=stage_of(context))
    context.platform.configure(configuration(1))
    return context.platform


def start_upstreams(platform: PlatformDeployment) -> None:
    for name in ("model-1", "model-2"):
        platform.upstream(name, "model")
    for name in ("desk-1", "desk-2"):
        platform.upstream(name, "desk")


def set_all(context, prefix: str, **faults) -> None:
    for name, upstream in context.platform.upstreams.items():
        if name.startswith(prefix):
            upstream.set_faults(**faults)


def expected_stream(events: int = EVENTS) -> bytes:
    return b"".join(b"id: %d\ndata: piece %d\n\n" % (n, n) for n in range(events))


@given("a platform with an entry, two model upstreams and two desk upstreams")
def step_platform(context):
    platform = deploy(context)
    start_upstreams(platform)
    platform.entry("entry-1")


@given("a platform with an entry whose keys last {ms:d} ms without a read")
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


@when("a stream is asked for through the entry")
def step_stream(context):
    context.answer = context.platform.send("entry-1", "/stream/1", body=b"prompt")


@when("a stream that may run once is asked for through the entry")
def step_stream_once(context):
    context.answer = context.platform.send("entry-1", "/stream-once/1", body=b"prompt")


@when("a plain answer is asked for through the entry")
def step_plain(context):
    context.answer = context.platform.send("entry-1", "/look/1?q=%2F", method="GET")


@then("it comes whole, in order, and ran once")
def step_whole_once(context):
    assert context.answer.status == 200 and context.answer.whole, context.answer
    assert context.answer.body == expected_stream(), context.answer
    assert len(context.platform.runs()) == 1


@then("it comes whole with the upstream's signature")
def step_whole_signed(context):
    assert context.answer.status == 200 and context.answer.whole, context.answer
    assert context.answer.headers["x-response-signature"].startswith("signed.")
    assert context.answer.body.startswith(b"answer to attempt-")


@then("upstreams saw the customer's name, their own id and no key")
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


@when("a caller sends headers that are the system's to set")
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


@then("no upstream saw the caller's values")
def step_not_forged(context):
    (run,) = context.platform.runs()
    assert "forged" not in str(run["headers"]), run
    assert "777" not in run["headers"].values(), run


@then("it comes whole and in order, from two upstreams")
def step_resumed(context):
    assert context.answer.whole, context.answer
    assert context.answer.body == expected_stream(), context.answer
    first, second = context.platform.runs()
    ends = {first["end"], second["end"]}
    assert ends == {"broken", "whole"}, ends
    resumed = next(r for r in (first, second) if r["end"] == "whole")
    assert resumed["headers"]["last-event-id"] == "2", resumed


@then("it is broken visibly and ran once")
def step_broken(context):
    assert not context.answer.whole, context.answer
    assert context.answer.body == expected_stream(3), context.answer
    assert len(context.platform.runs()) == 1


@when("{count:d} repeatable and {single:d} single requests are sent through the entry")
def step_many(context, count, single):
    # All at once, so that no upstream can carry them alone.
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


@then("the repeatable ones come whole, and none ran more often than it may")
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


@then("each single one came whole or as a failure that promises nothing")
def step_single(context):
    statuses = [answer.status for answer in context.single]
    assert set(statuses) <= {200, 502}, statuses
    assert 502 in statuses, "the faulty upstream was never met"


@then("it is refused as not run, with when to come back, and nothing ran")
def step_refused(context):
    assert context.answer.status == 503, context.answer
    assert float(context.answer.headers["retry-after"]) > 0
    assert context.platform.runs() == []


@when("a caller leaves in the middle of a stream")
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


@given("a platform with two entries, one of them reaching the store by a proxy")
def step_platform_proxied(context):
    platform = deploy(context)
    start_upstreams(platform)
    platform.entry("entry-1")
    stage = platform.stage
    context.link = stage.link(stage.proxy(), "store", platform.store.address)
    platform.entry("entry-2", store_address=context.link.address)


@when("the store turns that entry away")
def step_turned_away(context):
    context.link.set_faults(refuse=True, cut=True)
    context.turned_away_s = time.monotonic()


def look(context, entry: str) -> int:
    return context.platform.send(entry, "/look/1", method="GET").status


@then("for {seconds:d} s both serve requests with a key")
def step_both_serve(context, seconds):
    while time.monotonic() < context.turned_away_s + seconds:
        for entry in ("entry-1", "entry-2"):
            status = look(context, entry)
            said = context.platform.entries[entry].process.output()
            assert status == 200, f"{entry}: {status}\n{said}"
        time.sleep(0.1)
    assert context.platform.entries["entry-2"].ready()


@when("the key is taken away")
def step_key_taken(context):
    context.platform.configure(configuration(2, tenants=[{"name": "t"}]))
    context.removed_s = time.monotonic()


@then("within {seconds:d} s both say that it is unknown")
def step_both_unknown(context, seconds):
    for entry in ("entry-1", "entry-2"):
        wait_until(lambda each=entry: look(context, each) == 401, WAIT_S, "401")
    assert time.monotonic() - context.removed_s < seconds


@when("the store answers nothing and the key is taken away")
def step_silent(context):
    context.platform.store.set_faults(mode="silent")
    context.platform.configure(configuration(2, tenants=[{"name": "t"}]))
    context.removed_s = time.monotonic()


@then("within {ms:d} ms requests with the key are refused as not run")
def step_stale(context, ms):
    def refused() -> bool:
        context.answer = context.platform.send("entry-1", "/look/1", method="GET")
        return context.answer.status == 503

    wait_until(refused, WAIT_S, "refused")
    assert time.monotonic() - context.removed_s < ms / 1000
    assert "retry-after" in context.answer.headers
    assert not context.platform.entries["entry-1"].ready()


@when("the store answers again")
def step_store_back(context):
    context.platform.store.set_faults(mode="up")


@then("requests with the key are told that it is unknown")
def step_unknown_key(context):
    def unknown() -> bool:
        answer = context.platform.send("entry-1", "/look/1", method="GET")
        assert answer.status in (401, 503), answer
        return answer.status == 401

    wait_until(unknown, WAIT_S, "401")


@when("version 2 drops a route, and version 1 is written again")
def step_versions(context):
    first = configuration(1)
    routes = [each for each in first["routes"] if each["name"] != "look"]
    context.platform.configure(configuration(2, routes=routes))
    context.platform.configure(first)
    context.changed_s = time.monotonic()


@then("the dropped route is unknown within {seconds:d} s and stays so")
def step_dropped(context, seconds):
    def status() -> int:
        return context.platform.send("entry-1", "/look/1", method="GET").status

    wait_until(lambda: status() == 404, WAIT_S, "404")
    assert time.monotonic() - context.changed_s < seconds
    assert [status() for _ in range(5)] == [404] * 5


@when("one desk upstream says that it leaves")
def step_upstream_leaves(context):
    context.platform.register("desk-1", "desk", state="draining")
    context.changed_s = time.monotonic()


@then("within {seconds:d} s it gets nothing new")
def step_nothing_new(context, seconds):
    time.sleep(max(0.0, context.changed_s + seconds - time.monotonic()))
    before = len(context.platform.runs("desk-1"))
    for number in range(6):
        answer = context.platform.send("entry-1", f"/look/{number}", method="GET")
        assert answer.status == 200, answer
    assert len(context.platform.runs("desk-1")) == before


@when("the store forgets all records, and a new version adds a route")
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


@when("the entry gets SIGTERM while {count:d} streams run")
def step_sigterm(context, count):
    platform = context.platform
    context.pool = ThreadPoolExecutor(count)
    context.streams = [
        context.pool.submit(platform.send, "entry-1", "/stream/1", body=b"%d" % n)
        for n in range(count)
    ]
    wait_until(lambda: len(platform.runs()) == count, WAIT_S, "streams run")
    platform.entries["entry-1"].process.terminate()
    context.stopped_s = time.monotonic()


@then("it is not ready, and still serves a request that comes a second later")
def step_draining(context):
    entry = context.platform.entries["entry-1"]
    wait_until(lambda: not entry.ready(), 1.0, "not ready")
    time.sleep(max(0.0, context.stopped_s + 1.0 - time.monotonic()))
    answer = context.platform.send("entry-1", "/look/1", method="GET")
    assert answer.status == 200, answer
    assert answer.headers["connection"] == "close", answer


@then("all streams come whole and it ends by itself within {seconds:d} s")
def step_all_whole(context, seconds):
    for each in context.streams:
        answer = each.result(WAIT_S)
        assert answer.whole and answer.body == expected_stream(10), answer
    context.pool.shutdown()
    assert context.platform.entries["entry-1"].process.wait(WAIT_S) == 0
    assert time.monotonic() - context.stopped_s < seconds


@then("its log names no part that died")
def step_no_part_died(context):
    output = context.platform.entries["entry-1"].process.output()
    assert "stopping" in output and "part died" not in output, output


def signal_state(pid: int, field: str) -> bool:
    """Return whether SIGHUP is in one of the masks of a process's status."""
    with open(f"/proc/{pid}/status") as status:
        masks = dict(line.split(":", 1) for line in status)
    return bool(int(masks[field], 16) >> (signal.SIGHUP - 1) & 1)


@when("the entry is started again, and gets SIGHUP during its imports")
def step_early_sighup(context):
    platform = context.platform
    platform.entries["entry-1"].process.kill()
    process = platform.start_again("entry-1").process
    # The imports have not ended as long as the daemon's handler isn't set.
    wait_until(lambda: signal_state(process.pid, "SigIgn"), WAIT_S, "ignored")
    os.kill(process.pid, signal.SIGHUP)


@then("it lives, is ready and serves")
def step_lives(context):
    entry = context.platform.entries["entry-1"]
    wait_until(lambda: entry.ready() or not entry.process.alive(), WAIT_S, "ready")
    assert entry.process.alive(), entry.process.output()
    step_serves(context)


def check_settings(context, path) -> None:
    context.done = subprocess.run(
        [sys.executable, "-m", "lavenderspoke.platform", "--check", str(path)],
        cwd=ROOT,
        capture_output=True,
        text=True,
        timeout=WAIT_S,
    )


@when("a settings file without an address, and with a word for a time, is checked")
def step_check_mistakes(context):
    path = stage_of(context).directory / "node.conf"
    path.write_text("node-name=entry-1\nzone=here\nbounds.grace-s=soon\n")
    check_settings(context, path)


@then("both mistakes are named, and the status says that there are some")
def step_mistakes_named(context):
    assert context.done.returncode == 1, context.done
    for mistake in ("listen.frontend: found ''", "bounds.grace-s: found 'soon'"):
        assert mistake in context.done.stderr, context.done


@when("the settings file of a running entry is checked")
def step_check_running(context):
    platform = deploy(context)
    start_upstreams(platform)
    check_settings(context, platform.entry("entry-1").settings_path)


@then("it is in order")
def step_in_order(context):
    assert context.done.returncode == 0, context.done
    assert "in order" in context.done.stdout, context.done


@when("the entry is started again, and a caller's request waits when SIGTERM comes")
def step_early_stop(context):
    platform = context.platform
    platform.entries["entry-1"].process.terminate()
    platform.entries["entry-1"].process.wait()
    entry = platform.start_again("entry-1")
    wait_until(lambda: connects(entry.callers), WAIT_S, "the port is open")
    with ThreadPoolExecutor(1) as pool:
        waiting = pool.submit(platform.send, "entry-1", "/look/1", method="GET")
        # The request is on its way; what loads takes ten times as long.
        time.sleep(0.03)
        entry.process.terminate()
        context.answer = waiting.result(WAIT_S)
    context.ended = entry.process


def connects(port: int) -> bool:
    """Return whether something listens there."""
    try:
        socket.create_connection((HOST, port), timeout=1.0).close()
    except OSError:
        return False
    return True


@then("the caller gets its answer, and the entry ends by itself with status 0")
def step_early_stopped(context):
    assert context.answer.status == 200, context.answer
    assert context.ended.wait() == 0


@when("its settings change to keys of {ms:d} ms and it gets SIGHUP")
def step_sighup(context, ms):
    entry = context.platform.entries["entry-1"]
    with open(entry.settings_path) as settings:
        text = settings.read()
    with open(entry.settings_path, "w") as settings:
        settings.write(text.replace("revoke-ms=5000", f"revoke-ms={ms}"))
    os.kill(entry.process.pid, signal.SIGHUP)
    wait_until(
        lambda: "settings reloaded" in entry.process.output(), WAIT_S, "reloaded"
    )
    context.platform.store.set_faults(mode="silent")
    context.silent_s = time.monotonic()


@then("it lives, and honours keys for no longer than that")
def step_sighup_lives(context):
    def refused() -> bool:
        answer = context.platform.send("entry-1", "/look/1", method="GET")
        return answer.status == 503

    wait_until(refused, WAIT_S, "refused")
    assert time.monotonic() - context.silent_s < 1.5
    assert context.platform.entries["entry-1"].process.alive()


@when("the entry is killed and started again")
def step_killed(context):
    context.platform.entries["entry-1"].process.kill()
    context.platform.restart("entry-1")


@then("it is ready and serves")
def step_serves(context):
    answer = context.platform.send("entry-1", "/look/1", method="GET")
    assert answer.status == 200, answer


@when("{count:d} slow streams run through one entry, and {more:d} come to the other")
def step_both(context, count, more):
    set_all(context, "model", event_s=0.1, events=10)
    platform = context.platform
    context.most = 0
    with ThreadPoolExecutor(count + more) as pool:

        def send(entry: str, number: int):
            return pool.submit(platform.send, entry, "/stream/1", body=b"%d" % number)

        context.streams = [send("entry-1", number) for number in range(count)]
        wait_until(lambda: len(platform.runs()) == count, WAIT_S, "streams run")
        wait_until(lambda: hears(platform, "entry-2", count), WAIT_S, "entries hear")
        context.streams += [send("entry-2", count + number) for number in range(more)]
        while not all(each.done() for each in context.streams):
            runs = [r for r in platform.runs() if r["end"] == "broken"]
            context.most = max(context.most, len(runs))


@then("the upstream never works on more than it has places, and all come whole")
def step_places(context):
    for each in context.streams:
        answer = each.result(WAIT_S)
        assert answer.status == 200 and answer.whole, answer
    assert context.most == 4, context.most


def hears(platform: PlatformDeployment, name: str, count: int) -> bool:
    """Return whether an entry knows that so many streams run at the other."""
    url = f"http://{HOST}:{platform.entries[name].readiness}/metrics"
    page = urllib3.request("GET", url).data.decode()
    return f"lavenderspoke_direct_peers_running {count}\n" in page
