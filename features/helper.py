"""What the steps of several features share."""

import os
import subprocess
import sys

from hypothesis import HealthCheck, given, settings, strategies

from standins.processes import ROOT, Stage

JSON = strategies.recursive(
    strategies.none()
    | strategies.booleans()
    | strategies.integers()
    | strategies.floats()
    | strategies.text(),
    lambda inner: strategies.lists(inner, max_size=4)
    | strategies.dictionaries(strategies.text(max_size=8), inner, max_size=4),
    max_leaves=12,
)


def stage_of(context) -> Stage:
    """Return the scenario's stage, which is stopped after it."""
    if getattr(context, "stage", None) is None:
        context.stage = Stage()
    return context.stage


def run(context, arguments: str) -> None:
    """Run the command line; FILE, LOG and MEMBERS stand for the scenario's own."""
    urls = {"LOG": "log", "MEMBERS": "members"}
    words = [
        (
            str(context.file)
            if word == "FILE"
            else getattr(context, urls[word]).url if word in urls else word
        )
        for word in arguments.split()
    ]
    context.done = subprocess.run(
        [sys.executable, "-m", "lavenderspoke.ui", *words],
        cwd=ROOT,
        env=os.environ | {"PYTHONPATH": str(ROOT), "COLUMNS": "200", "TERM": "dumb"},
        capture_output=True,
        text=True,
        timeout=60,
    )
    context.printed = context.done.stdout + context.done.stderr
    assert "Traceback" not in context.printed, context.printed


def fuzz(strategy, check, examples: int = 300) -> None:
    """Call the check with many values, the same ones on every run."""
    quick = settings(
        max_examples=examples,
        derandomize=True,
        deadline=None,
        database=None,
        suppress_health_check=list(HealthCheck),
    )
    quick(given(strategy)(check))()
