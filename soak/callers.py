"""Callers that send without a pause and remember what they saw."""

import threading
import time
from collections.abc import Callable
from random import Random

import attrs
import urllib3
from urllib3.exceptions import HTTPError, NewConnectionError

from soak.schedule import ENTRIES
from standins.platformdeployment import KEY, Answer, PlatformDeployment

REVOKED_KEY = "key-of-guides"
CALLERS = 8
# Pause between two requests of one caller, in seconds: eight callers then keep
# the twenty places of the upstreams about half taken.
PAUSE_S = (0.0, 0.08)
# Every so many requests a caller opens new connections; until then it uses the
# open ones, also of an entry that is stopping.
RECONNECT_EVERY = 25
# Callers give up after this long, in milliseconds.
DEADLINES_MS = (800, 3000, 5000)
# Prompt and answer, as requests to model engines state them.
TOKENS = "100,20"


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
    `deadline_s` counts from when it was sent.
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
    version: int | None = None


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
    ):
        self.sent: list[Sent] = []
        self._platform = platform
        self._seed = seed
        self._newest_version = newest_version
        self._stopping = threading.Event()
        self._threads = [
            threading.Thread(target=self._run, args=(number,), daemon=True)
            for number in range(CALLERS)
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
        http = urllib3.PoolManager(retries=False)
        count = 0
        while not self._stopping.is_set():
            count += 1
            if count % RECONNECT_EVERY == 0:
                http.clear()
            self.sent.append(self._send(f"{number}-{count}", random, http))
            self._stopping.wait(random.uniform(*PAUSE_S))

    def _send(self, name: str, random: Random, http: urllib3.PoolManager) -> Sent:
        kind = KINDS[random.choice(sorted(KINDS))]
        key = random.choice((KEY, KEY, REVOKED_KEY))
        path, version = kind.path, None
        if random.random() < 0.3:
            kind, key = KINDS["look"], KEY
            version = max(1, self._newest_version() - random.choice((0, 0, 1)))
            path = version_path(version)
        attempt_id = f"soak-{self._seed}-{name}"
        entry = random.choice(ENTRIES)
        deadline_ms = random.choice(DEADLINES_MS)
        pid = self._platform.entries[entry].process.pid
        sent_s = time.monotonic()
        answer, connected = None, True
        try:
            answer = self._answer(attempt_id, entry, kind, path, key, deadline_ms, http)
        except NewConnectionError:
            connected = False
        except HTTPError:
            # The entry ended before it answered: nothing is known of the request.
            pass
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
            connected=connected,
            version=version,
        )

    def _answer(self, attempt_id, entry, kind, path, key, deadline_ms, http) -> Answer:
        return self._platform.send(
            entry,
            f"{path}{attempt_id}",
            method=kind.method,
            body=b"" if kind.method == "GET" else b"prompt",
            key=key,
            deadline_ms=deadline_ms,
            headers={"X-Attempt-Id": attempt_id, "X-Token-Usage": TOKENS},
            http=http,
        )


def version_path(version: int) -> str:
    """Return the path of the route that only this version has."""
    return f"/version-{version}/"
