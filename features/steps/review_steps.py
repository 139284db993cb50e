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
# Exit status of a script that couldn't bring its case about, and so shows nothing.
NOT_SHOWN = 2
TRIES_MAX = 3


def build() -> None:
    """Build the daemon as its deploy file says, unless that was done before."""
    with open(ROOT / "deploy" / "system.toml", "rb") as file:
        command = tomllib.load(file)["build"]
    done = subprocess.run(
        command,
        shell=True,
        cwd=ROOT,
        capture_output=True,
        text=True,
        timeout=BUILD_TIMEOUT_S,
    )
    assert done.returncode == 0, done.stdout + done.stderr


@when("the script of case {number:d} is run")
def step_run(context, number):
    build()
    bin_directory = str(pathlib.Path(sys.executable).parent)
    path = os.pathsep.join([bin_directory, os.environ["PATH"]])
    context.folder = ROOT / "review" / str(number)
    for _ in range(TRIES_MAX):
        context.done = subprocess.run(
            ["sh", str(context.folder / "run.sh")],
            env=os.environ | {"PATH": path},
            capture_output=True,
            text=True,
            timeout=SCRIPT_TIMEOUT_S,
        )
        if context.done.returncode != NOT_SHOWN:
            break


@then("it finds no breach")
def step_no_breach(context):
    done, record = context.done, context.folder / "record.txt"
    told = record.read_text().splitlines()[-5:] if record.exists() else []
    assert done.returncode == 0, (done.returncode, told, done.stdout, done.stderr)
