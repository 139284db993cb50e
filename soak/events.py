"""What can happen in a seed, and to what."""

import attrs

ENTRIES = ("entry-1", "entry-2", "entry-3")
MODELS = ("model-1", "model-2", "model-3")
DESKS = ("desk-1", "desk-2")
UPSTREAMS = MODELS + DESKS
# Length of the part with faults, in seconds: long enough for some that overlap and
# for a key to outlive its time, short enough for fifty seeds in a quarter of an hour.
FAULTS_S = 10.0
# The most a fault lasts, in seconds.
LENGTH_MAX_S = 3.0


@attrs.frozen(kw_only=True)
class EntryKilled:
    """Some entries end without warning, and start again."""

    entries: tuple[str, ...]


@attrs.frozen(kw_only=True)
class VersionChanged:
    """Upstreams of another software version take the place of some."""

    upstreams: tuple[str, ...]
    software: str


@attrs.frozen(kw_only=True)
class EntryStopped:
    """An entry is told to stop, and starts again once it has ended."""

    entry: str


@attrs.frozen(kw_only=True)
class EntryPaused:
    """An entry stands still and wakes again."""

    entry: str


@attrs.frozen(kw_only=True)
class EntryReloaded:
    """An entry is told that its settings may have changed."""

    entry: str


@attrs.frozen(kw_only=True)
class ClientsCrowd:
    """Clients hold what an entry has, at one of its ports."""

    entry: str
    port: str
    behaviour: str
    count: int


@attrs.frozen(kw_only=True)
class StoreFails:
    """The store fails for all entries."""

    mode: str


@attrs.frozen(kw_only=True)
class StoreForgets:
    """The store drops the records it has."""


@attrs.frozen(kw_only=True)
class StoreGoesBack:
    """The store keeps a copy, goes away in the end, and comes back from the copy."""

    away_s: float
    again_s: float


@attrs.frozen(kw_only=True)
class LinkFails:
    """The way from an entry to the store, or of all to an upstream, is harmed."""

    link: str
    fault: str


@attrs.frozen(kw_only=True)
class UpstreamFails:
    """An upstream answers badly."""

    upstream: str
    fault: str


@attrs.frozen(kw_only=True)
class AnswersUnframed:
    """An upstream's answers have neither length nor chunks; some crash within them."""

    upstream: str
    crashes: bool


@attrs.frozen(kw_only=True)
class AnswersEndless:
    """An upstream's answers go on in one place until their callers close."""

    upstream: str
    place: str
    gap_s: float


@attrs.frozen(kw_only=True)
class UpstreamSilent:
    """An upstream at work holds its streams, as while it reads a long prompt."""

    upstream: str


@attrs.frozen(kw_only=True)
class UpstreamLeaves:
    """An upstream announces that it leaves, and comes back as ready."""

    upstream: str


@attrs.frozen(kw_only=True)
class LimitNamed:
    """An upstream names a limit in its responses."""

    upstream: str
    per_s: float


@attrs.frozen(kw_only=True)
class PauseAsked:
    """An upstream refuses all requests and asks each entry for a pause."""

    upstream: str
    pause_s: float


@attrs.frozen(kw_only=True)
class LeavingSaid:
    """An upstream says in its responses that it leaves, and is replaced in the end.

    Its record doesn't tell.
    """

    upstream: str


@attrs.frozen(kw_only=True)
class ContentCrashes:
    """Content that crashes upstreams is sent again and again, at all entries.

    The upstreams come back under other ids, at their addresses if `same_address`. If it
    is `by_part`, no two requests are alike, and share a part of their prompts.
    """

    gap_s: float
    same_address: bool
    by_part: bool = False


@attrs.frozen(kw_only=True)
class ConnectionsShifted:
    """Most new connections come to one entry, and callers open them more often."""

    entry: str


@attrs.frozen(kw_only=True)
class VersionPublished:
    """The operator publishes a version with a route of its own."""


@attrs.frozen(kw_only=True)
class KeyRevoked:
    """The operator takes the key of one customer away."""


@attrs.frozen(kw_only=True)
class UpstreamInTrouble:
    """An upstream turns requests away, loses answers or sends them twice for a while.

    `faults` are fields of `standins.platformengine.Faults`.
    """

    upstream: str
    faults: dict[str, object]


@attrs.frozen(kw_only=True)
class UpstreamSuspended:
    """An upstream stands still and goes on later, with all that came meanwhile."""

    upstream: str


@attrs.frozen(kw_only=True)
class StoreTurnsAway:
    """The store answers some entries that it is down."""

    entries: tuple[str, ...]


@attrs.frozen(kw_only=True)
class OddRecord:
    """Another writer leaves a record in a topic of the store, and drops it later."""

    topic: str
    key: bytes
    value: bytes = attrs.field(repr=lambda value: repr(value[:40]))


Action = (
    EntryKilled
    | VersionChanged
    | EntryStopped
    | ClientsCrowd
    | EntryPaused
    | EntryReloaded
    | StoreFails
    | StoreForgets
    | StoreGoesBack
    | LinkFails
    | UpstreamFails
    | AnswersUnframed
    | AnswersEndless
    | UpstreamSilent
    | UpstreamLeaves
    | LimitNamed
    | PauseAsked
    | LeavingSaid
    | ContentCrashes
    | ConnectionsShifted
    | VersionPublished
    | KeyRevoked
    | UpstreamInTrouble
    | UpstreamSuspended
    | StoreTurnsAway
    | OddRecord
)


@attrs.frozen(kw_only=True)
class Event:
    """An action that begins at `at_s` and is undone `length_s` later."""

    at_s: float
    length_s: float
    action: Action
