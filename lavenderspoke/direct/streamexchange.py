"""Tells other entries at which version streams began, and asks them.

While a service has several versions, an entry tells some others before the first event
goes out, and waits for their confirmations, so that its death doesn't take the
knowledge with it. Otherwise its neighbours learn with its next state. An entry that
doesn't know a stream asks all others: it may have started since, or missed a message.
Soon after its start it first reads what the platform's store has of streams, since
all others may have ended too.

Calls block the thread of the request for a short time at most.
"""

import enum
import functools
import itertools
import math
import threading
from collections.abc import Callable, Iterable

import attrs
import logbook

from lavenderspoke.clock import Clock
from lavenderspoke.direct.messages import (
    StreamMessage,
    StreamsBegan,
    StreamsConfirmed,
    VersionsAsked,
    VersionsTold,
)
from lavenderspoke.direct.sharing import EntryLocation
from lavenderspoke.direct.streamjournal import StreamRow
from lavenderspoke.direct.streamversions import KEPT_S, TOLD_AGAIN_S, StreamVersions
from lavenderspoke.model import InstanceId
from lavenderspoke.observing import signals
from lavenderspoke.observing.metrics import Metrics

# Number of entries that are told before the first event goes out.
TOLD_ENTRIES = 2
# How long the first event waits for their confirmations, in seconds. It then goes out
# without them: a caller must not be kept waiting by an entry that has ended.
CONFIRM_TIMEOUT_S = 0.06
# How long an entry waits for others that know a stream, in seconds; its caller would
# otherwise be refused.
ASK_TIMEOUT_S = 0.5
# The same while an entry has heard nobody yet, as after its start, until its link is
# loaded: below the two seconds after which callers leave.
ASK_UNHEARD_TIMEOUT_S = 1.8
# Time after which a question is sent again, in seconds: the link to the others may not
# be up yet at a start.
ASK_AGAIN_S = 0.1
# Time after an entry's start in which it waits for all others that it knows of.
ALL_HEARD_S = 3.0
# How long a stream that is taken up waits for the store to be read anew, in seconds.
READ_TIMEOUT_S = 1.0
STREAM_VERSIONS = "stream_versions"
# Counts streams that were taken up while the store couldn't be read in time.
NOT_READ = "not_read"
# Counts first events that went out before the store had their version.
UNRECORDED = "unrecorded"

log = logbook.Logger(__name__)


class Told(enum.Enum):
    """What came of telling others of a stream; also the label of its counter."""

    CONFIRMED = "confirmed"
    UNCONFIRMED = "unconfirmed"
    NO_OTHERS = "no_others"
    NOT_NEEDED = "not_needed"


class Source(enum.Enum):
    """How a stream's version was found; also the label of its counter."""

    KNOWN = "known"
    ONLY_ONE = "only_one"  # no other version has served lately
    RECORDED = "recorded"  # in the platform's store
    ASKED = "asked"
    UNKNOWN = "unknown"


@attrs.frozen(kw_only=True)
class StreamOrigin:
    """The service and the version at which a stream that is taken up began.

    >>> str(StreamOrigin(service="model", version="v1", source=Source.ASKED))
    'v1, asked'
    """

    service: str
    version: str
    source: Source

    def __str__(self) -> str:
        return f"{self.version}, {self.source.value}"


class _Call:
    """A message to several entries, and which of them have replied."""

    def __init__(self, recipients: Iterable[str]):
        self.replied_names: set[str] = set()
        self.done = threading.Event()
        self._expected = set(recipients)

    def replied(self, name: str, *, is_final: bool = False) -> None:
        self.replied_names.add(name)
        if is_final or self._expected <= self.replied_names:
            self.done.set()


class StreamExchange:
    """Exchanges the versions of streams with the other entries; thread-safe.

    `live()` returns the other entries that are heard, and `known()` all that may be
    alive.
    """

    def __init__(
        self,
        *,
        versions: StreamVersions,
        data_centre: str,
        live: Callable[[], dict[str, EntryLocation]],
        known: Callable[[], dict[str, EntryLocation]],
        clock: Clock,
        metrics: Metrics,
    ):
        self.send: Callable[[str, StreamMessage], None] = lambda name, message: None
        self.find_recorded: Callable[[str, float], StreamRow | None] = (
            lambda attempt_id, until_s: None
        )
        self._versions = versions
        self._data_centre = data_centre
        self._live = live
        self._known = known
        self._clock = clock
        self._started_s = clock.monotonic_s()
        self._metrics = metrics
        self._numbers = itertools.count(1)
        self._calls: dict[int, _Call] = {}

    def stream_began(self, attempt_id: str, service: str, version: str) -> Told:
        """Tell others of a stream before its first event goes out."""
        row = (attempt_id, service, version)
        self._versions.record(row)
        if not self._versions.records.wait_recorded(service, version):
            self._metrics.count(STREAM_VERSIONS, UNRECORDED)
        if self._versions.only_version(service) is not None:
            told = Told.NOT_NEEDED
        else:
            told = self._tell(row)
        self._metrics.count(STREAM_VERSIONS, told.value)
        return told

    def stream_goes_on(
        self, attempt_id: str, service: str, version: str, *, told_s: float
    ) -> float:
        """Tell others again of a long stream; return when they were told last."""
        now_s = self._clock.monotonic_s()
        if now_s < told_s + TOLD_AGAIN_S:
            return told_s
        self._versions.record((attempt_id, service, version))
        return now_s

    def find_origin(
        self, attempt_id: str | None, service: str, *, until_s: float = math.inf
    ) -> StreamOrigin | None:
        """Return where a stream that its caller takes up began, None if nobody knows.

        Other entries are waited for until then at the latest, in seconds on the clock.

        Without any knowledge of the stream it must have been at `service`, if only one
        version of that has served lately.
        """
        origin = self._find(attempt_id, service, until_s)
        source = Source.UNKNOWN if origin is None else origin.source
        self._metrics.count(STREAM_VERSIONS, source.value)
        return origin

    @functools.singledispatchmethod
    def receive(self, message: StreamMessage, sender: InstanceId) -> None:
        """Handle a message of another entry."""
        raise TypeError(f"not a message about streams: {type(message).__name__}")

    @receive.register
    def _(self, message: StreamsBegan, sender: InstanceId) -> None:
        self._versions.merge(message.rows)
        self.send(sender.name, StreamsConfirmed(number=message.number))

    @receive.register
    def _(self, message: StreamsConfirmed, sender: InstanceId) -> None:
        call = self._calls.get(message.number)
        if call is not None:
            call.replied(sender.name)

    @receive.register
    def _(self, message: VersionsAsked, sender: InstanceId) -> None:
        rows = self._versions.rows(message.attempts)
        self.send(sender.name, VersionsTold(number=message.number, rows=rows))

    @receive.register
    def _(self, message: VersionsTold, sender: InstanceId) -> None:
        self._versions.merge(message.rows)
        call = self._calls.get(message.number)
        if call is not None:
            call.replied(sender.name, is_final=bool(message.rows))

    def _find(
        self, attempt_id: str | None, service: str, until_s: float
    ) -> StreamOrigin | None:
        if origin := self._origin_of(attempt_id, Source.KNOWN):
            return origin
        if (version := self._only_version(service, until_s)) is not None:
            return StreamOrigin(
                service=service, version=version, source=Source.ONLY_ONE
            )
        if attempt_id is None:
            return None
        if self._clock.monotonic_s() < self._started_s + KEPT_S:
            if row := self.find_recorded(attempt_id, until_s):
                self._versions.merge((row,))
            if origin := self._origin_of(attempt_id, Source.RECORDED):
                return origin
        self._ask(attempt_id, until_s)
        return self._origin_of(attempt_id, Source.ASKED)

    def _only_version(self, service: str, until_s: float) -> str | None:
        """Return the version that began all streams until now, if only one did.

        What was read before this stream was taken up can't tell.
        """
        if self._versions.has_several(service):
            return None
        now_s = self._clock.monotonic_s()
        if not self._versions.reads.wait(now_s, min(until_s, now_s + READ_TIMEOUT_S)):
            self._metrics.count(STREAM_VERSIONS, NOT_READ)
            log.warning(signals.VERSIONS_NOT_READ, service=service)
            return None
        return self._versions.only_version(service)

    def _origin_of(self, attempt_id: str | None, source: Source) -> StreamOrigin | None:
        row = None if attempt_id is None else self._versions.find(attempt_id)
        if row is None:
            return None
        _, service, version = row
        return StreamOrigin(service=service, version=version, source=source)

    def _tell(self, row: StreamRow) -> Told:
        recipients = self._told_entries(row[0])
        if not recipients:
            return Told.NO_OTHERS
        number, call = self._new_call(recipients)
        try:
            for name in recipients:
                self.send(name, StreamsBegan(number=number, rows=(row,)))
            is_confirmed = call.done.wait(CONFIRM_TIMEOUT_S)
        finally:
            del self._calls[number]
        return Told.CONFIRMED if is_confirmed else Told.UNCONFIRMED

    def _ask(self, attempt_id: str, until_s: float) -> None:
        """Ask all other entries of a stream until one knows it, or none does."""
        known = self._known()
        if not known:
            return
        now_s = self._clock.monotonic_s()
        # Soon after a start an entry hasn't heard all those that are alive.
        is_new = now_s < self._started_s + ALL_HEARD_S
        live = self._live()
        number, call = self._new_call(known if is_new else live or known)
        timeout_s = ASK_TIMEOUT_S if live else ASK_UNHEARD_TIMEOUT_S
        give_up_s = min(until_s, now_s + timeout_s)
        try:
            while self._clock.monotonic_s() < give_up_s:
                for name in sorted(known.keys() - call.replied_names):
                    message = VersionsAsked(number=number, attempts=(attempt_id,))
                    self.send(name, message)
                if call.done.wait(ASK_AGAIN_S):
                    return
        finally:
            del self._calls[number]

    def _new_call(self, recipients: Iterable[str]) -> tuple[int, _Call]:
        number, call = next(self._numbers), _Call(recipients)
        self._calls[number] = call
        return number, call

    def _told_entries(self, attempt_id: str) -> list[str]:
        """Return the entries to be told of a stream, some in other data centres.

        They differ from stream to stream.
        """
        ranked = sorted(
            self._live().items(), key=lambda item: hash((attempt_id, item[0]))
        )
        elsewhere = [n for n, each in ranked if each.data_centre != self._data_centre]
        names = elsewhere[:1] + [name for name, _ in ranked]
        return list(dict.fromkeys(names))[:TOLD_ENTRIES]
