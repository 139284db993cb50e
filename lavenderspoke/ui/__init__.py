"""The command line: a thin layer over the library."""

import typer

app = typer.Typer(no_args_is_help=True)


def main() -> None:
    """Run the command line and exit with its status."""
    app()
