"""Reads the platform's settings file and reports its errors to the operator."""

import os
import sys
from pathlib import Path

from result import Err

from lavenderspoke.platform import settings
from lavenderspoke.platform.settings import PlatformSettings
from lavenderspoke.util import UserError

# Names policies to disable. The deploy file can't add a line to the settings file that
# the platform writes, but it can set a variable.
DISABLED_POLICIES_VARIABLE = "LAVENDERSPOKE_DISABLED_POLICIES"


def read_settings(path: str) -> PlatformSettings:
    """Return the settings; raises UserError with a line for each error."""
    try:
        text = Path(path).read_text()
    except OSError as error:
        raise UserError(f"{path}: {error.strerror}") from error
    except ValueError as error:
        raise UserError(f"{path}: {error}") from error
    disabled = os.environ.get(DISABLED_POLICIES_VARIABLE)
    if disabled is not None:
        text += f"\n{settings.DISABLED_POLICIES_KEY}={disabled}\n"
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
