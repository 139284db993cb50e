"""Steps for the command that prints the history of roll-outs."""

import json
import pathlib
import tempfile

from behave import given, then, when
from typer.testing import CliRunner

from lavenderspoke.ui import app
from lavenderspoke.util import UserError


def record(daemon: str, second: float, message: str, **fields) -> str:
    time = f"2026-01-01T00:00:{second:06.3f}Z"
    return json.dumps(
        {"time": time, "daemon": daemon, "message": message, "service": "narrative"}
        | fields
    )


def goes_on(daemon: str, second: float, stage: str, reason: str, **fields) -> str:
    return record(
        daemon,
        second,
        "roll-out goes on",
        target="v2",
        order=7,
        stage=stage,
        reason=reason,
        **fields,
    )


@given("log lines of two entries of which one stopped a roll-out")
def step_lines(context):
    evidence = {"briefing": [9, 5, 80, 1]}
    context.logs = {
        "entry-1": [
            record("entry-1", 1.0, "roll-out ordered", target="v2", number=7),
            goes_on("entry-1", 1.2, "canary", "the store's record"),
            goes_on("entry-1", 3.1, "stopped", "reported by entry-2"),
            record(
                "entry-1", 3.3, "roll-out record written", order=7, state="rolled_back"
            ),
            '{"cut": ',
        ],
        "entry-2": [
            goes_on(
                "entry-2",
                3.0,
                "stopped",
                "bad answers on briefing",
                requests=190,
                to_target=12,
                evidence=evidence,
            ),
        ],
    }


@given("log lines of an entry without a roll-out")
def step_lines_none(context):
    context.logs = {"entry-1": [record("entry-1", 1.0, "starting")]}


@when('"lavenderspoke rollouts" reads them')
def step_read(context):
    with tempfile.TemporaryDirectory() as directory:
        paths = []
        for name, lines in context.logs.items():
            path = pathlib.Path(directory) / f"{name}.log"
            path.write_text("\n".join(lines))
            paths.append(str(path))
        context.result = CliRunner().invoke(app, ["rollouts", *paths])


@then('the history contains "{text}"')
def step_says(context, text):
    assert text in context.result.stdout, context.result.stdout


@then("the command reports that there is none")
def step_fails(context):
    error = context.result.exception
    assert isinstance(error, UserError) and error.exit_status == 1, error
