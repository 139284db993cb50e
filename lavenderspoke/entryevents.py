"""What the entry's state machine is told, and what it asks to be done."""

import attrs

from lavenderspoke.gateway import AnswerPart, Arrival
from lavenderspoke.model import Call
from lavenderspoke.problems import Problem


@attrs.frozen(kw_only=True)
class Arrived:
    """A checked request has come from a caller."""

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

    `read_ids` names the fresh reads that this one answers.
    """

    offset: int
    read_ids: tuple[str, ...] = ()


@attrs.frozen(kw_only=True)
class RosterReadFailed:
    """The roster can't be read now."""

    read_ids: tuple[str, ...]


@attrs.frozen(kw_only=True)
class PeersListed:
    """The platform's list names these other entries and leaving agents."""

    entry_names: tuple[str, ...]
    leaving_agents: frozenset[str] = frozenset()


@attrs.frozen(kw_only=True)
class DrainRequested:
    """Take nothing new, finish what there is, then exit."""


@attrs.frozen(kw_only=True)
class Reply:
    """Give a caller the next part of its answer."""

    request_id: str
    part: AnswerPart


@attrs.frozen(kw_only=True)
class ReadRoster:
    """Read the roster to its end, beginning after now."""

    read_id: str


@attrs.frozen(kw_only=True)
class DidNotRun:
    """A granted request provably did not run; within the core only."""

    request_id: str
    reason: str


@attrs.frozen(kw_only=True)
class Answered:
    """An upstream answered a request whole; within the core only."""

    call: Call


@attrs.frozen(kw_only=True)
class Finish:
    """A request gets its final answer; within the core only."""

    request_id: str
    problem: Problem
