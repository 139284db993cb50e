"""The command line: a thin layer over the library.

Each module here adds one command or group of commands; `main` runs them and
shows errors that the operator can mend as lines without a traceback.
"""

import sys

import typer

from lavenderspoke.ui import (
    daemons,
    explain,
    rollouts,
    send,
    services,
    settings,
    status,
)
from lavenderspoke.ui.common import EXIT_CODES
from lavenderspoke.util import UserError

app = typer.Typer(
    name="lavenderspoke",
    help="Schedule requests for unlike engines.",
    epilog=EXIT_CODES,
    no_args_is_help=True,
    add_completion=False,
    pretty_exceptions_enable=False,
)
app.command()(daemons.entry)
app.command()(daemons.agent)
app.add_typer(services.app, name="service")
app.add_typer(settings.app, name="settings")
app.command("status", epilog=EXIT_CODES)(status.status)
app.command("send", epilog=send.SEND_EXIT_CODES)(send.send)
app.command("explain", epilog=explain.EXIT_CODES)(explain.explain)
app.command("rollouts", epilog=explain.EXIT_CODES)(rollouts.rollouts)


def main() -> None:
    """Run the command line and exit with its status."""
    try:
        app()
    except UserError as error:
        for line in error.lines:
            print(line, file=sys.stderr)
        sys.exit(error.exit_status)
