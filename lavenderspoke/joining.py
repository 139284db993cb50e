"""An agent's records in the roster: join, renew, leave."""

import uuid
from collections.abc import Callable

import logbook
from result import Err, Ok, Result

from lavenderspoke.agentcore import AgentIdentity
from lavenderspoke.agentevents import HeirFound, Joined, LeaveAppended
from lavenderspoke.clock import Clock
from lavenderspoke.membership import roster
from lavenderspoke.membership.roster import Join, Roster, RosterRecord
from lavenderspoke.model import InstanceId
from lavenderspoke.platformlog import FIRST_OFFSET, ROSTER_STREAM, Log

log = logbook.Logger(__name__)


class Joining:
    """Appends the roster records of one incarnation, and finds its heir.

    `post` takes a Joined after each append that was read back. `renew_s` is a
    fraction of the roster lease, so that one failed renewal costs nothing.
    `learn_address` is told where the heir listens.
    """

    def __init__(
        self,
        *,
        identity: AgentIdentity,
        log: Log,
        clock: Clock,
        post: Callable[[object], None],
        renew_s: float,
        lease_s: float,
        learn_address: Callable[[str, str], None],
    ):
        self._identity = identity
        self._log = log
        self._clock = clock
        self._post = post
        self._renew_s = renew_s
        self._lease_s = lease_s
        self._learn_address = learn_address
        self._join_offset: int | None = None
        # Where the present lease began that was never let lapse.
        self._lease_offset: int | None = None
        self._renewed_s: float | None = None
        self.is_leaving = False

    def poll(self) -> None:
        """Join if not joined, renew when it is time."""
        now_s = self._clock.monotonic_s()
        fresh = self._renewed_s is not None and now_s < self._renewed_s + self._renew_s
        if fresh or self.is_leaving:
            return
        # Counted from before the append, so the lease ends here before any
        # reader may think that it has.
        appended = self._append(self._join())
        if isinstance(appended, Err):
            return
        if self._has_lapsed():
            self._lease_offset = appended.ok_value
        self._renewed_s = now_s
        self._post(Joined(join_offset=self._lease_offset, since_s=now_s))

    def _has_lapsed(self) -> bool:
        # While no lease held, a re-send may have read a roster that had forgotten
        # this agent, and not asked it for its key. Requests stamped before the
        # record that brings the agent back must be refused like those before its
        # first one, or the key runs here too.
        if self._renewed_s is None:
            return True
        return self._clock.monotonic_s() >= self._renewed_s + self._lease_s

    def _join(self) -> Join:
        identity = self._identity
        return Join(
            agent=identity.me,
            service=identity.service,
            upstream=identity.upstream,
            address=identity.address,
            data_centre=identity.data_centre,
            join_offset=self._join_offset,
        )

    def _append(self, record: RosterRecord) -> Result[int, str]:
        payload = roster.encode(record)
        appended = self._log.append(
            stream=ROSTER_STREAM, record_id=uuid.uuid4().hex, payload=payload
        )
        if isinstance(appended, Err):
            # The record may be there all the same; a second one is harmless.
            log.warning("roster append failed", detail=appended.err_value.detail)
            return Err(appended.err_value.detail)
        return self._read_back(appended.ok_value, payload)

    def _read_back(self, offset: int, payload: bytes) -> Result[int, str]:
        page = self._log.read(stream=ROSTER_STREAM, offset=offset, limit=1)
        if isinstance(page, Err):
            return Err(page.err_value.detail)
        records = page.ok_value.records
        if not records or records[0].offset != offset or records[0].payload != payload:
            return Err("the record does not read back")
        if self._join_offset is None:
            self._join_offset = offset
        return Ok(offset)

    def is_newest(self) -> bool:
        """Return whether no newer incarnation of this agent has joined."""
        known = self._read_roster()
        if known is None or self._join_offset is None:
            return False
        life = known.get(self._identity.me)
        return life is not None and not life.superseded

    def leave(self, record: RosterRecord) -> None:
        """Append the leave record, once, and say that it was tried."""
        self.is_leaving = True
        self._append(record)
        self._post(LeaveAppended())

    def find_heir(self) -> None:
        """Read the roster for another agent of the service that lives."""
        heir = self._heir()
        log.info("heir chosen", heir=heir.name if heir else None)
        self._post(HeirFound(heir=heir))

    def _heir(self) -> InstanceId | None:
        known = self._read_roster()
        if known is None:
            return None
        identity = self._identity
        lives = [
            life
            for life in known.alive(identity.service)
            if life.agent.name != identity.me.name
        ]
        newest = max(lives, key=lambda life: life.join_offset, default=None)
        if newest is not None:
            self._learn_address(newest.agent.name, newest.address)
        return None if newest is None else newest.agent

    def _read_roster(self) -> Roster | None:
        known = Roster(lease_s=self._lease_s)
        offset = FIRST_OFFSET
        while True:
            page = self._log.read(stream=ROSTER_STREAM, offset=offset)
            if isinstance(page, Err):
                return None
            now_s = self._clock.monotonic_s()
            for record in page.ok_value.records:
                known.apply(offset=record.offset, payload=record.payload, now_s=now_s)
            offset = page.ok_value.next_offset
            if offset >= page.ok_value.end_offset:
                return known
