"""The command line: a thin layer over the library."""

import sys

import typer

from lavenderspoke.ui import daemons
from lavenderspoke.util import UserError

USAGE_STATUS = 2

app = typer.Typer(no_args_is_help=True, add_completion=False)
app.command()(daemons.entry)
app.command()(daemons.agent)


def main() -> None:
    """Run the command line and exit with its status."""
    try:
        app()
    except UserError as error:
        for line in error.lines:
            print(line, file=sys.stderr)
        sys.exit(USAGE_STATUS)
