"""Steps about stops, starts, signals and settings of entries on the platform."""

import os
import signal
import socket
import subprocess
import sys
import time
from concurrent.futures import ThreadPoolExecutor

from behave import then, when

from features.helper import stage_of
from features.platformstage import deploy, expected_stream, start_upstreams
from standins.platformdeployment import WAIT_S
from standins.processes import HOST, ROOT, wait_until


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


@then("it is not ready, and still serves a request a second later")
def step_draining(context):
    entry = context.platform.entries["entry-1"]
    wait_until(lambda: not entry.ready(), 1.0, "not ready")
    time.sleep(max(0.0, context.stopped_s + 1.0 - time.monotonic()))
    answer = context.platform.send("entry-1", "/look/1", method="GET")
    assert answer.status == 200, answer
    assert answer.headers["connection"] == "close", answer


@then("all streams are complete and it exits within {seconds:d} s")
def step_all_whole(context, seconds):
    for each in context.streams:
        answer = each.result(WAIT_S)
        assert answer.whole and answer.body == expected_stream(10), answer
    context.pool.shutdown()
    assert context.platform.entries["entry-1"].process.wait(WAIT_S) == 0
    assert time.monotonic() - context.stopped_s < seconds


@then("its log reports no part that died")
def step_no_part_died(context):
    output = context.platform.entries["entry-1"].process.output()
    assert "stopping" in output and "part died" not in output, output


def is_sighup_in_mask(pid: int, field: str) -> bool:
    """Return whether SIGHUP is in one of the masks of a process's status."""
    with open(f"/proc/{pid}/status") as status:
        masks = dict(line.split(":", 1) for line in status)
    return bool(int(masks[field], 16) >> (signal.SIGHUP - 1) & 1)


@when("the entry is restarted, and gets SIGHUP during its imports")
def step_early_sighup(context):
    platform = context.platform
    platform.entries["entry-1"].process.kill()
    process = platform.start_again("entry-1").process
    # SIGHUP is ignored until the daemon sets its handler, after the imports.
    wait_until(lambda: is_sighup_in_mask(process.pid, "SigIgn"), WAIT_S, "ignored")
    os.kill(process.pid, signal.SIGHUP)


@then("it is alive, ready and serving")
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


@when("a settings file with a missing address and a malformed time is checked")
def step_check_mistakes(context):
    path = stage_of(context).directory / "node.conf"
    path.write_text("node-name=entry-1\nzone=here\nbounds.grace-s=soon\n")
    check_settings(context, path)


@then("both errors are reported, and the exit status is 1")
def step_mistakes_named(context):
    assert context.done.returncode == 1, context.done
    for mistake in ("listen.frontend: found ''", "bounds.grace-s: found 'soon'"):
        assert mistake in context.done.stderr, context.done


@when("the settings file of a running entry is checked")
def step_check_running(context):
    platform = deploy(context)
    start_upstreams(platform)
    check_settings(context, platform.entry("entry-1").settings_path)


@then("the settings file is valid")
def step_in_order(context):
    assert context.done.returncode == 0, context.done
    assert "in order" in context.done.stdout, context.done


@when("the entry is restarted, and gets SIGTERM while a request is queued")
def step_early_stop(context):
    platform = context.platform
    platform.entries["entry-1"].process.terminate()
    platform.entries["entry-1"].process.wait()
    entry = platform.start_again("entry-1")
    wait_until(lambda: accepts_connections(entry.callers), WAIT_S, "the port is open")
    with ThreadPoolExecutor(1) as pool:
        waiting = pool.submit(platform.send, "entry-1", "/look/1", method="GET")
        # Time for the request to arrive; loading the daemon takes ten times as long.
        time.sleep(0.03)
        entry.process.terminate()
        context.answer = waiting.result(WAIT_S)
    context.ended = entry.process


def accepts_connections(port: int) -> bool:
    """Return whether the port accepts connections."""
    try:
        socket.create_connection((HOST, port), timeout=1.0).close()
    except OSError:
        return False
    return True


@then("the caller gets its response, and the entry exits with status 0")
def step_early_stopped(context):
    assert context.answer.status == 200, context.answer
    assert context.ended.wait() == 0


@when("its settings change to accept keys for {ms:d} ms and it gets SIGHUP")
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


@then("it stays alive, and accepts keys for no longer than that")
def step_sighup_lives(context):
    def refused() -> bool:
        answer = context.platform.send("entry-1", "/look/1", method="GET")
        return answer.status == 503

    wait_until(refused, WAIT_S, "refused")
    assert time.monotonic() - context.silent_s < 1.5
    assert context.platform.entries["entry-1"].process.alive()


@when("the entry is killed and restarted")
def step_killed(context):
    context.platform.entries["entry-1"].process.kill()
    context.platform.restart("entry-1")


@then("it is ready and serves")
def step_serves(context):
    answer = context.platform.send("entry-1", "/look/1", method="GET")
    assert answer.status == 200, answer
