"""The messages that entries which dispatch directly send each other.

Each is one way and may be lost, late, doubled or out of order.
"""

import attrs

from lavenderspoke.direct.usage import UsageRows
from lavenderspoke.model import InstanceId
from lavenderspoke.poison import CrashEvidence


@attrs.frozen(kw_only=True)
class RolloutNews:
    """What an entry saw of a service's roll-out, in all since it started.

    `number` names the order and `stage` how far the entry knows it to be; it has known
    of it for `elapsed_s`. It sent `requests` to the service, `to_target` of them to the
    target. `routes` are rows of route, answers of the target and how many of them were
    bad, and the same of the other versions.
    """

    service: str
    number: int
    stage: int
    elapsed_s: float = 0.0
    requests: int = 0
    to_target: int = 0
    routes: tuple[tuple[str, int, int, int, int], ...] = ()


@attrs.frozen(kw_only=True)
class SharedState:
    """An entry that dispatches directly tells the others what they share.

    `running` maps upstream to the requests it has running there and their unread
    prompt tokens; `waiting` and `held` map service to rows of customer rank, route
    rank and count, of requests in line and at upstreams; `spent` maps customer to
    rows of route rank, what the entry let through since it started and what was asked
    for, without those customers for which that is known; `rollouts` tells of the
    services whose version changes.

    What has happened since the last message: `refused` are the fingerprints of requests
    refused, whose callers may come back anywhere; `gone` are upstreams at whose address
    another one was found; `unreached` are those to which a connection failed; `failing`
    are those left alone because they fail more than the others of their service.

    `number` counts the messages of one life of the entry: a state may come by several
    ways, and the older one must not replace the newer.
    """

    address: str
    data_centre: str = ""
    number: int = 0
    running: dict[str, tuple[int, int]] = attrs.field(factory=dict)
    waiting: dict[str, tuple[tuple[int, int, int], ...]] = attrs.field(factory=dict)
    held: dict[str, tuple[tuple[int, int, int], ...]] = attrs.field(factory=dict)
    spent: dict[str, UsageRows] = attrs.field(factory=dict)
    rollouts: tuple[RolloutNews, ...] = ()
    refused: tuple[str, ...] = ()
    gone: tuple[str, ...] = ()
    unreached: tuple[str, ...] = ()
    failing: tuple[str, ...] = ()
    leaving: bool = False


@attrs.frozen(kw_only=True)
class PassedOn:
    """What an entry told, as another one passes it on `age_s` later.

    Of several messages it is the last, with the news of all.
    """

    sender: InstanceId
    age_s: float
    state: SharedState


@attrs.frozen(kw_only=True)
class GroupStates:
    """An entry passes on what its neighbours and itself told.

    With `to_neighbours` the one that gets it passes it on to its own neighbours.
    """

    states: tuple[PassedOn, ...]
    to_neighbours: bool = False


@attrs.frozen(kw_only=True)
class RecordsAsked:
    """An entry asks another what that knows of a topic of the platform's log.

    `from_offset` is where the asker would read on, -1 when it knows nothing yet.
    `asked_s` is on the asker's clock and comes back with the answer. `in_full` asks
    for records of any size, since the asker can't read the log.
    """

    topic: str
    from_offset: int
    asked_s: float
    in_full: bool = False


@attrs.frozen(kw_only=True)
class RecordsTold:
    """An entry's answer: the newest record of each key since the offset asked for.

    `age_s` is the time since the log was asked for what this says; the asker counts
    it back from `asked_s`, since the answer was put together after that. Records
    are rows of key, value and offset, in order; the value is None where the key was
    dropped. With `whole` these are all keys there are. With `too_large` there are
    records that the asker had better read from the log itself.
    """

    topic: str
    asked_s: float
    age_s: float
    next_offset: int
    whole: bool
    records: tuple[tuple[str, bytes | None, int], ...] = ()
    too_large: bool = False


@attrs.frozen(kw_only=True)
class RecordsNews:
    """An entry tells that it has read records of a topic up to an offset.

    Who knows less asks for them, which spares those that know them the bytes.
    """

    topic: str
    next_offset: int


RecordsMessage = RecordsAsked | RecordsTold | RecordsNews

DirectMessage = SharedState | GroupStates | CrashEvidence | RecordsMessage
