"""The platform's lagging list of live and leaving instances."""

import enum
from typing import Any, Protocol

import attrs
import logbook
from result import Err, Ok, Result

from lavenderspoke.http.client import HttpClient
from lavenderspoke.jsoncodec import decode, structured

MEMBERS_PATH = "/members"

log = logbook.Logger(__name__)


class Role(enum.StrEnum):
    """Which daemon an instance runs."""

    ENTRY = "entry"
    AGENT = "agent"


@attrs.frozen(kw_only=True)
class Member:
    """An instance in the platform's list.

    The address is `host:port` of its daemon's listening socket, and
    `status_address` that of its status page, empty if the platform doesn't
    know it. `service` and `upstream` are those of an agent, and empty for an entry.
    """

    name: str
    role: Role
    address: str
    data_centre: str
    service: str = ""
    upstream: str = ""
    status_address: str = ""
    leaving: bool = False


@attrs.frozen(kw_only=True)
class MemberListUnavailable:
    """The list couldn't be read."""

    detail: str


@attrs.frozen(kw_only=True)
class MemberListCorrupt:
    """The response is not a valid member list."""

    detail: str


MemberListError = MemberListUnavailable | MemberListCorrupt


class MemberList(Protocol):
    """A list that lags: it may miss live members and name dead ones."""

    def read(self) -> Result[tuple[Member, ...], MemberListError]:
        """Return the members last known to the platform."""


@attrs.frozen(kw_only=True)
class _WireList:
    members: tuple[Any, ...]


class HttpMemberList:
    """The member list over HTTP: `GET /members` answers `{"members": [...]}`."""

    def __init__(self, *, base_url: str, timeout_s: float = 2.0):
        self._timeout_s = timeout_s
        self._client = HttpClient(base_url=base_url, connections=1)

    def read(self) -> Result[tuple[Member, ...], MemberListError]:
        """Read the list once."""
        fetched = self._client.fetch(
            method="GET", path=MEMBERS_PATH, timeout_s=self._timeout_s
        )
        match fetched:
            case Err(error):
                return Err(MemberListUnavailable(detail=error.detail))
            case Ok(reply) if reply.status != 200:
                return Err(MemberListUnavailable(detail=f"status {reply.status}"))
            case Ok(reply):
                return decode_members(reply.body)


def decode_members(body: bytes) -> Result[tuple[Member, ...], MemberListCorrupt]:
    """Decode the platform's answer, without members that can't be decoded."""
    wire = decode(body, _WireList)
    if isinstance(wire, Err):
        return Err(MemberListCorrupt(detail=wire.err_value.detail))
    members = []
    for each in wire.ok_value.members:
        decoded = structured(each, Member)
        if isinstance(decoded, Err):
            log.warning("member skipped", error=decoded.err_value.detail)
        else:
            members.append(decoded.ok_value)
    return Ok(tuple(members))
