"""The command that shows what the daemons do."""

import json
from collections import Counter
from typing import Annotated

import attrs
import typer
from rich.console import Console
from rich.table import Table
from rich.text import Text

from lavenderspoke.leaving import Stage
from lavenderspoke.statuspages import Counts, DaemonStatus, StatusUnavailable, read_all
from lavenderspoke.ui.common import (
    DaemonUrls,
    MembersUrl,
    PlatformError,
    daemon_urls,
    printable,
)

REFUSALS = "refusals"


def status(
    members: MembersUrl = None,
    daemon: DaemonUrls = None,
    as_json: Annotated[
        bool, typer.Option("--json", help="Print JSON in place of tables.")
    ] = False,
) -> None:
    """Show entries, agents and upstreams, and what waits, runs and is refused."""
    read, failed = read_all(daemon_urls(daemon, members))
    if as_json:
        report = {
            "daemons": [attrs.asdict(each) for each in read],
            "unreachable": [attrs.asdict(each) for each in failed],
        }
        print(json.dumps(report, indent=2))
    else:
        _print_tables(read, failed)
    if failed:
        unreachable = ", ".join(each.url for each in failed)
        raise PlatformError(f"not reached: {printable(unreachable)}")


def _print_tables(read: list[DaemonStatus], failed: list[StatusUnavailable]) -> None:
    console = Console()
    console.print(_daemons(read, failed))
    entries = [each for each in read if each.role == "entry"]
    console.print(_tiers(entries))
    console.print(_refusals(read))


def _row(table: Table, *cells: object) -> None:
    """Add a row; cells come from other machines and are no markup."""
    table.add_row(*(Text(printable(str(cell)), overflow="fold") for cell in cells))


def _daemons(read: list[DaemonStatus], failed: list[StatusUnavailable]) -> Table:
    table = Table(
        "daemon", "role", "data centre", "upstream", "state", "in force", "skipped"
    )
    for each in sorted(read, key=lambda each: (each.role, each.name), reverse=True):
        versions = sorted(each.versions.items())
        in_force = ", ".join(f"{name} {version}" for name, version in versions)
        upstream = f"{each.service}/{each.upstream}" if each.upstream else ""
        _row(
            table,
            each.name,
            each.role,
            each.data_centre,
            upstream,
            _state(each),
            in_force,
            each.skipped_records,
        )
    for each in failed:
        _row(table, each.url, "", "", "", "not reached")
    return table


def _state(daemon: DaemonStatus) -> str:
    """Return what is out of the ordinary about a daemon."""
    states = {
        "draining": daemon.draining,
        "leaving": daemon.leaving not in ("", Stage.SERVING.value),
        "upstream down": not daemon.upstream_up,
        "straggling": daemon.straggling,
        "log unreadable": not daemon.log_readable,
    }
    return ", ".join(name for name, holds in states.items() if holds)


def _sum(counts: list[Counts]) -> Counter:
    """Add up counts of many daemons by both of their keys."""
    total = Counter()
    for each in counts:
        for outer, inner in each.items():
            total.update({(outer, key): number for key, number in inner.items()})
    return total


def _tiers(entries: list[DaemonStatus]) -> Table:
    waiting = _sum([each.waiting for each in entries])
    running = _sum([each.running for each in entries])
    table = Table("service", "tier", "waiting", "running")
    for service, tier in sorted({*waiting, *running}):
        key = (service, tier)
        _row(table, service, tier, waiting[key], running[key])
    return table


def _refusals(read: list[DaemonStatus]) -> Table:
    counters = _sum([each.counters for each in read])
    table = Table("counter", "reason", "number")
    for name, reason in sorted(counters, key=lambda key: (key[0] != REFUSALS, key)):
        _row(table, name, reason, counters[name, reason])
    return table
