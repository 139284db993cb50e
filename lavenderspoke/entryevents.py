"""The events and actions of the entry's state machine."""

import attrs

from lavenderspoke.gateway import AnswerPart, Arrival
from lavenderspoke.model import Call
from lavenderspoke.problems import Problem


@attrs.frozen(kw_only=True)
class Arrived:
    """A validated request has arrived from a caller."""

    arrival: Arrival


@attrs.frozen(kw_only=True)
class CallerGone:
    """A caller has closed its connection."""

    request_id: str


@attrs.frozen(kw_only=True)
class RosterRecord:
    """A record of the roster stream was read."""

    offset: int
    payload: bytes


@attrs.frozen(kw_only=True)
class RosterReached:
    """The roster was read to its end, which was at `offset`.

    `read_ids` names the requested reads that this one completes.
    """

    offset: int
    read_ids: tuple[str, ...] = ()


@attrs.frozen(kw_only=True)
class RosterReadFailed:
    """The roster could not be read for the requested reads."""

    read_ids: tuple[str, ...]


@attrs.frozen(kw_only=True)
class PeersListed:
    """The other entries and the leaving agents in the platform's member list."""

    entry_names: tuple[str, ...]
    leaving_agents: frozenset[str] = frozenset()


@attrs.frozen(kw_only=True)
class DrainRequested:
    """Refuse new requests, finish those in flight, then exit."""


@attrs.frozen(kw_only=True)
class Reply:
    """Send a caller the next part of its answer."""

    request_id: str
    part: AnswerPart


@attrs.frozen(kw_only=True)
class ReadRoster:
    """Start a new read of the roster to its end."""

    read_id: str


@attrs.frozen(kw_only=True)
class DidNotRun:
    """A granted request provably did not run; internal to the core."""

    request_id: str
    reason: str


@attrs.frozen(kw_only=True)
class Answered:
    """An upstream answered a request completely; internal to the core."""

    call: Call


@attrs.frozen(kw_only=True)
class Finish:
    """A request ends with a problem; internal to the core."""

    request_id: str
    problem: Problem
