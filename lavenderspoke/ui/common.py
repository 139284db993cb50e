"""Options, exit statuses and printing that several commands share."""

from typing import Annotated

import typer

from lavenderspoke.membership.memberlist import HttpMemberList
from lavenderspoke.statuspages import find_status_urls
from lavenderspoke.util import UserError, is_http_url

EXIT_CODES = (
    "Exit status: 0 done; 1 mistakes in a file, or a conflict; 2 wrong usage; "
    "3 the platform or a daemon can't be reached, or the outcome is unknown."
)
EXIT_PLATFORM = 3


def http_url(value: str | list[str] | None) -> str | list[str] | None:
    """Refuse an option's value, or one of its values, that is no URL of HTTP."""
    for each in value if isinstance(value, list) else [value]:
        if each is not None and not is_http_url(each):
            raise typer.BadParameter(f"{each!r} isn't a URL such as http://10.0.0.2:80")
    return value


LogUrl = Annotated[
    str,
    typer.Option(
        "--log",
        envvar="LAVENDERSPOKE_LOG",
        callback=http_url,
        help="URL of the platform's log service.",
    ),
]
MembersUrl = Annotated[
    str | None,
    typer.Option(
        "--members",
        envvar="LAVENDERSPOKE_MEMBERS",
        callback=http_url,
        help="URL of the platform's list of instances.",
    ),
]
DaemonUrls = Annotated[
    list[str] | None,
    typer.Option(
        "--daemon",
        callback=http_url,
        help="URL of a daemon's status port; may be given many times.",
    ),
]


class PlatformError(UserError):
    """The platform or a daemon can't be reached, or the outcome is unknown."""

    exit_status = EXIT_PLATFORM


def printable(text: str) -> str:
    """Return text from the log without what would steer a terminal."""
    return "".join(each if each.isprintable() else "?" for each in text)


def daemon_urls(daemons: list[str] | None, members_url: str | None) -> list[str]:
    """Return the status pages that were given, and those of the list's members."""
    urls = list(daemons or [])
    if members_url is not None:
        found = find_status_urls(HttpMemberList(base_url=members_url))
        if found.is_err():
            raise PlatformError(f"{members_url}: {found.err_value.detail}")
        urls += [url for url in found.ok_value if url not in urls]
    elif not urls:
        raise typer.BadParameter("give --members or --daemon")
    return urls
