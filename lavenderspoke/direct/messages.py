"""Messages between entries that use direct dispatch.

All are one-way, and may be lost, delayed, duplicated or reordered.
"""

import attrs

from lavenderspoke.direct.askingrows import AskingRows
from lavenderspoke.direct.enginetimenews import EngineRows
from lavenderspoke.direct.usage import UsageRows
from lavenderspoke.model import InstanceId
from lavenderspoke.quarantine.messages import CrashEvidence, Quarantined


@attrs.frozen(kw_only=True)
class RolloutNews:
    """An entry's totals for a service's roll-out, since the entry started.

    `number` identifies the order, `stage` is the latest stage that the entry knows, and
    `elapsed_s` the time since any entry first saw the order. The entry sent `requests`
    to the service, `to_target` of them to the target version. A row of `routes` is the
    route, the target's responses and how many of them were bad, and the same of the
    other versions.
    """

    service: str
    number: int
    stage: int
    elapsed_s: float = 0.0
    requests: int = 0
    to_target: int = 0
    routes: tuple[tuple[str, int, int, int, int], ...] = ()


@attrs.frozen(kw_only=True)
class LimitNews:
    """What an entry knows of the limit that an upstream named.

    `observations` counts the changes that the entry has seen in its own responses, 0 if
    it was only told. After the last one the limit was `in_force` or not, with `per_s`
    requests per second for all entries. `sent` are the entry's requests since it knew.
    """

    upstream_id: str
    observations: int
    in_force: bool
    per_s: float
    sent: int


@attrs.frozen(kw_only=True)
class SharedState:
    """The state that an entry shares with the others.

    - `running`: upstream to the entry's in-flight requests there and their prompt
      tokens still to be prefilled.
    - `waiting`, `held`: service to rows of customer rank, route rank and number of
      requests, for those queued (`waiting`) and those at upstreams (`held`).
    - `bookings`: service to rows of customer rank, route rank, steps of 0.25 s from now
      and number of slots booked for the return of refused requests, less the returns
      that came to this entry.
    - `demand`: service to the slots that the arrivals at the entry need, where there
      are upstreams in several data centres.
    - `spent`: customer to rows of route rank, cost admitted and cost requested, since
      the entry started. Customers without a change may be left out.
    - `engine_time`: service to rows of customer rank, route rank, customer and seconds
      of engine time, since the entry started. Rows without a change may be left out.
    - `asking`: service to rows of customer rank, route rank, customer and number of
      requests queued.
    - `rollouts`: what the entry knows of each service's roll-out.
    - `limits`: what it knows of the limits that upstreams name.
    - `burst_credits`: customer to the tokens of a credit that the entry has recorded.
    - `upstreams_leaving`: upstreams that said to the entry itself that they leave.
    - `crashes`: a number that differs where the entry knows other crashes of upstreams.
    - `slow`: rows of an upstream and how many times slower than usual the entry's
      requests show it to be at the moment; 1.0 contradicts others' reports.

    Events since the last message:

    - `begun`: streams by the attempt that brought their first event, their service and
      the software version that began them.
    - `cleared`: parts of prompts that were suspected of crashes, and how many seconds
      ago a request with them was sent that has been answered.
    - `refused`: fingerprints of refused requests, which may be retried at any entry.
    - `gone`: upstreams at whose address another upstream was found.
    - `unreached`: upstreams to which a connection failed.
    - `failing`: upstreams ejected because they fail more than others of their service.

    `number` counts the messages of one incarnation of the entry. A state can arrive on
    several paths, and an older one must not replace a newer one.
    """

    address: str
    data_centre: str = ""
    number: int = 0
    running: dict[str, tuple[int, int]] = attrs.field(factory=dict)
    waiting: dict[str, tuple[tuple[int, int, int], ...]] = attrs.field(factory=dict)
    held: dict[str, tuple[tuple[int, int, int], ...]] = attrs.field(factory=dict)
    bookings: dict[str, tuple[tuple[int, int, int, int], ...]] = attrs.field(
        factory=dict
    )
    demand: dict[str, float] = attrs.field(factory=dict)
    spent: dict[str, UsageRows] = attrs.field(factory=dict)
    engine_time: dict[str, EngineRows] = attrs.field(factory=dict)
    asking: dict[str, AskingRows] = attrs.field(factory=dict)
    rollouts: tuple[RolloutNews, ...] = ()
    limits: tuple[LimitNews, ...] = ()
    burst_credits: tuple[tuple[str, float], ...] = ()
    upstreams_leaving: tuple[str, ...] = ()
    crashes: int = 0
    slow: tuple[tuple[str, float], ...] = ()
    begun: tuple[tuple[str, str, str], ...] = ()
    cleared: tuple[tuple[str, float], ...] = ()
    refused: tuple[str, ...] = ()
    gone: tuple[str, ...] = ()
    unreached: tuple[str, ...] = ()
    failing: tuple[str, ...] = ()
    leaving: bool = False


@attrs.frozen(kw_only=True)
class PassedOn:
    """An entry's state, first forwarded `age_s` seconds after its receipt.

    Several states of an entry are combined into the last one, with the events of all.
    """

    sender: InstanceId
    age_s: float
    state: SharedState


@attrs.frozen(kw_only=True)
class GroupStates:
    """States of an entry and its neighbours, forwarded to another group (`topology`).

    With `to_neighbours`, the recipient forwards them to its own neighbours.
    """

    states: tuple[PassedOn, ...]
    to_neighbours: bool = False


@attrs.frozen(kw_only=True)
class RecordsAsked:
    """Queries another entry for its records of a topic of the platform's store.

    `from_offset` is the offset of the sender's next read, -1 before its first one.
    `asked_s` is the send time on the sender's clock and is returned in the reply.
    `in_full` requests records of any size, since the sender can't read the store.
    Offsets are those of the store's copy number `epoch`. `version` is the newest that
    the sender has of what the topic holds, 0 if it has none or the topic no versions.
    """

    topic: str
    from_offset: int
    asked_s: float
    in_full: bool = False
    epoch: int = 0
    version: int = 0


@attrs.frozen(kw_only=True)
class RecordsTold:
    """The reply to a query: the newest record of each key since the queried offset.

    `age_s` is the time since the store read behind it was sent, in seconds. The reply
    was composed after `asked_s`, so the read was sent no earlier than `asked_s` minus
    `age_s`, which the receiver takes as its time. Records are rows of key, value and
    offset, in offset order; a value of None is a tombstone. With `whole` they are a
    snapshot of all keys. With `too_large` the records are left out, and the receiver
    should read them from the store. `unstored` are rows of key and value that are in
    force at the sender though its copy of the store lacks them.
    """

    topic: str
    asked_s: float
    age_s: float
    next_offset: int
    whole: bool
    records: tuple[tuple[str, bytes | None, int], ...] = ()
    too_large: bool = False
    epoch: int = 0
    unstored: tuple[tuple[str, bytes], ...] = ()


@attrs.frozen(kw_only=True)
class RecordsNews:
    """Notifies other entries that the sender has read a topic up to an offset.

    Entries that are behind query the records, so those that aren't cause no traffic.
    The offset is that of the store's copy number `epoch`; `unstored_version` is a
    version in force that the store lacks, 0 if there is none.
    """

    topic: str
    next_offset: int
    epoch: int = 0
    unstored_version: int = 0


RecordsMessage = RecordsAsked | RecordsTold | RecordsNews


@attrs.frozen(kw_only=True)
class StreamsBegan:
    """Streams whose first event is about to go out; to be confirmed by `number`."""

    number: int
    rows: tuple[tuple[str, str, str], ...]


@attrs.frozen(kw_only=True)
class StreamsConfirmed:
    """Confirms that the sender knows the streams of that message."""

    number: int


@attrs.frozen(kw_only=True)
class VersionsAsked:
    """Asks for the versions of streams, by the attempts that began them."""

    number: int
    attempts: tuple[str, ...]


@attrs.frozen(kw_only=True)
class VersionsTold:
    """The reply: those of the streams that the sender knows."""

    number: int
    rows: tuple[tuple[str, str, str], ...] = ()


StreamMessage = StreamsBegan | StreamsConfirmed | VersionsAsked | VersionsTold

DirectMessage = (
    SharedState
    | GroupStates
    | CrashEvidence
    | Quarantined
    | RecordsMessage
    | StreamMessage
)
