"""Threads that follow the platform's store and tell the entry what changed.

A feed reads on from where it was. When the records it wants are gone, it takes
the newest record of each key and goes on from there.
"""

import json
import threading
from collections.abc import Callable

import logbook
from result import Err

from lavenderspoke.clock import Clock
from lavenderspoke.direct.catalog import Catalog
from lavenderspoke.direct.inforce import InForce
from lavenderspoke.direct.instances import Upstream
from lavenderspoke.platform import configuration
from lavenderspoke.platform.registry import Registry
from lavenderspoke.platform.store import Forgotten, Records, Store, StoreError

CONFIGURATION_TOPIC = "keyed.op"
CONFIGURATION_KEY = "config"
UPSTREAMS_TOPIC = "keyed.servers"
ENTRIES_TOPIC = "keyed.lavenderspoke-entries"

# How long the store may hold a read of the configuration, in seconds. Two such
# reads and one that is lost must fit into the time for which keys are honoured.
CONFIGURATION_WAIT_S = 1.5
# Time between two reads of the upstreams, as a part of the time in which one that
# leaves must get its last request: one read, its answer and a request under way
# fit in. A read that waits would return at each heartbeat of each upstream, and
# calls are paid for: twice as many reads bring nothing that a caller notices.
UPSTREAMS_PERIOD_PART = 0.5
# Time between two reads of the entries' records, in seconds: they change only
# when an entry starts, and one that starts makes itself known to the others.
ENTRIES_PERIOD_S = 8.0
# Pause after a call that failed, in seconds.
RETRY_PAUSE_S = 0.2

log = logbook.Logger(__name__)


class Feed:
    """A feed follows one topic on a thread of its own."""

    topic = ""
    wait_s = 0.0
    period_s = 0.0

    def __init__(self, *, store: Store, clock: Clock):
        self._store = store
        self._clock = clock
        self._next_offset: int | None = None
        self._failing = False
        self._stopping = threading.Event()
        self._thread: threading.Thread | None = None

    def start(self) -> None:
        """Begin to follow."""
        self._stopping.clear()
        self._thread = threading.Thread(target=self._run, name=self.topic, daemon=True)
        self._thread.start()

    def stop(self) -> None:
        """Stop after the call under way, without waiting for it."""
        self._stopping.set()

    def alive(self) -> bool:
        """Return whether the thread runs, or has ended because it was told to."""
        if self._stopping.is_set():
            return True
        return self._thread is not None and self._thread.is_alive()

    def poll(self) -> bool:
        """Read once and pass on what came; return whether the store answered."""
        sent_s = self._clock.monotonic_s()
        if self._next_offset is None:
            read = self._store.newest(self.topic)
        else:
            read = self._store.read(self.topic, self._next_offset, wait_s=self.wait_s)
        if isinstance(read, Err):
            self._failed(read.err_value)
            return False
        self._answered()
        content = read.ok_value
        if isinstance(content, Forgotten):
            log.info("records are gone", topic=self.topic, offset=self._next_offset)
            self._next_offset = None
            return self.poll()
        if content.skipped:
            log.warning("records skipped", topic=self.topic, count=content.skipped)
        whole = self._next_offset is None
        self._next_offset = content.next_offset
        self.take(content, whole=whole, sent_s=sent_s)
        return True

    def take(self, content: Records, *, whole: bool, sent_s: float) -> None:
        """Take records in; `whole` when they are the newest of every key."""
        raise NotImplementedError

    def failed(self) -> None:
        """The store couldn't be read."""

    def _run(self) -> None:
        while not self._stopping.is_set():
            try:
                answered = self.poll()
            except Exception:
                log.exception("feed failed", topic=self.topic)
                answered = False
            pause_s = self.period_s if answered else max(RETRY_PAUSE_S, self.period_s)
            if pause_s:
                self._stopping.wait(pause_s)

    def _failed(self, error: StoreError) -> None:
        if not self._failing:
            log.warning("store lost", topic=self.topic, error=error.detail)
        self._failing = True
        self.failed()

    def _answered(self) -> None:
        if self._failing:
            log.info("store regained", topic=self.topic)
        self._failing = False


class ConfigurationFeed(Feed):
    """Follows the operators' configuration."""

    topic = CONFIGURATION_TOPIC
    wait_s = CONFIGURATION_WAIT_S

    def __init__(
        self,
        *,
        store: Store,
        clock: Clock,
        in_force: InForce,
        on_change: Callable[[Catalog], None],
    ):
        super().__init__(store=store, clock=clock)
        self._in_force = in_force
        self._on_change = on_change

    def take(self, content: Records, *, whole: bool, sent_s: float) -> None:
        values = [r.value for r in content.records if r.key == CONFIGURATION_KEY]
        if not values:
            if self._in_force.catalog is not None and not whole:
                self._in_force.confirm(sent_s)
            elif self._in_force.catalog is None:
                self._stopping.wait(RETRY_PAUSE_S)
            return
        catalogs = []
        for value in values:
            decoded = configuration.decode(value or b"")
            if isinstance(decoded, Err):
                # Not confirmed either: it may take keys away.
                log.error("configuration not understood", error=decoded.err_value)
                return
            catalogs.append(decoded.ok_value)
        # Of several in one read the highest counts, not the last: an older one
        # that was written again must not hide it.
        catalog = max(catalogs, key=lambda each: each.version)
        if self._in_force.offer(catalog):
            self._on_change(catalog)
        if catalog.version == self._in_force.catalog.version:
            self._in_force.confirm(sent_s)


class UpstreamsFeed(Feed):
    """Follows the upstreams that register themselves."""

    topic = UPSTREAMS_TOPIC

    def __init__(
        self,
        *,
        store: Store,
        clock: Clock,
        drain_s: float,
        on_change: Callable[[tuple[Upstream, ...]], None],
    ):
        super().__init__(store=store, clock=clock)
        self.period_s = drain_s * UPSTREAMS_PERIOD_PART
        self._registry = Registry()
        self._on_change = on_change
        self._told: tuple[Upstream, ...] = ()

    def take(self, content: Records, *, whole: bool, sent_s: float) -> None:
        now_s = self._clock.monotonic_s()
        if whole:
            self._registry.replace(content.records, content.next_offset, now_s)
        else:
            self._registry.apply(content.records, now_s)
        self._tell(now_s)

    def failed(self) -> None:
        self._registry.store_failed()

    def _tell(self, now_s: float) -> None:
        upstreams = self._registry.upstreams(now_s)
        if upstreams == self._told:
            return
        before = {each.upstream_id: each for each in self._told}
        after = {each.upstream_id: each for each in upstreams}
        log.info(
            "upstreams changed",
            came=sorted(after.keys() - before.keys()),
            went=sorted(before.keys() - after.keys()),
            leaving=sorted(each.upstream_id for each in upstreams if each.leaving),
        )
        self._told = upstreams
        self._on_change(upstreams)


class EntriesFeed(Feed):
    """Makes this entry known to the others, and them to it."""

    topic = ENTRIES_TOPIC
    period_s = ENTRIES_PERIOD_S

    def __init__(
        self,
        *,
        store: Store,
        clock: Clock,
        name: str,
        address: str,
        on_change: Callable[[dict[str, str]], None],
    ):
        super().__init__(store=store, clock=clock)
        self._name = name
        self._address = address
        self._on_change = on_change
        self._known = False

    def poll(self) -> bool:
        """Write this entry's record until that has worked, then read on."""
        if not self._known:
            value = json.dumps({"address": self._address}).encode()
            appended = self._store.append(self.topic, self._name, value)
            if isinstance(appended, Err):
                self._failed(appended.err_value)
                return False
            self._known = True
        return super().poll()

    def take(self, content: Records, *, whole: bool, sent_s: float) -> None:
        addresses = {}
        for record in content.records:
            if record.value is None:
                continue
            try:
                addresses[record.key] = str(json.loads(record.value)["address"])
            except (LookupError, TypeError, ValueError) as error:
                log.warning("entry's record skipped", key=record.key, error=str(error))
        if addresses:
            self._on_change(addresses)

    def leave(self) -> None:
        """Drop this entry's record; when that fails, its silence tells the others."""
        self._stopping.set()
        left = self._store.append(self.topic, self._name, None)
        if isinstance(left, Err):
            log.info("record not dropped", error=left.err_value.detail)
