"""The commands that run the daemons."""

import sys
from typing import Annotated

import typer

from lavenderspoke.agent import AgentDaemon
from lavenderspoke.clock import SystemClock
from lavenderspoke.config import load_agent_settings, load_entry_settings
from lavenderspoke.entry import EntryDaemon
from lavenderspoke.observing.logs import JsonLinesHandler
from lavenderspoke.resources.allocator import give_back_freed

SettingsFile = Annotated[
    str, typer.Option("--settings", help="The YAML file with this daemon's settings.")
]


def entry(settings: SettingsFile) -> None:
    """Run an entry until SIGTERM, which drains it.

    Exit status: 0 drained; 1 bad settings, or a part could not be kept running.
    """
    run(EntryDaemon, load_entry_settings(settings))


def agent(settings: SettingsFile) -> None:
    """Run an agent until SIGTERM, which makes it leave cleanly.

    Exit status: 0 left; 1 bad settings, or a part could not be kept running.
    """
    run(AgentDaemon, load_agent_settings(settings))


def run(daemon_class, settings) -> None:
    """Run a daemon with its logs on standard error."""
    handler = JsonLinesHandler(
        daemon=settings.name, level=settings.log_level.value.upper()
    )
    give_back_freed()
    with handler.applicationbound():
        daemon = daemon_class(settings=settings, clock=SystemClock())
        sys.exit(daemon.run())
