"""The command that tells a request's story from log files."""

import datetime
import json
import pathlib
from typing import Annotated

import attrs
import typer

from lavenderspoke.observing import explaining
from lavenderspoke.observing.explaining import Explanation, LogLine
from lavenderspoke.ui.common import printable
from lavenderspoke.util import UserError

COMMON_FIELDS = ("time", "level", "daemon", "logger", "message", "traceback")
EXIT_CODES = (
    "Exit status: 0 found; 1 not found, or a file can't be read; 2 wrong usage."
)

RequestId = Annotated[str, typer.Argument(help="The id of the caller's attempt.")]
LogFiles = Annotated[
    list[pathlib.Path], typer.Argument(help="Log files of any number of processes.")
]
AsJson = Annotated[bool, typer.Option("--json", help="Print the lines as JSON.")]


def explain(request_id: RequestId, files: LogFiles, as_json: AsJson = False) -> None:
    """Tell what became of a request and what may explain it."""
    lines = explaining.parse_logs(text for path in files for text in read(path))
    stories = explaining.explain_request(lines, request_id)
    if not stories:
        raise UserError(f"{request_id}: in none of {len(lines.lines)} log lines")
    if as_json:
        told = [attrs.asdict(story) for story in stories]
        print(json.dumps(told, indent=2))
        return
    for story in stories:
        _print(story)
    if lines.skipped:
        print(f"{lines.skipped} lines that are no log records were left out")


def read(path: pathlib.Path) -> list[str]:
    """Return the lines of a log file."""
    try:
        return path.read_text(errors="replace").splitlines()
    except OSError as error:
        raise UserError(f"{path}: {error.strerror}") from error


def _print(story: Explanation) -> None:
    line = story.line
    print(f"At {line.daemon}: {story.meaning}")
    for name, value in _fields(line).items():
        print(f"  {name:14} {printable(str(value))}")
    if not story.around:
        print("  Nothing else happened there shortly before.")
    for each in story.around:
        fields = ", ".join(f"{n}={v}" for n, v in _fields(each).items())
        print(f"  {time_of(each.at_s)}  {printable(each.message)}: {printable(fields)}")


def _fields(line: LogLine) -> dict:
    return {
        name: value
        for name, value in line.fields.items()
        if name not in COMMON_FIELDS and value not in (None, "", [])
    }


def time_of(at_s: float) -> str:
    """Return a time of day, in UTC, to the millisecond."""
    at = datetime.datetime.fromtimestamp(at_s, tz=datetime.UTC)
    return at.strftime("%H:%M:%S.%f")[:-3]
