"""The messages that entries and agents send each other.

Every message is one way and may be lost, late, doubled or out of order: the
state machines at both ends are written for that.
"""

import attrs

from lavenderspoke.model import Call, Head, Standing
from lavenderspoke.quarantine.messages import CrashEvidence, Quarantined


@attrs.frozen(kw_only=True)
class Announce:
    """An agent tells an entry that it lives and what it stands beside.

    Sent every heartbeat and at once when the state changes. `join_offset` is
    where the agent's join record lies in the roster stream.
    """

    service: str
    upstream: str
    address: str
    data_centre: str
    join_offset: int
    leaving: bool = False
    room: int = 0
    running: int = 0
    step_s: float = 0.0
    straggling: bool = False
    versions: dict[str, int] = attrs.field(factory=dict)


@attrs.frozen(kw_only=True)
class EntryAnnounce:
    """An entry tells another entry or an agent that it lives.

    `waiting` maps service to tier to the number of requests waiting there.
    """

    address: str
    data_centre: str
    waiting: dict[str, dict[int, int]] = attrs.field(factory=dict)
    versions: dict[str, int] = attrs.field(factory=dict)
    draining: bool = False


@attrs.frozen(kw_only=True)
class Demand:
    """An entry tells an agent what waits in it for the agent's service.

    `waiting` maps tier to count.
    """

    service: str
    waiting: dict[int, int] = attrs.field(factory=dict)


@attrs.frozen(kw_only=True)
class Pull:
    """An agent with room asks an entry for work.

    The nonce is good for `slots` grants until the agent's own clock passes its
    expiry; `ttl_s` tells the entry about how long that is. Nothing below
    `rank_min` may be granted on it, since a higher tier may wait elsewhere.
    """

    service: str
    nonce: str
    slots: int
    ttl_s: float
    rank_min: int


@attrs.frozen(kw_only=True)
class PullDone:
    """An entry has granted all it will on this nonce; the rest is free again.

    `waiting` maps tier to what waits in the entry now.
    """

    service: str
    nonce: str
    granted: int
    waiting: dict[int, int] = attrs.field(factory=dict)


@attrs.frozen(kw_only=True)
class Grant:
    """An entry hands one request to the agent that pulled.

    From here on the entry doesn't own the right to dispatch it elsewhere.
    `stamp` is the roster offset that the entry had folded when the request
    arrived; `deadline_in_s` is what is left of the caller's time. `claimed`
    says that the attempt holds a claim on its key at this agent, without which
    the grant must be refused.
    """

    nonce: str
    call: Call
    stamp: int
    deadline_in_s: float
    claimed: bool = False


@attrs.frozen(kw_only=True)
class Granted:
    """An agent has accepted a grant and dispatched the request."""

    request_id: str
    nonce: str


@attrs.frozen(kw_only=True)
class Refused:
    """An agent refused a grant: it did not run on that nonce and never will.

    The nonce matters: a late copy of this message must not be taken for the
    refusal of a newer grant of the same request to the same agent.
    """

    request_id: str
    nonce: str
    reason: str
    holder: str | None = None


@attrs.frozen(kw_only=True)
class Revoke:
    """An entry takes a grant back because it heard nothing."""

    request_id: str
    nonce: str


@attrs.frozen(kw_only=True)
class Revoked:
    """An agent answers a revoke or an attach with where the request stands.

    Only the answer to a revoke names its nonce; only then may `standing` be
    NEVER, and it speaks of that grant alone.
    """

    request_id: str
    nonce: str
    standing: Standing


@attrs.frozen(kw_only=True)
class Cancel:
    """The caller has gone; an agent may stop the run to save work."""

    request_id: str


@attrs.frozen(kw_only=True)
class Piece:
    """A numbered part of one answer.

    Numbers begin at 0 with the head and have no holes. The last piece carries
    `count`, the number of pieces in the whole answer, or an `error` that says
    why there is no whole answer.
    """

    request_id: str
    number: int
    head: Head | None = None
    body: bytes = b""
    count: int | None = None
    error: str | None = None


@attrs.frozen(kw_only=True)
class Pieces:
    """All the pieces that one engine step made for one entry."""

    pieces: tuple[Piece, ...]


@attrs.frozen(kw_only=True)
class Attach:
    """An entry asks an agent for an answer from piece `number` on."""

    request_id: str
    number: int


@attrs.frozen(kw_only=True)
class AnswerTaken:
    """The entry has the whole answer; an unkeyed one need not be held on."""

    request_id: str


@attrs.frozen(kw_only=True)
class Resume:
    """An entry asks an agent to resume a run of an earlier incarnation.

    The new agent asks its upstream for the run by its id from the start, so
    that the entry can skip the pieces it has.
    """

    call: Call
    incarnation: str


@attrs.frozen(kw_only=True)
class Claim:
    """An entry reserves a key at an agent for one attempt.

    `round` counts the attempt's rounds of claims: an answer to an earlier one,
    or a late Unclaim of it, says nothing about the present one. The claim
    lapses at the agent after `lifetime_s`, which is the longest deadline that
    the service allows: an earlier attempt may wait for as long as that.
    """

    key: str
    request_id: str
    round: int
    lifetime_s: float


@attrs.frozen(kw_only=True)
class Claimed:
    """An agent answers a claim.

    `holder` is the attempt that holds the key: the asker's own when the claim
    was taken, or an earlier one and where that stands.
    """

    key: str
    request_id: str
    round: int
    holder: str
    standing: Standing


@attrs.frozen(kw_only=True)
class Unclaim:
    """An entry gives a claim of one round back, which led to no grant."""

    key: str
    request_id: str
    round: int


@attrs.frozen(kw_only=True)
class Floor:
    """An entry asks its peers to keep nothing below a tier for a while.

    Sent before the entry drops work of `tier`. Peers measure `lease_s` from
    when they hear it, the sender from before it sent, so the floor ends at the
    sender first.
    """

    service: str
    tier: int
    round: int
    lease_s: float


@attrs.frozen(kw_only=True)
class FloorHeld:
    """A peer has dropped everything below the floor and keeps it out."""

    service: str
    tier: int
    round: int


@attrs.frozen(kw_only=True)
class DocumentWanted:
    """A daemon asks another for a service document newer than its own."""

    service: str
    offset: int


@attrs.frozen(kw_only=True)
class DocumentRelay:
    """A daemon passes on the raw log record of a document in force."""

    offset: int
    record: bytes


@attrs.frozen(kw_only=True)
class PrefixHeld:
    """An agent tells which prompt prefixes its upstream holds.

    `sequence` counts within the agent's incarnation; a gap makes the reader
    forget what it believed of that upstream. `reset` does the same.
    """

    service: str
    sequence: int
    added: tuple[str, ...] = ()
    removed: tuple[str, ...] = ()
    reset: bool = False


@attrs.frozen(kw_only=True)
class KeyRecord:
    """What an agent knows of one key: its attempt, standing and answer."""

    key: str
    request_id: str
    standing: Standing
    expires_in_s: float
    pieces: tuple[Piece, ...] = ()


@attrs.frozen(kw_only=True)
class LedgerHandover:
    """A cleanly leaving agent hands its keys to the agent that answers on.

    Sent in parts; each is acknowledged, and the leave record is written only
    after the last acknowledgement.
    """

    part: int
    parts: int
    keys: tuple[KeyRecord, ...] = ()


@attrs.frozen(kw_only=True)
class LedgerTaken:
    """An agent has taken one part of a leaving agent's ledger."""

    part: int


Message = (
    Announce
    | EntryAnnounce
    | Demand
    | Pull
    | PullDone
    | Grant
    | Granted
    | Refused
    | Revoke
    | Revoked
    | Cancel
    | Pieces
    | Attach
    | AnswerTaken
    | Resume
    | Claim
    | Claimed
    | Unclaim
    | Floor
    | FloorHeld
    | DocumentWanted
    | DocumentRelay
    | CrashEvidence
    | Quarantined
    | PrefixHeld
    | LedgerHandover
    | LedgerTaken
)
