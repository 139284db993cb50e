"""Reads the platform's settings file and reports its errors to the operator."""

import sys
from pathlib import Path

from result import Err

from lavenderspoke.platform import settings
from lavenderspoke.platform.settings import PlatformSettings
from lavenderspoke.util import UserError


def read_settings(path: str) -> PlatformSettings:
    """Return the settings; raises UserError with a line for each error."""
    try:
        text = Path(path).read_text()
    except OSError as error:
        raise UserError(f"{path}: {error.strerror}") from error
    parsed = settings.parse(text)
    if isinstance(parsed, Err):
        raise UserError(*(f"{path}: {each}" for each in parsed.err_value.mistakes))
    return parsed.ok_value


def check(paths: list[str]) -> int:
    """Print every error in these files; return 0 if there are none, else 1."""
    status = 0
    for path in paths:
        try:
            read_settings(path)
        except UserError as error:
            print("\n".join(error.lines), file=sys.stderr)
            status = error.exit_status
        else:
            print(f"{path}: in order")
    return status
