"""A small deployment on the users' platform: store, upstreams and entries."""

import base64
import json
import os
import struct
import threading
import time
from urllib.parse import urlencode

import attrs
import urllib3

from standins.processes import (
    HOST,
    Process,
    Stage,
    StandIn,
    free_port,
    get_json,
    wait_until,
)

WAIT_S = 20.0
KEY = "key-of-tours"
HOST_HEADER = "tours.example"
SETTINGS = """\
node-name={name}
role=entry
zone=here
ip=127.0.0.1
listen.frontend=127.0.0.1:{callers}
listen.readiness=127.0.0.1:{readiness}
internal-port-range={peers},{peers}
bounds.grace-s={grace_s}
bounds.revoke-ms={revoke_ms}
bounds.retry-budget-ratio=0.2
bounds.budget-slack=50
bounds.retry-window-s=10
bounds.quota-window-s=8
platform.address={store}
unknown.field=left alone
"""


def route(name: str, kind: str, service: str, **changes) -> dict:
    """Return one route of a configuration, on the path of its name."""
    base = {
        "name": name,
        "host": HOST_HEADER,
        "path-prefix": f"/{name}/",
        "kind": kind,
        "timeout-ms": 5000,
        "target-latency-ms": 800,
        "priority": 0,
        "service": service,
        "max-attempts": 2,
        "stream-resume": False,
        "itl-target-ms": 300,
    }
    return base | changes


def configuration(version: int, **changes) -> dict:
    """Return a configuration with a resumable stream and two plain routes."""
    base = {
        "version": version,
        "routes": [
            route("stream", "streaming", "model", **{"stream-resume": True}),
            route("stream-once", "streaming", "model", **{"max-attempts": 1}),
            route("look", "idempotent", "desk"),
            route("pay", "non_idempotent", "desk", **{"max-attempts": 1}),
        ],
        "services": [
            {"name": "model", "max-connections": 100, "engine": {}},
            {"name": "desk", "max-connections": 100},
        ],
        "tenants": [{"name": "tours", "api-keys": [KEY], "priority": 1}],
        "limits": {"idle-timeout-ms": 15000},
    }
    return base | changes


@attrs.frozen(kw_only=True)
class Answer:
    """What a caller got; `whole` is false when it broke off."""

    status: int
    headers: dict[str, str]
    body: bytes
    whole: bool
    took_s: float


@attrs.frozen(kw_only=True)
class Entry:
    """An entry's process and its ports."""

    process: Process
    callers: int
    readiness: int
    settings_path: str
    peers: int = 0

    def ready(self) -> bool:
        """Return whether it says that callers may come."""
        http = urllib3.PoolManager(retries=False, timeout=2.0)
        try:
            url = f"http://{HOST}:{self.readiness}/v1/readyz"
            return http.request("GET", url).status == 200
        except urllib3.exceptions.HTTPError:
            return False


class PlatformDeployment:
    """Everything of one test, stopped together with its stage."""

    def __init__(self, *, stage: Stage):
        self.stage = stage
        self.store = stage.start_standin("store", "platformstore")
        self.upstreams: dict[str, StandIn] = {}
        self.entries: dict[str, Entry] = {}
        # Where entries reach an upstream, if not at its own address: a proxy may
        # stand before it.
        self.reached_at: dict[str, str] = {}
        # The version of each upstream that is listed.
        self.listed: dict[str, str] = {}
        self._attempts = 0
        self._lock = threading.Lock()

    def put(self, topic: str, key: str, value: dict | None) -> None:
        """Write a record as the operator or an upstream does."""
        encoded = json.dumps(value).encode() if value is not None else b""
        self.put_bytes(topic, key.encode(), encoded)

    def put_bytes(self, topic: str, key: bytes, value: bytes) -> None:
        """Write any bytes as a record."""
        content = bytes([len(key)]) + key + value
        url = f"{self.store.url}/v1/log-append?" + urlencode({"topic": topic})
        urllib3.request(
            "POST",
            url,
            body=struct.pack(">I", len(content)) + content,
            headers={"X-Operator": "1"},
        )

    def configure(self, content: dict) -> None:
        """Put a configuration in force."""
        self.put("keyed.op", "config", content)

    def control_store(self, action: str) -> None:
        """Make the store keep a `copy` of itself, or `go-back` to the last one."""
        urllib3.request("POST", f"{self.store.url}/control/{action}")

    def upstream(
        self, name: str, service: str, *options: str, version: str = "v1"
    ) -> StandIn:
        """Start an upstream and register it."""
        standin = self.start_upstream(name, *options)
        self.register(name, service, version=version)
        return standin

    def start_upstream(
        self, name: str, *options: str, port: int | None = None
    ) -> StandIn:
        """Start an upstream that nobody knows of yet."""
        kept = str(self.stage.directory / f"{name}.kept")
        named = ("--upstream-id", name, "--kept-file", kept)
        standin = self.stage.start_standin(
            name, "platformengine", *named, *options, port=port
        )
        self.upstreams[name] = standin
        return standin

    def register(
        self,
        name: str,
        service: str,
        *,
        state: str = "ready",
        version: str = "v1",
        incarnation: str = "",
    ) -> None:
        """Write an upstream's record; its id is its name and its incarnation."""
        record = {
            "service": service,
            "address": self.reached_at.get(name, self.upstreams[name].address),
            "zone": "here",
            "slots": 4,
            "version": version,
            "state": state,
        }
        self.listed[name] = version
        self.put("keyed.servers", name + incarnation, record)

    def replace_upstream(
        self, before: str, name: str, service: str, *options: str, same_address: bool
    ) -> StandIn:
        """Start an upstream in the place of one that has crashed, under another id.

        The record of the one before stays until it is dropped.
        """
        port = self.upstreams.pop(before).port if same_address else None
        standin = self.start_upstream(name, *options, port=port)
        self.register(name, service)
        return standin

    def rollout_state(self, service: str) -> str:
        """Return what the system says of a service's roll-out, empty if nothing."""
        value = self._newest("keyed.status").get(f"rollout/{service}")
        return json.loads(base64.b64decode(value))["state"] if value else ""

    def keys(self, topic: str) -> list[str]:
        """Return the keys that have a record in a topic of the store."""
        return list(self._newest(topic))

    def _newest(self, topic: str) -> dict[str, str]:
        """Return the newest value of each key in a topic, in base64."""
        http = urllib3.PoolManager(retries=False, timeout=WAIT_S)
        page = http.request(
            "GET",
            f"http://{self.store.address}/v1/log-newest?topic={topic}&part=0",
            headers={"X-Operator": "1"},
        )
        return {each["key"]: each["value"] for each in page.json()["items"]}

    def unregister(self, name: str) -> None:
        """Drop an upstream's record."""
        self.listed.pop(name, None)
        self.put("keyed.servers", name, None)

    def entry(
        self,
        name: str,
        *,
        grace_s: float = 8.0,
        revoke_ms: int = 5000,
        store_address: str | None = None,
        more_settings: dict[str, object] | None = None,
    ) -> Entry:
        """Start an entry and wait until it is ready.

        `store_address` is where it reaches the store, if not at its own address.
        """
        callers, readiness, peers = free_port(), free_port(), free_port()
        path = self.stage.directory / f"{name}.conf"
        path.write_text(
            SETTINGS.format(
                name=name,
                callers=callers,
                readiness=readiness,
                peers=peers,
                grace_s=grace_s,
                revoke_ms=revoke_ms,
                store=store_address or self.store.address,
            )
            + "".join(
                f"{key}={value}\n" for key, value in (more_settings or {}).items()
            )
        )
        entry = self._start(name, callers, readiness, str(path), peers=peers)
        wait_until(entry.ready, WAIT_S, f"{name} is ready")
        return entry

    def restart(self, name: str) -> Entry:
        """Start an ended entry again and wait until it is ready."""
        entry = self.start_again(name)
        wait_until(entry.ready, WAIT_S, f"{name} is ready again")
        return entry

    def start_again(self, name: str, *, before: tuple[str, ...] = ()) -> Entry:
        """Start an ended entry again without waiting for it.

        `before` are words that come before its command line, and run it.
        """
        old = self.entries[name]
        return self._start(
            name,
            old.callers,
            old.readiness,
            old.settings_path,
            before=before,
            peers=old.peers,
        )

    def _start(
        self,
        name: str,
        callers: int,
        readiness: int,
        path: str,
        *,
        before: tuple[str, ...] = (),
        peers: int = 0,
    ) -> Entry:
        # The daemon's own command line takes no settings file: the platform
        # names it in the environment.
        argv = [
            "/usr/bin/env",
            f"LAVENDERSPOKE_CONFIG={path}",
            *before,
            os.sys.executable,
            "-m",
            "lavenderspoke.platform",
        ]
        entry = Entry(
            process=self.stage.start(name, argv),
            callers=callers,
            readiness=readiness,
            settings_path=path,
            peers=peers,
        )
        self.entries[name] = entry
        return entry

    def send(
        self,
        entry: str,
        path: str,
        *,
        method: str = "POST",
        body: bytes = b"",
        key: str = KEY,
        deadline_ms: int = 5000,
        headers: dict[str, str] | None = None,
        http: urllib3.PoolManager | None = None,
    ) -> Answer:
        """Send one attempt through an entry and take all that comes back."""
        http = http or urllib3.PoolManager(retries=False)
        sent = {
            "Host": HOST_HEADER,
            "X-Attempt-Id": self._attempt_id(),
            "X-Deadline-Ms": str(deadline_ms),
            "Authorization": f"Bearer {key}",
        }
        port = self.entries[entry].callers
        began_s = time.monotonic()
        response = http.request(
            method,
            f"http://{HOST}:{port}{path}",
            body=body or None,
            headers=sent | (headers or {}),
            preload_content=False,
            decode_content=False,
            timeout=urllib3.Timeout(connect=2.0, read=WAIT_S),
        )
        parts, whole = [], True
        try:
            parts.extend(response.stream(1024))
        except urllib3.exceptions.HTTPError:
            whole = False
            response.close()
        response.release_conn()
        return Answer(
            status=response.status,
            headers={name.lower(): value for name, value in response.headers.items()},
            body=b"".join(parts),
            whole=whole,
            took_s=time.monotonic() - began_s,
        )

    def runs(self, *names: str) -> list[dict]:
        """Return what the upstreams ran, all of them or those named."""
        chosen = names or tuple(self.upstreams)
        return [
            run
            for name in chosen
            for run in get_json(self.upstreams[name].port, "/control/runs")
        ]

    def arrivals(self, name: str) -> list[dict]:
        """Return the requests that an upstream got, also those that it didn't run."""
        return get_json(self.upstreams[name].port, "/control/arrivals")

    def unproven(self) -> list[dict]:
        """Return what upstreams refused without a word on whether it ran."""
        return [
            each
            for upstream in self.upstreams.values()
            for each in get_json(upstream.port, "/control/unproven")
        ]

    def refusals(self, name: str) -> list[dict]:
        """Return what an upstream refused, and what it said of that."""
        return get_json(self.upstreams[name].port, "/control/refusals")

    def _attempt_id(self) -> str:
        with self._lock:
            self._attempts += 1
            return f"attempt-{self._attempts}"
