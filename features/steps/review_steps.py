"""Steps that run the scripts of a review."""

import os
import pathlib
import subprocess
import sys
import tomllib

from behave import then, when

from standins.processes import ROOT

# A script gives up earlier by itself.
SCRIPT_TIMEOUT_S = 150.0
BUILD_TIMEOUT_S = 600.0


def build() -> None:
    """Build the daemon as its deploy file says, unless that was done before."""
    with open(ROOT / "deploy" / "system.toml", "rb") as file:
        command = tomllib.load(file)["build"]
    subprocess.run(command, shell=True, cwd=ROOT, check=True, timeout=BUILD_TIMEOUT_S)


@when("the script of case {number:d} is run")
def step_run(context, number):
    build()
    bin_directory = str(pathlib.Path(sys.executable).parent)
    path = os.pathsep.join([bin_directory, os.environ["PATH"]])
    context.done = subprocess.run(
        [str(ROOT / "review" / str(number) / "run.sh")],
        env=os.environ | {"PATH": path},
        capture_output=True,
        text=True,
        timeout=SCRIPT_TIMEOUT_S,
    )


@then("it finds no breach")
def step_no_breach(context):
    assert context.done.returncode == 0, context.done.stdout + context.done.stderr
