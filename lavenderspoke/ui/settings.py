"""The commands for daemons' settings."""

import pathlib
from typing import Annotated

import attrs
import typer
import yaml

from lavenderspoke.config import (
    SECTIONS,
    defaults_text,
    parse_settings,
    read_text,
    sections_of,
)
from lavenderspoke.ui.common import EXIT_CODES
from lavenderspoke.util import UserError

app = typer.Typer(help="Check and show daemons' settings.", no_args_is_help=True)

SettingsFile = Annotated[pathlib.Path, typer.Argument(help="A settings file.")]


def _parse_all(path: str) -> dict:
    """Return the settings by section; raises UserError with every mistake."""
    text = read_text(path)
    sections = sections_of(text, path) or list(SECTIONS)[:1]
    parsed = {name: parse_settings(text, path, name) for name in sections}
    mistakes = [each for result in parsed.values() for each in result.err() or []]
    if mistakes:
        raise UserError(*dict.fromkeys(mistakes))
    return {name: result.ok_value for name, result in parsed.items()}


@app.command(epilog=EXIT_CODES)
def check(files: Annotated[list[pathlib.Path], typer.Argument()]) -> None:
    """Check settings files and name every mistake in them."""
    mistakes = []
    for path in files:
        try:
            _parse_all(str(path))
        except UserError as error:
            mistakes += error.lines
        else:
            print(f"{path}: in order")
    if mistakes:
        raise UserError(*mistakes)


@app.command(epilog=EXIT_CODES)
def show(file: Annotated[pathlib.Path | None, typer.Argument()] = None) -> None:
    """Show a file's settings with all defaults; without a file, the defaults."""
    if file is None:
        print(defaults_text(), end="")
        return
    settings = {
        name: attrs.asdict(each, value_serializer=_plain)
        for name, each in _parse_all(str(file)).items()
    }
    print(yaml.safe_dump(settings, sort_keys=False), end="")


def _plain(_, field, value):
    return getattr(value, "value", value)
