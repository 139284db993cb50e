"""Steps about ports that several processes look for."""

import subprocess
import sys

from behave import given, then, when

from standins.processes import ROOT, free_port

LOOK = """
import standins.processes as processes
processes._ports = iter(range({port}, {port} + 50))
print(processes.free_port())
"""


@given("a port that was given out here")
def step_given_out(context):
    context.port = free_port()


@when("another process looks for a free port from there on")
def step_look(context):
    done = subprocess.run(
        [sys.executable, "-c", LOOK.format(port=context.port)],
        cwd=ROOT,
        capture_output=True,
        text=True,
        check=True,
    )
    context.other = int(done.stdout)


@then("it gets another one")
def step_other(context):
    assert context.other != context.port
