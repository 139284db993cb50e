"""An agent's ledger: what it was granted, what ran, and which keys it holds.

The ledger is what makes "at most once" true. Nothing is dispatched that it has
not recorded. That a late or doubled grant is not dispatched is the nonces' part
(see `pulling`): a revoked grant's nonce no longer allows that request.
"""

import enum

import attrs

from lavenderspoke.messages import Claim, Grant, KeyRecord, Piece, Unclaim
from lavenderspoke.model import Call, InstanceId, Standing

# How long the ledger knows an unkeyed request after its answer was taken. An
# entry trusts "never" only for half of it (see `following.NEVER_RAN_TRUST_S`).
RUN_MEMORY_S = 120.0


class Verdict(enum.Enum):
    """What the ledger says of a grant."""

    ACCEPTED = "accepted"
    REPEATED = "repeated"  # this very request was dispatched before
    KEY_HELD = "key_held"
    CLAIM_LOST = "claim_lost"


@attrs.define(kw_only=True)
class Run:
    """One request that this agent dispatched, and its answer so far."""

    call: Call
    changed_s: float
    nonce: str = ""
    claimed: bool = False
    standing: Standing = Standing.DISPATCHED
    pieces: list[Piece] = attrs.field(factory=list)
    held_bytes: int = 0
    last_event_id: int | None = None
    resumes: int = 0
    crash_counted: bool = False
    pieces_dropped: bool = False
    taken: bool = False
    watchers: set[InstanceId] = attrs.field(factory=set)

    @property
    def request_id(self) -> str:
        """The id of the request that runs."""
        return self.call.request_id

    def add(self, piece: Piece, now_s: float) -> None:
        """Keep a piece of the answer and note how the run stands."""
        self.pieces.append(piece)
        self.held_bytes += len(piece.body)
        self.changed_s = now_s
        if piece.count is not None:
            self.standing = Standing.FINISHED
        elif piece.error is not None:
            self.standing = Standing.FAILED

    def drop_pieces(self) -> None:
        """Free the answer; only where the run stands is kept."""
        self.pieces.clear()
        self.held_bytes = 0
        self.pieces_dropped = True


@attrs.define(kw_only=True)
class KeyHold:
    """Which attempt holds a key, since which of its rounds, and until when."""

    request_id: str
    expires_s: float
    standing: Standing
    round: int = 0


@attrs.define(kw_only=True)
class Ledger:
    """The ledger records grants, runs, revocations and key claims.

    `key_lifetime_s` and `bytes_max` come from the service document; answers
    past the byte limit are dropped, oldest first, but what ran is still known.
    """

    key_lifetime_s: float
    bytes_max: int
    _runs: dict[str, Run] = attrs.field(factory=dict)
    _open: dict[str, Run] = attrs.field(factory=dict)
    _keys: dict[str, KeyHold] = attrs.field(factory=dict)
    _held_bytes: int = 0

    def run(self, request_id: str) -> Run | None:
        """Return the run of a request, if it was dispatched here."""
        return self._runs.get(request_id)

    def untaken(self) -> list[Run]:
        """Return the runs whose entry has not said that it has the answer."""
        return [run for run in self._runs.values() if not run.taken]

    def running(self) -> list[Run]:
        """Return the runs whose answers are not complete."""
        return list(self._open.values())

    def running_count(self) -> int:
        """Return how many runs' answers are not complete."""
        return len(self._open)

    def judge(self, grant: Grant, now_s: float) -> Verdict:
        """Say whether a grant may be dispatched; records nothing."""
        call = grant.call
        if call.request_id in self._runs:
            return Verdict.REPEATED
        if call.key is None:
            return Verdict.ACCEPTED
        hold = self._key(call.key, now_s)
        if hold is not None and hold.request_id != call.request_id:
            return Verdict.KEY_HELD
        # A claim that lapsed may have been taken and given back by another
        # attempt that meanwhile runs elsewhere: without it this one must not.
        if grant.claimed and hold is None:
            return Verdict.CLAIM_LOST
        return Verdict.ACCEPTED

    def accept(self, grant: Grant, entry: InstanceId, now_s: float) -> Run:
        """Record a grant that was judged accepted, before its dispatch."""
        run = Run(
            call=grant.call,
            changed_s=now_s,
            nonce=grant.nonce,
            claimed=grant.claimed,
            watchers={entry},
        )
        self.restore(run, now_s)
        return run

    def restore(self, run: Run, now_s: float) -> None:
        """Record a run, such as one resumed for an earlier incarnation."""
        self._runs[run.request_id] = self._open[run.request_id] = run
        if run.call.key is not None:
            self._keys[run.call.key] = KeyHold(
                request_id=run.request_id,
                expires_s=now_s + self.key_lifetime_s,
                standing=Standing.DISPATCHED,
            )

    def add_piece(self, run: Run, piece: Piece, now_s: float) -> None:
        """Keep a piece, within the byte limit."""
        run.add(piece, now_s)
        self._held_bytes += len(piece.body)
        if run.standing is not Standing.DISPATCHED:
            self._open.pop(run.request_id, None)
            self._settle_key(run, now_s)
        if self._held_bytes > self.bytes_max:
            self._free_bytes()

    def _settle_key(self, run: Run, now_s: float) -> None:
        if run.call.key is None:
            return
        hold = self._keys.get(run.call.key)
        if hold is not None and hold.request_id == run.request_id:
            hold.standing = run.standing
            hold.expires_s = now_s + self.key_lifetime_s

    def _free_bytes(self) -> None:
        for run in list(self._runs.values()):
            if self._held_bytes <= self.bytes_max:
                return
            if run.standing is not Standing.DISPATCHED:
                self._drop_pieces(run)

    def _drop_pieces(self, run: Run) -> None:
        self._held_bytes -= run.held_bytes
        run.drop_pieces()

    def not_started(self, request_id: str) -> Run | None:
        """Take back a dispatch that provably never reached the upstream."""
        run = self._runs.pop(request_id, None)
        self._open.pop(request_id, None)
        if run is None or run.call.key is None:
            return run
        hold = self._keys.get(run.call.key)
        if hold is not None and hold.request_id == request_id:
            # A claim outlives the try that it allowed; a first send has none.
            hold.standing = Standing.CLAIMED
            if not run.claimed:
                del self._keys[run.call.key]
        return run

    def taken(self, request_id: str) -> None:
        """The entry has the whole answer: an unkeyed one need not be held."""
        run = self._runs.get(request_id)
        if run is None:
            return
        run.taken = True
        if run.call.key is None:
            self._drop_pieces(run)

    def claim(self, claim: Claim, now_s: float) -> KeyHold:
        """Claim a key for an attempt; return who holds it now."""
        hold = self._key(claim.key, now_s)
        if hold is None:
            hold = KeyHold(
                request_id=claim.request_id,
                expires_s=now_s + claim.lifetime_s,
                standing=Standing.CLAIMED,
            )
            self._keys[claim.key] = hold
        if hold.request_id == claim.request_id:
            hold.round = max(hold.round, claim.round)
        return hold

    def unclaim(self, unclaim: Unclaim) -> None:
        """Give a claim back; a key whose attempt was dispatched stays."""
        hold = self._keys.get(unclaim.key)
        if hold is None or hold.request_id != unclaim.request_id:
            return
        # One that was delayed until the attempt claimed again would free a key
        # that its entry believes to hold: two attempts could then both run.
        if hold.round == unclaim.round and hold.standing is Standing.CLAIMED:
            del self._keys[unclaim.key]

    def _key(self, key: str, now_s: float) -> KeyHold | None:
        hold = self._keys.get(key)
        if hold is None:
            return None
        if hold.expires_s <= now_s and hold.standing is not Standing.DISPATCHED:
            del self._keys[key]
            return None
        return hold

    def expire(self, now_s: float) -> None:
        """Forget what is past its time."""
        for key in list(self._keys):
            self._key(key, now_s)
        for run in list(self._runs.values()):
            if self._forgettable(run, now_s):
                self._drop_pieces(run)
                del self._runs[run.request_id]

    def _forgettable(self, run: Run, now_s: float) -> bool:
        if run.standing is Standing.DISPATCHED:
            return False
        if run.call.key is not None and run.call.key in self._keys:
            return False
        return now_s - run.changed_s > RUN_MEMORY_S

    def key_records(self, now_s: float) -> list[KeyRecord]:
        """Return every key that is held, for the agent that answers on."""
        records = []
        for key in list(self._keys):
            hold = self._key(key, now_s)
            if hold is not None:
                records.append(self._key_record(key, hold, now_s))
        return records

    def _key_record(self, key: str, hold: KeyHold, now_s: float) -> KeyRecord:
        run = self._runs.get(hold.request_id)
        whole = run is not None and not run.pieces_dropped
        return KeyRecord(
            key=key,
            request_id=hold.request_id,
            standing=hold.standing,
            expires_in_s=hold.expires_s - now_s,
            pieces=tuple(run.pieces) if whole else (),
        )

    def take_over(self, record: KeyRecord, now_s: float) -> None:
        """Take a key from a leaving agent; a run goes before a claim."""
        own = self._key(record.key, now_s)
        if own is not None and own.standing is not Standing.CLAIMED:
            return
        if own is not None and record.standing is Standing.CLAIMED:
            return
        self._keys[record.key] = KeyHold(
            request_id=record.request_id,
            expires_s=now_s + record.expires_in_s,
            standing=record.standing,
        )
        if record.standing is not Standing.CLAIMED:
            self._take_run(record, now_s)

    def _take_run(self, record: KeyRecord, now_s: float) -> None:
        call = Call(
            request_id=record.request_id,
            service="",
            method="",
            path="",
            customer="",
            tier=0,
            key=record.key,
        )
        run = Run(call=call, changed_s=now_s, standing=record.standing)
        run.pieces = list(record.pieces)
        run.held_bytes = sum(len(piece.body) for piece in record.pieces)
        run.pieces_dropped = not record.pieces
        self._held_bytes += run.held_bytes
        self._runs[record.request_id] = run
