"""Steps about native crashes, and about threads and memory that are refused."""

import os
import signal

from behave import then, when

from standins.platformdeployment import WAIT_S


@when("the entry gets SIGILL")
def step_sigill(context):
    context.entry = context.platform.entries["entry-1"]
    os.kill(context.entry.process.pid, signal.SIGILL)


@then("it ends by that signal, and standard error has the stacks of its threads")
def step_stacks(context):
    process = context.entry.process
    assert process.wait(WAIT_S) == -signal.SIGILL, process.output()
    output = process.output()
    assert "Fatal Python error: Illegal instruction" in output, output
    for line in (
        "Current thread 0x",
        "/supervisor.py",
        "/direct/daemon.py",
        "Thread 0x",
    ):
        assert line in output, output


@when("the entry is started again with standard error closed")
def step_no_stderr(context):
    platform = context.platform
    platform.entries["entry-1"].process.kill()
    platform.start_again("entry-1", before=("sh", "-c", 'exec "$@" 2>&-', "sh"))
