"""Reads the daemons' status pages and finds where they are."""

from concurrent.futures import ThreadPoolExecutor

import attrs
from result import Err, Ok, Result

from lavenderspoke.http.client import HttpClient
from lavenderspoke.jsoncodec import decode
from lavenderspoke.membership.memberlist import Member, MemberList

STATUS_PATH = "/-/status"
STATUS_TIMEOUT_S = 2.0
THREADS = 16

Counts = dict[str, dict[str, int]]


@attrs.frozen(kw_only=True)
class DaemonStatus:
    """What one daemon says of itself.

    `waiting` and `running` go by service and tier; `counters` by name and
    reason; `skipped_records` counts the log records that it passed over. The
    upstream's state is said by agents only, `draining` by entries.
    """

    name: str
    role: str
    incarnation: str = ""
    data_centre: str = ""
    service: str = ""
    upstream: str = ""
    versions: dict[str, int] = attrs.field(factory=dict)
    waiting: Counts = attrs.field(factory=dict)
    running: Counts = attrs.field(factory=dict)
    counters: Counts = attrs.field(factory=dict)
    skipped_records: int = 0
    log_readable: bool = True
    draining: bool = False
    leaving: str = ""
    upstream_up: bool = True
    straggling: bool = False


@attrs.frozen(kw_only=True)
class StatusUnavailable:
    """A daemon whose page couldn't be read: not there, or not a status page."""

    url: str
    detail: str


def read_status(url: str) -> Result[DaemonStatus, StatusUnavailable]:
    """Read the page of the daemon whose status port is at `url`."""
    try:
        client = HttpClient(base_url=url, connections=1)
    except ValueError as error:
        # The platform's list may hold an address that is none.
        return Err(StatusUnavailable(url=url, detail=str(error)))
    fetched = client.fetch(method="GET", path=STATUS_PATH, timeout_s=STATUS_TIMEOUT_S)
    match fetched:
        case Err(error):
            return Err(StatusUnavailable(url=url, detail=error.detail))
        case Ok(reply) if reply.status != 200:
            return Err(StatusUnavailable(url=url, detail=f"status {reply.status}"))
        case Ok(reply):
            return decode(reply.body, DaemonStatus).map_err(
                lambda error: StatusUnavailable(url=url, detail=error.detail)
            )


def read_all(
    urls: list[str],
) -> tuple[list[DaemonStatus], list[StatusUnavailable]]:
    """Read many pages at once, and return those read and those not."""
    with ThreadPoolExecutor(max_workers=THREADS) as pool:
        results = list(pool.map(read_status, urls))
    read = [each.ok_value for each in results if isinstance(each, Ok)]
    return read, [each.err_value for each in results if isinstance(each, Err)]


def status_urls(members: tuple[Member, ...]) -> list[str]:
    """Return where the pages of the members that aren't leaving should be."""
    return [
        f"http://{each.status_address}"
        for each in members
        if each.status_address and not each.leaving
    ]


def find_status_urls(member_list: MemberList) -> Result[list[str], StatusUnavailable]:
    """Return the status pages that the platform's list leads to."""
    return (
        member_list.read()
        .map(status_urls)
        .map_err(
            lambda error: StatusUnavailable(url="member list", detail=error.detail)
        )
    )


@attrs.frozen(kw_only=True)
class Spread:
    """Which daemons have a version in force, or a newer one, and which not yet."""

    there: tuple[str, ...]
    missing: tuple[str, ...]


def spread_of(urls: list[str], service: str, version: int) -> Spread:
    """Ask the daemons which version of a service they have in force."""
    read, failed = read_all(urls)
    there = [each.name for each in read if each.versions.get(service, 0) >= version]
    behind = [each.name for each in read if each.name not in there]
    return Spread(there=tuple(there), missing=(*behind, *(each.url for each in failed)))
