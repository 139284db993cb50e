"""How an agent leaves: it finishes, hands its keys over, and says so.

The order matters. It first accepts nothing more, then hands every key to an
heir, and only then appends its leave record. A leave record without the handed
keys would let a re-send believe that nobody holds its key: a second run.
"""

import enum

import attrs

from lavenderspoke.agentevents import AppendRoster, Exit, FindHeir
from lavenderspoke.core import Count, Send
from lavenderspoke.ledger import Ledger
from lavenderspoke.membership.roster import Leave
from lavenderspoke.messages import KeyRecord, LedgerHandover
from lavenderspoke.model import InstanceId

# How long a finished answer waits for its entry to say that it has it.
LINGER_S = 5.0
# How long the heir has to take the keys, and how often a part is sent again.
HANDOVER_S = 5.0
RESEND_S = 0.25
# Answers ride along with their keys up to this much in one message.
PART_BYTES_MAX = 256 * 1024


class Stage(enum.Enum):
    """Where a leaving agent stands."""

    SERVING = "serving"
    FINISHING = "finishing"
    SEEKING = "seeking"
    HANDING_OVER = "handing_over"
    APPENDING = "appending"
    GONE = "gone"


@attrs.define(kw_only=True)
class Leaving:
    """The leaving sequence of one agent."""

    me: InstanceId
    ledger: Ledger
    stage: Stage = Stage.SERVING
    _since_s: float = 0.0
    _heir: InstanceId | None = None
    _parts: dict[int, LedgerHandover] = attrs.field(factory=dict)
    _resend_s: float = 0.0

    @property
    def accepts(self) -> bool:
        """Whether grants are still accepted."""
        return self.stage is Stage.SERVING

    @property
    def claims(self) -> bool:
        """Whether claims are still recorded.

        A claim taken after the keys were handed over would be lost with this
        process, and two attempts could each think that they hold every claim.
        """
        return self.stage in (Stage.SERVING, Stage.FINISHING)

    def begin(self, now_s: float) -> None:
        """Stop accepting; go on when what runs has ended."""
        if self.stage is Stage.SERVING:
            self._enter(Stage.FINISHING, now_s)

    def _enter(self, stage: Stage, now_s: float) -> None:
        self.stage = stage
        self._since_s = now_s

    def advance(self, now_s: float) -> list:
        """Return what the present stage asks for."""
        if self.stage is Stage.FINISHING and self._finished(now_s):
            self._enter(Stage.SEEKING, now_s)
            return [FindHeir()] if self._records(now_s) else self._append(None, now_s)
        if self.stage is Stage.HANDING_OVER:
            return self._hand_over(now_s)
        return []

    def _finished(self, now_s: float) -> bool:
        if self.ledger.running():
            return False
        untaken = self.ledger.untaken()
        return all(now_s - run.changed_s > LINGER_S for run in untaken)

    def _records(self, now_s: float) -> list[KeyRecord]:
        return self.ledger.key_records(now_s)

    def heir_found(self, heir: InstanceId | None, now_s: float) -> list:
        """Start to hand over, or leave without a record if there is no heir."""
        if self.stage is not Stage.SEEKING:
            return []
        if heir is None:
            return self._go("no_heir", now_s)
        self._heir = heir
        self._parts = dict(enumerate(make_parts(self._records(now_s))))
        self._enter(Stage.HANDING_OVER, now_s)
        return self._hand_over(now_s)

    def _hand_over(self, now_s: float) -> list:
        if not self._parts:
            return self._append(self._heir, now_s)
        if now_s - self._since_s > HANDOVER_S:
            return self._go("heir_silent", now_s)
        if now_s < self._resend_s:
            return []
        self._resend_s = now_s + RESEND_S
        return [
            Send(recipient=self._heir, message=part) for part in self._parts.values()
        ]

    def part_taken(self, sender: InstanceId, part: int, now_s: float) -> list:
        """The heir has a part; after the last one the leave record is written."""
        if self.stage is not Stage.HANDING_OVER or sender != self._heir:
            return []
        self._parts.pop(part, None)
        return [] if self._parts else self._append(self._heir, now_s)

    def _append(self, heir: InstanceId | None, now_s: float) -> list:
        self._enter(Stage.APPENDING, now_s)
        return [AppendRoster(record=Leave(agent=self.me, heir=heir))]

    def appended(self, now_s: float) -> list:
        """The leave record is written or can't be; either way the daemon ends."""
        return self._go("left", now_s) if self.stage is Stage.APPENDING else []

    def _go(self, how: str, now_s: float) -> list:
        self._enter(Stage.GONE, now_s)
        return [Count(name="leaves", reason=how), Exit()]


def make_parts(records: list[KeyRecord]) -> list[LedgerHandover]:
    """Split key records into messages of bounded size."""
    groups, size_bytes = [[]], 0
    for record in records:
        record_bytes = sum(len(piece.body) for piece in record.pieces) + 200
        if groups[-1] and size_bytes + record_bytes > PART_BYTES_MAX:
            groups.append([])
            size_bytes = 0
        groups[-1].append(record)
        size_bytes += record_bytes
    return [
        LedgerHandover(part=number, parts=len(groups), keys=tuple(group))
        for number, group in enumerate(groups)
    ]
