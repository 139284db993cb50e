"""One seed: the processes, the schedule as it is played, and what was seen."""

import contextlib
import functools
import heapq
import itertools
import json
import os
import pathlib
import shutil
import signal
import threading
import time
from collections import Counter
from collections.abc import Callable
from random import Random

import attrs
import urllib3

from soak import clientcrowds, schedule, truth
from soak.actions import begin
from soak.callers import (
    REVOKED_KEY,
    SHARED_PART,
    Callers,
    parts_headers,
    version_path,
)
from soak.checks import breaches, summary
from soak.events import FAULTS_S, ClientsCrowd, Event
from soak.record import GRACE_S, Published, Record, Span
from soak.schedule import store_link
from soak.sizes import size_of
from soak.upstreams import HEALTHY, UpstreamFaults
from standins.clientcrowd import ClientCrowd
from standins.platformdeployment import (
    KEY,
    PlatformDeployment,
    configuration,
    route,
)
from standins.processes import Link, NotReached, Stage, StandIn, wait_until

LOGS = pathlib.Path("out/soak")
# Time after the last fault in which everything must serve again, in seconds.
RECOVERY_S = 12.0
# Calm at the end, in seconds, so that late runs and answers are seen.
SETTLE_S = 2.0
# Time after SIGTERM in which an entry must have ended, in seconds: the grace time of
# its settings and one more.
STOP_S = GRACE_S + 1.0
# Time in which a started entry handles SIGHUP, in seconds; alone it takes 0.04 s.
SIGNAL_HANDLED_S = 2.0
SIGNAL_POLL_S = 0.01
# Reads from before this offset fail: no topic here ever gets so long.
BEYOND_ALL_OFFSETS = 10**9
# Time after which upstreams write their records once more, in seconds, as they do all
# the time on the platform.
HEARTBEAT_S = 1.2
# Events after which a crash cuts a stream within the next one.
CRASH_AFTER_EVENTS = 2
# Content that crashes model upstreams, the path on which it is sent, the time until
# another upstream comes in place of one that has crashed, and until the record of that
# lapses, in seconds.
MARKER = "poison"
BAD_PART = "bad1"
CRASHING_PATH = "/stream-once/crashing"
CRASHED_S = 0.7
LAPSE_S = (0.0, 2.5)
# The software versions of model upstreams at first.
SOFTWARE = {"model-1": "v1", "model-2": "v1", "model-3": "v2"}
# Added to the id of an upstream that has replaced another one.
REPLACEMENT = "-2"


@attrs.frozen(kw_only=True)
class Outcome:
    """What one seed came to: breaches of promises and what callers got."""

    seed: int
    breaches: tuple[str, ...]
    answers: dict[str, int]


class Soak:
    """One seed's run, with the log files of all processes in `directory`."""

    def __init__(self, *, seed: int, directory: pathlib.Path):
        self._seed = seed
        self._size = size_of(seed)
        self._stage = Stage(directory=directory)
        self._links: dict[str, Link] = {}
        self._versions_s: dict[int, float] = {}
        self._versions_sent_s: dict[int, float] = {}
        self._newest_content: dict = {}
        self._keys = [KEY, REVOKED_KEY]
        self._revoked_s = float("inf")
        self._disturbed: list[Span] = []
        self._stops: list[Span] = []
        self._silences: list[Span] = []
        self._leaving: list[Span] = []
        self._leaving_said: list[Span] = []
        self._leaves: Counter[str] = Counter()
        self._software = dict(SOFTWARE)
        # The upstreams that were replaced, and what was added to their ids.
        self._incarnations: dict[str, str] = {}
        self._stopping: dict[str, float] = {}
        self._killed: set[str] = set()
        self._ended: list[str] = []
        self._crashed: set[str] = set()
        self._seen_alive_s: dict[str, float] = {}
        self._crashes_s: list[float] = []
        self._faults: UpstreamFaults | None = None
        self._crashes_by_part = False
        self._shifts: list[Span] = []
        self._same_address = True
        self._proxy: StandIn | None = None
        self._platform: PlatformDeployment | None = None
        self._callers: Callers | None = None
        # What is still to be done: time, a number that keeps the order, the work.
        self._due: list[tuple[float, int, Callable[[], None]]] = []
        self._numbers = itertools.count()

    def run(self) -> Outcome:
        """Play the seed and check what was seen; ends all its processes."""
        with self._stage:
            self._start()
            self._callers.start()
            try:
                self._play(schedule.draw(self._seed))
                found = self._recovered()
                time.sleep(SETTLE_S)
                found += self._memory_breaches()
            finally:
                self._callers.stop()
            record = self._record()
        return Outcome(
            seed=self._seed,
            breaches=(*breaches(record), *found, *self._ended),
            answers=summary(record),
        )

    # Start and end

    def _start(self) -> None:
        platform = self._platform = PlatformDeployment(stage=self._stage)
        self._faults = UpstreamFaults(platform)
        proxy = self._proxy = self._stage.proxy()
        for name in self._size.upstreams:
            standin = platform.start_upstream(name)
            standin.set_faults(**HEALTHY)
            if name in self._size.models:
                standin.set_faults(**self._model_faults(name))
            self._links[name] = self._stage.link(proxy, name, standin.address)
            platform.reached_at[name] = self._links[name].address
            self._register(name)
        self.publish()
        for name in self._size.entries:
            link = store_link(name)
            self._links[link] = self._stage.link(proxy, link, platform.store.address)
            store_address = self._links[link].address
            platform.entry(
                name,
                grace_s=GRACE_S,
                store_address=store_address,
                more_settings={"limits.memory-mb": clientcrowds.MEMORY_MB},
            )
        self._callers = Callers(
            platform=platform,
            seed=self._seed,
            newest_version=self._version,
            entries=self._size.entries,
            count=self._size.callers,
        )

    def _recovered(self) -> list[str]:
        """Return a line if not every entry is ready again in time."""
        until_s = time.monotonic() + RECOVERY_S
        self._do_due(until_s, wait=lambda: bool(self._stopping))
        try:
            for name in self._size.entries:
                entry = self._platform.entries[name]
                left_s = max(0.1, until_s - time.monotonic())
                wait_until(entry.ready, left_s, f"{name} is ready again")
        except NotReached as error:
            return [f"recovered: {error}"]
        return []

    def _memory_breaches(self) -> list[str]:
        entries = self._platform.entries.items()
        found = (clientcrowds.memory_breach(n, e.process.pid) for n, e in entries)
        return [line for line in found if line is not None]

    def _record(self) -> Record:
        platform, upstreams = self._platform, self._size.upstreams
        return Record(
            entries=self._size.entries,
            models=self._size.models,
            desks=self._size.desks,
            sent=tuple(self._callers.sent),
            runs=truth.runs(platform, upstreams, without=CRASHING_PATH),
            arrivals=truth.arrivals(platform, upstreams),
            refusals=truth.refusals(platform, upstreams),
            crashes_s=tuple(self._crashes_s),
            crashes_by_part=self._crashes_by_part,
            shifts=tuple(self._shifts),
            leaving_said=tuple(self._leaving_said),
            disturbed=tuple(self._disturbed),
            stops=tuple(self._stops),
            silences=tuple(self._silences),
            published=Published(
                versions_s=self._versions_s,
                versions_sent_s=self._versions_sent_s,
                revoked_s=self._revoked_s,
                leaving=tuple(self._leaving),
            ),
        )

    # The schedule

    def _play(self, events: list[Event]) -> None:
        began_s = time.monotonic()
        for event in events:
            self._at(began_s + event.at_s, functools.partial(self._begin, event))
        self._do_due(began_s + FAULTS_S, wait=lambda: True)
        self._do_due(float("inf"), wait=lambda: bool(self._due))

    def _at(self, at_s: float, work: Callable[[], None]) -> None:
        heapq.heappush(self._due, (at_s, next(self._numbers), work))

    def _next_due(self) -> None:
        _, _, work = heapq.heappop(self._due)
        work()

    def _do_due(self, until_s: float, *, wait: Callable[[], bool]) -> None:
        while time.monotonic() < until_s and wait():
            self._reap()
            self._reap_upstreams()
            if self._due and self._due[0][0] <= time.monotonic():
                self._next_due()
            else:
                time.sleep(0.02)

    def _begin(self, event: Event) -> None:
        undo = begin(event.action, self)
        if undo is not None:
            self._at(time.monotonic() + event.length_s, undo)

    def _reap(self) -> None:
        """Start the entries again that have ended, as the platform does."""
        for name, entry in self._platform.entries.items():
            process = entry.process
            expected = name in self._stopping or name in self._killed
            if not process.alive() and not expected:
                self._ended.append(f"ended: {name}, status {process.status}")
                self._platform.start_again(name)
        for name, since_s in list(self._stopping.items()):
            if not self._platform.entries[name].process.alive():
                now_s = time.monotonic()
                self._stops.append(Span(subject=name, from_s=since_s, to_s=now_s))
                del self._stopping[name]
                self._platform.start_again(name)
            elif time.monotonic() > since_s + STOP_S:
                self._platform.entries[name].process.kill()

    def _version(self) -> int:
        return max(self._versions_s)

    def publish(self) -> None:
        """Publish a version with a route that only it has."""
        version = max(self._versions_s, default=0) + 1
        content = configuration(version)
        only_here = route(f"version-{version}", "idempotent", "desk")
        content["routes"].append(only_here | {"path-prefix": version_path(version)})
        content["tenants"] = [
            {"name": key, "api-keys": [key], "priority": 1} for key in self._keys
        ]
        self._newest_content = content
        self._versions_sent_s[version] = time.monotonic()
        self._platform.configure(content)
        self._versions_s[version] = time.monotonic()

    def _disturb(
        self, subject: str, *, from_s: float | None = None
    ) -> Callable[[], None]:
        """Note that something is disturbed; return what notes the end of it."""
        from_s = time.monotonic() if from_s is None else from_s
        open_ended = Span(subject=subject, from_s=from_s, to_s=float("inf"))
        self._disturbed.append(open_ended)

        def end() -> None:
            self._disturbed.remove(open_ended)
            self._disturbed.append(attrs.evolve(open_ended, to_s=time.monotonic()))

        return end

    # Actions

    def kill(self, names: tuple[str, ...]) -> Callable[[], None]:
        alive = [
            name
            for name in names
            if name not in self._stopping
            and self._platform.entries[name].process.alive()
        ]
        ends = [self._disturb(name) for name in alive]
        for name in alive:
            self._killed.add(name)
            self._platform.entries[name].process.kill()

        def undo() -> None:
            for name in alive:
                self._platform.start_again(name)
                self._killed.remove(name)
            for end in ends:
                end()

        return undo

    def stop(self, name: str) -> None:
        process = self._platform.entries[name].process
        if name not in self._stopping and process.alive():
            self._stopping[name] = time.monotonic()
            process.terminate()

    def pause(self, name: str) -> Callable[[], None]:
        process = self._platform.entries[name].process
        end = self._disturb(name)
        process.pause()

        def undo() -> None:
            process.resume()
            end()

        return undo

    def crowd(self, event: ClientsCrowd) -> Callable[[], None]:
        """Let clients hold what an entry has, whatever becomes of it meanwhile."""
        crowd = ClientCrowd(
            port=getattr(self._platform.entries[event.entry], event.port),
            count=event.count,
            behaviour=clientcrowds.BEHAVIOURS[event.behaviour],
        )
        return crowd.__enter__().close

    def reload(self, name: str) -> None:
        process = self._platform.entries[name].process
        if not process.alive():
            return
        # Earlier the signal ends the process whatever the program does; so it comes at
        # the first moment at which it can be survived.
        give_up_s = time.monotonic() + SIGNAL_HANDLED_S
        while not process.survives(signal.SIGHUP) and time.monotonic() < give_up_s:
            time.sleep(SIGNAL_POLL_S)
        # One that is paused while it starts gets none.
        if process.survives(signal.SIGHUP):
            os.kill(process.pid, signal.SIGHUP)

    def fail_store(self, **faults) -> Callable[[], None]:
        end = self._disturb("store")
        self._platform.store.set_faults(**faults)

        def undo() -> None:
            self._platform.store.set_faults(mode="up", delay_s=0.0)
            end()

        return undo

    def turn_away(self, entries: tuple[str, ...]) -> Callable[[], None]:
        """Have the store answer some entries that it is down."""
        end = self._disturb("store")
        addresses = [self._links[store_link(name)].address for name in entries]
        self._platform.store.set_faults(turned_away=addresses)

        def undo() -> None:
            self._platform.store.set_faults(turned_away=[])
            end()

        return undo

    def forget(self) -> Callable[[], None]:
        end = self._disturb("store")
        self._platform.store.set_faults(forgotten_before=BEYOND_ALL_OFFSETS)

        def undo() -> None:
            self._platform.store.set_faults(forgotten_before=0)
            end()

        return undo

    def go_back(self, away_s: float, again_s: float) -> Callable[[], None]:
        """Have the store keep a copy, and go back to it in the end."""
        self._platform.control_store("copy")

        def undo() -> None:
            end = self._disturb("store")
            self._platform.store.set_faults(mode="reset")
            self._at(time.monotonic() + away_s, lambda: come_back(end))

        def come_back(end: Callable[[], None]) -> None:
            self._platform.control_store("go-back")
            self._platform.store.set_faults(mode="up")
            self._at(time.monotonic() + again_s, lambda: write_again(end))

        def write_again(end: Callable[[], None]) -> None:
            self._platform.configure(self._newest_content)
            self._register_all()
            end()
            self._at(time.monotonic() + HEARTBEAT_S, self._register_all)

        return undo

    def _register_all(self) -> None:
        for name in self._size.upstreams:
            if name not in self._crashed:
                state = "draining" if self._leaves[name] else "ready"
                self._register(name, state=state)

    def fail_link(self, name: str, faults: dict) -> Callable[[], None]:
        subject = name if name in self._size.upstreams else name.removeprefix("store-")
        end = self._disturb(subject)
        self._links[name].set_faults(**faults)

        def undo() -> None:
            self._links[name].heal()
            end()

        return undo

    def fail_upstream(self, name: str, faults: dict) -> Callable[[], None]:
        end = self._disturb(name)
        self._faults.set(name, **faults)

        def undo() -> None:
            self._faults.set(name, **HEALTHY)
            end()

        return undo

    def trouble(self, name: str, faults: dict) -> Callable[[], None]:
        """Have an upstream be in trouble with these faults."""
        end = self._disturb(name)
        self._faults.set(name, **faults)

        def undo() -> None:
            self._faults.cure(name, faults)
            end()

        return undo

    def suspend(self, name: str) -> Callable[[], None] | None:
        """Have an upstream stand still, which runs what has come meanwhile later."""
        end = self._disturb(name)
        if not self._faults.suspend(name):
            end()
            return None

        def undo() -> None:
            self._faults.resume(name)
            end()

        return undo

    def end_with_connections(self, name: str, *, crashes: bool) -> Callable[[], None]:
        """Have an upstream's answers end with their connections, some too early."""
        end = self._disturb(name) if crashes else lambda: None
        cut_after_events = CRASH_AFTER_EVENTS if crashes else -1
        self._faults.set(name, framing="connection", cut_after_events=cut_after_events)

        def undo() -> None:
            self._faults.set(name, framing="", cut_after_events=-1)
            end()

        return undo

    def silence(self, name: str) -> Callable[[], None]:
        """Have an upstream hold its streams; it is at work, so nothing is disturbed."""
        from_s = time.monotonic()
        self._faults.set(name, silent=True)

        def undo() -> None:
            self._faults.set(name, silent=False)
            span = Span(subject=name, from_s=from_s, to_s=time.monotonic())
            self._silences.append(span)

        return undo

    def leave(self, name: str) -> Callable[[], None]:
        """Have an upstream say that it leaves, until all of its leaves have ended.

        Two may overlap. Registered as ready by the end of one, the upstream would get
        requests while the record has it leaving by the other.
        """
        self._leaves[name] += 1
        self._register(name, state="draining")
        from_s = time.monotonic()

        def undo() -> None:
            span = Span(subject=name, from_s=from_s, to_s=time.monotonic())
            self._leaving.append(span)
            self._leaves[name] -= 1
            if not self._leaves[name]:
                self._register(name)

        return undo

    def _register(self, name: str, *, state: str = "ready") -> None:
        service = "model" if name in self._size.models else "desk"
        incarnation = self._incarnations.get(name, "")
        self._platform.register(
            name,
            service,
            state=state,
            version=self._software.get(name, "v1"),
            incarnation=incarnation,
        )

    def leave_record(self, topic: str, key: bytes, value: bytes) -> Callable[[], None]:
        """Write a record as nobody of the platform does; it excuses nothing."""
        self._platform.put_bytes(topic, key, value)
        return lambda: self._platform.put_bytes(topic, key, b"")

    def name_limit(self, name: str, per_s: float) -> Callable[[], None]:
        """Have an upstream name a limit."""
        self._faults.set(name, limit=str(per_s))
        return lambda: self._faults.set(name, limit="")

    def ask_for_pause(self, name: str, pause_s: float) -> Callable[[], None]:
        """Have an upstream refuse all requests and ask for a pause."""
        self._faults.set(name, retry_after=str(pause_s))
        return lambda: self._faults.set(name, retry_after="")

    def say_leaving(self, name: str) -> Callable[[], None]:
        """Have an upstream say that it leaves, and another one replace it in the end.

        The new one takes its address at once, so that some requests still name the old
        one.
        """
        self._faults.set(name, leaving=True)
        from_s = time.monotonic()

        def undo() -> None:
            span = Span(subject=name, from_s=from_s, to_s=time.monotonic())
            self._leaving_said.append(span)
            self._faults.set(name, leaving=False)
            if self._platform.upstreams[name].process.alive():
                self._replace(name)

        return undo

    def change_version(self, names: tuple[str, ...], software: str) -> None:
        """Have upstreams of a software version take the place of others.

        Streams that run go on at the version that they have.
        """
        for name in names:
            self._software[name] = software
            if name not in self._crashed:
                self._replace(name, software=software)

    def shift_connections(self, entry: str) -> Callable[[], None]:
        """Have most new connections come to an entry, until they go to another."""
        self._callers.favourite = entry
        from_s = time.monotonic()

        def undo() -> None:
            if self._callers.favourite == entry:
                self._callers.favourite = None
            span = Span(subject=entry, from_s=from_s, to_s=time.monotonic())
            self._shifts.append(span)

        return undo

    def crash(
        self, gap_s: float, *, same_address: bool, by_part: bool
    ) -> Callable[[], None]:
        """Send content that crashes upstreams through all entries until the end."""
        self._same_address, self._crashes_by_part = same_address, by_part
        numbers = itertools.count()
        is_over = threading.Event()
        random = Random(f"{self._seed}/content")

        def send() -> None:
            while not is_over.wait(gap_s):
                body, headers = MARKER.encode(), {}
                if by_part:
                    number = next(numbers)
                    body = f"prompt {number}".encode()
                    shared = f"{SHARED_PART},{BAD_PART}"
                    headers = parts_headers(shared, f"{number:x}")
                with contextlib.suppress(urllib3.exceptions.HTTPError):
                    self._platform.send(
                        random.choice(self._size.entries),
                        CRASHING_PATH,
                        body=body,
                        headers=headers,
                    )

        sender = threading.Thread(target=send, daemon=True)
        sender.start()

        def undo() -> None:
            is_over.set()
            sender.join()

        return undo

    def _reap_upstreams(self) -> None:
        """Note the upstreams that have crashed, and start others in their place."""
        for name in self._size.models:
            looked_s = time.monotonic()
            if self._platform.upstreams[name].process.alive():
                self._seen_alive_s[name] = looked_s
                continue
            if name in self._crashed:
                continue
            self._crashed.add(name)
            self._crashes_s.append(time.monotonic())
            # What it broke off may have ended before the crash was noticed.
            end = self._disturb(name, from_s=self._seen_alive_s[name])
            again = functools.partial(self._start_instead, name, end)
            self._at(time.monotonic() + CRASHED_S, again)

    def _start_instead(self, name: str, end: Callable[[], None]) -> None:
        """Start an upstream under another id in place of one that has crashed."""
        port = self._platform.upstreams[name].port if self._same_address else None
        # It never has the id of the one before, which requests may still name.
        faults = {"incarnation": self._next_incarnation(name)}
        faults |= HEALTHY | self._model_faults(name)
        standin = self._platform.start_upstream(
            name, "--faults", json.dumps(faults), port=port
        )
        if not self._same_address:
            link = self._stage.link(
                self._proxy, f"{name}{standin.port}", standin.address
            )
            self._links[name] = link
            self._platform.reached_at[name] = link.address
        self._replace(name)
        self._crashed.remove(name)
        end()

    def _next_incarnation(self, name: str) -> str:
        return self._incarnations.get(name, "") + REPLACEMENT

    def _replace(self, name: str, **faults) -> None:
        """Register an upstream under another id; the record before lapses.

        `faults` change with the id, so that no request to the one before meets them.
        """
        before = name + self._incarnations.get(name, "")
        self._incarnations[name] = self._next_incarnation(name)
        self._faults.set(name, incarnation=self._incarnations[name], **faults)
        self._register(name, state="draining" if self._leaves[name] else "ready")
        lapse = functools.partial(self._platform.unregister, before)
        self._at(time.monotonic() + Random(before).uniform(*LAPSE_S), lapse)

    def _model_faults(self, name: str) -> dict:
        return {
            "software": self._software.get(name, "v1"),
            "crash_marker": MARKER,
            "crash_part": BAD_PART,
        }

    def revoke(self) -> None:
        self._keys.remove(REVOKED_KEY)
        self.publish()
        self._revoked_s = time.monotonic()


def play(seed: int) -> Outcome:
    """Play one seed; its logs stay only if it broke a promise."""
    directory = LOGS / str(seed)
    shutil.rmtree(directory, ignore_errors=True)
    directory.mkdir(parents=True)
    outcome = Soak(seed=seed, directory=directory).run()
    if not outcome.breaches:
        shutil.rmtree(directory)
    return outcome
