"""What the agent's state machine is told, and what it asks to be done."""

import attrs

from lavenderspoke.documents.service import Service
from lavenderspoke.http.upstreamsignals import UpstreamSignals
from lavenderspoke.membership.roster import RosterRecord
from lavenderspoke.model import Call, Head, InstanceId


@attrs.frozen(kw_only=True)
class RunHead:
    """The upstream has sent its status line and headers."""

    request_id: str
    head: Head


@attrs.frozen(kw_only=True)
class RunBody:
    """The upstream has sent a part of the body; events have an id."""

    request_id: str
    body: bytes
    event_id: int | None = None


@attrs.frozen(kw_only=True)
class RunEnded:
    """The upstream has ended the answer as it should."""

    request_id: str


@attrs.frozen(kw_only=True)
class RunNotStarted:
    """No byte of the request reached the upstream: it did not run.

    If the connection was refused (`is_refused`), no process listens at its address.
    """

    request_id: str
    detail: str = ""
    is_refused: bool = False


@attrs.frozen(kw_only=True)
class RunBroken:
    """The connection was lost after the request may have been sent.

    `crashed` says that the upstream no longer answers at its address.
    """

    request_id: str
    detail: str
    crashed: bool = False


@attrs.frozen(kw_only=True)
class RunUnknown:
    """The upstream can't resume this run: it doesn't know it or can't."""

    request_id: str
    detail: str


@attrs.frozen(kw_only=True)
class UpstreamSignalled:
    """A response to a request sent at `sent_s` says this about the upstream."""

    signals: UpstreamSignals
    sent_s: float


@attrs.frozen(kw_only=True)
class UpstreamHealth:
    """The upstream was asked whether it serves.

    If the connection was refused (`is_refused`), no process listens at its address.
    """

    is_up: bool
    is_refused: bool = False


@attrs.frozen(kw_only=True)
class UpstreamReplaced:
    """Another process answers at the upstream's address."""


@attrs.frozen(kw_only=True)
class CacheChanged:
    """The upstream's prefix cache changed; after a gap or restart, `reset`."""

    added: tuple[str, ...] = ()
    removed: tuple[str, ...] = ()
    reset: bool = False


@attrs.frozen(kw_only=True)
class Joined:
    """The roster holds this incarnation's record, appended after `since_s`.

    `join_offset` is where the first record of the present, unbroken lease lies.
    """

    join_offset: int
    since_s: float


@attrs.frozen(kw_only=True)
class DocumentInForce:
    """A document of a service is in force from now on."""

    service: Service
    version: int


@attrs.frozen(kw_only=True)
class EntriesListed:
    """The entries that this agent picked from the platform's list.

    Their incarnations are unknown. No more than `count_max` are kept.
    """

    names: tuple[str, ...]
    count_max: int = 1000


@attrs.frozen(kw_only=True)
class LeaveWanted:
    """The daemon is being stopped: finish, hand the keys over, and exit."""


@attrs.frozen(kw_only=True)
class ListedLeaving:
    """Whether the platform's list calls this upstream leaving.

    It then gets no new work. The list lags and may be wrong: it can take the
    word back.
    """

    is_leaving: bool


@attrs.frozen(kw_only=True)
class HeirFound:
    """An agent of the same service that may take the keys, or none."""

    heir: InstanceId | None


@attrs.frozen(kw_only=True)
class LeaveAppended:
    """The append of the leave record has ended, well or not."""


@attrs.frozen(kw_only=True)
class Dispatch:
    """Send a request to the upstream, once."""

    call: Call
    deadline_in_s: float


@attrs.frozen(kw_only=True)
class ResumeRun:
    """Ask the upstream for a run by its id, after the event named."""

    call: Call
    after_event_id: int | None
    delay_s: float = 0.0


@attrs.frozen(kw_only=True)
class CancelRun:
    """Tell the upstream to stop a run that nobody waits for."""

    request_id: str


@attrs.frozen(kw_only=True)
class AppendRoster:
    """Append a record to the roster and say how it went."""

    record: RosterRecord


@attrs.frozen(kw_only=True)
class FindHeir:
    """Read the roster for an agent that can take the keys."""


@attrs.frozen(kw_only=True)
class Exit:
    """Everything is done; the daemon can end."""
