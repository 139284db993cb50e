"""Steps about native crashes, and about refused threads and memory."""

import ctypes
import itertools
import os
import signal
import sys
import threading
import time
from concurrent.futures import ThreadPoolExecutor
from unittest import mock

from behave import given, then, when

from features.platformstage import expected_stream
from lavenderspoke.direct.gossip import Gossip
from lavenderspoke.direct.settings import Address
from lavenderspoke.model import InstanceId
from lavenderspoke.observing.metrics import Metrics
from standins.platformdeployment import WAIT_S
from standins.processes import HOST, free_port, wait_until

# A started entry has more.
THREADS_STARTED_MIN = 120
# A library's own threads get the system's stack size, which here is all of the address
# space; the entry's threads have a small stack.
SPACE_BYTES = 4 * 1024**3
NO_NATIVE_THREADS = (
    "MALLOC_ARENA_MAX=1",
    "prlimit",
    f"--stack={SPACE_BYTES}",
    f"--as={SPACE_BYTES}",
)


@when("the entry gets SIGILL")
def step_sigill(context):
    context.entry = context.platform.entries["entry-1"]
    pid = context.entry.process.pid
    wait_until(lambda: threads_of(pid) > THREADS_STARTED_MIN, WAIT_S, "all threads run")
    kill_thread(pid, pid, signal.SIGILL)


def kill_thread(pid: int, thread_id: int, signal_number: int) -> None:
    """Send a signal to one thread, as a fault in its own code would.

    The kernel may give a signal that is sent to a process to any of its threads. The
    main thread's ID is that of its process.
    """
    libc = ctypes.CDLL(None, use_errno=True)
    if libc.tgkill(pid, thread_id, signal_number) != 0:
        raise OSError(ctypes.get_errno(), "tgkill")


def threads_of(pid: int) -> int:
    """Return how many threads a process has."""
    return len(os.listdir(f"/proc/{pid}/task"))


@then("it ends by that signal, and standard error has the stack of its thread")
def step_stack(context):
    process = context.entry.process
    assert process.wait(WAIT_S) == -signal.SIGILL, process.output()
    output = process.output()
    assert "Fatal Python error: Illegal instruction" in output, output
    for line in ("(most recent call first)", "/supervisor.py", "/direct/daemon.py"):
        assert line in output, output


@when("the entry is restarted with standard error closed")
def step_no_stderr(context):
    platform = context.platform
    platform.entries["entry-1"].process.kill()
    platform.start_again("entry-1", before=("sh", "-c", 'exec "$@" 2>&-', "sh"))


@when("the entry is restarted where the link's library gets no thread")
def step_no_link_threads(context):
    platform = context.platform
    platform.entries["entry-1"].process.kill()
    context.entry = platform.start_again("entry-1", before=NO_NATIVE_THREADS)
    wait_until(context.entry.ready, WAIT_S, "ready without a link")


@then("streams through it are complete until the link has failed {count:d} times")
def step_streams_without_link(context, count):
    process = context.entry.process
    give_up_s = time.monotonic() + 2 * WAIT_S
    while process.output().count('"part died"') < count:
        assert process.alive(), process.output()
        answer = context.platform.send("entry-1", "/stream/1", body=b"prompt")
        assert answer.whole and answer.body == expected_stream(), answer
        assert time.monotonic() < give_up_s, process.output()


@then("it is alive, and its log names the cause once")
def step_cause_once(context):
    process = context.entry.process
    assert process.alive(), process.output()
    lines = [line for line in process.output().splitlines() if "NoMemory" in line]
    assert len(lines) == 1, process.output()


def start_with_threads(context, count: int) -> None:
    """Restart the entry with `count` threads granted."""
    platform = context.platform
    platform.entries["entry-1"].process.kill()
    context.threads = platform.stage.directory / "threads"
    context.threads.write_text(str(count))
    command = (sys.executable, "-m", "standins.fewthreads", str(context.threads))
    context.entry = platform.start_again("entry-1", before=command)


@when("the entry is restarted with {count:d} threads granted")
def step_few_threads(context, count):
    start_with_threads(context, count)


@given("the entry was restarted, and gets no more threads from now on")
def step_no_more_threads(context):
    start_with_threads(context, 1000)
    wait_until(context.entry.ready, WAIT_S, "ready")
    # Served without an upstream, so its threads have started.
    assert context.platform.send("entry-1", "/no-route").status == 404
    context.threads.write_text("0")


@then("its log says once that a thread was refused")
def step_refused_once(context):
    output = context.entry.process.output()
    lines = [each for each in output.splitlines() if '"threads refused"' in each]
    assert len(lines) == 1 and "can't start new thread" in lines[0], output


@when("{count:d} more threads are granted, and {streams:d} streams are requested")
def step_more_threads(context, count, streams):
    platform = context.platform
    context.threads.write_text(str(int(context.threads.read_text()) + count))
    with ThreadPoolExecutor(streams) as pool:
        sent = [
            pool.submit(platform.send, "entry-1", "/stream/1", body=b"%d" % number)
            for number in range(streams)
        ]
    context.answers = [each.result() for each in sent]


@then("all of them are complete")
def step_all_come(context):
    for answer in context.answers:
        output = context.entry.process.output()
        assert answer.whole and answer.body == expected_stream(10), (answer, output)


@then("it exits with status 1, and its log names the refusal")
def step_ends_refused(context):
    process = context.entry.process
    assert process.wait(WAIT_S) == 1, process.output()
    assert "can't start new thread" in process.output(), process.output()


def make_link(port: int) -> Gossip:
    """Return a link to the other entries that has nothing to send."""
    return Gossip(
        me=InstanceId(name="entry-1", incarnation="a1"),
        listen=Address(host=HOST, port=port),
        dispatcher=mock.Mock(forget_gone_peers=list),
        dissemination=mock.Mock(tick=list, leave_messages=list),
        metrics=Metrics(),
        on_records=lambda sender, message: None,
    )


@given("a link to the other entries whose thread {number:d} is refused")
def step_link_refused(context, number):
    context.port = free_port()
    context.link = make_link(context.port)
    granted = threading._start_new_thread
    starts = itertools.count(1)

    def start(*arguments):
        if next(starts) == number:
            raise RuntimeError("can't start new thread")
        return granted(*arguments)

    context.refusing = mock.patch("threading._start_new_thread", start)


@when("it fails to start")
def step_link_fails(context):
    with context.refusing:
        try:
            context.link.start()
        except RuntimeError as error:
            assert "can't start new thread" in str(error), error
        else:
            raise AssertionError("it started")


@then("another one starts on its address")
def step_link_starts(context):
    link = make_link(context.port)
    link.start()
    context.add_cleanup(link.stop)
    assert link.alive()
