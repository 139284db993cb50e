"""The roster: the agent incarnations that may have run a keyed request.

An agent appends a join record to the log's `roster` stream before it accepts
keyed work, renews it while it runs, and appends a leave record once it has handed
its keys over. Entries apply the stream in order. A request is stamped on arrival
with the last offset applied, and an agent refuses a stamp below its own join
offset, so the incarnations that could run an attempt are fixed on arrival.
"""

import attrs
import cattrs.preconf.msgpack
from cattrs.strategies import configure_tagged_union
from result import Err, Ok, Result

from lavenderspoke.model import InstanceId

STREAM = "roster"


@attrs.frozen(kw_only=True)
class Join:
    """An incarnation joins, or renews its join.

    None as `join_offset` marks the first record: its own offset is the join offset.
    """

    agent: InstanceId
    service: str
    upstream: str
    address: str
    data_centre: str
    join_offset: int | None = None


@attrs.frozen(kw_only=True)
class Leave:
    """An incarnation has left cleanly and accepts no more work.

    `heir` holds its keys and answers for them; None if it held no key.
    """

    agent: InstanceId
    heir: InstanceId | None = None


@attrs.frozen(kw_only=True)
class RosterError:
    """A roster record can't be decoded."""

    detail: str


RosterRecord = Join | Leave

_converter = cattrs.preconf.msgpack.make_converter(forbid_extra_keys=True)
configure_tagged_union(RosterRecord, _converter)


def encode(record: RosterRecord) -> bytes:
    """Return the bytes of a record for the log."""
    return _converter.dumps(record, RosterRecord)


def decode(payload: bytes) -> Result[RosterRecord, RosterError]:
    """Decode a record; malformed bytes give an Err and never raise."""
    try:
        return Ok(_converter.loads(payload, RosterRecord))
    # cattrs and msgpack raise many types of Exception on malformed bytes.
    except Exception as error:
        return Err(RosterError(detail=f"{type(error).__name__}: {error}"))


@attrs.define(kw_only=True)
class AgentIncarnation:
    """The roster's state of one incarnation of an agent.

    `last_heard_s` is when this reader applied the last record about it, on the
    reader's own clock.
    """

    agent: InstanceId
    service: str
    upstream: str
    address: str
    join_offset: int
    last_heard_s: float
    left: bool = False
    heir: InstanceId | None = None
    superseded: bool = False


@attrs.define(kw_only=True)
class Roster:
    """The state built from join and leave records in offset order.

    `lease_s` is how long an agent accepts keyed work after its last renewal.
    """

    lease_s: float
    offset: int = -1
    skipped: int = 0
    _incarnations: dict[InstanceId, AgentIncarnation] = attrs.field(factory=dict)

    def apply(self, *, offset: int, payload: bytes, now_s: float) -> None:
        """Apply one record; an undecodable one is skipped and counted."""
        if offset <= self.offset:
            return
        self.offset = offset
        decoded = decode(payload)
        if isinstance(decoded, Err):
            self.skipped += 1
        elif isinstance(decoded.ok_value, Join):
            self._join(decoded.ok_value, offset, now_s)
        else:
            self._leave(decoded.ok_value, now_s)

    def advance_to(self, offset: int) -> None:
        """Record that everything up to `offset` has been read."""
        self.offset = max(self.offset, offset)

    def _join(self, join: Join, offset: int, now_s: float) -> None:
        incarnation = self._incarnations.get(join.agent)
        if incarnation is not None:
            incarnation.last_heard_s = now_s
            return
        incarnation = AgentIncarnation(
            agent=join.agent,
            service=join.service,
            upstream=join.upstream,
            address=join.address,
            join_offset=offset if join.join_offset is None else join.join_offset,
            last_heard_s=now_s,
        )
        self._incarnations[join.agent] = incarnation
        self._mark_superseded(join.agent.name)

    def _mark_superseded(self, name: str) -> None:
        # Renewals may come in any order: the highest join offset is current.
        incarnations = [
            incarnation
            for incarnation in self._incarnations.values()
            if incarnation.agent.name == name
        ]
        newest = max(incarnation.join_offset for incarnation in incarnations)
        for incarnation in incarnations:
            incarnation.superseded = incarnation.join_offset < newest

    def _leave(self, leave: Leave, now_s: float) -> None:
        incarnation = self._incarnations.get(leave.agent)
        if incarnation is not None:
            incarnation.left = True
            incarnation.heir = leave.heir
            incarnation.last_heard_s = now_s

    def get(self, agent: InstanceId) -> AgentIncarnation | None:
        """Return the state of an incarnation, or None if it is unknown."""
        return self._incarnations.get(agent)

    def possible_key_holders(
        self, service: str, *, now_s: float, key_lifetime_s: float
    ) -> list[AgentIncarnation]:
        """Return the incarnations that may hold a live key of the service.

        One without a record for its lease plus a key's lifetime holds none and
        is removed: it refused keyed work from the end of its lease, and the keys
        that it ran before have expired. Both times count from when this reader
        applied the record, which is later, so the error is on the safe side.
        """
        horizon_s = now_s - self.lease_s - key_lifetime_s
        expired = [
            key
            for key, incarnation in self._incarnations.items()
            if incarnation.last_heard_s < horizon_s
        ]
        for key in expired:
            del self._incarnations[key]
        return [
            incarnation
            for incarnation in self._incarnations.values()
            if incarnation.service == service
        ]

    def alive(self, service: str) -> list[AgentIncarnation]:
        """Return the incarnations that have neither left nor been superseded."""
        return [
            incarnation
            for incarnation in self._incarnations.values()
            if incarnation.service == service
            and not incarnation.left
            and not incarnation.superseded
        ]
