"""Callers that send without a pause and remember what they saw."""

import re
import threading
import time
from collections.abc import Callable
from random import Random

import attrs
import urllib3
from urllib3.exceptions import HTTPError

from soak import retries
from soak.events import ENTRIES
from standins.platformdeployment import KEY, Answer, PlatformDeployment

REVOKED_KEY = "key-of-guides"
# Pause between two requests of one caller, in seconds: eight callers then keep
# the twenty places of the upstreams about half taken.
PAUSE_S = (0.0, 0.08)
# Every so many requests a caller opens new connections; until then it uses the
# open ones, also of an entry that is stopping. Every other caller opens none as long as
# it can use the open ones.
RECONNECT_EVERY = 25
# Callers give up after this long, in milliseconds.
DEADLINES_MS = (800, 3000, 5000)
# Times that a caller takes up a stream that broke off.
TAKEN_UP_MAX = 2
EVENT_ID = re.compile(rb"^id: (\d+)$", re.M)
# Prompt and answer, as requests to model engines state them.
TOKENS = "100,20"


# The part with which all prompts begin, and the length of an id of a prompt's own part.
SHARED_PART = "aa"
PART_ID_LENGTH = 16
# Share of new connections that a favoured entry gets.
FAVOURED = 0.85


def parts_headers(shared: str, own: str) -> dict[str, str]:
    """Return the headers about the prompt of a request with these parts.

    >>> parts_headers("aa,bad1", "7f")["X-Prefix-Hash"]
    'aa:60,bad1:60,7f:40'
    """
    parts = [f"{each}:60" for each in shared.split(",")]
    return {"X-Token-Usage": TOKENS, "X-Prefix-Hash": ",".join([*parts, f"{own}:40"])}


@attrs.frozen(kw_only=True)
class Kind:
    """One kind of request: its path, how often it may run, and its method."""

    path: str
    runs_max: int
    method: str = "POST"
    is_stream: bool = False


KINDS = {
    "stream": Kind(path="/stream/", runs_max=2, is_stream=True),
    "stream-once": Kind(path="/stream-once/", runs_max=1, is_stream=True),
    "look": Kind(path="/look/", runs_max=2, method="GET"),
    "pay": Kind(path="/pay/", runs_max=1),
}


@attrs.frozen(kw_only=True)
class Sent:
    """One attempt of a caller; times are on the steady clock, in seconds.

    `answer` is None when no answer's head came, `connected` tells whether the
    entry can have read the request. `version` is that of the route
    that only one version of the configuration has, where the request used one.
    `deadline_s` counts from when it was sent. One that takes a stream up `resumes` the
    attempt that brought its first event, after event number `after_event`. `seen` is
    what became of the connection, if no answer came. One that is sent again `repeats`
    the attempt before, whose id it may have.
    """

    attempt_id: str
    entry: str
    pid: int
    kind: Kind
    key: str
    sent_s: float
    deadline_s: float
    ended_s: float
    answer: Answer | None
    connected: bool
    seen: str = retries.ANSWERED
    repeats: str | None = None
    version: int | None = None
    resumes: str | None = None
    after_event: int = -1

    @property
    def stream_id(self) -> str:
        """The attempt that brought the first event of its stream."""
        return self.resumes or self.attempt_id

    @property
    def last_event(self) -> int:
        """The number of the last whole event that its caller has, -1 for none."""
        body = b"" if self.answer is None else self.answer.body
        whole = body[: body.rfind(b"\n\n") + 1]
        return max([self.after_event, *map(int, EVENT_ID.findall(whole))])


class Callers:
    """Threads that send until they are told to stop.

    `newest_version()` returns the newest configuration that was published.
    """

    def __init__(
        self,
        *,
        platform: PlatformDeployment,
        seed: int,
        newest_version: Callable[[], int],
        entries: tuple[str, ...] = ENTRIES,
        count: int = 8,
    ):
        self.sent: list[Sent] = []
        # The entry that gets most new connections, if any does.
        self.favourite: str | None = None
        self._platform = platform
        self._seed = seed
        self._newest_version = newest_version
        self._entries = entries
        self._stopping = threading.Event()
        self._threads = [
            threading.Thread(target=self._run, args=(number,), daemon=True)
            for number in range(count)
        ]

    def start(self) -> None:
        """Begin to send."""
        for thread in self._threads:
            thread.start()

    def stop(self) -> None:
        """Wait for the last answers."""
        self._stopping.set()
        for thread in self._threads:
            thread.join()

    def _run(self, number: int) -> None:
        random = Random(f"{self._seed}/{number}")
        again = Random(f"{self._seed}/{number}/again")
        http = urllib3.PoolManager(retries=False)
        count = 0
        while not self._stopping.is_set():
            count += 1
            is_due = count % RECONNECT_EVERY == 0 or self.favourite is not None
            if number % 2 and is_due:
                http.clear()
            sent = self._send(f"{number}-{count}", random, http)
            self.sent.append(sent)
            sent = self._send_again(f"{number}-{count}", sent, again)
            for taken_up in range(TAKEN_UP_MAX):
                if not _is_to_take_up(sent) or self._stopping.is_set():
                    break
                sent = self._take_up(f"{number}-{count}-{taken_up}", sent, random)
                self.sent.append(sent)
            self._stopping.wait(random.uniform(*PAUSE_S))

    def _send(self, name: str, random: Random, http: urllib3.PoolManager) -> Sent:
        kind = KINDS[random.choice(sorted(KINDS))]
        key = random.choice((KEY, KEY, REVOKED_KEY))
        path, version = kind.path, None
        if random.random() < 0.3:
            kind, key = KINDS["look"], KEY
            version = max(1, self._newest_version() - random.choice((0, 0, 1)))
            path = version_path(version)
        return self._attempt(
            name, random, http, kind=kind, path=path, key=key, version=version
        )

    def _send_again(self, name: str, sent: Sent, random: Random) -> Sent:
        """Follow an attempt by others where callers do; return the last one."""
        for number in range(retries.RETRIES_MAX):
            retry = retries.retry(sent, random)
            if retry is None or self._stopping.wait(retry.wait_s):
                break
            is_versioned = sent.version is not None
            sent = self._attempt(
                f"{name}-r{number}",
                random,
                urllib3.PoolManager(retries=False),
                kind=sent.kind,
                path=version_path(sent.version) if is_versioned else sent.kind.path,
                key=sent.key,
                version=sent.version,
                repeats=sent.attempt_id,
                keeps_id=retry.keeps_id,
                deadline_s=retry.left_s,
            )
            self.sent.append(sent)
        return sent

    def _take_up(self, name: str, broken: Sent, random: Random) -> Sent:
        """Go on with a stream that broke off, over a new connection."""
        return self._attempt(
            name,
            random,
            urllib3.PoolManager(retries=False),
            kind=broken.kind,
            path=broken.kind.path,
            key=broken.key,
            resumes=broken.stream_id,
            after_event=broken.last_event,
        )

    def _attempt(
        self,
        name: str,
        random: Random,
        http: urllib3.PoolManager,
        *,
        kind: Kind,
        path: str,
        key: str,
        keeps_id: bool = False,
        deadline_s: float | None = None,
        **more,
    ) -> Sent:
        attempt_id = more["repeats"] if keeps_id else f"soak-{self._seed}-{name}"
        entry = random.choice(self._entries)
        favourite = self.favourite
        # A stream is taken up at any entry, like all that is sent again.
        is_first = not more.keys() & {"resumes", "repeats"}
        if favourite is not None and is_first:
            entry = favourite if random.random() < FAVOURED else entry
        deadline_ms = random.choice(DEADLINES_MS)
        if deadline_s is not None:
            deadline_ms = int(deadline_s * 1000)
        own_part = attempt_id.encode().hex()[-PART_ID_LENGTH:]
        headers = {"X-Attempt-Id": attempt_id} | parts_headers(SHARED_PART, own_part)
        if "resumes" in more:
            headers["Resumes"] = more["resumes"]
            headers["Last-Event-Id"] = str(more["after_event"])
        pid = self._platform.entries[entry].process.pid
        sent_s = time.monotonic()
        answer, seen = None, retries.ANSWERED
        try:
            answer = self._platform.send(
                entry,
                f"{path}{more.get('resumes', attempt_id)}",
                method=kind.method,
                body=b"" if kind.method == "GET" else b"prompt",
                key=key,
                deadline_ms=deadline_ms,
                headers=headers,
                http=http,
            )
        except HTTPError as error:
            seen = retries.seen_of(error)
        return Sent(
            attempt_id=attempt_id,
            entry=entry,
            pid=pid,
            kind=kind,
            key=key,
            sent_s=sent_s,
            deadline_s=deadline_ms / 1000,
            ended_s=time.monotonic(),
            answer=answer,
            connected=seen != retries.UNCONNECTED,
            seen=seen,
            **more,
        )


def _is_to_take_up(sent: Sent) -> bool:
    """Return whether a stream broke off that may be taken up."""
    return (
        sent.kind.is_stream
        and sent.kind.runs_max > 1
        and sent.last_event >= 0
        and (sent.answer is None or sent.answer.status != 200 or not sent.answer.whole)
    )


def version_path(version: int) -> str:
    """Return the path of the route that only this version has."""
    return f"/version-{version}/"
