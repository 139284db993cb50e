"""The commands for service documents."""

import getpass
import pathlib
import re
import sys
import time
from functools import singledispatch
from typing import Annotated

import typer

from lavenderspoke.clock import SystemClock
from lavenderspoke.config import read_text
from lavenderspoke.documents import publisher
from lavenderspoke.documents.edits import NO_VERSION
from lavenderspoke.documents.fold import InForce
from lavenderspoke.documents.history import DocumentHistory
from lavenderspoke.documents.publisher import Publisher
from lavenderspoke.documents.service import parse_service
from lavenderspoke.platformlog import HttpLog
from lavenderspoke.statuspages import spread_of
from lavenderspoke.ui.common import (
    EXIT_CODES,
    DaemonUrls,
    LogUrl,
    MembersUrl,
    PlatformError,
    daemon_urls,
    printable,
)
from lavenderspoke.util import UserError

BASE_LINE = re.compile(r"\A# base: (\d{1,18})\n")
WAIT_POLL_S = 0.2

app = typer.Typer(help="Check and publish service documents.", no_args_is_help=True)

Name = Annotated[str, typer.Argument(help="The service's name.")]


@app.command(epilog=EXIT_CODES)
def check(files: Annotated[list[pathlib.Path], typer.Argument()]) -> None:
    """Check documents and name every mistake in them; needs no platform."""
    mistakes = []
    for path in files:
        try:
            parsed = parse_service(read_text(str(path)), str(path))
        except UserError as error:
            mistakes += error.lines
            continue
        mistakes += parsed.err() or []
        if parsed.is_ok():
            print(f"{path}: in order")
    if mistakes:
        raise UserError(*mistakes)


@app.command(epilog=EXIT_CODES)
def publish(
    file: Annotated[pathlib.Path, typer.Argument(help="The document.")],
    log: LogUrl,
    base: Annotated[
        int | None,
        typer.Option(
            min=0,
            help="The version it was edited from, 0 for a new service. Where "
            "it isn't given, the line '# base: N' that `show` puts first says it.",
        ),
    ] = None,
    author: Annotated[
        str, typer.Option(help="Who publishes it; the login name if not given.")
    ] = "",
    wait: Annotated[
        bool, typer.Option(help="Wait until each live daemon has it in force.")
    ] = False,
    wait_s: Annotated[float, typer.Option(help="How long to wait, in seconds.")] = 30,
    members: MembersUrl = None,
    daemon: DaemonUrls = None,
) -> None:
    """Put a document in force, if it was edited from the one in force now."""
    text = read_text(str(file))
    parsed = parse_service(text, str(file))
    if parsed.is_err():
        raise UserError(*parsed.err_value)
    found = BASE_LINE.match(text)
    if base is None:
        base = int(found.group(1)) if found else NO_VERSION
    published = Publisher(
        log=_log(log), clock=SystemClock(), author=author or getpass.getuser()
    ).publish(text=BASE_LINE.sub("", text), file_name=str(file), base=base)
    if published.is_err():
        raise explain(published.err_value)
    version = published.ok_value.version
    state = "accepted" if published.ok_value.appended else "in force already"
    print(f"{state}: version {version}")
    if wait:
        _wait(parsed.ok_value.name, version, members, daemon, wait_s)


def _log(url: str) -> HttpLog:
    return HttpLog(base_url=url)


@singledispatch
def explain(error: object) -> UserError:
    """Return the error that tells an operator why nothing was published."""
    raise TypeError(f"no explanation: {error!r}")


@explain.register
def _(error: publisher.DocumentMistakes) -> UserError:
    return UserError(*error.mistakes)


@explain.register
def _(error: publisher.PublishConflict) -> UserError:
    if error.winner is None:
        return UserError(f"conflict: version {error.base} isn't in force; none is")
    return UserError(
        f"conflict: edited from version {error.base}, but version "
        f"{_title(error.winner)} is in force",
        *error.changes.splitlines(),
    )


@explain.register
def _(error: publisher.PublishUnavailable) -> UserError:
    return PlatformError(f"not published: the log can't be used: {error.detail}")


@explain.register
def _(error: publisher.PublishUnknown) -> UserError:
    return PlatformError(
        f"unknown: record {error.record_id} may yet be appended: {error.detail}",
        "publishing again with the same base is safe",
    )


@explain.register
def _(error: publisher.HistoryIncomplete) -> UserError:
    return PlatformError(
        "not published: the log's beginning has aged out, and no daemon has said "
        "what is in force; see `lavenderspoke service begin --help`"
    )


@explain.register
def _(error: publisher.AlreadyBegun) -> UserError:
    return UserError("nothing done: readers can go by the log as it is")


def _title(document: InForce) -> str:
    record = document.record
    return f"{document.version} by {printable(record.author)} at {printable(record.at)}"


def _wait(
    name: str,
    version: int,
    members: str | None,
    daemons: list[str] | None,
    wait_s: float,
) -> None:
    """Follow until each live daemon has the version in force."""
    give_up_s = time.monotonic() + wait_s
    shown = set()
    while True:
        spread = spread_of(daemon_urls(daemons, members), name, version)
        for each in sorted(set(spread.there) - shown):
            print(f"in force: {printable(each)}")
        shown |= set(spread.there)
        if not spread.missing and spread.there:
            return
        if time.monotonic() >= give_up_s:
            missing = printable(", ".join(spread.missing)) or "any daemon"
            raise PlatformError(f"not in force after {wait_s:g} s: {missing}")
        time.sleep(WAIT_POLL_S)


def _history(url: str) -> DocumentHistory:
    history = DocumentHistory(log=_log(url))
    read = history.refresh()
    if read.is_err():
        raise PlatformError(f"{url}: {read.err_value.detail}")
    if not history.fold.complete:
        print("the log's beginning has aged out; this may be old", file=sys.stderr)
    return history


def _version(history: DocumentHistory, name: str, version: int | None) -> InForce:
    if version is None:
        document = history.fold.in_force(name)
    else:
        document = history.version(name, version)
    if document is None:
        which = "any version" if version is None else f"version {version}"
        raise UserError(f"{name}: the log doesn't hold {which}")
    return document


@app.command(epilog=EXIT_CODES)
def show(
    name: Name,
    log: LogUrl,
    version: Annotated[int | None, typer.Option(help="Not the one in force.")] = None,
) -> None:
    """Print a document, with the line that `publish` takes its base from."""
    document = _version(_history(log), name, version)
    print(f"# base: {document.version}")
    print(document.text, end="")


@app.command(epilog=EXIT_CODES)
def history(name: Name, log: LogUrl) -> None:
    """List the versions that the log still holds, and the edits that lost."""
    read = _history(log)
    lines = {
        each.version: f"{_title(each)}, from {each.record.base}"
        for each in read.versions(name)
    }
    for each in read.conflicts(name):
        record = each.record
        lines[each.offset] = (
            f"{each.offset} by {printable(record.author)} at {printable(record.at)}, "
            f"from {record.base}: conflict, {each.version} was in force"
        )
    if not lines:
        raise UserError(f"{name}: the log holds nothing of it")
    for offset in sorted(lines):
        print(lines[offset])


@app.command(epilog=EXIT_CODES)
def diff(name: Name, old: int, new: int, log: LogUrl) -> None:
    """Show what changed from one version to another."""
    read = _history(log)
    for version in (old, new):
        _version(read, name, version)
    print(read.diff(name, old, new))


@app.command(epilog=EXIT_CODES)
def begin(log: LogUrl) -> None:
    """Say that no service has a document, in a log without a beginning.

    Needed once where the log was in use for other things before, or where no
    daemon ran for longer than the log keeps records. Daemons that run with
    documents make it needless and mustn't be there: see `status` first.
    """
    begun = publisher.begin(_log(log))
    if begun.is_err():
        raise explain(begun.err_value)
    print("begun: publish each service with --base 0")
